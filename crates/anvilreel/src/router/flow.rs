//! One request's life: feeds its [`Exchange`] from sockets and clocks, and does what it says.

use std::collections::{BTreeSet, VecDeque};
use std::pin::Pin;
use std::sync::Arc;

use anvil_policy::estimate::Finished;
use anvil_wire::msg::{RunEnd, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::futures::Notified;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::call::{Call, next_of};
use super::job::{Job, Piece};
use super::lane::Turn;
use super::{Core, keepers};
use crate::event;
use crate::events;
use crate::metrics;
use crate::request::{Action, Event, Exchange, Target};

/// Pieces that wait for a caller that reads slowly; further ones wait at the sidecar.
const PIECES: usize = 4;

/// Starts a request; its answer comes in pieces. Dropping the receiver is the caller leaving.
pub fn start(core: Arc<Core>, job: Job) -> Receiver<Piece> {
    let (tx, rx) = channel(PIECES);
    tokio::spawn(async move {
        let open = core.enter();
        Flow::new(&core, job, tx).run().await;
        drop(open);
    });
    rx
}

/// What an asked-for answer brings.
enum Done {
    Event(Event),
    Turn(Result<(Turn, Target), Refusal>),
}

/// What a request holds while it goes on.
struct Flow<'a> {
    core: &'a Arc<Core>,
    job: Job,
    tx: Sender<Piece>,
    /// Whether the exchange knows that the caller left.
    left: bool,
    asked: FuturesUnordered<BoxFuture<'a, Done>>,
    /// Calls to sidecars; one, but while several are asked for a key.
    calls: Vec<Call>,
    /// All who were called.
    tried: BTreeSet<Target>,
    /// Who was called last, but for mere questions.
    target: Option<Target>,
    turn: Option<Turn>,
    wakes: BTreeSet<Now>,
    money: Option<Pin<Box<Notified<'a>>>>,
    began: Instant,
    first_output: Option<Instant>,
}

impl<'a> Flow<'a> {
    fn new(core: &'a Arc<Core>, job: Job, tx: Sender<Piece>) -> Self {
        Self {
            core,
            job,
            tx,
            left: false,
            asked: FuturesUnordered::new(),
            calls: Vec::new(),
            tried: BTreeSet::new(),
            target: None,
            turn: None,
            wakes: BTreeSet::new(),
            money: None,
            began: Instant::now(),
            first_output: None,
        }
    }

    async fn run(mut self) {
        let mut exchange = Exchange::new(self.job.spec(self.core));
        let mut events = VecDeque::from([Event::Begin]);
        let mut changes = self.core.following.changes.subscribe();
        loop {
            while let Some(event) = events.pop_front() {
                self.note_failure(&event);
                let now = self.core.life.now();
                for action in exchange.handle(now, &self.core.purse, event) {
                    self.act(action, &mut events).await;
                }
            }
            if exchange.is_finished() {
                return;
            }
            let event = tokio::select! {
                biased;
                event = next_of(&mut self.calls) => {
                    self.calls.retain(|call| !call.is_over());
                    Some(event)
                }
                Some(done) = self.asked.next() => Some(self.take(done)),
                () = self.tx.closed(), if !self.left => {
                    self.left = true;
                    self.core.metrics.count(metrics::CALLERS_LEFT);
                    Some(Event::CallerGone)
                }
                () = next_money(&mut self.money) => {
                    self.money = None;
                    Some(Event::MoneyChanged)
                }
                () = next_wake(self.core, &self.wakes) => {
                    self.wakes.pop_first();
                    Some(Event::Wake)
                }
                // The sender lives as long as the router.
                _ = changes.changed() => self.gone(),
            };
            events.extend(event.map(|event| self.judge(event)));
        }
    }

    /// Takes a sidecar that the ledger does not hear of and that can't be reached from here for
    /// lost, long before its life is declared over. Neither sign alone is enough: a run whose
    /// sidecar is only cut off from the ledger goes on being read.
    fn judge(&self, event: Event) -> Event {
        let Some(target) = self
            .target
            .as_ref()
            .filter(|_| matches!(event, Event::Broken { .. }))
        else {
            return event;
        };
        let view = self.core.following.view.load();
        if view.silent.contains(&target.sidecar) {
            return Event::Gone(target.clone());
        }
        event
    }

    fn take(&mut self, done: Done) -> Event {
        match done {
            Done::Event(event) => event,
            Done::Turn(Ok((turn, target))) => {
                self.turn = Some(turn);
                Event::Chosen(target)
            }
            Done::Turn(Err(refusal)) => Event::NotChosen(refusal),
        }
    }

