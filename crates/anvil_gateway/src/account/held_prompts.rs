//! The prompts of lost attempts that this gateway holds, and notices of those that others hold.
//!
//! Failure: an answer is lost, its client retries the request at another gateway, and the
//! organisation pays for its prompt twice. [`anvil_policy::held_prompt`] decides which charge is
//! released. Here are the tables with the reservations; [`super::held_prompt_exchange`] sends and
//! receives the messages.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::held_prompt::{HeldAttempts, HoldNumber, LostAttempt, Notice, Notices};
use anvil_wire::msg::{HeldPromptNotice, HeldPromptRequest, PromptCharge};
use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, Reservation};
use tokio::sync::Notify;

/// Maximum number of attempts in one notification. Reports have no such limit.
const MAX_ATTEMPTS_PER_MESSAGE: usize = 512;

/// Longest wait of a client that another gateway can state.
const MAX_CLIENT_WAIT: Duration = Duration::from_hours(24);

/// A lost attempt with the reservation that pays for it.
#[derive(Debug)]
pub struct LostPrompt {
    /// Id of the attempt, for the log.
    pub id: AttemptId,
    /// Its request and the tokens to be charged.
    pub attempt: LostAttempt,
    /// What it has reserved.
    pub reservation: Reservation,
}

/// How a hold ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldEnd {
    /// Released: a retry was charged.
    Released,
    /// Charged: its client had no time left.
    WaitOver,
    /// Charged: too many were held.
    TooMany,
    /// Charged: the ledger recalled the grant that pays for it.
    Recalled,
    /// Charged: the gateway is stopping, or the ledger has fenced it.
    Stopped,
}

impl HoldEnd {
    /// Name in the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::WaitOver => "wait_over",
            Self::TooMany => "too_many",
            Self::Recalled => "recalled",
            Self::Stopped => "stopped",
        }
    }
}

/// An attempt that is no longer held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedHold {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// How the hold ended.
    pub end: HoldEnd,
}

/// What became of an attempt that ended in doubt.
#[derive(Debug, PartialEq, Eq)]
pub enum HoldResult {
    /// It is held. The oldest attempt was charged in its place, if too many were held.
    Held(Option<EndedHold>),
    /// It was charged at once.
    Charged,
}

/// What followed from a charge.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ChargeEffects {
    /// Attempts of the same request that this gateway held.
    pub released: Vec<EndedHold>,
    /// Gateways that hold attempts of it, one entry for each attempt.
    pub reported_to: Vec<InstanceId>,
}

type Reports = BTreeMap<(InstanceId, Incarnation), Vec<PromptCharge>>;

/// The tables of one gateway incarnation.
pub struct HeldPrompts {
    account: Arc<GrantAccount>,
    own_id: InstanceId,
    incarnation: Incarnation,
    held: Mutex<HeldAttempts<LostPrompt>>,
    notices: Mutex<Notices>,
    reports: Mutex<Reports>,
    /// Number of attempts that are held here. This and the next one let charges take no lock while
    /// nothing is held.
    held_count: AtomicUsize,
    /// Number of notices.
    notice_count: AtomicUsize,
    /// Wakes the task that exchanges messages.
    pub(super) changed: Notify,
}

impl HeldPrompts {
    /// Empty tables. `first_number` is drawn at random, so that a report to an earlier incarnation
    /// means no attempt of this one even if the clock was set back to the same time.
    pub fn new(
        account: Arc<GrantAccount>,
        own_id: InstanceId,
        incarnation: Incarnation,
        first_number: HoldNumber,
    ) -> Self {
        Self {
            account,
            own_id,
            incarnation,
            held: Mutex::new(HeldAttempts::new(first_number)),
            notices: Mutex::default(),
            reports: Mutex::default(),
            held_count: AtomicUsize::new(0),
            notice_count: AtomicUsize::new(0),
            changed: Notify::new(),
        }
    }

