//! A router's grant account against the ledger's real state.

mod grant_account;
mod ledger;
mod outage;
mod outage_model;
mod reduced;
mod sparse;
