//! Order in which queued requests of one pool are dispatched.
//!
//! *Load pattern:* long prompts among short questions, and a few organisations that send most of
//! the load.
//!
//! *Without it:* an interactive caller waits behind a batch job with a long history; or, with
//! strict priority for short work, the batch job never runs.
//!
//! *Mechanism:* three lanes share the slot time by weight ([`Lane::weight`]). Within a lane,
//! organisations share by their weights ([`crate::fair`]). Within an organisation, the earliest
//! deadline goes first. A request close to its target start is promoted ahead of all of these:
//! fairness may reorder requests, but must not break the maximum wait that they were admitted with.
//!
//! Requests with a [`Priority`] have a lane for each [`Urgency`], and the most urgent lane with
//! work goes first. Of the dispatches of a class, new requests get at least one in
//! [`NEW_SHARE_DIVISOR`], however many streams are taken up. A class of which
//! [`MAX_OFFERS_WITHOUT_START`] requests were offered and none was dispatched gets a turn before
//! more urgent ones. Promotions would let every class go first under sustained overload, so there
//! are none among these lanes.
//!
//! *Thresholds:* the lead of a promotion is bounded both absolutely and as a part of the wait, see
//! `MAX_PROMOTION_LEAD`; prompts count as long from the length at which prefill alone takes as
//! long as a short question, see [`LONG_PROMPT_TOKENS`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::fair::FairShares;

/// Identifies a queued request within one queue.
pub type WaiterId = u64;

/// Prompts with more tokens than this are long. Their prefill alone takes about a second on the
/// stand-in engine, more than a whole short question.
pub const LONG_PROMPT_TOKENS: Tokens = 4_096;

/// A request is promoted ahead of its lane and organisation when this little time is left before
/// its target start, but not before the last eighth of its wait. With a lead of half a second, more
/// requests were due at once after a long wait than a router had turns for; with a lead of two
/// seconds on a short wait, the promoted requests of a large organisation overtook the fair turns
/// of all others.
const MAX_PROMOTION_LEAD: Duration = Duration::from_secs(2);
/// The lead is at most the wait divided by this; see [`MAX_PROMOTION_LEAD`].
const PROMOTION_LEAD_DIVISOR: u32 = 8;

/// Priority class of a request; 0 is the most urgent.
pub type PriorityClass = u8;

/// A class of which this many requests were offered without a dispatch is overdue. At most one
/// dispatch in this many goes to an overdue class, so that a less urgent class gains at most 5 in
/// 100 over a more urgent one.
pub const MAX_OFFERS_WITHOUT_START: u32 = 20;

/// Number of dispatches in a row of streams that clients take up, after which a new request of
/// their class gets a turn, if one waits.
pub const MAX_TAKEN_UP_IN_A_ROW: u32 = 3;
/// Minimum part of the dispatches of a class that new requests get while some wait, as a divisor.
pub const NEW_SHARE_DIVISOR: u32 = MAX_TAKEN_UP_IN_A_ROW + 1;

/// Which requests go first, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority class.
    pub class: PriorityClass,
    /// Whether it is a new request. A stream that its client takes up goes before new ones of its
    /// class: it has been paid for, and can't run at other software versions.
    pub is_new: bool,
}

impl Urgency {
    /// The most urgent requests of a class.
    pub fn first_of(class: PriorityClass) -> Self {
        Self {
            class,
            is_new: false,
        }
    }
}

/// Place of a request in a queue that is ordered by urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Priority {
    /// Its urgency.
    pub urgency: Urgency,
    /// Latest start at which its response begins within its target.
    pub target_start: Now,
    /// Latest start for which it waits.
    pub start_by: Now,
}

/// Class of work that is queued together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Interactive work with a short prompt.
    Short,
    /// Interactive work with a long prompt.
    Long,
    /// Work that no interactive user waits for.
    Batch,
    /// Work of a priority class.
    Priority(Urgency),
}

impl Lane {
    /// The lanes that share slot time by weight.
    pub const ALL: [Self; 3] = [Self::Short, Self::Long, Self::Batch];

    /// The lane of a request.
    pub fn of(class: WorkClass, prompt: Tokens) -> Self {
        match class {
            WorkClass::Batch => Self::Batch,
            WorkClass::Interactive if prompt > LONG_PROMPT_TOKENS => Self::Long,
            WorkClass::Interactive => Self::Short,
        }
    }

    /// Share of the slot time relative to other lanes that have work.
    pub fn weight(self) -> u32 {
        match self {
            Self::Short => 12,
            Self::Long => 3,
            Self::Batch | Self::Priority(_) => 1,
        }
    }
}

