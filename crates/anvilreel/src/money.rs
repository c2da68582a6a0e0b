//! A router's money: grants, reservations out of them, and what is told to the ledger.
//!
//! A [`Purse`] holds the grants of one router incarnation. A request reserves its upper bound
//! out of one open grant of every payer before it is dispatched, and settles what it cost when
//! it has ended. What is granted was committed by the ledger's majority first, so neither a
//! clock nor a connection is needed for "never overspent".
//!
//! Reservations are atomic operations on a grant; a lock is taken only where grants come and go.
//! Read on: [`Purse`], [`Reservation`], [`Shortage`], then [`Closing`] (how the ledger closes the
//! grants of a router that was lost).

mod closing;
mod demand;
mod error;
mod exchange;
mod held;
mod open_grant;
mod purse;
mod reservation;
mod sizing;

pub use closing::Closing;
pub use error::MoneyError;
pub use open_grant::OpenGrant;
pub use purse::{BudgetView, Purse};
pub use reservation::{Reservation, Shortage};
pub use sizing::GrantPolicy;
