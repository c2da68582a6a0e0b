//! The stream from a sidecar to a caller, and what is done when it breaks.

use std::time::Duration;

use anvil_wire::msg::{
    Frame, PlacedClaim, ProbeAnswer, RunEnd, SidecarCall, SidecarReply, SidecarRequest, Start, Work,
};
use anvil_wire::{Channel, Replies};
use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

use super::Core;
use super::job::{Job, Piece};
use crate::event;
use crate::events;
use crate::money::Reservation;

/// How often a broken stream is taken up again at the same sidecar.
const ATTACHES: u32 = 3;
/// Pause before that.
const ATTACH_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for a sidecar's word on a key.
const WORD_WITHIN: Duration = Duration::from_secs(2);

/// What a caller was sent so far.
#[derive(Debug, Default)]
pub struct Delivered {
    /// Output that was passed on, kept for a continuation elsewhere.
    text: BytesMut,
    /// Bytes that were passed on.
    length: Offset,
    /// Tokens of the answer that were passed on.
    tokens: Tokens,
    head: bool,
    /// When the first output came.
    pub first_at: Option<Instant>,
}

impl Delivered {
    /// Whether the caller has got anything.
    pub fn anything(&self) -> bool {
        self.head || self.length > 0
    }

    /// Whether another endpoint can go on without a gap.
    pub fn may_continue(&self, job: &Job) -> bool {
        matches!(job.work, Work::Chat { .. }) || !self.anything()
    }
}

/// Why a dispatch is over.
#[derive(Debug)]
pub enum Stop {
    /// The run has ended.
    Ended(Box<RunEnd>),
    /// The sidecar will never start it, or never saw it.
    NotRun(Refusal),
    /// Nothing is known of it any more.
    Lost,
}

/// Sends a request to a sidecar and passes its answer on.
pub async fn dispatch(
    core: &Core,
    job: &Job,
    sidecar: &Instance,
    reservation: &Reservation,
    attempt: u32,
    delivered: &mut Delivered,
    tx: &Sender<Piece>,
) -> Stop {
    let start = start_of(core, job, sidecar, reservation, attempt, delivered);
    let channel = core.peers.to(sidecar.addr);
    let request = SidecarRequest::Start(Box::new(start));
    let replies = match channel.open::<SidecarCall>(&request).await {
        Ok(replies) => replies,
        Err(e) if e.never_sent() => {
            return Stop::NotRun(
                Refusal::new(Reason::NoEndpoint(job.service.clone())).with_retry_after(super::SOON),
            );
        }
        Err(_) => return after_loss(core, job, sidecar, &channel, delivered, tx).await,
    };
    match pass_on(core, job, &channel, replies, delivered, tx).await {
        Passed::Stop(stop) => stop,
        Passed::Broken => after_loss(core, job, sidecar, &channel, delivered, tx).await,
    }
}

/// Reads a run that another request of the same key started. Its money is the other one's.
pub async fn attach(core: &Core, job: &Job, claim: &PlacedClaim, tx: &Sender<Piece>) -> Piece {
    if claim.body != job.body {
        return Piece::Refused(Refusal::new(Reason::KeyReused(claim.body)));
    }
    let Some(sidecar) = core
        .following
        .view
        .load()
        .sidecars
        .get(&claim.sidecar)
        .cloned()
    else {
        return Piece::Doubt(Doubt::SidecarLost);
    };
    let channel = core.peers.to(sidecar.addr);
    let mut delivered = Delivered::default();
    match take_up(core, job, &channel, &mut delivered, tx).await {
        Stop::Ended(end) => match end.outcome {
            Outcome::Completed(usage) => Piece::End {
                finish: end.finish,
                usage,
            },
            Outcome::NotRun(refusal) => Piece::Refused(refusal),
            Outcome::Unknown(doubt) => Piece::Doubt(doubt),
        },
        Stop::NotRun(refusal) => Piece::Refused(refusal),
        Stop::Lost => Piece::Doubt(Doubt::SidecarLost),
    }
}

fn start_of(
    core: &Core,
    job: &Job,
    sidecar: &Instance,
    reservation: &Reservation,
    attempt: u32,
    delivered: &Delivered,
) -> Start {
    Start {
        key: job.key.clone(),
        life: sidecar.incarnation,
        attempt,
        body: job.body,
        payment: core.purse.payment(reservation, job.price),
        work: job.work.clone(),
        once: job.once,
        class: job.class,
        time_left: job.time_left(),
        keep: job.keep,
        offset: delivered.length,
        prefix: Bytes::copy_from_slice(&delivered.text),
        prefix_tokens: delivered.tokens,
    }
}

enum Passed {
    Stop(Stop),
    Broken,
}

