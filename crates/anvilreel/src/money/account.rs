//! The grant account: reservations for requests.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_wire::msg::Payment;
use anvil_world::prelude::*;
use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::batch_exchange::BatchState;
use super::budget_grants::BudgetGrants;
use super::reservation::ReservationPart;
use super::{GrantPolicy, MoneyError, Reservation, Shortage};

/// Retry-After once a budget is exhausted: only a top-up helps.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Retry-After when the ledger could not be asked.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Value of `unanswered_since` while no batch is in flight.
pub(super) const NO_BATCH_PENDING: u64 = u64::MAX;

pub(super) type Budgets = BTreeMap<BudgetId, Arc<BudgetGrants>>;

/// The state of one budget at a router, for metrics and status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetStatus {
    /// Tokens that can be reserved now.
    pub free: Tokens,
    /// Tokens reserved by running requests.
    pub reserved: Tokens,
    /// Tokens charged per second, smoothed.
    pub rate: Tokens,
}

/// The grants of one router incarnation.
///
/// [`Self::reserve`], [`Self::settle`] and [`Self::release`] are called by requests and take no
/// lock once the budget is known. The methods for batches are for the only task that exchanges
/// them with the ledger.
#[derive(Debug)]
pub struct GrantAccount {
    pub(super) router: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) policy: GrantPolicy,
    pub(super) budgets: ArcSwap<Budgets>,
    pub(super) batches: Mutex<BatchState>,
    /// When the ledger last answered, in milliseconds.
    pub(super) last_answer: AtomicU64,
    /// When the unanswered batch was first sent, in milliseconds; [`NO_BATCH_PENDING`] if there is
    /// none.
    pub(super) unanswered_since: AtomicU64,
    /// Whether a shortage needs a batch sooner than the next regular one.
    pub(super) urgent: AtomicBool,
    pub(super) stopping: AtomicBool,
    /// Number of routers that draw on the budgets; 0 if unknown.
    pub(super) routers: AtomicU32,
    pub(super) cover_ended: AtomicBool,
    pub(super) fenced: AtomicBool,
    /// The oldest grant whose closing the ledger has not confirmed.
    pub(super) oldest_open_grant: AtomicU64,
    next_number: AtomicU64,
    horizon_millis: AtomicU64,
    violation: ArcSwapOption<MoneyError>,
    changed: Notify,
}

impl GrantAccount {
    /// An account without grants.
    pub fn new(router: InstanceId, incarnation: Incarnation, policy: GrantPolicy) -> Self {
        Self {
            router,
            incarnation,
            horizon_millis: AtomicU64::new(millis(policy.horizon)),
            policy,
            budgets: ArcSwap::default(),
            batches: Mutex::default(),
            last_answer: AtomicU64::new(0),
            unanswered_since: AtomicU64::new(NO_BATCH_PENDING),
            urgent: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            routers: AtomicU32::new(0),
            cover_ended: AtomicBool::new(false),
            fenced: AtomicBool::new(false),
            oldest_open_grant: AtomicU64::new(0),
            next_number: AtomicU64::new(1),
            violation: ArcSwapOption::empty(),
            changed: Notify::new(),
        }
    }

    /// Sets how long a grant is meant to last, from the fleet's document.
    pub fn set_horizon(&self, horizon: Duration) {
        self.horizon_millis
            .store(millis(horizon), Ordering::Relaxed);
    }

    pub(super) fn horizon(&self) -> Duration {
        Duration::from_millis(self.horizon_millis.load(Ordering::Relaxed))
    }

