//! What an exchange does when a sidecar refuses, breaks off or is lost: it attaches again,
//! continues at another endpoint, or ends with the outcome that is known.

use std::time::Duration;

use anvil_wire::msg::{SidecarRequest, Work};
use anvil_world::prelude::*;

use super::exchange::{Exchange, StartState, Step, Unreachable};
use super::{Action, Dispatch, Target};

/// First pause before attaching again; doubled after each break.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Consecutive breaks without any output after which the payer continues at another endpoint.
const MAX_CONSECUTIVE_BREAKS: u32 = 3;
/// For how long a run whose sidecar can't be reached is read there again if no other endpoint takes
/// it over. A process that is frozen or cut off for a moment is back sooner.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the owner of a non-idempotent key's claim has to send its call; longer than it may wait
/// for a reservation.
const CLAIM_OWNER_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before the sidecar is asked again.
const CLAIM_OWNER_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Endpoints tried for one request.
const MAX_ENDPOINTS: usize = 4;
/// Retry-After when no endpoint accepted the request.
const ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Exchange {
    /// Handles a call that failed or whose stream broke.
    pub(super) fn call_broken(&mut self, now: Now, dispatch: Dispatch, never_sent: bool) {
        if matches!(self.step, Step::Probing { .. }) {
            return self.probe_answered(dispatch, None);
        }
        if dispatch != self.dispatch {
            return;
        }
        // The first start of a key that no other router knows was never sent, so another endpoint
        // can be tried at once.
        let never_started = never_sent && self.starts_sent == 1 && dispatch == self.last_start_call;
        if never_started && !self.spec.has_caller_key && !self.spec.at_most_once {
            self.start_state = StartState::NotSent;
            return self.try_other_endpoint(Refusal::new(Reason::EndpointRefused));
        }
        if never_started && self.spec.at_most_once {
            self.start_state = StartState::NotSent;
            return self.refuse(retryable(Reason::EndpointRefused));
        }
        self.back_off(now);
    }

    /// Drops the current call and attaches again after a pause, or continues at another endpoint.
    pub(super) fn back_off(&mut self, now: Now) {
        let dispatch = self.dispatch;
        self.actions.push(Action::DropCall { dispatch });
        self.dispatch += 1;
        self.consecutive_breaks += 1;
        if self.consecutive_breaks >= MAX_CONSECUTIVE_BREAKS
            && self.start_state == StartState::Begun
            && self.may_continue()
        {
            return self.leave_unreachable();
        }
        let pause = MIN_BACKOFF * 2_u32.pow(self.consecutive_breaks.min(8) - 1);
        let until = now + pause.min(MAX_BACKOFF);
        self.step = Step::BackingOff { until };
        self.actions.push(Action::SetTimer(until));
    }

    /// Handles a sidecar's refusal to run the key; this attempt has not been charged.
    pub(super) fn start_refused(&mut self, refusal: Refusal) {
        self.start_state = StartState::NotSent;
        if matches!(refusal.reason, Reason::KeyReused(_)) {
            return self.refuse(refusal);
        }
        // A router that was partitioned or frozen is fenced, and its requests are refused at one
        // sidecar after another. If it forbade their keys there, callers that retry through other
        // routers would find no endpoint; so a fenced router forbids nothing. If this was the
        // request's first start, "not run" is true.
        if refusal.reason == Reason::RouterFenced {
            if self.starts_sent > 1 {
                return self.finish(Outcome::Unknown(UnknownCause::SidecarLost), None);
            }
            return self.refuse(refusal);
        }
        // A refusal covers this start only. An earlier one may have been accepted by an incarnation
        // that is over, and then "not run" would be false.
        let doubtful = self.starts_sent > 1;
        if !self.spec.at_most_once && (self.spec.has_caller_key || doubtful) {
            // The claim still directs other exchanges to this sidecar. None of them may start the
            // key here after this exchange has moved to another endpoint.
            return self.forbid(refusal);
        }
        if self.spec.at_most_once {
            return self.refuse(refusal);
        }
        self.try_other_endpoint(refusal);
    }

    fn forbid(&mut self, cause: Refusal) {
        let Some(target) = self.target.clone() else {
            return;
        };
        self.step = Step::Forbidding { cause };
        let key = self.spec.key.clone();
        let life = target.incarnation;
        let claim = self.spec.at_most_once.then(|| self.claim_id.clone());
        self.call(target, SidecarRequest::Forbid { key, life, claim });
    }

    /// Handles the sidecar's confirmation that it will never start this key.
    pub(super) fn start_forbidden(&mut self, cause: Refusal) {
        self.start_state = StartState::NotSent;
        if self.spec.at_most_once {
            // No other exchange can have received this claim as fresh and still start the key here.
            self.owns_claim = true;
            return self.refuse(retryable(cause.reason));
        }
        self.try_other_endpoint(cause);
    }

    /// Handles the answer of the claimed sidecar that it does not know the key.
    pub(super) fn key_unknown(&mut self) {
        // Two copies of an order can arrive at the same time, so that the second finds the claim
        // before the first one's call has arrived. Forbidding the key at once would refuse both, so
        // the owner's call is given time to arrive.
        if self.spec.at_most_once && self.consecutive_breaks < MAX_CONSECUTIVE_BREAKS {
            return self.back_off(self.now);
        }
        if self.spec.at_most_once {
            return self.wait_for_claim_owner();
        }
        self.reserve_or_start();
    }

    /// Waits because the owner of a non-idempotent key's claim has not sent its call yet: it waits
    /// for a reservation, or its call is in flight, or it died. Forbidding at once would refuse
    /// both of two calls that arrived together.
    fn wait_for_claim_owner(&mut self) {
        let now = self.now;
        let since = *self.unknown_since.get_or_insert(now);
        if now >= since + CLAIM_OWNER_TIMEOUT {
            return self.forbid(retryable(Reason::EndpointRefused));
        }
        let until = now + CLAIM_OWNER_POLL_INTERVAL;
        self.step = Step::BackingOff { until };
        self.actions.push(Action::SetTimer(until));
    }

    /// Tries another endpoint for work that has not begun.
    fn try_other_endpoint(&mut self, cause: Refusal) {
        if self.attempt == 0 && self.excluded.len() + 1 >= MAX_ENDPOINTS {
            return self.refuse(cause);
        }
        self.leave_target();
        self.choose();
    }

    /// Continues at another endpoint after the delivered output, under the same key, grants and
    /// reservation. The higher attempt number makes its charge the one that counts.
    pub(super) fn resume_elsewhere(&mut self) {
        self.unreachable = None;
        self.choose_other();
    }

    /// Looks for another endpoint that continues a run whose sidecar can't be reached.
    fn leave_unreachable(&mut self) {
        self.abandoned_target = self.target.clone();
        let again = self.unreachable.take();
        let again = again.filter(|known| self.target.as_ref() == Some(&known.target));
        self.unreachable = self.target.clone().map(|target| Unreachable {
            until: again.map_or(self.now + UNREACHABLE_TIMEOUT, |known| known.until),
            generation: self.generation,
            target,
        });
        self.choose_other();
    }

    /// Returns to the sidecar that could not be reached, because no other endpoint takes the run
    /// over: it may go on there. Returns false if there is none, or its time is over.
    pub(super) fn return_to_unreachable(&mut self) -> bool {
        let Some(known) = self.unreachable.clone().filter(|it| self.now < it.until) else {
            return false;
        };
        self.excluded.remove(&known.target.sidecar);
        self.target = Some(known.target);
        self.generation = known.generation;
        self.start_state = StartState::Begun;
        self.abandoned_target = None;
        let until = self.now + MAX_BACKOFF;
        self.step = Step::BackingOff { until };
        self.actions.push(Action::SetTimer(until));
        true
    }

    fn choose_other(&mut self) {
        self.attempt += 1;
        if self.excluded.len() + 1 >= MAX_ENDPOINTS {
            return self.finish(Outcome::Unknown(UnknownCause::EndpointLost), None);
        }
        self.leave_target();
        self.choose();
    }

    fn leave_target(&mut self) {
        // The stream of a call that was answered with a refusal ends afterwards. If that end were
        // taken for a break of the next call, the request would back off for a target that it has
        // left, and would never be answered. So the old call is dropped and its events are ignored.
        let dispatch = self.dispatch;
        self.actions.push(Action::DropCall { dispatch });
        self.dispatch += 1;
        if let Some(target) = self.target.take() {
            self.excluded.insert(target.sidecar);
        }
        self.generation += 1;
        self.starts_sent = 0;
        self.consecutive_breaks = 0;
        self.start_state = StartState::NotSent;
    }

    /// Whether another endpoint can supply the rest of the answer.
    pub(super) fn may_continue(&self) -> bool {
        let continues = matches!(self.spec.work, Work::Chat { .. }) || self.delivered == 0;
        !self.spec.at_most_once && continues
    }

    /// Handles the members' list reporting that a sidecar's incarnation is over.
    pub(super) fn target_gone(&mut self, gone: &Target) {
        let waits = matches!(
            self.step,
            Step::Reading | Step::BackingOff { .. } | Step::Forbidding { .. } | Step::Cancelling
        );
        if waits && self.target.as_ref() == Some(gone) {
            self.incarnation_ended();
        }
    }

    /// Handles a call that broke while the ledger, too, receives nothing from the sidecar.
    pub(super) fn target_unresponsive(&mut self, target: &Target) {
        let reads = matches!(self.step, Step::Reading | Step::BackingOff { .. });
        let begun = self.start_state == StartState::Begun && self.may_continue();
        if reads && begun && self.target.as_ref() == Some(target) {
            return self.leave_unreachable();
        }
        self.target_gone(target);
    }

    /// Handles the end of the incarnation that was to run the key.
    pub(super) fn incarnation_ended(&mut self) {
        if matches!(self.step, Step::Cancelling) {
            return self.finish(Outcome::Unknown(UnknownCause::Stopped), None);
        }
        if self.completed_in_ledger {
            // An order was placed and its sidecar restarted. A caller that asks again must not get
            // the answer that the order may have run, since the ledger knows that it did.
            return self.finish(Outcome::Unknown(UnknownCause::AnswerLost), None);
        }
        if !self.may_continue() {
            return self.finish(Outcome::Unknown(UnknownCause::SidecarLost), None);
        }
        self.resume_elsewhere();
    }

    /// Whether it is certain that no dispatch of this exchange has begun a run.
    pub(super) fn nothing_ran(&self) -> bool {
        matches!(
            self.step,
            Step::New | Step::Choosing | Step::Claiming(_) | Step::Reserving { .. }
        )
    }

    /// Handles the caller's disconnection. A caller that chose the key may come back, and the
    /// outcome of an order that was sent must be known. Any other run is cancelled, and what it
    /// produced is charged.
    pub(super) fn caller_disconnected(&mut self) {
        self.caller.disconnected = true;
        if self.spec.has_caller_key || self.spec.at_most_once {
            return;
        }
        if self.nothing_ran() {
            return self.refuse(Refusal::new(Reason::Cancelled));
        }
        let Some(target) = self.target.clone() else {
            return;
        };
        let dispatch = self.dispatch;
        self.actions.push(Action::DropCall { dispatch });
        self.step = Step::Cancelling;
        let key = self.spec.key.clone();
        let life = target.incarnation;
        self.call(target, SidecarRequest::Cancel { key, life });
    }
}

fn retryable(reason: Reason) -> Refusal {
    Refusal::new(reason).with_retry_after(ENDPOINT_RETRY_AFTER)
}
