//! The operators' client: changes, top-ups, queries, drains, evacuations and orders, and reports
//! from logs.
//!
//! Every change carries an id. If the reply is lost, the client resends the change under the same
//! id and receives the first reply. If that fails too, it reports that the outcome is unknown,
//! with the id, and never that nothing was done.
//!
//! ```no_run
//! # async fn demo() -> Result<(), anvilreel::operator::OperatorError> {
//! use anvilreel::operator::{Client, top_up};
//!
//! let ledgers = ["127.0.0.1:8788".parse().expect("an address")];
//! let client = Client::new(&ledgers).with_operator("wanjiru".into());
//! let receipt = top_up(&client, "nairobi".into(), 50_000, None).await?;
//! println!("{receipt}");
//! # Ok(()) }
//! ```
//!
//! [`Client`] finds the leader. Each action ([`apply`], [`get`], [`top_up`], …) returns a typed
//! report that prints as text or as JSON.

mod change;
mod client;
mod drain;
mod error;
mod evacuate;
mod explain;
mod late_responses;
mod log_line;
mod losses;
mod order;
mod organisation_waits;
mod quarantine;
mod read;
mod report;
mod share;

pub use change::{CommittedChange, apply, query_rollout, read_documents, top_up, write_off};
pub use client::Client;
pub use drain::drain;
pub use error::{ExitCode, OperatorError};
pub use evacuate::evacuate;
pub use explain::{Explanation, explain};
pub use late_responses::LateStage;
pub use log_line::LogLine;
pub use losses::{BudgetSpending, Loss, Losses, SecondCounts, losses};
pub use order::order;
pub use organisation_waits::OrganisationWaits;
pub use quarantine::{QuarantinedContent, lift_quarantine};
pub use read::{audit, budgets, diff, get, members, status};
pub use report::{
    AuditReport, BudgetReport, DiffReport, OrderReport, Receipt, RolloutReport, StatusReport,
    TreeReport,
};
pub use share::set_share;
