//! The purse: reservations on the path of a request.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_wire::msg::Payment;
use anvil_world::prelude::*;
use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::exchange::Batches;
use super::held::Held;
use super::reservation::Part;
use super::{GrantPolicy, MoneyError, Reservation, Shortage};

/// When to come back after a budget was found used up: only a top-up helps.
const RETRY_EXHAUSTED: Duration = Duration::from_secs(30);
/// When to come back after the ledger could not be asked.
const RETRY_UNREACHABLE: Duration = Duration::from_secs(2);

/// In [`Purse::unanswered`]: no batch is under way.
pub(super) const ANSWERED: u64 = u64::MAX;

pub(super) type Budgets = BTreeMap<BudgetId, Arc<Held>>;

/// What a router holds of one budget, for metrics and status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// Tokens that can be reserved at once.
    pub free: Tokens,
    /// Tokens reserved by running requests.
    pub reserved: Tokens,
    /// Reserved tokens a second, smoothed.
    pub rate: Tokens,
}

/// The grants of one router incarnation.
///
/// [`Purse::reserve`], [`Purse::settle`] and [`Purse::release`] are for the path of a request
/// and take no lock. [`Purse::batch`] and [`Purse::answered`] are for the one task that talks to
/// the ledger.
#[derive(Debug)]
pub struct Purse {
    pub(super) router: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) policy: GrantPolicy,
    pub(super) budgets: ArcSwap<Budgets>,
    pub(super) batches: Mutex<Batches>,
    /// When the ledger last answered, in milliseconds.
    pub(super) heard: AtomicU64,
    /// When the batch that has no answer yet was first sent, in milliseconds; [`ANSWERED`] when
    /// none is under way.
    pub(super) unanswered: AtomicU64,
    /// Whether a shortage wants a batch before the next second is over.
    pub(super) urgent: AtomicBool,
    pub(super) stopping: AtomicBool,
    pub(super) fenced: AtomicBool,
    /// The oldest grant that the ledger has not confirmed as closed.
    pub(super) oldest: AtomicU64,
    numbers: AtomicU64,
    horizon_millis: AtomicU64,
    broken: ArcSwapOption<MoneyError>,
    changed: Notify,
}

impl Purse {
    /// An empty purse.
    pub fn new(router: InstanceId, incarnation: Incarnation, policy: GrantPolicy) -> Self {
        Self {
            router,
            incarnation,
            horizon_millis: AtomicU64::new(millis(policy.horizon)),
            policy,
            budgets: ArcSwap::default(),
            batches: Mutex::default(),
            heard: AtomicU64::new(0),
            unanswered: AtomicU64::new(ANSWERED),
            urgent: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            fenced: AtomicBool::new(false),
            oldest: AtomicU64::new(0),
            numbers: AtomicU64::new(1),
            broken: ArcSwapOption::empty(),
            changed: Notify::new(),
        }
    }

    /// Takes over how long a grant is meant to last, from the fleet's document.
    pub fn set_horizon(&self, horizon: Duration) {
        self.horizon_millis
            .store(millis(horizon), Ordering::Relaxed);
    }

    pub(super) fn horizon(&self) -> Duration {
        Duration::from_millis(self.horizon_millis.load(Ordering::Relaxed))
    }

    /// Sets aside the upper bound of one request: out of a grant of every payer, or of none.
    pub fn reserve(&self, now: Now, split: &Split, bound: Tokens) -> Result<Reservation, Shortage> {
        if self.is_fenced() || self.broken().is_some() {
            return Err(refused(Reason::Leaving, RETRY_UNREACHABLE));
        }
        let mut parts = Vec::new();
        for (budget, tokens) in split.bounds(bound) {
            let held = self.held(budget);
            held.demand.note(now, tokens);
            let Some(grant) = held.reserve(tokens) else {
                undo(parts);
                return Err(self.shortage(now, &held, tokens));
            };
            parts.push(Part { grant, tokens });
        }
        Ok(Reservation {
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            split: split.clone(),
            bound,
            parts,
        })
    }

    /// What a sidecar is told of who pays.
    pub fn payment(&self, reservation: &Reservation, price: Price) -> Payment {
        Payment {
            router: self.router.clone(),
            incarnation: self.incarnation,
            number: reservation.number,
            split: reservation.split.clone(),
            grants: reservation.grants(),
            oldest: self.oldest.load(Ordering::Acquire),
            price,
            bound: reservation.bound,
        }
    }

    /// Charges what a request cost and frees the rest of its reservation.
    ///
    /// An error means a broken invariant; the purse has settled at the reservation and reserves
    /// nothing more.
    pub fn settle(&self, reservation: Reservation, cost: Tokens) -> Result<(), MoneyError> {
        let Reservation { split, parts, .. } = reservation;
        let costs = split.divide(cost);
        let mut result = Ok(());
        // Both are in the order of the budgets.
        for (part, (_, cost)) in parts.into_iter().zip(costs) {
            self.held(&part.grant.budget).demand.note_cost(cost);
            let settled = part.grant.settle(part.tokens, cost);
            result = result.and(settled);
        }
        if let Err(e) = &result {
            self.broken.store(Some(Arc::new(e.clone())));
        }
        self.changed.notify_waiters();
        result
    }

