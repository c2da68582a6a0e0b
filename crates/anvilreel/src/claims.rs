//! Which sidecar runs a request key.
//!
//! The claim of an idempotent request is kept by two routers in different availability zones
//! ([`placement`]) and, when one of them can't be reached, by the ledger: any two of the three
//! will do, and any two pairs have one in common. A [`ClaimBook`] is what one router keeps for
//! its peers.

mod book;
mod placement;
mod tenure;

pub use book::ClaimBook;
pub use placement::{GENERATION_MARK, HOLDERS, holder_lives, placement};
pub use tenure::Tenure;
