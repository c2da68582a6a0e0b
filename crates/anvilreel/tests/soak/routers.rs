//! Router nodes: a shell as thin as the real one around account, claims and exchanges.

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

use super::ledger::{Asked, ToLedger};
use super::net::StreamId;
use super::{Happening, World};

/// How long an answer to a claim is waited for.
/// How long answers and claims are kept.
pub const KEEP: Duration = Duration::from_secs(150);
const CLAIM_WITHIN: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
pub enum FromLedger {
    Grants(GrantBatchAnswer),
    Denied(Denial),
    Claimed(u64, Box<ClaimRecord>),
    ClaimLost(u64, Holder),
    Placed(u64, InstanceId, Option<IdempotentClaim>),
    Members(BTreeMap<InstanceId, Member>, bool),
}

/// A claim on its way to a peer.
#[derive(Debug, Clone)]
pub struct PeerClaim {
    pub from: (usize, Incarnation, u64),
    pub claim: IdempotentClaim,
    pub holders: Vec<ClaimHolder>,
}

pub struct Running {
    pub exchange: Exchange,
    pub caller: usize,
    pub streams: BTreeMap<Dispatch, StreamId>,
}

pub struct RouterNode {
    pub slot: usize,
    pub life: Incarnation,
    pub alive: bool,
    pub stopping: bool,
    pub frozen_until: Now,
    pub account: Arc<GrantAccount>,
    pub claim_store: ClaimStore,
    pub holder_history: HolderHistory,
    /// When the ledger was last heard of.
    pub heard: Now,
    pub members: BTreeMap<InstanceId, Member>,
    pub running: BTreeMap<u64, Running>,
    next: u64,
    last_alive: Now,
}

impl RouterNode {
    pub fn new(slot: usize) -> Self {
        Self {
            slot,
            life: 0,
            alive: false,
            stopping: false,
            frozen_until: Now::ZERO,
            account: new_account(slot, 0),
            claim_store: ClaimStore::default(),
            holder_history: HolderHistory::new("ke-central".into(), KEEP, Now::ZERO),
            heard: Now::ZERO,
            members: BTreeMap::new(),
            running: BTreeMap::new(),
            next: 0,
            last_alive: Now::ZERO,
        }
    }

    pub fn id(&self) -> InstanceId {
        format!("r{}", self.slot).into()
    }

    pub fn instance(&self) -> Instance {
        Instance {
            id: self.id(),
            incarnation: self.life,
            role: Role::Router,
            zone: zone(self.slot),
            addr: addr(),
            endpoint: None,
        }
    }
}

