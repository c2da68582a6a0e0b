//! I/O around claims: puts claims at other routers and in the ledger, and answers the requests of
//! other routers. The rules are in [`crate::claims`].

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_wire::msg::{IdempotentClaim, RouterCall, RouterReply, RouterRequest};
use anvil_world::command::{Claim, ClaimRecord, ClaimState, SettleClaim};
use anvil_world::prelude::*;
use futures::future::join_all;
use tokio::time::sleep;

use super::Core;
use crate::claims::placement;
use crate::event;
use crate::events;
use crate::request::{ClaimAnswer, Event, Holder, Target};

/// Timeout for another router's answer. Longer than usual network disturbances, and short enough
/// that the ledger can be asked while the caller still waits.
const ROUTER_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the ledger's answer to a claim.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a router to accept handed-over claims.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts to record a claim's end in the ledger before the claim is left open.
const SETTLE_ATTEMPTS: u32 = 20;
/// Pause between two such attempts.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);

/// Answers a claim request of a router, this one included.
pub fn answer(core: &Core, req: RouterRequest) -> RouterReply {
    let now = core.lifecycle.now();
    let disconnected_for = core.view_state.disconnected_for();
    core.lock_claims().handle(now, req, |key, asked| {
        core.lock_holder_history().may_confirm_claim(
            now,
            disconnected_for,
            &core.instance.id,
            key,
            asked,
        )
    })
}

/// Puts a claim at a router.
pub async fn put_claim(
    core: &Core,
    holder: InstanceId,
    claim: IdempotentClaim,
    id: ClaimId,
) -> Event {
    let answer = request_claim(core, &holder, claim, id).await;
    Event::Claimed {
        holder: Holder::Router(holder),
        answer: answer.unwrap_or(ClaimAnswer::Unavailable),
    }
}

async fn request_claim(
    core: &Core,
    holder: &InstanceId,
    claim: IdempotentClaim,
    id: ClaimId,
) -> Option<ClaimAnswer> {
    let holders = core.lock_holder_history().holders(&claim.key);
    let request = RouterRequest::PutAs { claim, holders };
    let reply = if *holder == core.instance.id {
        answer(core, request)
    } else {
        let addr = core.view_state.view.load().router(holder)?.instance.addr;
        let channel = core.channels.channel(addr);
        let called = channel.call::<RouterCall>(&request, ROUTER_TIMEOUT).await;
        called.ok()?
    };
    let RouterReply::Claim(Some(claim)) = reply else {
        return None;
    };
    Some(ClaimAnswer::Recorded {
        target: Target::new(claim.sidecar, claim.incarnation),
        body: claim.body,
        id,
        fresh: false,
        settled: None,
    })
}

/// Puts a claim into the ledger.
pub async fn put_ledger_claim(core: &Core, claim: Claim) -> Event {
    let answer = core
        .ledger
        .propose(Command::Claim(claim), LEDGER_TIMEOUT)
        .await;
    Event::Claimed {
        holder: Holder::Ledger,
        answer: match answer {
            Ok(Answer::Claimed(record)) => ledger_claim_answer(record),
            Ok(_) | Err(_) => ClaimAnswer::Unavailable,
        },
    }
}

fn ledger_claim_answer(record: ClaimRecord) -> ClaimAnswer {
    ClaimAnswer::Recorded {
        target: Target::new(record.claim.sidecar, record.claim.incarnation),
        body: record.claim.body,
        id: record.claim.id,
        fresh: record.fresh,
        settled: match record.state {
            ClaimState::Open => None,
            ClaimState::Settled(outcome) => Some(outcome),
        },
    }
}

/// Records in the ledger how a claimed request ended. After the last failed attempt the claim stays
/// open, which only means that a retry reads the answer from the sidecar.
pub async fn settle(core: &Core, settle: SettleClaim) {
    for _ in 0..SETTLE_ATTEMPTS {
        let command = Command::SettleClaim(settle.clone());
        if core.ledger.propose(command, LEDGER_TIMEOUT).await.is_ok() {
            return;
        }
        sleep(SETTLE_PAUSE).await;
    }
    let key = settle.key.id.to_string();
    event!(core.log, events::ROUTER_CLAIM_LEFT_OPEN, "key" => key);
}

/// Hands all stored claims over to the routers that hold them from now on.
pub async fn hand_over(core: &Core) {
    let claims = core.lock_claims().drain(core.lifecycle.now());
    let view = core.view_state.view.load_full();
    let others = view.routers.values();
    let others: Vec<_> = others
        .filter(|member| member.instance.id != core.instance.id)
        .collect();
    let mut by_router: BTreeMap<InstanceId, Vec<IdempotentClaim>> = BTreeMap::new();
    for claim in claims {
        for holder in placement(
            &claim.key,
            &core.instance.zone.region,
            others.iter().copied(),
        ) {
            by_router.entry(holder).or_default().push(claim.clone());
        }
    }
    let sending = by_router.into_iter().filter_map(|(router, claims)| {
        let channel = core.channels.channel(view.router(&router)?.instance.addr);
        Some(async move {
            let request = RouterRequest::HandOver(claims);
            // If a router does not accept them, the claims' other holder still has them.
            let _ = channel
                .call::<RouterCall>(&request, HAND_OVER_TIMEOUT)
                .await;
        })
    });
    join_all(sending.collect::<Vec<_>>()).await;
}
