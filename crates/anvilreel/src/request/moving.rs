//! When a sidecar refuses, breaks off or is lost: attach again, go elsewhere, or say what is
//! known.

use std::time::Duration;

use anvil_wire::msg::{SidecarRequest, Work};
use anvil_world::prelude::*;

use super::exchange::{Exchange, Started, Step};
use super::{Action, Dispatch, Target};

/// First pause before attaching again; doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Breaks without a byte between them after which the payer continues elsewhere.
const PATIENT_BREAKS: u32 = 3;
/// How long the claimer of a non-idempotent key is given to send its call: longer than it waits
/// for money.
const CLAIMER_WITHIN: Duration = Duration::from_secs(8);
/// Pause before looking again.
const CLAIMER_PAUSE: Duration = Duration::from_millis(150);
/// Endpoints tried for one request.
const MOST_ENDPOINTS: usize = 4;
/// When to come back after a request found no endpoint that takes it.
const RETRY: Duration = Duration::from_secs(1);

impl Exchange {
    /// The call failed or its stream broke.
    pub(super) fn broken(&mut self, now: Now, dispatch: Dispatch, never_sent: bool) {
        if matches!(self.step, Step::Probing { .. }) {
            return self.probed(dispatch, None);
        }
        if dispatch != self.dispatch {
            return;
        }
        // The first start of a key that no other router knows never left: elsewhere, at once.
        let untouched = never_sent && self.starts == 1 && dispatch == self.start_call;
        if untouched && !self.spec.named && !self.spec.once {
            self.start = Started::No;
            return self.elsewhere(Refusal::new(Reason::EndpointRefused));
        }
        if untouched && self.spec.once {
            self.start = Started::No;
            return self.refuse(come_back(Reason::EndpointRefused));
        }
        self.break_off(now);
    }

    /// Leaves the present call and attaches again after a pause, or continues elsewhere.
    pub(super) fn break_off(&mut self, now: Now) {
        let dispatch = self.dispatch;
        self.actions.push(Action::Drop { dispatch });
        self.dispatch += 1;
        self.breaks += 1;
        if self.breaks >= PATIENT_BREAKS && self.start == Started::Begun && self.may_continue() {
            self.left_behind = self.target.clone();
            return self.move_on();
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.breaks.min(8) - 1);
        let until = now + pause.min(LONGEST_PAUSE);
        self.step = Step::Pausing { until };
        self.actions.push(Action::WakeAt(until));
    }

    /// The sidecar will not run it, and nothing was charged for this try.
    pub(super) fn refused(&mut self, refusal: Refusal) {
        self.start = Started::No;
        if matches!(refusal.reason, Reason::KeyReused(_)) {
            return self.refuse(refusal);
        }
        // Failure: a router that was cut off or frozen is fenced, and its requests, refused at one
        // sidecar after the other, forbid their keys everywhere. It would show as a caller whose
        // retries through other routers find no endpoint. A fenced router forbids nothing; where
        // nothing of this request ever left before, "not run" is true.
        if refusal.reason == Reason::RouterFenced {
            if self.starts > 1 {
                return self.finish(Outcome::Unknown(Doubt::SidecarLost), None);
            }
            return self.refuse(refusal);
        }
        // A refusal speaks for this start only. An earlier one may have been taken by a life
        // that is over, and then "not run" would be false.
        let doubtful = self.starts > 1;
        if !self.spec.once && (self.spec.named || doubtful) {
            // The claim still leads others here, so it must be certain that none of them
            // starts it here after we have gone elsewhere.
            return self.forbid(refusal);
        }
        if self.spec.once {
            return self.refuse(refusal);
        }
        self.elsewhere(refusal);
    }

    fn forbid(&mut self, because: Refusal) {
        let Some(target) = self.target.clone() else {
            return;
        };
        self.step = Step::Forbidding { because };
        let key = self.spec.key.clone();
        let life = target.life;
        let claim = self.spec.once.then(|| self.claim_id.clone());
        self.call(target, SidecarRequest::Forbid { key, life, claim });
    }

    /// The sidecar has said that it never starts this key.
    pub(super) fn forbidden(&mut self, because: Refusal) {
        self.start = Started::No;
        if self.spec.once {
            // Nobody else may have been told "fresh" for this claim and still start it here.
            self.claim_ours = true;
            return self.refuse(come_back(because.reason));
        }
        self.elsewhere(because);
    }

