//! Simulated routers: a thin I/O layer, like the real one, around the real grant account, claims and
//! exchanges.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{ClaimHolder, IdempotentClaim, RouterReply, RouterRequest};
use anvil_world::command::{ClaimRecord, ClaimState, Denial, GrantBatchAnswer};
use anvil_world::prelude::*;
use anvilreel::claims::{ClaimStore, HolderHistory, placement};
use anvilreel::money::{GrantAccount, GrantPolicy};
use anvilreel::request::{Action, ClaimAnswer, Dispatch, Event, Exchange, Holder, Target};
use rand::RngExt;

use super::ledger::{LedgerMessage, LedgerRequest};
use super::net::StreamId;
use super::{SimEvent, World};

/// How long answers and claims are kept.
pub const RETENTION: Duration = Duration::from_secs(150);
/// Maximum wait for the answer to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// A message to a router: answers of the ledger and of other routers, and the timeout of a claim. A number
/// is the exchange that it belongs to.
#[derive(Debug, Clone)]
pub enum RouterMessage {
    Grants(GrantBatchAnswer),
    Denied(Denial),
    Claimed(u64, Box<ClaimRecord>),
    ClaimTimedOut(u64, Holder),
    PeerClaimAnswer(u64, InstanceId, Option<IdempotentClaim>),
    /// Members, and whether the ledger still accepts this incarnation.
    Members(BTreeMap<InstanceId, Member>, bool),
}

/// A claim sent to another router.
#[derive(Debug, Clone)]
pub struct ClaimMessage {
    pub from: (usize, Incarnation, u64),
    pub claim: IdempotentClaim,
    pub holders: Vec<ClaimHolder>,
}

pub struct RunningExchange {
    pub exchange: Exchange,
    pub caller: usize,
    pub streams: BTreeMap<Dispatch, StreamId>,
}

pub struct SimulatedRouter {
    pub slot: usize,
    pub incarnation: Incarnation,
    pub alive: bool,
    pub stopping: bool,
    pub frozen_until: Now,
    pub account: Arc<GrantAccount>,
    pub claim_store: ClaimStore,
    pub holder_history: HolderHistory,
    /// When members were last received from the ledger.
    pub ledger_contact: Now,
    pub members: BTreeMap<InstanceId, Member>,
    pub running: BTreeMap<u64, RunningExchange>,
    next_exchange: u64,
    last_heartbeat: Now,
}

impl SimulatedRouter {
    pub fn new(slot: usize) -> Self {
        Self {
            slot,
            incarnation: 0,
            alive: false,
            stopping: false,
            frozen_until: Now::ZERO,
            account: new_account(slot, 0),
            claim_store: ClaimStore::default(),
            holder_history: HolderHistory::new("ke-central".into(), RETENTION, Now::ZERO),
            ledger_contact: Now::ZERO,
            members: BTreeMap::new(),
            running: BTreeMap::new(),
            next_exchange: 0,
            last_heartbeat: Now::ZERO,
        }
    }

    pub fn id(&self) -> InstanceId {
        format!("r{}", self.slot).into()
    }

    pub fn instance(&self) -> Instance {
        Instance {
            id: self.id(),
            incarnation: self.incarnation,
            role: Role::Router,
            zone: zone(self.slot),
            addr: addr(),
            endpoint: None,
        }
    }
}

fn new_account(slot: usize, incarnation: Incarnation) -> Arc<GrantAccount> {
    let id = format!("r{slot}").into();
    Arc::new(GrantAccount::new(id, incarnation, GrantPolicy::default()))
}

pub fn zone(slot: usize) -> Zone {
    Zone {
        id: format!("z{}", slot % 3).into(),
        region: "ke-central".into(),
    }
}

pub fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

impl World {
    pub fn join_router(&mut self, slot: usize) {
        let router = &mut self.routers[slot];
        let incarnation = router.incarnation + 1;
        let next_exchange = router.next_exchange;
        *router = SimulatedRouter::new(slot);
        router.incarnation = incarnation;
        router.next_exchange = next_exchange;
        router.alive = true;
        router.account = new_account(slot, incarnation);
        let now = self.now;
        router.holder_history = HolderHistory::new("ke-central".into(), RETENTION, now);
        self.schedule_at(now, SimEvent::RouterTick(slot, incarnation));
    }

