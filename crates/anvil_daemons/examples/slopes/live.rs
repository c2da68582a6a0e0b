//! Measures real processes, with simulated instances around them.

mod bench;
mod ledger;
mod path;
mod router;
mod swarm;

use crate::fit::Slope;

/// All slopes of this group. Each starts its own processes, for one size after the other.
pub fn slopes() -> Vec<Slope> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    runtime.block_on(async {
        let mut found = ledger::members().await;
        found.extend(ledger::batches().await);
        found.extend(ledger::claims().await);
        found.extend(router::teams().await);
        found.extend(router::members().await);
        found.extend(path::idle().await);
        found.extend(path::requests().await);
        found.extend(path::tokens().await);
        found.extend(path::streams().await);
        found
    })
}

/// Time until a change is in force everywhere.
pub fn spread() -> Vec<Slope> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    vec![runtime.block_on(ledger::in_force())]
}

/// Load reports of a sidecar to a router that watches it.
pub fn watched() -> Vec<Slope> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    vec![runtime.block_on(path::watched())]
}
