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
    /// Since when an answer has been used to clear its content.
    used_since: BTreeMap<ContentDigest, Now>,
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
            used_since: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records an answer.
    pub fn record(&mut self, now: Now, content: ContentDigest) {
        let last = self.answered_at.get(&content);
        let is_fresh = last.is_some_and(|at| now < *at + self.retention / REFRESH_FRACTION);
        if is_fresh && !self.used_since.contains_key(&content) {
            return;
        }
        self.answered_at.insert(content, now);
        self.used_since.remove(&content);
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

    /// Whether a content was answered within the retention. An answer can be used for `span` from its
    /// first use on.
    pub fn can_use(&mut self, now: Now, content: ContentDigest, span: Duration) -> bool {
        if !self.contains(now, content) {
            return false;
        }
        let since = *self.used_since.entry(content).or_insert(now);
        now < since + span
    }

    /// Removes expired answers, and the oldest ones beyond the maximum.
    fn prune(&mut self, now: Now) {
        while let Some((at, content)) = self.order.front().copied()
            && (now >= at + self.retention || self.answered_at.len() > self.max_contents)
        {
            self.order.pop_front();
            if self.answered_at.get(&content) == Some(&at) {
                self.answered_at.remove(&content);
                self.used_since.remove(&content);
            }
        }
    }
}
