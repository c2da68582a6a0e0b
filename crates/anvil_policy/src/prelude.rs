//! The common types, for a glob import.

pub use crate::admission::{AdmissionRule, Gate, Verdict};
pub use crate::choice::{Ask, Choice, Chooser, Pool};
pub use crate::deadline::Forecast;
pub use crate::endpoint::{EndpointState, LoadReport};
pub use crate::estimate::{Estimate, Finished};
pub use crate::grant::{Demand, GrantRule, Need};
pub use crate::health::{Ended, Health, HealthRule};
pub use crate::limit::Latency;
pub use crate::prefix::{CacheChange, CacheEvent, PrefixIndex, PrefixRule};
pub use crate::retry::{Repeat, RetryBudget, RetryRule};
pub use crate::waiting::{Lane, Ticket, WaitQueue, Waiter, WaiterId};
