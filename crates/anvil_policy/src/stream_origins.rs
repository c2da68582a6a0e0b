//! Where streams began: which software version a client's stream has to go on at, known beyond the
//! router that saw its first event.
//!
//! *Load pattern:* a router is killed with its streams open, and each client takes its stream up at
//! another router some milliseconds later.
//!
//! *Without it:* that router has not seen the stream's beginning, and sends the rest to an endpoint of
//! any version.
//!
//! *Mechanism:* each router tells a few others at which version its streams run, as soon as it sends a
//! request to an endpoint, so before the first event. [`holders`] says which ones: all routers with the
//! same members agree without communication. A holder keeps what it is told in an [`OriginStore`] for as
//! long as the client may still take the stream up. A router that is asked for the rest of a stream asks
//! the same routers.
//!
//! *Thresholds:* three holders beside the router that serves the stream, in as many availability zones as
//! there are, so that two routers may be lost together with that one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// Identifies a stream by its organisation and its client's first attempt.
pub type StreamKey = u128;

/// Routers that hold each stream's origin, beside the one that serves it.
pub const HOLDERS_PER_STREAM: usize = 3;
/// Streams whose origins one router holds for others. Beyond that the ones that expire first yield.
const MAX_STREAMS: usize = 20_000;

/// The key of the stream that this attempt of an organisation began.
pub fn stream_key(organisation: &str, first_attempt: &str) -> StreamKey {
    // Organisation names contain no zero byte.
    xxh3_128(&[organisation.as_bytes(), &[0], first_attempt.as_bytes()].concat())
}

/// Where a stream runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The service, of those that its route names.
    pub service: ServiceId,
    /// The version.
    pub version: SoftwareVersion,
    /// Number of the attempt at an endpoint that this is from; the highest one is right.
    pub attempt: u32,
    /// When it is forgotten.
    pub expires: Now,
}

/// Origins of streams, bounded in number and by time.
#[derive(Debug, Default)]
pub struct OriginStore {
    origins: BTreeMap<StreamKey, Origin>,
    /// The same streams in the order in which they expire.
    by_expiry: BTreeSet<(Now, StreamKey)>,
}

impl OriginStore {
    /// Stores where a stream began, unless a later attempt is known.
    pub fn insert(&mut self, now: Now, key: StreamKey, origin: Origin) {
        self.forget_expired(now);
        let known = self.origins.get(&key);
        if known.is_some_and(|known| known.attempt > origin.attempt) {
            return;
        }
        if let Some(known) = known {
            self.by_expiry.remove(&(known.expires, key));
        }
        self.by_expiry.insert((origin.expires, key));
        self.origins.insert(key, origin);
        if self.origins.len() > MAX_STREAMS {
            self.forget_first();
        }
    }

    /// Where a stream began, if it is known.
    pub fn get(&self, now: Now, key: StreamKey) -> Option<&Origin> {
        self.origins.get(&key).filter(|origin| now < origin.expires)
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn forget_expired(&mut self, now: Now) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.origins.remove(&key);
        }
    }
}

/// These routers in the order in which they hold a stream's origin, and are asked for it.
///
/// This is rendezvous hashing: a router that joins or leaves moves only the streams that it holds. Each
/// holder is the best one in an availability zone that has none yet; after one of each zone, the best of
/// the rest follow.
pub fn holders<'a>(
    key: StreamKey,
    routers: impl IntoIterator<Item = (&'a InstanceId, &'a ZoneId)>,
) -> Vec<&'a InstanceId> {
    let score = |id: &InstanceId| {
        let mut hash = Xxh3::new();
        hash.update(&key.to_le_bytes());
        hash.update(id.as_bytes());
        hash.digest()
    };
    let routers = routers.into_iter();
    let mut scored: Vec<_> = routers.map(|(id, zone)| (score(id), id, zone)).collect();
    scored.sort_by(|a, b| b.cmp(a));
    let mut zones = BTreeSet::new();
    let (first_of_zones, rest): (Vec<_>, Vec<_>) =
        scored.iter().partition(|(_, _, zone)| zones.insert(*zone));
    let ordered = first_of_zones.iter().chain(&rest);
    ordered.map(|(_, id, _)| *id).collect()
}

/// When an origin expires: a client may take its stream up until its own timeout, and a moment passes
/// between its clock and ours.
pub fn expiry(now: Now, client_timeout: Duration) -> Now {
    now + client_timeout.min(MAX_CLIENT_TIMEOUT) + CLOCK_SLACK
}

/// Longest timeout of a client that counts.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_mins(10);
/// See [`expiry`].
const CLOCK_SLACK: Duration = Duration::from_secs(1);
