//! One request from its check to its end: money, turn, claim, dispatch, answer, settlement.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::estimate::Finished;
use anvil_world::prelude::*;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep_until};

use super::claims::{self, Known, Made};
use super::job::{Job, Piece};
use super::lane::Turn;
use super::relay::{Delivered, Stop};
use super::{Core, relay};
use crate::event;
use crate::events;
use crate::metrics::{
    CALLERS_LEFT, FIRST_OUTPUT, REQUESTS_COMPLETED, REQUESTS_REFUSED, REQUESTS_UNKNOWN,
};
use crate::money::{Reservation, Shortage};

/// Pieces that wait for a caller that reads slowly; further ones wait at the sidecar.
const PIECES: usize = 4;
/// Endpoints that one request is tried on.
const TRIES: u32 = 4;

/// Starts a request; its answer comes in pieces. Dropping the receiver is the caller leaving.
pub fn start(core: Arc<Core>, job: Job) -> Receiver<Piece> {
    let (tx, rx) = channel(PIECES);
    tokio::spawn(async move {
        let open = core.enter();
        run(&core, &job, &tx).await;
        drop(open);
    });
    rx
}

async fn run(core: &Arc<Core>, job: &Job, tx: &Sender<Piece>) {
    let last = match find(core, job).await {
        Some(Known::Placed(claim)) => relay::attach(core, job, &claim, tx).await,
        Some(Known::Settled(Outcome::Unknown(doubt))) => Piece::Doubt(doubt),
        Some(Known::Hidden) => Piece::Doubt(Doubt::SidecarLost),
        Some(Known::Settled(_) | Known::Nothing) | None => fresh(core, job, tx).await,
    };
    let count = match &last {
        Piece::Refused(_) => REQUESTS_REFUSED,
        Piece::Doubt(_) => REQUESTS_UNKNOWN,
        _ => REQUESTS_COMPLETED,
    };
    core.metrics.count(count);
    // Fails only where the caller has left.
    if tx.send(last).await.is_err() {
        core.metrics.count(CALLERS_LEFT);
    }
}

/// Only a key that the caller chose can have come before.
async fn find(core: &Core, job: &Job) -> Option<Known> {
    if !job.callers_key {
        return None;
    }
    Some(claims::find(core, job).await)
}

/// Runs a request that was not seen before.
async fn fresh(core: &Arc<Core>, job: &Job, tx: &Sender<Piece>) -> Piece {
    let reservation = match reserve(core, job).await {
        Ok(reservation) => reservation,
        Err(refusal) => return Piece::Refused(refusal),
    };
    let mut delivered = Delivered::default();
    let mut avoid: Vec<InstanceId> = Vec::new();
    for attempt in 0..TRIES {
        let turn = match turn(core, job, &avoid).await {
            Ok(turn) => turn,
            Err(refusal) => return give_up(core, reservation, &delivered, refusal),
        };
        let Some(sidecar) = core
            .following
            .view
            .load()
            .sidecars
            .get(&turn.endpoint.id)
            .cloned()
        else {
            avoid.push(turn.endpoint.id.clone());
            continue;
        };
        match claim(core, job, &avoid, &sidecar).await {
            Ok(Made::Ours) => {}
            Ok(Made::Theirs(claim)) => {
                core.purse.release(reservation);
                drop(turn);
                return relay::attach(core, job, &claim, tx).await;
            }
            Err(refusal) => return give_up(core, reservation, &delivered, refusal),
        }
        let began = Instant::now();
        let stop = relay::dispatch(
            core,
            job,
            &sidecar,
            &reservation,
            attempt,
            &mut delivered,
            tx,
        )
        .await;
        match stop {
            Stop::Ended(end) => {
                learn(job, &turn, began, &delivered, end.usage);
                return settle(core, job, reservation, &end).await;
            }
            Stop::NotRun(refusal) => {
                let forbidden = job.once || attempt + 1 == TRIES;
                free_claim(core, job, &refusal).await;
                if forbidden && !job.once {
                    return give_up(core, reservation, &delivered, refusal);
                }
            }
            Stop::Lost if job.once => return doubt(core, job, reservation).await,
            Stop::Lost => {
                event!(core.log, events::ROUTER_ENDPOINT_LOST, "sidecar" => sidecar.id.to_string());
                if !delivered.may_continue(job) {
                    return doubt(core, job, reservation).await;
                }
            }
        }
        avoid.push(sidecar.id.clone());
    }
    let nowhere = Refusal::new(Reason::NoEndpoint(job.service.clone()));
    give_up(
        core,
        reservation,
        &delivered,
        nowhere.with_retry_after(super::SOON),
    )
}