/// Requests that take turns as one: those of an organisation, or of an organisation on one route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Set if requests on this route have turns of their own, because an operator has set its
    /// share.
    pub route: Option<RouteName>,
}

/// A request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Organisation that the request belongs to.
    pub organisation: OrganisationId,
    /// Set if it has turns apart from the organisation's other requests.
    pub route: Option<RouteName>,
    /// Weight of its flow in fair queueing.
    pub weight: u32,
    /// Whether the work is interactive or batch.
    pub class: WorkClass,
    /// Prompt tokens; 0 for a plain call.
    pub prompt: Tokens,
    /// Expected time that it occupies a slot; see [`crate::estimate`].
    pub service: Duration,
    /// When its caller times out.
    pub deadline: Now,
    /// Set if the queue is ordered by priority class.
    pub priority: Option<Priority>,
}

impl Ticket {
    /// The lane it is queued in.
    pub fn lane(&self) -> Lane {
        self.priority.map_or_else(
            || Lane::of(self.class, self.prompt),
            |priority| Lane::Priority(priority.urgency),
        )
    }

    /// The flow with whose requests it takes turns.
    pub fn flow(&self) -> Flow {
        Flow {
            organisation: self.organisation.clone(),
            route: self.route.clone(),
        }
    }

    /// Requests of one flow are dispatched in this order.
    fn order(&self) -> Now {
        self.priority
            .map_or(self.deadline, |priority| priority.target_start)
    }

    /// Service time in microseconds, the unit of cost in fair queueing.
    pub fn cost(&self) -> u64 {
        u64::try_from(self.service.as_micros()).unwrap_or(u64::MAX)
    }
}

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Its identifier in the queue.
    pub id: WaiterId,
    /// What was asked for.
    pub ticket: Ticket,
    /// When it arrived.
    pub arrived: Now,
    /// Latest time at which it can start and still finish in time. It is dropped after this time,
    /// and not before.
    pub start_by: Now,
}

#[derive(Debug, Clone)]
struct QueuePosition {
    lane: Lane,
    flow: Flow,
    order: Now,
    promote_at: Now,
}

/// Queued requests of one flow in one lane, in their order.
#[derive(Debug, Clone, Default)]
struct FlowQueue {
    waiters: BTreeMap<(Now, WaiterId), Waiter>,
    cost: u64,
    weight: u32,
}

#[derive(Debug, Clone, Default)]
struct LaneQueue {
    queues: BTreeMap<Flow, FlowQueue>,
    cost: u64,
    weight: u64,
    shares: FairShares<Flow>,
    offers_without_start: u32,
}

/// All queued requests of one pool.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    lanes: BTreeMap<Lane, LaneQueue>,
    shares: FairShares<Lane>,
    positions: BTreeMap<WaiterId, QueuePosition>,
    by_promotion: BTreeSet<(Now, WaiterId)>,
    by_start_by: BTreeSet<(Now, WaiterId)>,
    counts: BTreeMap<OrganisationId, usize>,
    next_id: WaiterId,
    /// Dispatches since the last one out of turn.
    starts_in_turn: u32,
    /// By class, dispatches of streams that clients take up since the last new request of that class.
    taken_up_in_a_row: BTreeMap<PriorityClass, u32>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        let lanes = Lane::ALL.map(|lane| (lane, LaneQueue::default()));
        Self {
            lanes: BTreeMap::from(lanes),
            shares: FairShares::default(),
            positions: BTreeMap::new(),
            by_promotion: BTreeSet::new(),
            by_start_by: BTreeSet::new(),
            counts: BTreeMap::new(),
            next_id: 1,
            starts_in_turn: 0,
            taken_up_in_a_row: BTreeMap::new(),
        }
    }
}

