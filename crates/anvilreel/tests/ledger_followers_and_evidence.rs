//! Events sent to followers, and closing of fenced grants, without a network.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use anvil_ledger::core::{Entry, EntryId, Payload};
use anvil_ledger::machine::{Machine, encode};
use anvil_wire::msg::{ChargeEvidence, FollowEvent, FollowScope, Heartbeat, KeyCharge};
use anvil_world::command::{
    Change, ClearSuspects, Edit, FenceRouter, GrantBatch, GrantRequest, Join, ReportCrash,
    ReportLimit, SetPresence, SetShare, TopUp, change_id,
};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use anvilreel::ledger_service::follow::Follower;
use anvilreel::ledger_service::grant_evidence::{Findings, GrantEvidence};
use anvilreel::ledger_view::LedgerView;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// A state machine to which commands are applied one by one.
#[derive(Default)]
struct Ledger {
    machine: Machine,
    index: LogIndex,
}

impl Ledger {
    fn apply(&mut self, command: &Command) -> Result<Answer, Failure> {
        self.index += 1;
        let id = EntryId {
            term: 1,
            index: self.index,
        };
        let payload = Payload::Data(encode(command)?);
        Ok(self.machine.apply(&Entry { id, payload })?)
    }

    fn put(&mut self, path: &str, expected: Revision, text: &str) -> Result<Answer, Failure> {
        self.apply(&Command::Change(Change {
            id: change_id(now(), &format!("{path}-{}", self.index)),
            operator: "test".into(),
            path: TreePath::try_from(path)?,
            expected,
            edit: Edit::Put(text.into()),
            at: now(),
        }))
    }

    fn join(&mut self, instance: Instance) -> Result<Answer, Failure> {
        self.apply(&Command::Join(Join { instance }))
    }

    /// A ledger with a budget of 1,000 tokens, two sidecars, and a fenced router with a grant.
    fn with_fenced_grant() -> Result<(Self, Grant), Failure> {
        let mut ledger = Self::default();
        ledger.put("organisations/coop", 0, "")?;
        ledger.put("budgets/nairobi", 0, "organisation = \"coop\"\n")?;
        ledger.apply(&Command::TopUp(TopUp {
            id: change_id(now(), "first"),
            operator: "test".into(),
            budget: "nairobi".into(),
            amount: 1_000,
            at: now(),
        }))?;
        for (id, role) in [
            ("router-1", Role::Router),
            ("sidecar-1", Role::Sidecar),
            ("sidecar-2", Role::Sidecar),
        ] {
            ledger.join(instance(id, role, 1))?;
        }
        let granted = ledger.apply(&Command::GrantBatch(GrantBatch {
            router: "router-1".into(),
            incarnation: 1,
            seq: 1,
            reports: Vec::new(),
            asks: vec![GrantRequest {
                budget: "nairobi".into(),
                wanted: 200,
                least: 200,
            }],
        }))?;
        let Answer::Grants(granted) = granted else {
            return Err(format!("{granted:?}").into());
        };
        let grant = granted.opened.first().cloned().ok_or("no grant")?;
        ledger.apply(&Command::FenceRouter(FenceRouter {
            router: "router-1".into(),
            incarnation: 1,
        }))?;
        Ok((ledger, grant))
    }
}

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(500_000)
}

fn instance(id: &str, role: Role, incarnation: Incarnation) -> Instance {
    Instance {
        id: id.into(),
        incarnation,
        role,
        zone: Zone::default(),
        addr: ([127, 0, 0, 1], 1).into(),
        endpoint: None,
    }
}

/// A sidecar's heartbeat with evidence, optionally with one charge.
fn evidence_heartbeat(
    sidecar: &str,
    incarnation: Incarnation,
    charge: Option<(GrantId, Tokens)>,
) -> Heartbeat {
    let charges = charge.map(|(grant, charged)| KeyCharge {
        grant,
        key: RequestKey {
            team: "team".into(),
            id: sidecar.into(),
        },
        attempt: 0,
        charged,
    });
    Heartbeat {
        instance: instance(sidecar, Role::Sidecar, incarnation),
        version: 0,
        evidence: vec![ChargeEvidence {
            router: "router-1".into(),
            incarnation: 1,
            charges: charges.into_iter().collect(),
        }],
        leaving: false,
    }
}

