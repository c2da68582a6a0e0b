//! Prompts of lost attempts: the prompt of a request that a client retries is charged once.
//!
//! *Load pattern:* an answer is lost after the endpoint may have read the prompt, and the client
//! retries the request at another router of its zone.
//!
//! *Without it:* each attempt is charged for the prompt, and the budget is used up before the
//! organisation has received what it paid for.
//!
//! *Mechanism:* the router of the lost attempt, the *origin*, keeps the prompt reserved
//! ([`HeldAttempts`]) and notifies the other routers of its zone. A router that charges a retry of the
//! same request reports this for each notice that it has ([`Notices`]), and the origin releases the
//! prompt instead of charging it.
//!
//! *What is a retry:* callers of one organisation may send equal requests. A client retries after its
//! attempt has ended, and waits up to the deadline that it had ([`LostAttempt::may_be_retry_of`]). An
//! equal request without both is another caller's, and both prompts are charged: released for it, more
//! would be used than was prepaid.
//!
//! *Why every prompt is charged at least once:* a charge is reported only while its request runs,
//! and only once it can't be reversed ([`ChargeProgress::may_report`]). A request is held after
//! that, if at all. So a held attempt is released only by a request that ends later, and the last
//! one is charged.
//!
//! *Thresholds:* a hold lasts as long as the client may retry, at most [`MAX_HOLD_TIME`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::prelude::*;

/// Longest time for which a prompt is held.
pub const MAX_HOLD_TIME: Duration = Duration::from_secs(5);
/// Attempts that one router holds. Beyond that the oldest is charged.
pub const MAX_HELD_ATTEMPTS: usize = 4_096;
/// How far the ends of one client's deadline may be apart, as seen by the routers of its attempts.
pub const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);
/// A router learns of a lost attempt at most this much later than its client, which may retry meanwhile.
pub const NOTICE_DELAY: Duration = Duration::from_millis(150);
/// Notices of other routers that one router keeps. Beyond that the oldest is dropped.
pub const MAX_NOTICES: usize = 16_384;

/// Number of a held attempt, unique within an incarnation of its router.
pub type HoldNumber = u64;

/// What becomes of a reservation when its request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeEnd {
    /// The request did not run: it is released.
    Release,
    /// The request may have run, and its client received nothing: the prompt is held.
    Hold,
    /// It is charged.
    Charge,
}

/// What is known of a running request that decides about its charge.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChargeProgress {
    may_have_run: bool,
    is_final: bool,
    is_answered: bool,
}

impl ChargeProgress {
    /// Records that an endpoint may have begun.
    pub fn record_begun(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the request did not run. Without effect once the charge is final.
    pub fn record_not_run(&mut self) {
        self.may_have_run &= self.is_final;
    }

    /// Records that the charge can't be reversed any more: an endpoint responded, or its response
    /// is lost. Without effect if no endpoint may have begun.
    pub fn record_final(&mut self) {
        self.is_final = self.may_have_run;
    }

    /// Records that output is delivered to the client.
    pub fn record_answered(&mut self) {
        self.is_answered = true;
    }

    /// Whether an endpoint may have begun.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the charge may be reported to routers that hold the same request.
    pub fn may_report(&self) -> bool {
        self.is_final
    }

    /// What becomes of the reservation if the request ends now.
    pub fn end(&self) -> ChargeEnd {
        if !self.may_have_run {
            ChargeEnd::Release
        } else if self.is_answered {
            ChargeEnd::Charge
        } else {
            ChargeEnd::Hold
        }
    }
}

/// The request of an attempt, and the tokens that are charged for its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostAttempt {
    /// Hash of the request; equal for its retries, and for equal requests of other callers.
    pub request: ContentDigest,
    /// Its prompt.
    pub prompt: Tokens,
    /// When it was received.
    pub received: Now,
    /// When its client gives up.
    pub client_deadline: Now,
}

impl LostAttempt {
    /// Whether it may be the retry of an attempt with the same contents whose client gives up at
    /// `client_deadline`, and whose end was known at `ended`.
    pub fn may_be_retry_of(&self, client_deadline: Now, ended: Now) -> bool {
        self.received + NOTICE_DELAY >= ended
            && self.client_deadline.abs_diff(client_deadline) <= DEADLINE_TOLERANCE
    }
}

/// A held attempt as other routers are notified of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The attempt.
    pub number: HoldNumber,
    /// Its request.
    pub request: ContentDigest,
    /// For how much longer its client waits, which may be longer than it is held.
    pub client_waits: Duration,
}

