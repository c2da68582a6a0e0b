//! The services and software versions at which resumable streams began.
//!
//! Failure: a gateway is killed, and its clients take their streams up at others, which send the rest to
//! endpoints of another version or of another service of the route: the client holds parts that don't
//! fit together. [`tell`] sends the origins of this gateway's streams to the gateways that hold them,
//! while there are several versions or services; [`record`] reports them to the ledger, for the case that
//! all gateways are killed together; [`ask`] finds the origin of a stream that a client takes up.
//! [`anvil_policy::stream_origins`] decides which gateways these are.

pub mod ask;
pub mod record;
pub mod tell;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::stream_origins::{
    HOLDERS_PER_STREAM, Origin, OriginStore, StreamKey, expiry, holders,
};
use anvil_wire::msg::StreamOrigin;
use anvil_world::prelude::*;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::list::siblings::SiblingMap;
use crate::metrics;

/// Streams that one gateway tells of at a time.
const MAX_TOLD_STREAMS: usize = 10_240;
/// Expired streams are dropped whenever their number is a multiple of this.
const SWEEP_INTERVAL: usize = 256;

/// Origins that this gateway knows, and the streams of which it tells others.
#[derive(Default)]
pub struct StreamOrigins {
    known: Mutex<OriginStore>,
    told: Mutex<BTreeMap<StreamKey, ToldStream>>,
    /// Siblings that did not store what they were told, until when others hold streams in their place.
    silent: Mutex<BTreeMap<InstanceId, Now>>,
    /// Wakes the task that tells others.
    changed: Notify,
    /// Wakes the task that reports to the ledger.
    unrecorded: Notify,
}

/// A stream that ran at this gateway.
#[derive(Debug)]
struct ToldStream {
    origin: Origin,
    /// Whether its route names other services too.
    is_split: bool,
    /// How far back the versions of its service matter to it.
    span: Duration,
    /// Holders that have not been told yet; none are known before others have to be told.
    untold: BTreeSet<InstanceId>,
    /// Holders that have been told, each in its incarnation.
    told: BTreeMap<InstanceId, Incarnation>,
    /// Whether an event of it has gone to its client, so that its version can't change any more.
    is_bound: bool,
    /// Whether the ledger has recorded it.
    is_recorded: bool,
}

impl ToldStream {
    /// Sets its holders to the best of these siblings.
    fn set_holders(&mut self, key: StreamKey, siblings: &SiblingMap) {
        let is_told = |id: &InstanceId| {
            let incarnation = siblings.get(id).map(|sibling| sibling.incarnation);
            self.told.get(id).copied() == incarnation
        };
        let holders = ranked(key, siblings).take(HOLDERS_PER_STREAM);
        self.untold = holders.filter(|id| !is_told(id)).cloned().collect();
    }
}

/// The gateways to ask for a stream, the holders first.
fn ranked(key: StreamKey, siblings: &SiblingMap) -> impl Iterator<Item = &InstanceId> {
    let zones = siblings.iter().map(|(id, sibling)| (id, &sibling.zone));
    holders(key, zones).into_iter()
}

impl StreamOrigins {
    fn known(&self) -> MutexGuard<'_, OriginStore> {
        // Sound after a panic elsewhere: each origin is stored whole.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn silent(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Now>> {
        // Sound after a panic elsewhere: each entry is valid by itself.
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_silent(&self) -> bool {
        !self.silent().is_empty()
    }

    fn told(&self) -> MutexGuard<'_, BTreeMap<StreamKey, ToldStream>> {
        // Sound after a panic elsewhere: each stream is valid by itself.
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream as it runs at this gateway.
#[derive(Debug, Clone, Copy)]
pub struct RunningStream<'a> {
    /// Its key.
    pub key: StreamKey,
    /// Its service.
    pub service: &'a ServiceId,
    /// Whether its route names other services too.
    pub is_split: bool,
    /// How far back the versions of its service matter to it.
    pub span: Duration,
    /// For how long its client may still take it up.
    pub client_timeout: Duration,
}

