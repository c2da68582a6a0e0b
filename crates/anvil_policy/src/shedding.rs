//! When a router asks for no new clients because its link fills up while its siblings have room.
//!
//! *Answers:* a balancer that spreads connections by a hash over routers of unequal and small links: one
//! router gets three quarters of its availability zone's requests, fifteen times its share.
//!
//! *Without it:* its link is full while its siblings' are idle. Requests, the opening packets of new
//! connections and its own calls to the ledger wait behind answers; a third of what comes is refused or
//! never gets in.
//!
//! *How:* it notices at half of what its link carries, since load that comes in clumps reaches twice its
//! mean. It tells the balancer that it isn't ready, and has kept connections closed once the balancer
//! has noticed. The hash sends the clients back as soon as it is ready again, so it stays away for
//! a while, and longer each time that it was found full soon after its return.
//!
//! Where all are busy, nobody does so: a router compares itself with what its siblings say of themselves,
//! and one that has heard nothing of them stays. A load that no router carries is passed on by a quarter
//! of them at most.

use std::time::Duration;

use anvil_world::prelude::*;

/// When a router has too much, and for how long it stays away.
#[derive(Debug, Clone, PartialEq)]
pub struct SheddingRule {
    /// Part of the link from which on it is too much.
    pub full: f64,
    /// How many times the siblings' mean load its own must be.
    pub above_siblings: f64,
    /// For how long that must be so: siblings are heard of about as often.
    pub full_for: Duration,
    /// Part of the siblings that may be away at once, this router among them.
    pub most_away: f64,
    /// Time over which the load is averaged.
    pub smooth_over: Duration,
    /// For how long what siblings said of their load counts.
    pub siblings_hold: Duration,
    /// How long it stays away the first time.
    pub away: Duration,
    /// How long at most.
    pub longest_away: Duration,
    /// A router that is too busy again within this time after its return stays away twice as long.
    pub relapse: Duration,
    /// The balancer has noticed after this time: it asks once a second and believes the second answer.
    pub noticed_after: Duration,
    /// For so long after that kept connections are closed. Later ones come because the balancer has no
    /// other choice.
    pub closes_for: Duration,
}

impl Default for SheddingRule {
    fn default() -> Self {
        Self {
            full: 0.5,
            above_siblings: 2.0,
            full_for: Duration::from_secs(2),
            most_away: 0.25,
            smooth_over: Duration::from_secs(1),
            siblings_hold: Duration::from_secs(10),
            away: Duration::from_secs(10),
            longest_away: Duration::from_secs(40),
            relapse: Duration::from_secs(10),
            noticed_after: Duration::from_secs(2),
            closes_for: Duration::from_secs(4),
        }
    }
}

/// What the routers of one availability zone say of themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneLoad {
    /// How many there are.
    pub routers: u32,
    /// How many of them are away.
    pub away: u32,
    /// Mean part of their links in use.
    pub load: f64,
}

/// One time that a router is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Away {
    since: Now,
    until: Now,
}

/// One router's load, and whether it asks for new clients.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shedding {
    rule: SheddingRule,
    /// Part of the link in use, smoothed.
    load: f64,
    measured_at: Now,
    /// Since when it is too much.
    full_since: Option<Now>,
    /// What the siblings said, and when.
    siblings: Option<(ZoneLoad, Now)>,
    away: Option<Away>,
}

impl Shedding {
    /// By this rule.
    pub fn new(rule: SheddingRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Part of the link in use, smoothed.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Takes in which part of its link was in use since the last time. Returns whether it goes away now.
    pub fn measured(&mut self, now: Now, used: f64) -> bool {
        let passed = now.saturating_sub(self.measured_at).as_secs_f64();
        self.measured_at = now;
        let kept = (-passed / self.rule.smooth_over.as_secs_f64()).exp();
        self.load = kept * self.load + (1.0 - kept) * used;
        let since = self.full_since.unwrap_or(now);
        self.full_since = self.is_too_much(now).then_some(since);
        let lasts = self
            .full_since
            .is_some_and(|at| now >= at + self.rule.full_for);
        let goes = lasts && !self.is_away(now);
        if goes {
            let time = self.time_away(now);
            self.away = Some(Away {
                since: now,
                until: now + time,
            });
        }
        goes
    }

    /// Takes in what the routers of its availability zone say of themselves, itself among them.
    pub fn heard(&mut self, now: Now, siblings: ZoneLoad) {
        self.siblings = Some((siblings, now));
    }

    /// Whether it asks for no new clients.
    pub fn is_away(&self, now: Now) -> bool {
        self.away.is_some_and(|away| now < away.until)
    }

    /// Whether kept connections are closed after their present answer.
    pub fn closes(&self, now: Now) -> bool {
        self.away.is_some_and(|away| {
            let from = away.since + self.rule.noticed_after;
            from <= now && now < (from + self.rule.closes_for).min(away.until)
        })
    }

    fn is_too_much(&self, now: Now) -> bool {
        let fresh = |(_, at): &(ZoneLoad, Now)| now < *at + self.rule.siblings_hold;
        let Some((siblings, _)) = self.siblings.filter(fresh) else {
            return false;
        };
        let may_go =
            f64::from(siblings.away + 1) <= self.rule.most_away * f64::from(siblings.routers);
        may_go
            && self.load >= self.rule.full
            && self.load >= self.rule.above_siblings * siblings.load
    }

    fn time_away(&self, now: Now) -> Duration {
        let last = self
            .away
            .filter(|away| now < away.until + self.rule.relapse);
        let time = last.map(|away| 2 * away.until.saturating_sub(away.since));
        time.unwrap_or(self.rule.away).min(self.rule.longest_away)
    }
}

impl ZoneLoad {
    /// Adds up what routers said: the part of their link in use, and whether they are away.
    pub fn of(said: impl IntoIterator<Item = (f64, bool)>) -> Self {
        let (mut zone, mut sum) = (Self::default(), 0.0);
        for (load, is_away) in said {
            zone.routers += 1;
            zone.away += u32::from(is_away);
            sum += load;
        }
        zone.load = sum / f64::from(zone.routers.max(1));
        zone
    }
}
