//! Which contents were answered recently: an endpoint that began to answer them did not crash.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::prelude::*;

/// An answer to a content whose last one is younger than this fraction of the retention is not
/// recorded, so that contents answered all the time take no more room than others.
const REFRESH_FRACTION: u32 = 4;

/// Answers by content, bounded in time and number.
#[derive(Debug)]
pub struct RecentAnswers {
    retention: Duration,
    max_contents: usize,
    answered_at: BTreeMap<ContentDigest, Now>,
    /// The same answers, oldest first; a content that was answered again occurs again.
    order: VecDeque<(Now, ContentDigest)>,
}

impl RecentAnswers {
    /// Creates a record that keeps answers for `retention`, and those to `max_contents` at most.
    pub fn new(retention: Duration, max_contents: usize) -> Self {
        Self {
            retention,
            max_contents,
            answered_at: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records an answer.
    pub fn record(&mut self, now: Now, content: ContentDigest) {
        let last = self.answered_at.get(&content);
        if last.is_some_and(|at| now < *at + self.retention / REFRESH_FRACTION) {
            return;
        }
        self.answered_at.insert(content, now);
        self.order.push_back((now, content));
        self.prune(now);
    }

    /// Whether a content was answered within `span` before now.
    pub fn contains_within(&self, now: Now, content: ContentDigest, span: Duration) -> bool {
        let answered_at = self.answered_at.get(&content);
        answered_at.is_some_and(|at| now < *at + span.min(self.retention))
    }

    /// Whether a content was answered within the retention.
    pub fn contains(&self, now: Now, content: ContentDigest) -> bool {
        self.contains_within(now, content, self.retention)
    }

    /// Removes a content. Returns whether it was answered within the retention.
    pub fn take(&mut self, now: Now, content: ContentDigest) -> bool {
        let is_known = self.contains(now, content);
        self.answered_at.remove(&content);
        is_known
    }

    /// Removes expired answers, and the oldest ones beyond the maximum.
    fn prune(&mut self, now: Now) {
        while let Some((at, content)) = self.order.front().copied()
            && (now >= at + self.retention || self.answered_at.len() > self.max_contents)
        {
            self.order.pop_front();
            if self.answered_at.get(&content) == Some(&at) {
                self.answered_at.remove(&content);
            }
        }
    }
}
