//! Events from the endpoint, and how a run ends.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvil_wire::msg::{RunEnd, SidecarReply};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::run::{EndedRun, Run};
use super::table::Runs;
use super::{Action, EndpointCommand, EndpointEvent, RunId, RunsError};

/// Finish reason: the engine completed the answer.
const FINISH_STOP: &str = "stop";
/// Finish reason: the reservation was used up.
const FINISH_LENGTH: &str = "length";
/// Finish reason: the answer is incomplete.
const FINISH_INCOMPLETE: &str = "cut";

impl Runs {
    pub(super) fn endpoint_event(&mut self, now: Now, id: RunId, event: EndpointEvent) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        // A late event about a run that was stopped.
        if !run.is_live() {
            return;
        }
        match event {
            EndpointEvent::Head(head) => {
                run.head = Some(head);
                self.send_to_readers(id);
            }
            EndpointEvent::Output { bytes, usage } => self.append_output(now, id, bytes, usage),
            EndpointEvent::Ended { usage, finish } => self.ended(now, id, usage, finish),
            EndpointEvent::Refused => self.not_run(id),
            EndpointEvent::Lost { usage, resumable } => self.run_lost(now, id, usage, resumable),
        }
    }

    /// Appends output. If its usage would cost more than was reserved, the run ends instead.
    fn append_output(&mut self, now: Now, id: RunId, bytes: Bytes, usage: Usage) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        if run.cost(usage) > run.start.payment.bound {
            self.send_stop(id);
            return self.end(now, id, Outcome::Completed(Usage::default()), FINISH_LENGTH);
        }
        run.usage = usage;
        self.kept_bytes += bytes.len() as u64;
        run.output.push(bytes, usage.output);
        self.send_to_readers(id);
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
            FINISH_STOP.into()
        } else {
            finish
        };
        self.end(now, id, Outcome::Completed(usage), &finish);
    }

    /// The endpoint has certainly not run the request: the key is free again and nothing is
    /// charged.
    fn not_run(&mut self, id: RunId) {
        let refusal = Refusal::new(Reason::EndpointRefused);
        self.forget(id, &SidecarReply::Refused(refusal));
    }

    fn run_lost(&mut self, now: Now, id: RunId, usage: Usage, resumable: bool) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        if resumable {
            let from = run.output.length() - run.start.prefix.len() as u64;
            let command = EndpointCommand::Resume { from };
            return self.actions.push(Action::Endpoint { run: id, command });
        }
        let outcome = Outcome::Unknown(UnknownCause::EndpointLost);
        if run.start.once {
            run.usage = usage;
            return self.end(now, id, outcome, FINISH_INCOMPLETE);
        }
        // Idempotent work is continued and charged on another endpoint. Charging the lost part here
        // as well would charge one request twice.
        self.hand_back(now, id);
    }

    /// Stops a live run for good and charges the output so far.
    pub(super) fn stop(&mut self, now: Now, id: RunId) {
        if self.table.get(&id).is_some_and(Run::is_live) {
            self.send_stop(id);
            self.end(
                now,
                id,
                Outcome::Unknown(UnknownCause::Stopped),
                FINISH_INCOMPLETE,
            );
        }
    }

    fn send_stop(&mut self, run: RunId) {
        let command = EndpointCommand::Stop;
        self.actions.push(Action::Endpoint { run, command });
    }

    fn end(&mut self, now: Now, id: RunId, outcome: Outcome, finish: &str) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        let outcome = match outcome {
            Outcome::Completed(_) => Outcome::Completed(run.usage),
            other => other,
        };
        let mut end = run.incomplete_end(outcome);
        end.finish = finish.into();
        let start = run.start.clone();
        // Recorded before any reader receives the end: when a caller sees the end, both this
        // sidecar and the router that forwards it hold the charge.
        self.charges
            .record(&start.payment, &start.key, start.attempt, &end.charged);
        let retention = if start.once {
            start.keep.max(self.cfg.once_retention)
        } else {
            start.keep
        };
        run.end = Some(EndedRun {
            end: Box::new(end),
            drop_output_at: now + start.keep,
            forget_at: now + retention,
            delivered: false,
            handed_back: false,
        });
        self.send_to_readers(id);
    }

    /// Ends a run that another endpoint is to continue: without a charge and without its output. A
    /// caller that reconnects is led to the continuation. The key is remembered, so that no router
    /// receives the answer that it never ran.
    fn hand_back(&mut self, now: Now, id: RunId) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        let mut end = run.incomplete_end(Outcome::Unknown(UnknownCause::EndpointLost));
        end.charged = BTreeMap::new();
        self.kept_bytes -= run.drop_output();
        let until = now + run.start.keep;
        run.end = Some(EndedRun {
            end: Box::new(end),
            drop_output_at: until,
            forget_at: until,
            delivered: true,
            handed_back: true,
        });
        self.send_to_readers(id);
    }

    /// Removes a run as if it had never existed, with a last reply to its readers.
    fn forget(&mut self, id: RunId, last: &SidecarReply) {
        let Some(run) = self.table.remove(&id) else {
            return;
        };
        self.by_key.remove(&run.start.key);
        self.kept_bytes -= run.output.kept_bytes();
        for reader in run.readers {
            self.readers.remove(&reader);
            self.last_reply(reader, last.clone());
        }
    }
}

impl Run {
    /// An end with the usage and charge so far, marked as incomplete.
    pub(super) fn incomplete_end(&self, outcome: Outcome) -> RunEnd {
        RunEnd {
            key: self.start.key.clone(),
            length: self.output.length(),
            usage: self.usage,
            outcome,
            finish: FINISH_INCOMPLETE.into(),
            paid_by: self.start.payment.reservation(),
            charged: self.charges(),
        }
    }
}
