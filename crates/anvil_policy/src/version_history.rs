//! Versions of the software of one service's endpoints, as lists of endpoints named them.
//!
//! *Load pattern:* endpoints of several software versions serve side by side, one version takes over
//! from another endpoint by endpoint, or a rollout is undone. What two versions write doesn't fit
//! together, so a stream can go on only at the version that began it.
//!
//! *Without it:* a router can't tell a service with one version, where each endpoint may continue each
//! stream, from one in which it has to know where a stream began.
//!
//! *Mechanism:* a [`VersionHistory`] remembers when each version was first and last listed. If all
//! routers have listed only one version for as long as a stream can be old, that version began it. A version
//! is new for a settling time, in which all routers list it; until then streams that may be taken up
//! begin elsewhere. So a stream that began before its router knew of the new version, and told nobody
//! where, did not begin at that version.
//!
//! A history that is shorter than a stream can be old proves nothing: the process has just started, and
//! a version may have left before. [`beginning`] then goes by the versions that the ledger has
//! recorded, and without them by none.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::prelude::*;

/// When which versions of a service were listed.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    listed: BTreeMap<SoftwareVersion, Listed>,
    /// When the first list was recorded.
    began: Option<Now>,
    recorded_at: Now,
}

/// When a version was listed.
#[derive(Debug, Clone, Copy)]
struct Listed {
    first: Now,
    last: Now,
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
        self.began.get_or_insert(now);
        for version in listed {
            let first_listed = Listed {
                first: now,
                last: now,
            };
            let entry = self.listed.entry(version.clone()).or_insert(first_listed);
            entry.last = now;
        }
        self.listed
            .retain(|_, listed| now.saturating_sub(listed.last) <= keep);
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
        let listed = self.listed.iter();
        let listed = listed.filter(move |(_, listed)| listed.last >= from);
        listed.map(|(version, _)| version)
    }

    /// Whether lists have been recorded for the whole `span` before now.
    pub fn covers(&self, now: Now, span: Duration) -> bool {
        let began = self.began;
        began.is_some_and(|began| now.saturating_sub(began) >= span)
    }

    /// Of the versions that were listed within `span` before now, those that are not new. `None` in the
    /// settling time after the first list, in which that can't be told.
    pub fn settled_within(
        &self,
        now: Now,
        span: Duration,
        settling: Duration,
    ) -> Option<impl Iterator<Item = &SoftwareVersion>> {
        self.covers(now, settling).then(|| {
            self.listed_within(now, span)
                .filter(move |version| !self.is_new(now, version, settling))
        })
    }

    /// Whether a version was first listed within `settling` before now, when others had been listed
    /// before.
    pub fn is_new(&self, now: Now, version: &SoftwareVersion, settling: Duration) -> bool {
        let listed = self.listed.get(version);
        listed.is_some_and(|listed| {
            Some(listed.first) != self.began && now.saturating_sub(listed.first) < settling
        })
    }

    /// Whether more than one version was listed within `span` before now.
    pub fn is_mixed(&self, now: Now, span: Duration) -> bool {
        self.listed_within(now, span).nth(1).is_some()
    }
}

/// Versions of a service that one router's lists named within the time that a stream can be old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedWithin {
    /// All of them.
    pub all: BTreeSet<SoftwareVersion>,
    /// Those that are not new; `None` if that can't be told.
    pub settled: Option<BTreeSet<SoftwareVersion>>,
    /// Whether its lists cover the whole time.
    pub is_covering: bool,
}

/// At which version a stream began that no router knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Beginning {
    /// At this one: its service had no other.
    At(SoftwareVersion),
    /// At one of these, as far as is known, or at another one.
    Unknown(BTreeSet<SoftwareVersion>),
}

/// Where a stream began that no router knows, from the lists of some routers.
///
/// If none of these routers has run for as long as a stream can be old, it goes by the versions that the
/// ledger has recorded as well, without those that are new; `recorded` is `None` if there is no record.
/// `is_current` tells whether one of the lists is current: another router may have begun the stream at a
/// version that came since.
pub fn beginning(
    listed: &[ListedWithin],
    recorded: Option<&BTreeSet<SoftwareVersion>>,
    is_current: bool,
) -> Beginning {
    let is_covered = listed.iter().any(|listed| listed.is_covering);
    let basis = || {
        let listed = listed.iter();
        listed.filter(move |listed| listed.is_covering || !is_covered)
    };
    let settled = basis().filter_map(|listed| listed.settled.as_ref());
    let mut possible: BTreeSet<_> = settled.flatten().cloned().collect();
    if possible.is_empty() {
        possible = basis().flat_map(|listed| &listed.all).cloned().collect();
    }
    if !is_covered {
        possible.extend(recorded.into_iter().flatten().cloned());
    }
    let is_past_known = is_covered || recorded.is_some();
    if is_past_known
        && is_current
        && possible.len() == 1
        && let Some(only) = possible.pop_first()
    {
        return Beginning::At(only);
    }
    Beginning::Unknown(possible)
}
