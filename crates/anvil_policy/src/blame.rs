//! Which contents endpoints crash under, where several of them were in flight at the same crashes.
//!
//! *Load pattern:* endpoints crash one after the other under a part of prompts. The prompts are no two
//! alike, and share their other parts, their sender and their size with requests that are sound.
//!
//! *Without it:* each content that was in flight at all these crashes and was not answered meanwhile is
//! blamed. Where all prompts of an organisation begin with the same part, all of them are refused.
//!
//! *Mechanism:* contents that were in flight at the same crashes can't be told apart, so they are blamed
//! as a group: a request is refused only if it has all of them. One with some of them is sent; if it is
//! answered, its contents are cleared, and if its endpoint crashes, they were in flight at a crash at
//! which the others were not. A content that was in flight at all crashes of another one, and at later
//! ones, explains these without the other one.
//!
//! *Thresholds:* gateways report one crash at slightly different times, depending on when each of them
//! notices it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::prelude::*;
use anvil_world::suspect::Crash;

/// Two crashes count as the same one, or as simultaneous, if they were reported within this time.
const SAME_REPORT_TIME: Duration = Duration::from_millis(100);

/// Minimum number of common crashes by which one content explains another one: endpoints also crash under
/// two contents by chance.
const MIN_COMMON_CRASHES: usize = 2;

/// Contents that only together are known to crash endpoints.
pub type BlamedGroup = BTreeSet<ContentDigest>;

/// Contents that were in flight at the same crashes.
struct Candidate<'a> {
    contents: BlamedGroup,
    suspect: &'a SuspectContent,
}

/// Groups the contents that endpoints crash under.
pub fn groups<'a>(
    blamed: impl Iterator<Item = (ContentDigest, &'a SuspectContent)>,
) -> Vec<BlamedGroup> {
    let mut by_crashes: BTreeMap<BTreeSet<&InstanceId>, Vec<_>> = BTreeMap::new();
    for (content, suspect) in blamed {
        let endpoints = suspect.endpoints().collect();
        by_crashes
            .entry(endpoints)
            .or_default()
            .push((content, suspect));
    }
    let candidates = by_crashes.into_values().filter_map(with_latest_crash);
    let candidates: Vec<_> = candidates.collect();
    let is_explained = |candidate: &Candidate<'_>| {
        candidates.iter().any(|other| {
            explains(other.suspect, candidate.suspect)
                && !explains(candidate.suspect, other.suspect)
        })
    };
    let groups = candidates
        .iter()
        .filter(|candidate| !is_explained(candidate));
    groups.map(|candidate| candidate.contents.clone()).collect()
}

/// Of the contents that were in flight at the same crashes, those that were at the latest one.
fn with_latest_crash(contents: Vec<(ContentDigest, &SuspectContent)>) -> Option<Candidate<'_>> {
    let (_, suspect) = *contents.iter().max_by_key(|(_, suspect)| suspect.since)?;
    let is_latest = |(_, other): &(ContentDigest, &SuspectContent)| {
        let behind = suspect.since.duration_since(other.since);
        // None is later than the latest.
        behind.unwrap_or_default() <= SAME_REPORT_TIME
    };
    let latest = contents.into_iter().filter(is_latest);
    Some(Candidate {
        contents: latest.map(|(content, _)| content).collect(),
        suspect,
    })
}

/// Whether one content was in flight at all crashes of another one, as far as their records tell: these
/// name the first crashes, and the time of the last one.
fn explains(one: &SuspectContent, other: &SuspectContent) -> bool {
    let is_recorded = |crash: &&Crash| {
        let mut endpoints = one.endpoints();
        endpoints.any(|endpoint| *endpoint == crash.endpoint)
    };
    let (common, others): (Vec<_>, Vec<_>) = other.crashes.iter().partition(is_recorded);
    let recorded_until = one.crashes.iter().map(|crash| crash.at).max();
    let is_later = |crash: &Crash| recorded_until.is_none_or(|until| crash.at > until);
    let goes_on = other.since <= one.since + SAME_REPORT_TIME;
    goes_on && common.len() >= MIN_COMMON_CRASHES && others.into_iter().all(is_later)
}
