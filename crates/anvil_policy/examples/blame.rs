//! Compares rules by which parts of prompts are blamed for crashes, in a model of a fleet.
//!
//!     cargo run --release -p anvil_policy --example blame
//!
//! Nine endpoints crash under one or two parts, and return after three seconds. Sound prompts begin with
//! the same first part, and share the second one with the crashing ones. For each rule and load it prints
//! the crashes until the last crashing part is refused, the crashes in half a minute, and the share of sound
//! prompts that are refused from six seconds later on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_policy::blame::{self, BlamedGroup};
use anvil_policy::crash::{CrashWatch, RunContents};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: usize = 9;
const ROUTERS: usize = 8;
const STEP: Duration = Duration::from_millis(10);
/// Only sound prompts arrive before this time, where routers know sound parts.
const CALM_TIME: Duration = Duration::from_secs(20);
const CRASHING_TIME: Duration = Duration::from_secs(30);
const RESTART_TIME: Duration = Duration::from_secs(3);
const CRASHING_PER_S: f64 = 1.0;
/// Range of the time to the first event, and the time to the second one.
const FIRST_EVENT_S: (f64, f64) = (0.1, 0.6);
const SECOND_EVENT: Duration = Duration::from_millis(30);
const FIRST_PART: ContentDigest = 1;
const SECOND_PARTS: ContentDigest = 1_000;
const CRASHING_PARTS: ContentDigest = 9_000;
const MIN_CRASH_SPAN: Duration = Duration::from_secs(1);
/// Time from the refusal of the crashing parts, or from the fifth crash, until sound prompts are counted.
const SOUND_AGAIN_AFTER: Duration = Duration::from_secs(6);
const PLAYS: u64 = 100;

/// A rule by which parts are blamed.
#[derive(Clone, Copy)]
struct Rule {
    name: &'static str,
    min_weight: u32,
    min_span: Duration,
    in_groups: bool,
    clears: bool,
}

/// A load on the fleet.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    sound_per_s: f64,
    /// Second parts that sound prompts draw from.
    second_parts: u32,
    /// Whether crashing prompts always have the same second part.
    same_second_part: bool,
    crashing_parts: u32,
    /// When the first sound prompt arrives.
    sound_from: Duration,
    report_time: Duration,
    lost_reports: f64,
}

const USUAL: Load = Load {
    name: "5 in flight, 40 second parts",
    sound_per_s: 100.0,
    second_parts: 40,
    same_second_part: false,
    crashing_parts: 1,
    sound_from: Duration::ZERO,
    report_time: Duration::from_millis(20),
    lost_reports: 0.0,
};

struct Run {
    prompt: Prompt,
    router: usize,
    endpoint: usize,
    first_event_at: Duration,
}

#[derive(Clone)]
struct Prompt {
    parts: Vec<ContentDigest>,
    crashes: bool,
}

struct Report {
    due: Duration,
    endpoint: InstanceId,
    contents: BTreeMap<ContentDigest, CrashedRun>,
}

#[derive(Default)]
struct Counts {
    crashes: u32,
    crashes_until_refused: u32,
    sound: u32,
    sound_refused: u32,
    /// When the last crashing part was refused, or the fifth crash before that.
    known_at: Option<Duration>,
}

struct Fleet {
    rule: Rule,
    load: Load,
    rng: ChaCha8Rng,
    now: Duration,
    runs: Vec<Run>,
    up_at: [Duration; ENDPOINTS],
    lives: [u32; ENDPOINTS],
    routers: Vec<CrashWatch>,
    reports: Vec<Report>,
    suspects: BTreeMap<ContentDigest, SuspectContent>,
    refused: Vec<BlamedGroup>,
    counts: Counts,
}

