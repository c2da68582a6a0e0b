//! A router's purse against the ledger's real state.

mod ledger;
mod purse;
mod sparse;
