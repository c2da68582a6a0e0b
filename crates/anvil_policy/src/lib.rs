//! Decisions under load: what is let in, what waits, what is turned away and where work goes.
//!
//! Everything here is pure: no clock, no socket, no task. Time is passed in as [`Now`], random
//! numbers come from a generator that is passed in, so that a test plays an hour of load in
//! milliseconds and gets the same answer each time. Each module's page says which pattern of
//! load it answers, what goes wrong without it, and where its thresholds come from.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use anvil_policy::prelude::*;
//! use anvil_world::document::WorkClass;
//! use anvil_world::prelude::*;
//! use rand::SeedableRng;
//!
//! let endpoint = EndpointState::new("runner-1".into(), Zone::default(), 8);
//! let pool = Pool::new(vec![Arc::new(endpoint)]);
//! let mut gate = Gate::new(AdmissionRule::default()).with_limit(pool.room());
//!
//! let ticket = Ticket {
//!     organisation: "mombasa".into(),
//!     weight: 1,
//!     class: WorkClass::Interactive,
//!     prompt: 120,
//!     service: Estimate::default().service(120, 256),
//!     deadline: Duration::from_secs(20),
//! };
//! assert_eq!(gate.offer(Duration::ZERO, ticket), Verdict::Go);
//!
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
//! let Choice::Endpoint(endpoint) = Chooser::default().choose(&pool, &Ask::default(), &mut rng)
//! else {
//!     panic!("an empty endpoint has room");
//! };
//! endpoint.start();
//! assert_eq!(pool.in_flight(), 1);
//! ```
//!
//! Read on in this order:
//! * [`endpoint`] and [`choice`]: what is known of an endpoint, and which one is chosen.
//! * [`admission`], [`waiting`], [`fair`], [`deadline`], [`estimate`]: the door and the queue.
//! * [`health`], with [`limit`] and [`ejection`]: how much an endpoint is given.
//! * [`retry`]: whether a failed try is made again.
//! * [`grant`]: how much of a budget a router holds.
//! * [`engine`]: where a prompt goes among engines that nobody stands beside.
//! * [`copying`]: when such an engine copies what another one has read.
//! * [`crash`]: under which requests an endpoint crashed.
//! * [`rate_share`]: how many requests a router sends to an endpoint that announced a limit for all of them.
//! * [`prefix`]: which endpoints hold which prompt prefixes.
//! * [`list_turn`]: which router reads the list of endpoints for the others.
//! * [`subset`] and [`placement`]: which endpoints a router watches, and which models they hold.
//!
//! [`Now`]: anvil_world::ids::Now

pub mod admission;
pub mod choice;
pub mod copying;
pub mod crash;
pub mod deadline;
pub mod ejection;
pub mod endpoint;
pub mod engine;
pub mod estimate;
pub mod fair;
pub mod grant;
pub mod health;
pub mod limit;
pub mod list_turn;
pub mod placement;
pub mod prefix;
pub mod prelude;
pub mod rate_share;
pub mod retry;
pub mod subset;
pub mod waiting;
