//! The load and experiment tool.
//!
//! A [`Scenario`] says who asks for what and what breaks when. [`arrivals`] turns it into the
//! same requests for every run with the same seed, at times that do not depend on the answers,
//! so that waiting is not hidden. [`drive`] sends them to routers; [`fleet`] starts the real
//! processes that they go to. What came of them goes into a [`Recorder`], which ends as a
//! [`Report`]; reports are printed by [`table`] and drawn by [`plot`].
//!
//! [`policy`] plays loads against a small [`fake`] in virtual time, for the decisions alone;
//! [`experiment`] takes a scenario file there.

pub mod arrivals;
mod caller;
pub mod driver;
pub mod experiment;
pub mod fake;
pub mod fleet;
pub mod plot;
pub mod policy;
pub mod prompt;
pub mod recorder;
pub mod report;
pub mod scenario;
pub mod table;
pub mod usage;
mod view;

pub use arrivals::{Arrival, arrivals};
pub use driver::{Target, drive};
pub use recorder::{Ending, Recorder, Sample};
pub use report::Report;
pub use scenario::Scenario;