impl Gateway {
    /// Records that a stream is sent to an endpoint of this version.
    pub fn record_origin(&self, stream: RunningStream<'_>, version: &SoftwareVersion) {
        let now = self.lifecycle.now();
        let origins = &self.stream_origins;
        let mut known = origins.known();
        let attempt = known.get(now, stream.key).map_or(0, |before| {
            let is_same = before.version == *version && before.service == *stream.service;
            before.attempt + u32::from(!is_same)
        });
        let origin = Origin {
            service: stream.service.clone(),
            version: version.clone(),
            attempt,
            expires: expiry(now, stream.client_timeout),
        };
        known.insert(now, stream.key, origin.clone());
        drop(known);
        self.tell_of(now, stream, origin);
    }

    fn tell_of(&self, now: Now, stream: RunningStream<'_>, origin: Origin) {
        let origins = &self.stream_origins;
        let mut told = origins.told();
        if told.len().is_multiple_of(SWEEP_INTERVAL) {
            told.retain(|_, stream| now < stream.origin.expires);
        }
        if told.len() >= MAX_TOLD_STREAMS {
            self.metrics.count(metrics::ORIGINS_UNTOLD);
            return;
        }
        let mut told_stream = ToldStream {
            origin,
            is_split: stream.is_split,
            span: stream.span,
            untold: BTreeSet::new(),
            told: BTreeMap::new(),
            is_bound: false,
            is_recorded: false,
        };
        let is_to_be_told = self.is_to_be_told(&told_stream);
        if is_to_be_told {
            told_stream.set_holders(stream.key, &self.possible_holders());
        }
        told.insert(stream.key, told_stream);
        drop(told);
        if is_to_be_told {
            origins.changed.notify_one();
        }
    }

    /// Whether another gateway could take the stream for one of another service or version.
    fn is_to_be_told(&self, stream: &ToldStream) -> bool {
        stream.is_split || self.is_mixed(&stream.origin.service, stream.span)
    }

    /// Applies a change of the fleet's gateways, of those that answer, or of a service's versions: streams
    /// may have other holders now.
    pub fn update_origin_holders(&self) {
        let now = self.lifecycle.now();
        let siblings = self.possible_holders();
        let mut told = self.stream_origins.told();
        told.retain(|_, stream| now < stream.origin.expires);
        // Ranking all gateways for each stream is costly, and needless while nobody is told.
        let to_be_told = told
            .iter_mut()
            .filter(|(_, stream)| self.is_to_be_told(stream));
        for (key, stream) in to_be_told {
            stream.set_holders(*key, &siblings);
        }
        drop(told);
        self.stream_origins.changed.notify_one();
        self.stream_origins.unrecorded.notify_one();
    }

    /// The other gateways that may hold this one's streams.
    fn possible_holders(&self) -> SiblingMap {
        let now = self.lifecycle.now();
        let mut siblings = SiblingMap::clone(&self.siblings.members());
        siblings.remove(&self.cfg.id);
        let mut silent = self.stream_origins.silent();
        silent.retain(|_, until| now < *until);
        siblings.retain(|id, _| !silent.contains_key(id));
        siblings
    }

    /// Stores what another gateway told.
    fn store_told(&self, origin: StreamOrigin) {
        let now = self.lifecycle.now();
        let StreamOrigin {
            key,
            service,
            version,
            attempt,
            keep,
        } = origin;
        let expires = expiry(now, keep);
        let origin = Origin {
            service,
            version,
            attempt,
            expires,
        };
        self.stream_origins.known().insert(now, key, origin);
    }

    /// Number of streams whose origins this gateway knows.
    pub fn count_known_origins(&self) -> u64 {
        self.stream_origins.known().len() as u64
    }
}

/// An origin as it is sent to another gateway.
fn to_message(now: Now, key: StreamKey, origin: &Origin) -> StreamOrigin {
    StreamOrigin {
        key,
        service: origin.service.clone(),
        version: origin.version.clone(),
        attempt: origin.attempt,
        keep: origin.expires.saturating_sub(now),
    }
}
