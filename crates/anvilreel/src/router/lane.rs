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

use super::job::Job;
use crate::life::Life;

/// What a waiting request is told.
type Told = Result<(), Refusal>;

struct Door {
    gate: Gate,
    waiters: BTreeMap<WaiterId, oneshot::Sender<Told>>,
    estimate: Estimate,
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
        self.lane.door().estimate.learn(finished);
    }
}

impl Lane {
    /// A lane with no endpoint yet.
    pub fn new(chooser: Chooser, seed: u64) -> Self {
        let door = Door {
            gate: Gate::new(AdmissionRule::default()),
            waiters: BTreeMap::new(),
            estimate: Estimate::default(),
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
        self.tick(now);
    }

    /// Lets in who has room now and answers who is given up on. To be called now and then.
    pub fn tick(&self, now: Now) {
        let mut door = self.door();
        self.let_in(&mut door, now);
        while let Some((waiter, refusal)) = door.gate.expired(now) {
            if let Some(tx) = door.waiters.remove(&waiter.id) {
                // Fails only where the caller has left.
                let _ = tx.send(Err(refusal));
            }
        }
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
            let choice = self.choose(job, avoid);
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

    fn choose(&self, job: &Job, avoid: &[InstanceId]) -> Choice {
        let ask = Ask {
            prompt: job.expected().0,
            cached: &[],
            avoid,
        };
        let pool = self.pool.load();
        let mut door = self.door();
        self.chooser.choose(&pool, &ask, &mut door.rng)
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
