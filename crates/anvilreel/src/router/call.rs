//! One call to a sidecar, from opening the stream to the last reply.

use anvil_wire::msg::{ProbeAnswer, SidecarCall, SidecarReply, SidecarRequest};
use anvil_wire::{Channel, Replies, WireError};
use futures::future::{BoxFuture, select_all};

use crate::request::{Dispatch, Event};

enum State {
    Opening(BoxFuture<'static, Result<Replies<SidecarReply>, WireError>>),
    Reading(Box<Replies<SidecarReply>>),
    Complete,
}

/// Waits for the next event of any of these calls; pending for ever while there are none.
pub async fn next_event(calls: &mut [Call]) -> Event {
    match calls {
        [] => std::future::pending().await,
        // The usual case: there are several calls only while several sidecars are probed for a key.
        [only] => only.next().await,
        many => {
            let waiting = many.iter_mut().map(|call| Box::pin(call.next()));
            select_all(waiting).await.0
        }
    }
}

/// A call in flight. Dropping it notifies the sidecar that its replies are no longer wanted.
pub struct Call {
    /// The call's number within its exchange.
    pub dispatch: Dispatch,
    /// Whether the call only asks what a sidecar knows about a key.
    is_probe: bool,
    state: State,
}

impl Call {
    /// Prepares a call. Nothing is sent until [`Call::next`] is awaited.
    pub fn open(dispatch: Dispatch, channel: Channel, req: Box<SidecarRequest>) -> Self {
        let is_probe = matches!(*req, SidecarRequest::Probe { .. });
        let opening = async move { channel.open::<SidecarCall>(&req).await };
        Self {
            dispatch,
            is_probe,
            state: State::Opening(Box::pin(opening)),
        }
    }

    /// Waits for the call's next event; pending for ever once the call has ended.
    /// Cancellation-safe.
    pub async fn next(&mut self) -> Event {
        loop {
            match &mut self.state {
                State::Opening(opening) => match opening.await {
                    Ok(replies) => self.state = State::Reading(Box::new(replies)),
                    Err(e) if self.is_probe && e.is_connection_refused() => {
                        return self.sidecar_gone();
                    }
                    Err(e) => return self.broken(e.never_sent()),
                },
                State::Reading(replies) => match replies.next().await {
                    Ok(Some(reply)) => {
                        if is_last(&reply) {
                            // Whatever the stream does after the last reply carries no information.
                            self.state = State::Complete;
                        }
                        let dispatch = self.dispatch;
                        return Event::Reply { dispatch, reply };
                    }
                    Ok(None) | Err(_) => return self.broken(false),
                },
                State::Complete => return std::future::pending().await,
            }
        }
    }

    /// Whether no more events will come from this call.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Answers a probe on behalf of a sidecar whose process no longer runs: if nothing listens at
    /// its address, the incarnation that was asked is over and none of its runs continues.
    ///
    /// Otherwise, from the death of a sidecar until the ledger declares it lost, every request
    /// whose key it might have run would end with the outcome "unknown".
    fn sidecar_gone(&mut self) -> Event {
        self.state = State::Complete;
        Event::Reply {
            dispatch: self.dispatch,
            reply: SidecarReply::Probed(ProbeAnswer::OtherLife),
        }
    }

    fn broken(&mut self, never_sent: bool) -> Event {
        self.state = State::Complete;
        Event::CallBroken {
            dispatch: self.dispatch,
            never_sent,
        }
    }
}

fn is_last(reply: &SidecarReply) -> bool {
    matches!(
        reply,
        SidecarReply::End(_)
            | SidecarReply::Refused(_)
            | SidecarReply::Probed(_)
            | SidecarReply::Ordered(_)
    )
}
