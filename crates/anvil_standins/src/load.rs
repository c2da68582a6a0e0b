//! The load and experiment tool.
//!
//! A [`Scenario`] describes the fleet, the load and the faults. [`arrivals()`] derives the requests
//! from it: the same for every run with the same seed, at times that don't depend on the
//! responses, so that queueing delay is not hidden. [`drive`] sends them to routers; [`fleet`]
//! starts the daemons that serve them as real processes. A [`Recorder`] collects the results and
//! makes a [`Report`] of them, which [`table`] prints and [`plot`] draws.
//!
//! [`policy`] simulates the routers' decisions against a [`fake`] engine in virtual time;
//! [`experiment`] runs a scenario file in that simulation.

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
