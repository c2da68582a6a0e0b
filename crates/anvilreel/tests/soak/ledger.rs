//! The ledger: the real state, and a service around it that notices lost instances and closes
//! their grants by evidence.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::state::State;
use anvil_wire::msg::ChargeEvidence;
use anvil_world::command::{
    Change, Claim, Edit, GrantBatch, Join, SetPresence, SettleClaim, TopUp, WriteOff, change_id,
};
use anvil_world::prelude::*;
use anvilreel::money::GrantClosing;

use super::routers::FromLedger;
use super::{Happening, World};

/// Heartbeats missed for so long mean that an instance is lost.
const LOST_AFTER: Duration = Duration::from_secs(8);

/// An operator writes off what has waited for so long.
const OPERATOR: Duration = Duration::from_secs(40);

/// A message to the ledger, with who sent it.
#[derive(Debug, Clone)]
pub struct ToLedger {
    pub from: String,
    pub slot: usize,
    pub life: Incarnation,
    pub what: Asked,
}

#[derive(Debug, Clone)]
pub enum Asked {
    Batch(GrantBatch),
    Claim(u64, Claim),
    Settle(SettleClaim),
    Alive(Box<Instance>, Vec<ChargeEvidence>),
}

pub struct LedgerNode {
    pub state: State,
    index: LogIndex,
    heard: BTreeMap<InstanceId, (Incarnation, Now)>,
    /// Every life of a sidecar that was ever heard of, and when it was found to be over.
    sidecar_lives: BTreeMap<(InstanceId, Incarnation), Option<Now>>,
    /// Since when fenced grants have waited.
    held_since: BTreeMap<GrantId, Now>,
    /// When each grant was opened.
    opened: BTreeMap<GrantId, Now>,
    closing: BTreeMap<InstanceId, (Incarnation, GrantClosing)>,
    top_ups: u64,
}

impl LedgerNode {
    pub fn new(credit: Tokens) -> Self {
        let mut node = Self {
            state: State::default(),
            index: 0,
            heard: BTreeMap::new(),
            sidecar_lives: BTreeMap::new(),
            held_since: BTreeMap::new(),
            opened: BTreeMap::new(),
            closing: BTreeMap::new(),
            top_ups: 0,
        };
        node.put("organisations/paper", "");
        for budget in ["mombasa", "nairobi"] {
            node.put(&format!("budgets/{budget}"), "organisation = \"paper\"");
            node.top_up(budget, credit, Now::ZERO);
        }
        node
    }

