//! The simulated ledger: the real replicated state, and a simplified service around it that detects lost
//! instances and closes their grants by the evidence of sidecars.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::state::State;
use anvil_wire::msg::ChargeEvidence;
use anvil_world::command::{
    Change, Claim, Edit, GrantBatch, Join, SetPresence, SettleClaim, TopUp, WriteOff, change_id,
};
use anvil_world::prelude::*;
use anvilreel::money::GrantClosing;

use super::routers::RouterMessage;
use super::{SimEvent, World};

/// An instance without a heartbeat for this time is declared lost.
const LOSS_TIMEOUT: Duration = Duration::from_secs(8);

/// An operator writes off fenced grants that have stayed open for this time.
const WRITE_OFF_DELAY: Duration = Duration::from_secs(40);

/// A message to the ledger, with its sender.
#[derive(Debug, Clone)]
pub struct LedgerMessage {
    pub from: String,
    pub slot: usize,
    pub incarnation: Incarnation,
    pub body: LedgerRequest,
}

/// A request to the ledger. The number of a claim is the exchange that it belongs to.
#[derive(Debug, Clone)]
pub enum LedgerRequest {
    Batch(GrantBatch),
    Claim(u64, Claim),
    Settle(SettleClaim),
    Heartbeat(Box<Instance>, Vec<ChargeEvidence>),
}

pub struct SimulatedLedger {
    pub state: State,
    index: LogIndex,
    last_heartbeats: BTreeMap<InstanceId, (Incarnation, Now)>,
    /// Every known sidecar incarnation, and when it was found to be over.
    sidecar_incarnations: BTreeMap<(InstanceId, Incarnation), Option<Now>>,
    /// Since when each fenced grant has been waiting to be closed.
    fenced_since: BTreeMap<GrantId, Now>,
    /// When each grant was opened.
    opened: BTreeMap<GrantId, Now>,
    closing: BTreeMap<InstanceId, (Incarnation, GrantClosing)>,
    top_ups: u64,
}

impl SimulatedLedger {
    pub fn new(initial_credit: Tokens) -> Self {
        let mut ledger = Self {
            state: State::default(),
            index: 0,
            last_heartbeats: BTreeMap::new(),
            sidecar_incarnations: BTreeMap::new(),
            fenced_since: BTreeMap::new(),
            opened: BTreeMap::new(),
            closing: BTreeMap::new(),
            top_ups: 0,
        };
        ledger.put("organisations/paper", "");
        for budget in ["mombasa", "nairobi"] {
            ledger.put(&format!("budgets/{budget}"), "organisation = \"paper\"");
            ledger.top_up(budget, initial_credit, Now::ZERO);
        }
        ledger
    }

