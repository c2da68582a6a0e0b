//! Typed messages between the fleet's own processes, over h2 streams with bincode.
//!
//! A [`Call`] names a path, a request and a reply. One h2 stream carries one request and any
//! number of replies, each behind its length. The only sockets between processes of the fleet
//! are opened here.
//!
//! ```no_run
//! # async fn demo() -> Result<(), anvil_wire::WireError> {
//! use std::time::Duration;
//! use anvil_wire::msg::{LedgerCall, LedgerRequest, Query};
//! use anvil_wire::Channel;
//!
//! let ledger = Channel::new("127.0.0.1:9100".parse().unwrap());
//! let ask = LedgerRequest::Query(Query::Status);
//! let reply = ledger.call::<LedgerCall>(&ask, Duration::from_secs(1)).await?;
//! # Ok(()) }
//! ```
//!
//! Read on: [`Call`], then [`Channel`] (the asking side), [`Server`] (the answering side), and
//! the messages under [`msg`].

mod call;
mod channel;
mod codec;
mod error;
mod keepalive;
pub mod msg;
mod server;

pub use call::Call;
pub use channel::{Channel, Replies};
pub use codec::{MAX_MESSAGE, decode, encode};
pub use error::WireError;
pub use server::{Handlers, Replier, Server};
