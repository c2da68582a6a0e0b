//! A request under which endpoints crashed and which none has answered since.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Weight from which on a request is kept from endpoints: three crashes before its run had any output. One or two may
/// have come from another reason, or from a neighbour that was waiting as well.
pub const QUARANTINED_FROM: u32 = 6;
/// For how long it is kept from them after the last crash.
pub const QUARANTINED_FOR: Duration = Duration::from_hours(1);
/// For how long crashes are remembered after the last one. Within this time a single further one is enough.
pub const REMEMBERED_FOR: Duration = Duration::from_hours(24);
/// Reports on one endpoint within this time are of the same crash. One that starts again under its name is back later.
const SAME_CRASH: Duration = Duration::from_secs(3);

/// How far a request's run had come when its endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashedRun {
    /// It had some output, so its beginning had crashed nothing.
    AfterOutput,
    /// No output of it was seen.
    BeforeOutput,
}

impl CrashedRun {
    /// How much it speaks against the request.
    pub fn weight(self) -> u32 {
        match self {
            Self::AfterOutput => 1,
            Self::BeforeOutput => 2,
        }
    }
}

/// One crash under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// How far the run had come.
    pub run: CrashedRun,
    /// When it was told of, by the ledger's clock.
    pub at: SystemTime,
}

/// What is known of such a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Crashes under it, no more than it takes for the quarantine.
    pub crashes: Vec<Crash>,
    /// When the last one was told of, by the ledger's clock.
    pub since: SystemTime,
}

impl Suspect {
    /// Nothing crashed yet.
    pub fn new(since: SystemTime) -> Self {
        Self {
            crashes: Vec::new(),
            since,
        }
    }

    /// An endpoint crashed under it. Returns whether that is news.
    pub fn crashed(&mut self, endpoint: &InstanceId, run: CrashedRun, at: SystemTime) -> bool {
        let is_same = |crash: &&mut Crash| {
            let apart = at.duration_since(crash.at).unwrap_or_default();
            crash.endpoint == *endpoint && apart < SAME_CRASH
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            let is_news = run > known.run;
            known.run = known.run.max(run);
            return is_news;
        }
        self.since = self.since.max(at);
        if self.weight() < QUARANTINED_FROM {
            self.crashes.push(Crash {
                endpoint: endpoint.clone(),
                run,
                at,
            });
        }
        true
    }

    /// How much speaks against it.
    pub fn weight(&self) -> u32 {
        self.crashes.iter().map(|crash| crash.run.weight()).sum()
    }

    /// For how much longer it is kept from endpoints; nothing where it may go to them.
    pub fn quarantined_for(&self, now: SystemTime) -> Duration {
        if self.weight() < QUARANTINED_FROM {
            return Duration::ZERO;
        }
        QUARANTINED_FOR.saturating_sub(self.age(now))
    }

    /// Whether its crashes are too long ago to be remembered.
    pub fn is_over(&self, now: SystemTime) -> bool {
        self.age(now) >= REMEMBERED_FOR
    }

    fn age(&self, now: SystemTime) -> Duration {
        // A clock behind the ledger's has waited for nothing yet.
        now.duration_since(self.since).unwrap_or_default()
    }
}
