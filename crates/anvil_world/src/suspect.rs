//! Suspect contents: whole requests that were in flight on endpoints when these crashed, or what they
//! share with others, such as a part of their prompts, that no endpoint has answered since.
//!
//! Each crash adds a weight. From a minimum weight on the content is quarantined: requests with it are
//! not sent to endpoints for a time, so that they can't crash them one after the other.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Weight from which a content is quarantined: three crashes before its run had any output. One or two
/// crashes may have had another cause, or come from another request waiting on the same endpoint.
pub const QUARANTINE_MIN_WEIGHT: u32 = 6;
/// How long a content is quarantined after its last crash.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// How long a content that requests share is quarantined at first. If an endpoint crashes under it once
/// more after that, [`QUARANTINE_TIME`] applies.
pub const FIRST_SHARED_QUARANTINE: Duration = Duration::from_mins(1);
/// Minimum time from the first to the last crash blamed on a content that requests share. When several
/// endpoints lose power together, requests with an unanswered content were in flight at all of them.
const MIN_SHARED_CRASH_SPAN: Duration = Duration::from_secs(1);
/// How long crashes are kept after the last one. Within this time a single further crash renews an
/// expired quarantine.
pub const CRASH_RETENTION: Duration = Duration::from_hours(24);
/// Reports on one endpoint within this time are of the same crash. An endpoint that restarts under the
/// same name takes longer to come back.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);

/// How far a request's run had got when its endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashedRun {
    /// Some output was received, so the prompt itself did not crash the endpoint.
    AfterOutput,
    /// No output was received.
    BeforeOutput,
}

impl CrashedRun {
    /// How strongly the crash counts against the request's contents.
    pub fn weight(self) -> u32 {
        match self {
            Self::AfterOutput => 1,
            Self::BeforeOutput => 2,
        }
    }
}

/// One endpoint crash while the request was in flight on the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// How far the run had got.
    pub run: CrashedRun,
    /// When it was reported, by the ledger's clock.
    pub at: SystemTime,
}

/// The crash record of one suspect content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectContent {
    /// Its crashes, no more than are needed for the quarantine.
    pub crashes: Vec<Crash>,
    /// When the last one was reported, by the ledger's clock.
    pub since: SystemTime,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        let later = self.at.max(other.at);
        let apart = later.duration_since(self.at.min(other.at));
        self.endpoint == other.endpoint && apart.unwrap_or_default() < SAME_CRASH_WINDOW
    }
}

impl SuspectContent {
    /// A record without crashes.
    pub fn new(since: SystemTime) -> Self {
        Self {
            crashes: Vec::new(),
            since,
        }
    }

    /// Records a crash of `endpoint`. Returns whether this changed the record.
    pub fn record_crash(&mut self, endpoint: &InstanceId, run: CrashedRun, at: SystemTime) -> bool {
        let is_same = |crash: &&mut Crash| {
            let elapsed = at.duration_since(crash.at).unwrap_or_default();
            crash.endpoint == *endpoint && elapsed < SAME_CRASH_WINDOW
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            let is_changed = run > known.run;
            known.run = known.run.max(run);
            return is_changed;
        }
        self.since = self.since.max(at);
        if self.weight() < QUARANTINE_MIN_WEIGHT {
            self.crashes.push(Crash {
                endpoint: endpoint.clone(),
                run,
                at,
            });
        }
        true
    }

    /// Removes the crashes that `other` records too. Returns whether there were any.
    pub fn remove_crashes_of(&mut self, other: &Self) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| !other.has_crash(crash));
        self.crashes.len() < before
    }

    fn has_crash(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Time from its first crash to its last one.
    pub fn crash_span(&self) -> Duration {
        let first = self.crashes.iter().map(|crash| crash.at).min();
        let span = first.map(|first| self.since.duration_since(first));
        // Without a crash, and where clocks differ, there is no span.
        span.and_then(Result::ok).unwrap_or_default()
    }

    /// Endpoints that crashed.
    pub fn endpoints(&self) -> impl Iterator<Item = &InstanceId> {
        self.crashes.iter().map(|crash| &crash.endpoint)
    }

    /// Total weight of its crashes.
    pub fn weight(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.run.weight()).sum()
    }

    /// Remaining quarantine time; zero when requests with the content may be dispatched.
    pub fn quarantine_remaining(&self, now: SystemTime) -> Duration {
        if self.weight() < QUARANTINE_MIN_WEIGHT {
            return Duration::ZERO;
        }
        QUARANTINE_TIME.saturating_sub(self.age(now))
    }

    /// The same for a content that many requests share, which are refused together.
    pub fn shared_quarantine_remaining(&self, now: SystemTime) -> Duration {
        let span = self.crash_span();
        if self.weight() < QUARANTINE_MIN_WEIGHT || span < MIN_SHARED_CRASH_SPAN {
            return Duration::ZERO;
        }
        let time = if span < FIRST_SHARED_QUARANTINE {
            FIRST_SHARED_QUARANTINE
        } else {
            QUARANTINE_TIME
        };
        time.saturating_sub(self.age(now))
    }

    /// Whether the record has expired.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        self.age(now) >= CRASH_RETENTION
    }

    fn age(&self, now: SystemTime) -> Duration {
        // A clock behind the ledger's counts as no time elapsed.
        now.duration_since(self.since).unwrap_or_default()
    }
}