    /// When this incarnation continues, if it is frozen now.
    pub fn frozen(&self, slot: usize, incarnation: Incarnation) -> Option<Now> {
        let router = &self.routers[slot];
        (router.incarnation == incarnation && self.now < router.frozen_until)
            .then_some(router.frozen_until)
    }

    pub fn kill_router(&mut self, slot: usize) {
        if !self.routers[slot].alive {
            return;
        }
        self.count("routers killed");
        self.shut_down_router(slot);
        let pause = self.random_duration(Duration::from_millis(500), Duration::from_secs(20));
        let incarnation = self.routers[slot].incarnation;
        // The new incarnation begins with its first tick.
        self.schedule_after(pause, SimEvent::RouterTick(slot, incarnation + 1));
    }

    fn shut_down_router(&mut self, slot: usize) {
        let router = &mut self.routers[slot];
        router.alive = false;
        let running = std::mem::take(&mut router.running);
        self.reset_streams(|stream| stream.router == slot);
        for running in running.into_values() {
            let caller = running.caller;
            if self.callers[caller].current_exchange.take().is_some()
                && self.callers[caller].has_own_key
            {
                self.schedule_retry(caller);
            }
        }
    }

    /// Begins a planned stop: no new requests, streams finish, grants are returned, claims are handed over.
    pub fn stop_router(&mut self, slot: usize) {
        if !self.routers[slot].alive || self.routers[slot].stopping {
            return;
        }
        self.count("routers stopped");
        let now = self.now;
        let router = &mut self.routers[slot];
        router.stopping = true;
        router.account.begin_drain();
        for claim in router.claim_store.drain(now) {
            self.hand_over(slot, &claim);
        }
    }

    fn hand_over(&mut self, from: usize, claim: &IdempotentClaim) {
        let members = self.routers[from].members.clone();
        let others = members
            .values()
            .filter(|m| *m.instance.id != *format!("r{from}"));
        for holder in placement(&claim.key, "ke-central", others) {
            let to = slot_of(&holder);
            if self.routers[to].alive && !self.routers[to].stopping {
                let now = self.now;
                let claims = RouterRequest::HandOver(vec![claim.clone()]);
                self.routers[to]
                    .claim_store
                    .handle(now, claims, |_, _| false);
            }
        }
    }

    pub fn router_tick(&mut self, slot: usize, incarnation: Incarnation) {
        if let Some(until) = self.frozen(slot, incarnation) {
            return self.schedule_at(until, SimEvent::RouterTick(slot, incarnation));
        }
        if self.routers[slot].incarnation + 1 == incarnation && !self.routers[slot].alive {
            return self.join_router(slot);
        }
        if self.routers[slot].incarnation != incarnation || !self.routers[slot].alive {
            return;
        }
        let urgent = self.routers[slot].account.is_urgent();
        let pause = Duration::from_millis(if urgent { 50 } else { 200 });
        self.schedule_after(pause, SimEvent::RouterTick(slot, incarnation));
        if self.finish_planned_stop(slot) {
            return;
        }
        let now = self.now;
        if let Some(batch) = self.routers[slot].account.next_batch(now) {
            self.send_from_router(slot, LedgerRequest::Batch(batch));
        }
        if now >= self.routers[slot].last_heartbeat + Duration::from_secs(1) {
            self.routers[slot].last_heartbeat = now;
            let instance = Box::new(self.routers[slot].instance());
            self.send_from_router(slot, LedgerRequest::Heartbeat(instance, Vec::new()));
        }
    }

    fn finish_planned_stop(&mut self, slot: usize) -> bool {
        let router = &self.routers[slot];
        if !router.stopping || !router.running.is_empty() || !router.account.is_empty() {
            return false;
        }
        self.count("routers stopped cleanly");
        self.shut_down_router(slot);
        let incarnation = self.routers[slot].incarnation;
        self.schedule_after(
            Duration::from_secs(3),
            SimEvent::RouterTick(slot, incarnation + 1),
        );
        true
    }

    fn send_from_router(&mut self, slot: usize, body: LedgerRequest) {
        let incarnation = self.routers[slot].incarnation;
        self.send_to_ledger(LedgerMessage {
            from: format!("r{slot}"),
            slot,
            incarnation,
            body,
        });
    }