#[derive(Debug)]
struct Held<T> {
    attempt: LostAttempt,
    since: Now,
    until: Now,
    charge: T,
}

/// The attempts that a router holds, each with its charge. An attempt that is returned is no longer
/// held, so each is released or charged once.
#[derive(Debug)]
pub struct HeldAttempts<T> {
    held: BTreeMap<HoldNumber, Held<T>>,
    by_request: BTreeSet<(ContentDigest, HoldNumber)>,
    by_end: BTreeSet<(Now, HoldNumber)>,
    unannounced: BTreeSet<HoldNumber>,
    next_number: HoldNumber,
    is_closed: bool,
}

impl<T> HeldAttempts<T> {
    /// Holds nothing yet. The first attempt gets this number.
    pub fn new(first_number: HoldNumber) -> Self {
        Self {
            held: BTreeMap::new(),
            by_request: BTreeSet::new(),
            by_end: BTreeSet::new(),
            unannounced: BTreeSet::new(),
            next_number: first_number,
            is_closed: false,
        }
    }

    /// Holds an attempt while its client may retry it. Returns the oldest one if there are too
    /// many; it is to be charged.
    ///
    /// # Errors
    /// Returns the charge if it isn't held: no time is left, or nothing is held any more.
    pub fn hold(
        &mut self,
        now: Now,
        attempt: LostAttempt,
        time_left: Duration,
        charge: T,
    ) -> Result<Option<T>, T> {
        if self.is_closed || time_left.is_zero() {
            return Err(charge);
        }
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let until = now + time_left.min(MAX_HOLD_TIME);
        self.by_request.insert((attempt.request, number));
        self.by_end.insert((until, number));
        self.unannounced.insert(number);
        let held = Held {
            attempt,
            since: now,
            until,
            charge,
        };
        self.held.insert(number, held);
        let first = self.held.first_key_value().map(|(number, _)| *number);
        let oldest = first.filter(|_| self.held.len() > MAX_HELD_ATTEMPTS);
        Ok(oldest.and_then(|number| self.remove(number)))
    }

    /// Ends a hold because another router reports that it has charged a retry, with these tokens for its
    /// prompt. `None` if the attempt is not held, or if another request or less than its prompt was
    /// charged.
    pub fn release(
        &mut self,
        number: HoldNumber,
        request: ContentDigest,
        prompt: Tokens,
    ) -> Option<T> {
        let attempt = self.held.get(&number)?.attempt;
        // The prompt's tokens are stated by the client and not part of the request's hash.
        let is_covered = request == attempt.request && prompt >= attempt.prompt;
        is_covered.then(|| self.remove(number))?
    }

    /// Ends the holds of attempts of which this router has charged a retry.
    pub fn release_equal(&mut self, charged: &LostAttempt) -> Vec<T> {
        let request = charged.request;
        let equal = self
            .by_request
            .range((request, 0)..=(request, HoldNumber::MAX));
        let held = equal.filter_map(|(_, number)| Some((*number, self.held.get(number)?)));
        let retried = held
            .filter(|(_, held)| charged.may_be_retry_of(held.attempt.client_deadline, held.since));
        let numbers: Vec<_> = retried.map(|(number, _)| number).collect();
        let released = numbers.into_iter();
        released
            .filter_map(|number| self.release(number, request, charged.prompt))
            .collect()
    }

    /// Ends the holds whose time is over: they are to be charged.
    pub fn take_ended(&mut self, now: Now) -> Vec<T> {
        let ended = self.by_end.range(..=(now, HoldNumber::MAX));
        let numbers: Vec<_> = ended.map(|(_, number)| *number).collect();
        self.remove_all(numbers)
    }

    /// Ends the holds whose charge satisfies `is_taken`.
    pub fn take_if(&mut self, is_taken: impl Fn(&T) -> bool) -> Vec<T> {
        let taken = self.held.iter().filter(|(_, held)| is_taken(&held.charge));
        let numbers: Vec<_> = taken.map(|(number, _)| *number).collect();
        self.remove_all(numbers)
    }

    /// Ends all holds for good: they are to be charged, and nothing is held any more.
    pub fn close(&mut self) -> Vec<T> {
        self.is_closed = true;
        self.take_if(|_| true)
    }

    /// When the next hold ends.
    pub fn first_end(&self) -> Option<Now> {
        self.by_end.first().map(|(until, _)| *until)
    }

