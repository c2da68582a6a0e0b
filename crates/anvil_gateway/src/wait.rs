//! Requests that wait in front of the endpoints of their service, while none has room for them.
//!
//! Failure: a request is refused although a slot becomes free a few milliseconds later, or is sent
//! to an endpoint in whose queue it starts after its target, while another one becomes free. Which
//! request is served next is then decided at the endpoints, each for its own queue.
//!
//! [`anvil_policy::entry_queue`] decides which requests wait, in which order, and which are
//! refused. [`ServiceQueue`] supplies what it needs and wakes requests: one for each place that
//! becomes free, when a response ends, when an engine has processed a prompt, or when an endpoint
//! that was full reports room. Where the time is known at which an endpoint accepts another request
//! (a limit), a timer wakes one. A [`WaitingPlace`] is held by the waiting request and removes it
//! on drop.
//!
//! Streams that clients take up and that wait for endpoints of their version are not in the queue,
//! where they would be woken for places that they can't use: each looks for itself
//! ([`TakenUpWait`]).
//!
//! While nothing waits, a request costs some atomic counters and one short lock here, and no
//! allocation.

mod service_queue;
mod taken_up_wait;
mod timer;
mod waiting_place;

pub use service_queue::{ServiceQueue, WaitRequest};
pub use taken_up_wait::TakenUpWait;
pub use waiting_place::{WaitingPlace, Wake};