    /// Holds the prompt of an attempt that has ended in doubt, and frees the rest of its
    /// reservation. Charges it if it can't be held.
    pub fn hold(&self, now: Now, mut lost: LostPrompt, time_left: Duration) -> HoldResult {
        self.account
            .reduce(&mut lost.reservation, lost.attempt.prompt);
        let attempt = lost.attempt;
        let mut held = self.held();
        // Checked under the lock: a grant that is recalled afterwards is found by
        // `charge_recalled`.
        let is_recalled = lost.reservation.is_recalled() || self.account.is_fenced();
        let time_left = if is_recalled {
            Duration::ZERO
        } else {
            time_left
        };
        let result = held.hold(now, attempt, time_left, lost);
        self.store_held_count(&held);
        drop(held);
        match result {
            Ok(oldest) => {
                self.changed.notify_one();
                let ended = oldest.map(|oldest| self.charge(oldest, HoldEnd::TooMany));
                HoldResult::Held(ended)
            }
            Err(lost) => {
                self.charge(lost, HoldEnd::WaitOver);
                HoldResult::Charged
            }
        }
    }

    /// Records a charge that can't be reversed any more, by a request that is still running: the
    /// attempts of the same request that are held here are released, and those held elsewhere are
    /// reported.
    pub fn record_charge(&self, now: Now, charged: LostAttempt) -> ChargeEffects {
        let mut effects = ChargeEffects::default();
        if self.count_held() > 0 {
            let released = self.with_held(|held| held.release_equal(&charged));
            effects.released = self.release_all(released);
        }
        if self.notice_count.load(Ordering::Relaxed) > 0 {
            effects.reported_to = self.report(now, charged);
        }
        effects
    }

    /// Reports a charge to the gateways that hold attempts of its request, and returns these.
    fn report(&self, now: Now, charged: LostAttempt) -> Vec<InstanceId> {
        let mut notices = self.notices();
        let taken = notices.take(now, &charged);
        self.notice_count.store(notices.len(), Ordering::Relaxed);
        drop(notices);
        if taken.is_empty() {
            return Vec::new();
        }
        let reported_to = taken.iter().map(|notice| notice.origin.clone()).collect();
        let mut reports = self.reports();
        for notice in taken {
            let holder = (notice.origin, notice.incarnation);
            reports.entry(holder).or_default().push(PromptCharge {
                number: notice.number,
                request: charged.request,
                prompt: charged.prompt,
            });
        }
        drop(reports);
        self.changed.notify_one();
        reported_to
    }

    /// Applies a message of another gateway.
    pub fn receive(&self, now: Now, message: HeldPromptRequest) -> Vec<EndedHold> {
        match message {
            HeldPromptRequest::Notify {
                origin,
                incarnation,
                held,
            } => {
                for notice in held {
                    self.store_notice(now, &origin, incarnation, &notice);
                }
                // The task that drops them sleeps until the end of the first one.
                self.changed.notify_one();
                Vec::new()
            }
            HeldPromptRequest::Report {
                incarnation,
                charges,
                ..
            } if incarnation == self.incarnation => self.apply_report(&charges),
            // The report is about attempts of an earlier process with this id.
            HeldPromptRequest::Report { .. } => Vec::new(),
        }
    }

    /// Charges the attempts whose clients have no time left, and drops notices of such attempts.
    pub fn charge_ended(&self, now: Now) -> Vec<EndedHold> {
        let mut notices = self.notices();
        notices.drop_ended(now);
        self.notice_count.store(notices.len(), Ordering::Relaxed);
        drop(notices);
        let ended = self.with_held(|held| held.take_ended(now));
        self.charge_all(ended, HoldEnd::WaitOver)
    }

    /// Charges the attempts whose grants the ledger has recalled.
    pub fn charge_recalled(&self) -> Vec<EndedHold> {
        let recalled = self.with_held(|held| held.take_if(|lost| lost.reservation.is_recalled()));
        self.charge_all(recalled, HoldEnd::Recalled)
    }

    /// Charges everything, and holds nothing any more: the gateway is stopping or fenced.
    pub fn close(&self) -> Vec<EndedHold> {
        let held = self.with_held(HeldAttempts::close);
        self.charge_all(held, HoldEnd::Stopped)
    }

    /// The next message to the other gateways of the zone, if there is one.
    pub fn take_notification(&self, now: Now) -> Option<HeldPromptRequest> {
        let mut held = self.held();
        let announced = held.take_announcements(now, MAX_ATTEMPTS_PER_MESSAGE);
        if held.has_unannounced() {
            self.changed.notify_one();
        }
        drop(held);
        if announced.is_empty() {
            return None;
        }
        let notices = announced.into_iter().map(|announced| HeldPromptNotice {
            number: announced.number,
            request: announced.request,
            client_waits: announced.client_waits,
        });
        Some(HeldPromptRequest::Notify {
            origin: self.own_id.clone(),
            incarnation: self.incarnation,
            held: notices.collect(),
        })
    }

