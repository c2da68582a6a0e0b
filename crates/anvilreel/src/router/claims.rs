//! Which sidecar runs a request key: kept by two routers, or by the ledger for once-only work.
//!
//! The two keepers are chosen by rendezvous hashing of the key over the routers of the region,
//! from different availability zones, so that every router asks the same two without being told.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use anvil_wire::msg::{PlacedClaim, Query, QueryAnswer, RouterCall, RouterReply, RouterRequest};
use anvil_world::command::{Claim, ClaimRecord, ClaimState, SettleClaim};
use anvil_world::prelude::*;
use futures::future::join_all;
use xxhash_rust::xxh3::xxh3_64;

use super::Core;
use super::job::Job;

/// Longest wait for a keeper's answer.
const KEEPER_WITHIN: Duration = Duration::from_millis(250);
/// Longest wait for the ledger's word on a claim.
const LEDGER_WITHIN: Duration = Duration::from_secs(3);
/// Routers that keep a claim.
const KEEPERS: usize = 2;
/// When to come back while the ledger can't be asked.
const LEDGER_RETRY: Duration = Duration::from_secs(2);

/// Claims that this router keeps for the fleet.
#[derive(Debug, Default)]
pub struct KeptClaims {
    rows: Mutex<BTreeMap<RequestKey, (PlacedClaim, Now)>>,
}

impl KeptClaims {
    /// Keeps a claim, unless the key has one already; returns the one that stands.
    pub fn put(&self, now: Now, claim: PlacedClaim) -> PlacedClaim {
        let until = now + claim.keep;
        let mut rows = self.rows();
        let standing = rows.entry(claim.key.clone()).or_insert((claim, until));
        standing.0.clone()
    }

    /// Replaces the claim on a lost sidecar.
    pub fn replace(&self, now: Now, old: &InstanceId, new: PlacedClaim) -> PlacedClaim {
        let mut rows = self.rows();
        if rows
            .get(&new.key)
            .is_some_and(|(standing, _)| standing.sidecar == *old)
        {
            rows.remove(&new.key);
        }
        drop(rows);
        self.put(now, new)
    }

    /// The claim of a key.
    pub fn get(&self, key: &RequestKey) -> Option<PlacedClaim> {
        self.rows().get(key).map(|(claim, _)| claim.clone())
    }

    /// All claims, to be handed over.
    pub fn all(&self) -> Vec<PlacedClaim> {
        self.rows()
            .values()
            .map(|(claim, _)| claim.clone())
            .collect()
    }

    /// Forgets what is worth keeping no longer.
    pub fn sweep(&self, now: Now) {
        self.rows().retain(|_, (_, until)| now < *until);
    }

