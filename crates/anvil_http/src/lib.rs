//! Serves HTTP connections within bounds, whatever their clients send.
//!
//! * [`limits`]: what one connection may cost, and how many connections fit into the memory of the process.
//! * [`connection`]: serves one connection within them; [`guarded_socket`] observes its bytes, and
//!   [`refusal`] tells the client why it is ended.
//! * [`admission`]: which connections a listener lets in, and which one makes room for another.
//! * [`whole_body`]: reads bodies whole; all of them share a [`memory_budget`].
//! * [`listener`]: listens with receive buffers of a known size, and serves listeners that need nothing else.

pub mod admission;
pub mod connection;
pub mod connection_state;
pub mod guarded_socket;
mod head_lines;
pub mod limits;
pub mod listener;
pub mod memory_budget;
pub mod refusal;
pub mod whole_body;

pub use admission::Admission;
pub use connection::serve_connection;
pub use limits::ConnectionLimits;
pub use memory_budget::MemoryBudget;
pub use whole_body::{BodyError, BodyLimits, read_whole};