    /// Reserves the upper bound of one request from a grant of every budget that pays, or from
    /// none.
    pub fn reserve(&self, now: Now, split: &Split, bound: Tokens) -> Result<Reservation, Shortage> {
        if self.is_fenced() || self.invariant_violation().is_some() {
            return Err(refused(Reason::Leaving, UNREACHABLE_RETRY_AFTER));
        }
        let mut parts = Vec::new();
        for (budget, tokens) in split.bounds(bound) {
            let budget_grants = self.budget_grants(budget);
            budget_grants.demand.record_request(now, tokens);
            let Some(grant) = budget_grants.reserve(tokens) else {
                release_parts(parts);
                return Err(self.shortage(now, &budget_grants, tokens));
            };
            parts.push(ReservationPart { grant, tokens });
        }
        Ok(Reservation {
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            split: split.clone(),
            bound,
            parts,
        })
    }

    /// Describes the payment for the sidecar.
    pub fn payment(&self, reservation: &Reservation, price: Price) -> Payment {
        Payment {
            router: self.router.clone(),
            incarnation: self.incarnation,
            number: reservation.number,
            split: reservation.split.clone(),
            grants: reservation.grants(),
            oldest: self.oldest_open_grant.load(Ordering::Acquire),
            price,
            bound: reservation.bound,
        }
    }

    /// Charges the cost of a request and frees the rest of its reservation.
    ///
    /// An error means a violated invariant; the cost has been capped at the reservation, and this
    /// account makes no further reservations.
    pub fn settle(&self, reservation: Reservation, cost: Tokens) -> Result<(), MoneyError> {
        let Reservation { split, parts, .. } = reservation;
        let costs = split.divide(cost);
        let mut result = Ok(());
        // Both are in the order of the budgets.
        for (part, (_, cost)) in parts.into_iter().zip(costs) {
            self.budget_grants(&part.grant.budget)
                .demand
                .record_cost(cost);
            let settled = part.grant.settle(part.tokens, cost);
            result = result.and(settled);
        }
        if let Err(e) = &result {
            self.violation.store(Some(Arc::new(e.clone())));
        }
        self.changed.notify_waiters();
        result
    }

    /// Frees what a reservation holds beyond `bound` tokens; the rest stays reserved.
    pub fn reduce(&self, reservation: &mut Reservation, bound: Tokens) {
        let Reservation { split, parts, .. } = reservation;
        // Both are in the order of the budgets.
        for (part, (_, tokens)) in parts.iter_mut().zip(split.bounds(bound)) {
            let excess = part.tokens.saturating_sub(tokens);
            part.tokens -= excess;
            // A cost of zero can't exceed the reservation.
            let _ = part.grant.settle(excess, 0);
        }
        reservation.bound = reservation.bound.min(bound);
        self.changed.notify_waiters();
    }

    /// Frees a whole reservation: the request did not run, or another router's grants pay for it.
    pub fn release(&self, reservation: Reservation) {
        release_parts(reservation.parts);
        self.changed.notify_waiters();
    }

    /// Resolves when a grant arrives, tokens are freed, or the ledger refuses a grant.
    ///
    /// Call it before [`Self::reserve`], so that no change between the two is missed.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// The violated invariant because of which this account stopped making reservations, if any.
    pub fn invariant_violation(&self) -> Option<Arc<MoneyError>> {
        self.violation.load_full()
    }

