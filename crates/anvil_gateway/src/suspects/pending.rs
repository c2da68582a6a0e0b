//! Observations that the ledger has not accepted yet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::SystemTime;

use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

/// Unreported crashes that are kept: one for each endpoint of a large fleet. The oldest are
/// dropped.
const MAX_PENDING_CRASHES: usize = 8_192;

/// A crash during a run, as this gateway observed it.
#[derive(Debug, Clone, Copy)]
struct ObservedCrash {
    run: CrashedRun,
    at: SystemTime,
}

/// Observations that the ledger has not accepted yet.
#[derive(Default)]
pub struct PendingReports {
    crashes: VecDeque<ReportCrash>,
    /// The same crashes, by content.
    endpoints_by_content: BTreeMap<ContentDigest, BTreeMap<InstanceId, ObservedCrash>>,
    answered: BTreeSet<ContentDigest>,
}

impl PendingReports {
    /// Adds a crash. Returns whether an older one was dropped to make room.
    pub fn add_crash(&mut self, crash: ReportCrash) -> bool {
        let is_full = self.crashes.len() >= MAX_PENDING_CRASHES;
        if is_full {
            self.remove_oldest();
        }
        let at = SystemTime::now();
        for (content, run) in &crash.contents {
            let endpoints = self.endpoints_by_content.entry(*content).or_default();
            endpoints.insert(crash.endpoint.clone(), ObservedCrash { run: *run, at });
        }
        self.crashes.push_back(crash);
        is_full
    }

    /// Adds a content that an endpoint answered. Returns whether that is new.
    pub fn add_answered(&mut self, content: ContentDigest) -> bool {
        self.answered.insert(content)
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty()
    }

    /// Whether a crash during a run with this content is pending.
    pub fn has_crash(&self, content: ContentDigest) -> bool {
        self.endpoints_by_content.contains_key(&content)
    }

    /// The contents of which crashes are pending.
    pub fn crashed(&self) -> impl Iterator<Item = ContentDigest> {
        self.endpoints_by_content.keys().copied()
    }

    /// What is known of a content if the pending reports are added to what the ledger reports. `None`
    /// without crashes, or if an answer to it is pending.
    pub fn merged_with(
        &self,
        reported: Option<&SuspectContent>,
        content: ContentDigest,
    ) -> Option<SuspectContent> {
        if self.answered.contains(&content) {
            return None;
        }
        let pending = self.endpoints_by_content.get(&content);
        if reported.is_none() && pending.is_none() {
            return None;
        }
        let mut observed: Vec<_> = pending.into_iter().flatten().collect();
        observed.sort_by_key(|(_, crash)| crash.at);
        let first_at = observed.first().map(|(_, crash)| crash.at);
        let new = || SuspectContent::new(first_at.unwrap_or_else(SystemTime::now));
        let mut suspect = reported.cloned().unwrap_or_else(new);
        for (endpoint, crash) in observed {
            suspect.record_crash(endpoint, crash.run, crash.at);
        }
        Some(suspect)
    }

    /// The next report for the ledger.
    pub fn next_report(&self) -> Option<Command> {
        if let Some(crash) = self.crashes.front() {
            return Some(Command::ReportCrash(crash.clone()));
        }
        if self.answered.is_empty() {
            return None;
        }
        let contents = self.answered.iter().copied().collect();
        Some(Command::ClearSuspects(ClearSuspects { contents }))
    }

    /// Removes what the ledger has accepted.
    pub fn mark_accepted(&mut self, report: &Command) {
        match report {
            // The first report is a different one if this one was dropped in the meantime.
            Command::ReportCrash(accepted) if self.crashes.front() == Some(accepted) => {
                self.remove_oldest();
            }
            Command::ClearSuspects(accepted) => {
                self.answered
                    .retain(|content| !accepted.contents.contains(content));
            }
            _ => {}
        }
    }

    fn remove_oldest(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for (content, _) in &crash.contents {
            if let Some(endpoints) = self.endpoints_by_content.get_mut(content) {
                endpoints.remove(&crash.endpoint);
            }
        }
        self.endpoints_by_content
            .retain(|_, endpoints| !endpoints.is_empty());
    }
}