    /// The claimed sidecar has not heard of the key.
    pub(super) fn unheard(&mut self) {
        // Failure: two copies of an order come at the same time; the second finds the claim
        // before the first one's call is there, and forbids it. It would show as both refused.
        // So the claimer's call is given time to arrive.
        if self.spec.once && self.breaks < PATIENT_BREAKS {
            return self.break_off(self.now);
        }
        if self.spec.once {
            return self.wait_for_claimer();
        }
        self.reserve_or_start();
    }

    /// The claimer of a non-idempotent key has not sent its call yet: it waits for money, or its
    /// call is under way, or it died. Forbidding at once would refuse two calls that came side
    /// by side, both of them.
    fn wait_for_claimer(&mut self) {
        let now = self.now;
        let since = *self.unheard_since.get_or_insert(now);
        if now >= since + CLAIMER_WITHIN {
            return self.forbid(come_back(Reason::EndpointRefused));
        }
        let until = now + CLAIMER_PAUSE;
        self.step = Step::Pausing { until };
        self.actions.push(Action::WakeAt(until));
    }

    /// Tries another endpoint for work that has not begun.
    fn elsewhere(&mut self, because: Refusal) {
        if self.attempt == 0 && self.excluded.len() + 1 >= MOST_ENDPOINTS {
            return self.refuse(because);
        }
        self.leave_target();
        self.choose();
    }

    /// Continues on another endpoint from what was delivered, under the same key, grants and
    /// bill. The attempt's number makes sure that its charge is the one that counts.
    pub(super) fn move_on(&mut self) {
        self.attempt += 1;
        if self.excluded.len() + 1 >= MOST_ENDPOINTS {
            return self.finish(Outcome::Unknown(Doubt::EndpointLost), None);
        }
        self.leave_target();
        self.choose();
    }

    fn leave_target(&mut self) {
        // Failure: the stream of a call that was answered with a refusal ends after it, and the
        // end looks like a break of the call that is to come: the request pauses for a target
        // that it has left and is never answered. What the old call still says is not heard.
        let dispatch = self.dispatch;
        self.actions.push(Action::Drop { dispatch });
        self.dispatch += 1;
        if let Some(target) = self.target.take() {
            self.excluded.insert(target.sidecar);
        }
        self.generation += 1;
        self.starts = 0;
        self.breaks = 0;
        self.start = Started::No;
    }

    /// Whether another endpoint can give the rest of the answer.
    pub(super) fn may_continue(&self) -> bool {
        let continues = matches!(self.spec.work, Work::Chat { .. }) || self.delivered == 0;
        !self.spec.once && continues
    }

    /// The members' list says that a sidecar's life is over.
    pub(super) fn target_gone(&mut self, gone: &Target) {
        let waits = matches!(
            self.step,
            Step::Reading | Step::Pausing { .. } | Step::Forbidding { .. } | Step::Cancelling
        );
        if waits && self.target.as_ref() == Some(gone) {
            self.life_over();
        }
    }

    /// The life that was to run the key is over.
    pub(super) fn life_over(&mut self) {
        if matches!(self.step, Step::Cancelling) {
            return self.finish(Outcome::Unknown(Doubt::Stopped), None);
        }
        if self.known_complete {
            // Failure: an order was placed, its sidecar restarted, and the caller who asks again
            // is told "it may have run" although the ledger knows that it did.
            return self.finish(Outcome::Unknown(Doubt::AnswerLost), None);
        }
        if !self.may_continue() {
            return self.finish(Outcome::Unknown(Doubt::SidecarLost), None);
        }
        self.move_on();
    }

    /// Whether it is certain that no dispatch of this exchange has begun anything.
    pub(super) fn nothing_ran(&self) -> bool {
        matches!(
            self.step,
            Step::New | Step::Choosing | Step::Claiming(_) | Step::Reserving { .. }
        )
    }

    /// The caller's connection is gone. A caller who made the key may come back, and an order
    /// that has left must be known; all else is stopped, and what was made is billed.
    pub(super) fn leave_caller(&mut self) {
        self.caller.gone = true;
        if self.spec.named || self.spec.once {
            return;
        }
        if self.nothing_ran() {
            return self.refuse(Refusal::new(Reason::Cancelled));
        }
        let Some(target) = self.target.clone() else {
            return;
        };
        let dispatch = self.dispatch;
        self.actions.push(Action::Drop { dispatch });
        self.step = Step::Cancelling;
        let key = self.spec.key.clone();
        let life = target.life;
        self.call(target, SidecarRequest::Cancel { key, life });
    }
}

fn come_back(reason: Reason) -> Refusal {
    Refusal::new(reason).with_retry_after(RETRY)
}