fn new_account(slot: usize, life: Incarnation) -> Arc<GrantAccount> {
    let id = format!("r{slot}").into();
    Arc::new(GrantAccount::new(id, life, GrantPolicy::default()))
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
        let life = router.life + 1;
        let next = router.next;
        *router = RouterNode::new(slot);
        router.life = life;
        router.next = next;
        router.alive = true;
        router.account = new_account(slot, life);
        let now = self.now;
        router.holder_history = HolderHistory::new("ke-central".into(), KEEP, now);
        self.at(now, Happening::RouterTick(slot, life));
    }

    /// When a frozen router goes on.
    pub fn frozen(&self, slot: usize, life: Incarnation) -> Option<Now> {
        let router = &self.routers[slot];
        (router.life == life && self.now < router.frozen_until).then_some(router.frozen_until)
    }

    pub fn kill_router(&mut self, slot: usize) {
        if !self.routers[slot].alive {
            return;
        }
        self.count("routers killed");
        self.drop_router(slot);
        let pause = self.between(Duration::from_millis(500), Duration::from_secs(20));
        let life = self.routers[slot].life;
        // The new life begins with its first tick.
        self.after(pause, Happening::RouterTick(slot, life + 1));
    }

    fn drop_router(&mut self, slot: usize) {
        let router = &mut self.routers[slot];
        router.alive = false;
        let running = std::mem::take(&mut router.running);
        self.reset_streams(|stream| stream.router == slot);
        for running in running.into_values() {
            let caller = running.caller;
            if self.callers[caller].at_router.take().is_some() && self.callers[caller].named {
                self.caller_comes_back(caller);
            }
        }
    }

    /// A planned stop: nothing new, streams finish, grants go back, claims are handed over.
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

    pub fn router_tick(&mut self, slot: usize, life: Incarnation) {
        if let Some(until) = self.frozen(slot, life) {
            return self.at(until, Happening::RouterTick(slot, life));
        }
        if self.routers[slot].life + 1 == life && !self.routers[slot].alive {
            return self.join_router(slot);
        }
        if self.routers[slot].life != life || !self.routers[slot].alive {
            return;
        }
        let urgent = self.routers[slot].account.is_urgent();
        let pause = Duration::from_millis(if urgent { 50 } else { 200 });
        self.after(pause, Happening::RouterTick(slot, life));
        if self.finished_stopping(slot) {
            return;
        }
        let now = self.now;
        if let Some(batch) = self.routers[slot].account.next_batch(now) {
            self.ask_ledger(slot, Asked::Batch(batch));
        }
        if now >= self.routers[slot].last_alive + Duration::from_secs(1) {
            self.routers[slot].last_alive = now;
            let instance = Box::new(self.routers[slot].instance());
            self.ask_ledger(slot, Asked::Alive(instance, Vec::new()));
        }
    }

    fn finished_stopping(&mut self, slot: usize) -> bool {
        let router = &self.routers[slot];
        if !router.stopping || !router.running.is_empty() || !router.account.is_empty() {
            return false;
        }
        self.count("routers stopped cleanly");
        self.drop_router(slot);
        let life = self.routers[slot].life;
        self.after(
            Duration::from_secs(3),
            Happening::RouterTick(slot, life + 1),
        );
        true
    }

    fn ask_ledger(&mut self, slot: usize, what: Asked) {
        let life = self.routers[slot].life;
        self.send_ledger(ToLedger {
            from: format!("r{slot}"),
            slot,
            life,
            what,
        });
    }

    pub fn router_hears(&mut self, slot: usize, life: Incarnation, msg: FromLedger) {
        if let Some(until) = self.frozen(slot, life) {
            return self.at(until, Happening::ToRouter(slot, life, msg));
        }
        if self.routers[slot].life != life || !self.routers[slot].alive {
            return;
        }
        let now = self.now;
        let account = self.routers[slot].account.clone();
        match msg {
            FromLedger::Grants(answer) => {
                if let Err(e) = account.apply_answer(now, &answer) {
                    self.truth.violate(e.to_string());
                }
                self.feed_all(slot, || Event::GrantsChanged);
            }
            FromLedger::Denied(denial) => {
                if account.apply_denial(now, &denial) {
                    self.fenced_out(slot);
                }
            }
            FromLedger::Claimed(exchange, record) => {
                let event = Event::Claimed {
                    holder: Holder::Ledger,
                    answer: ledger_answer(*record),
                };
                self.feed(slot, life, exchange, event);
            }
            FromLedger::ClaimLost(exchange, holder) => {
                let answer = ClaimAnswer::Unavailable;
                self.feed(slot, life, exchange, Event::Claimed { holder, answer });
            }
            FromLedger::Placed(exchange, holder, claim) => {
                let event = Event::Claimed {
                    holder: Holder::Router(holder),
                    answer: claim.map_or(ClaimAnswer::Unavailable, placed_answer),
                };
                self.feed(slot, life, exchange, event);
            }
            FromLedger::Members(_, false) => self.fenced_out(slot),
            FromLedger::Members(members, true) => self.new_members(slot, members),
        }
    }

    /// This life was declared lost while it was cut off: the process begins a new one.
    fn fenced_out(&mut self, slot: usize) {
        self.count("routers fenced out");
        self.routers[slot].account.fence();
        self.drop_router(slot);
        let life = self.routers[slot].life;
        self.after(
            Duration::from_secs(1),
            Happening::RouterTick(slot, life + 1),
        );
    }

    fn new_members(&mut self, slot: usize, members: BTreeMap<InstanceId, Member>) {
        let now = self.now;
        self.routers[slot].heard = now;
        self.routers[slot]
            .holder_history
            .record_members(now, members.values());
        let old = std::mem::replace(&mut self.routers[slot].members, members);
        let new = &self.routers[slot].members;
        let over = |was: &&Member| {
            let is = new.get(&was.instance.id);
            is.is_none_or(|is| {
                is.instance.incarnation != was.instance.incarnation || is.presence == Presence::Gone
            })
        };
        let gone = old.values().filter(over);
        let gone: Vec<_> = gone
            .map(|m| Target::new(m.instance.id.clone(), m.instance.incarnation))
            .collect();
        for target in gone {
            self.feed_all(slot, || Event::TargetGone(target.clone()));
        }
    }

    fn feed_all(&mut self, slot: usize, event: impl Fn() -> Event) {
        let life = self.routers[slot].life;
        let ids: Vec<_> = self.routers[slot].running.keys().copied().collect();
        for id in ids {
            self.feed(slot, life, id, event());
        }
    }

    pub fn begin_exchange(&mut self, slot: usize, caller: usize) {
        let router = &mut self.routers[slot];
        router.next += 1;
        let (id, life) = (router.next, router.life);
        let mut spec = self.callers[caller].spec(self.now, format!("r{slot}/{life}/{id}"));
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
        let running = Running {
            exchange: Exchange::new(spec),
            caller,
            streams: BTreeMap::new(),
        };
        router.running.insert(id, running);
        self.callers[caller].at_router = Some((slot, life, id));
        self.feed(slot, life, id, Event::Begin);
    }

    pub fn router_wake(&mut self, slot: usize, life: Incarnation, id: u64) {
        if let Some(until) = self.frozen(slot, life) {
            return self.at(until, Happening::Wake(slot, life, id));
        }
        self.feed(slot, life, id, Event::TimerFired);
    }

    /// Feeds one event to an exchange and does what it wants, until it wants nothing more.
    pub fn feed(&mut self, slot: usize, life: Incarnation, id: u64, event: Event) {
        if self.routers[slot].life != life {
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
            let what = format!("r{slot}/{life}/{id} {key} <- {event:?}");
            let actions = running.exchange.handle(self.now, &account, event);
            self.trace(|| what);
            for action in actions {
                self.trace(|| format!("r{slot}/{life}/{id} {key} -> {action:?}"));
                events.extend(self.act(slot, id, action));
            }
            let running = self.routers[slot].running.get(&id);
            if running.is_some_and(|r| r.exchange.is_finished()) && events.is_empty() {
                self.routers[slot].running.remove(&id);
            }
        }
    }

    fn act(&mut self, slot: usize, id: u64, action: Action) -> Option<Event> {
        let life = self.routers[slot].life;
        let account = self.routers[slot].account.clone();
        let running = self.routers[slot].running.get(&id)?;
        let (caller, spec) = (running.caller, running.exchange.spec().clone());
        match action {
            Action::Choose { exclude } => {
                return Some(self.choose(slot, &exclude));
            }
            Action::PutClaim { holder, claim } => self.put_claim(slot, id, &holder, claim),
            Action::PutLedgerClaim(claim) => {
                self.ask_ledger(slot, Asked::Claim(id, claim));
                let lost = FromLedger::ClaimLost(id, Holder::Ledger);
                self.after(CLAIM_WITHIN, Happening::ToRouter(slot, life, lost));
            }
            Action::SettleClaim(settle) => self.ask_ledger(slot, Asked::Settle(settle)),
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
                    self.truth.settle(&spec.key, grants[budget].0, tokens);
                }
                if let Err(e) = account.settle(reservation, cost) {
                    self.truth.violate(e.to_string());
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
                if self.is_at(caller, slot, id) {
                    self.caller_gets(caller, &bytes);
                }
            }
            Action::SetTimer(when) => self.at(when, Happening::Wake(slot, life, id)),
            Action::Finish { outcome, .. } => {
                if matches!(outcome, Outcome::NotRun(_)) {
                    self.truth.told_not_run.insert((slot, life, id));
                }
                if matches!(outcome, Outcome::Unknown(_)) {
                    self.callers[caller].doubts += 1;
                }
                if self.is_at(caller, slot, id) {
                    self.caller_ends(caller, &outcome);
                }
            }
            Action::Violation(e) => {
                self.count("crossed frames kept out");
                if !self.counts.contains_key("frames crossed") {
                    self.truth.violate(e.to_string());
                }
            }
        }
        None
    }

    fn is_at(&self, caller: usize, slot: usize, id: u64) -> bool {
        let life = self.routers[slot].life;
        self.callers[caller].at_router == Some((slot, life, id))
    }

    fn drop_call(&mut self, slot: usize, id: u64, dispatch: Dispatch) {
        let life = self.routers[slot].life;
        let streams = self.net.streams.iter().filter(|(_, s)| {
            s.router == slot && s.router_life == life && s.exchange == id && s.dispatch == dispatch
        });
        let streams: Vec<_> = streams.map(|(id, _)| *id).collect();
        for id in streams {
            let pause = self.latency();
            self.after(pause, Happening::StreamGone(id));
        }
    }

    fn choose(&mut self, slot: usize, exclude: &std::collections::BTreeSet<InstanceId>) -> Event {
        let members = self.routers[slot].members.values();
        let good: Vec<_> = members
            .filter(|m| m.instance.role == Role::Sidecar && m.presence == Presence::Live)
            .filter(|m| !exclude.contains(&m.instance.id))
            .map(|m| Target::new(m.instance.id.clone(), m.instance.incarnation))
            .collect();
        if good.is_empty() {
            let reason = Reason::NoEndpoint("demo".into());
            let refusal = Refusal::new(reason).with_retry_after(Duration::from_secs(1));
            return Event::NotChosen(refusal);
        }
        let chosen = self.rng.random_range(0..good.len());
        Event::Chosen(good[chosen].clone())
    }

    fn put_claim(&mut self, slot: usize, id: u64, holder: &InstanceId, claim: IdempotentClaim) {
        let life = self.routers[slot].life;
        let to = slot_of(holder);
        let lost = FromLedger::ClaimLost(id, Holder::Router(holder.clone()));
        self.after(CLAIM_WITHIN, Happening::ToRouter(slot, life, lost));
        let pause = self.latency();
        let from = (slot, life, id);
        let holders = self.routers[slot].holder_history.holders(&claim.key);
        let msg = PeerClaim {
            from,
            claim,
            holders,
        };
        self.after(pause, Happening::PeerClaim(to, msg));
    }

    pub fn peer_claim(&mut self, to: usize, msg: PeerClaim) {
        let (slot, life, id) = msg.from;
        let (a, b) = (format!("r{slot}"), format!("r{to}"));
        let cut = slot != to && self.net.is_cut(self.now, &a, &b);
        if cut || !self.routers[to].alive {
            return;
        }
        if let Some(until) = self.frozen(to, self.routers[to].life) {
            return self.at(until, Happening::PeerClaim(to, msg));
        }
        let now = self.now;
        let unguarded = self.without("vouching");
        let RouterNode {
            claim_store,
            holder_history,
            heard,
            ..
        } = &mut self.routers[to];
        let (claim, holders) = (msg.claim, msg.holders);
        let me: InstanceId = b.as_str().into();
        let silent = now.saturating_sub(*heard);
        let put = RouterRequest::PutAs { claim, holders };
        let reply = claim_store.handle(now, put, |key, asked| {
            unguarded || holder_history.may_confirm_claim(now, silent, &me, key, asked)
        });
        let claim = match reply {
            RouterReply::Claim(claim) => claim,
            RouterReply::Kept | RouterReply::Leaving => None,
        };
        let pause = self.latency();
        let answer = FromLedger::Placed(id, b.into(), claim);
        self.after(pause, Happening::ToRouter(slot, life, answer));
    }
}

fn slot_of(id: &InstanceId) -> usize {
    id[1..].parse().expect("a slot")
}

fn ledger_answer(record: ClaimRecord) -> ClaimAnswer {
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

fn placed_answer(claim: IdempotentClaim) -> ClaimAnswer {
    ClaimAnswer::Recorded {
        target: Target::new(claim.sidecar, claim.incarnation),
        body: claim.body,
        id: "".into(),
        fresh: false,
        settled: None,
    }
}
