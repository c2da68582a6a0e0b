//! Initial settings of the quick start: a demo team, its budget, a model and a plain service.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::command::{Change, Edit, TopUp, change_id};
use anvil_world::document::key_hash;
use anvil_world::prelude::*;

use crate::ledger_client::{LedgerClient, LedgerError};

/// The bearer key of the demo team.
pub const BEARER_KEY: &str = "demo-key";
/// The model that the demo team may use.
pub const MODEL: &str = "demo-chat";
/// The plain service that the demo team may use.
pub const SERVICE: &str = "swatches";
/// The budget that pays for the demo team.
pub const BUDGET: &str = "demo";
/// Tokens credited to the budget at the first start.
pub const INITIAL_CREDIT: Tokens = 1_000_000;

/// Timeout of each call to the ledger.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes the demo's documents and credits its budget, unless the demo team exists already.
/// Returns whether it has written them.
pub async fn seed_demo(ledger: &LedgerClient) -> Result<bool, LedgerError> {
    let answer = ledger.query(Query::Tree("".into()), CALL_TIMEOUT).await?;
    if matches!(&answer, QueryAnswer::Tree(tree) if tree.contains_key(&team_path())) {
        return Ok(false);
    }
    for (number, (path, text)) in documents().into_iter().enumerate() {
        let at = SystemTime::now();
        let change = Change {
            id: change_id(at, &format!("demo-{number}")),
            operator: "local".into(),
            path,
            expected: 0,
            edit: Edit::Put(text),
            at,
        };
        ledger
            .propose(Command::Change(change), CALL_TIMEOUT)
            .await?;
    }
    let at = SystemTime::now();
    let top_up = TopUp {
        id: change_id(at, "demo-top-up"),
        operator: "local".into(),
        budget: BUDGET.into(),
        amount: INITIAL_CREDIT,
        at,
    };
    ledger.propose(Command::TopUp(top_up), CALL_TIMEOUT).await?;
    Ok(true)
}

fn team_path() -> TreePath {
    TreePath::Team("demo".into())
}

fn documents() -> Vec<(TreePath, Arc<str>)> {
    let team = format!(
        "organisation = \"demo\"\nkeys = [\"{}\"]\nsplit = {{ {BUDGET} = 1 }}\n",
        key_hash(BEARER_KEY.as_bytes())
    );
    vec![
        (TreePath::Fleet, "".into()),
        (TreePath::Organisation("demo".into()), "weight = 1\n".into()),
        (
            TreePath::Budget(BUDGET.into()),
            "organisation = \"demo\"\n".into(),
        ),
        (
            TreePath::Service("runners".into()),
            "kind = \"models\"\n".into(),
        ),
        (
            TreePath::Service(SERVICE.into()),
            "kind = \"plain\"\nrepeatable = [\"stock\"]\n".into(),
        ),
        (
            TreePath::Model(MODEL.into()),
            "service = \"runners\"\nmax_output = 512\n".into(),
        ),
        (team_path(), team.into()),
    ]
}