    /// Frees all of a reservation: the request did not run, or another router's grants pay it.
    pub fn release(&self, reservation: Reservation) {
        undo(reservation.parts);
        self.changed.notify_waiters();
    }

    /// Resolves when money came, was freed, or the ledger said that there is none.
    ///
    /// Take it before [`Purse::reserve`], so that nothing is missed in between.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// The broken invariant for which this purse stopped, if there is one.
    pub fn broken(&self) -> Option<Arc<MoneyError>> {
        self.broken.load_full()
    }

    /// Whether the ledger has fenced this life of the router.
    pub fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Acquire)
    }

    /// Whether a request waits for money that has not been asked for yet: the ledger should be
    /// asked as soon as the last batch is answered.
    pub fn is_urgent(&self) -> bool {
        self.urgent.load(Ordering::Acquire)
    }

    /// What is held of a budget.
    pub fn view(&self, budget: &str) -> BudgetView {
        let budgets = self.budgets.load();
        let Some(held) = budgets.get(budget) else {
            return BudgetView::default();
        };
        BudgetView {
            free: held.free(),
            reserved: held.reserved(),
            rate: held.demand.rate(),
        }
    }

    pub(super) fn wake(&self) {
        self.changed.notify_waiters();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Batches> {
        // A panic elsewhere leaves the batches as they were between two steps.
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The budget's grants; a new one is made under the lock, so that two requests get the same.
    pub(super) fn held(&self, budget: &BudgetId) -> Arc<Held> {
        if let Some(held) = self.budgets.load().get(budget) {
            return held.clone();
        }
        let _batches = self.lock();
        let mut budgets = Budgets::clone(&self.budgets.load());
        let held = budgets
            .entry(budget.clone())
            .or_insert_with(|| Arc::new(Held::new(budget.clone())))
            .clone();
        self.budgets.store(Arc::new(budgets));
        held
    }

    /// Says the truth about missing money.
    ///
    /// `budget_exhausted` only on the ledger's own fresh word; a ledger that was not heard for
    /// longer than the patience is unreachable, and waiting for it would only hold the caller.
    fn shortage(&self, now: Now, held: &Held, tokens: Tokens) -> Shortage {
        held.lacking.fetch_max(tokens, Ordering::AcqRel);
        held.lacking_least.fetch_min(tokens, Ordering::AcqRel);
        let until = now + self.policy.patience;
        let verdict = **held.verdict.load();
        let fresh = verdict.filter(|v| now < v.at + self.policy.verdict_holds);
        let Some(verdict) = fresh else {
            self.urgent.store(true, Ordering::Release);
            let otherwise = refusal(Reason::LedgerUnreachable, RETRY_UNREACHABLE);
            if self.is_cut_off(now) {
                return Shortage::Refused(otherwise);
            }
            return Shortage::WaitFor { until, otherwise };
        };
        let exhausted = Reason::BudgetExhausted(held.budget.clone());
        let otherwise = refusal(exhausted, RETRY_EXHAUSTED);
        // Failure: routers died with money in their grants. The ledger has called it back again and again, it
        // can't come, and each request still waits for it, is told to come back, and waits again.
        let recalled = now >= verdict.since + self.policy.recalled_within;
        let elsewhere = if recalled {
            0
        } else {
            verdict.outstanding + held.reserved()
        };
        let may_come = verdict.left + held.free() + elsewhere;
        if may_come < tokens {
            return Shortage::Refused(otherwise);
        }
        let until = now + self.policy.recall_patience;
        Shortage::WaitFor { until, otherwise }
    }

    /// For how long the ledger has been asked without an answer.
    pub fn unanswered_for(&self, now: Now) -> Duration {
        let since = self.unanswered.load(Ordering::Acquire);
        if since == ANSWERED {
            return Duration::ZERO;
        }
        now.saturating_sub(Duration::from_millis(since))
    }

    /// Whether the ledger was asked and has not answered for longer than the patience.
    ///
    /// Failure: a router without callers asks for nothing, so it hears nothing. Taking that
    /// silence for a partition would refuse the first request after every quiet time.
    fn is_cut_off(&self, now: Now) -> bool {
        self.unanswered_for(now) > self.policy.patience
    }
}

/// A time as the purse's atomics hold it; never [`ANSWERED`].
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(ANSWERED - 1)
}

fn undo(parts: Vec<Part>) {
    for part in parts {
        // Settling nothing can't go over a reservation.
        let _ = part.grant.settle(part.tokens, 0);
    }
}

fn refusal(reason: Reason, after: Duration) -> Refusal {
    Refusal::new(reason).with_retry_after(after)
}

fn refused(reason: Reason, after: Duration) -> Shortage {
    Shortage::Refused(refusal(reason, after))
}