    pub fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        self.state.apply(self.index, 1, command)
    }

    fn put(&mut self, path: &str, text: &str) {
        let change = Change {
            id: change_id(at(Now::ZERO), path),
            operator: "wanjiru".into(),
            path: TreePath::try_from(path).expect("a path"),
            expected: 0,
            edit: Edit::Put(text.into()),
            at: at(Now::ZERO),
        };
        let answer = self.apply(&Command::Change(change));
        assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    }

    fn top_up(&mut self, budget: &str, amount: Tokens, now: Now) -> TopUp {
        self.top_ups += 1;
        let top_up = TopUp {
            id: change_id(at(now), &format!("top-{}", self.top_ups)),
            operator: "wanjiru".into(),
            budget: budget.into(),
            amount,
            at: at(now),
        };
        self.apply(&Command::TopUp(top_up.clone()));
        top_up
    }

    /// A top-up whose answer was lost is sent again; it must credit once.
    pub fn top_up_twice(&mut self, now: Now) {
        let before = self.state.budget("mombasa").map_or(0, |b| b.credited);
        let sent = self.top_up("mombasa", 1_000, now);
        self.apply(&Command::TopUp(sent));
        let after = self.state.budget("mombasa").map_or(0, |b| b.credited);
        assert_eq!(after, before + 1_000, "credited twice");
    }

    /// By budget: billed and credited.
    pub fn billed(&self) -> BTreeMap<BudgetId, (Tokens, Tokens)> {
        let budgets = self.state.budgets(None);
        budgets
            .map(|(id, b)| (id.clone(), (b.billed, b.credited)))
            .collect()
    }

    /// The operator gives up what no evidence has closed for so long.
    pub fn write_off(&mut self, now: Now, patience: Duration) -> Vec<GrantId> {
        for grant in self.state.fenced_grants() {
            self.held_since.entry(grant.id).or_insert(now);
        }
        let fenced: BTreeSet<_> = self.state.fenced_grants().map(|grant| grant.id).collect();
        self.held_since.retain(|grant, _| fenced.contains(grant));
        let long = self.held_since.iter();
        let long = long.filter(|(_, since)| now >= **since + patience);
        let left: Vec<_> = long.map(|(grant, _)| *grant).collect();
        for grant in left.iter().copied() {
            self.apply(&Command::WriteOff(WriteOff {
                id: change_id(at(now), &format!("off-{grant}")),
                operator: "wanjiru".into(),
                grant,
                bill: 0,
                at: at(now),
            }));
        }
        left
    }

    fn lost(&self, now: Now) -> Vec<(InstanceId, Incarnation)> {
        let late = self
            .heard
            .iter()
            .filter(|(_, (_, at))| now > *at + LOST_AFTER);
        late.map(|(id, (life, _))| (id.clone(), *life)).collect()
    }

    fn older_are_over(&mut self, id: &InstanceId, life: Incarnation, now: Now) {
        for ((other, older), over) in &mut self.sidecar_lives {
            if other == id && *older < life {
                over.get_or_insert(now);
            }
        }
    }

    /// Begins the closing of newly fenced routers.
    fn begin_closing(&mut self) {
        for (router, life) in self.state.fenced().clone() {
            let known = self.closing.get(&router).map(|(known, _)| *known);
            if known != Some(life) {
                let grants = self.state.grants_of(&router);
                let since = grants.filter_map(|g| self.opened.get(&g.id)).min();
                let since = since.copied().unwrap_or(Now::MAX);
                // A life that was over before the oldest open grant charged nothing under it.
                let lives = self.sidecar_lives.iter();
                let lives = lives.filter(|(_, over)| over.is_none_or(|over| over >= since));
                let closing = GrantClosing::new(lives.map(|(life, _)| life.clone()));
                self.closing.insert(router, (life, closing));
            }
        }
    }
}

pub fn at(now: Now) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000) + now
}

impl World {
    pub fn send_ledger(&mut self, msg: ToLedger) {
        let pause = self.latency();
        if self.chance(2.0) {
            let late = self.between(Duration::from_millis(5), Duration::from_secs(4));
            self.after(late, Happening::ToLedger(msg.clone()));
            self.count("messages doubled");
        }
        if self.chance(2.0) {
            self.count("messages lost");
            return;
        }
        self.after(pause, Happening::ToLedger(msg));
    }

    pub fn ledger_hears(&mut self, msg: ToLedger) {
        if self.net.is_cut(self.now, &msg.from, "ledger") {
            return;
        }
        let answer = match msg.what {
            Asked::Batch(batch) => match self.ledger.apply(&Command::GrantBatch(batch.clone())) {
                Answer::Grants(answer) => {
                    for report in &batch.reports {
                        self.trace(|| format!("grant {} reported {report:?}", report.grant));
                        self.truth.report(report.grant, report.settled);
                    }
                    for grant in &answer.opened {
                        let now = self.now;
                        self.ledger.opened.entry(grant.id).or_insert(now);
                    }
                    FromLedger::Grants(answer)
                }
                Answer::Denied(denial) => FromLedger::Denied(denial),
                other => unreachable!("{other:?}"),
            },
            Asked::Claim(exchange, mut claim) => {
                claim.at = at(self.now);
                match self.ledger.apply(&Command::Claim(claim)) {
                    Answer::Claimed(record) => FromLedger::Claimed(exchange, Box::new(record)),
                    other => unreachable!("{other:?}"),
                }
            }
            Asked::Settle(settle) => {
                self.ledger.apply(&Command::SettleClaim(settle));
                return;
            }
            Asked::Alive(instance, evidence) => {
                return self.alive(msg.slot, &instance, &evidence);
            }
        };
        if self.net.is_cut(self.now, &msg.from, "ledger") || self.chance(2.0) {
            return self.count("answers lost");
        }
        let pause = self.latency();
        self.after(pause, Happening::ToRouter(msg.slot, msg.life, answer));
    }