/// Waits for money no longer than the purse says that it may come.
async fn reserve(core: &Core, job: &Job) -> Result<Reservation, Refusal> {
    let mut until: Option<Now> = None;
    loop {
        let changed = core.purse.changed();
        let shortage = match core.purse.reserve(core.life.now(), &job.split, job.bound) {
            Ok(reservation) => return Ok(reservation),
            Err(shortage) => shortage,
        };
        core.money_wanted.notify_one();
        let Shortage::WaitFor {
            until: latest,
            otherwise,
        } = shortage
        else {
            return Err(shortage.refusal().clone());
        };
        let latest = *until.get_or_insert(latest);
        let left = latest.saturating_sub(core.life.now()).min(job.time_left());
        if left.is_zero() {
            return Err(otherwise);
        }
        let wake = Instant::now() + left;
        tokio::select! {
            () = changed => {}
            () = sleep_until(wake) => return Err(otherwise),
        }
    }
}

async fn turn(core: &Core, job: &Job, avoid: &[InstanceId]) -> Result<Turn, Refusal> {
    let key = (job.service.clone(), job.model().cloned());
    let lane = core.places.lane(&key).ok_or_else(|| {
        let nowhere = Reason::NoEndpoint(job.service.clone());
        Refusal::new(nowhere).with_retry_after(super::SOON)
    })?;
    let view = core.following.view.load();
    let weight = view
        .organisations
        .get(&job.organisation)
        .map_or(1, |o| o.weight);
    drop(view);
    lane.turn(&core.life, job, weight, avoid).await
}

async fn claim(
    core: &Core,
    job: &Job,
    avoid: &[InstanceId],
    sidecar: &Instance,
) -> Result<Made, Refusal> {
    if !job.once && !job.callers_key {
        return Ok(Made::Ours);
    }
    match avoid.last() {
        Some(old) if !job.once => Ok(claims::replace(core, job, old, sidecar).await),
        _ => claims::make(core, job, sidecar).await,
    }
}

/// Frees the claim on a once-only key that a sidecar certainly never starts.
async fn free_claim(core: &Core, job: &Job, refusal: &Refusal) {
    if job.once {
        claims::settle(core, job, Outcome::NotRun(refusal.clone())).await;
    }
}

fn give_up(
    core: &Core,
    reservation: Reservation,
    delivered: &Delivered,
    refusal: Refusal,
) -> Piece {
    core.purse.release(reservation);
    if delivered.anything() {
        // A part went out already, so "not run" would be false.
        return Piece::Doubt(Doubt::EndpointLost);
    }
    Piece::Refused(refusal)
}

/// The end of a request whose run can't be reached any more: it is charged in full to the
/// reservation's bound only where it may have run and may not run again.
async fn doubt(core: &Core, job: &Job, reservation: Reservation) -> Piece {
    let key = job.key.id.to_string();
    event!(core.log, events::ROUTER_OUTCOME_UNKNOWN, "key" => key);
    let doubt = Doubt::SidecarLost;
    if job.once {
        claims::settle(core, job, Outcome::Unknown(doubt)).await;
    }
    core.purse.release(reservation);
    Piece::Doubt(doubt)
}

fn learn(job: &Job, turn: &Turn, began: Instant, delivered: &Delivered, usage: Usage) {
    let (prompt, output_bound) = job.expected();
    turn.learn(&Finished {
        prompt,
        output_bound,
        output: usage.output,
        first_token: delivered.first_at.map_or(Duration::ZERO, |at| at - began),
        total: began.elapsed(),
    });
}

async fn settle(
    core: &Core,
    job: &Job,
    reservation: Reservation,
    end: &anvil_wire::msg::RunEnd,
) -> Piece {
    core.metrics.time(FIRST_OUTPUT, job.arrived.elapsed());
    let cost = job.price.of(end.usage);
    let (piece, cost) = match &end.outcome {
        Outcome::Completed(usage) => {
            let finish = end.finish.clone();
            (
                Piece::End {
                    finish,
                    usage: *usage,
                },
                cost,
            )
        }
        Outcome::NotRun(refusal) => (Piece::Refused(refusal.clone()), 0),
        Outcome::Unknown(doubt) => (Piece::Doubt(*doubt), 0),
    };
    if let Err(e) = core.purse.settle(reservation, cost) {
        event!(core.log, events::ROUTER_SETTLEMENT_REFUSED, "error" => e.to_string());
    }
    if job.once {
        claims::settle(core, job, end.outcome.clone()).await;
    }
    piece
}
