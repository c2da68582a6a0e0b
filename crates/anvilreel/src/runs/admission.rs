//! The gate: what is started, attached to, forbidden or cancelled.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Payment, ProbeAnswer, SidecarReply, StartRequest};
use anvil_world::prelude::*;

use super::run::Run;
use super::table::{Forbidden, KEEP_FORBIDDEN, Runs};
use super::{Action, EngineCommand, ReaderId, RunsError};

/// When to come back to an endpoint that is full or leaving.
const RETRY: Duration = Duration::from_secs(1);

impl Runs {
    pub(super) fn start(&mut self, now: Now, reader: ReaderId, start: StartRequest) {
        if let Some(run) = self.run_of(&start.key) {
            if run.start.body != start.body {
                let reason = Reason::KeyReused(run.start.body);
                return self.refuse(reader, Refusal::new(reason));
            }
            return self.attach(reader, &start.key, start.offset);
        }
        match self.admit(&start) {
            Ok(()) => self.begin(now, reader, &Arc::new(start)),
            Err(refusal) => self.refuse(reader, refusal),
        }
    }

    /// Whether a new run may begin; a refusal means that nothing runs and nothing is charged.
    fn admit(&mut self, start: &StartRequest) -> Result<(), Refusal> {
        let gone = Refusal::new(Reason::EndpointRefused).with_retry_after(RETRY);
        if start.life != self.cfg.life || self.is_forbidden(start) {
            return Err(gone);
        }
        // Failure: a router that was frozen, declared lost and fenced, and then thaws, spends
        // what was given back to others. It would show as a charge after the evidence. The
        // fence is in force here before the evidence is taken, so its starts end here.
        let payment = &start.payment;
        let fenced = self.fenced.get(&payment.router);
        if fenced.is_some_and(|life| payment.incarnation <= *life) {
            return Err(Refusal::new(Reason::RouterFenced).with_retry_after(RETRY));
        }
        if self.leaving {
            return Err(Refusal::new(Reason::Leaving).with_retry_after(RETRY));
        }
        if let Err(e) = covers(payment) {
            self.actions.push(Action::Violation(e));
            return Err(gone);
        }
        if self.kept >= self.cfg.buffer_bytes {
            return Err(Refusal::new(Reason::Overloaded).with_retry_after(RETRY));
        }
        Ok(())
    }

    fn begin(&mut self, now: Now, reader: ReaderId, start: &Arc<StartRequest>) {
        let run = self.next;
        self.next += 1;
        if self.by_key.insert(start.key.clone(), run).is_some() {
            self.actions
                .push(Action::Violation(RunsError::SecondRun { run }));
        }
        self.charges.forget_closed(&start.payment);
        let made = Run::new(now, run, start.clone());
        self.kept += made.output.kept();
        self.table.insert(run, made);
        let command = EngineCommand::Begin(start.clone());
        self.actions.push(Action::Engine { run, command });
        self.read(reader, run, start.offset, false);
    }

    pub(super) fn attach(&mut self, reader: ReaderId, key: &RequestKey, offset: Offset) {
        let Some(run) = self.by_key.get(key).copied() else {
            return self.answer(reader, self.probe(key));
        };
        self.read(reader, run, offset, true);
    }

    pub(super) fn forbid(
        &mut self,
        now: Now,
        reader: ReaderId,
        what: Forbidden,
        life: Incarnation,
    ) {
        // Failure: a restarted sidecar knows nothing of what its earlier life ran, and "it never
        // started" would be false. So it speaks only for its own life.
        if life != self.cfg.life {
            return self.answer(reader, ProbeAnswer::OtherLife);
        }
        let answer = self.never_start(now, what);
        self.answer(reader, answer);
    }

    fn is_forbidden(&self, start: &StartRequest) -> bool {
        let every = (start.key.clone(), None);
        let this = (start.key.clone(), Some(start.claim.clone()));
        self.forbidden.contains_key(&every) || self.forbidden.contains_key(&this)
    }

    /// Remembers that a key, or one claim of it, may not start here, unless it has.
    fn never_start(&mut self, now: Now, what: Forbidden) -> ProbeAnswer {
        let known = self.probe(&what.0);
        if known != ProbeAnswer::Unheard {
            return known;
        }
        self.forbidden.insert(what, now + KEEP_FORBIDDEN);
        ProbeAnswer::Forbidden
    }

    /// Stops a run and bills what was made. A key that has not started never will: its start may
    /// be under way and come after the cancel.
    pub(super) fn cancel(
        &mut self,
        now: Now,
        reader: ReaderId,
        key: RequestKey,
        life: Incarnation,
    ) {
        if life != self.cfg.life {
            return self.answer(reader, ProbeAnswer::OtherLife);
        }
        if let Some(run) = self.by_key.get(&key).copied() {
            self.stop(now, run);
        }
        let answer = self.never_start(now, (key, None));
        self.answer(reader, answer);
    }

    fn refuse(&mut self, reader: ReaderId, refusal: Refusal) {
        self.last_reply(reader, SidecarReply::Refused(refusal));
    }
}

/// Whether a payment's grants hold its bound, so that no charge can be larger than reserved.
fn covers(payment: &Payment) -> Result<(), RunsError> {
    let mut reserved: Tokens = 0;
    for (budget, needed) in payment.split.bounds(payment.bound) {
        let held = payment.grants.get(budget).map_or(0, |(_, held)| *held);
        reserved = reserved.saturating_add(held);
        if held < needed {
            let bound = payment.bound;
            return Err(RunsError::ShortPayment { bound, reserved });
        }
    }
    Ok(())
}
