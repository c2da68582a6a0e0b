//! All runs of a sidecar by key, and keys that never run here.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_wire::msg::{ProbeAnswer, Start};
use anvil_world::prelude::*;

use super::run::Run;

/// How long a key stays forbidden: longer than any request can be under way.
const FORBIDDEN_FOR: Duration = Duration::from_hours(24);
/// When to come back while the buffer is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Rows {
    runs: BTreeMap<RequestKey, Arc<Run>>,
    forbidden: BTreeMap<RequestKey, Now>,
}

/// What becomes of a start.
#[derive(Debug)]
pub enum Admitted {
    /// A new run, to be driven now.
    Fresh(Arc<Run>),
    /// The key's run was here already.
    Attached(Arc<Run>),
}

/// Runs by key.
#[derive(Debug)]
pub struct Table {
    rows: Mutex<Rows>,
    buffer_bytes: u64,
}

impl Table {
    /// An empty table that keeps at most so many bytes of output.
    pub fn new(buffer_bytes: u64) -> Self {
        Self {
            rows: Mutex::default(),
            buffer_bytes,
        }
    }

    /// Takes a start in: one run a key, whatever comes twice.
    pub fn admit(&self, now: Now, start: Start) -> Result<Admitted, Refusal> {
        let mut rows = self.rows();
        if rows.forbidden.contains_key(&start.key) {
            return Err(Refusal::new(Reason::EndpointRefused));
        }
        if let Some(run) = rows.runs.get(&start.key) {
            if run.start.body != start.body {
                return Err(Refusal::new(Reason::KeyReused(run.start.body)));
            }
            return Ok(Admitted::Attached(run.clone()));
        }
        rows.make_room(now, self.buffer_bytes);
        if rows.bytes() > self.buffer_bytes {
            return Err(Refusal::new(Reason::Overloaded).with_retry_after(FULL_RETRY));
        }
        let key = start.key.clone();
        let run = Arc::new(Run::new(start));
        rows.runs.insert(key, run.clone());
        Ok(Admitted::Fresh(run))
    }

    /// The run of a key.
    pub fn get(&self, key: &RequestKey) -> Option<Arc<Run>> {
        self.rows().runs.get(key).cloned()
    }

    /// What is known of a key.
    pub fn probe(&self, key: &RequestKey) -> ProbeAnswer {
        let rows = self.rows();
        if rows.forbidden.contains_key(key) {
            return ProbeAnswer::Forbidden;
        }
        let Some(run) = rows.runs.get(key) else {
            return ProbeAnswer::Unheard;
        };
        match run.end() {
            Some(end) => ProbeAnswer::Ended(end),
            None => ProbeAnswer::Running {
                length: run.length(),
            },
        }
    }

    /// Never starts this key from now on, unless it has started.
    pub fn forbid(&self, now: Now, key: &RequestKey) -> ProbeAnswer {
        let mut rows = self.rows();
        if !rows.runs.contains_key(key) {
            rows.forbidden.insert(key.clone(), now);
        }
        drop(rows);
        self.probe(key)
    }

    /// All runs.
    pub fn all(&self) -> Vec<Arc<Run>> {
        self.rows().runs.values().cloned().collect()
    }

    /// Runs that go on.
    pub fn running(&self) -> usize {
        let rows = self.rows();
        rows.runs
            .values()
            .filter(|run| run.ended_at().is_none())
            .count()
    }

    /// Forgets what is kept no longer.
    pub fn sweep(&self, now: Now) {
        let mut rows = self.rows();
        rows.runs.retain(|_, run| match run.ended_at() {
            Some(at) => now < at + run.start.keep,
            None => true,
        });
        rows.forbidden.retain(|_, at| now < *at + FORBIDDEN_FOR);
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        // A panic elsewhere leaves the rows as they were between two steps.
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn bytes(&self) -> u64 {
        self.runs.values().map(|run| run.length()).sum()
    }

    /// Drops answers that ended first until what is kept fits.
    fn make_room(&mut self, now: Now, limit: u64) {
        let mut bytes = self.bytes();
        while bytes > limit {
            let ended = self.runs.iter().filter(|(_, run)| run.ended_at().is_some());
            let oldest = ended.min_by_key(|(_, run)| run.ended_at().unwrap_or(now));
            let Some((key, run)) = oldest.map(|(key, run)| (key.clone(), run.clone())) else {
                return;
            };
            bytes = bytes.saturating_sub(run.length());
            self.runs.remove(&key);
        }
    }
}
