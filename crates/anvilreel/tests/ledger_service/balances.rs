//! Reads of budgets' balances.

use anvil_wire::msg::{BudgetBalance, LedgerReply, LedgerRequest, Query, QueryAnswer};

use crate::cluster::{Cluster, Failure, declare_budget, top_up};

/// Guards against an unknown budget that makes the balances of all others unreadable.
#[tokio::test(flavor = "multi_thread")]
async fn balances_of_known_budgets_are_answered() -> Result<(), Failure> {
    let cluster = Cluster::start(1).await?;
    declare_budget(&cluster).await?;
    cluster.propose(top_up(1)).await?;
    let wanted = vec!["mombasa".into(), "nairobi".into()];
    let query = LedgerRequest::Query(Query::Balances(wanted));
    let LedgerReply::Read(QueryAnswer::Balances(balances)) = cluster.request(&query).await? else {
        return Err("no balances".into());
    };
    let balance = BudgetBalance {
        left: 10,
        billed: 0,
    };
    assert_eq!(balances, [("nairobi".into(), balance)].into());
    Ok(())
}
