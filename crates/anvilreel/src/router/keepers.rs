//! The shell around claims: asks the routers and the ledger that keep them, and answers peers.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_wire::msg::{PlacedClaim, RouterCall, RouterReply, RouterRequest};
use anvil_world::command::{Claim, ClaimRecord, ClaimState, SettleClaim};
use anvil_world::prelude::*;
use futures::future::join_all;
use tokio::time::sleep;

use super::Core;
use crate::claims::placement;
use crate::event;
use crate::events;
use crate::request::{ClaimAnswer, Event, Holder, Target};

/// Longest wait for another router's answer. Longer than any garbage of a network, and short
/// enough that the ledger is asked while the caller still waits.
const ROUTER_WITHIN: Duration = Duration::from_millis(250);
/// Longest wait for the ledger's word on a claim.
const LEDGER_WITHIN: Duration = Duration::from_secs(3);
/// Longest wait for a router to take claims over.
const HAND_OVER_WITHIN: Duration = Duration::from_secs(1);
/// How often the end of a claim is told to the ledger before it is left open.
const SETTLE_TRIES: u32 = 20;
/// Pause between two such tries.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);

/// Answers a router, this one included.
pub fn answer(core: &Core, req: RouterRequest) -> RouterReply {
    let now = core.life.now();
    let silent = core.following.out_of_touch();
    core.claim_book().handle(now, req, |key, asked| {
        core.tenure()
            .vouches(now, silent, &core.instance.id, key, asked)
    })
}

/// Puts a claim at a router.
pub async fn put_claim(core: &Core, holder: InstanceId, claim: PlacedClaim, id: ClaimId) -> Event {
    let answer = put(core, &holder, claim, id).await;
    Event::Claimed {
        holder: Holder::Router(holder),
        answer: answer.unwrap_or(ClaimAnswer::Lost),
    }
}

async fn put(
    core: &Core,
    holder: &InstanceId,
    claim: PlacedClaim,
    id: ClaimId,
) -> Option<ClaimAnswer> {
    let holders = core.tenure().holders(&claim.key);
    let request = RouterRequest::PutAs { claim, holders };
    let reply = if *holder == core.instance.id {
        answer(core, request)
    } else {
        let addr = core.following.view.load().router(holder)?.instance.addr;
        let channel = core.peers.to(addr);
        let called = channel.call::<RouterCall>(&request, ROUTER_WITHIN).await;
        called.ok()?
    };
    let RouterReply::Claim(Some(claim)) = reply else {
        return None;
    };
    Some(ClaimAnswer::Stands {
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
        .propose(Command::Claim(claim), LEDGER_WITHIN)
        .await;
    Event::Claimed {
        holder: Holder::Ledger,
        answer: match answer {
            Ok(Answer::Claimed(record)) => stands(record),
            Ok(_) | Err(_) => ClaimAnswer::Lost,
        },
    }
}

fn stands(record: ClaimRecord) -> ClaimAnswer {
    ClaimAnswer::Stands {
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

/// Tells the ledger how a claimed request ended. Tried for a while; an untold end leaves the
/// claim open, which only means that a retry reads its sidecar.
pub async fn settle(core: &Core, settle: SettleClaim) {
    for _ in 0..SETTLE_TRIES {
        let command = Command::SettleClaim(settle.clone());
        if core.ledger.propose(command, LEDGER_WITHIN).await.is_ok() {
            return;
        }
        sleep(SETTLE_PAUSE).await;
    }
    let key = settle.key.id.to_string();
    event!(core.log, events::ROUTER_CLAIM_LEFT_OPEN, "key" => key);
}

/// Hands all kept claims to the routers that keep them from now on.
pub async fn hand_over(core: &Core) {
    let claims = core.claim_book().leave(core.life.now());
    let view = core.following.view.load_full();
    let others = view.routers.values();
    let others: Vec<_> = others
        .filter(|member| member.instance.id != core.instance.id)
        .collect();
    let mut by_router: BTreeMap<InstanceId, Vec<PlacedClaim>> = BTreeMap::new();
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
        let channel = core.peers.to(view.router(&router)?.instance.addr);
        Some(async move {
            let request = RouterRequest::HandOver(claims);
            // A router that does not take them over leaves the claims to its peer.
            let _ = channel.call::<RouterCall>(&request, HAND_OVER_WITHIN).await;
        })
    });
    join_all(sending.collect::<Vec<_>>()).await;
}
