//! Which router of an availability zone reads the platform's list of endpoints for the others.
//!
//! *Load pattern:* hundreds of routers that each need to know within seconds which endpoints come
//! and leave, and a list that is read page by page and served at a bounded rate.
//!
//! *Without it:* every router reads every page: the calls grow with routers times pages, and when
//! many routers start or need a fresh list at once, most of their calls are refused.
//!
//! *Mechanism:* the routers of an availability zone rank themselves in the same way, without
//! communication. The first one reads the list; the others request it from that reader and are
//! answered when it has read again. They need not agree on the reader: each answer carries its age,
//! each router knows by its own clock how old its copy may be, and reads the list itself before the
//! copy is too old. A reader that is frozen, partitioned or dead is skipped a little earlier than
//! that, so that the next one reads for all.
//!
//! *Thresholds:* the reader reads early enough to leave a tenth of the maximum age for its reading
//! and the way to the others, and another tenth for the next router to do the same. The number of
//! calls is zones times pages for each reading, whatever the number of routers.

use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Ages of a router's copy of the list at which it acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListAges {
    /// The reader reads the list again; drawn between these for each reading.
    pub reader_refreshes: (Duration, Duration),
    /// The same for a router without siblings.
    pub alone_refreshes: (Duration, Duration),
    /// A reader that hasn't answered is skipped.
    pub skip_reader: Duration,
    /// Any router reads the list itself.
    pub must_read: Duration,
}

/// Age at which the reader reads, as parts of the age at which any router does. This leaves a tenth
/// for the reading and the way to the others, and another tenth for the next router to do the same.
const READER_REFRESHES: (f64, f64) = (0.72, 0.8);
/// The same for a router without siblings, which needs no time to pass the list on.
const ALONE_REFRESHES: (f64, f64) = (0.82, 1.0);
/// Age at which an unresponsive reader is skipped, as a part of the same.
const SKIP_READER: f64 = 0.9;

impl ListAges {
    /// Ages for a list that a router must not keep for longer than this without reading it again.
    pub fn within(must_read: Duration) -> Self {
        let between = |(min_age, max_age)| (must_read.mul_f64(min_age), must_read.mul_f64(max_age));
        Self {
            reader_refreshes: between(READER_REFRESHES),
            alone_refreshes: between(ALONE_REFRESHES),
            skip_reader: must_read.mul_f64(SKIP_READER),
            must_read,
        }
    }
}

/// The next action of a router to refresh its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefreshStep<'a> {
    /// Read the list when the copy has this age.
    Read(Duration),
    /// Request the list from this sibling, and skip the sibling when the copy has this age.
    RequestFrom(&'a InstanceId, Duration),
}

/// Rank of a router as the reader: the lowest one reads. All routers compute the same rank.
pub fn reader_rank(router: &str) -> u64 {
    xxh3_64(router.as_bytes())
}

/// The siblings in order of their rank, without those that are skipped because they didn't answer
/// recently.
pub fn reader_order(
    siblings: impl IntoIterator<Item = InstanceId>,
    is_skipped: impl Fn(&InstanceId) -> bool,
) -> Vec<InstanceId> {
    let answering = siblings.into_iter().filter(|id| !is_skipped(id));
    let mut order: Vec<_> = answering.collect();
    order.sort_by_key(|id| reader_rank(id));
    order
}

/// The next action of `own` with a copy of this age, if the routers rank in this order. `jitter`
/// lies between 0 and 1.
pub fn next_step<'a>(
    own: &InstanceId,
    order: &'a [InstanceId],
    ages: &ListAges,
    age: Duration,
    jitter: f64,
) -> RefreshStep<'a> {
    let Some(first) = order.first().filter(|first| *first != own) else {
        let (min_age, max_age) = if order.len() > 1 {
            ages.reader_refreshes
        } else {
            ages.alone_refreshes
        };
        return RefreshStep::Read(min_age + max_age.saturating_sub(min_age).mul_f64(jitter));
    };
    if age < ages.skip_reader {
        return RefreshStep::RequestFrom(first, ages.skip_reader);
    }
    if age < ages.must_read {
        return RefreshStep::RequestFrom(first, ages.must_read);
    }
    RefreshStep::Read(ages.must_read)
}
