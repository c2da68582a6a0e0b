//! One call to a sidecar, from its opening to its last reply.

use anvil_wire::msg::{ProbeAnswer, SidecarCall, SidecarReply, SidecarRequest};
use anvil_wire::{Channel, Replies, WireError};
use futures::future::{BoxFuture, select_all};

use crate::request::{Dispatch, Event};

enum State {
    Opening(BoxFuture<'static, Result<Replies<SidecarReply>, WireError>>),
    Reading(Box<Replies<SidecarReply>>),
    Over,
}

/// The next thing that happens to any of these calls; never, while there are none.
pub async fn next_of(calls: &mut [Call]) -> Event {
    match calls {
        [] => std::future::pending().await,
        // Nearly always: only while several sidecars are asked for a key are there more.
        [only] => only.next().await,
        many => {
            let waiting = many.iter_mut().map(|call| Box::pin(call.next()));
            select_all(waiting).await.0
        }
    }
}

/// A call under way. Dropping it tells the sidecar that its replies are not wanted.
pub struct Call {
    /// Its number.
    pub dispatch: Dispatch,
    /// Whether it only asks what a sidecar knows of a key.
    probes: bool,
    state: State,
}

impl Call {
    /// Opens a call. Nothing happens until [`Call::next`] is awaited.
    pub fn open(dispatch: Dispatch, channel: Channel, req: Box<SidecarRequest>) -> Self {
        let probes = matches!(*req, SidecarRequest::Probe { .. });
        let opening = async move { channel.open::<SidecarCall>(&req).await };
        Self {
            dispatch,
            probes,
            state: State::Opening(Box::pin(opening)),
        }
    }

    /// The next thing that happens to it; never, once it is over. Safe to be dropped half-way.
    pub async fn next(&mut self) -> Event {
        loop {
            match &mut self.state {
                State::Opening(opening) => match opening.await {
                    Ok(replies) => self.state = State::Reading(Box::new(replies)),
                    Err(e) if self.probes && e.nobody_listens() => return self.life_is_over(),
                    Err(e) => return self.broken(e.never_sent()),
                },
                State::Reading(replies) => match replies.next().await {
                    Ok(Some(reply)) => {
                        if is_last(&reply) {
                            // What the stream does after its last reply says nothing.
                            self.state = State::Over;
                        }
                        let dispatch = self.dispatch;
                        return Event::Reply { dispatch, reply };
                    }
                    Ok(None) | Err(_) => return self.broken(false),
                },
                State::Over => return std::future::pending().await,
            }
        }
    }

    /// Whether nothing more will happen to it.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// Failure: a sidecar dies, and until the ledger has missed it every request whose key it
    /// might have run is told "unknown". No process listens where it was, so the life that is
    /// asked for is over and none of its runs goes on.
    fn life_is_over(&mut self) -> Event {
        self.state = State::Over;
        Event::Reply {
            dispatch: self.dispatch,
            reply: SidecarReply::Probed(ProbeAnswer::OtherLife),
        }
    }

    fn broken(&mut self, never_sent: bool) -> Event {
        self.state = State::Over;
        Event::Broken {
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
