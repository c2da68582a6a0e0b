//! Which router reads the platform's list of endpoints, and which ones are told by it.
//!
//! *Answers:* hundreds of routers, each of which needs to know within seconds which endpoints come and
//! leave, before a list that is read page by page and answers a bounded number of calls.
//!
//! *Without it:* each router reads each page: the calls grow with routers times pages, and when many
//! routers start or doubt the list at once, most of their calls are turned away.
//!
//! *How:* the routers of an availability zone rank themselves alike, without a word to each other. The
//! first one reads; the others ask it, and are answered as soon as it has read again. Nobody needs to agree
//! on who is first: each answer says how old it is, each router knows by its own clock how old what it
//! holds may be, and reads for itself before that is too old. A first one that is frozen, cut off or dead
//! is passed over a little earlier than that, so that the next one reads for all.
//!
//! The calls are zones times pages a read, whatever the number of routers.

use std::time::Duration;

use anvil_world::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Ages of a list at which something is done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListAges {
    /// The first router reads it again; drawn between these for each reading.
    pub first_reads: (Duration, Duration),
    /// The same for a router without siblings.
    pub reads_alone: (Duration, Duration),
    /// A first router that hasn't answered is passed over.
    pub passed_over: Duration,
    /// Any router reads it.
    pub all_read: Duration,
}

/// Age at which the first router reads, as parts of the age at which any router does. A tenth is left for
/// the reading and its way to the others, and another one for the next router to do the same.
const FIRST_READS: (f64, f64) = (0.72, 0.8);
/// The same for a router without siblings, which leaves nothing for a way to others.
const READS_ALONE: (f64, f64) = (0.82, 1.0);
/// Age at which a silent first router is passed over, as a part of the same.
const PASSED_OVER: f64 = 0.9;

impl ListAges {
    /// Ages for a list that a router must not hold for longer than this without reading it.
    pub fn within(all_read: Duration) -> Self {
        let between = |(least, most)| (all_read.mul_f64(least), all_read.mul_f64(most));
        Self {
            first_reads: between(FIRST_READS),
            reads_alone: between(READS_ALONE),
            passed_over: all_read.mul_f64(PASSED_OVER),
            all_read,
        }
    }
}

/// What a router does next about its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step<'a> {
    /// Read it when what is held has this age.
    Read(Duration),
    /// Ask this sibling, and pass it over when what is held has this age.
    Ask(&'a InstanceId, Duration),
}

/// How well a router suits as the reader: the lowest one is first. All routers compute the same.
pub fn reader_rank(router: &str) -> u64 {
    xxh3_64(router.as_bytes())
}

/// The siblings in the order in which they read, without those that didn't answer lately.
pub fn in_order(
    siblings: impl IntoIterator<Item = InstanceId>,
    is_passed_over: impl Fn(&InstanceId) -> bool,
) -> Vec<InstanceId> {
    let answering = siblings.into_iter().filter(|id| !is_passed_over(id));
    let mut order: Vec<_> = answering.collect();
    order.sort_by_key(|id| reader_rank(id));
    order
}

/// What `own` does next with a list of this age, where the routers read in this order. `drawn` lies
/// between 0 and 1.
pub fn next_step<'a>(
    own: &InstanceId,
    order: &'a [InstanceId],
    ages: &ListAges,
    age: Duration,
    drawn: f64,
) -> Step<'a> {
    let Some(first) = order.first().filter(|first| *first != own) else {
        let (least, most) = if order.len() > 1 {
            ages.first_reads
        } else {
            ages.reads_alone
        };
        return Step::Read(least + most.saturating_sub(least).mul_f64(drawn));
    };
    if age < ages.passed_over {
        return Step::Ask(first, ages.passed_over);
    }
    if age < ages.all_read {
        return Step::Ask(first, ages.all_read);
    }
    Step::Read(ages.all_read)
}
