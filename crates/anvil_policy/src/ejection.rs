//! Which endpoints get less work because they are slow or fail.
//!
//! *Answers:* one endpoint ten times slower than the others, and one that answers errors fast.
//!
//! *Without it:* the slow one holds its share of the callers for ten times as long. The failing
//! one is worse: its runs end at once, so it always looks empty, and a choice by load sends it
//! everything.
//!
//! *How:* a slow endpoint loses half of its share at each tick, so that one bad second costs
//! little; errors cut it to a trickle at once, because each further try is a failed request. The
//! trickle stays: without it nobody would ever learn that the endpoint has recovered. An endpoint
//! that is well again has its whole share at the next tick; a slower rise was measured and taken
//! out (`docs/design/04-decisions.md`, "Taken out").

use std::time::Duration;

use anvil_world::prelude::*;

use crate::endpoint::FULL_SHARE;

/// How endpoints are judged.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionRule {
    /// A slow answer took this many times the pool's median.
    pub times_median: f64,
    /// Slow means more than this part of the newest answers were slow. A mean would do for
    /// answers alike, but a single history among questions lifts a mean to ten times the median.
    pub slow_part: f64,
    /// Failing means more than this part of the newest answers are errors.
    pub error_part: f64,
    /// Least share, in thousandths.
    pub trickle: u32,
    /// At most this part of the pool's shares is taken away, whatever is measured. When more
    /// than half looks bad, the cause is more likely here or in the requests.
    pub most: f64,
    /// A judgement of a silent endpoint is forgotten after this time.
    pub forget: Duration,
}

impl Default for EjectionRule {
    fn default() -> Self {
        Self {
            times_median: 3.0,
            slow_part: 0.6,
            error_part: 0.3,
            trickle: 20,
            most: 0.5,
            forget: Duration::from_secs(10),
        }
    }
}

/// How a try at an endpoint ended, as far as the endpoint is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Try {
    /// It answered; its time for one unit of work (to the first token, or per call).
    Answered(Duration),
    /// It failed, or could not be reached.
    Failed,
}

/// Weight of the newest answer among errors: three errors in a row are judged as failing.
const NEWEST_ERROR: f64 = 1.0 / 8.0;
/// Weight of the newest answer among slow ones: four in a row are judged as slow.
const NEWEST_SLOW: f64 = 1.0 / 4.0;
/// Weight of the newest time.
const NEWEST_TIME: f64 = 1.0 / 16.0;
/// Fewer times than this say nothing yet.
const FEWEST_TIMES: u32 = 4;

/// What is known of one endpoint's answers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    errors: f64,
    slow: f64,
    reference: Option<f64>,
    time: f64,
    times: u32,
    newest: Now,
    target: Option<u32>,
}

impl Record {
    /// Takes in the end of a try.
    pub fn observe(&mut self, now: Now, ended: Try) {
        self.newest = now;
        let failed = match ended {
            Try::Failed => 1.0,
            Try::Answered(time) => {
                self.learn(time);
                0.0
            }
        };
        self.errors += NEWEST_ERROR * (failed - self.errors);
    }

    fn learn(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let weight = if self.times == 0 { 1.0 } else { NEWEST_TIME };
        self.time += weight * (time - self.time);
        self.times = self.times.saturating_add(1);
        let slow = self.reference.is_some_and(|slow_from| time > slow_from);
        self.slow += NEWEST_SLOW * (f64::from(u8::from(slow)) - self.slow);
    }

    /// Whether it fails now.
    pub fn fails(&self, rule: &EjectionRule) -> bool {
        self.errors > rule.error_part
    }

    /// Its mean time, in seconds, once there are enough.
    pub fn time(&self) -> Option<f64> {
        (self.times >= FEWEST_TIMES).then_some(self.time)
    }

    /// The share that it should have, in thousandths.
    pub fn target(&self) -> u32 {
        self.target.unwrap_or(FULL_SHARE)
    }

    fn judge(&mut self, rule: &EjectionRule, now: Now, median: Option<f64>) {
        if now.saturating_sub(self.newest) > rule.forget {
            *self = Self {
                newest: self.newest,
                ..Self::default()
            };
        }
        self.reference = median.map(|median| median * rule.times_median);
        let slow = self.slow > rule.slow_part;
        self.target = if self.fails(rule) {
            Some(rule.trickle)
        } else if slow {
            Some((self.target() / 2).max(rule.trickle))
        } else {
            None
        };
    }
}

/// Judges all endpoints of a pool; on a tick of a second.
pub fn judge(rule: &EjectionRule, now: Now, records: &mut [&mut Record]) {
    let median = median(records);
    for record in records.iter_mut() {
        record.judge(rule, now, median);
    }
    spare_the_least_bad(rule, records);
}

fn median(records: &[&mut Record]) -> Option<f64> {
    let mut times: Vec<f64> = records.iter().filter_map(|record| record.time()).collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len().saturating_sub(1) / 2).copied()
}

/// Gives shares back, least bad first, until no more than the bound is taken away.
fn spare_the_least_bad(rule: &EjectionRule, records: &mut [&mut Record]) {
    let whole = f64::from(FULL_SHARE);
    #[expect(clippy::cast_precision_loss, reason = "pools are small numbers")]
    let mut spare = records.len() as f64 * whole * rule.most;
    let mut worst_first: Vec<usize> = (0..records.len()).collect();
    worst_first.sort_by(|a, b| badness(records[*b]).total_cmp(&badness(records[*a])));
    for at in worst_first {
        let taken = whole - f64::from(records[at].target());
        if taken > spare {
            records[at].target = None;
        } else {
            spare -= taken;
        }
    }
}

fn badness(record: &Record) -> f64 {
    // Errors weigh more than any slowness: a slow answer is still an answer.
    record.errors * 1_000.0 + record.slow
}
