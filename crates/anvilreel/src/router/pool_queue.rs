//! Admission and queueing for one pool of endpoints: synchronisation and timing around the pure
//! admission and endpoint choice of [`anvil_policy`].

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use super::job::{AVG_TOKEN_BYTES, Job};
use crate::lifecycle::Lifecycle;

/// Interval between two health evaluations of all endpoints.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Retry-After when no endpoint serves the request at present.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long requests wait in a pool without endpoints. An endpoint that restarts, or whose heartbeats
/// were late, is back sooner.
const EMPTY_POOL_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of waiting in the queue.
type AdmissionResult = Result<(), Refusal>;

struct QueueState {
    gate: AdmissionGate,
    waiters: BTreeMap<WaiterId, oneshot::Sender<AdmissionResult>>,
    /// Since when the pool has had no endpoints.
    empty_since: Option<Now>,
    /// Whether no request may wait here any more, because the queue is no longer ticked.
    closed: bool,
    estimate: Estimate,
    health: Health,
    /// When the endpoints' health was last evaluated.
    health_checked_at: Option<Now>,
    prefixes: PrefixIndex,
    rng: ChaCha8Rng,
}

/// Place of a request that was not refused.
enum Place {
    Admitted,
    Waiting(WaiterId, oneshot::Receiver<AdmissionResult>),
}

impl QueueState {
    fn wait(&mut self, id: WaiterId) -> Place {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(id, tx);
        Place::Waiting(id, rx)
    }

    fn refuse_all(&mut self, refusal: &Refusal) {
        for (id, tx) in std::mem::take(&mut self.waiters) {
            self.gate.cancel(id);
            // Sending fails only if the caller has disconnected.
            let _ = tx.send(Err(refusal.clone()));
        }
    }
}

/// A pool of endpoints with its queue: the endpoints of one model, or of one plain service.
pub struct PoolQueue {
    /// The endpoints known to this router.
    pub pool: ArcSwap<Pool>,
    service: ServiceId,
    chooser: Chooser,
    queue: Mutex<QueueState>,
}

/// A slot at an endpoint. Dropping it frees the slot and admits waiting requests.
pub struct EndpointPermit {
    pool_queue: Arc<PoolQueue>,
    /// The chosen endpoint.
    pub endpoint: Arc<EndpointState>,
    lifecycle: Lifecycle,
}

impl Drop for EndpointPermit {
    fn drop(&mut self) {
        self.endpoint.finish();
        let mut queue = self.pool_queue.queue();
        queue.gate.finished();
        self.pool_queue
            .admit_waiting(&mut queue, self.lifecycle.now());
    }
}

impl EndpointPermit {
    /// Records the measurements of a request that ran to its end.
    pub fn record_finished(&self, finished: &FinishedRequest) {
        let mut queue = self.pool_queue.queue();
        queue.estimate.learn(finished);
        let ended = AttemptResult::Answered(measured_latency(finished, &queue.estimate));
        queue
            .health
            .observe(self.lifecycle.now(), &self.endpoint, &ended);
    }

    /// Records that the endpoint failed or could not be reached.
    pub fn record_failure(&self) {
        let now = self.lifecycle.now();
        let mut queue = self.pool_queue.queue();
        queue
            .health
            .observe(now, &self.endpoint, &AttemptResult::Failed);
    }
}

impl PoolQueue {
    /// A queue without endpoints.
    pub fn new(service: ServiceId, chooser: Chooser, seed: u64) -> Self {
        let queue = QueueState {
            gate: AdmissionGate::new(AdmissionRule::default()),
            waiters: BTreeMap::new(),
            empty_since: None,
            closed: false,
            estimate: Estimate::default(),
            health: Health::new(HealthRule::default()),
            health_checked_at: None,
            prefixes: PrefixIndex::new(PrefixRule::default()),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            pool: ArcSwap::default(),
            service,
            chooser,
            queue: Mutex::new(queue),
        }
    }

