//! Admission control for one pool: whether a request runs, waits or is refused.
//!
//! *Load pattern:* bursts of ten times the usual rate, and sustained saturation.
//!
//! *Without it:* every request is admitted, each queue grows until its callers have given up, and
//! the endpoints work on answers that nobody reads. With only a limit on the queue length, one
//! organisation fills the queue and all others are refused.
//!
//! *Mechanism:* queued work is measured in slot time, so the expected wait is the backlog divided
//! by the number of slots ([`AdmissionGate::set_limit`]). A new request is refused at once when
//! * it can't finish before its deadline after waiting for its organisation's fair share, or
//! * the backlog of its organisation exceeds the part of the whole that is still free. This is a
//!   dynamic threshold: one organisation alone fills half, two fill a third each, and an
//!   organisation without queued work always finds space.
//!
//! *Thresholds:* the whole backlog stays below the maximum wait, so that all admitted work can be
//! served in time; [`crate::waiting`] orders the queue accordingly. The maximum wait is shorter
//! during sustained saturation, when a long queue adds delay and no throughput; [`AdmissionRule`]
//! has the reason for each value.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;

use crate::deadline::{Forecast, retry_delay};
use crate::grant::Demand;
use crate::waiting::{
    Lane, MAX_OFFERS_WITHOUT_START, NEW_SHARE_DIVISOR, Priority, Ticket, Urgency, WaitQueue,
    Waiter, WaiterId,
};

/// Bounds on queued work.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRule {
    /// Maximum wait that is accepted for interactive work. Batch work may wait as long as it can
    /// still finish before its deadline. Admitted work is not dropped after this time if capacity
    /// falls: it is dispatched first, and is dropped only when it can no longer meet its deadline.
    pub max_wait: Duration,
    /// A queue that has not been empty for this long indicates saturation rather than a burst.
    pub saturated_after: Duration,
    /// Maximum wait that is accepted during saturation. A longer queue serves no more requests:
    /// just as many are refused, and the others only wait longer.
    pub saturated_wait: Duration,
    /// Factor by which the estimated wait exceeds what the backlog implies. The margin covers what
    /// the estimate can't know when a request is admitted: a limit that falls later, tokens that
    /// come more slowly under load, or a lost endpoint.
    pub wait_safety_factor: f64,
    /// Maximum number of queued requests in one pool; bounds memory.
    pub max_waiting: usize,
}

impl Default for AdmissionRule {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(30),
            saturated_after: Duration::from_secs(30),
            saturated_wait: Duration::from_secs(5),
            wait_safety_factor: 1.33,
            max_waiting: 4_096,
        }
    }
}

/// Time over which the demand of more urgent priority classes is measured.
const URGENT_DEMAND_HORIZON: Duration = Duration::from_secs(1);

/// Outcome of admission for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now. The caller reports its end with [`AdmissionGate::finished`].
    Run,
    /// The request is queued; [`AdmissionGate::next`] or [`AdmissionGate::expired`] returns it
    /// later.
    Wait(WaiterId),
    /// The request is refused now.
    Refuse(Refusal),
}

/// Admission and queue of one pool in one router. All calls are short and are meant to be made
/// under a lock.
#[derive(Debug, Clone, Default)]
pub struct AdmissionGate {
    rule: AdmissionRule,
    waiting: WaitQueue,
    running: u32,
    limit: u32,
    /// Slots that queued requests are observed to get; `None` if not observed.
    observed_slots: Option<f64>,
    /// Slot time that was queued with each urgency, in microseconds.
    queued_demand: BTreeMap<Urgency, Demand>,
    last_empty_at: Now,
}

