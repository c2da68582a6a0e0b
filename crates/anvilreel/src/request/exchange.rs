//! The exchange: its state, and where each event goes.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_wire::msg::{Payment, RunEnd, SidecarRequest};
use anvil_world::command::SettleClaim;
use anvil_world::prelude::*;
use bytes::BytesMut;

use super::claiming::Claiming;
use super::{Action, Dispatch, Event, Spec, Target};
use crate::money::{Purse, Reservation};

/// How long after its deadline the sidecar's own end is waited for.
const GRACE: Duration = Duration::from_secs(2);

/// What the exchange waits for.
#[derive(Debug)]
pub(super) enum Step {
    /// Not begun.
    New,
    /// Sidecars are asked whether they know the key.
    Probing {
        /// Those that were not asked yet.
        left: Vec<Target>,
    },
    /// An endpoint.
    Choosing,
    /// The claim's holders.
    Claiming(Claiming),
    /// Money; with the time when waiting for it ends.
    Reserving { until: Option<Now> },
    /// The sidecar's replies.
    Reading,
    /// The end of a pause before it attaches again.
    Pausing { until: Now },
    /// The sidecar's word that it never starts the key.
    Forbidding { because: Refusal },
    /// The sidecar's word on what was made.
    Cancelling,
    /// The sidecar's word on what it charged; the caller has its answer.
    Lingering {
        /// No longer than this.
        until: Now,
    },
    /// Nothing.
    Finished,
}

/// How far the start at the present target has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Started {
    /// None has left.
    No,
    /// It has left; whether it arrived is not known.
    Sent,
    /// The sidecar has said that it began the run under our payment.
    Begun,
}

/// The caller's side.
#[derive(Debug, Default)]
pub(super) struct Caller {
    /// Whether its connection is gone.
    pub(super) gone: bool,
    /// Whether it has status and headers.
    pub(super) has_head: bool,
}

/// One caller's request.
#[derive(Debug)]
pub struct Exchange {
    pub(super) spec: Spec,
    pub(super) step: Step,
    pub(super) dispatch: Dispatch,
    pub(super) target: Option<Target>,
    pub(super) excluded: BTreeSet<InstanceId>,
    pub(super) generation: u32,
    /// The ledger's claim of this key, where it has one.
    pub(super) claim_id: ClaimId,
    /// Whether the claim that stands was made by this exchange.
    pub(super) claim_ours: bool,
    /// Whether the ledger has said that the claimed run came to its end.
    pub(super) known_complete: bool,
    pub(super) reservation: Option<Reservation>,
    pub(super) payment: Option<Payment>,
    pub(super) start: Started,
    /// Starts that have left for the present target, and the number of the last one's call.
    pub(super) starts: u32,
    pub(super) start_call: Dispatch,
    /// A sidecar that was left because it can't be reached; the run may go on there.
    pub(super) left_behind: Option<Target>,
    pub(super) attempt: u32,
    pub(super) breaks: u32,
    pub(super) delivered: Offset,
    pub(super) delivered_tokens: Tokens,
    /// What was delivered of a chat, to be continued from.
    pub(super) prefix: BytesMut,
    pub(super) caller: Caller,
    /// Since when a claimed non-idempotent key has not been heard of at its sidecar.
    pub(super) unheard_since: Option<Now>,
    /// The one that is asked whether it knows the key.
    pub(super) suspect: Option<Target>,
    /// Whether the suspects were asked.
    pub(super) probed: bool,
    /// Time of the event that is handled.
    pub(super) now: Now,
    pub(super) actions: Vec<Action>,
}

impl Exchange {
    /// A request that has not begun.
    pub fn new(spec: Spec) -> Self {
        Self {
            claim_id: spec.claim_id.clone(),
            spec,
            step: Step::New,
            dispatch: 0,
            target: None,
            excluded: BTreeSet::new(),
            generation: 0,
            claim_ours: false,
            known_complete: false,
            reservation: None,
            payment: None,
            start: Started::No,
            starts: 0,
            start_call: 0,
            left_behind: None,
            attempt: 0,
            breaks: 0,
            delivered: 0,
            delivered_tokens: 0,
            prefix: BytesMut::new(),
            caller: Caller::default(),
            unheard_since: None,
            suspect: None,
            probed: false,
            now: Now::ZERO,
            actions: Vec::new(),
        }
    }

    /// What was asked.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Whether it is over.
    pub fn is_finished(&self) -> bool {
        matches!(self.step, Step::Finished)
    }

