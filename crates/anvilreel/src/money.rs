//! A router's grant account: grants, reservations from them, and the batches exchanged with the
//! ledger.
//!
//! The account (`account`) holds the grants of one router incarnation. A request reserves its upper
//! bound from one open grant of every budget that pays before it is dispatched, and settles its
//! cost when it has ended. Grants are committed by the ledger's majority before they can be spent,
//! so a budget can't be overspent, whatever clocks and connections do.
//!
//! Reservations are atomic operations on a grant; a lock is taken only where grants are added or
//! removed. Reading order: `account`, [`Reservation`], [`Shortage`], `batch_exchange`, then
//! `closing` (how the ledger closes the grants of a lost router).

mod account;
mod batch_exchange;
mod budget_grants;
mod closing;
mod demand;
mod error;
mod open_grant;
mod outage_cover;
mod reservation;
mod sizing;

pub use account::{BudgetStatus, GrantAccount};
pub use closing::GrantClosing;
pub use error::MoneyError;
pub use open_grant::OpenGrant;
pub use outage_cover::{CoverStatus, ScarcityChange};
pub use reservation::{Reservation, Shortage};
pub use sizing::GrantPolicy;