    fn rows(&self) -> MutexGuard<'_, BTreeMap<RequestKey, (PlacedClaim, Now)>> {
        // A panic elsewhere leaves the rows as they were between two steps.
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is known of a key before anything is dispatched.
#[derive(Debug)]
pub enum Known {
    /// Nobody claimed it.
    Nothing,
    /// It runs or ran there.
    Placed(PlacedClaim),
    /// It has ended, and this is all that is left of it.
    Settled(Outcome),
    /// It can't be learned now.
    Hidden,
}

/// Who runs the key after a claim was made.
pub enum Made {
    /// The sidecar that was proposed.
    Ours,
    /// Another one, that came first.
    Theirs(PlacedClaim),
}

/// Looks a key up that the caller may have sent before.
pub async fn find(core: &Core, job: &Job) -> Known {
    if job.once {
        return find_in_ledger(core, job).await;
    }
    let answers = ask_keepers(core, &job.key, RouterRequest::Get(job.key.clone())).await;
    let mut known = answers.into_iter().flatten();
    known.next().map_or(Known::Nothing, Known::Placed)
}

/// Claims a key for this sidecar; the first claim wins.
pub async fn make(core: &Core, job: &Job, sidecar: &Instance) -> Result<Made, Refusal> {
    let claim = placed(job, sidecar);
    if job.once {
        return claim_in_ledger(core, job, claim).await;
    }
    let answers = ask_keepers(core, &job.key, RouterRequest::Put(claim.clone())).await;
    Ok(made(&claim, answers))
}

/// Puts another sidecar in the place of one that is lost or refused.
pub async fn replace(core: &Core, job: &Job, old: &InstanceId, sidecar: &Instance) -> Made {
    let new = placed(job, sidecar);
    let request = RouterRequest::Replace {
        old: old.clone(),
        new: new.clone(),
    };
    let answers = ask_keepers(core, &job.key, request).await;
    made(&new, answers)
}

/// Tells the ledger how a once-only request ended. `NotRun` frees the key.
pub async fn settle(core: &Core, job: &Job, outcome: Outcome) -> bool {
    let settle = SettleClaim {
        key: job.key.clone(),
        outcome,
    };
    let answer = core
        .ledger
        .propose(Command::SettleClaim(settle), LEDGER_WITHIN)
        .await;
    answer.is_ok()
}

/// Answers another router.
pub fn answer(core: &Core, req: RouterRequest) -> RouterReply {
    let now = core.life.now();
    let leaving = core.life.is_leaving();
    match req {
        RouterRequest::Put(_) | RouterRequest::HandOver(_) if leaving => RouterReply::Leaving,
        RouterRequest::Put(claim) => RouterReply::Claim(Some(core.kept.put(now, claim))),
        RouterRequest::Replace { old, new } => {
            RouterReply::Claim(Some(core.kept.replace(now, &old, new)))
        }
        RouterRequest::Get(key) => RouterReply::Claim(core.kept.get(&key)),
        RouterRequest::HandOver(claims) => {
            for claim in claims {
                core.kept.put(now, claim);
            }
            RouterReply::Kept
        }
    }
}

/// Hands all kept claims to the routers that keep them once this one is gone.
pub async fn hand_over(core: &Core) {
    let mut by_router: BTreeMap<InstanceId, Vec<PlacedClaim>> = BTreeMap::new();
    for claim in core.kept.all() {
        for keeper in keepers(core, &claim.key) {
            if keeper.id != core.instance.id {
                by_router
                    .entry(keeper.id.clone())
                    .or_default()
                    .push(claim.clone());
            }
        }
    }
    let view = core.following.view.load_full();
    let sending = view.routers.iter().filter_map(|router| {
        let claims = by_router.remove(&router.id)?;
        let channel = core.peers.to(router.addr);
        Some(async move {
            let request = RouterRequest::HandOver(claims);
            channel
                .call::<RouterCall>(&request, KEEPER_WITHIN * 4)
                .await
        })
    });
    join_all(sending.collect::<Vec<_>>()).await;
}

fn placed(job: &Job, sidecar: &Instance) -> PlacedClaim {
    PlacedClaim {
        key: job.key.clone(),
        body: job.body,
        sidecar: sidecar.id.clone(),
        incarnation: sidecar.incarnation,
        keep: job.keep + job.time_left(),
    }
}

/// The first keeper's word counts where two differ: all routers ask them in the same order.
fn made(ours: &PlacedClaim, answers: Vec<Option<PlacedClaim>>) -> Made {
    match answers.into_iter().flatten().next() {
        Some(standing) if standing.sidecar != ours.sidecar || standing.body != ours.body => {
            Made::Theirs(standing)
        }
        _ => Made::Ours,
    }
}

async fn ask_keepers(
    core: &Core,
    key: &RequestKey,
    request: RouterRequest,
) -> Vec<Option<PlacedClaim>> {
    let asking = keepers(core, key).into_iter().map(|keeper| {
        let request = request.clone();
        async move {
            let reply = if keeper.id == core.instance.id {
                answer(core, request)
            } else {
                let channel = core.peers.to(keeper.addr);
                channel
                    .call::<RouterCall>(&request, KEEPER_WITHIN)
                    .await
                    .ok()?
            };
            match reply {
                RouterReply::Claim(claim) => claim,
                RouterReply::Kept | RouterReply::Leaving => None,
            }
        }
    });
    join_all(asking).await
}

/// The keepers of a key, first one first; of different availability zones where there are such.
fn keepers(core: &Core, key: &RequestKey) -> Vec<Arc<Instance>> {
    let view = core.following.view.load();
    let region = &core.instance.zone.region;
    let same_region = view
        .routers
        .iter()
        .filter(|router| router.zone.region == *region);
    let mut ranked: Vec<_> = same_region.collect();
    ranked.sort_by_cached_key(|router| rank(router, key));
    let mut chosen: Vec<Arc<Instance>> = Vec::with_capacity(KEEPERS);
    let apart = ranked
        .iter()
        .find(|r| ranked.first().is_some_and(|first| first.zone != r.zone));
    chosen.extend(ranked.first().map(|router| (*router).clone()));
    let second = apart.or(ranked.get(1)).map(|router| (*router).clone());
    chosen.extend(second);
    if chosen.is_empty() {
        chosen.push(Arc::new(core.instance.clone()));
    }
    chosen
}

fn rank(router: &Instance, key: &RequestKey) -> u64 {
    xxh3_64(format!("{}/{}/{}", router.id, key.team, key.id).as_bytes())
}

async fn find_in_ledger(core: &Core, job: &Job) -> Known {
    let query = Query::Claim(job.key.clone());
    match core.ledger.query(query, LEDGER_WITHIN).await {
        Ok(QueryAnswer::Claim(None)) => Known::Nothing,
        Ok(QueryAnswer::Claim(Some(record))) => known_of(record, job.keep),
        _ => Known::Hidden,
    }
}

fn known_of(record: ClaimRecord, keep: Duration) -> Known {
    match record.state {
        ClaimState::Settled(outcome @ Outcome::NotRun(_)) => {
            drop(outcome);
            Known::Nothing
        }
        ClaimState::Settled(Outcome::Unknown(doubt)) => Known::Settled(Outcome::Unknown(doubt)),
        ClaimState::Open | ClaimState::Settled(Outcome::Completed(_)) => {
            Known::Placed(placed_of(record.claim, keep))
        }
    }
}

fn placed_of(claim: Claim, keep: Duration) -> PlacedClaim {
    PlacedClaim {
        key: claim.key,
        body: claim.body,
        sidecar: claim.sidecar,
        incarnation: claim.incarnation,
        keep,
    }
}

async fn claim_in_ledger(core: &Core, job: &Job, claim: PlacedClaim) -> Result<Made, Refusal> {
    let command = Command::Claim(Claim {
        key: claim.key.clone(),
        body: claim.body,
        sidecar: claim.sidecar.clone(),
        incarnation: claim.incarnation,
        at: SystemTime::now(),
    });
    let unreachable = || Refusal::new(Reason::LedgerUnreachable).with_retry_after(LEDGER_RETRY);
    let within = LEDGER_WITHIN.min(job.time_left());
    let answer = core.ledger.propose(command, within).await;
    match answer {
        Ok(Answer::Claimed(record)) => {
            let standing = placed_of(record.claim, job.keep);
            let ours = standing.sidecar == claim.sidecar && standing.body == claim.body;
            Ok(if ours {
                Made::Ours
            } else {
                Made::Theirs(standing)
            })
        }
        _ => Err(unreachable()),
    }
}
