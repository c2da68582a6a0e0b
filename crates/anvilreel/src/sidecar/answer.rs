//! Answers what routers ask.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Frame, OrderResult, ProbeAnswer, SidecarReply, SidecarRequest, Start};
use anvil_wire::{Replier, WireError};
use anvil_world::prelude::*;

use tokio::time::sleep;

use super::run::Run;
use super::table::Admitted;
use super::{Core, drive, orders};
use crate::metrics::RUNS_REFUSED;

/// Least time between two load reports to one router.
const WATCH_EVERY: Duration = Duration::from_millis(100);

/// Answers one request; a lost connection ends the answer and never the run.
pub async fn answer(core: Arc<Core>, req: SidecarRequest, mut tx: Replier<SidecarReply>) {
    // Whoever asked is gone; the run goes on and its end is kept.
    let _ = match req {
        SidecarRequest::Start(start) => begin(&core, *start, &mut tx).await,
        SidecarRequest::Attach { key, offset } => attach(&core, &key, offset, &mut tx).await,
        SidecarRequest::Cancel { key } => cancel(&core, &key, &mut tx).await,
        SidecarRequest::Probe { key } => probed(core.table.probe(&key), &mut tx).await,
        SidecarRequest::Forbid { key, life } => forbid(&core, &key, life, &mut tx).await,
        SidecarRequest::Order { fence, kind } => {
            let result: OrderResult = orders::carry_out(&core, fence, kind).await;
            tx.send(&SidecarReply::Ordered(result)).await
        }
        SidecarRequest::Watch => watch(&core, &mut tx).await,
    };
}

async fn begin(
    core: &Arc<Core>,
    start: Start,
    tx: &mut Replier<SidecarReply>,
) -> Result<(), WireError> {
    let offset = start.offset;
    let known = core.table.get(&start.key).is_some();
    // A key that runs here already is read on, also while the endpoint leaves.
    let passed = if known {
        Ok(())
    } else {
        core.gate.check(&start)
    };
    let admitted = passed.and_then(|()| core.table.admit(core.life.now(), start));
    match admitted {
        Ok(Admitted::Fresh(run)) => {
            core.count_runs();
            let (driver, driven) = (core.clone(), run.clone());
            tokio::spawn(async move {
                drive::drive(driver.clone(), driven).await;
                driver.count_runs();
            });
            relay(core, &run, offset, false, tx).await
        }
        Ok(Admitted::Attached(run)) => relay(core, &run, offset, true, tx).await,
        Err(refusal) => {
            core.metrics.count(RUNS_REFUSED);
            tx.send(&SidecarReply::Refused(refusal)).await
        }
    }
}

async fn attach(
    core: &Core,
    key: &RequestKey,
    offset: Offset,
    tx: &mut Replier<SidecarReply>,
) -> Result<(), WireError> {
    match core.table.get(key) {
        Some(run) => relay(core, &run, offset, true, tx).await,
        None => probed(core.table.probe(key), tx).await,
    }
}

async fn relay(
    core: &Core,
    run: &Run,
    mut offset: Offset,
    attached: bool,
    tx: &mut Replier<SidecarReply>,
) -> Result<(), WireError> {
    let incarnation = core.life.incarnation;
    tx.send(&SidecarReply::Accepted {
        incarnation,
        attached,
    })
    .await?;
    let mut wants_head = true;
    loop {
        let piece = tokio::select! {
            piece = run.read(offset, wants_head) => piece,
            () = tx.abandoned() => return Ok(()),
        };
        if let Some(head) = piece.head {
            wants_head = false;
            tx.send(&SidecarReply::Head(head)).await?;
        }
        if !piece.bytes.is_empty() {
            let length = piece.bytes.len() as Offset;
            let frame = Frame {
                key: run.start.key.clone(),
                offset,
                bytes: piece.bytes,
            };
            tx.send(&SidecarReply::Frame(frame)).await?;
            offset += length;
        }
        if let Some(end) = piece.end {
            return tx.send(&SidecarReply::End(end)).await;
        }
    }
}

async fn cancel(
    core: &Core,
    key: &RequestKey,
    tx: &mut Replier<SidecarReply>,
) -> Result<(), WireError> {
    let Some(run) = core.table.get(key) else {
        return probed(core.table.probe(key), tx).await;
    };
    // What may run only once is never stopped half-way.
    if !run.start.once {
        run.cancel();
    }
    probed(ProbeAnswer::Ended(run.ended().await), tx).await
}

async fn forbid(
    core: &Core,
    key: &RequestKey,
    life: Incarnation,
    tx: &mut Replier<SidecarReply>,
) -> Result<(), WireError> {
    if life != core.life.incarnation {
        return probed(ProbeAnswer::OtherLife, tx).await;
    }
    probed(core.table.forbid(core.life.now(), key), tx).await
}

async fn probed(answer: ProbeAnswer, tx: &mut Replier<SidecarReply>) -> Result<(), WireError> {
    tx.send(&SidecarReply::Probed(answer)).await
}

async fn watch(core: &Core, tx: &mut Replier<SidecarReply>) -> Result<(), WireError> {
    let mut loads = core.loads.subscribe();
    loop {
        let load = loads.borrow_and_update().clone();
        tx.send(&SidecarReply::Load(load)).await?;
        sleep(WATCH_EVERY).await;
        tokio::select! {
            changed = loads.changed() => if changed.is_err() { return Ok(()) },
            () = tx.abandoned() => return Ok(()),
        }
    }
}