    /// Bytes delivered to the caller.
    pub fn delivered(&self) -> Offset {
        self.delivered
    }

    /// Takes one event and says what to do, in order. `purse` only makes payments' text.
    pub fn handle(&mut self, now: Now, purse: &Purse, event: Event) -> Vec<Action> {
        self.now = now;
        if self.is_finished() {
            return after_end(event);
        }
        if let Step::Lingering { until } = self.step {
            self.lingering(now, until, event);
            return std::mem::take(&mut self.actions);
        }
        match event {
            Event::Begin => self.begin(),
            Event::Chosen(target) => self.chosen(target),
            Event::NotChosen(refusal) => self.not_chosen(refusal),
            Event::Claimed { holder, answer } => self.claimed(holder, answer),
            Event::Reserved(reservation) => self.reserved(now, purse, reservation),
            Event::Short(shortage) => self.short(now, shortage),
            Event::MoneyChanged => self.money_changed(),
            Event::Reply { dispatch, reply } => self.reply(now, dispatch, reply),
            Event::Broken {
                dispatch,
                never_sent,
            } => self.broken(now, dispatch, never_sent),
            Event::Gone(target) => self.target_gone(&target),
            Event::CallerGone => self.leave_caller(),
            Event::Wake => self.wake(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn begin(&mut self) {
        let deadline = self.spec.deadline;
        self.actions.push(Action::WakeAt(deadline));
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
        self.start = Started::No;
        if self.spec.named || self.spec.once {
            return self.claim();
        }
        self.claim_ours = true;
        self.reserve_or_start();
    }

    fn not_chosen(&mut self, refusal: Refusal) {
        if matches!(self.step, Step::Choosing) {
            self.refuse(refusal);
        }
    }

    fn wake(&mut self, now: Now) {
        if now >= self.spec.deadline {
            return self.out_of_time(now);
        }
        match &self.step {
            Step::Pausing { until } if now >= *until => self.attach(),
            Step::Reserving { until: Some(until) } if now >= *until => self.reserve_again(),
            _ => {}
        }
    }

    /// Failure: a caller that is held after its request was given up. Before a dispatch the
    /// refusal is true at once; after one the sidecar stops the run itself at the deadline, and
    /// its word is waited for only as long as a message takes.
    fn out_of_time(&mut self, now: Now) {
        if self.attempt == 0 && self.start == Started::No && self.nothing_ran() {
            return self.refuse(Refusal::new(Reason::DeadlineTooClose));
        }
        if now >= self.spec.deadline + GRACE {
            return self.finish(Outcome::Unknown(Doubt::Stopped), None);
        }
        self.actions
            .push(Action::WakeAt(self.spec.deadline + GRACE));
    }

    /// Calls a sidecar; from now on only this call's replies count.
    pub(super) fn call(&mut self, target: Target, req: SidecarRequest) {
        self.dispatch += 1;
        self.actions.push(Action::Call {
            dispatch: self.dispatch,
            target,
            req: Box::new(req),
        });
    }

    /// Ends with "not run". Only called where nothing ran under this key as far as this
    /// exchange's dispatches go.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        // After an endpoint has begun the answer, "not run" would be false.
        if self.attempt > 0 || self.delivered > 0 {
            return self.finish(Outcome::Unknown(Doubt::EndpointLost), None);
        }
        self.finish(Outcome::NotRun(refusal), None);
    }

    /// Ends, once: settles the money, notes the claim's end, tells the caller.
    pub(super) fn finish(&mut self, outcome: Outcome, end: Option<Box<RunEnd>>) {
        let lingers = self.may_be_charged(&outcome, end.as_deref());
        if !lingers {
            self.settle(&outcome, end.as_deref());
        }
        // An answer read to its end is known to whoever read it; all else only to the claimer.
        let knows = self.claim_ours || matches!(outcome, Outcome::Completed(_));
        if self.spec.once && knows {
            let settle = SettleClaim {
                id: self.claim_id.clone(),
                key: self.spec.key.clone(),
                outcome: outcome.clone(),
            };
            self.actions.push(Action::SettleClaim(settle));
        }
        let dispatch = self.dispatch;
        self.actions.push(Action::Drop { dispatch });
        self.actions.push(Action::Finish { outcome, end });
        self.step = Step::Finished;
        if lingers {
            self.linger();
        }
    }
}

/// A reservation that comes after the end goes straight back.
fn after_end(event: Event) -> Vec<Action> {
    match event {
        Event::Reserved(reservation) => vec![Action::Release(reservation)],
        _ => Vec::new(),
    }
}