    /// The reports to be sent, each with its receiver.
    pub fn take_reports(&self) -> Vec<(InstanceId, HeldPromptRequest)> {
        let reports = std::mem::take(&mut *self.reports());
        let message = |((holder, incarnation), charges)| {
            let report = HeldPromptRequest::Report {
                by: self.own_id.clone(),
                incarnation,
                charges,
            };
            (holder, report)
        };
        reports.into_iter().map(message).collect()
    }

    /// When the next hold ends, here or elsewhere.
    pub fn first_end(&self) -> Option<Now> {
        let own = self.held().first_end();
        let others = self.notices().first_end();
        own.into_iter().chain(others).min()
    }

    /// Number of attempts that are held here.
    pub fn count_held(&self) -> usize {
        self.held_count.load(Ordering::Relaxed)
    }

    /// Whether nothing is held, here or elsewhere, as far as known.
    pub fn is_idle(&self) -> bool {
        let counts = [&self.held_count, &self.notice_count];
        let mut counts = counts.iter().map(|count| count.load(Ordering::Relaxed));
        counts.all(|count| count == 0)
    }

    fn store_notice(
        &self,
        now: Now,
        origin: &InstanceId,
        incarnation: Incarnation,
        notice: &HeldPromptNotice,
    ) {
        // A message that returns to its sender: a charge here releases its own attempts without a
        // report.
        if *origin == self.own_id {
            return;
        }
        let mut notices = self.notices();
        notices.insert(
            now,
            Notice {
                origin: origin.clone(),
                incarnation,
                number: notice.number,
                request: notice.request,
                since: now,
                // Bounded, as the sum could overflow.
                client_deadline: now + notice.client_waits.min(MAX_CLIENT_WAIT),
            },
        );
        self.notice_count.store(notices.len(), Ordering::Relaxed);
    }

    fn apply_report(&self, charges: &[PromptCharge]) -> Vec<EndedHold> {
        let release = |held: &mut HeldAttempts<LostPrompt>| {
            let charges = charges.iter();
            let released = charges
                .filter_map(|charge| held.release(charge.number, charge.request, charge.prompt));
            released.collect()
        };
        let released = self.with_held(release);
        self.release_all(released)
    }

    fn release_all(&self, released: Vec<LostPrompt>) -> Vec<EndedHold> {
        let release = |lost: LostPrompt| {
            self.account.release(lost.reservation);
            EndedHold {
                id: lost.id,
                prompt: lost.attempt.prompt,
                end: HoldEnd::Released,
            }
        };
        released.into_iter().map(release).collect()
    }

    fn charge_all(&self, charged: Vec<LostPrompt>, end: HoldEnd) -> Vec<EndedHold> {
        let charged = charged.into_iter();
        charged.map(|lost| self.charge(lost, end)).collect()
    }

    fn charge(&self, lost: LostPrompt, end: HoldEnd) -> EndedHold {
        // On a broken invariant the grant account refuses everything that follows, and the grant
        // loop logs it.
        let _ = self.account.settle(lost.reservation, lost.attempt.prompt);
        EndedHold {
            id: lost.id,
            prompt: lost.attempt.prompt,
            end,
        }
    }

    fn with_held<R>(&self, f: impl FnOnce(&mut HeldAttempts<LostPrompt>) -> R) -> R {
        let mut held = self.held();
        let result = f(&mut held);
        self.store_held_count(&held);
        result
    }

    fn store_held_count(&self, held: &HeldAttempts<LostPrompt>) {
        self.held_count.store(held.len(), Ordering::Relaxed);
    }

    fn held(&self) -> MutexGuard<'_, HeldAttempts<LostPrompt>> {
        // Sound after a panic elsewhere: an attempt that is missing in one index stays reserved.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notices(&self) -> MutexGuard<'_, Notices> {
        // Sound after a panic elsewhere: each notice is valid by itself.
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        // Sound after a panic elsewhere: each report is valid by itself.
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