    /// Whether the ledger has fenced this incarnation of the router.
    pub fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Acquire)
    }

    /// Whether a request waits for tokens that have not been asked for yet: the next batch should
    /// be sent as soon as the last one is answered.
    pub fn is_urgent(&self) -> bool {
        self.urgent.load(Ordering::Acquire)
    }

    /// The state of a budget.
    pub fn budget_status(&self, budget: &str) -> BudgetStatus {
        let budgets = self.budgets.load();
        let Some(budget_grants) = budgets.get(budget) else {
            return BudgetStatus::default();
        };
        BudgetStatus {
            free: budget_grants.free(),
            reserved: budget_grants.reserved(),
            rate: budget_grants.demand.rate(),
        }
    }

    pub(super) fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    pub(super) fn lock_batches(&self) -> MutexGuard<'_, BatchState> {
        // Each update leaves the batches consistent, so a poisoned lock can be used.
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The grants of a budget. A new entry is made under the lock, so that concurrent requests get
    /// the same one.
    pub(super) fn budget_grants(&self, budget: &BudgetId) -> Arc<BudgetGrants> {
        if let Some(budget_grants) = self.budgets.load().get(budget) {
            return budget_grants.clone();
        }
        let _batches = self.lock_batches();
        let mut budgets = Budgets::clone(&self.budgets.load());
        let budget_grants = budgets
            .entry(budget.clone())
            .or_insert_with(|| Arc::new(BudgetGrants::new(budget.clone())))
            .clone();
        self.budgets.store(Arc::new(budgets));
        budget_grants
    }

    /// Decides whether a request that lacks tokens waits, and with which reason it is refused.
    ///
    /// `budget_exhausted` requires a recent refusal by the ledger. A ledger that has not answered
    /// for longer than the maximum wait counts as unreachable, and waiting for it would only delay
    /// the caller.
    fn shortage(&self, now: Now, budget_grants: &BudgetGrants, tokens: Tokens) -> Shortage {
        budget_grants
            .largest_shortage
            .fetch_max(tokens, Ordering::AcqRel);
        budget_grants
            .smallest_shortage
            .fetch_min(tokens, Ordering::AcqRel);
        let until = now + self.policy.max_ledger_wait;
        let last_refusal = **budget_grants.last_refusal.load();
        let recent_refusal = last_refusal.filter(|v| now < v.at + self.policy.refusal_lifetime);
        let Some(last_refusal) = recent_refusal else {
            self.urgent.store(true, Ordering::Release);
            let otherwise = refusal(Reason::LedgerUnreachable, UNREACHABLE_RETRY_AFTER);
            if self.ledger_is_unresponsive(now) {
                return Shortage::Refused(otherwise);
            }
            return Shortage::WaitFor { until, otherwise };
        };
        let exhausted = Reason::BudgetExhausted(budget_grants.budget.clone());
        let otherwise = refusal(exhausted, EXHAUSTED_RETRY_AFTER);
        // Routers that died with unspent tokens in their grants can't return them, although the
        // ledger recalls them again and again. Without this time limit each request would wait for
        // these tokens, be refused with Retry-After, and wait again.
        let recalled = now >= last_refusal.unbroken_since + self.policy.recall_timeout;
        let recoverable = if recalled {
            0
        } else {
            last_refusal.outstanding + budget_grants.reserved()
        };
        let obtainable = last_refusal.left + budget_grants.free() + recoverable;
        if obtainable < tokens {
            return Shortage::Refused(otherwise);
        }
        let until = now + self.policy.max_recall_wait;
        Shortage::WaitFor { until, otherwise }
    }

    /// How long a batch has been without an answer.
    pub fn unanswered_for(&self, now: Now) -> Duration {
        let since = self.unanswered_since.load(Ordering::Acquire);
        if since == NO_BATCH_PENDING {
            return Duration::ZERO;
        }
        now.saturating_sub(Duration::from_millis(since))
    }

    /// Whether a batch has been without an answer for longer than the maximum wait.
    ///
    /// The time counts from the unanswered batch, not from the last answer: a router without
    /// callers sends no batches and receives no answers, and taking that for a partition would
    /// refuse the first request after every idle period.
    fn ledger_is_unresponsive(&self, now: Now) -> bool {
        self.unanswered_for(now) > self.policy.max_ledger_wait
    }
}

/// A time in milliseconds as the atomics store it; never [`NO_BATCH_PENDING`].
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(NO_BATCH_PENDING - 1)
}

fn release_parts(parts: Vec<ReservationPart>) {
    for part in parts {
        // A cost of zero can't exceed the reservation.
        let _ = part.grant.settle(part.tokens, 0);
    }
}

fn refusal(reason: Reason, after: Duration) -> Refusal {
    Refusal::new(reason).with_retry_after(after)
}

fn refused(reason: Reason, after: Duration) -> Shortage {
    Shortage::Refused(refusal(reason, after))
}
