//! Evidence about fenced routers' grants, collected by the leader.
//!
//! When a router is lost with open grants, their unspent rest is unavailable to the others. It is
//! returned only by evidence: every sidecar incarnation that may have charged the grant has
//! reported, after the fence was in force there, what it charged. A new leader starts without
//! evidence; sidecars send theirs again until the closing of the grant is committed.

use std::collections::{BTreeMap, BTreeSet};

use anvil_ledger::machine::Machine;
use anvil_wire::msg::{ChargeEvidence, Heartbeat};
use anvil_world::prelude::*;

use crate::money::GrantClosing;

/// An incarnation of a sidecar.
type SidecarIncarnation = (InstanceId, Incarnation);
/// A fenced router, up to and including this incarnation.
type FencedRouter = (InstanceId, Incarnation);

/// A fenced grant that can't be closed, because a lost sidecar may have charged it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldGrant {
    /// The grant.
    pub grant: GrantId,
    /// A sidecar of which an incarnation was lost.
    pub lost_sidecar: InstanceId,
}

/// Result of evaluating the fenced grants.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Commands that close grants, to be proposed.
    pub close: Vec<Command>,
    /// Grants that only an operator can write off; each is reported once.
    pub held: Vec<HeldGrant>,
}

/// Evidence received since the election.
#[derive(Debug, Clone, Default)]
pub struct GrantEvidence {
    by_router: BTreeMap<FencedRouter, BTreeMap<SidecarIncarnation, ChargeEvidence>>,
    reported: BTreeSet<GrantId>,
}

impl GrantEvidence {
    /// Records a sidecar's evidence. Returns the routers whose fenced grants are all closed by
    /// committed entries: the sidecar need not send evidence about them again.
    pub fn record(&mut self, heartbeat: &Heartbeat, machine: &Machine) -> Vec<FencedRouter> {
        let sidecar = &heartbeat.instance;
        let mut settled_routers = Vec::new();
        for evidence in &heartbeat.evidence {
            let fenced = (evidence.router.clone(), evidence.incarnation);
            if !has_fenced_grants(machine, &fenced) {
                settled_routers.push(fenced);
                continue;
            }
            let by_sidecar = self.by_router.entry(fenced).or_default();
            let sidecar_incarnation = (sidecar.id.clone(), sidecar.incarnation);
            by_sidecar.insert(sidecar_incarnation, evidence.clone());
        }
        settled_routers
    }

    /// Whether there is evidence about grants that are not closed yet.
    pub fn has_open_evidence(&self) -> bool {
        !self.by_router.is_empty()
    }

    /// Determines which fenced grants can be closed.
    pub fn evaluate(&mut self, machine: &Machine) -> Findings {
        let mut findings = Findings::default();
        let fenced: Vec<&Grant> = machine.state.fenced_grants().collect();
        self.discard_closed(&fenced, machine);
        // The evidence about a router is collected once, however many grants it had.
        let mut closings: BTreeMap<&InstanceId, GrantClosing> = BTreeMap::new();
        for grant in fenced {
            if self.is_held(grant, machine, &mut findings) {
                continue;
            }
            let closing = closings.entry(&grant.router);
            let closing = closing.or_insert_with(|| self.closing(&grant.router, machine));
            if let Some(charged) = closing.charged(grant.id) {
                findings.close.push(Command::CloseGrant {
                    grant: grant.id,
                    // The router may itself have reported a greater charge: a sidecar forgets
                    // charges that the router has reported.
                    charged: charged.max(grant.settled),
                });
            }
        }
        findings
    }

    /// Whether a lost sidecar may have charged the grant.
    fn is_held(&mut self, grant: &Grant, machine: &Machine, findings: &mut Findings) -> bool {
        let Some(lost) = machine.lost_incarnations.may_have_charged(grant.id).next() else {
            return false;
        };
        if self.reported.insert(grant.id) {
            findings.held.push(HeldGrant {
                grant: grant.id,
                lost_sidecar: lost.clone(),
            });
        }
        true
    }

    fn closing(&self, router: &InstanceId, machine: &Machine) -> GrantClosing {
        let mut closing = GrantClosing::new(reachable_sidecars(machine));
        let upto = machine.state.fenced().get(router).copied();
        let fenced = (router.clone(), upto.unwrap_or_default());
        let evidence = self.by_router.get(&fenced);
        for (sidecar_incarnation, evidence) in evidence.into_iter().flatten() {
            closing.record_evidence(sidecar_incarnation, evidence);
        }
        closing
    }

    fn discard_closed(&mut self, fenced: &[&Grant], machine: &Machine) {
        let open: BTreeSet<GrantId> = fenced.iter().map(|grant| grant.id).collect();
        self.reported.retain(|grant| open.contains(grant));
        self.by_router
            .retain(|fenced, _| has_fenced_grants(machine, fenced));
    }
}

fn has_fenced_grants(machine: &Machine, (router, upto): &FencedRouter) -> bool {
    let mut grants = machine.state.grants_of(router);
    grants.any(|grant| grant.state == GrantState::Fenced && grant.incarnation <= *upto)
}

/// Sidecar incarnations that can still report. Lost ones are in
/// [`anvil_ledger::lost_incarnations`].
fn reachable_sidecars(machine: &Machine) -> impl Iterator<Item = SidecarIncarnation> {
    let members = machine.state.members().values();
    let sidecars = members.filter(|m| m.instance.role == Role::Sidecar);
    let reachable = sidecars.filter(|m| m.presence != Presence::Gone);
    reachable.map(|m| (m.instance.id.clone(), m.instance.incarnation))
}
