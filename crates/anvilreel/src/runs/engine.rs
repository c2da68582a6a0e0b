//! What the endpoint says, and how a run ends.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvil_wire::msg::{RunEnd, SidecarReply};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::run::{Ended, Run};
use super::table::Runs;
use super::{Action, EngineCommand, EngineEvent, RunId, RunsError};

/// The engine came to the answer's end.
const STOP: &str = "stop";
/// The reservation was used up.
const LENGTH: &str = "length";
/// No whole answer.
const CUT: &str = "cut";

impl Runs {
    pub(super) fn engine(&mut self, now: Now, id: RunId, event: EngineEvent) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        // Late words of an engine about a run that was stopped.
        if !run.is_live() {
            return;
        }
        match event {
            EngineEvent::Head(head) => {
                run.head = Some(head);
                self.pump_all(id);
            }
            EngineEvent::Output { bytes, usage } => self.output(now, id, bytes, usage),
            EngineEvent::Ended { usage, finish } => self.ended(now, id, usage, finish),
            EngineEvent::Refused => self.not_run(id),
            EngineEvent::Lost { usage, resumable } => self.lost(now, id, usage, resumable),
        }
    }

    /// Appends output, unless its use would cost more than what was reserved.
    fn output(&mut self, now: Now, id: RunId, bytes: Bytes, usage: Usage) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        if run.cost(usage) > run.start.payment.bound {
            self.tell_stop(id);
            return self.end(now, id, Outcome::Completed(Usage::default()), LENGTH);
        }
        run.usage = usage;
        self.kept += bytes.len() as u64;
        run.output.push(bytes, usage.output);
        self.pump_all(id);
    }

    fn ended(&mut self, now: Now, id: RunId, usage: Usage, finish: Arc<str>) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        let bound = run.start.payment.bound;
        let cost = run.cost(usage);
        run.usage = usage;
        if cost > bound {
            let e = RunsError::OverBound {
                run: id,
                cost,
                bound,
            };
            self.actions.push(Action::Violation(e));
        }
        let finish = if finish.is_empty() {
            STOP.into()
        } else {
            finish
        };
        self.end(now, id, Outcome::Completed(usage), &finish);
    }

    /// The endpoint has certainly not run it: the key is free again and nothing is charged.
    fn not_run(&mut self, id: RunId) {
        let refusal = Refusal::new(Reason::EndpointRefused);
        self.forget(id, &SidecarReply::Refused(refusal));
    }

    fn lost(&mut self, now: Now, id: RunId, usage: Usage, resumable: bool) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        if resumable {
            let from = run.output.length() - run.start.prefix.len() as u64;
            let command = EngineCommand::Resume { from };
            return self.actions.push(Action::Engine { run: id, command });
        }
        let doubt = Outcome::Unknown(UnknownCause::EndpointLost);
        if run.start.once {
            run.usage = usage;
            return self.end(now, id, doubt, CUT);
        }
        // Idempotent work is handed back: it is continued elsewhere and billed there. Charging
        // the lost part here too would bill one request twice.
        self.hand_back(now, id);
    }

    /// Stops a live run for good and bills what was made, once.
    pub(super) fn stop(&mut self, now: Now, id: RunId) {
        if self.table.get(&id).is_some_and(Run::is_live) {
            self.tell_stop(id);
            self.end(now, id, Outcome::Unknown(UnknownCause::Stopped), CUT);
        }
    }

    fn tell_stop(&mut self, run: RunId) {
        let command = EngineCommand::Stop;
        self.actions.push(Action::Engine { run, command });
    }

    fn end(&mut self, now: Now, id: RunId, outcome: Outcome, finish: &str) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        let outcome = match outcome {
            Outcome::Completed(_) => Outcome::Completed(run.usage),
            other => other,
        };
        let mut end = run.unfinished(outcome);
        end.finish = finish.into();
        let start = run.start.clone();
        // Charged here before any reader hears of the end: when a caller sees it, the charge is
        // held by this sidecar and by the router that passes it on.
        self.charges
            .note(&start.payment, &start.key, start.attempt, &end.charged);
        let kept_for = if start.once {
            start.keep.max(self.cfg.keep_once)
        } else {
            start.keep
        };
        run.end = Some(Ended {
            end: Box::new(end),
            drop_output: now + start.keep,
            forget: now + kept_for,
            delivered: false,
            handed_back: false,
        });
        self.pump_all(id);
    }

    /// Ends a run that is to be continued elsewhere, uncharged and without its output: a caller
    /// who comes back is led on to where it was continued. The key is remembered, so that nobody
    /// is told that it never ran.
    fn hand_back(&mut self, now: Now, id: RunId) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        let mut end = run.unfinished(Outcome::Unknown(UnknownCause::EndpointLost));
        end.charged = BTreeMap::new();
        self.kept -= run.drop_output();
        let until = now + run.start.keep;
        run.end = Some(Ended {
            end: Box::new(end),
            drop_output: until,
            forget: until,
            delivered: true,
            handed_back: true,
        });
        self.pump_all(id);
    }

    /// Takes a run away as if it had never been, with a last word to its readers.
    fn forget(&mut self, id: RunId, last: &SidecarReply) {
        let Some(run) = self.table.remove(&id) else {
            return;
        };
        self.by_key.remove(&run.start.key);
        self.kept -= run.output.kept();
        for reader in run.readers {
            self.readers.remove(&reader);
            self.last_reply(reader, last.clone());
        }
    }
}

impl Run {
    /// An end with the use and charge so far.
    pub(super) fn unfinished(&self, outcome: Outcome) -> RunEnd {
        RunEnd {
            key: self.start.key.clone(),
            length: self.output.length(),
            usage: self.usage,
            outcome,
            finish: CUT.into(),
            paid_by: self.start.payment.reservation(),
            charged: self.charges(),
        }
    }
}
