//! Prompts of lost attempts at three routers, with real grant accounts and the ledger's real state.

mod model;
mod orders;
mod random;
