//! Which parts of prompts endpoints crash under, where several parts were in flight at the same crashes.
//!
//! *Load pattern:* endpoints crash one after the other under a part of prompts. The prompts are no two
//! alike, and share their other parts with prompts that are sound.
//!
//! *Without it:* each part that was in flight at all these crashes and was not answered meanwhile is
//! blamed. Where all prompts of an organisation begin with the same part, all of them are refused.
//!
//! *Mechanism:* parts that were in flight at the same crashes can't be told apart, so they are blamed
//! as a group: a prompt is refused only if it consists of all of them. A prompt with some of them is
//! sent; if it is answered, its parts are cleared, and if its endpoint crashes, its parts were in flight
//! at a crash that the others were not. A part that was in flight at all crashes of another one, and at
//! later ones, explains these without the other one.
//!
//! *Thresholds:* gateways report one crash at slightly different times, depending on when each of them
//! notices it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_world::prelude::*;

/// The last crashes of two parts count as the same one if they were reported within this time.
const SAME_REPORT_TIME: Duration = Duration::from_millis(300);

/// Parts that only together are known to crash endpoints.
pub type BlamedGroup = BTreeSet<ContentDigest>;

/// Groups the parts that endpoints crash under.
pub fn groups<'a>(
    blamed: impl Iterator<Item = (ContentDigest, &'a SuspectContent)>,
) -> Vec<BlamedGroup> {
    let mut by_crashes: BTreeMap<BTreeSet<&InstanceId>, Vec<_>> = BTreeMap::new();
    for (part, suspect) in blamed {
        let endpoints = suspect.endpoints().collect();
        by_crashes
            .entry(endpoints)
            .or_default()
            .push((part, suspect));
    }
    by_crashes.into_values().map(with_latest_crash).collect()
}

/// Of the parts that were in flight at the same crashes, those that were at the latest one.
fn with_latest_crash(parts: Vec<(ContentDigest, &SuspectContent)>) -> BlamedGroup {
    let latest = parts.iter().map(|(_, suspect)| suspect.since).max();
    let is_latest = |suspect: &SuspectContent| {
        let behind = latest.map(|latest| latest.duration_since(suspect.since));
        // None is later than the latest.
        behind.is_none_or(|behind| behind.unwrap_or_default() <= SAME_REPORT_TIME)
    };
    let blamed = parts.into_iter().filter(|(_, suspect)| is_latest(suspect));
    blamed.map(|(part, _)| part).collect()
}
