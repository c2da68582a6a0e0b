//! How long syncs and commits take, for logs and metrics.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_ledger::core::WriteSeq;
use anvil_world::ids::LogIndex;

/// Latency of syncs and commits since the last gauges.
#[derive(Default)]
pub struct Latency {
    /// Writes that are not durable yet, with the times at which they were issued.
    writes: VecDeque<(WriteSeq, Duration)>,
    /// Entries of this leader that are not committed yet, with the times at which they were appended.
    entries: VecDeque<(LogIndex, Duration)>,
    longest_sync: Duration,
    longest_commit: Duration,
}

impl Latency {
    /// Records that a write was issued.
    pub fn written(&mut self, seq: WriteSeq, now: Duration) {
        self.writes.push_back((seq, now));
    }

    /// Records that all writes up to this one are durable.
    pub fn synced(&mut self, seq: WriteSeq, now: Duration) {
        let took = take_longest(&mut self.writes, seq, now);
        self.longest_sync = self.longest_sync.max(took);
    }

    /// Records that a leader appended an entry.
    pub fn appended(&mut self, index: LogIndex, now: Duration) {
        self.entries.push_back((index, now));
    }

    /// Records that all entries up to this one are committed.
    pub fn committed(&mut self, index: LogIndex, now: Duration) {
        let took = take_longest(&mut self.entries, index, now);
        self.longest_commit = self.longest_commit.max(took);
    }

    /// Forgets entries that this replica, which no longer leads, can't commit.
    pub fn deposed(&mut self) {
        self.entries.clear();
    }

    /// The longest time that a write has taken, or has waited until now, since the last gauges.
    pub fn longest_sync(&self, now: Duration) -> Duration {
        let waits = self.writes.front().map(|(_, at)| now.saturating_sub(*at));
        self.longest_sync.max(waits.unwrap_or_default())
    }

    /// The longest times of a sync and of a commit since the last call, with those that still wait.
    pub fn take(&mut self, now: Duration) -> (Duration, Duration) {
        let sync = self.longest_sync(now);
        let waits = self.entries.front().map(|(_, at)| now.saturating_sub(*at));
        let commit = self.longest_commit.max(waits.unwrap_or_default());
        self.longest_sync = Duration::ZERO;
        self.longest_commit = Duration::ZERO;
        (sync, commit)
    }
}

/// Removes all up to a number, and returns how long the oldest of them took.
fn take_longest(waiting: &mut VecDeque<(u64, Duration)>, upto: u64, now: Duration) -> Duration {
    let mut longest = Duration::ZERO;
    while let Some((_, at)) = waiting.pop_front_if(|(number, _)| *number <= upto) {
        longest = longest.max(now.saturating_sub(at));
    }
    longest
}
