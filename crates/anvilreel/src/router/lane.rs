//! The door and the queue of one pool: the shell around [`anvil_policy`]'s gate and choice.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use super::job::{Job, USUAL_TOKEN_BYTES};
use crate::life::Life;

/// Time between two judgements of all endpoints.
const JUDGE_EVERY: Duration = Duration::from_secs(1);

/// What a waiting request is told.
type Told = Result<(), Refusal>;

struct Door {
    gate: Gate,
    waiters: BTreeMap<WaiterId, oneshot::Sender<Told>>,
    estimate: Estimate,
    health: Health,
    /// When shares were last judged.
    judged: Option<Now>,
    prefixes: PrefixIndex,
    rng: ChaCha8Rng,
}

/// One pool of endpoints with its queue: the endpoints of one model, or of one plain service.
pub struct Lane {
    /// The endpoints that this router knows of.
    pub pool: ArcSwap<Pool>,
    chooser: Chooser,
    door: Mutex<Door>,
}

/// A place at an endpoint. Dropping it frees the place and wakes who waits.
pub struct Turn {
    lane: Arc<Lane>,
    /// The endpoint that was chosen.
    pub endpoint: Arc<EndpointState>,
    life: Life,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.endpoint.finish();
        let mut door = self.lane.door();
        door.gate.finished();
        self.lane.let_in(&mut door, self.life.now());
    }
}

impl Turn {
    /// Learns from a request that ran to its end.
    pub fn learn(&self, finished: &Finished) {
        let mut door = self.lane.door();
        door.estimate.learn(finished);
        let ended = Ended::Answered(latency_of(finished, &door.estimate));
        door.health.observe(self.life.now(), &self.endpoint, &ended);
    }

    /// Learns that the endpoint failed or could not be reached.
    pub fn failed(&self) {
        let now = self.life.now();
        let mut door = self.lane.door();
        door.health.observe(now, &self.endpoint, &Ended::Failed);
    }
}

impl Lane {
    /// A lane with no endpoint yet.
    pub fn new(chooser: Chooser, seed: u64) -> Self {
        let door = Door {
            gate: Gate::new(AdmissionRule::default()),
            waiters: BTreeMap::new(),
            estimate: Estimate::default(),
            health: Health::new(HealthRule::default()),
            judged: None,
            prefixes: PrefixIndex::new(PrefixRule::default()),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            pool: ArcSwap::default(),
            chooser,
            door: Mutex::new(door),
        }
    }

    /// Takes in a new set of endpoints.
    pub fn set_pool(&self, now: Now, pool: Pool) {
        self.pool.store(Arc::new(pool));
        self.door().judged = None;
        self.tick(now);
    }

    /// Lets in who has room now and answers who is given up on. To be called now and then.
    pub fn tick(&self, now: Now) {
        let mut door = self.door();
        if door.judged.is_none_or(|at| now >= at + JUDGE_EVERY) {
            door.judged = Some(now);
            door.health.tick(now, &self.pool.load());
        }
        self.let_in(&mut door, now);
        while let Some((waiter, refusal)) = door.gate.expired(now) {
            if let Some(tx) = door.waiters.remove(&waiter.id) {
                // Fails only where the caller has left.
                let _ = tx.send(Err(refusal));
            }
        }
    }

    /// Takes in a report of an endpoint's load, and lets in who has room by it.
    pub fn report(&self, now: Now, endpoint: &EndpointState, load: &LoadReport) {
        let mut door = self.door();
        door.health.report(now, endpoint, load);
        self.let_in(&mut door, now);
    }

    /// How many routers share the endpoints.
    pub fn set_routers(&self, routers: u32) {
        self.door().health.set_routers(routers);
    }

    /// Waits for a turn and chooses the endpoint, avoiding those where the request has failed.
    pub async fn turn(
        self: &Arc<Self>,
        life: &Life,
        job: &Job,
        weight: u32,
        avoid: &[InstanceId],
    ) -> Result<Turn, Refusal> {
        let ticket = self.ticket(life.now(), job, weight);
        if !self.pool.load().serves() {
            return Err(nowhere(job));
        }
        let mut verdict = self.door().gate.offer(life.now(), ticket.clone());
        loop {
            match verdict {
                Verdict::Go => {}
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Wait(id) => self.wait(id).await?,
            }
            let choice = self.choose(life.now(), job, avoid);
            match choice {
                Choice::Endpoint(endpoint) => {
                    endpoint.start();
                    let (lane, life) = (self.clone(), life.clone());
                    return Ok(Turn {
                        lane,
                        endpoint,
                        life,
                    });
                }
                Choice::Nowhere => {
                    self.door().gate.finished();
                    return Err(nowhere(job));
                }
                Choice::Full => verdict = self.wait_again(life.now(), &ticket, job),
            }
        }
    }