    pub fn handle_router_message(
        &mut self,
        slot: usize,
        incarnation: Incarnation,
        msg: RouterMessage,
    ) {
        if let Some(until) = self.frozen(slot, incarnation) {
            return self.schedule_at(until, SimEvent::RouterMessage(slot, incarnation, msg));
        }
        if self.routers[slot].incarnation != incarnation || !self.routers[slot].alive {
            return;
        }
        let now = self.now;
        let account = self.routers[slot].account.clone();
        match msg {
            RouterMessage::Grants(answer) => {
                if let Err(e) = account.apply_answer(now, &answer) {
                    self.truth.record_violation(e.to_string());
                }
                self.feed_all(slot, || Event::GrantsChanged);
            }
            RouterMessage::Denied(denial) => {
                if account.apply_denial(now, &denial) {
                    self.restart_fenced_router(slot);
                }
            }
            RouterMessage::Claimed(exchange, record) => {
                let event = Event::Claimed {
                    holder: Holder::Ledger,
                    answer: answer_from_record(*record),
                };
                self.feed(slot, incarnation, exchange, event);
            }
            RouterMessage::ClaimTimedOut(exchange, holder) => {
                let answer = ClaimAnswer::Unavailable;
                self.feed(
                    slot,
                    incarnation,
                    exchange,
                    Event::Claimed { holder, answer },
                );
            }
            RouterMessage::PeerClaimAnswer(exchange, holder, claim) => {
                let event = Event::Claimed {
                    holder: Holder::Router(holder),
                    answer: claim.map_or(ClaimAnswer::Unavailable, answer_from_peer),
                };
                self.feed(slot, incarnation, exchange, event);
            }
            RouterMessage::Members(_, false) => self.restart_fenced_router(slot),
            RouterMessage::Members(members, true) => self.apply_members(slot, members),
        }
    }

    /// This incarnation was declared lost while it was partitioned: the process starts a new one.
    fn restart_fenced_router(&mut self, slot: usize) {
        self.count("routers fenced out");
        self.routers[slot].account.fence();
        self.shut_down_router(slot);
        let incarnation = self.routers[slot].incarnation;
        self.schedule_after(
            Duration::from_secs(1),
            SimEvent::RouterTick(slot, incarnation + 1),
        );
    }

    fn apply_members(&mut self, slot: usize, members: BTreeMap<InstanceId, Member>) {
        let now = self.now;
        self.routers[slot].ledger_contact = now;
        self.routers[slot]
            .holder_history
            .record_members(now, members.values());
        let old = std::mem::replace(&mut self.routers[slot].members, members);
        let new = &self.routers[slot].members;
        let is_over = |old_member: &&Member| {
            let new_member = new.get(&old_member.instance.id);
            new_member.is_none_or(|new_member| {
                new_member.instance.incarnation != old_member.instance.incarnation
                    || new_member.presence == Presence::Gone
            })
        };
        let gone = old.values().filter(is_over);
        let gone: Vec<_> = gone
            .map(|m| Target::new(m.instance.id.clone(), m.instance.incarnation))
            .collect();
        for target in gone {
            self.feed_all(slot, || Event::TargetGone(target.clone()));
        }
    }

    fn feed_all(&mut self, slot: usize, event: impl Fn() -> Event) {
        let incarnation = self.routers[slot].incarnation;
        let ids: Vec<_> = self.routers[slot].running.keys().copied().collect();
        for id in ids {
            self.feed(slot, incarnation, id, event());
        }
    }

    pub fn start_exchange(&mut self, slot: usize, caller: usize) {
        let router = &mut self.routers[slot];
        router.next_exchange += 1;
        let (id, incarnation) = (router.next_exchange, router.incarnation);
        let mut spec = self.callers[caller].spec(self.now, format!("r{slot}/{incarnation}/{id}"));
        spec.holders = placement(&spec.key, "ke-central", router.members.values());
        let sidecars = router
            .members
            .values()
            .filter(|m| m.instance.role == Role::Sidecar && m.presence != Presence::Gone);
        if !router
            .holder_history
            .has_stable_holders(self.now, &spec.key)
        {
            spec.probe_candidates = sidecars
                .map(|m| Target::new(m.instance.id.clone(), m.instance.incarnation))
                .collect();
        }
        let running = RunningExchange {
            exchange: Exchange::new(spec),
            caller,
            streams: BTreeMap::new(),
        };
        router.running.insert(id, running);
        self.callers[caller].current_exchange = Some((slot, incarnation, id));
        self.feed(slot, incarnation, id, Event::Begin);
    }

    pub fn exchange_timer(&mut self, slot: usize, incarnation: Incarnation, id: u64) {
        if let Some(until) = self.frozen(slot, incarnation) {
            return self.schedule_at(until, SimEvent::ExchangeTimer(slot, incarnation, id));
        }
        self.feed(slot, incarnation, id, Event::TimerFired);
    }

