//! A router that calls endpoints directly over HTTP/1.1, in the platform's own header conventions.
//!
//! `anvilreel::router` serves deployments with a sidecar beside each endpoint; this crate serves
//! deployments without sidecars. Client requests arrive over HTTP, are admitted by a
//! [`table::RouteTable`] and a prepaid budget, are sent to an endpoint from the platform's list,
//! and are answered with a complete body or a stream of events. The platform's names and formats
//! are kept out of this crate by a [`dialect::Dialect`].
//!
//! Path of a request: [`serve`] accepts the connection, [`accept`] limits how many and watches
//! them, [`admit`] checks the request and reserves tokens, [`exchange`] runs attempts until one
//! succeeds, [`choose`] selects the endpoint, [`send`] waits for the link, [`attempt`] sends the
//! request to it, [`attempt_counter`] counts attempts, [`availability`] waits for a routing table
//! or endpoints that are expected shortly, [`wait`] holds requests while no endpoint has room,
//! [`stream_relay`] forwards a stream and resumes it at another endpoint, [`accept::client_socket`]
//! shows whether its client reads fast enough, [`reply`] builds refusals. [`planned_stop`] keeps a gateway that is stopping from beginning what
//! it would have to cut off.
//!
//! Quarantine of requests that crash endpoints, and of what such requests have in common:
//! [`crashes`] detects which endpoint crashed, [`suspects`] reports the contents to the ledger and
//! learns of those reported by other gateways, [`request_digest`] and [`shared_content`] decide
//! which are the same.
//!
//! Rate limits announced by endpoints: [`endpoint_limits`] reports them to the ledger and learns of
//! those reported by other gateways. [`reports`] delivers both kinds of reports.
//!
//! Endpoints that receive fewer requests, or none: those in [`zones`] that operators evacuated,
//! those outside the [`regions`] in which a request may run, those in their [`warm_up`], and those
//! that asked for [`pauses`] or state that they are leaving. [`late_response`] reads what they
//! state in answers that nobody waits for.
//!
//! Software versions: [`service_versions`] records which versions of a service's endpoints serve,
//! [`version_reports`] reports them to the ledger, [`stream_origins`] records at which of them streams
//! began, and what other gateways and the ledger know of that.
//!
//! Where the gateway's view comes from: the routing table and the number of gateways from the
//! ledger ([`ledger_updates`]), grants from the ledger ([`grant_loop`]), balances of budgets
//! ([`account::balances`]), prompts that other gateways hold from these
//! ([`account::held_prompts`]), the list of endpoints from the platform or from other gateways
//! ([`list`]), endpoint load from response headers ([`endpoint`]), engines' speeds and requests'
//! sizes from responses ([`choose::EngineEstimates`]).

pub mod accept;
pub mod account;
pub mod admit;
pub mod attempt;
pub mod attempt_counter;
pub mod availability;
pub mod choose;
pub mod connection_watch;
pub mod crashes;
pub mod dialect;
pub mod directory;
pub mod endpoint;
pub mod endpoint_limits;
pub mod exchange;
pub mod gateway;
pub mod grant_loop;
pub mod late_response;
pub mod ledger_updates;
pub mod list;
pub mod log_events;
pub mod metrics;
pub mod pauses;
pub mod planned_stop;
pub mod pool;
pub mod regions;
pub mod reply;
pub mod reports;
pub mod request_charge;
pub mod request_digest;
pub mod run;
pub mod send;
pub mod serve;
pub mod service_versions;
pub mod shared_content;
pub mod shares;
pub mod stage_times;
pub mod stream_events;
pub mod stream_origins;
pub mod stream_relay;
pub mod suspects;
pub mod table;
pub mod trace;
pub mod version_reports;
pub mod wait;
pub mod warm_up;
pub mod zones;

pub use gateway::{Gateway, GatewaySettings};
pub use run::{GatewayError, run};
