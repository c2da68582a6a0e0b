//! A router that calls endpoints directly, over the HTTP/1.1 that a platform speaks.
//!
//! Where a sidecar stands beside each endpoint, `anvilreel::router` is the way in. Where none
//! does, this is: clients' requests come in over HTTP, are admitted by a [`table::RouteTable`] and
//! a prepaid budget, sent to an endpoint on the platform's list, and answered whole or as a stream
//! of events. How a platform names things is kept outside, in a [`dialect::Dialect`].
//!
//! One request's way: [`serve`] takes the connection, [`admit`] checks and pays, [`exchange`]
//! tries endpoints, [`choose`] picks them, [`attempt`] sends it to one, [`tries`] counts,
//! [`arrival`] waits for what is about to come, [`relay`] passes a stream on and has it continued
//! elsewhere, [`reply`] says no.
//!
//! Which requests are kept from endpoints because these crash under them: [`crashes`] finds out what crashed,
//! [`suspects`] tells the ledger and hears of all others, [`content`] says which requests are the same.
//!
//! How many requests an endpoint takes from all gateways: [`endpoint_limits`] tells the ledger what it announced and hears
//! of others. [`reports`] is the way of both to the ledger.
//!
//! What the gateway believes, and from whom: the routing table and the number of gateways
//! ([`follow`], from the ledger), grants ([`money_loop`], from the ledger), the endpoints
//! ([`discovery`], from the platform's list by [`list_reader`], or from [`siblings`] that read it), their load ([`endpoint`], from their answers).

pub mod admit;
pub mod arrival;
pub mod attempt;
pub mod choose;
pub mod connection_watch;
pub mod content;
pub mod crashes;
pub mod dialect;
pub mod directory;
pub mod discovery;
pub mod endpoint;
pub mod endpoint_limits;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod gateway;
pub mod list_reader;
pub mod listing;
pub mod log_events;
pub mod metrics;
pub mod money;
pub mod money_loop;
pub mod pool;
pub mod relay;
pub mod reply;
pub mod reports;
pub mod run;
pub mod serve;
pub mod siblings;
pub mod suspects;
pub mod table;
pub mod trace;
pub mod tries;

pub use gateway::{Gateway, GatewaySettings};
pub use run::{GatewayError, run};