    /// Feeds one event to an exchange and performs the resulting actions, until none are left.
    pub fn feed(&mut self, slot: usize, incarnation: Incarnation, id: u64, event: Event) {
        if self.routers[slot].incarnation != incarnation {
            return;
        }
        let account = self.routers[slot].account.clone();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(running) = self.routers[slot].running.get_mut(&id) else {
                if let Event::Reserved(reservation) = event {
                    account.release(reservation);
                }
                return;
            };
            let key = running.exchange.spec().key.id.clone();
            let body = format!("r{slot}/{incarnation}/{id} {key} <- {event:?}");
            let actions = running.exchange.handle(self.now, &account, event);
            self.trace(|| body);
            for action in actions {
                self.trace(|| format!("r{slot}/{incarnation}/{id} {key} -> {action:?}"));
                events.extend(self.perform(slot, id, action));
            }
            let running = self.routers[slot].running.get(&id);
            if running.is_some_and(|r| r.exchange.is_finished()) && events.is_empty() {
                self.routers[slot].running.remove(&id);
            }
        }
    }

    fn perform(&mut self, slot: usize, id: u64, action: Action) -> Option<Event> {
        let incarnation = self.routers[slot].incarnation;
        let account = self.routers[slot].account.clone();
        let running = self.routers[slot].running.get(&id)?;
        let (caller, spec) = (running.caller, running.exchange.spec().clone());
        match action {
            Action::Choose { exclude } => {
                return Some(self.choose(slot, &exclude));
            }
            Action::PutClaim { holder, claim } => self.put_claim(slot, id, &holder, claim),
            Action::PutLedgerClaim(claim) => {
                self.send_from_router(slot, LedgerRequest::Claim(id, claim));
                let timed_out = RouterMessage::ClaimTimedOut(id, Holder::Ledger);
                self.schedule_after(
                    CLAIM_TIMEOUT,
                    SimEvent::RouterMessage(slot, incarnation, timed_out),
                );
            }
            Action::SettleClaim(settle) => {
                self.send_from_router(slot, LedgerRequest::Settle(settle));
            }
            Action::Reserve => {
                let reserved = account.reserve(self.now, &spec.split, spec.bound);
                return Some(match reserved {
                    Ok(reservation) => Event::Reserved(reservation),
                    Err(shortage) => Event::ReservationFailed(shortage),
                });
            }
            Action::Release(reservation) => account.release(reservation),
            Action::Settle { reservation, cost } => {
                let grants = reservation.grants();
                for (budget, tokens) in spec.split.divide(cost) {
                    self.truth
                        .record_settlement(&spec.key, grants[budget].0, tokens);
                }
                if let Err(e) = account.settle(reservation, cost) {
                    self.truth.record_violation(e.to_string());
                }
            }
            Action::Call {
                dispatch,
                target,
                req,
            } => {
                let to = slot_of(&target.sidecar);
                let stream = self.new_stream(slot, id, dispatch, to);
                self.open_stream(stream, *req);
            }
            Action::DropCall { dispatch } => self.drop_call(slot, id, dispatch),
            Action::DeliverHead(_) => {}
            Action::Deliver(bytes) => {
                if self.is_served_by(caller, slot, id) {
                    self.deliver_to_caller(caller, &bytes);
                }
            }
            Action::SetTimer(when) => {
                self.schedule_at(when, SimEvent::ExchangeTimer(slot, incarnation, id));
            }
            Action::Finish { outcome, .. } => {
                if matches!(outcome, Outcome::NotRun(_)) {
                    self.truth.reported_not_run.insert((slot, incarnation, id));
                }
                if matches!(outcome, Outcome::Unknown(_)) {
                    self.callers[caller].unknown_outcomes += 1;
                }
                if self.is_served_by(caller, slot, id) {
                    self.finish_for_caller(caller, &outcome);
                }
            }
            Action::Violation(e) => {
                self.count("foreign frames rejected");
                if !self.counts.contains_key("foreign frames injected") {
                    self.truth.record_violation(e.to_string());
                }
            }
        }
        None
    }

    fn is_served_by(&self, caller: usize, slot: usize, id: u64) -> bool {
        let incarnation = self.routers[slot].incarnation;
        self.callers[caller].current_exchange == Some((slot, incarnation, id))
    }

    fn drop_call(&mut self, slot: usize, id: u64, dispatch: Dispatch) {
        let incarnation = self.routers[slot].incarnation;
        let streams = self.net.streams.iter().filter(|(_, s)| {
            s.router == slot
                && s.router_incarnation == incarnation
                && s.exchange == id
                && s.dispatch == dispatch
        });
        let streams: Vec<_> = streams.map(|(id, _)| *id).collect();
        for id in streams {
            let pause = self.latency();
            self.schedule_after(pause, SimEvent::StreamClosed(id));
        }
    }

    fn choose(&mut self, slot: usize, exclude: &std::collections::BTreeSet<InstanceId>) -> Event {
        let members = self.routers[slot].members.values();
        let candidates: Vec<_> = members
            .filter(|m| m.instance.role == Role::Sidecar && m.presence == Presence::Live)
            .filter(|m| !exclude.contains(&m.instance.id))
            .map(|m| Target::new(m.instance.id.clone(), m.instance.incarnation))
            .collect();
        if candidates.is_empty() {
            let reason = Reason::NoEndpoint("demo".into());
            let refusal = Refusal::new(reason).with_retry_after(Duration::from_secs(1));
            return Event::NotChosen(refusal);
        }
        let chosen = self.rng.random_range(0..candidates.len());
        Event::Chosen(candidates[chosen].clone())
    }

    fn put_claim(&mut self, slot: usize, id: u64, holder: &InstanceId, claim: IdempotentClaim) {
        let incarnation = self.routers[slot].incarnation;
        let to = slot_of(holder);
        let timed_out = RouterMessage::ClaimTimedOut(id, Holder::Router(holder.clone()));
        self.schedule_after(
            CLAIM_TIMEOUT,
            SimEvent::RouterMessage(slot, incarnation, timed_out),
        );
        let pause = self.latency();
        let from = (slot, incarnation, id);
        let holders = self.routers[slot].holder_history.holders(&claim.key);
        let msg = ClaimMessage {
            from,
            claim,
            holders,
        };
        self.schedule_after(pause, SimEvent::ClaimMessage(to, msg));
    }

    pub fn handle_peer_claim(&mut self, to: usize, msg: ClaimMessage) {
        let (slot, incarnation, id) = msg.from;
        let (a, b) = (format!("r{slot}"), format!("r{to}"));
        let partitioned = slot != to && self.net.is_partitioned(self.now, &a, &b);
        if partitioned || !self.routers[to].alive {
            return;
        }
        if let Some(until) = self.frozen(to, self.routers[to].incarnation) {
            return self.schedule_at(until, SimEvent::ClaimMessage(to, msg));
        }
        let now = self.now;
        let unguarded = self.is_disabled("vouching");
        let SimulatedRouter {
            claim_store,
            holder_history,
            ledger_contact,
            ..
        } = &mut self.routers[to];
        let (claim, holders) = (msg.claim, msg.holders);
        let own_id: InstanceId = b.as_str().into();
        let since_contact = now.saturating_sub(*ledger_contact);
        let put = RouterRequest::PutAs { claim, holders };
        let reply = claim_store.handle(now, put, |key, sent_holders| {
            unguarded
                || holder_history.may_confirm_claim(now, since_contact, &own_id, key, sent_holders)
        });
        let claim = match reply {
            RouterReply::Claim(claim) => claim,
            RouterReply::Kept | RouterReply::Leaving => None,
        };
        let pause = self.latency();
        let answer = RouterMessage::PeerClaimAnswer(id, b.into(), claim);
        self.schedule_after(pause, SimEvent::RouterMessage(slot, incarnation, answer));
    }
}

fn slot_of(id: &InstanceId) -> usize {
    id[1..].parse().expect("a slot")
}

fn answer_from_record(record: ClaimRecord) -> ClaimAnswer {
    let claim = record.claim;
    ClaimAnswer::Recorded {
        target: Target::new(claim.sidecar, claim.incarnation),
        body: claim.body,
        id: claim.id,
        fresh: record.fresh,
        settled: match record.state {
            ClaimState::Open => None,
            ClaimState::Settled(outcome) => Some(outcome),
        },
    }
}

fn answer_from_peer(claim: IdempotentClaim) -> ClaimAnswer {
    ClaimAnswer::Recorded {
        target: Target::new(claim.sidecar, claim.incarnation),
        body: claim.body,
        id: "".into(),
        fresh: false,
        settled: None,
    }
}
