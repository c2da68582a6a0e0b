//! Runs one request: feeds its [`Exchange`] with events from sockets and timers, and performs the
//! actions it returns.

use std::collections::{BTreeSet, VecDeque};
use std::pin::Pin;
use std::sync::Arc;

use anvil_policy::estimate::FinishedRequest;
use anvil_wire::msg::{RunEnd, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::futures::Notified;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::call::{Call, next_event};
use super::job::{AnswerPart, Job};
use super::pool_queue::EndpointPermit;
use super::{Core, claim_holders};
use crate::event;
use crate::events;
use crate::metrics;
use crate::request::{Action, Event, Exchange, Target};

/// Answer parts buffered for a caller that reads slowly; further ones wait at the sidecar.
const MAX_BUFFERED_PARTS: usize = 4;

/// Starts a request; its answer arrives in parts. Dropping the receiver means that the caller has
/// disconnected.
pub fn start(core: Arc<Core>, job: Job) -> Receiver<AnswerPart> {
    let (tx, rx) = channel(MAX_BUFFERED_PARTS);
    tokio::spawn(async move {
        let open = core.track_request();
        RequestTask::new(&core, job, tx).run().await;
        drop(open);
    });
    rx
}

/// Result of a future in `pending_results`.
enum TaskResult {
    Event(Event),
    Acquired(Result<(EndpointPermit, Target), Refusal>),
}

/// State of a request while it runs.
struct RequestTask<'a> {
    core: &'a Arc<Core>,
    job: Job,
    tx: Sender<AnswerPart>,
    /// Whether the exchange has been notified that the caller disconnected.
    caller_left: bool,
    pending_results: FuturesUnordered<BoxFuture<'a, TaskResult>>,
    /// Open calls to sidecars: one, except while several sidecars are probed for a key.
    calls: Vec<Call>,
    /// All targets called so far.
    called_targets: BTreeSet<Target>,
    /// The target called last, probes excluded.
    target: Option<Target>,
    permit: Option<EndpointPermit>,
    timers: BTreeSet<Now>,
    grants_changed: Option<Pin<Box<Notified<'a>>>>,
    choice_started: Instant,
    first_output: Option<Instant>,
}

impl<'a> RequestTask<'a> {
    fn new(core: &'a Arc<Core>, job: Job, tx: Sender<AnswerPart>) -> Self {
        Self {
            core,
            job,
            tx,
            caller_left: false,
            pending_results: FuturesUnordered::new(),
            calls: Vec::new(),
            called_targets: BTreeSet::new(),
            target: None,
            permit: None,
            timers: BTreeSet::new(),
            grants_changed: None,
            choice_started: Instant::now(),
            first_output: None,
        }
    }

    async fn run(mut self) {
        let mut exchange = Exchange::new(self.job.spec(self.core));
        let mut events = VecDeque::from([Event::Begin]);
        let mut changes = self.core.view_state.changes.subscribe();
        loop {
            while let Some(event) = events.pop_front() {
                self.record_endpoint_failure(&event);
                let now = self.core.lifecycle.now();
                for action in exchange.handle(now, &self.core.grant_account, event) {
                    self.perform(action, &mut events).await;
                }
            }
            if exchange.is_finished() {
                return;
            }
            let event = tokio::select! {
                biased;
                event = next_event(&mut self.calls) => {
                    self.calls.retain(|call| !call.is_complete());
                    Some(event)
                }
                Some(task_result) = self.pending_results.next() => Some(self.handle_result(task_result)),
                () = self.tx.closed(), if !self.caller_left => {
                    self.caller_left = true;
                    self.core.metrics.count(metrics::CALLERS_LEFT);
                    Some(Event::CallerGone)
                }
                () = next_grant_change(&mut self.grants_changed) => {
                    self.grants_changed = None;
                    Some(Event::GrantsChanged)
                }
                () = next_timer(self.core, &self.timers) => {
                    self.timers.pop_first();
                    Some(Event::TimerFired)
                }
                // The sender lives as long as the router.
                _ = changes.changed() => self.target_gone(&exchange),
            };
            events.extend(event.map(|event| self.reclassify_unresponsive(event)));
        }
    }