impl WaitQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of queued requests of an organisation.
    pub fn count(&self, organisation: &OrganisationId) -> usize {
        self.counts.get(organisation).copied().unwrap_or_default()
    }

    /// Queued slot time in a lane, in microseconds: of one flow, and of all.
    pub fn backlog(&self, lane: Lane, flow: &Flow) -> (u64, u64) {
        let Some(queue) = self.lanes.get(&lane) else {
            return (0, 0);
        };
        let own = queue.queues.get(flow).map_or(0, |own| own.cost);
        (own, queue.cost)
    }

    /// Queued slot time that is more urgent, in microseconds.
    pub fn more_urgent_backlog(&self, urgency: Urgency) -> u64 {
        let first = Lane::Priority(Urgency::first_of(0));
        let more_urgent = self.lanes.range(first..Lane::Priority(urgency));
        more_urgent.fold(0, |sum, (_, queue)| sum.saturating_add(queue.cost))
    }

    /// Records that a request was offered, whether or not it is queued.
    pub fn record_offer(&mut self, lane: Lane) {
        let queue = self.lanes.entry(lane).or_default();
        queue.offers_without_start = queue.offers_without_start.saturating_add(1);
    }

    /// Whether requests of this urgency may have their next turn before more urgent ones.
    pub fn is_overdue(&self, urgency: Urgency) -> bool {
        let queue = self.lanes.get(&Lane::Priority(urgency));
        queue.is_some_and(LaneQueue::is_overdue)
    }

    /// Sum of the weights of the flows queued in a lane, including that of a new request.
    pub fn active_weight(&self, lane: Lane, ticket: &Ticket) -> u64 {
        let Some(queue) = self.lanes.get(&lane) else {
            return u64::from(ticket.weight);
        };
        let own = queue.queues.get(&ticket.flow());
        let others = queue.weight - own.map_or(0, |own| u64::from(own.weight));
        others + u64::from(ticket.weight)
    }

    /// Sum of the weights of the lanes that have work, including the lane of a new request.
    pub fn active_lane_weight(&self, newcomer: Lane) -> u32 {
        let has_work = |lane: &Lane| self.lanes.get(lane).is_some_and(|queue| queue.cost > 0);
        let busy = |lane: &Lane| *lane == newcomer || has_work(lane);
        let weights = Lane::ALL.into_iter().filter(busy).map(Lane::weight);
        weights.sum()
    }

    /// Queues a request. `target_start` is the latest start that admission accepted it for,
    /// `start_by` the latest start at which it can still finish in time.
    pub fn push(&mut self, now: Now, ticket: Ticket, target_start: Now, start_by: Now) -> WaiterId {
        let id = self.next_id;
        self.next_id += 1;
        let lead =
            (target_start.saturating_sub(now) / PROMOTION_LEAD_DIVISOR).min(MAX_PROMOTION_LEAD);
        let promote_at = target_start.saturating_sub(lead);
        let position = QueuePosition {
            lane: ticket.lane(),
            flow: ticket.flow(),
            order: ticket.order(),
            promote_at,
        };
        if ticket.priority.is_none() {
            self.by_promotion.insert((promote_at, id));
        }
        self.by_start_by.insert((start_by, id));
        *self
            .counts
            .entry(position.flow.organisation.clone())
            .or_default() += 1;
        self.shares.mark_ready(&position.lane);
        let queue = self.lanes.entry(position.lane).or_default();
        queue.add(Waiter {
            id,
            ticket,
            arrived: now,
            start_by,
        });
        self.positions.insert(id, position);
        id
    }

    /// Removes the request that is dispatched next, and charges its cost to its lane and
    /// flow.
    pub fn pop(&mut self, now: Now) -> Option<Waiter> {
        let id = self.next_promoted(now).or_else(|| self.next_fair())?;
        let waiter = self.remove(id)?;
        let ticket = &waiter.ticket;
        let lane = ticket.lane();
        if ticket.priority.is_some_and(|one| self.is_out_of_turn(one)) {
            self.starts_in_turn = 0;
        } else {
            self.starts_in_turn = self.starts_in_turn.saturating_add(1);
        }
        if let Some(priority) = ticket.priority {
            let in_a_row = self.taken_up_in_a_row.entry(priority.urgency.class);
            let in_a_row = in_a_row.or_default();
            *in_a_row = if priority.urgency.is_new {
                0
            } else {
                in_a_row.saturating_add(1)
            };
        }
        self.shares.charge(&lane, ticket.cost(), lane.weight());
        let queue = self.lanes.entry(lane).or_default();
        queue.offers_without_start = 0;
        queue
            .shares
            .charge(&ticket.flow(), ticket.cost(), ticket.weight);
        Some(waiter)
    }

    /// Returns the cost of a request to its lane and flow: it was removed by
    /// [`WaitQueue::pop`], but not dispatched.
    pub fn refund(&mut self, ticket: &Ticket) {
        let lane = ticket.lane();
        self.shares.refund(&lane, ticket.cost(), lane.weight());
        let queue = self.lanes.entry(lane).or_default();
        queue
            .shares
            .refund(&ticket.flow(), ticket.cost(), ticket.weight);
    }

    /// When the next request is removed by [`WaitQueue::pop_expired`].
    pub fn next_expiry(&self) -> Option<Now> {
        self.by_start_by.first().map(|(start_by, _)| *start_by)
    }

    /// Removes a request that can no longer be served in time, if there is one.
    pub fn pop_expired(&mut self, now: Now) -> Option<Waiter> {
        let (start_by, id) = self.by_start_by.first().copied()?;
        if start_by >= now {
            return None;
        }
        self.remove(id)
    }

    /// Removes a request whose caller has disconnected.
    pub fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let position = self.positions.remove(&id)?;
        let queue = self.lanes.get_mut(&position.lane)?;
        let waiter = queue.take(&position.flow, (position.order, id))?;
        if queue.queues.is_empty() {
            self.shares.mark_idle(&position.lane);
        }
        self.by_promotion.remove(&(position.promote_at, id));
        self.by_start_by.remove(&(waiter.start_by, id));
        if let Some(count) = self.counts.get_mut(&position.flow.organisation) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&position.flow.organisation);
            }
        }
        Some(waiter)
    }

    fn next_promoted(&self, now: Now) -> Option<WaiterId> {
        let (from, id) = self.by_promotion.first()?;
        (*from <= now).then_some(*id)
    }

    fn next_fair(&self) -> Option<WaiterId> {
        let lane = self
            .next_priority()
            .or_else(|| self.shares.next().copied())?;
        let queue = self.lanes.get(&lane)?;
        let flow = queue.shares.next()?;
        let own = queue.queues.get(flow)?;
        let ((_, id), _) = own.waiters.first_key_value()?;
        Some(*id)
    }

    /// The lane of the urgency whose turn it is.
    fn next_priority(&self) -> Option<Lane> {
        let first = Lane::Priority(Urgency::first_of(0));
        let lanes = self.lanes.range(first..);
        let mut ready = lanes.filter(|(_, queue)| !queue.queues.is_empty());
        if self.starts_in_turn >= MAX_OFFERS_WITHOUT_START {
            let overdue = ready.clone().filter(|(_, queue)| queue.is_overdue());
            let longest = overdue.max_by_key(|(_, queue)| queue.offers_without_start);
            if let Some((lane, _)) = longest {
                return Some(*lane);
            }
        }
        let (most_urgent, _) = ready.next()?;
        let new_requests = self.new_requests_after(*most_urgent);
        Some(new_requests.unwrap_or(*most_urgent))
    }

    /// The lane of new requests whose turn it is after streams of their class that clients take up.
    fn new_requests_after(&self, lane: Lane) -> Option<Lane> {
        let Lane::Priority(urgency) = lane else {
            return None;
        };
        let new_requests = Lane::Priority(Urgency {
            is_new: true,
            ..urgency
        });
        let queue = self.lanes.get(&new_requests)?;
        let in_a_row = self.taken_up_in_a_row.get(&urgency.class);
        let is_due = in_a_row.is_some_and(|in_a_row| *in_a_row >= MAX_TAKEN_UP_IN_A_ROW);
        let has_turn = is_due && !queue.queues.is_empty();
        has_turn.then_some(new_requests)
    }

    /// Whether more urgent classes have queued work.
    fn is_out_of_turn(&self, priority: Priority) -> bool {
        self.more_urgent_backlog(Urgency::first_of(priority.urgency.class)) > 0
    }
}

