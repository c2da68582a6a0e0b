//! What is let in, what waits, and what is turned away.
//!
//! *Answers:* a burst at ten times the rate, and saturation that lasts.
//!
//! *Without it:* everything is let in, every queue grows until every caller has left, and the
//! endpoints work for nobody. With a plain limit on the queue's length, one organisation fills
//! it and the others are refused.
//!
//! *How:* the work that waits is measured in slot time, so the wait is the backlog divided by
//! the slots ([`Gate::set_limit`]). A newcomer is refused at once when
//! * it can't finish in time after the wait in its organisation's fair share, or
//! * its organisation's backlog is larger than what is still free of the whole (a dynamic
//!   threshold: one organisation alone fills half, two fill a third each, and a newcomer always
//!   finds room).
//!
//! Because the whole backlog stays below the longest wait, everything that was let in can be
//! served in time; [`crate::waiting`] keeps that promise.

use std::time::Duration;

use anvil_world::prelude::*;

use crate::deadline::{Outlook, come_back_after};
use crate::waiting::{Lane, Ticket, Waiter, WaiterId, Waiting};

/// Bounds of the waiting work.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRule {
    /// Longest time that interactive work is let in to wait. Batch work may wait until its
    /// deadline needs it to start. What was let in is not dropped after this time, if capacity
    /// falls: it goes first, and is given up on only when it can't meet its deadline.
    pub longest_wait: Duration,
    /// When the queue has not been empty for this long, the load is no burst but saturation.
    pub saturated_after: Duration,
    /// Longest wait that is let in during saturation. A longer queue serves nobody more: as
    /// many are turned away, and those who are served only wait longer.
    pub saturated_wait: Duration,
    /// A wait is reckoned this many times as long as the backlog says. The rest is kept for
    /// what the estimate can't know: a limit that falls, tokens that come slower under load, or
    /// an endpoint lost, after the waiting were let in.
    pub caution: f64,
    /// Most requests that wait in one pool; bounds memory.
    pub most_waiting: usize,
}

impl Default for AdmissionRule {
    fn default() -> Self {
        Self {
            longest_wait: Duration::from_secs(30),
            saturated_after: Duration::from_secs(30),
            saturated_wait: Duration::from_secs(5),
            caution: 1.33,
            most_waiting: 4_096,
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It goes now. The caller reports its end by [`Gate::finished`].
    Go,
    /// It waits; [`Gate::next`] or [`Gate::expired`] names it later.
    Wait(WaiterId),
    /// It is turned away, now.
    Refuse(Refusal),
}

/// The door of one pool in one router. Short calls, to be made under a lock.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    rule: AdmissionRule,
    waiting: Waiting,
    running: u32,
    limit: u32,
    empty_at: Now,
}

impl Gate {
    /// A gate with these bounds and no slot yet.
    pub fn new(rule: AdmissionRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// With this many slots.
    pub fn with_limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how many requests may run: what runs now and the pool's room
    /// ([`crate::choice::Pool::room`]). Call it on a tick and after each load report.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Most requests that run at a time.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a newcomer, at once.
    pub fn offer(&mut self, now: Now, ticket: Ticket) -> Verdict {
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        if let Some(refusal) = self.refusal(now, &ticket) {
            return Verdict::Refuse(refusal);
        }
        if self.waiting.is_empty() && self.running < self.limit {
            self.running += 1;
            return Verdict::Go;
        }
        let start_by = ticket.deadline.saturating_sub(ticket.service);
        Verdict::Wait(self.push(now, now, ticket, start_by))
    }

    /// The next waiter whose turn it is, if a slot is free. Call it until it gives none, after
    /// each [`Gate::finished`] and each [`Gate::set_limit`].
    pub fn next(&mut self, now: Now) -> Option<Waiter> {
        if self.running >= self.limit {
            return None;
        }
        let waiter = self.waiting.pop(now)?;
        self.running += 1;
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        Some(waiter)
    }

    /// A waiter that is given up on, and its final answer. Call it until it gives none, on a
    /// tick; the caller is answered at once.
    pub fn expired(&mut self, now: Now) -> Option<(Waiter, Refusal)> {
        let waiter = self.waiting.pop_expired(now)?;
        let wait = self.outlook(now, &waiter.ticket).wait;
        let refusal = Refusal::new(Reason::Overloaded).with_retry_after(come_back_after(wait));
        Some((waiter, refusal))
    }

    /// Puts a request back that got its turn but found every endpoint full. It keeps its
    /// arrival and deadline, and goes first when its time is short.
    pub fn put_back(&mut self, now: Now, waiter: &Waiter) -> WaiterId {
        self.running = self.running.saturating_sub(1);
        self.push(now, waiter.arrived, waiter.ticket.clone(), waiter.start_by)
    }

    /// A request that ran has ended.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// A waiting request's caller has left.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        self.waiting.remove(id).is_some()
    }

