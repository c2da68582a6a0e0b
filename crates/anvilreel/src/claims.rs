//! Claims: which sidecar runs a request key.
//!
//! The claim of an idempotent request is held by two routers in different availability zones
//! ([`placement()`]) and, if one of them can't be reached, by the ledger. Any two of these three
//! suffice, and any two such pairs have a holder in common. `store` keeps the claims that one
//! router holds; `holder_history` decides when it may confirm one.

mod holder_history;
mod placement;
mod store;

pub use holder_history::HolderHistory;
pub use placement::{GENERATION_MARK, HOLDERS_PER_CLAIM, holder_incarnations, placement};
pub use store::ClaimStore;
