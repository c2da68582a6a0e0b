//! One call to a sidecar, from opening the stream to the last reply.

use anvil_wire::msg::{ProbeAnswer, SidecarCall, SidecarReply, SidecarRequest};
use anvil_wire::{Channel, Replies, WireError};
use futures::future::{BoxFuture, select_all};
use tokio::time::{Duration, sleep};

use crate::request::{Dispatch, Event};

/// How often a probe whose connection broke is sent again, on a new connection.
const PROBE_RETRIES: u32 = 2;
/// Pause before it is. A process that ends closes its sockets one after the other.
const PROBE_RETRY_PAUSE: Duration = Duration::from_millis(20);

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

/// What is needed to send a probe again.
struct Probe {
    channel: Channel,
    req: Box<SidecarRequest>,
    retries_left: u32,
}

/// A call in flight. Dropping it notifies the sidecar that its replies are no longer wanted.
pub struct Call {
    /// The call's number within its exchange.
    pub dispatch: Dispatch,
    /// Set only if the call asks what a sidecar knows about a key.
    probe: Option<Probe>,
    state: State,
}

impl Call {
    /// Prepares a call. Nothing is sent until [`Call::next`] is awaited.
    pub fn open(dispatch: Dispatch, channel: Channel, req: Box<SidecarRequest>) -> Self {
        let is_probe = matches!(*req, SidecarRequest::Probe { .. });
        let probe = is_probe.then(|| Probe {
            channel: channel.clone(),
            req: req.clone(),
            retries_left: PROBE_RETRIES,
        });
        let opening = async move { channel.open::<SidecarCall>(&req).await };
        Self {
            dispatch,
            probe,
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
                    Err(e) if self.probe.is_some() && e.is_connection_refused() => {
                        return self.sidecar_gone();
                    }
                    Err(_) if self.retry_probe() => {}
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
                    Ok(None) | Err(_) if self.retry_probe() => {}
                    Ok(None) | Err(_) => return self.broken(false),
                },
                State::Complete => return std::future::pending().await,
            }
        }
    }

    /// Sends a probe again if its connection broke.
    ///
    /// Failure: a sidecar has crashed, and the connection to it is not known to be broken yet. The
    /// probe fails with that connection, and only a new one shows that no process is left.
    fn retry_probe(&mut self) -> bool {
        let Some(probe) = &mut self.probe else {
            return false;
        };
        if probe.retries_left == 0 {
            return false;
        }
        probe.retries_left -= 1;
        let (channel, req) = (probe.channel.clone(), probe.req.clone());
        self.state = State::Opening(Box::pin(async move {
            sleep(PROBE_RETRY_PAUSE).await;
            channel.open::<SidecarCall>(&req).await
        }));
        true
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
