//! Reads a run's output and passes it on to the caller.

use anvil_wire::msg::{Frame, ProbeAnswer, RunEnd, SidecarReply, SidecarRequest, Work};
use anvil_world::prelude::*;

use super::exchange::{Exchange, StartState, Step};
use super::{Action, Dispatch, ExchangeError};

impl Exchange {
    /// Reads the target's run from the offset that the caller has reached; never starts a run.
    pub(super) fn attach(&mut self) {
        let Some(target) = self.target.clone() else {
            return;
        };
        let key = self.spec.key.clone();
        let offset = self.delivered;
        self.step = Step::Reading;
        self.call(target, SidecarRequest::Attach { key, offset });
    }

    pub(super) fn reply(&mut self, now: Now, dispatch: Dispatch, reply: SidecarReply) {
        if matches!(self.step, Step::Probing { .. }) {
            return self.probe_answered(dispatch, Some(&reply));
        }
        // Replies of an earlier call can arrive late or out of order. The call's number keeps bytes
        // of another attempt out of this answer.
        if dispatch != self.dispatch {
            return;
        }
        match reply {
            SidecarReply::Accepted { attached, body, .. } => self.accepted(attached, body),
            SidecarReply::Head(head) => self.deliver_head(head),
            SidecarReply::Frame(frame) => self.frame(now, frame),
            SidecarReply::End(end) => self.end(now, end),
            SidecarReply::Refused(refusal) => self.start_refused(refusal),
            SidecarReply::Probed(answer) => self.sidecar_answered(now, answer),
            SidecarReply::Ordered(_) | SidecarReply::Load(_) => {}
        }
    }

    /// The exchange whose start began the run pays for it, and only it may continue elsewhere on
    /// its own.
    ///
    /// The body is compared because a run can be found by probing a sidecar instead of through a
    /// claim. A caller that reuses its key with another body would otherwise receive the answer to
    /// a different request.
    fn accepted(&mut self, attached: bool, body: BodyHash) {
        if body != self.spec.body_hash {
            return self.refuse(Refusal::new(Reason::KeyReused(body)));
        }
        if self.start_state == StartState::Sent && !attached {
            self.start_state = StartState::Begun;
            self.unreachable = None;
        }
    }

    fn deliver_head(&mut self, head: anvil_wire::msg::ResponseHead) {
        if !self.caller.has_head && !self.caller.disconnected {
            self.actions.push(Action::DeliverHead(head));
        }
        self.caller.has_head = true;
    }

    /// Passes a frame on if it belongs to this request and continues its output.
    fn frame(&mut self, now: Now, frame: Frame) {
        if let Err(e) = self.check_frame(&frame) {
            self.actions.push(Action::Violation(e));
            return self.back_off(now);
        }
        self.consecutive_breaks = 0;
        self.unreachable = None;
        self.delivered += frame.bytes.len() as u64;
        self.delivered_tokens = self.delivered_tokens.max(frame.tokens);
        if matches!(self.spec.work, Work::Chat { .. }) {
            self.prefix.extend_from_slice(&frame.bytes);
        }
        if !self.caller.disconnected {
            self.actions.push(Action::Deliver(frame.bytes));
        }
    }

    fn check_frame(&self, frame: &Frame) -> Result<(), ExchangeError> {
        self.check_key(&frame.key)?;
        if frame.offset == self.delivered {
            return Ok(());
        }
        Err(ExchangeError::Gap {
            expected: self.delivered,
            found: frame.offset,
        })
    }

    fn check_key(&self, key: &RequestKey) -> Result<(), ExchangeError> {
        if *key == self.spec.key {
            return Ok(());
        }
        Err(ExchangeError::CrossedKey {
            expected: self.spec.key.clone(),
            found: key.clone(),
        })
    }

    fn end(&mut self, now: Now, end: Box<RunEnd>) {
        if let Err(e) = self.check_end(&end) {
            self.actions.push(Action::Violation(e));
            return self.back_off(now);
        }
        match &end.outcome {
            Outcome::Unknown(UnknownCause::EndpointLost) if self.may_continue() => {
                self.resume_elsewhere();
            }
            outcome => self.finish(outcome.clone(), Some(end)),
        }
    }

    /// Rejects an end that looks complete but arrives before all output; the caller would take a
    /// truncated answer for a complete one.
    fn check_end(&self, end: &RunEnd) -> Result<(), ExchangeError> {
        self.check_key(&end.key)?;
        let completed = matches!(end.outcome, Outcome::Completed(_));
        if !completed || end.length == self.delivered {
            return Ok(());
        }
        Err(ExchangeError::EarlyEnd {
            delivered: self.delivered,
            length: end.length,
        })
    }

    /// Handles what the sidecar knows about the key, in answer to an attach, a forbid or a cancel.
    fn sidecar_answered(&mut self, now: Now, answer: ProbeAnswer) {
        match (&self.step, answer) {
            (Step::Cancelling, ProbeAnswer::Ended(end)) => {
                let outcome = end.outcome.clone();
                self.finish(outcome, Some(end));
            }
            (Step::Cancelling, ProbeAnswer::Forbidden | ProbeAnswer::Unheard) => {
                self.refuse(Refusal::new(Reason::Cancelled));
            }
            (Step::Forbidding { cause }, ProbeAnswer::Forbidden) => {
                let cause = cause.clone();
                self.start_forbidden(cause);
            }
            (Step::Forbidding { .. }, ProbeAnswer::Running { .. } | ProbeAnswer::Ended(_)) => {
                self.attach();
            }
            (Step::Reading, ProbeAnswer::Unheard) => self.key_unknown(),
            (_, ProbeAnswer::Forbidden) => {
                self.start_forbidden(Refusal::new(Reason::EndpointRefused));
            }
            (_, ProbeAnswer::OtherLife) => self.incarnation_ended(),
            // A successful attach is answered by the run's output, so any other answer is
            // unexpected.
            (_, _) => self.back_off(now),
        }
    }
}