    pub fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        self.state.apply(self.index, 1, command)
    }

    fn put(&mut self, path: &str, text: &str) {
        let change = Change {
            id: change_id(wall_clock(Now::ZERO), path),
            operator: "wanjiru".into(),
            path: TreePath::try_from(path).expect("a path"),
            expected: 0,
            edit: Edit::Put(text.into()),
            at: wall_clock(Now::ZERO),
        };
        let answer = self.apply(&Command::Change(change));
        assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    }

    fn top_up(&mut self, budget: &str, amount: Tokens, now: Now) -> TopUp {
        self.top_ups += 1;
        let top_up = TopUp {
            id: change_id(wall_clock(now), &format!("top-{}", self.top_ups)),
            operator: "wanjiru".into(),
            budget: budget.into(),
            amount,
            at: wall_clock(now),
        };
        self.apply(&Command::TopUp(top_up.clone()));
        top_up
    }

    /// Repeats a top-up, as an operator does whose answer was lost; it must be credited once.
    pub fn repeat_top_up(&mut self, now: Now) {
        let before = self.state.budget("mombasa").map_or(0, |b| b.credited);
        let sent = self.top_up("mombasa", 1_000, now);
        self.apply(&Command::TopUp(sent));
        let after = self.state.budget("mombasa").map_or(0, |b| b.credited);
        assert_eq!(after, before + 1_000, "credited twice");
    }

    /// Charged and credited tokens by budget.
    pub fn budget_totals(&self) -> BTreeMap<BudgetId, (Tokens, Tokens)> {
        let budgets = self.state.budgets(None);
        budgets
            .map(|(id, b)| (id.clone(), (b.billed, b.credited)))
            .collect()
    }

    /// The operator writes off grants that no evidence has closed for `delay`.
    pub fn write_off(&mut self, now: Now, delay: Duration) -> Vec<GrantId> {
        for grant in self.state.fenced_grants() {
            self.fenced_since.entry(grant.id).or_insert(now);
        }
        let fenced: BTreeSet<_> = self.state.fenced_grants().map(|grant| grant.id).collect();
        self.fenced_since.retain(|grant, _| fenced.contains(grant));
        let due = self.fenced_since.iter();
        let due = due.filter(|(_, since)| now >= **since + delay);
        let overdue: Vec<_> = due.map(|(grant, _)| *grant).collect();
        for grant in overdue.iter().copied() {
            self.apply(&Command::WriteOff(WriteOff {
                id: change_id(wall_clock(now), &format!("off-{grant}")),
                operator: "wanjiru".into(),
                grant,
                bill: 0,
                at: wall_clock(now),
            }));
        }
        overdue
    }

    fn lost_instances(&self, now: Now) -> Vec<(InstanceId, Incarnation)> {
        let late = self
            .last_heartbeats
            .iter()
            .filter(|(_, (_, since))| now > *since + LOSS_TIMEOUT);
        late.map(|(id, (incarnation, _))| (id.clone(), *incarnation))
            .collect()
    }

    fn end_older_incarnations(&mut self, id: &InstanceId, incarnation: Incarnation, now: Now) {
        for ((other, older), ended_at) in &mut self.sidecar_incarnations {
            if other == id && *older < incarnation {
                ended_at.get_or_insert(now);
            }
        }
    }

    /// Begins to close the grants of newly fenced routers.
    fn begin_closing(&mut self) {
        for (router, incarnation) in self.state.fenced().clone() {
            let closing_incarnation = self
                .closing
                .get(&router)
                .map(|(closing_incarnation, _)| *closing_incarnation);
            if closing_incarnation != Some(incarnation) {
                let grants = self.state.grants_of(&router);
                let since = grants.filter_map(|g| self.opened.get(&g.id)).min();
                let since = since.copied().unwrap_or(Now::MAX);
                // An incarnation that ended before the oldest open grant was opened charged nothing to it.
                let incarnations = self.sidecar_incarnations.iter();
                let incarnations = incarnations
                    .filter(|(_, ended_at)| ended_at.is_none_or(|ended_at| ended_at >= since));
                let closing =
                    GrantClosing::new(incarnations.map(|(incarnation, _)| incarnation.clone()));
                self.closing.insert(router, (incarnation, closing));
            }
        }
    }
}

pub fn wall_clock(now: Now) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000) + now
}

impl World {
    pub fn send_to_ledger(&mut self, msg: LedgerMessage) {
        let pause = self.latency();
        if self.chance(2.0) {
            let delay = self.random_duration(Duration::from_millis(5), Duration::from_secs(4));
            self.schedule_after(delay, SimEvent::LedgerMessage(msg.clone()));
            self.count("messages duplicated");
        }
        if self.chance(2.0) {
            self.count("messages lost");
            return;
        }
        self.schedule_after(pause, SimEvent::LedgerMessage(msg));
    }

    pub fn handle_ledger_message(&mut self, msg: LedgerMessage) {
        if self.net.is_partitioned(self.now, &msg.from, "ledger") {
            return;
        }
        let answer = match msg.body {
            LedgerRequest::Batch(batch) => {
                match self.ledger.apply(&Command::GrantBatch(batch.clone())) {
                    Answer::Grants(answer) => {
                        for report in &batch.reports {
                            self.trace(|| format!("grant {} reported {report:?}", report.grant));
                            self.truth.record_report(report.grant, report.settled);
                        }
                        for grant in &answer.opened {
                            let now = self.now;
                            self.ledger.opened.entry(grant.id).or_insert(now);
                        }
                        RouterMessage::Grants(answer)
                    }
                    Answer::Denied(denial) => RouterMessage::Denied(denial),
                    other => unreachable!("{other:?}"),
                }
            }
            LedgerRequest::Claim(exchange, mut claim) => {
                claim.at = wall_clock(self.now);
                match self.ledger.apply(&Command::Claim(claim)) {
                    Answer::Claimed(record) => RouterMessage::Claimed(exchange, Box::new(record)),
                    other => unreachable!("{other:?}"),
                }
            }
            LedgerRequest::Settle(settle) => {
                self.ledger.apply(&Command::SettleClaim(settle));
                return;
            }
            LedgerRequest::Heartbeat(instance, evidence) => {
                return self.handle_heartbeat(msg.slot, &instance, &evidence);
            }
        };
        if self.net.is_partitioned(self.now, &msg.from, "ledger") || self.chance(2.0) {
            return self.count("answers lost");
        }
        let pause = self.latency();
        self.schedule_after(
            pause,
            SimEvent::RouterMessage(msg.slot, msg.incarnation, answer),
        );
    }