    /// Tells the decisions about an endpoint that failed this request.
    fn note_failure(&self, event: &Event) {
        let failed = match event {
            Event::Broken { .. } | Event::Gone(_) => true,
            Event::Reply { reply, .. } => match reply {
                SidecarReply::Refused(refusal) => refusal.reason == Reason::EndpointRefused,
                SidecarReply::End(end) => end.outcome == Outcome::Unknown(Doubt::EndpointLost),
                _ => false,
            },
            _ => false,
        };
        let Some(turn) = self.turn.as_ref().filter(|_| failed) else {
            return;
        };
        turn.failed();
        let (key, sidecar) = (self.job.key.id.to_string(), turn.endpoint.id.to_string());
        let log = &self.core.log;
        event!(log, events::ROUTER_ENDPOINT_LOST, "key" => key, "sidecar" => sidecar);
    }

    /// Whether the life that is read from is over, by the members' list.
    fn gone(&self) -> Option<Event> {
        let target = self.target.as_ref()?;
        let view = self.core.following.view.load();
        let now = view.sidecars.get(&target.sidecar);
        let over = now.is_none_or(|now| now.incarnation != target.life);
        over.then(|| Event::Gone(target.clone()))
    }

    async fn act(&mut self, action: Action, events: &mut VecDeque<Event>) {
        let core = self.core;
        match action {
            Action::Choose { exclude } => self.choose(exclude),
            Action::PutClaim { holder, claim } => {
                let id = self.job.claim_id.clone();
                let put = keepers::put_claim(core, holder, claim, id);
                self.ask(async move { Done::Event(put.await) });
            }
            Action::PutLedgerClaim(claim) => {
                let put = keepers::put_ledger_claim(core, claim);
                self.ask(async move { Done::Event(put.await) });
            }
            Action::SettleClaim(settle) => {
                let core = core.clone();
                tokio::spawn(async move { keepers::settle(&core, settle).await });
            }
            Action::Reserve => events.push_back(self.reserve()),
            Action::Release(reservation) => core.purse.release(reservation),
            Action::Settle { reservation, cost } => {
                if let Err(e) = core.purse.settle(reservation, cost) {
                    let error = e.to_string();
                    event!(core.log, events::ROUTER_SETTLEMENT_REFUSED, "error" => error);
                }
            }
            Action::Call {
                dispatch,
                target,
                req,
            } => events.extend(self.call(dispatch, target, req)),
            Action::Drop { dispatch } => {
                self.calls.retain(|call| call.dispatch != dispatch);
            }
            Action::DeliverHead(head) => self.deliver(Piece::Head(head)).await,
            Action::Deliver(bytes) => {
                self.first_output.get_or_insert_with(Instant::now);
                self.deliver(Piece::Bytes(bytes)).await;
            }
            Action::WakeAt(at) => drop(self.wakes.insert(at)),
            Action::Finish { outcome, end } => self.finish(outcome, end).await,
            Action::Violation(e) => {
                let error = e.to_string();
                event!(core.log, events::ROUTER_FRAME_MISFIT, "error" => error);
            }
        }
    }

    fn ask(&mut self, f: impl Future<Output = Done> + Send + 'a) {
        self.asked.push(Box::pin(f));
    }

    fn choose(&mut self, exclude: BTreeSet<InstanceId>) {
        // The place at an earlier endpoint is free from now on.
        self.turn = None;
        self.began = Instant::now();
        let (core, job) = (self.core, self.job.clone());
        let avoid: Vec<_> = exclude.into_iter().filter(|id| self.avoids(id)).collect();
        self.ask(async move { Done::Turn(turn(core, &job, &avoid).await) });
    }

    /// Failure: a sidecar restarts, and requests that its earlier life had lost pass the new one
    /// by. It would show as "no endpoint" although one takes work. A new life is another one.
    fn avoids(&self, id: &InstanceId) -> bool {
        let view = self.core.following.view.load();
        let Some(now) = view.sidecars.get(id) else {
            return true;
        };
        let target = Target::new(id.clone(), now.incarnation);
        self.tried.contains(&target)
    }

    fn reserve(&mut self) -> Event {
        let core: &'a Core = self.core;
        // Taken before the purse is looked at, so that nothing that comes in between is missed.
        let mut changed = Box::pin(core.purse.changed());
        changed.as_mut().enable();
        match core
            .purse
            .reserve(core.life.now(), &self.job.split, self.job.bound)
        {
            Ok(reservation) => {
                self.money = None;
                Event::Reserved(reservation)
            }
            Err(shortage) => {
                self.money = Some(changed);
                core.money_wanted.notify_one();
                Event::Short(shortage)
            }
        }
    }