    fn alive(&mut self, slot: usize, instance: &Instance, evidence: &[ChargeEvidence]) {
        let (id, life) = (instance.id.clone(), instance.incarnation);
        let joined = self.ledger.apply(&Command::Join(Join {
            instance: instance.clone(),
        }));
        if instance.role == Role::Sidecar {
            self.ledger
                .sidecar_lives
                .entry((id.clone(), life))
                .or_default();
            self.ledger.older_are_over(&id, life, self.now);
        }
        if joined == Answer::Done {
            self.ledger.heard.insert(id.clone(), (life, self.now));
        }
        self.ledger.begin_closing();
        match instance.role {
            // A life that was declared lost is not believed any more: what it ran may have been
            // run again elsewhere. Its process begins a new one.
            Role::Sidecar if joined != Answer::Done => self.sidecar_is_gone(slot, life),
            Role::Sidecar => self.hear_sidecar(slot, &(id, life), evidence),
            _ => self.hear_router(slot, life, joined == Answer::Done),
        }
    }

    fn hear_sidecar(
        &mut self,
        slot: usize,
        who: &(InstanceId, Incarnation),
        evidence: &[ChargeEvidence],
    ) {
        let mut taken = Vec::new();
        for found in evidence {
            let mut grants = self.ledger.state.grants_of(&found.router);
            if !grants.any(|g| g.state == GrantState::Fenced && g.incarnation <= found.incarnation)
            {
                taken.push((found.router.clone(), found.incarnation));
                continue;
            }
            let closing = self.ledger.closing.get_mut(&found.router);
            if let Some((_, closing)) = closing.filter(|(life, _)| *life == found.incarnation) {
                closing.record_evidence(who, found);
            }
        }
        let fenced = self.ledger.state.fenced().clone();
        let life = who.1;
        let pause = self.latency();
        self.after(pause, Happening::SidecarFenced(slot, life, fenced));
        self.after(pause, Happening::EvidenceTaken(slot, life, taken));
        self.close_by_evidence();
    }

    fn hear_router(&mut self, slot: usize, life: Incarnation, accepted: bool) {
        let members = self.ledger.state.members().clone();
        let pause = self.latency();
        let news = FromLedger::Members(members, accepted);
        self.after(pause, Happening::ToRouter(slot, life, news));
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
                self.truth
                    .violate(format!("close of {}: {closed:?}", grant.id));
            }
            self.trace(|| format!("grant {} closed by evidence at {charged}", grant.id));
            for (key, tokens) in keys {
                self.truth.bill(&key, grant.id, tokens);
            }
            self.count("grants closed by evidence");
        }
    }

    pub fn ledger_tick(&mut self) {
        self.after(Duration::from_secs(1), Happening::LedgerTick);
        for (id, incarnation) in self.ledger.lost(self.now) {
            let lost_sidecar = id.strip_prefix('s').and_then(|slot| slot.parse().ok());
            self.ledger.heard.remove(&id);
            let now = self.now;
            if let Some(over) = self
                .ledger
                .sidecar_lives
                .get_mut(&(id.clone(), incarnation))
            {
                over.get_or_insert(now);
            }
            self.ledger.apply(&Command::SetPresence(SetPresence {
                id,
                incarnation,
                presence: Presence::Gone,
            }));
            self.count("declared lost");
            if let Some(slot) = lost_sidecar {
                self.truth.lost_lives.insert((slot, incarnation));
            }
        }
        self.ledger.begin_closing();
        self.write_off(OPERATOR);
    }

    pub fn write_off(&mut self, patience: Duration) {
        for grant in self.ledger.write_off(self.now, patience) {
            let keys = self.truth.under.remove(&grant).unwrap_or_default();
            self.trace(|| format!("grant {grant} written off"));
            self.truth.given_up.insert(grant);
            self.truth.written_off.extend(keys);
            self.count("grants written off");
        }
    }
}
