//! The common types, for a glob import.

pub use crate::admission::{AdmissionDecision, AdmissionGate, AdmissionRule};
pub use crate::choice::{Choice, ChoiceRequest, Chooser, Pool};
pub use crate::deadline::Forecast;
pub use crate::endpoint::{EndpointState, LoadReport};
pub use crate::estimate::{Estimate, FinishedRequest};
pub use crate::grant::{Demand, GrantRule, Need};
pub use crate::health::{AttemptResult, Health, HealthRule};
pub use crate::limit::Latency;
pub use crate::prefix::{CacheChange, CacheEvent, PrefixIndex, PrefixRule};
pub use crate::retry::{RetryBudget, RetryRule, RetrySafety};
pub use crate::waiting::{Lane, Ticket, WaitQueue, Waiter, WaiterId};