/// Guards against a lost router's grant that is closed too early or with the wrong charge. Its rest
/// returns to the budget only when every sidecar has reported its charges; exactly their sum is
/// charged, and a sidecar may discard its evidence only after the closing is committed.
#[test]
fn a_fenced_grant_closes_only_when_all_sidecars_have_reported() -> Result<(), Failure> {
    let (mut ledger, grant) = Ledger::with_fenced_grant()?;
    let mut evidence = GrantEvidence::default();
    let first = evidence_heartbeat("sidecar-1", 1, Some((grant.id, 30)));
    assert!(evidence.record(&first, &ledger.machine).is_empty());
    assert_eq!(evidence.evaluate(&ledger.machine), Findings::default());
    let second = evidence_heartbeat("sidecar-2", 1, Some((grant.id, 12)));
    evidence.record(&second, &ledger.machine);
    let findings = evidence.evaluate(&ledger.machine);
    let close = Command::CloseGrant {
        grant: grant.id,
        charged: 42,
    };
    assert_eq!(findings.close, std::slice::from_ref(&close));
    ledger.apply(&close)?;
    let settled_routers = evidence.record(&first, &ledger.machine);
    assert_eq!(settled_routers, [("router-1".into(), 1)]);
    let budget = ledger.machine.state.budget("nairobi").ok_or("no budget")?;
    assert_eq!((budget.billed, budget.left()), (42, 958));
    Ok(())
}

/// Guards against tokens that are granted twice when a router and a sidecar are lost together and
/// the sidecar's new incarnation knows nothing of earlier runs. The grant stays outstanding,
/// because the lost incarnation may have charged it, and is reported once for an operator.
#[test]
fn a_lost_sidecar_incarnation_keeps_the_grant_outstanding() -> Result<(), Failure> {
    let (mut ledger, grant) = Ledger::with_fenced_grant()?;
    ledger.join(instance("sidecar-2", Role::Sidecar, 2))?;
    let mut evidence = GrantEvidence::default();
    evidence.record(&evidence_heartbeat("sidecar-1", 1, None), &ledger.machine);
    evidence.record(&evidence_heartbeat("sidecar-2", 2, None), &ledger.machine);
    let findings = evidence.evaluate(&ledger.machine);
    assert!(findings.close.is_empty());
    assert_eq!(findings.held.len(), 1);
    assert_eq!(findings.held[0].grant, grant.id);
    assert_eq!(evidence.evaluate(&ledger.machine), Findings::default());
    let budget = ledger.machine.state.budget("nairobi").ok_or("no budget")?;
    assert_eq!(budget.left(), 800);
    Ok(())
}

/// As above for a sidecar that is cut off, declared gone and may still be running; also at a leader
/// that was elected since.
#[test]
fn a_sidecar_declared_gone_keeps_the_grant_outstanding() -> Result<(), Failure> {
    let (mut ledger, _) = Ledger::with_fenced_grant()?;
    ledger.apply(&Command::SetPresence(SetPresence {
        id: "sidecar-2".into(),
        incarnation: 1,
        presence: Presence::Gone,
    }))?;
    let saved = ledger.machine.save()?;
    let machine = Machine::restore(&saved)?;
    let mut evidence = GrantEvidence::default();
    evidence.record(&evidence_heartbeat("sidecar-1", 1, None), &machine);
    let findings = evidence.evaluate(&machine);
    assert!(findings.close.is_empty());
    assert_eq!(findings.held.len(), 1);
    Ok(())
}

fn follower(interest: FollowScope, version: LogIndex) -> Follower {
    Follower {
        instance: "sidecar-1".into(),
        interest,
        version,
    }
}

/// Guards against accepted changes that are reverted at a follower. A follower that moves to a
/// replica that lags behind it receives nothing until that replica has caught up.
#[test]
fn a_lagging_replica_sends_no_older_version() -> Result<(), Failure> {
    let mut ledger = Ledger::default();
    ledger.put("organisations/coop", 0, "weight = 1\n")?;
    let ahead = follower(FollowScope::Router, 2);
    assert_eq!(ahead.catch_up(&ledger.machine), None);
    ledger.put("organisations/union", 0, "weight = 1\n")?;
    assert_eq!(ahead.catch_up(&ledger.machine), None);
    ledger.put("fleet", 0, "")?;
    let event = ahead.catch_up(&ledger.machine);
    let Some(FollowEvent::Delta {
        version: 3, tree, ..
    }) = event
    else {
        return Err(format!("{event:?}").into());
    };
    assert_eq!(tree.len(), 1);
    Ok(())
}