    fn ticket(&self, now: Now, job: &Job, weight: u32) -> Ticket {
        let (prompt, output) = job.expected();
        Ticket {
            organisation: job.organisation.clone(),
            weight,
            class: job.class,
            prompt,
            service: self.door().estimate.service(prompt, output),
            deadline: now + job.time_left(),
        }
    }

    fn choose(&self, now: Now, job: &Job, avoid: &[InstanceId]) -> Choice {
        let hashes = job.prefix_hashes(&PrefixRule::default());
        let pool = self.pool.load();
        let mut door = self.door();
        let cached = tokens_of(door.prefixes.holders(now, &hashes));
        let ask = Ask {
            prompt: job.expected().0,
            cached: &cached,
            avoid,
        };
        let choice = self.chooser.choose(&pool, &ask, &mut door.rng);
        if let Choice::Endpoint(endpoint) = &choice {
            door.prefixes.sent(now, &endpoint.id, &hashes);
        }
        choice
    }

    fn wait_again(&self, now: Now, ticket: &Ticket, job: &Job) -> Verdict {
        let waiter = Waiter {
            id: 0,
            ticket: ticket.clone(),
            arrived: now,
            start_by: now + job.patience.min(job.time_left()),
        };
        Verdict::Wait(self.door().gate.put_back(now, &waiter))
    }

    async fn wait(self: &Arc<Self>, id: WaiterId) -> Told {
        let (tx, rx) = oneshot::channel();
        self.door().waiters.insert(id, tx);
        let mut leave = LeaveQueue {
            lane: self,
            id,
            told: false,
        };
        let told = rx
            .await
            .unwrap_or_else(|_| Err(Refusal::new(Reason::Cancelled)));
        leave.told = true;
        told
    }

    fn let_in(&self, door: &mut Door, now: Now) {
        let room = self.pool.load().room();
        let running = door.gate.running();
        door.gate.set_limit(running.saturating_add(room));
        while let Some(waiter) = door.gate.next(now) {
            let told = door.waiters.remove(&waiter.id);
            if told.is_none_or(|tx| tx.send(Ok(())).is_err()) {
                door.gate.finished();
            }
        }
    }

    fn door(&self) -> MutexGuard<'_, Door> {
        // A panic elsewhere leaves the door as it was between two steps.
        self.door.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a waiting request out of the queue when its caller leaves.
struct LeaveQueue<'a> {
    lane: &'a Lane,
    id: WaiterId,
    told: bool,
}

impl Drop for LeaveQueue<'_> {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let mut door = self.lane.door();
        let waits = door.waiters.remove(&self.id).is_some();
        if waits {
            door.gate.cancel(self.id);
        } else {
            // It was let in at the same moment: its place goes to the next one.
            door.gate.finished();
        }
    }
}

/// When to come back where no endpoint serves it now.
const NOWHERE_RETRY: Duration = Duration::from_secs(1);

fn nowhere(job: &Job) -> Refusal {
    let reason = Reason::NoEndpoint(job.service.clone());
    Refusal::new(reason).with_retry_after(NOWHERE_RETRY)
}

/// A long prompt's own prefill is no fault of the endpoint, so it is taken off.
fn latency_of(finished: &Finished, estimate: &Estimate) -> Latency {
    let prompt = u32::try_from(finished.prompt).unwrap_or(u32::MAX);
    let prefill = f64::from(prompt) * estimate.per_prompt_token;
    let prefill = Duration::try_from_secs_f64(prefill).unwrap_or_default();
    let rest = finished.total.saturating_sub(finished.first_token);
    let gaps = u32::try_from(finished.output.saturating_sub(1)).unwrap_or(u32::MAX);
    Latency {
        first: finished.first_token.saturating_sub(prefill),
        between: rest / gaps.max(1),
    }
}

/// Prefixes held, in tokens in place of blocks.
fn tokens_of(held: Vec<(InstanceId, usize)>) -> Vec<(InstanceId, Tokens)> {
    let block = PrefixRule::default().block as u64 / USUAL_TOKEN_BYTES;
    let tokens = |(id, blocks): (InstanceId, usize)| (id, blocks as u64 * block);
    held.into_iter().map(tokens).collect()
}