    /// Reports the target of a broken call as unresponsive if the ledger, too, receives no heartbeats
    /// from that sidecar, long before its incarnation is declared over. Neither sign alone is
    /// enough: a run whose sidecar is only cut off from the ledger is still read.
    fn reclassify_unresponsive(&self, event: Event) -> Event {
        let Some(target) = self
            .target
            .as_ref()
            .filter(|_| matches!(event, Event::CallBroken { .. }))
        else {
            return event;
        };
        let view = self.core.view_state.view.load();
        if view.unresponsive.contains(&target.sidecar) {
            return Event::TargetUnresponsive(target.clone());
        }
        event
    }

    fn handle_result(&mut self, task_result: TaskResult) -> Event {
        match task_result {
            TaskResult::Event(event) => event,
            TaskResult::Acquired(Ok((permit, target))) => {
                self.permit = Some(permit);
                Event::Chosen(target)
            }
            TaskResult::Acquired(Err(refusal)) => Event::NotChosen(refusal),
        }
    }

    /// Reports an endpoint that failed this request to the health tracking, and logs it.
    fn record_endpoint_failure(&self, event: &Event) {
        let failed = match event {
            Event::CallBroken { .. } | Event::TargetGone(_) | Event::TargetUnresponsive(_) => true,
            Event::Reply { reply, .. } => match reply {
                SidecarReply::Refused(refusal) => refusal.reason == Reason::EndpointRefused,
                SidecarReply::End(end) => {
                    end.outcome == Outcome::Unknown(UnknownCause::EndpointLost)
                }
                _ => false,
            },
            _ => false,
        };
        let Some(permit) = self.permit.as_ref().filter(|_| failed) else {
            return;
        };
        permit.record_failure();
        let (key, sidecar) = (self.job.key.id.to_string(), permit.endpoint.id.to_string());
        let log = &self.core.log;
        event!(log, events::ROUTER_ENDPOINT_LOST, "key" => key, "sidecar" => sidecar);
    }

    /// Whether the target's incarnation is over according to the members' list.
    ///
    /// A sidecar that the ledger has declared gone may go on: only its heartbeats were lost. While
    /// its output is read, the open call shows that it runs; the call breaks if it does not.
    fn target_gone(&self, exchange: &Exchange) -> Option<Event> {
        let target = self.target.as_ref()?;
        let view = self.core.view_state.view.load();
        let over = match view.sidecars.get(&target.sidecar) {
            Some(now) => now.incarnation != target.incarnation,
            None => !exchange.is_reading() || self.calls.is_empty(),
        };
        over.then(|| Event::TargetGone(target.clone()))
    }

    async fn perform(&mut self, action: Action, events: &mut VecDeque<Event>) {
        let core = self.core;
        match action {
            Action::Choose { exclude } => self.choose(exclude),
            Action::PutClaim { holder, claim } => {
                let id = self.job.claim_id.clone();
                let put = claim_holders::put_claim(core, holder, claim, id);
                self.push_pending(async move { TaskResult::Event(put.await) });
            }
            Action::PutLedgerClaim(claim) => {
                let put = claim_holders::put_ledger_claim(core, claim);
                self.push_pending(async move { TaskResult::Event(put.await) });
            }
            Action::SettleClaim(settle) => {
                let core = core.clone();
                tokio::spawn(async move { claim_holders::settle(&core, settle).await });
            }
            Action::Reserve => events.push_back(self.reserve()),
            Action::Release(reservation) => core.grant_account.release(reservation),
            Action::Settle { reservation, cost } => {
                if let Err(e) = core.grant_account.settle(reservation, cost) {
                    let error = e.to_string();
                    event!(core.log, events::ROUTER_SETTLEMENT_REFUSED, "error" => error);
                }
            }
            Action::Call {
                dispatch,
                target,
                req,
            } => events.extend(self.call(dispatch, target, req)),
            Action::DropCall { dispatch } => {
                self.calls.retain(|call| call.dispatch != dispatch);
            }
            Action::DeliverHead(head) => self.deliver(AnswerPart::Head(head)).await,
            Action::Deliver(bytes) => {
                self.first_output.get_or_insert_with(Instant::now);
                self.deliver(AnswerPart::Bytes(bytes)).await;
            }
            Action::SetTimer(at) => drop(self.timers.insert(at)),
            Action::Finish { outcome, end } => self.finish(outcome, end).await,
            Action::Violation(e) => {
                let error = e.to_string();
                event!(core.log, events::ROUTER_FRAME_MISFIT, "error" => error);
            }
        }
    }

