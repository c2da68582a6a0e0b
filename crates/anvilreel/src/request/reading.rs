//! Reading a run's output and passing it on.

use anvil_wire::msg::{Frame, ProbeAnswer, RunEnd, SidecarReply, SidecarRequest, Work};
use anvil_world::prelude::*;

use super::exchange::{Exchange, Started, Step};
use super::{Action, Dispatch, ExchangeError};

impl Exchange {
    /// Reads the target's run from where the caller is; never runs anything.
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
            return self.probed(dispatch, Some(&reply));
        }
        // Failure: answers of an earlier call that come late or crossed. They would show as
        // bytes of another attempt in this answer; the call's number keeps them out.
        if dispatch != self.dispatch {
            return;
        }
        match reply {
            SidecarReply::Accepted { attached, body, .. } => self.accepted(attached, body),
            SidecarReply::Head(head) => self.deliver_head(head),
            SidecarReply::Frame(frame) => self.frame(now, frame),
            SidecarReply::End(end) => self.end(now, end),
            SidecarReply::Refused(refusal) => self.refused(refusal),
            SidecarReply::Probed(answer) => self.answered(now, answer),
            SidecarReply::Ordered(_) | SidecarReply::Load(_) => {}
        }
    }

    /// The payer is whose start began the run: only it may continue elsewhere on its own.
    ///
    /// Failure: a run is found at a sidecar that was asked, not through a claim, and the caller
    /// came with another body under its key. It would show as the answer to another question.
    fn accepted(&mut self, attached: bool, body: BodyHash) {
        if body != self.spec.body {
            return self.refuse(Refusal::new(Reason::KeyReused(body)));
        }
        if self.start == Started::Sent && !attached {
            self.start = Started::Begun;
        }
    }

    fn deliver_head(&mut self, head: anvil_wire::msg::Head) {
        if !self.caller.has_head && !self.caller.gone {
            self.actions.push(Action::DeliverHead(head));
        }
        self.caller.has_head = true;
    }

    /// Passes a frame on if it is ours and fits.
    fn frame(&mut self, now: Now, frame: Frame) {
        if let Err(e) = self.fits(&frame) {
            self.actions.push(Action::Violation(e));
            return self.break_off(now);
        }
        self.breaks = 0;
        self.delivered += frame.bytes.len() as u64;
        self.delivered_tokens = self.delivered_tokens.max(frame.tokens);
        if matches!(self.spec.work, Work::Chat { .. }) {
            self.prefix.extend_from_slice(&frame.bytes);
        }
        if !self.caller.gone {
            self.actions.push(Action::Deliver(frame.bytes));
        }
    }

    fn fits(&self, frame: &Frame) -> Result<(), ExchangeError> {
        self.is_ours(&frame.key)?;
        if frame.offset == self.delivered {
            return Ok(());
        }
        Err(ExchangeError::Gap {
            expected: self.delivered,
            found: frame.offset,
        })
    }

    fn is_ours(&self, key: &RequestKey) -> Result<(), ExchangeError> {
        if *key == self.spec.key {
            return Ok(());
        }
        Err(ExchangeError::CrossedKey {
            expected: self.spec.key.clone(),
            found: key.clone(),
        })
    }

    fn end(&mut self, now: Now, end: Box<RunEnd>) {
        if let Err(e) = self.ends(&end) {
            self.actions.push(Action::Violation(e));
            return self.break_off(now);
        }
        match &end.outcome {
            Outcome::Unknown(Doubt::EndpointLost) if self.may_continue() => self.move_on(),
            outcome => self.finish(outcome.clone(), Some(end)),
        }
    }

    /// Failure: an end that comes before all output and looks complete. It would show as an
    /// answer cut short that the caller takes for whole.
    fn ends(&self, end: &RunEnd) -> Result<(), ExchangeError> {
        self.is_ours(&end.key)?;
        let completed = matches!(end.outcome, Outcome::Completed(_));
        if !completed || end.length == self.delivered {
            return Ok(());
        }
        Err(ExchangeError::EarlyEnd {
            delivered: self.delivered,
            length: end.length,
        })
    }

    /// What the sidecar knows of the key, in answer to an attach, a forbid or a cancel.
    fn answered(&mut self, now: Now, answer: ProbeAnswer) {
        match (&self.step, answer) {
            (Step::Cancelling, ProbeAnswer::Ended(end)) => {
                let outcome = end.outcome.clone();
                self.finish(outcome, Some(end));
            }
            (Step::Cancelling, ProbeAnswer::Forbidden | ProbeAnswer::Unheard) => {
                self.refuse(Refusal::new(Reason::Cancelled));
            }
            (Step::Forbidding { because }, ProbeAnswer::Forbidden) => {
                let because = because.clone();
                self.forbidden(because);
            }
            (Step::Forbidding { .. }, ProbeAnswer::Running { .. } | ProbeAnswer::Ended(_)) => {
                self.attach();
            }
            (Step::Reading, ProbeAnswer::Unheard) => self.unheard(),
            (_, ProbeAnswer::Forbidden) => {
                self.forbidden(Refusal::new(Reason::EndpointRefused));
            }
            (_, ProbeAnswer::OtherLife) => self.life_over(),
            // An attach that finds a run is answered by the run itself.
            (_, _) => self.break_off(now),
        }
    }
}