impl AdmissionGate {
    /// Creates a gate with these bounds and no slots.
    pub fn new(rule: AdmissionRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Sets the initial number of slots.
    pub fn with_limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how many requests may run at a time: those that run now plus the pool's headroom
    /// ([`crate::choice::Pool::headroom`]). To be called on a tick and after each load report.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Sets how many requests run, where the caller counts them itself, and how many slots queued
    /// requests are observed to get, if that is known.
    pub fn set_running(&mut self, running: u32, observed_slots: Option<f64>) {
        self.running = running;
        self.observed_slots = observed_slots;
    }

    /// Maximum number of requests that run at a time.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Admits, queues or refuses a new request.
    pub fn offer(&mut self, now: Now, ticket: Ticket) -> AdmissionDecision {
        if self.waiting.is_empty() {
            self.last_empty_at = now;
        }
        if ticket.priority.is_some() {
            self.waiting.record_offer(ticket.lane());
        }
        if let Some(refusal) = self.refusal(now, &ticket) {
            return AdmissionDecision::Refuse(refusal);
        }
        if self.waiting.is_empty() && self.running < self.limit {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let start_by = ticket.priority.map_or_else(
            || ticket.deadline.saturating_sub(ticket.service),
            |priority| priority.start_by,
        );
        if let Some(priority) = ticket.priority {
            let demand = self.queued_demand.entry(priority.urgency);
            let demand = demand.or_insert_with(|| Demand::over(URGENT_DEMAND_HORIZON));
            demand.add(now, ticket.cost());
        }
        AdmissionDecision::Wait(self.push(now, now, ticket, start_by))
    }

    /// Dispatches the next queued request, if a slot is free. To be called until it returns `None`,
    /// after each [`AdmissionGate::finished`] and each [`AdmissionGate::set_limit`].
    pub fn next(&mut self, now: Now) -> Option<Waiter> {
        if self.running >= self.limit {
            return None;
        }
        let waiter = self.waiting.pop(now)?;
        self.running += 1;
        if self.waiting.is_empty() {
            self.last_empty_at = now;
        }
        Some(waiter)
    }

    /// Removes a queued request that can no longer finish in time and returns it with its refusal.
    /// To be called until it returns `None`, on a tick, so that the caller is answered at once.
    pub fn expired(&mut self, now: Now) -> Option<(Waiter, Refusal)> {
        let waiter = self.waiting.pop_expired(now)?;
        let wait = self.forecast(now, &waiter.ticket).wait;
        let refusal = Refusal::new(Reason::Overloaded).with_retry_after(retry_delay(wait));
        Some((waiter, refusal))
    }

    /// Queues a request again that was dispatched but found every endpoint full. Its target start
    /// still counts from `waiter.arrived`, and it is dispatched first when little time is left.
    pub fn requeue(&mut self, now: Now, waiter: &Waiter) -> WaiterId {
        self.running = self.running.saturating_sub(1);
        self.push(now, waiter.arrived, waiter.ticket.clone(), waiter.start_by)
    }

    /// Queues a request again that [`AdmissionGate::next`] returned and that was not dispatched, as
    /// if it had not been returned.
    pub fn put_back(&mut self, now: Now, waiter: &Waiter) -> WaiterId {
        self.waiting.refund(&waiter.ticket);
        self.requeue(now, waiter)
    }

    /// When the next queued request expires.
    pub fn next_expiry(&self) -> Option<Now> {
        self.waiting.next_expiry()
    }

    /// Records that a running request has ended.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a queued request whose caller has disconnected; returns whether it was queued.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        self.waiting.remove(id).is_some()
    }

    /// Forecast for a new request, given the current backlog.
    pub fn forecast(&self, now: Now, ticket: &Ticket) -> Forecast {
        if let Some(priority) = ticket.priority {
            return Forecast {
                wait: self.expected_wait(now, ticket),
                service: Duration::ZERO,
                time_left: priority.start_by.saturating_sub(now),
                max_wait: self.max_wait(now, ticket),
            };
        }
        Forecast {
            wait: self.expected_wait(now, ticket),
            service: ticket.service,
            time_left: ticket.deadline.saturating_sub(now),
            max_wait: self.max_wait(now, ticket),
        }
    }

    fn refusal(&self, now: Now, ticket: &Ticket) -> Option<Refusal> {
        let forecast = self.forecast(now, ticket);
        if let Some(refusal) = forecast.refusal() {
            return Some(refusal);
        }
        let own = self.waiting.count(&ticket.organisation);
        let free = self.rule.max_waiting.saturating_sub(self.waiting.len());
        let excess = self.threshold_excess(now, ticket);
        if own < free && excess.is_zero() {
            return None;
        }
        let after = retry_delay(excess.max(forecast.wait));
        Some(Refusal::new(Reason::Overloaded).with_retry_after(after))
    }

    /// Expected wait in the request's lane at the fair share of its organisation.
    fn expected_wait(&self, now: Now, ticket: &Ticket) -> Duration {
        if self.waiting.is_empty() && self.running < self.limit {
            return Duration::ZERO;
        }
        let lane = ticket.lane();
        let (own, all) = self.waiting.backlog(lane, &ticket.flow());
        let weight_sum = self.waiting.active_weight(lane, ticket);
        let fair_backlog = own.saturating_mul(weight_sum) / u64::from(ticket.weight.max(1));
        let backlog = fair_backlog.min(all);
        ticket.priority.map_or_else(
            || self.time_to_clear(lane, backlog),
            |priority| self.priority_wait(now, priority, backlog, ticket.cost()),
        )
    }

    /// Expected wait behind more urgent requests, those that arrive meanwhile included, and this
    /// backlog of its own urgency.
    fn priority_wait(&self, now: Now, priority: Priority, backlog: u64, cost: u64) -> Duration {
        let urgency = priority.urgency;
        if backlog == 0 && self.waiting.is_overdue(urgency) {
            return Duration::ZERO;
        }
        // On average, the next slot becomes free after half of the time between two.
        let own = backlog.saturating_add(cost / 2);
        let first_of_class = Urgency::first_of(urgency.class);
        let behind_all = self.time_behind(now, urgency, own);
        let share = f64::from(NEW_SHARE_DIVISOR);
        // New requests get this part of the starts, however many streams of their class are ahead.
        let by_share = self.time_behind(now, first_of_class, own) * share;
        let wait_s = if urgency.is_new {
            behind_all.min(by_share)
        } else {
            behind_all
        };
        Duration::try_from_secs_f64(wait_s * self.rule.wait_safety_factor).unwrap_or(Duration::MAX)
    }

    /// Seconds until the more urgent requests, and then `own` microseconds of slot time, have been
    /// served.
    fn time_behind(&self, now: Now, urgency: Urgency, own: u64) -> f64 {
        let ahead = self.waiting.more_urgent_backlog(urgency);
        let running = self.running.min(self.limit).max(1);
        let slots = self.observed_slots.unwrap_or(f64::from(running));
        let more_urgent = self.queued_demand.range(..urgency);
        let taken: f64 = more_urgent.map(|(_, demand)| demand.rate(now)).sum();
        let least = slots / f64::from(MAX_OFFERS_WITHOUT_START);
        let left = (slots - taken / MICROS_PER_SECOND).max(least);
        let ahead = Duration::from_micros(ahead.saturating_add(own));
        ahead.as_secs_f64() / left
    }

    /// Amount by which the organisation's backlog exceeds the free part of the maximum wait.
    fn threshold_excess(&self, now: Now, ticket: &Ticket) -> Duration {
        let lane = ticket.lane();
        // The wait of a request with a priority is bounded by its target, which is short.
        if matches!(lane, Lane::Batch | Lane::Priority(_)) {
            return Duration::ZERO;
        }
        let (own, all) = self.waiting.backlog(lane, &ticket.flow());
        let used = self.time_to_clear(lane, own.saturating_add(all));
        used.saturating_sub(self.max_wait(now, ticket))
    }

    /// Time in which a lane works off this much slot time, given in microseconds.
    fn time_to_clear(&self, lane: Lane, backlog: u64) -> Duration {
        let lanes = u64::from(self.waiting.active_lane_weight(lane));
        let part = backlog.saturating_mul(lanes) / u64::from(lane.weight());
        // The running requests count, not the limit: every router sees the same headroom of the
        // endpoints, so the limit promises more than this router will get of it.
        let slots = self.running.min(self.limit).max(1);
        Duration::from_micros(part / u64::from(slots)).mul_f64(self.rule.wait_safety_factor)
    }

    fn max_wait(&self, now: Now, ticket: &Ticket) -> Duration {
        match ticket.lane() {
            Lane::Batch => ticket.deadline.saturating_sub(now),
            Lane::Short | Lane::Long => self.max_interactive_wait(now),
            Lane::Priority(_) => max_priority_wait(now, ticket),
        }
    }

    fn max_interactive_wait(&self, now: Now) -> Duration {
        let rule = &self.rule;
        if now.saturating_sub(self.last_empty_at) > rule.saturated_after {
            return rule.saturated_wait.min(rule.max_wait);
        }
        rule.max_wait
    }

    fn push(&mut self, now: Now, arrived: Now, ticket: Ticket, start_by: Now) -> WaiterId {
        let max_wait = self.max_wait(arrived, &ticket);
        let target_start = arrived.saturating_add(max_wait).min(start_by);
        self.waiting.push(now, ticket, target_start, start_by)
    }
}

const MICROS_PER_SECOND: f64 = 1e6;

/// A request waits up to its target, or without a chance to meet it, as long as it can still be
/// served.
fn max_priority_wait(now: Now, ticket: &Ticket) -> Duration {
    let Some(priority) = ticket.priority else {
        return Duration::ZERO;
    };
    let to_target = priority.target_start.saturating_sub(now);
    if to_target.is_zero() {
        return priority.start_by.saturating_sub(now);
    }
    to_target
}
