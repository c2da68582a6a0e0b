//! Changes: documents, top-ups and write-offs.

use std::path::Path;
use std::time::SystemTime;

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::{Change, Edit, TopUp, WriteOff, change_id};
use anvil_world::prelude::*;
use serde::Serialize;
use snafu::ResultExt;
use tokio::time::{Duration, Instant, sleep};

use super::client::Client;
use super::error::{FileSnafu, OperatorError, PathSnafu, SettingsSnafu};
use super::read::entry;
use super::report::{Receipt, Spread};

/// Time between looks at how far a change has spread.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

/// A change that was committed, and how far it got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// That it is committed.
    pub receipt: Receipt,
    /// Where it is in force.
    pub spread: Spread,
}

impl std::fmt::Display for Applied {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}\n{}", self.receipt, self.spread)
    }
}

/// An id that no other client picks: the time, then random bits.
fn fresh_id() -> ChangeId {
    let random: u64 = rand::random();
    change_id(SystemTime::now(), &format!("{random:016x}"))
}

/// Writes or removes one document, then waits until it is in force everywhere or time is up.
///
/// Without `expected` the document is read first and the change rests on what was read.
pub async fn apply(
    client: &Client,
    path: TreePath,
    edit: Edit,
    expected: Option<Revision>,
    id: Option<ChangeId>,
) -> Result<Applied, OperatorError> {
    if let Edit::Put(text) = &edit {
        Document::check(&path, text).context(SettingsSnafu)?;
    }
    let expected = match expected {
        Some(expected) => expected,
        None => entry(client, &path)
            .await?
            .map_or(0, |entry| entry.revision),
    };
    let id = id.unwrap_or_else(fresh_id);
    let change = Change {
        id: id.clone(),
        operator: client.operator().clone(),
        path,
        expected,
        edit,
        at: SystemTime::now(),
    };
    let receipt = changed(client, &id, Command::Change(change)).await?;
    let spread = wait_in_force(client, receipt.revision).await?;
    Ok(Applied { receipt, spread })
}

/// The documents below a folder, in an order in which each finds what it names.
///
/// A file `teams/counter.toml` is the document `teams/counter`.
pub fn change_paths(folder: &Path) -> Result<Vec<(TreePath, String)>, OperatorError> {
    let kinds = ["organisations", "services", "budgets", "models", "teams"];
    let mut found = Vec::new();
    let fleet = folder.join("fleet.toml");
    if fleet.exists() {
        found.push((TreePath::Fleet, read_file(&fleet)?));
    }
    for kind in kinds {
        let folder = folder.join(kind);
        if !folder.exists() {
            continue;
        }
        let entries = std::fs::read_dir(&folder).context(FileSnafu { file: &folder })?;
        let mut files = Vec::new();
        for entry in entries {
            files.push(entry.context(FileSnafu { file: &folder })?.path());
        }
        files.sort();
        for file in files
            .iter()
            .filter(|f| f.extension().is_some_and(|e| e == "toml"))
        {
            let name = file.file_stem().unwrap_or_default().to_string_lossy();
            let path = TreePath::try_from(format!("{kind}/{name}")).context(PathSnafu)?;
            found.push((path, read_file(file)?));
        }
    }
    Ok(found)
}

fn read_file(file: &Path) -> Result<String, OperatorError> {
    std::fs::read_to_string(file).context(FileSnafu { file })
}

/// Pays tokens into a budget. Under the same id they are paid once, however often it is sent.
pub async fn top_up(
    client: &Client,
    budget: BudgetId,
    amount: Tokens,
    id: Option<ChangeId>,
) -> Result<Receipt, OperatorError> {
    let id = id.unwrap_or_else(fresh_id);
    let top_up = TopUp {
        id: id.clone(),
        operator: client.operator().clone(),
        budget,
        amount,
        at: SystemTime::now(),
    };
    changed(client, &id, Command::TopUp(top_up)).await
}

/// Gives up a fenced grant whose evidence is lost: bills a part of it, the rest goes back.
pub async fn write_off(
    client: &Client,
    grant: GrantId,
    bill: Tokens,
    id: Option<ChangeId>,
) -> Result<Receipt, OperatorError> {
    let id = id.unwrap_or_else(fresh_id);
    let write_off = WriteOff {
        id: id.clone(),
        operator: client.operator().clone(),
        grant,
        bill,
        at: SystemTime::now(),
    };
    changed(client, &id, Command::WriteOff(write_off)).await
}

/// Sends a drain of an instance in its present life.
pub(super) async fn drain_command(
    client: &Client,
    instance: InstanceId,
    id: Option<ChangeId>,
) -> Result<Receipt, OperatorError> {
    let id = id.unwrap_or_else(fresh_id);
    let drain = anvil_world::command::Drain {
        id: id.clone(),
        operator: client.operator().clone(),
        instance,
        at: SystemTime::now(),
    };
    changed(client, &id, Command::Drain(drain)).await
}

async fn changed(
    client: &Client,
    id: &ChangeId,
    command: Command,
) -> Result<Receipt, OperatorError> {
    match client.propose(id, command).await? {
        Answer::Changed(receipt) => Ok(receipt.into()),
        _ => Err(OperatorError::Unexpected),
    }
}

/// Where a version is in force now.
pub async fn in_force(client: &Client, revision: Revision) -> Result<Spread, OperatorError> {
    match client.query(Query::InForce(revision)).await? {
        QueryAnswer::InForce(in_force) => Ok(Spread::new(revision, in_force)),
        _ => Err(OperatorError::Unexpected),
    }
}

/// Looks until a version is in force everywhere or the client's time is up.
pub(super) async fn wait_in_force(
    client: &Client,
    revision: Revision,
) -> Result<Spread, OperatorError> {
    let deadline = Instant::now() + client.within();
    loop {
        let spread = in_force(client, revision).await?;
        if spread.everywhere() || Instant::now() >= deadline {
            return Ok(spread);
        }
        sleep(LOOK_AGAIN).await;
    }
}