impl LaneQueue {
    fn is_overdue(&self) -> bool {
        self.offers_without_start >= MAX_OFFERS_WITHOUT_START
    }

    fn add(&mut self, waiter: Waiter) {
        let flow = waiter.ticket.flow();
        let cost = waiter.ticket.cost();
        self.cost = self.cost.saturating_add(cost);
        self.shares.mark_ready(&flow);
        let own = self.queues.entry(flow).or_default();
        // The newest request's weight applies, as settings can change while requests are queued.
        self.weight -= u64::from(own.weight);
        own.weight = waiter.ticket.weight;
        self.weight += u64::from(own.weight);
        own.cost = own.cost.saturating_add(cost);
        own.waiters
            .insert((waiter.ticket.order(), waiter.id), waiter);
    }

    fn take(&mut self, flow: &Flow, at: (Now, WaiterId)) -> Option<Waiter> {
        let own = self.queues.get_mut(flow)?;
        let waiter = own.waiters.remove(&at)?;
        let cost = waiter.ticket.cost();
        self.cost = self.cost.saturating_sub(cost);
        own.cost = own.cost.saturating_sub(cost);
        if own.waiters.is_empty() {
            self.weight -= u64::from(own.weight);
            self.queues.remove(flow);
            self.shares.mark_idle(flow);
        }
        Some(waiter)
    }
}