    /// Replaces the set of endpoints.
    pub fn set_pool(&self, now: Now, pool: Pool) {
        let is_empty = pool.endpoints().is_empty();
        self.pool.store(Arc::new(pool));
        let mut queue = self.queue();
        queue.health_checked_at = None;
        queue.empty_since = is_empty.then(|| queue.empty_since.unwrap_or(now));
        drop(queue);
        self.tick(now);
    }

    /// Closes the queue if no request waits in it; returns whether it is closed.
    pub fn close_if_idle(&self) -> bool {
        let mut queue = self.queue();
        queue.closed |= queue.waiters.is_empty();
        queue.closed
    }

    /// Admits waiting requests for which there is room, and refuses those whose waiting time is
    /// over, and all of them when the pool stays without endpoints. Must be called regularly.
    pub fn tick(&self, now: Now) {
        let mut queue = self.queue();
        if queue
            .health_checked_at
            .is_none_or(|at| now >= at + HEALTH_CHECK_INTERVAL)
        {
            queue.health_checked_at = Some(now);
            queue.health.tick(now, &self.pool.load());
        }
        self.admit_waiting(&mut queue, now);
        while let Some((waiter, refusal)) = queue.gate.expired(now) {
            if let Some(tx) = queue.waiters.remove(&waiter.id) {
                // Sending fails only if the caller has disconnected.
                let _ = tx.send(Err(refusal));
            }
        }
        let empty_since = queue.empty_since;
        if empty_since.is_some_and(|since| now >= since + EMPTY_POOL_TIMEOUT) {
            queue.refuse_all(&self.no_endpoint());
        }
    }

    /// Applies a load report of an endpoint and admits waiting requests for which there is now
    /// room.
    pub fn report(&self, now: Now, endpoint: &EndpointState, load: &LoadReport) {
        let mut queue = self.queue();
        queue.health.report(now, endpoint, load);
        self.admit_waiting(&mut queue, now);
    }

    /// Sets how many routers share the endpoints.
    pub fn set_routers(&self, routers: u32) {
        self.queue().health.set_routers(routers);
    }

    /// Waits for admission and chooses the endpoint, avoiding those where the request has failed.
    pub async fn acquire(
        self: &Arc<Self>,
        lifecycle: &Lifecycle,
        job: &Job,
        weight: u32,
        avoid: &[InstanceId],
    ) -> Result<EndpointPermit, Refusal> {
        let ticket = self.ticket(lifecycle.now(), job, weight);
        if !self.pool.load().accepts_work() {
            return Err(self.no_endpoint());
        }
        let mut place = self.offer(lifecycle.now(), &ticket)?;
        loop {
            if let Place::Waiting(id, rx) = place {
                self.wait(id, rx).await?;
            }
            let choice = self.choose(lifecycle.now(), job, avoid);
            match choice {
                Choice::Endpoint(endpoint) => {
                    endpoint.start();
                    let (pool_queue, lifecycle) = (self.clone(), lifecycle.clone());
                    return Ok(EndpointPermit {
                        pool_queue,
                        endpoint,
                        lifecycle,
                    });
                }
                Choice::Unserved => {
                    self.queue().gate.finished();
                    return Err(self.no_endpoint());
                }
                Choice::Full => place = self.requeue(lifecycle.now(), &ticket, job)?,
            }
        }
    }

    fn offer(&self, now: Now, ticket: &Ticket) -> Result<Place, Refusal> {
        let mut queue = self.queue();
        if queue.closed {
            return Err(self.no_endpoint());
        }
        match queue.gate.offer(now, ticket.clone()) {
            AdmissionDecision::Run => Ok(Place::Admitted),
            AdmissionDecision::Refuse(refusal) => Err(refusal),
            AdmissionDecision::Wait(id) => Ok(queue.wait(id)),
        }
    }

    fn ticket(&self, now: Now, job: &Job, weight: u32) -> Ticket {
        let (prompt, output) = job.expected();
        Ticket {
            organisation: job.organisation.clone(),
            route: None,
            weight,
            class: job.class,
            prompt,
            service: self.queue().estimate.service_time(prompt, output),
            deadline: now + job.time_left(),
            priority: None,
        }
    }

