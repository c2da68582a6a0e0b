//! Parts of prompts under which endpoints crashed: which endpoints must not receive a prompt.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anvil_policy::blame::{self, BlamedGroup};
use anvil_world::prelude::*;

use super::pending::PendingReports;
use super::{Quarantine, ReportedSuspects, quarantine_left};
use crate::dialect::PartId;
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::prompt_part_digest::{PartScope, at_all_versions, is_part};

/// Maximum number of parts of one prompt that crashes can be blamed on.
const MAX_PARTS: usize = 64;

/// The parts that a prompt shares with others: all but the last one, which is its own.
pub fn shared_parts(parts: impl DoubleEndedIterator<Item = PartId>) -> Vec<PartId> {
    let mut shared: Vec<_> = parts.rev().skip(1).collect();
    shared.reverse();
    shared.truncate(MAX_PARTS);
    shared
}

/// Groups of parts in quarantine, each by its lowest digest.
#[derive(Debug, Default)]
pub struct QuarantinedParts(BTreeMap<ContentDigest, Vec<QuarantinedGroup>>);

/// Parts under which the endpoints of one software version crash if a prompt contains all of them.
#[derive(Debug)]
struct QuarantinedGroup {
    parts: BlamedGroup,
    /// The record of one of them.
    suspect: SuspectContent,
    reported_at: Option<Now>,
}

impl QuarantinedParts {
    /// Groups what the ledger reports and what is still to be reported.
    pub fn new(reported: &ReportedSuspects, pending: &PendingReports) -> Self {
        let now = SystemTime::now();
        let contents = reported.keys().copied().chain(pending.crashed());
        let parts: BTreeSet<_> = contents.filter(|content| is_part(*content)).collect();
        let in_quarantine = |part| {
            let reported = reported.get(&part).map(|reported| &reported.suspect);
            let suspect = pending.merged_with(reported, part)?;
            let left = quarantine_left(part, &suspect, now);
            (!left.is_zero()).then_some((part, suspect))
        };
        let suspects: BTreeMap<_, _> = parts.into_iter().filter_map(in_quarantine).collect();
        let blamed = suspects.iter().map(|(part, suspect)| (*part, suspect));
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        for parts in blame::groups(blamed) {
            let Some(lowest) = parts.first().copied() else {
                continue;
            };
            groups.entry(lowest).or_default().push(QuarantinedGroup {
                suspect: suspects[&lowest].clone(),
                reported_at: reported.get(&lowest).map(|reported| reported.learned_at),
                parts,
            });
        }
        Self(groups)
    }

    /// Number of parts in quarantine, by software version.
    pub fn count(&self) -> u64 {
        let groups = self.0.values().flatten();
        groups.map(|group| group.parts.len() as u64).sum()
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The groups of which a prompt with these parts contains the lowest one, at any software version.
    fn groups_with(
        &self,
        parts: &BTreeSet<ContentDigest>,
    ) -> impl Iterator<Item = &QuarantinedGroup> {
        let groups = parts
            .iter()
            .flat_map(|part| self.0.range(at_all_versions(*part)));
        groups.flat_map(|(_, groups)| groups)
    }
}

impl QuarantinedGroup {
    /// Why a prompt with these parts is not sent to the endpoints of a scope. Parts that crashed
    /// endpoints of another software version are not tried there, unless they have been answered there.
    fn quarantine(
        &self,
        scope: PartScope,
        parts: &BTreeSet<ContentDigest>,
        was_answered: impl Fn(ContentDigest) -> bool,
    ) -> Option<Quarantine> {
        let here = self.parts.iter().map(|part| scope.at_version(*part));
        let here: BlamedGroup = here.collect();
        let is_sound_here = here != self.parts && here.iter().all(|part| was_answered(*part));
        if !here.is_subset(parts) || is_sound_here {
            return None;
        }
        let time_left = self.suspect.quarantine_remaining(SystemTime::now());
        (time_left > Duration::ZERO).then(|| Quarantine {
            contents: self.parts.clone(),
            time_left,
            endpoints: self.suspect.endpoints().cloned().collect(),
            reported_at: self.reported_at,
        })
    }
}

impl Gateway {
    /// Why a prompt with these shared parts is not sent to the endpoints of a scope; `None` if it may
    /// be sent.
    pub fn part_quarantine(&self, scope: PartScope, parts: &[PartId]) -> Option<Quarantine> {
        let quarantined = self.suspects.parts.load();
        if quarantined.is_empty() {
            return None;
        }
        let parts: BTreeSet<_> = parts.iter().map(|part| scope.digest(*part)).collect();
        let was_answered = |part| self.was_part_answered(part);
        let mut groups = quarantined.groups_with(&parts);
        groups.find_map(|group| group.quarantine(scope, &parts, was_answered))
    }

    /// Of the scopes of these endpoints, those to which a prompt is not sent.
    pub fn barred_scopes(
        &self,
        endpoints: &[Arc<Endpoint>],
        parts: &[PartId],
    ) -> BTreeMap<PartScope, Quarantine> {
        if parts.is_empty() || self.suspects.parts.load().is_empty() {
            return BTreeMap::new();
        }
        let scopes = endpoints.iter().map(|endpoint| endpoint.part_scope);
        let scopes: BTreeSet<_> = scopes.collect();
        let barred = |scope| Some((scope, self.part_quarantine(scope, parts)?));
        scopes.into_iter().filter_map(barred).collect()
    }

    /// Why a prompt is sent to no endpoint of a service; `None` if there are some to which it may be
    /// sent, or none at all.
    pub fn quarantine_at_service(&self, service: &str, parts: &[PartId]) -> Option<Quarantine> {
        let endpoints = self.directory.service_endpoints(service);
        let mut barred = self.barred_scopes(&endpoints, parts);
        let mut scopes = endpoints.iter().map(|endpoint| endpoint.part_scope);
        if !scopes.all(|scope| barred.contains_key(&scope)) {
            return None;
        }
        barred.pop_first().map(|(_, quarantine)| quarantine)
    }
}