    /// What a newcomer can expect, by what waits now.
    pub fn outlook(&self, now: Now, ticket: &Ticket) -> Outlook {
        Outlook {
            wait: self.expected_wait(ticket),
            service: ticket.service,
            time_left: ticket.deadline.saturating_sub(now),
            longest_wait: self.longest_wait(now, ticket),
        }
    }

    fn refusal(&self, now: Now, ticket: &Ticket) -> Option<Refusal> {
        let outlook = self.outlook(now, ticket);
        if let Some(refusal) = outlook.refusal() {
            return Some(refusal);
        }
        let own = self.waiting.count(&ticket.organisation);
        let free = self.rule.most_waiting.saturating_sub(self.waiting.len());
        let excess = self.over_threshold(now, ticket);
        if own < free && excess.is_zero() {
            return None;
        }
        let after = come_back_after(excess.max(outlook.wait));
        Some(Refusal::new(Reason::Overloaded).with_retry_after(after))
    }

    /// The wait in the fair share of the newcomer's organisation in its lane.
    fn expected_wait(&self, ticket: &Ticket) -> Duration {
        if self.waiting.is_empty() && self.running < self.limit {
            return Duration::ZERO;
        }
        let lane = ticket.lane();
        let (own, all) = self.waiting.backlog(lane, &ticket.organisation);
        let actives = self.waiting.active_weight(lane, ticket);
        let fair = own.saturating_mul(actives) / u64::from(ticket.weight.max(1));
        self.time_for(lane, fair.min(all))
    }

    /// How far the organisation's backlog is above what is free of the longest wait.
    fn over_threshold(&self, now: Now, ticket: &Ticket) -> Duration {
        let lane = ticket.lane();
        if lane == Lane::Batch {
            return Duration::ZERO;
        }
        let (own, all) = self.waiting.backlog(lane, &ticket.organisation);
        let used = self.time_for(lane, own.saturating_add(all));
        used.saturating_sub(self.longest_wait(now, ticket))
    }

    /// Time in which a lane works off this much slot time, given in microseconds.
    fn time_for(&self, lane: Lane, backlog: u64) -> Duration {
        let lanes = u64::from(self.waiting.active_lanes(lane));
        let part = backlog.saturating_mul(lanes) / u64::from(lane.weight());
        // What runs, not the limit: the room of endpoints is seen by every router at once, so
        // the limit says more than this router will get of it.
        let slots = self.running.min(self.limit).max(1);
        Duration::from_micros(part / u64::from(slots)).mul_f64(self.rule.caution)
    }

    fn longest_wait(&self, now: Now, ticket: &Ticket) -> Duration {
        match ticket.lane() {
            Lane::Batch => ticket.deadline.saturating_sub(now),
            Lane::Short | Lane::Long => self.longest_interactive(now),
        }
    }

    fn longest_interactive(&self, now: Now) -> Duration {
        let rule = &self.rule;
        if now.saturating_sub(self.empty_at) > rule.saturated_after {
            return rule.saturated_wait.min(rule.longest_wait);
        }
        rule.longest_wait
    }

    fn push(&mut self, now: Now, arrived: Now, ticket: Ticket, start_by: Now) -> WaiterId {
        let longest = self.longest_wait(arrived, &ticket);
        let promised = arrived.saturating_add(longest).min(start_by);
        self.waiting.push(now, ticket, promised, start_by)
    }
}