    /// At most `max` attempts of which no router has been notified yet.
    pub fn take_announcements(&mut self, now: Now, max: usize) -> Vec<Announcement> {
        let mut announcements = Vec::new();
        while announcements.len() < max {
            let Some(number) = self.unannounced.pop_first() else {
                break;
            };
            let held = self.held.get(&number).filter(|held| now < held.until);
            announcements.extend(held.map(|held| Announcement {
                number,
                request: held.attempt.request,
                client_waits: held.attempt.client_deadline.saturating_sub(now),
            }));
        }
        announcements
    }

    /// Whether other routers are to be notified.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Number of held attempts.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn remove_all(&mut self, numbers: Vec<HoldNumber>) -> Vec<T> {
        let numbers = numbers.into_iter();
        numbers.filter_map(|number| self.remove(number)).collect()
    }

    fn remove(&mut self, number: HoldNumber) -> Option<T> {
        let held = self.held.remove(&number)?;
        self.by_request.remove(&(held.attempt.request, number));
        self.by_end.remove(&(held.until, number));
        self.unannounced.remove(&number);
        Some(held.charge)
    }
}

/// Notice of an attempt that another router holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The router that holds it.
    pub origin: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The attempt.
    pub number: HoldNumber,
    /// Its request.
    pub request: ContentDigest,
    /// When the notice came.
    pub since: Now,
    /// When its client gives up.
    pub client_deadline: Now,
}

impl Notice {
    /// When the attempt is charged, as far as known here.
    fn until(&self) -> Now {
        self.client_deadline.min(self.since + MAX_HOLD_TIME)
    }

    fn is_of_same_attempt(&self, other: &Self) -> bool {
        self.number == other.number
            && self.incarnation == other.incarnation
            && self.origin == other.origin
    }
}

/// Notices of attempts that other routers hold, bounded in number and by time.
#[derive(Debug, Default)]
pub struct Notices {
    by_arrival: BTreeMap<u64, Notice>,
    by_request: BTreeSet<(ContentDigest, u64)>,
    next_arrival: u64,
}

impl Notices {
    /// Stores a notice, unless it is known.
    pub fn insert(&mut self, now: Now, notice: Notice) {
        self.drop_ended(now);
        if self.knows(&notice) {
            return;
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.by_request.insert((notice.request, arrival));
        self.by_arrival.insert(arrival, notice);
        if self.by_arrival.len() > MAX_NOTICES {
            self.drop_oldest();
        }
    }

    /// Takes the notices of attempts of which a retry has been charged here: each is reported once.
    pub fn take(&mut self, now: Now, charged: &LostAttempt) -> Vec<Notice> {
        let equal = self.arrivals_of(charged.request);
        let notices = equal.filter_map(|arrival| Some((arrival, self.by_arrival.get(&arrival)?)));
        let retried = notices
            .filter(|(_, notice)| charged.may_be_retry_of(notice.client_deadline, notice.since));
        let arrivals: Vec<_> = retried.map(|(arrival, _)| arrival).collect();
        let taken = arrivals
            .into_iter()
            .filter_map(|arrival| self.remove(arrival));
        taken.filter(|notice| now < notice.until()).collect()
    }

    /// Drops the oldest notices that have ended. A later one may be kept behind one that ends
    /// later, at most for [`MAX_HOLD_TIME`].
    pub fn drop_ended(&mut self, now: Now) {
        while self.first_end().is_some_and(|end| end <= now) {
            self.drop_oldest();
        }
    }

    /// When the oldest notice ends.
    pub fn first_end(&self) -> Option<Now> {
        self.by_arrival
            .first_key_value()
            .map(|(_, oldest)| oldest.until())
    }

    /// Number of notices.
    pub fn len(&self) -> usize {
        self.by_arrival.len()
    }

    /// Whether there are no notices.
    pub fn is_empty(&self) -> bool {
        self.by_arrival.is_empty()
    }

    fn knows(&self, notice: &Notice) -> bool {
        let arrivals = self.arrivals_of(notice.request);
        let mut known = arrivals.filter_map(|arrival| self.by_arrival.get(&arrival));
        known.any(|known| known.is_of_same_attempt(notice))
    }

    fn arrivals_of(&self, request: ContentDigest) -> impl Iterator<Item = u64> {
        let of_request = self.by_request.range((request, 0)..=(request, u64::MAX));
        of_request.map(|(_, arrival)| *arrival)
    }

    fn drop_oldest(&mut self) {
        if let Some((arrival, notice)) = self.by_arrival.pop_first() {
            self.by_request.remove(&(notice.request, arrival));
        }
    }

    fn remove(&mut self, arrival: u64) -> Option<Notice> {
        let notice = self.by_arrival.remove(&arrival)?;
        self.by_request.remove(&(notice.request, arrival));
        Some(notice)
    }
}
