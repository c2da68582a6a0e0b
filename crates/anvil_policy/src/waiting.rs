//! The order in which waiting work gets its turn.
//!
//! *Answers:* long histories among short questions, and a few organisations with most of the
//! load.
//!
//! *Without it:* a customer on the phone waits behind a summary of thirty years of repairs; or,
//! with short work always first, the summary is never made.
//!
//! *How:* three lanes share the turns by weight ([`Lane::weight`]); inside a lane organisations
//! share by their weights ([`crate::fair`]); inside an organisation the earliest deadline is
//! first. Work that has almost waited as long as was promised goes before all of that: fairness
//! may reorder promises but not break them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::fair::FairShares;

/// Names a waiting request inside one queue.
pub type WaiterId = u64;

/// Prompts above this many tokens are long. Their prefill alone takes about a second on the
/// stand-in engine, which is more than a short question takes in all.
pub const LONG_PROMPT: Tokens = 4_096;

/// Work this close to the end of its promised wait goes first, whatever its lane and
/// organisation; but no sooner than in the last eighth of the wait. With half a second, more of
/// them stood there after a long wait than a router had turns; with two seconds of a short wait
/// the rescued of a large organisation went before everybody else's fair turns.
const RESCUE: Duration = Duration::from_secs(2);
/// See [`RESCUE`].
const RESCUED_PART: u32 = 8;

/// What kind of work waits together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Somebody waits for a short answer.
    Short,
    /// Somebody waits, but the prompt is long.
    Long,
    /// Nobody waits in front of a screen.
    Batch,
}

impl Lane {
    /// All lanes.
    pub const ALL: [Self; 3] = [Self::Short, Self::Long, Self::Batch];

    /// The lane of a request.
    pub fn of(class: WorkClass, prompt: Tokens) -> Self {
        match class {
            WorkClass::Batch => Self::Batch,
            WorkClass::Interactive if prompt > LONG_PROMPT => Self::Long,
            WorkClass::Interactive => Self::Short,
        }
    }

    /// Share of the slot time against other lanes with work.
    pub fn weight(self) -> u32 {
        match self {
            Self::Short => 12,
            Self::Long => 3,
            Self::Batch => 1,
        }
    }
}

/// A request that asks to be let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Who asks.
    pub organisation: OrganisationId,
    /// The organisation's weight.
    pub weight: u32,
    /// How it waits.
    pub class: WorkClass,
    /// Prompt tokens; 0 for a plain call.
    pub prompt: Tokens,
    /// Time that it will hold a slot; see [`crate::estimate`].
    pub service: Duration,
    /// When its caller gives up.
    pub deadline: Now,
}

impl Ticket {
    /// Its lane.
    pub fn lane(&self) -> Lane {
        Lane::of(self.class, self.prompt)
    }

    /// Its service time in microseconds, the unit of cost.
    pub fn cost(&self) -> u64 {
        u64::try_from(self.service.as_micros()).unwrap_or(u64::MAX)
    }
}

/// A ticket in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Its number.
    pub id: WaiterId,
    /// What was asked.
    pub ticket: Ticket,
    /// When it came.
    pub arrived: Now,
    /// Latest time at which its turn still helps. It is given up on then, and not before.
    pub start_by: Now,
}

#[derive(Debug, Clone)]
struct Place {
    lane: Lane,
    organisation: OrganisationId,
    deadline: Now,
    rescued_from: Now,
}

/// What one organisation has waiting in a lane, earliest deadline first.
#[derive(Debug, Clone, Default)]
struct OwnQueue {
    waiters: BTreeMap<(Now, WaiterId), Waiter>,
    cost: u64,
    weight: u32,
}

#[derive(Debug, Clone, Default)]
struct LaneQueue {
    queues: BTreeMap<OrganisationId, OwnQueue>,
    cost: u64,
    weight: u64,
    shares: FairShares<OrganisationId>,
}

/// All waiting work of one pool.
#[derive(Debug, Clone)]
pub struct Waiting {
    lanes: BTreeMap<Lane, LaneQueue>,
    shares: FairShares<Lane>,
    places: BTreeMap<WaiterId, Place>,
    by_rescue: BTreeSet<(Now, WaiterId)>,
    by_start: BTreeSet<(Now, WaiterId)>,
    counts: BTreeMap<OrganisationId, usize>,
    next_id: WaiterId,
}

impl Default for Waiting {
    fn default() -> Self {
        let lanes = Lane::ALL.map(|lane| (lane, LaneQueue::default()));
        Self {
            lanes: BTreeMap::from(lanes),
            shares: FairShares::default(),
            places: BTreeMap::new(),
            by_rescue: BTreeSet::new(),
            by_start: BTreeSet::new(),
            counts: BTreeMap::new(),
            next_id: 1,
        }
    }
}

impl Waiting {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many of an organisation wait.
    pub fn count(&self, organisation: &OrganisationId) -> usize {
        self.counts.get(organisation).copied().unwrap_or_default()
    }

