//! Cached copies of the platform's list of endpoints, each with an upper bound of its age.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_wire::msg::{ListDigest, ListReply, ListRequest, ListUpdate, ListedEndpoint};
use anvil_world::prelude::*;
use anvilreel::moment::Moment;
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

/// Endpoints by id.
type Entries = BTreeMap<InstanceId, ListedEndpoint>;

/// Earlier lists that are kept to send only the changes to siblings. A sibling with an older list
/// receives the complete one.
const MAX_EARLIER_LISTS: usize = 4;

/// One version of the list.
#[derive(Debug, Clone)]
pub struct ListSnapshot {
    version: ListDigest,
    entries: Arc<Entries>,
    /// When its reading began, or earlier.
    as_of: Moment,
}

impl ListSnapshot {
    fn new(entries: Entries, as_of: Moment) -> Self {
        Self {
            version: digest(&entries),
            entries: Arc::new(entries),
            as_of,
        }
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values()
    }

    /// Maximum time since it was read.
    pub fn age(&self) -> Duration {
        self.as_of.age()
    }
}

/// The newest list and a few earlier ones.
pub struct ListCache {
    newest: watch::Sender<Option<ListSnapshot>>,
    earlier: Mutex<VecDeque<ListSnapshot>>,
}

impl Default for ListCache {
    fn default() -> Self {
        Self {
            newest: watch::Sender::new(None),
            earlier: Mutex::default(),
        }
    }
}

impl ListCache {
    /// The newest list.
    pub fn newest(&self) -> Option<ListSnapshot> {
        self.newest.borrow().clone()
    }

    /// Maximum time since the newest list was read; `Duration::MAX` if there is none.
    pub fn age(&self) -> Duration {
        let newest = self.newest.borrow();
        newest.as_ref().map_or(Duration::MAX, ListSnapshot::age)
    }

    /// Version of the newest list; 0 if there is none.
    pub fn version(&self) -> ListDigest {
        let newest = self.newest.borrow();
        newest.as_ref().map_or(0, |snapshot| snapshot.version)
    }

    /// Stores a list whose reading from the platform began at `started`.
    pub fn store_reading(&self, started: Moment, listed: Vec<ListedEndpoint>) {
        let mut entries = Entries::new();
        for listed in listed {
            let is_leaving = listed.leaving;
            let id = listed.id.clone();
            // Of two entries with the same id the first is used; it is leaving if either of them
            // says so.
            entries.entry(id).or_insert(listed).leaving |= is_leaving;
        }
        self.replace_newest(ListSnapshot::new(entries, started));
    }

    /// Applies a sibling's reply to a request sent at `asked_at`. Returns whether it is newer than the
    /// cached list.
    pub fn apply_reply(&self, asked_at: Moment, reply: ListReply) -> bool {
        let Some(as_of) = asked_at.shifted(reply.held_for, reply.age) else {
            return false;
        };
        let cached = self.newest();
        let is_newer = cached
            .as_ref()
            .is_none_or(|cached| as_of.monotonic > cached.as_of.monotonic);
        let Some(snapshot) = apply_news(reply.news, cached, as_of).filter(|_| is_newer) else {
            return false;
        };
        self.replace_newest(snapshot);
        true
    }

    fn replace_newest(&self, snapshot: ListSnapshot) {
        let previous = self.newest.send_replace(Some(snapshot));
        let Some(previous) = previous.filter(|previous| previous.version != self.version()) else {
            return;
        };
        let mut earlier = self.earlier();
        earlier.push_front(previous);
        earlier.truncate(MAX_EARLIER_LISTS);
    }

    /// Waits until the cached list satisfies the request or its time is over, then replies.
    pub async fn answer_when_fresh(&self, request: &ListRequest, max_age: Duration) -> ListReply {
        let asked_at = Moment::now();
        let is_fresh = |snapshot: &ListSnapshot| {
            snapshot.as_of.monotonic + request.read_within >= asked_at.monotonic
                && snapshot.age() < max_age
        };
        let mut newest = self.newest.subscribe();
        let waiting_for_fresh = newest.wait_for(|newest| newest.as_ref().is_some_and(is_fresh));
        // The reply carries the list's age, so it is valid even if the wait timed out.
        let _ = tokio::time::timeout(request.wait.min(max_age), waiting_for_fresh).await;
        ListReply {
            held_for: asked_at.monotonic.elapsed(),
            age: self.age(),
            news: self.changes_since(request.have),
        }
    }

    fn changes_since(&self, known_version: ListDigest) -> ListUpdate {
        let Some(newest) = self.newest() else {
            return ListUpdate::Nothing;
        };
        if newest.version == known_version {
            return ListUpdate::Same;
        }
        let earlier = self.earlier();
        let base = earlier
            .iter()
            .find(|snapshot| snapshot.version == known_version);
        let Some(base) = base else {
            return ListUpdate::Whole {
                version: newest.version,
                listed: newest.endpoints().cloned().collect(),
            };
        };
        let is_new = |listed: &&ListedEndpoint| base.entries.get(&listed.id) != Some(*listed);
        let is_gone = |id: &&InstanceId| !newest.entries.contains_key(*id);
        ListUpdate::Changes {
            version: newest.version,
            listed: newest.endpoints().filter(is_new).cloned().collect(),
            gone: base.entries.keys().filter(is_gone).cloned().collect(),
        }
    }

    fn earlier(&self) -> MutexGuard<'_, VecDeque<ListSnapshot>> {
        // Sound after a panic elsewhere: lists are stored whole.
        self.earlier.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The list that results from a reply; `None` if it does not match the version the reply names.
fn apply_news(
    update: ListUpdate,
    cached: Option<ListSnapshot>,
    as_of: Moment,
) -> Option<ListSnapshot> {
    let (version, entries) = match update {
        ListUpdate::Nothing => return None,
        ListUpdate::Same => return Some(ListSnapshot { as_of, ..cached? }),
        ListUpdate::Whole { version, listed } => {
            let by_id = listed.into_iter().map(|listed| (listed.id.clone(), listed));
            (version, by_id.collect())
        }
        ListUpdate::Changes {
            version,
            listed,
            gone,
        } => {
            let mut entries = Entries::clone(&cached?.entries);
            entries.retain(|id, _| !gone.contains(id));
            entries.extend(listed.into_iter().map(|listed| (listed.id.clone(), listed)));
            (version, entries)
        }
    };
    Some(ListSnapshot::new(entries, as_of)).filter(|snapshot| snapshot.version == version)
}

/// Equal for equal lists on all gateways; never 0.
fn digest(entries: &Entries) -> ListDigest {
    let mut hasher = Xxh3::new();
    for listed in entries.values() {
        for text in [&listed.id, &listed.service, &listed.zone, &listed.version] {
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(listed.addr.to_string().as_bytes());
        hasher.update(&listed.slots.to_le_bytes());
        hasher.update(&[u8::from(listed.leaving), u8::from(listed.warming_up)]);
    }
    hasher.digest().max(1)
}
