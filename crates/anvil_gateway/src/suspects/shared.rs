//! Contents that requests share and under which endpoints crashed: which endpoints must not receive a
//! request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anvil_policy::blame::{self, BlamedGroup};
use anvil_policy::crash::RunContents;
use anvil_world::prelude::*;

use super::pending::PendingReports;
use super::{Quarantine, ReportedSuspects, quarantine_left};
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::shared_content::{ContentScope, SharedContent, at_all_versions, is_shared};

/// What a request consists of, wherever it runs.
#[derive(Debug, Clone, Copy)]
pub struct RequestContents<'a> {
    /// Equal for equal requests.
    pub request: ContentDigest,
    /// What it shares with others.
    pub shared: &'a [SharedContent],
}

impl RequestContents<'_> {
    /// The same for a run at endpoints of a scope.
    pub fn run_at(self, scope: ContentScope) -> RunContents {
        let shared = self.shared.iter().map(|content| scope.digest(*content));
        RunContents {
            request: self.request,
            shared: shared.collect(),
        }
    }

    fn all_at(self, scope: ContentScope) -> BTreeSet<ContentDigest> {
        let run = self.run_at(scope);
        run.shared.into_iter().chain([run.request]).collect()
    }
}

/// Groups of contents in quarantine, each by its lowest shared one.
#[derive(Debug, Default)]
pub struct QuarantinedContents(BTreeMap<ContentDigest, Vec<QuarantinedGroup>>);

/// Contents under which the endpoints of one software version crash if a request has all of them.
#[derive(Debug)]
struct QuarantinedGroup {
    contents: BlamedGroup,
    /// The record of one of them.
    suspect: SuspectContent,
    reported_at: Option<Now>,
}

impl QuarantinedContents {
    /// Groups what the ledger reports and what is still to be reported. Whole requests are among them,
    /// so that what a repeated request shares with others is not blamed for its crashes.
    pub fn new(reported: &ReportedSuspects, pending: &PendingReports) -> Self {
        let now = SystemTime::now();
        let contents: BTreeSet<_> = reported.keys().copied().chain(pending.crashed()).collect();
        let in_quarantine = |content| {
            let reported = reported.get(&content).map(|reported| &reported.suspect);
            let suspect = pending.merged_with(reported, content)?;
            let left = quarantine_left(content, &suspect, now);
            (!left.is_zero()).then_some((content, suspect))
        };
        let suspects: BTreeMap<_, _> = contents.into_iter().filter_map(in_quarantine).collect();
        let blamed = suspects
            .iter()
            .map(|(content, suspect)| (*content, suspect));
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        for contents in blame::groups(blamed) {
            // A whole request by itself is checked without its endpoint's version.
            let mut shared = contents.iter().filter(|content| is_shared(**content));
            let Some(lowest) = shared.next().copied() else {
                continue;
            };
            groups.entry(lowest).or_default().push(QuarantinedGroup {
                suspect: suspects[&lowest].clone(),
                reported_at: reported.get(&lowest).map(|reported| reported.learned_at),
                contents,
            });
        }
        Self(groups)
    }

    /// Number of shared contents in quarantine, by software version.
    pub fn count_shared(&self) -> u64 {
        let groups = self.0.values().flatten();
        let contents = groups.flat_map(|group| &group.contents);
        contents.filter(|content| is_shared(**content)).count() as u64
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The groups whose lowest shared content is among these, at any software version.
    fn groups_with(
        &self,
        contents: &BTreeSet<ContentDigest>,
    ) -> impl Iterator<Item = &QuarantinedGroup> {
        let shared = contents.iter().filter(|content| is_shared(**content));
        let groups = shared.flat_map(|content| self.0.range(at_all_versions(*content)));
        groups.flat_map(|(_, groups)| groups)
    }
}

impl QuarantinedGroup {
    /// Why a request with these contents is not sent to the endpoints of a scope. Contents that crashed
    /// endpoints of another software version are not tried there, unless they have been answered there.
    fn quarantine(
        &self,
        scope: ContentScope,
        contents: &BTreeSet<ContentDigest>,
        was_answered: impl Fn(ContentDigest) -> bool,
    ) -> Option<Quarantine> {
        let at_scope = |content: &ContentDigest| {
            if is_shared(*content) {
                scope.at_version(*content)
            } else {
                *content
            }
        };
        let here: BlamedGroup = self.contents.iter().map(at_scope).collect();
        let mut shared = here.iter().filter(|content| is_shared(**content));
        let is_sound_here = here != self.contents && shared.all(|content| was_answered(*content));
        if !here.is_subset(contents) || is_sound_here {
            return None;
        }
        let time_left = self.suspect.shared_quarantine_remaining(SystemTime::now());
        (time_left > Duration::ZERO).then(|| Quarantine {
            contents: self.contents.clone(),
            time_left,
            endpoints: self.suspect.endpoints().cloned().collect(),
            reported_at: self.reported_at,
        })
    }
}

impl Gateway {
    /// Why a request is not sent to the endpoints of a scope; `None` if it may be sent.
    pub fn quarantine_at(
        &self,
        scope: ContentScope,
        contents: RequestContents<'_>,
    ) -> Option<Quarantine> {
        if let Some(quarantine) = self.suspects.quarantine(contents.request) {
            return Some(quarantine);
        }
        let quarantined = self.suspects.quarantined.load();
        if quarantined.is_empty() {
            return None;
        }
        let contents = contents.all_at(scope);
        let was_answered = |content| self.was_shared_answered(content);
        let mut groups = quarantined.groups_with(&contents);
        groups.find_map(|group| group.quarantine(scope, &contents, was_answered))
    }

    /// Of the scopes of these endpoints, those to which a request is not sent.
    pub fn barred_scopes(
        &self,
        endpoints: &[Arc<Endpoint>],
        contents: RequestContents<'_>,
    ) -> BTreeMap<ContentScope, Quarantine> {
        if self.suspects.quarantined.load().is_empty() {
            return BTreeMap::new();
        }
        let scopes = endpoints.iter().map(|endpoint| endpoint.content_scope);
        let scopes: BTreeSet<_> = scopes.collect();
        let barred = |scope| Some((scope, self.quarantine_at(scope, contents)?));
        scopes.into_iter().filter_map(barred).collect()
    }

    /// Why a request is sent to no endpoint of a service; `None` if there are some to which it may be
    /// sent, or none at all.
    pub fn quarantine_at_service(
        &self,
        service: &str,
        contents: RequestContents<'_>,
    ) -> Option<Quarantine> {
        if let Some(quarantine) = self.suspects.quarantine(contents.request) {
            return Some(quarantine);
        }
        let endpoints = self.directory.service_endpoints(service);
        let mut barred = self.barred_scopes(&endpoints, contents);
        let mut scopes = endpoints.iter().map(|endpoint| endpoint.content_scope);
        if !scopes.all(|scope| barred.contains_key(&scope)) {
            return None;
        }
        barred.pop_first().map(|(_, quarantine)| quarantine)
    }
}
