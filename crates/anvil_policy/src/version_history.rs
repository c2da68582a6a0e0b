//! Versions of the software of one service's endpoints, as lists of endpoints named them.
//!
//! *Load pattern:* endpoints of several software versions serve side by side, one version takes over
//! from another endpoint by endpoint, or a rollout is undone. What two versions write doesn't fit
//! together, so a stream can go on only at the version that began it.
//!
//! *Without it:* a router can't tell a service with one version, where each endpoint may continue each
//! stream, from one in which it has to know where a stream began.
//!
//! *Mechanism:* a [`VersionHistory`] remembers when each version was last listed. If all routers have
//! listed only one version for as long as a stream can be old, that version began it.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;

/// When which versions of a service were listed.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    last_listed: BTreeMap<SoftwareVersion, Now>,
    recorded_at: Now,
}

impl VersionHistory {
    /// Records the versions of a list. Versions that were last listed more than `keep` ago are
    /// forgotten.
    pub fn record<'a>(
        &mut self,
        now: Now,
        listed: impl IntoIterator<Item = &'a SoftwareVersion>,
        keep: Duration,
    ) {
        self.recorded_at = now;
        for version in listed {
            self.last_listed.insert(version.clone(), now);
        }
        self.last_listed
            .retain(|_, last_listed| now.saturating_sub(*last_listed) <= keep);
    }

    /// The versions of the newest list.
    pub fn listed_now(&self) -> impl Iterator<Item = &SoftwareVersion> {
        self.listed_since(self.recorded_at)
    }

    /// The versions that were listed at any time within `span` before now.
    pub fn listed_within(
        &self,
        now: Now,
        span: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        // The newest list holds until the next one.
        self.listed_since(now.saturating_sub(span).min(self.recorded_at))
    }

    fn listed_since(&self, from: Now) -> impl Iterator<Item = &SoftwareVersion> {
        let listed = self.last_listed.iter();
        let listed = listed.filter(move |(_, last_listed)| **last_listed >= from);
        listed.map(|(version, _)| version)
    }

    /// Whether more than one version was listed within `span` before now.
    pub fn is_mixed(&self, now: Now, span: Duration) -> bool {
        self.listed_within(now, span).nth(1).is_some()
    }
}
