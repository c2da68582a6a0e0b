//! Versions of the software of one service's endpoints, as lists of endpoints named them.
//!
//! *Load pattern:* endpoints of several software versions serve side by side, one version takes over
//! from another endpoint by endpoint, or a rollout is undone. What two versions write doesn't fit
//! together, so a stream can go on only at the version that began it.
//!
//! *Without it:* a router can't tell a service with one version, where each endpoint may continue each
//! stream, from one in which it has to know where a stream began.
//!
//! *Mechanism:* a [`VersionHistory`] remembers when each version was last listed. A version that was
//! the only one for as long as any stream can be old began all of them. The history covers only the time
//! since the first list, or since a gap in which a version may have come and gone unseen.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;

/// When which versions of a service were listed.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    last_listed: BTreeMap<SoftwareVersion, Now>,
    /// Beginning of the time without gaps between two lists.
    complete_since: Option<Now>,
    recorded_at: Now,
}

impl VersionHistory {
    /// Records the versions of a list. Versions that were last listed more than `keep` ago are
    /// forgotten. After a time longer than `max_gap` without a list, the history begins anew.
    pub fn record<'a>(
        &mut self,
        now: Now,
        listed: impl IntoIterator<Item = &'a SoftwareVersion>,
        max_gap: Duration,
        keep: Duration,
    ) {
        if now.saturating_sub(self.recorded_at) > max_gap {
            self.complete_since = None;
        }
        self.complete_since.get_or_insert(now);
        self.recorded_at = now;
        for version in listed {
            self.last_listed.insert(version.clone(), now);
        }
        self.last_listed
            .retain(|_, last_listed| now.saturating_sub(*last_listed) <= keep);
    }

    /// The versions that were listed at any time within `span` before now.
    pub fn listed_within(
        &self,
        now: Now,
        span: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let from = now.saturating_sub(span);
        let listed = self.last_listed.iter();
        // The newest list holds until the next one.
        let listed = listed.filter(move |(_, at)| **at >= from || **at == self.recorded_at);
        listed.map(|(version, _)| version)
    }

    /// The versions of the newest list.
    pub fn listed_now(&self) -> impl Iterator<Item = &SoftwareVersion> {
        let listed = self.last_listed.iter();
        let listed = listed.filter(|(_, at)| **at == self.recorded_at);
        listed.map(|(version, _)| version)
    }

    /// Whether more than one version was listed within `span` before now.
    pub fn is_mixed(&self, now: Now, span: Duration) -> bool {
        self.listed_within(now, span).nth(1).is_some()
    }

    /// The version that was the only one for all of `span` before now, if the history covers that time.
    pub fn only_version(&self, now: Now, span: Duration) -> Option<&SoftwareVersion> {
        let complete_since = self.complete_since?;
        if now.saturating_sub(complete_since) < span || self.is_mixed(now, span) {
            return None;
        }
        self.listed_within(now, span).next()
    }
}
