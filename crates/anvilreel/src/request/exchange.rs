//! The state of an exchange, and the dispatch of events to the step in progress.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_wire::msg::{Payment, RunEnd, SidecarRequest};
use anvil_world::command::SettleClaim;
use anvil_world::prelude::*;
use bytes::BytesMut;

use super::claiming::Claiming;
use super::{Action, Dispatch, Event, RequestSpec, Target};
use crate::money::{GrantAccount, Reservation};

/// How long after the deadline the exchange waits for the sidecar's own end of the run.
const END_GRACE: Duration = Duration::from_secs(2);

/// What the exchange is waiting for.
#[derive(Debug)]
pub(super) enum Step {
    /// Not begun.
    New,
    /// The answers of sidecars that are asked whether they know the key.
    Probing {
        /// Sidecars not asked yet.
        remaining: Vec<Target>,
    },
    /// The choice of an endpoint.
    Choosing,
    /// The answers of the claim's holders.
    Claiming(Claiming),
    /// A reservation. `until` is set once waiting for tokens has begun, and ends it.
    Reserving { until: Option<Now> },
    /// The sidecar's replies.
    Reading,
    /// The end of a pause before it attaches again.
    BackingOff { until: Now },
    /// The sidecar's confirmation that it will never start the key.
    Forbidding { cause: Refusal },
    /// The sidecar's answer to a cancellation: what it has produced.
    Cancelling,
    /// The sidecar's report of its charge; the caller already has its answer.
    AwaitingCharge {
        /// When waiting ends.
        until: Now,
    },
    /// Nothing: the exchange is over.
    Finished,
}

/// Progress of the start at the current target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StartState {
    /// No start has been sent.
    NotSent,
    /// A start was sent; whether it arrived is not known.
    Sent,
    /// The sidecar has confirmed that it began the run under this exchange's payment.
    Begun,
}

/// A sidecar that could not be reached while its run may go on.
#[derive(Debug, Clone)]
pub(super) struct Unreachable {
    pub(super) target: Target,
    /// Generation of the claim that names it.
    pub(super) generation: u32,
    /// Until when the run is read there again if no other endpoint takes it over.
    pub(super) until: Now,
}

/// State of the caller's connection.
#[derive(Debug, Default)]
pub(super) struct Caller {
    /// Whether the caller has disconnected.
    pub(super) disconnected: bool,
    /// Whether the caller has received status and headers.
    pub(super) has_head: bool,
}

/// The state machine of one caller's request.
#[derive(Debug)]
pub struct Exchange {
    pub(super) spec: RequestSpec,
    pub(super) step: Step,
    pub(super) dispatch: Dispatch,
    pub(super) target: Option<Target>,
    pub(super) excluded: BTreeSet<InstanceId>,
    pub(super) generation: u32,
    /// The ledger's claim of this key, if there is one.
    pub(super) claim_id: ClaimId,
    /// Whether the recorded claim was made by this exchange.
    pub(super) owns_claim: bool,
    /// Whether the ledger has reported that the claimed run completed.
    pub(super) completed_in_ledger: bool,
    pub(super) reservation: Option<Reservation>,
    pub(super) payment: Option<Payment>,
    pub(super) start_state: StartState,
    /// Number of starts sent to the current target; `last_start_call` is the call of the last one.
    pub(super) starts_sent: u32,
    pub(super) last_start_call: Dispatch,
    /// A sidecar that was given up because it can't be reached; the run may continue there.
    pub(super) abandoned_target: Option<Target>,
    /// Set until output arrives again or another endpoint has taken the run over.
    pub(super) unreachable: Option<Unreachable>,
    pub(super) attempt: u32,
    pub(super) consecutive_breaks: u32,
    pub(super) delivered: Offset,
    pub(super) delivered_tokens: Tokens,
    /// The delivered part of a chat, from which another endpoint can continue.
    pub(super) prefix: BytesMut,
    pub(super) caller: Caller,
    /// Since when the sidecar named by the claim of a non-idempotent key has answered that it does
    /// not know the key.
    pub(super) unknown_since: Option<Now>,
    /// The sidecar that is being probed.
    pub(super) probed_target: Option<Target>,
    /// Whether the candidate sidecars have been probed.
    pub(super) candidates_probed: bool,
    /// Time of the event being handled.
    pub(super) now: Now,
    pub(super) actions: Vec<Action>,
}

