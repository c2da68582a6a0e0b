//! Cached copies of the platform's list of endpoints, each with an upper bound of its age.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use anvil_wire::msg::{ListAsk, ListNews, ListReply, ListVersion, Listed};
use anvil_world::prelude::*;
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

/// Endpoints by id.
type Entries = BTreeMap<InstanceId, Listed>;

/// Earlier lists that are kept to send only the changes to siblings. A sibling with an older list
/// receives the complete one.
const MAX_EARLIER_LISTS: usize = 4;

/// A moment on both the monotonic clock and the wall clock.
///
/// Failure: while a machine is suspended, the monotonic clock may stand still. An outdated list
/// then counts as fresh, and siblings send requests to endpoints that have left in the meantime.
/// The wall clock includes the suspension; if it was adjusted, the greater of both ages is the safe
/// one.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    monotonic: Instant,
    wall: SystemTime,
}

impl Moment {
    /// The current moment.
    pub fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// Maximum time since this moment.
    pub fn age(&self) -> Duration {
        // A wall clock that was set back yields no age.
        let wall = self.wall.elapsed().unwrap_or_default();
        self.monotonic.elapsed().max(wall)
    }

    /// The moment shifted forward by `after` and back by `before`; `None` if a clock can't
    /// represent it.
    fn shifted(&self, after: Duration, before: Duration) -> Option<Self> {
        let steady = self.monotonic.checked_add(after)?.checked_sub(before)?;
        let wall = self.wall.checked_add(after)?.checked_sub(before)?;
        Some(Self {
            monotonic: steady,
            wall,
        })
    }
}

/// One version of the list.
#[derive(Debug, Clone)]
pub struct ListSnapshot {
    version: ListVersion,
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
    pub fn endpoints(&self) -> impl Iterator<Item = &Listed> {
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
    pub fn version(&self) -> ListVersion {
        let newest = self.newest.borrow();
        newest.as_ref().map_or(0, |listing| listing.version)
    }

    /// Stores a list whose reading from the platform began at `begun`.
    pub fn store_reading(&self, begun: Moment, listed: Vec<Listed>) {
        let mut entries = Entries::new();
        for listed in listed {
            let leaves = listed.leaving;
            let id = listed.id.clone();
            // Of two entries with the same id the first is used; it is leaving if either of them
            // says so.
            entries.entry(id).or_insert(listed).leaving |= leaves;
        }
        self.store(ListSnapshot::new(entries, begun));
    }

    /// Applies a sibling's reply to a request sent at `asked`. Returns whether it is newer than the
    /// cached list.
    pub fn apply_reply(&self, asked: Moment, reply: ListReply) -> bool {
        let Some(as_of) = asked.shifted(reply.held_for, reply.age) else {
            return false;
        };
        let held = self.newest();
        let is_newer = held
            .as_ref()
            .is_none_or(|held| as_of.monotonic > held.as_of.monotonic);
        let Some(listing) = apply_news(reply.news, held, as_of).filter(|_| is_newer) else {
            return false;
        };
        self.store(listing);
        true
    }

    fn store(&self, listing: ListSnapshot) {
        let before = self.newest.send_replace(Some(listing));
        let Some(before) = before.filter(|before| before.version != self.version()) else {
            return;
        };
        let mut earlier = self.earlier();
        earlier.push_front(before);
        earlier.truncate(MAX_EARLIER_LISTS);
    }

    /// Waits until the cached list satisfies the request or its time is over, then replies.
    pub async fn answer(&self, ask: &ListAsk, most: Duration) -> ListReply {
        let asked = Moment::now();
        let is_fresh = |listing: &ListSnapshot| {
            listing.as_of.monotonic + ask.read_within >= asked.monotonic && listing.age() < most
        };
        let mut newest = self.newest.subscribe();
        let waiting = newest.wait_for(|newest| newest.as_ref().is_some_and(is_fresh));
        // The reply carries the list's age, so it is valid even if the wait timed out.
        let _ = tokio::time::timeout(ask.wait.min(most), waiting).await;
        ListReply {
            held_for: asked.monotonic.elapsed(),
            age: self.age(),
            news: self.changes_since(ask.have),
        }
    }

    fn changes_since(&self, have: ListVersion) -> ListNews {
        let Some(newest) = self.newest() else {
            return ListNews::Nothing;
        };
        if newest.version == have {
            return ListNews::Same;
        }
        let earlier = self.earlier();
        let known = earlier.iter().find(|listing| listing.version == have);
        let Some(known) = known else {
            return ListNews::Whole {
                version: newest.version,
                listed: newest.endpoints().cloned().collect(),
            };
        };
        let is_new = |listed: &&Listed| known.entries.get(&listed.id) != Some(*listed);
        let is_gone = |id: &&InstanceId| !newest.entries.contains_key(*id);
        ListNews::Changes {
            version: newest.version,
            listed: newest.endpoints().filter(is_new).cloned().collect(),
            gone: known.entries.keys().filter(is_gone).cloned().collect(),
        }
    }

    fn earlier(&self) -> MutexGuard<'_, VecDeque<ListSnapshot>> {
        // Sound after a panic elsewhere: lists are stored whole.
        self.earlier.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The list that results from a reply; `None` if it does not match the version the reply names.
fn apply_news(news: ListNews, held: Option<ListSnapshot>, as_of: Moment) -> Option<ListSnapshot> {
    let (version, entries) = match news {
        ListNews::Nothing => return None,
        ListNews::Same => return Some(ListSnapshot { as_of, ..held? }),
        ListNews::Whole { version, listed } => {
            let named = listed.into_iter().map(|listed| (listed.id.clone(), listed));
            (version, named.collect())
        }
        ListNews::Changes {
            version,
            listed,
            gone,
        } => {
            let mut entries = Entries::clone(&held?.entries);
            entries.retain(|id, _| !gone.contains(id));
            entries.extend(listed.into_iter().map(|listed| (listed.id.clone(), listed)));
            (version, entries)
        }
    };
    Some(ListSnapshot::new(entries, as_of)).filter(|listing| listing.version == version)
}

/// Equal for equal lists on all gateways; never 0.
fn digest(entries: &Entries) -> ListVersion {
    let mut hash = Xxh3::new();
    for listed in entries.values() {
        for text in [&listed.id, &listed.service, &listed.zone] {
            hash.update(text.as_bytes());
            hash.update(&[0]);
        }
        hash.update(listed.addr.to_string().as_bytes());
        hash.update(&listed.slots.to_le_bytes());
        hash.update(&[u8::from(listed.leaving)]);
    }
    hash.digest().max(1)
}
