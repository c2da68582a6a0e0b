//! Changes: documents, top-ups, write-offs and drains.

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
use super::read::read_document;
use super::report::{Receipt, RolloutReport};

/// Interval at which the rollout of a change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A committed change and its rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CommittedChange {
    /// Receipt of the committed change.
    pub receipt: Receipt,
    /// Where the change is in force.
    pub spread: RolloutReport,
}

impl std::fmt::Display for CommittedChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}\n{}", self.receipt, self.spread)
    }
}

/// A unique change id: the time, then random bits.
pub(super) fn new_change_id() -> ChangeId {
    let random: u64 = rand::random();
    change_id(SystemTime::now(), &format!("{random:016x}"))
}

/// Writes or removes one document, then waits until the change is in force everywhere or the
/// client's timeout has passed.
///
/// Without `expected`, the current revision is read first and is the one expected.
pub async fn apply(
    client: &Client,
    path: TreePath,
    edit: Edit,
    expected: Option<Revision>,
    id: Option<ChangeId>,
) -> Result<CommittedChange, OperatorError> {
    if let Edit::Put(text) = &edit {
        Document::check(&path, text).context(SettingsSnafu)?;
    }
    let expected = match expected {
        Some(expected) => expected,
        None => read_document(client, &path)
            .await?
            .map_or(0, |entry| entry.revision),
    };
    let id = id.unwrap_or_else(new_change_id);
    let change = Change {
        id: id.clone(),
        operator: client.operator().clone(),
        path,
        expected,
        edit,
        at: SystemTime::now(),
    };
    change_everywhere(client, &id, Command::Change(change)).await
}

/// Reads the documents below a folder, ordered so that each comes after those it refers to.
///
/// A file `teams/counter.toml` is the document `teams/counter`.
pub fn read_documents(folder: &Path) -> Result<Vec<(TreePath, String)>, OperatorError> {
    let kinds = ["organisations", "services", "budgets", "models", "teams"];
    let mut documents = Vec::new();
    let fleet = folder.join("fleet.toml");
    if fleet.exists() {
        documents.push((TreePath::Fleet, read_file(&fleet)?));
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
            documents.push((path, read_file(file)?));
        }
    }
    Ok(documents)
}

fn read_file(file: &Path) -> Result<String, OperatorError> {
    std::fs::read_to_string(file).context(FileSnafu { file })
}

/// Credits tokens to a budget. Idempotent: under the same id they are credited only once.
pub async fn top_up(
    client: &Client,
    budget: BudgetId,
    amount: Tokens,
    id: Option<ChangeId>,
) -> Result<Receipt, OperatorError> {
    let id = id.unwrap_or_else(new_change_id);
    let top_up = TopUp {
        id: id.clone(),
        operator: client.operator().clone(),
        budget,
        amount,
        at: SystemTime::now(),
    };
    propose_change(client, &id, Command::TopUp(top_up)).await
}

/// Closes a fenced grant whose evidence is lost: charges `bill` tokens of it to the budget, and
/// returns the rest.
pub async fn write_off(
    client: &Client,
    grant: GrantId,
    bill: Tokens,
    id: Option<ChangeId>,
) -> Result<Receipt, OperatorError> {
    let id = id.unwrap_or_else(new_change_id);
    let write_off = WriteOff {
        id: id.clone(),
        operator: client.operator().clone(),
        grant,
        bill,
        at: SystemTime::now(),
    };
    propose_change(client, &id, Command::WriteOff(write_off)).await
}

/// Proposes the drain of an instance, for its current incarnation.
pub(super) async fn propose_drain(
    client: &Client,
    instance: InstanceId,
    id: Option<ChangeId>,
) -> Result<Receipt, OperatorError> {
    let id = id.unwrap_or_else(new_change_id);
    let drain = anvil_world::command::Drain {
        id: id.clone(),
        operator: client.operator().clone(),
        instance,
        at: SystemTime::now(),
    };
    propose_change(client, &id, Command::Drain(drain)).await
}

/// Proposes a command whose reply is a change receipt.
async fn propose_change(
    client: &Client,
    id: &ChangeId,
    command: Command,
) -> Result<Receipt, OperatorError> {
    match client.propose(id, command).await? {
        Answer::Changed(receipt) => Ok(receipt.into()),
        _ => Err(OperatorError::Unexpected),
    }
}

/// The same, then waits until the change is in force everywhere or the client's timeout has passed.
pub(super) async fn change_everywhere(
    client: &Client,
    id: &ChangeId,
    command: Command,
) -> Result<CommittedChange, OperatorError> {
    let receipt = propose_change(client, id, command).await?;
    wait_everywhere(client, receipt).await
}

/// Waits until a committed change is in force everywhere or the client's timeout has passed.
pub(super) async fn wait_everywhere(
    client: &Client,
    receipt: Receipt,
) -> Result<CommittedChange, OperatorError> {
    let spread = wait_in_force(client, receipt.revision).await?;
    Ok(CommittedChange { receipt, spread })
}

/// Queries where a version is in force.
pub async fn query_rollout(
    client: &Client,
    revision: Revision,
) -> Result<RolloutReport, OperatorError> {
    match client.query(Query::InForce(revision)).await? {
        QueryAnswer::InForce(rollout) => Ok(RolloutReport::new(revision, rollout)),
        _ => Err(OperatorError::Unexpected),
    }
}

/// Polls until a version is in force everywhere or the client's timeout has passed.
pub(super) async fn wait_in_force(
    client: &Client,
    revision: Revision,
) -> Result<RolloutReport, OperatorError> {
    let deadline = Instant::now() + client.timeout();
    loop {
        let spread = query_rollout(client, revision).await?;
        if spread.is_rolled_out() || Instant::now() >= deadline {
            return Ok(spread);
        }
        sleep(POLL_INTERVAL).await;
    }
}
