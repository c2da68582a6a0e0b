//! The load and experiment tool.
//!
//! A [`Scenario`] says who asks for what and what breaks when. [`arrivals`] turns it into the
//! same requests for every run with the same seed, at times that do not depend on the answers,
//! so that waiting is not hidden. What came of them goes into a [`Recorder`], which ends as a
//! [`Report`]; reports are printed by [`table`] and drawn by [`plot`].
//!
//! [`policy`] plays the decisions under load alone, in virtual time, against [`fake`] endpoints.

pub mod arrivals;
pub mod fake;
pub mod plot;
pub mod policy;
pub mod recorder;
pub mod report;
pub mod scenario;
pub mod table;

pub use arrivals::{Arrival, arrivals};
pub use recorder::{Ending, Recorder, Sample};
pub use report::Report;
pub use scenario::Scenario;
