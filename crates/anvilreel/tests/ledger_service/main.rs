//! Ledger replicas over real TCP connections and data folders.

mod balances;
mod cluster;
mod evacuations;
mod failures;
mod followers;
mod founding;
mod joining;
mod membership;
#[path = "../support/ports.rs"]
mod ports;
mod presence;
mod quarantines;
mod restart;
mod shares;
mod slow_disks;