    /// Slot time, in microseconds, that waits in a lane: of one organisation, and of all.
    pub fn backlog(&self, lane: Lane, organisation: &OrganisationId) -> (u64, u64) {
        let queue = &self.lanes[&lane];
        let own = queue.queues.get(organisation).map_or(0, |own| own.cost);
        (own, queue.cost)
    }

    /// Weights of the organisations that wait in a lane, with that of a newcomer.
    pub fn active_weight(&self, lane: Lane, ticket: &Ticket) -> u64 {
        let queue = &self.lanes[&lane];
        let own = queue.queues.get(&ticket.organisation);
        let others = queue.weight - own.map_or(0, |own| u64::from(own.weight));
        others + u64::from(ticket.weight)
    }

    /// Weights of the lanes with work, with that of a newcomer's lane.
    pub fn active_lanes(&self, newcomer: Lane) -> u32 {
        let busy = |lane: &Lane| *lane == newcomer || self.lanes[lane].cost > 0;
        let weights = Lane::ALL.into_iter().filter(busy).map(Lane::weight);
        weights.sum()
    }

    /// Puts a request in the queue. `promised` is when it should have its turn at the latest,
    /// `start_by` when its turn no longer helps.
    pub fn push(&mut self, now: Now, ticket: Ticket, promised: Now, start_by: Now) -> WaiterId {
        let id = self.next_id;
        self.next_id += 1;
        let early = (promised.saturating_sub(now) / RESCUED_PART).min(RESCUE);
        let rescued_from = promised.saturating_sub(early);
        let place = Place {
            lane: ticket.lane(),
            organisation: ticket.organisation.clone(),
            deadline: ticket.deadline,
            rescued_from,
        };
        self.by_rescue.insert((rescued_from, id));
        self.by_start.insert((start_by, id));
        *self.counts.entry(place.organisation.clone()).or_default() += 1;
        self.shares.wake(&place.lane);
        let queue = self.lanes.entry(place.lane).or_default();
        queue.add(Waiter {
            id,
            ticket,
            arrived: now,
            start_by,
        });
        self.places.insert(id, place);
        id
    }

    /// Takes out the one whose turn it is. Its cost counts against its lane and organisation.
    pub fn pop(&mut self, now: Now) -> Option<Waiter> {
        let id = self.rescued(now).or_else(|| self.fair_next())?;
        let waiter = self.remove(id)?;
        let ticket = &waiter.ticket;
        let lane = ticket.lane();
        self.shares.charge(&lane, ticket.cost(), lane.weight());
        let queue = self.lanes.entry(lane).or_default();
        queue
            .shares
            .charge(&ticket.organisation, ticket.cost(), ticket.weight);
        Some(waiter)
    }

    /// Takes out one that can no longer be served in time, if there is any.
    pub fn pop_expired(&mut self, now: Now) -> Option<Waiter> {
        let (start_by, id) = self.by_start.first().copied()?;
        if start_by >= now {
            return None;
        }
        self.remove(id)
    }

    /// Takes one out, because its caller left.
    pub fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let place = self.places.remove(&id)?;
        let queue = self.lanes.get_mut(&place.lane)?;
        let waiter = queue.take(&place.organisation, (place.deadline, id))?;
        if queue.queues.is_empty() {
            self.shares.sleep(&place.lane);
        }
        self.by_rescue.remove(&(place.rescued_from, id));
        self.by_start.remove(&(waiter.start_by, id));
        if let Some(count) = self.counts.get_mut(&place.organisation) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&place.organisation);
            }
        }
        Some(waiter)
    }

    fn rescued(&self, now: Now) -> Option<WaiterId> {
        let (from, id) = self.by_rescue.first()?;
        (*from <= now).then_some(*id)
    }

    fn fair_next(&self) -> Option<WaiterId> {
        let lane = self.shares.next()?;
        let queue = &self.lanes[lane];
        let organisation = queue.shares.next()?;
        let own = queue.queues.get(organisation)?;
        let ((_, id), _) = own.waiters.first_key_value()?;
        Some(*id)
    }
}

impl LaneQueue {
    fn add(&mut self, waiter: Waiter) {
        let organisation = waiter.ticket.organisation.clone();
        let cost = waiter.ticket.cost();
        self.cost = self.cost.saturating_add(cost);
        self.shares.wake(&organisation);
        let own = self.queues.entry(organisation).or_default();
        // The newest ticket's weight holds, as settings change while work waits.
        self.weight -= u64::from(own.weight);
        own.weight = waiter.ticket.weight;
        self.weight += u64::from(own.weight);
        own.cost = own.cost.saturating_add(cost);
        own.waiters
            .insert((waiter.ticket.deadline, waiter.id), waiter);
    }

    fn take(&mut self, organisation: &OrganisationId, at: (Now, WaiterId)) -> Option<Waiter> {
        let own = self.queues.get_mut(organisation)?;
        let waiter = own.waiters.remove(&at)?;
        let cost = waiter.ticket.cost();
        self.cost = self.cost.saturating_sub(cost);
        own.cost = own.cost.saturating_sub(cost);
        if own.waiters.is_empty() {
            self.weight -= u64::from(own.weight);
            self.queues.remove(organisation);
            self.shares.sleep(organisation);
        }
        Some(waiter)
    }
}