    fn push_pending(&mut self, f: impl Future<Output = TaskResult> + Send + 'a) {
        self.pending_results.push(Box::pin(f));
    }

    fn choose(&mut self, exclude: BTreeSet<InstanceId>) {
        // Frees the slot at the previous endpoint.
        self.permit = None;
        self.choice_started = Instant::now();
        let (core, job) = (self.core, self.job.clone());
        let avoid: Vec<_> = exclude
            .into_iter()
            .filter(|id| self.is_still_excluded(id))
            .collect();
        self.push_pending(async move {
            TaskResult::Acquired(acquire_endpoint(core, &job, &avoid).await)
        });
    }

    /// Whether an excluded sidecar must still be avoided: only incarnations that were called are.
    ///
    /// Otherwise, after a sidecar restarts, requests that its previous incarnation lost would avoid
    /// the new one and be refused with `no_endpoint` although an endpoint has capacity.
    fn is_still_excluded(&self, id: &InstanceId) -> bool {
        let view = self.core.view_state.view.load();
        let Some(now) = view.sidecars.get(id) else {
            return true;
        };
        let target = Target::new(id.clone(), now.incarnation);
        self.called_targets.contains(&target)
    }

    fn reserve(&mut self) -> Event {
        let core: &'a Core = self.core;
        // Registered before reserving, so that no change between the two is missed.
        let mut changed = Box::pin(core.grant_account.changed());
        changed.as_mut().enable();
        match core
            .grant_account
            .reserve(core.lifecycle.now(), &self.job.split, self.job.bound)
        {
            Ok(reservation) => {
                self.grants_changed = None;
                Event::Reserved(reservation)
            }
            Err(shortage) => {
                self.grants_changed = Some(changed);
                core.batch_wanted.notify_one();
                Event::ReservationFailed(shortage)
            }
        }
    }

    fn call(&mut self, dispatch: u32, target: Target, req: Box<SidecarRequest>) -> Option<Event> {
        self.called_targets.insert(target.clone());
        let view = self.core.view_state.view.load();
        let known = view.sidecars.get(&target.sidecar);
        let Some(known) = known.filter(|known| known.incarnation == target.incarnation) else {
            // Nothing is sent: the target's incarnation is over, or its address is unknown.
            return Some(match *req {
                SidecarRequest::Probe { .. } => Event::CallBroken {
                    dispatch,
                    never_sent: true,
                },
                _ => Event::TargetGone(target),
            });
        };
        let channel = self.core.channels.channel(known.addr);
        if !matches!(*req, SidecarRequest::Probe { .. }) {
            self.target = Some(target);
        }
        self.calls.push(Call::open(dispatch, channel, req));
        None
    }