    fn handle_heartbeat(&mut self, slot: usize, instance: &Instance, evidence: &[ChargeEvidence]) {
        let (id, incarnation) = (instance.id.clone(), instance.incarnation);
        let join_answer = self.ledger.apply(&Command::Join(Join {
            instance: instance.clone(),
        }));
        if instance.role == Role::Sidecar {
            self.ledger
                .sidecar_incarnations
                .entry((id.clone(), incarnation))
                .or_default();
            self.ledger
                .end_older_incarnations(&id, incarnation, self.now);
        }
        if join_answer == Answer::Done {
            self.ledger
                .last_heartbeats
                .insert(id.clone(), (incarnation, self.now));
        }
        self.ledger.begin_closing();
        match instance.role {
            // An incarnation that was declared lost is no longer accepted: what it ran may have run
            // again elsewhere. Its process starts a new incarnation.
            Role::Sidecar if join_answer != Answer::Done => {
                self.sidecar_declared_lost(slot, incarnation);
            }
            Role::Sidecar => self.handle_sidecar_heartbeat(slot, &(id, incarnation), evidence),
            _ => self.handle_router_heartbeat(slot, incarnation, join_answer == Answer::Done),
        }
    }

    fn handle_sidecar_heartbeat(
        &mut self,
        slot: usize,
        sidecar: &(InstanceId, Incarnation),
        evidence: &[ChargeEvidence],
    ) {
        let mut accepted = Vec::new();
        for entry in evidence {
            let mut grants = self.ledger.state.grants_of(&entry.router);
            if !grants.any(|g| g.state == GrantState::Fenced && g.incarnation <= entry.incarnation)
            {
                accepted.push((entry.router.clone(), entry.incarnation));
                continue;
            }
            let closing = self.ledger.closing.get_mut(&entry.router);
            if let Some((_, closing)) =
                closing.filter(|(incarnation, _)| *incarnation == entry.incarnation)
            {
                closing.record_evidence(sidecar, entry);
            }
        }
        let fenced = self.ledger.state.fenced().clone();
        let incarnation = sidecar.1;
        let pause = self.latency();
        self.schedule_after(pause, SimEvent::FencedRouters(slot, incarnation, fenced));
        self.schedule_after(
            pause,
            SimEvent::EvidenceAccepted(slot, incarnation, accepted),
        );
        self.close_by_evidence();
    }

    fn handle_router_heartbeat(&mut self, slot: usize, incarnation: Incarnation, accepted: bool) {
        let members = self.ledger.state.members().clone();
        let pause = self.latency();
        let message = RouterMessage::Members(members, accepted);
        self.schedule_after(pause, SimEvent::RouterMessage(slot, incarnation, message));
    }

    fn close_by_evidence(&mut self) {
        let fenced: Vec<_> = self.ledger.state.fenced_grants().cloned().collect();
        for grant in fenced {
            let Some((_, closing)) = self.ledger.closing.get(&grant.router) else {
                continue;
            };
            let Some(charged) = closing.charged(grant.id) else {
                continue;
            };
            let keys: Vec<_> = closing.charges_by_key(grant.id).collect();
            let closed = self.ledger.apply(&Command::CloseGrant {
                grant: grant.id,
                charged,
            });
            if matches!(closed, Answer::Denied(_)) {
                self.truth.record_violation(format!(
                    "closing grant {} by evidence failed: {closed:?}",
                    grant.id
                ));
            }
            self.trace(|| format!("grant {} closed by evidence at {charged}", grant.id));
            for (key, tokens) in keys {
                self.truth.record_charge(&key, grant.id, tokens);
            }
            self.count("grants closed by evidence");
        }
    }

    pub fn ledger_tick(&mut self) {
        self.schedule_after(Duration::from_secs(1), SimEvent::LedgerTick);
        for (id, incarnation) in self.ledger.lost_instances(self.now) {
            let lost_sidecar = id.strip_prefix('s').and_then(|slot| slot.parse().ok());
            self.ledger.last_heartbeats.remove(&id);
            let now = self.now;
            if let Some(ended_at) = self
                .ledger
                .sidecar_incarnations
                .get_mut(&(id.clone(), incarnation))
            {
                ended_at.get_or_insert(now);
            }
            self.ledger.apply(&Command::SetPresence(SetPresence {
                id,
                incarnation,
                presence: Presence::Gone,
            }));
            self.count("declared lost");
            if let Some(slot) = lost_sidecar {
                self.truth.lost_incarnations.insert((slot, incarnation));
            }
        }
        self.ledger.begin_closing();
        self.write_off(WRITE_OFF_DELAY);
    }

    pub fn write_off(&mut self, delay: Duration) {
        for grant in self.ledger.write_off(self.now, delay) {
            let keys = self.truth.keys_by_grant.remove(&grant).unwrap_or_default();
            self.trace(|| format!("grant {grant} written off"));
            self.truth.written_off_grants.insert(grant);
            self.truth.written_off_keys.extend(keys);
            self.count("grants written off");
        }
    }
}