impl Exchange {
    /// An exchange that has not begun.
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            claim_id: spec.claim_id.clone(),
            spec,
            step: Step::New,
            dispatch: 0,
            target: None,
            excluded: BTreeSet::new(),
            generation: 0,
            owns_claim: false,
            completed_in_ledger: false,
            reservation: None,
            payment: None,
            start_state: StartState::NotSent,
            starts_sent: 0,
            last_start_call: 0,
            abandoned_target: None,
            unreachable: None,
            attempt: 0,
            consecutive_breaks: 0,
            delivered: 0,
            delivered_tokens: 0,
            prefix: BytesMut::new(),
            caller: Caller::default(),
            unknown_since: None,
            probed_target: None,
            candidates_probed: false,
            now: Now::ZERO,
            actions: Vec::new(),
        }
    }

    /// The request's specification.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Whether the exchange is over.
    pub fn is_finished(&self) -> bool {
        matches!(self.step, Step::Finished)
    }

    /// Whether it waits for the replies of the sidecar that runs the request.
    pub fn is_reading(&self) -> bool {
        matches!(self.step, Step::Reading)
    }

    /// Bytes delivered to the caller.
    pub fn delivered(&self) -> Offset {
        self.delivered
    }

    /// Handles one event and returns the actions to perform, in order. `grant_account` is only used
    /// to describe the payment to the sidecar.
    pub fn handle(&mut self, now: Now, grant_account: &GrantAccount, event: Event) -> Vec<Action> {
        self.now = now;
        if self.is_finished() {
            return handle_after_end(event);
        }
        if let Step::AwaitingCharge { until } = self.step {
            self.handle_awaiting_charge(now, until, event);
            return std::mem::take(&mut self.actions);
        }
        match event {
            Event::Begin => self.begin(),
            Event::Chosen(target) => self.chosen(target),
            Event::NotChosen(refusal) => self.not_chosen(refusal),
            Event::Claimed { holder, answer } => self.claim_answered(holder, answer),
            Event::Reserved(reservation) => self.reserved(now, grant_account, reservation),
            Event::ReservationFailed(shortage) => self.reservation_failed(now, shortage),
            Event::GrantsChanged => self.grants_changed(),
            Event::Reply { dispatch, reply } => self.reply(now, dispatch, reply),
            Event::CallBroken {
                dispatch,
                never_sent,
            } => self.call_broken(now, dispatch, never_sent),
            Event::TargetGone(target) => self.target_gone(&target),
            Event::TargetUnresponsive(target) => self.target_unresponsive(&target),
            Event::CallerGone => self.caller_disconnected(),
            Event::TimerFired => self.timer_fired(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn begin(&mut self) {
        let deadline = self.spec.deadline;
        self.actions.push(Action::SetTimer(deadline));
        self.choose();
    }

    pub(super) fn choose(&mut self) {
        self.step = Step::Choosing;
        let exclude = self.excluded.clone();
        self.actions.push(Action::Choose { exclude });
    }

    fn chosen(&mut self, target: Target) {
        if !matches!(self.step, Step::Choosing) {
            return;
        }
        self.target = Some(target);
        self.start_state = StartState::NotSent;
        if self.spec.has_caller_key || self.spec.at_most_once {
            // A caller that comes back is led by this claim from now on.
            self.unreachable = None;
            return self.claim();
        }
        self.owns_claim = true;
        self.reserve_or_start();
    }

    fn not_chosen(&mut self, refusal: Refusal) {
        if matches!(self.step, Step::Choosing) && !self.return_to_unreachable() {
            self.refuse(refusal);
        }
    }

    fn timer_fired(&mut self, now: Now) {
        if now >= self.spec.deadline {
            return self.deadline_passed(now);
        }
        match &self.step {
            Step::BackingOff { until } if now >= *until => self.attach(),
            Step::Reserving { until: Some(until) } if now >= *until => self.retry_reservation(),
            _ => {}
        }
    }

    /// Handles the deadline, so that the caller is not kept waiting after its request was given up.
    /// Before a dispatch, a refusal can be returned at once. After one, the sidecar itself stops
    /// the run at the deadline, and its report is awaited only for as long as a message takes.
    fn deadline_passed(&mut self, now: Now) {
        if self.attempt == 0 && self.start_state == StartState::NotSent && self.nothing_ran() {
            return self.refuse(Refusal::new(Reason::DeadlineTooClose));
        }
        if now >= self.spec.deadline + END_GRACE {
            return self.finish(Outcome::Unknown(UnknownCause::Stopped), None);
        }
        self.actions
            .push(Action::SetTimer(self.spec.deadline + END_GRACE));
    }

    /// Calls a sidecar; from now on only this call's replies are handled.
    pub(super) fn call(&mut self, target: Target, req: SidecarRequest) {
        self.dispatch += 1;
        self.actions.push(Action::Call {
            dispatch: self.dispatch,
            target,
            req: Box::new(req),
        });
    }

    /// Ends with the outcome "not run". Must be called only if none of this exchange's dispatches
    /// has run the key.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        // Once an endpoint has begun the answer, "not run" would be false.
        if self.attempt > 0 || self.delivered > 0 {
            return self.finish(Outcome::Unknown(UnknownCause::EndpointLost), None);
        }
        self.finish(Outcome::NotRun(refusal), None);
    }

    /// Ends the exchange, once: settles the reservation, records the claim's outcome and answers
    /// the caller.
    pub(super) fn finish(&mut self, outcome: Outcome, end: Option<Box<RunEnd>>) {
        let awaits_charge = self.may_be_charged(&outcome, end.as_deref());
        if !awaits_charge {
            self.settle(&outcome, end.as_deref());
        }
        // Anyone who has read an answer to its end knows the outcome; otherwise only the claim's
        // owner does.
        let may_settle = self.owns_claim || matches!(outcome, Outcome::Completed(_));
        if self.spec.at_most_once && may_settle {
            let settle = SettleClaim {
                id: self.claim_id.clone(),
                key: self.spec.key.clone(),
                outcome: outcome.clone(),
            };
            self.actions.push(Action::SettleClaim(settle));
        }
        let dispatch = self.dispatch;
        self.actions.push(Action::DropCall { dispatch });
        self.actions.push(Action::Finish { outcome, end });
        self.step = Step::Finished;
        if awaits_charge {
            self.await_charge();
        }
    }
}

/// Releases a reservation that arrives after the end.
fn handle_after_end(event: Event) -> Vec<Action> {
    match event {
        Event::Reserved(reservation) => vec![Action::Release(reservation)],
        _ => Vec::new(),
    }
}