    fn call(&mut self, dispatch: u32, target: Target, req: Box<SidecarRequest>) -> Option<Event> {
        self.tried.insert(target.clone());
        let view = self.core.following.view.load();
        let known = view.sidecars.get(&target.sidecar);
        let Some(known) = known.filter(|known| known.incarnation == target.life) else {
            // Not even asked: the life that is meant is over, or its address is not known.
            return Some(match *req {
                SidecarRequest::Probe { .. } => Event::Broken {
                    dispatch,
                    never_sent: true,
                },
                _ => Event::Gone(target),
            });
        };
        let channel = self.core.peers.to(known.addr);
        if !matches!(*req, SidecarRequest::Probe { .. }) {
            self.target = Some(target);
        }
        self.calls.push(Call::open(dispatch, channel, req));
        None
    }

    /// Passes a piece on, no later than the deadline.
    ///
    /// Failure: a caller that stops reading without leaving. It would show as answers that pile
    /// up in the router. Few pieces wait here, the sidecar's stream is not read meanwhile, and
    /// at the deadline the caller counts as gone.
    async fn deliver(&mut self, piece: Piece) {
        if self.left {
            return;
        }
        let sent = timeout_at(self.job.deadline, self.tx.send(piece)).await;
        if sent.is_err() {
            let (cut, _) = channel(1);
            self.tx = cut;
        }
    }

    async fn finish(&mut self, outcome: Outcome, end: Option<Box<RunEnd>>) {
        let (piece, count) = match outcome {
            Outcome::Completed(usage) => {
                self.learn(usage);
                let finish = end.map_or_else(|| "stop".into(), |end| end.finish);
                (Piece::End { finish, usage }, metrics::REQUESTS_COMPLETED)
            }
            Outcome::NotRun(refusal) => (Piece::Refused(refusal), metrics::REQUESTS_REFUSED),
            Outcome::Unknown(doubt) => {
                self.log_unknown(doubt);
                (Piece::Doubt(doubt), metrics::REQUESTS_UNKNOWN)
            }
        };
        self.core.metrics.count(count);
        if let Some(first) = self.first_output {
            let took = first - self.job.arrived;
            self.core.metrics.time(metrics::FIRST_OUTPUT, took);
        }
        self.turn = None;
        self.deliver(piece).await;
    }

    /// An operator can ask the service what became of it; of a stopped run all is known.
    fn log_unknown(&self, doubt: Doubt) {
        if doubt == Doubt::Stopped {
            return;
        }
        let (key, why) = (self.job.key.id.to_string(), format!("{doubt:?}"));
        let log = &self.core.log;
        event!(log, events::ROUTER_OUTCOME_UNKNOWN, "key" => key, "doubt" => why);
    }

    fn learn(&self, usage: Usage) {
        let Some(turn) = &self.turn else {
            return;
        };
        let (prompt, output_bound) = self.job.expected();
        let first = self.first_output.unwrap_or_else(Instant::now);
        turn.learn(&Finished {
            prompt,
            output_bound,
            output: usage.output,
            first_token: first - self.began,
            total: self.began.elapsed(),
        });
    }
}

async fn turn(core: &Core, job: &Job, avoid: &[InstanceId]) -> Result<(Turn, Target), Refusal> {
    let nowhere = || {
        let reason = Reason::NoEndpoint(job.service.clone());
        Refusal::new(reason).with_retry_after(super::SOON)
    };
    let key = (job.service.clone(), job.model().cloned());
    let lane = core.places.lane(&key).ok_or_else(nowhere)?;
    let view = core.following.view.load();
    let weight = view.organisations.get(&job.organisation);
    let weight = weight.map_or(1, |organisation| organisation.weight);
    drop(view);
    let turn = lane.turn(&core.life, job, weight, avoid).await?;
    let view = core.following.view.load();
    let sidecar = view.sidecars.get(&turn.endpoint.id).ok_or_else(nowhere)?;
    let target = Target::new(sidecar.id.clone(), sidecar.incarnation);
    Ok((turn, target))
}

async fn next_money(money: &mut Option<Pin<Box<Notified<'_>>>>) {
    match money {
        Some(money) => money.as_mut().await,
        None => std::future::pending().await,
    }
}

async fn next_wake(core: &Core, wakes: &BTreeSet<Now>) {
    match wakes.first() {
        Some(at) => {
            let left = at.saturating_sub(core.life.now());
            sleep_until(Instant::now() + left).await;
        }
        None => std::future::pending().await,
    }
}