impl Fleet {
    fn new(rule: Rule, load: Load, seed: u64) -> Self {
        Self {
            rule,
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: load.sound_from.min(CALM_TIME),
            runs: Vec::new(),
            up_at: [Duration::ZERO; ENDPOINTS],
            lives: [0; ENDPOINTS],
            routers: (0..ROUTERS).map(|_| CrashWatch::default()).collect(),
            reports: Vec::new(),
            suspects: BTreeMap::new(),
            refused: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn play(mut self) -> Counts {
        while self.now < CALM_TIME + CRASHING_TIME {
            self.now += STEP;
            if self.now > self.load.sound_from {
                self.receive(self.load.sound_per_s, false);
            }
            if self.now > CALM_TIME {
                self.receive(CRASHING_PER_S * f64::from(self.load.crashing_parts), true);
            }
            self.run();
            self.merge_reports();
        }
        self.counts
    }

    fn receive(&mut self, per_s: f64, crashes: bool) {
        if self.rng.random::<f64>() >= per_s * STEP.as_secs_f64() {
            return;
        }
        let prompt = self.draw_prompt(crashes);
        let parts: BTreeSet<_> = prompt.parts.iter().copied().collect();
        let is_refused = self.refused.iter().any(|group| group.is_subset(&parts));
        let judged_from = self.counts.known_at.map(|at| at + SOUND_AGAIN_AFTER);
        if !crashes && judged_from.is_some_and(|from| self.now > from) {
            self.counts.sound += 1;
            self.counts.sound_refused += u32::from(is_refused);
        }
        let up: Vec<_> = (0..ENDPOINTS)
            .filter(|at| self.up_at[*at] <= self.now)
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        let (low, high) = FIRST_EVENT_S;
        let first_event = Duration::from_secs_f64(self.rng.random_range(low..high));
        self.runs.push(Run {
            prompt,
            router: self.rng.random_range(0..ROUTERS),
            endpoint: up[self.rng.random_range(0..up.len())],
            first_event_at: self.now + first_event,
        });
    }

    fn draw_prompt(&mut self, crashes: bool) -> Prompt {
        let second = self.rng.random_range(0..self.load.second_parts);
        let second = if crashes && self.load.same_second_part {
            0
        } else {
            second
        };
        let mut parts = vec![FIRST_PART, SECOND_PARTS + ContentDigest::from(second)];
        if crashes {
            let crashing = self.rng.random_range(0..self.load.crashing_parts);
            parts.push(CRASHING_PARTS + ContentDigest::from(crashing));
        }
        Prompt { parts, crashes }
    }

    fn run(&mut self) {
        let begun = |run: &Run| run.first_event_at <= self.now;
        let crashing = self
            .runs
            .iter()
            .filter(|run| run.prompt.crashes && begun(run));
        let crashed: BTreeSet<_> = crashing.map(|run| run.endpoint).collect();
        for endpoint in crashed {
            self.crash(endpoint);
        }
        let now = self.now;
        let (answered, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.first_event_at + SECOND_EVENT <= now);
        self.runs = running;
        for run in answered {
            self.routers[run.router].record_shared_answers(now, &run.prompt.parts);
            if !self.rule.clears {
                continue;
            }
            for part in &run.prompt.parts {
                self.suspects.remove(part);
            }
        }
        self.update_refused();
    }

    fn crash(&mut self, endpoint: usize) {
        let now = self.now;
        self.lives[endpoint] += 1;
        self.up_at[endpoint] = now + RESTART_TIME;
        self.counts.crashes += 1;
        if self.counts.crashes == 5 {
            self.counts.known_at.get_or_insert(now);
        }
        let id: InstanceId = format!("{endpoint}-{}", self.lives[endpoint]).into();
        let (lost, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<_>, _>(|run| run.endpoint == endpoint);
        self.runs = running;
        for run in &lost {
            let contents = RunContents {
                request: self.rng.random(),
                shared: run.prompt.parts.clone(),
            };
            let has_output = run.first_event_at < now && !run.prompt.crashes;
            let progress = if has_output {
                CrashedRun::AfterOutput
            } else {
                CrashedRun::BeforeOutput
            };
            self.routers[run.router].record_lost_answer(now, &id, &contents, progress);
        }
        for router in &mut self.routers {
            let mut contents = router.record_crash(now, &id);
            contents.retain(|content, _| *content < ContentDigest::from(u32::MAX));
            if self.rng.random::<f64>() >= self.load.lost_reports {
                self.reports.push(Report {
                    due: now + self.load.report_time.mul_f64(self.rng.random()),
                    endpoint: id.clone(),
                    contents,
                });
            }
        }
    }

    fn merge_reports(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition::<Vec<_>, _>(|report| report.due <= now);
        self.reports = pending;
        let clock: SystemTime = UNIX_EPOCH + now;
        for report in due {
            for (part, run) in report.contents {
                let suspect = self
                    .suspects
                    .entry(part)
                    .or_insert_with(|| SuspectContent::new(clock));
                suspect.record_crash(&report.endpoint, run, clock);
            }
        }
        if self.rule.clears {
            let routers = &mut self.routers;
            let min_weight = self.rule.min_weight;
            self.suspects.retain(|part, suspect| {
                let is_announced = (3..min_weight).contains(&suspect.weight());
                !is_announced || !routers.iter_mut().any(|router| router.clears(now, *part))
            });
        }
        self.update_refused();
    }

    fn update_refused(&mut self) {
        let rule = self.rule;
        let named = self.suspects.iter().filter(|(_, suspect)| {
            suspect.weight() >= rule.min_weight && suspect.crash_span() >= rule.min_span
        });
        let named = named.map(|(part, suspect)| (*part, suspect));
        self.refused = if rule.in_groups {
            blame::groups(named)
        } else {
            named.map(|(part, _)| BTreeSet::from([part])).collect()
        };
        let crashing = 0..self.load.crashing_parts;
        let is_refused = |number| {
            let part = CRASHING_PARTS + ContentDigest::from(number);
            self.refused.iter().any(|group| group.contains(&part))
        };
        if self.counts.crashes_until_refused == 0 && crashing.into_iter().all(is_refused) {
            self.counts.crashes_until_refused = self.counts.crashes;
            self.counts.known_at.get_or_insert(self.now);
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len().max(1)).unwrap_or(u32::MAX);
    values.iter().sum::<f64>() / f64::from(count)
}

fn print_row(rule: Rule, load: Load) {
    let plays: Vec<_> = (0..PLAYS)
        .map(|seed| Fleet::new(rule, load, seed).play())
        .collect();
    let column = |value: fn(&Counts) -> f64| plays.iter().map(value).collect::<Vec<_>>();
    let until = column(|counts| f64::from(counts.crashes_until_refused));
    let never = until.iter().filter(|crashes| **crashes == 0.0).count();
    let crashes = column(|counts| f64::from(counts.crashes));
    let most = crashes.iter().copied().fold(0.0, f64::max);
    let refused = column(|counts| f64::from(counts.sound_refused) / f64::from(counts.sound.max(1)));
    println!(
        "| {} | {} | {:.1} | {never} | {:.1}, {most} | {:.3} |",
        load.name,
        rule.name,
        mean(&until),
        mean(&crashes),
        mean(&refused)
    );
}

fn rules() -> [Rule; 4] {
    [
        Rule {
            name: "two crashes, each part",
            min_weight: 4,
            min_span: Duration::ZERO,
            in_groups: false,
            clears: true,
        },
        Rule {
            name: "three crashes, each part",
            min_weight: 6,
            min_span: Duration::ZERO,
            in_groups: false,
            clears: true,
        },
        Rule {
            name: "three, each part, no answer clears",
            min_weight: 6,
            min_span: Duration::ZERO,
            in_groups: false,
            clears: false,
        },
        Rule {
            name: "three in a second or more, in groups",
            min_weight: 6,
            min_span: MIN_CRASH_SPAN,
            in_groups: true,
            clears: true,
        },
    ]
}

fn loads() -> [Load; 12] {
    [
        USUAL,
        Load {
            name: "1 in flight",
            sound_per_s: 25.0,
            ..USUAL
        },
        Load {
            name: "30 in flight",
            sound_per_s: 700.0,
            ..USUAL
        },
        Load {
            name: "2 second parts",
            second_parts: 2,
            ..USUAL
        },
        Load {
            name: "the same second part of 40",
            same_second_part: true,
            ..USUAL
        },
        Load {
            name: "the same of 40, no calm before",
            same_second_part: true,
            sound_from: CALM_TIME,
            ..USUAL
        },
        Load {
            name: "the same of 400, no calm, 25 a second",
            sound_per_s: 25.0,
            second_parts: 400,
            same_second_part: true,
            sound_from: CALM_TIME,
            ..USUAL
        },
        Load {
            name: "sound prompts from 10 s after the crashes",
            sound_from: CALM_TIME + Duration::from_secs(10),
            ..USUAL
        },
        Load {
            name: "the same, and the same second part",
            same_second_part: true,
            sound_from: CALM_TIME + Duration::from_secs(10),
            ..USUAL
        },
        Load {
            name: "two crashing parts",
            crashing_parts: 2,
            ..USUAL
        },
        Load {
            name: "reports up to 1 s late",
            report_time: Duration::from_secs(1),
            ..USUAL
        },
        Load {
            name: "a third of the reports lost",
            lost_reports: 0.33,
            ..USUAL
        },
    ]
}

fn main() {
    println!(
        "| load | rule | crashes until refused | never, of {PLAYS} | crashes: mean, most | sound refused |"
    );
    println!("|---|---|---|---|---|---|");
    for load in loads() {
        for rule in rules() {
            print_row(rule, load);
        }
    }
}
