//! Decisions under load: which requests are admitted, queued or refused, and where they are sent.
//!
//! Everything here is pure: no clock, no socket, no task. Time is passed in as [`Now`] and random
//! numbers come from a generator that is passed in, so that a test simulates an hour of load in
//! milliseconds and gets the same result each time. The documentation of each module says which
//! pattern of load it answers, what goes wrong without it, how it works, and why its thresholds
//! are what they are.
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
//! let mut gate = AdmissionGate::new(AdmissionRule::default()).with_limit(pool.headroom());
//!
//! let ticket = Ticket {
//!     organisation: "mombasa".into(),
//!     route: None,
//!     weight: 1,
//!     class: WorkClass::Interactive,
//!     prompt: 120,
//!     service: Estimate::default().service_time(120, 256),
//!     deadline: Duration::from_secs(20),
//!     priority: None,
//! };
//! assert_eq!(gate.offer(Duration::ZERO, ticket), AdmissionDecision::Run);
//!
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
//! let choice = Chooser::default().choose(&pool, &ChoiceRequest::default(), &mut rng);
//! let Choice::Endpoint(endpoint) = choice else {
//!     panic!("an empty endpoint has headroom");
//! };
//! endpoint.start();
//! assert_eq!(pool.in_flight(), 1);
//! ```
//!
//! Suggested reading order:
//! * [`endpoint`] and [`choice`]: what is known of an endpoint, and which one is chosen.
//! * [`admission`], [`waiting`], [`fair`], [`deadline`], [`estimate`]: admission and the queue.
//! * [`entry_queue`]: the queue of a router in front of endpoints without a sidecar.
//! * [`room`]: when a request waits in that queue instead of being sent.
//! * [`health`], with [`limit`] and [`ejection`]: how much work an endpoint is given.
//! * [`retry`]: whether a failed attempt is repeated.
//! * [`silence`]: how long an endpoint may send nothing before another one is asked.
//! * [`grant`]: how much of a budget a router holds.
//! * [`outage_grant`]: how much it holds so that it can pay for requests while the ledger does not
//!   answer.
//! * [`held_prompt`]: whether the prompt of a lost attempt is charged, or that of its retry.
//! * [`engine`]: which engine a prompt goes to, among engines without a sidecar.
//! * [`pace`]: how much longer work takes where an endpoint shares its machine.
//! * [`pause`]: when a router sends to an endpoint that asked for a pause.
//! * [`incarnation`]: whether a list shows that an endpoint has started again under its id.
//! * [`copying`]: when such an engine copies cached tokens from another one.
//! * [`crash`]: which contents were in flight at an endpoint when it crashed, and
//!   [`recent_answers`]: which are sound.
//! * [`blame`]: which contents endpoints crash under.
//! * [`rate_share`]: each router's part of a rate limit that an endpoint announces for all of them.
//! * [`read_ahead`]: how far a router reads ahead of clients that read slowly.
//! * [`warm_up`]: which endpoints may be warming up and tolerate few requests.
//! * [`version_history`]: which software versions of a service served, and when last.
//! * [`stream_origins`]: which routers know at which version a stream began.
//! * [`taken_up`]: how long a stream that its client takes up waits for an endpoint of its version.
//! * [`planned_stop`]: which requests a router begins that is stopping.
//! * [`prefix`]: which endpoints hold which prompt prefixes.
//! * [`list_turn`]: which router reads the list of endpoints for the others.
//! * [`link_pacer`], [`intake`] and [`descriptors`]: what a router with a narrow link or few
//!   descriptors sends and accepts.
//! * [`subset`] and [`placement`]: which endpoints a router watches, and which models they hold.
//!
//! [`Now`]: anvil_world::ids::Now

pub mod admission;
pub mod blame;
pub mod choice;
pub mod copying;
pub mod crash;
pub mod deadline;
pub mod descriptors;
pub mod ejection;
pub mod endpoint;
pub mod engine;
pub mod entry_queue;
pub mod estimate;
pub mod fair;
pub mod grant;
pub mod health;
pub mod held_prompt;
pub mod incarnation;
pub mod intake;
pub mod limit;
pub mod link_pacer;
pub mod list_turn;
pub mod outage_grant;
pub mod pace;
pub mod pause;
pub mod placement;
pub mod planned_stop;
pub mod prefix;
pub mod prelude;
pub mod rate_share;
pub mod read_ahead;
pub mod recent_answers;
pub mod retry;
pub mod room;
pub mod silence;
pub mod stream_origins;
pub mod subset;
pub mod taken_up;
mod token_counts;
pub mod version_history;
pub mod waiting;
pub mod warm_up;
