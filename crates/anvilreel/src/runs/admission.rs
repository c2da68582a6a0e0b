//! Requests of routers: which runs are started, attached to, forbidden or cancelled.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Payment, ProbeAnswer, SidecarReply, StartRequest};
use anvil_world::prelude::*;

use super::run::Run;
use super::table::{FORBIDDEN_RETENTION, ForbiddenStart, Runs};
use super::{Action, EndpointCommand, ReaderId, RunsError};

/// Retry hint of refusals: the endpoint is full, leaving or does not accept the request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Runs {
    pub(super) fn start(&mut self, now: Now, reader: ReaderId, start: StartRequest) {
        if let Some(run) = self.run_for_key(&start.key) {
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

    /// Whether a new run may begin. After a refusal nothing has run and nothing is charged.
    fn admit(&mut self, start: &StartRequest) -> Result<(), Refusal> {
        let not_accepted = Refusal::new(Reason::EndpointRefused).with_retry_after(RETRY_AFTER);
        if start.life != self.cfg.incarnation || self.is_forbidden(start) {
            return Err(not_accepted);
        }
        // Failure: a router freezes, is declared lost and fenced, then resumes and spends tokens
        // that were returned to others; charges appear after the evidence was reported. This
        // sidecar applies the fence before it reports the evidence, so starts of the fenced
        // incarnation are refused here.
        let payment = &start.payment;
        let fenced = self.fenced.get(&payment.router);
        if fenced.is_some_and(|newest| payment.incarnation <= *newest) {
            return Err(Refusal::new(Reason::RouterFenced).with_retry_after(RETRY_AFTER));
        }
        if self.leaving {
            return Err(Refusal::new(Reason::Leaving).with_retry_after(RETRY_AFTER));
        }
        if let Err(e) = check_coverage(payment) {
            self.actions.push(Action::Violation(e));
            return Err(not_accepted);
        }
        if self.kept_bytes >= self.cfg.buffer_bytes {
            return Err(Refusal::new(Reason::Overloaded).with_retry_after(RETRY_AFTER));
        }
        Ok(())
    }

    fn begin(&mut self, now: Now, reader: ReaderId, start: &Arc<StartRequest>) {
        let run = self.next_run;
        self.next_run += 1;
        if self.by_key.insert(start.key.clone(), run).is_some() {
            self.actions
                .push(Action::Violation(RunsError::DuplicateRun { run }));
        }
        self.charges.forget_closed(&start.payment);
        let new_run = Run::new(now, run, start.clone());
        self.kept_bytes += new_run.output.kept_bytes();
        self.table.insert(run, new_run);
        let command = EndpointCommand::Begin(start.clone());
        self.actions.push(Action::Endpoint { run, command });
        self.add_reader(reader, run, start.offset, false);
    }

    pub(super) fn attach(&mut self, reader: ReaderId, key: &RequestKey, offset: Offset) {
        let Some(run) = self.by_key.get(key).copied() else {
            return self.reply_probed(reader, self.probe(key));
        };
        self.add_reader(reader, run, offset, true);
    }

    pub(super) fn forbid(
        &mut self,
        now: Now,
        reader: ReaderId,
        forbidden_start: ForbiddenStart,
        incarnation: Incarnation,
    ) {
        // Failure: a restarted sidecar does not know what its earlier incarnation ran, so its
        // report that a key never started would be false. It only answers for its own incarnation.
        if incarnation != self.cfg.incarnation {
            return self.reply_probed(reader, ProbeAnswer::OtherLife);
        }
        let answer = self.forbid_start(now, forbidden_start);
        self.reply_probed(reader, answer);
    }

    fn is_forbidden(&self, start: &StartRequest) -> bool {
        let any_claim = (start.key.clone(), None);
        let this_claim = (start.key.clone(), Some(start.claim.clone()));
        self.forbidden.contains_key(&any_claim) || self.forbidden.contains_key(&this_claim)
    }

    /// Forbids starts of a key, or of one claim of it, unless the key has already started.
    fn forbid_start(&mut self, now: Now, forbidden_start: ForbiddenStart) -> ProbeAnswer {
        let known = self.probe(&forbidden_start.0);
        if known != ProbeAnswer::Unheard {
            return known;
        }
        self.forbidden
            .insert(forbidden_start, now + FORBIDDEN_RETENTION);
        ProbeAnswer::Forbidden
    }

    /// Stops a run and charges the output so far. A key that has not started is forbidden, because
    /// its start may still be in flight and arrive after the cancel.
    pub(super) fn cancel(
        &mut self,
        now: Now,
        reader: ReaderId,
        key: RequestKey,
        incarnation: Incarnation,
    ) {
        if incarnation != self.cfg.incarnation {
            return self.reply_probed(reader, ProbeAnswer::OtherLife);
        }
        if let Some(run) = self.by_key.get(&key).copied() {
            self.stop(now, run);
        }
        let answer = self.forbid_start(now, (key, None));
        self.reply_probed(reader, answer);
    }

    fn refuse(&mut self, reader: ReaderId, refusal: Refusal) {
        self.last_reply(reader, SidecarReply::Refused(refusal));
    }
}

/// Fails if a payment's grants don't cover its bound, which would allow a charge larger than the
/// reservation.
fn check_coverage(payment: &Payment) -> Result<(), RunsError> {
    let mut reserved: Tokens = 0;
    for (budget, needed) in payment.split.bounds(payment.bound) {
        let granted = payment
            .grants
            .get(budget)
            .map_or(0, |(_, granted)| *granted);
        reserved = reserved.saturating_add(granted);
        if granted < needed {
            let bound = payment.bound;
            return Err(RunsError::PaymentBelowBound { bound, reserved });
        }
    }
    Ok(())
}