async fn pass_on(
    core: &Core,
    job: &Job,
    channel: &Channel,
    mut replies: Replies<SidecarReply>,
    delivered: &mut Delivered,
    tx: &Sender<Piece>,
) -> Passed {
    let mut cancelled = false;
    loop {
        let reply = tokio::select! {
            reply = replies.next() => reply,
            () = tx.closed(), if !cancelled && may_cancel(job) => {
                cancelled = true;
                match cancel(channel, &job.key).await {
                    Some(end) => return Passed::Stop(Stop::Ended(end)),
                    None => continue,
                }
            }
        };
        match reply {
            Ok(Some(SidecarReply::Accepted { .. })) => {}
            Ok(Some(SidecarReply::Head(head))) => {
                if !std::mem::replace(&mut delivered.head, true) {
                    // A caller that left is noticed above.
                    let _ = tx.send(Piece::Head(head)).await;
                }
            }
            Ok(Some(SidecarReply::Frame(frame))) => {
                if !deliver(core, job, frame, delivered, tx).await {
                    return Passed::Broken;
                }
            }
            Ok(Some(SidecarReply::End(end))) => {
                return Passed::Stop(ended(core, job, end, delivered));
            }
            Ok(Some(SidecarReply::Refused(refusal))) => {
                return Passed::Stop(Stop::NotRun(refusal));
            }
            Ok(
                Some(SidecarReply::Probed(_) | SidecarReply::Ordered(_) | SidecarReply::Load(_))
                | None,
            )
            | Err(_) => return Passed::Broken,
        }
    }
}

/// Passes a frame on if it is this key's and leaves no gap.
///
/// Failure: a late or crossed answer. It would show as a caller with another caller's text, or
/// with a hole. The frame says whose it is and where it belongs; one that does not fit is
/// logged as a broken invariant and the stream it came on is given up.
async fn deliver(
    core: &Core,
    job: &Job,
    frame: Frame,
    delivered: &mut Delivered,
    tx: &Sender<Piece>,
) -> bool {
    if frame.key != job.key || frame.offset != delivered.length {
        let (key, offset) = (frame.key.id.to_string(), frame.offset);
        event!(core.log, events::ROUTER_FRAME_MISFIT, "key" => key, "offset" => offset);
        return false;
    }
    delivered.first_at.get_or_insert_with(Instant::now);
    delivered.length += frame.bytes.len() as Offset;
    delivered.tokens = frame.tokens;
    if matches!(job.work, Work::Chat { .. }) {
        delivered.text.extend_from_slice(&frame.bytes);
    }
    // A caller that left is noticed by its closed channel.
    let _ = tx.send(Piece::Bytes(frame.bytes)).await;
    true
}

/// An end counts only when all its output was passed on.
fn ended(core: &Core, job: &Job, end: Box<RunEnd>, delivered: &Delivered) -> Stop {
    if end.key == job.key && end.length == delivered.length {
        return match end.outcome {
            // The engine was lost; another endpoint may go on.
            Outcome::Unknown(Doubt::EndpointLost) if !job.once => Stop::Lost,
            _ => Stop::Ended(end),
        };
    }
    let (key, length) = (end.key.id.to_string(), end.length);
    event!(core.log, events::ROUTER_FRAME_MISFIT, "key" => key, "offset" => length);
    Stop::Lost
}

/// A stream broke: the run goes on at its sidecar, so it is taken up there.
async fn after_loss(
    core: &Core,
    job: &Job,
    sidecar: &Instance,
    channel: &Channel,
    delivered: &mut Delivered,
    tx: &Sender<Piece>,
) -> Stop {
    match take_up(core, job, channel, delivered, tx).await {
        Stop::Lost if job.once => forbid(job, sidecar, channel).await,
        stop => stop,
    }
}

async fn take_up(
    core: &Core,
    job: &Job,
    channel: &Channel,
    delivered: &mut Delivered,
    tx: &Sender<Piece>,
) -> Stop {
    for _ in 0..ATTACHES {
        let request = SidecarRequest::Attach {
            key: job.key.clone(),
            offset: delivered.length,
        };
        if let Ok(replies) = channel.open::<SidecarCall>(&request).await
            && let Passed::Stop(stop) = pass_on(core, job, channel, replies, delivered, tx).await
        {
            return stop;
        }
        sleep(ATTACH_AFTER).await;
    }
    Stop::Lost
}

/// Asks that a once-only key be never started, and learns whether it was.
async fn forbid(job: &Job, sidecar: &Instance, channel: &Channel) -> Stop {
    let request = SidecarRequest::Forbid {
        key: job.key.clone(),
        life: sidecar.incarnation,
    };
    match channel.call::<SidecarCall>(&request, WORD_WITHIN).await {
        Ok(SidecarReply::Probed(ProbeAnswer::Forbidden)) => {
            Stop::NotRun(Refusal::new(Reason::EndpointRefused).with_retry_after(super::SOON))
        }
        Ok(SidecarReply::Probed(ProbeAnswer::Ended(end))) => Stop::Ended(end),
        _ => Stop::Lost,
    }
}

/// A request whose key the caller did not choose can't come again, so nobody will read its rest.
fn may_cancel(job: &Job) -> bool {
    !job.callers_key && !job.once
}

async fn cancel(channel: &Channel, key: &RequestKey) -> Option<Box<RunEnd>> {
    let request = SidecarRequest::Cancel { key: key.clone() };
    match channel.call::<SidecarCall>(&request, WORD_WITHIN).await {
        Ok(SidecarReply::Probed(ProbeAnswer::Ended(end))) => Some(end),
        _ => None,
    }
}
