//! Typed messages between the processes of the fleet, encoded with bincode and sent over h2 streams.
//!
//! A [`Call`] defines a path, a request type and a reply type. One h2 stream carries one request and
//! any number of replies, each preceded by its length. All sockets between processes of the fleet are
//! opened here.
//!
//! ```no_run
//! # async fn demo() -> Result<(), anvil_wire::WireError> {
//! use std::time::Duration;
//! use anvil_wire::msg::{LedgerCall, LedgerRequest, Query};
//! use anvil_wire::Channel;
//!
//! let ledger = Channel::new("127.0.0.1:9100".parse().unwrap());
//! let req = LedgerRequest::Query(Query::Status);
//! let reply = ledger.call::<LedgerCall>(&req, Duration::from_secs(1)).await?;
//! # Ok(()) }
//! ```
//!
//! Start reading at [`Call`], then [`Channel`] (the client side), [`Server`] (the server side), and the
//! messages in [`msg`].

mod call;
mod channel;
mod codec;
mod error;
mod handshakes;
mod keepalive;
pub mod msg;
mod server;

pub use call::Call;
pub use channel::{Channel, Replies};
pub use codec::{MAX_MESSAGE_BYTES, decode, encode};
pub use error::WireError;
pub use server::{Handlers, ReplySender, Server};