/// Guards against sidecars that receive other teams' documents: a sidecar receives the fleet's
/// document, its own presence and the fences.
#[test]
fn a_sidecar_receives_only_what_it_needs() -> Result<(), Failure> {
    let (mut ledger, _) = Ledger::with_fenced_grant()?;
    ledger.put("fleet", 0, "")?;
    let event = follower(FollowScope::Sidecar, 0).catch_up(&ledger.machine);
    let Some(FollowEvent::Full {
        tree,
        members,
        fenced,
        ..
    }) = event
    else {
        return Err(format!("{event:?}").into());
    };
    assert_eq!(tree.keys().collect::<Vec<_>>(), [&TreePath::Fleet]);
    let names: BTreeSet<_> = members.keys().map(|id| &**id).collect();
    assert_eq!(names, BTreeSet::from(["sidecar-1"]));
    assert_eq!(fenced.get("router-1"), Some(&1));
    Ok(())
}

/// Guards against routers that don't learn which requests crash endpoints, or that keep one that
/// was cleared.
#[test]
fn routers_receive_suspected_requests() -> Result<(), Failure> {
    let mut ledger = Ledger::default();
    for endpoint in ["a", "b"] {
        ledger.apply(&Command::ReportCrash(ReportCrash {
            endpoint: endpoint.into(),
            contents: vec![(7, CrashedRun::BeforeOutput)],
            at: SystemTime::now(),
        }))?;
    }
    let mut ledger_view = LedgerView::default();
    let sidecar = follower(FollowScope::Sidecar, 0).catch_up(&ledger.machine);
    ledger_view.apply(sidecar.ok_or("an event")?);
    assert!(ledger_view.suspects.is_empty());
    let mut ledger_view = LedgerView::default();
    let full = follower(FollowScope::Router, 0).catch_up(&ledger.machine);
    ledger_view.apply(full.ok_or("an event")?);
    assert_eq!(ledger_view.suspects[&7].crashes.len(), 2);
    let contents = vec![7];
    ledger.apply(&Command::ClearSuspects(ClearSuspects { contents }))?;
    let delta = follower(FollowScope::Router, ledger_view.version).catch_up(&ledger.machine);
    ledger_view.apply(delta.ok_or("an event")?);
    assert!(ledger_view.suspects.is_empty());
    Ok(())
}

/// Guards against routers that don't learn an endpoint's rate limit, or that it has ended.
#[test]
fn routers_receive_endpoint_limits() -> Result<(), Failure> {
    let mut ledger = Ledger::default();
    let mut ledger_view = LedgerView::default();
    for limit in [Some(1_000), Some(500), None] {
        ledger.apply(&Command::ReportLimit(ReportLimit {
            endpoint: "a".into(),
            limit,
            at: SystemTime::now(),
        }))?;
        let event = follower(FollowScope::Router, ledger_view.version).catch_up(&ledger.machine);
        ledger_view.apply(event.ok_or("an event")?);
        assert_eq!(ledger_view.limits.get("a").map(|named| named.limit), limit);
    }
    Ok(())
}

/// Guards against routers that don't learn of an order, or that learn of it and lose it with a
/// later event.
#[test]
fn routers_receive_shares() -> Result<(), Failure> {
    let mut ledger = Ledger::default();
    let mut ledger_view = LedgerView::default();
    ledger.put("fleet", 0, "")?;
    let target = ShareTarget::Route("desk".into());
    let answer = ledger.apply(&Command::SetShare(SetShare {
        id: change_id(now(), "one"),
        operator: "wanjiru".into(),
        target: target.clone(),
        factor: "0.25".parse()?,
        before: ShareFactor::ONE,
        reason: "a sale".into(),
        at: now(),
    }))?;
    assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    for version in [0, 1] {
        let event = follower(FollowScope::Router, version).catch_up(&ledger.machine);
        ledger_view.version = version;
        assert!(ledger_view.apply(event.ok_or("no event")?));
        assert_eq!(ledger_view.shares, ledger.machine.shares);
    }
    assert_eq!(ledger_view.shares.factor(&target).to_string(), "0.25");
    // A relay of the previous build takes the shares out.
    assert!(ledger_view.apply(FollowEvent::Delta {
        version: 9,
        tree: Vec::new(),
        members: Vec::new(),
        fenced: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        shares: None,
        versions: None,
    }));
    assert_eq!(ledger_view.shares, ledger.machine.shares);
    Ok(())
}
