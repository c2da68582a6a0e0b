//! A router's grant account against the ledger's real state.

mod ledger;
mod purse;
mod sparse;