    /// Passes a part of the answer on to the caller, no later than the deadline.
    ///
    /// A caller that stops reading without disconnecting must not make answers pile up in the
    /// router: only a few parts are buffered, the sidecar's stream is not read meanwhile, and at
    /// the deadline the caller counts as disconnected.
    async fn deliver(&mut self, answer_part: AnswerPart) {
        if self.caller_left {
            return;
        }
        let sent = timeout_at(self.job.deadline, self.tx.send(answer_part)).await;
        if sent.is_err() {
            let (cut, _) = channel(1);
            self.tx = cut;
        }
    }

    async fn finish(&mut self, outcome: Outcome, end: Option<Box<RunEnd>>) {
        let (answer_part, count) = match outcome {
            Outcome::Completed(usage) => {
                self.record_usage(usage);
                let finish = end.map_or_else(|| "stop".into(), |end| end.finish);
                (
                    AnswerPart::End { finish, usage },
                    metrics::REQUESTS_COMPLETED,
                )
            }
            Outcome::NotRun(refusal) => (AnswerPart::Refused(refusal), metrics::REQUESTS_REFUSED),
            Outcome::Unknown(doubt) => {
                self.log_unknown_outcome(doubt);
                (AnswerPart::Doubt(doubt), metrics::REQUESTS_UNKNOWN)
            }
        };
        self.core.metrics.count(count);
        if let Some(first) = self.first_output {
            let took = first - self.job.arrived;
            self.core.metrics.time(metrics::FIRST_OUTPUT, took);
        }
        self.permit = None;
        self.deliver(answer_part).await;
    }

    /// Logs an unknown outcome, so that an operator can ask the service what became of the request.
    /// A stopped run needs no log line: what it produced is known.
    fn log_unknown_outcome(&self, doubt: UnknownCause) {
        if doubt == UnknownCause::Stopped {
            return;
        }
        let (key, why) = (self.job.key.id.to_string(), format!("{doubt:?}"));
        let log = &self.core.log;
        event!(log, events::ROUTER_OUTCOME_UNKNOWN, "key" => key, "doubt" => why);
    }

    fn record_usage(&self, usage: Usage) {
        let Some(permit) = &self.permit else {
            return;
        };
        let (prompt, output_bound) = self.job.expected();
        let first = self.first_output.unwrap_or_else(Instant::now);
        permit.record_finished(&FinishedRequest {
            prompt,
            output_bound,
            output: usage.output,
            first_token: first - self.choice_started,
            total: self.choice_started.elapsed(),
        });
    }
}

async fn acquire_endpoint(
    core: &Core,
    job: &Job,
    avoid: &[InstanceId],
) -> Result<(EndpointPermit, Target), Refusal> {
    let no_endpoint = || {
        let reason = Reason::NoEndpoint(job.service.clone());
        Refusal::new(reason).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
    };
    let key = (job.service.clone(), job.model().cloned());
    let pool_queue = core.pools.queue(&key).ok_or_else(no_endpoint)?;
    let view = core.view_state.view.load();
    let weight = view.organisations.get(&job.organisation);
    let weight = weight.map_or(1, |organisation| organisation.weight);
    drop(view);
    let mut avoid = avoid.to_vec();
    loop {
        let permit = pool_queue
            .acquire(&core.lifecycle, job, weight, &avoid)
            .await?;
        let view = core.view_state.view.load();
        if let Some(sidecar) = view.sidecars.get(&permit.endpoint.id) {
            let target = Target::new(sidecar.id.clone(), sidecar.incarnation);
            return Ok((permit, target));
        }
        // It is gone since it was chosen.
        avoid.push(permit.endpoint.id.clone());
    }
}

async fn next_grant_change(grants_changed: &mut Option<Pin<Box<Notified<'_>>>>) {
    match grants_changed {
        Some(changed) => changed.as_mut().await,
        None => std::future::pending().await,
    }
}

async fn next_timer(core: &Core, timers: &BTreeSet<Now>) {
    match timers.first() {
        Some(at) => {
            let time_left = at.saturating_sub(core.lifecycle.now());
            sleep_until(Instant::now() + time_left).await;
        }
        None => std::future::pending().await,
    }
}