    fn choose(&self, now: Now, job: &Job, avoid: &[InstanceId]) -> Choice {
        let hashes = job.prefix_hashes(&PrefixRule::default());
        let pool = self.pool.load();
        let mut queue = self.queue();
        let cached = cached_tokens(queue.prefixes.holders(now, &hashes));
        let choice_request = ChoiceRequest {
            prompt: job.expected().0,
            cached: &cached,
            avoid,
        };
        let choice = self.chooser.choose(&pool, &choice_request, &mut queue.rng);
        if let Choice::Endpoint(endpoint) = &choice {
            queue.prefixes.record_sent(now, &endpoint.id, &hashes);
        }
        choice
    }

    fn requeue(&self, now: Now, ticket: &Ticket, job: &Job) -> Result<Place, Refusal> {
        let mut queue = self.queue();
        if queue.closed {
            queue.gate.finished();
            return Err(self.no_endpoint());
        }
        let waiter = Waiter {
            id: 0,
            ticket: ticket.clone(),
            arrived: now,
            start_by: now + job.queue_timeout.min(job.time_left()),
        };
        let id = queue.gate.requeue(now, &waiter);
        Ok(queue.wait(id))
    }

    async fn wait(
        self: &Arc<Self>,
        id: WaiterId,
        rx: oneshot::Receiver<AdmissionResult>,
    ) -> AdmissionResult {
        let mut guard = CancelOnDrop {
            pool_queue: self,
            id,
            resolved: false,
        };
        let admission = rx
            .await
            .unwrap_or_else(|_| Err(Refusal::new(Reason::Cancelled)));
        guard.resolved = true;
        admission
    }

    fn admit_waiting(&self, queue: &mut QueueState, now: Now) {
        let room = self.pool.load().headroom();
        let running = queue.gate.running();
        queue.gate.set_limit(running.saturating_add(room));
        while let Some(waiter) = queue.gate.next(now) {
            let waiter_tx = queue.waiters.remove(&waiter.id);
            if waiter_tx.is_none_or(|tx| tx.send(Ok(())).is_err()) {
                queue.gate.finished();
            }
        }
    }

    fn no_endpoint(&self) -> Refusal {
        let reason = Reason::NoEndpoint(self.service.clone());
        Refusal::new(reason).with_retry_after(NO_ENDPOINT_RETRY_AFTER)
    }

    fn queue(&self) -> MutexGuard<'_, QueueState> {
        // Each update leaves the queue consistent, so a poisoned lock can be used.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a waiting request from the queue when its caller disconnects.
struct CancelOnDrop<'a> {
    pool_queue: &'a PoolQueue,
    id: WaiterId,
    resolved: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut queue = self.pool_queue.queue();
        let waits = queue.waiters.remove(&self.id).is_some();
        if waits {
            queue.gate.cancel(self.id);
        } else {
            // The request was admitted at the same moment: its slot goes to the next one.
            queue.gate.finished();
        }
    }
}

/// Latencies of a finished request. The estimated prefill time is subtracted, so that a long prompt
/// does not count against the endpoint.
fn measured_latency(finished: &FinishedRequest, estimate: &Estimate) -> Latency {
    let prompt = u32::try_from(finished.prompt).unwrap_or(u32::MAX);
    let prefill = f64::from(prompt) * estimate.per_prompt_token;
    let prefill = Duration::try_from_secs_f64(prefill).unwrap_or_default();
    let rest = finished.total.saturating_sub(finished.first_token);
    let gaps = u32::try_from(finished.output.saturating_sub(1)).unwrap_or(u32::MAX);
    Latency {
        first_token: finished.first_token.saturating_sub(prefill),
        token_gap: rest / gaps.max(1),
    }
}

/// Converts the length of cached prefixes from blocks into tokens.
fn cached_tokens(held: Vec<(InstanceId, usize)>) -> Vec<(InstanceId, Tokens)> {
    let block = PrefixRule::default().block_bytes as u64 / AVG_TOKEN_BYTES;
    let tokens = |(id, blocks): (InstanceId, usize)| (id, blocks as u64 * block);
    held.into_iter().map(tokens).collect()
}
