//! Choice among engines of different speeds and memory, without a network. An engine is a queue of
//! prefill work and a batch whose every request slows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_policy::engine::{EndpointView, EngineRule, Prompt, home_rank};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTERS: usize = 4;
const REQUESTS: u64 = 6_000;
/// The first requests are not counted: caches are empty.
const WARM_UP_REQUESTS: u64 = 1_500;
const SHARED_PREFIXES: u64 = 158;
const SHARED_TOKENS: Tokens = 6_300;
const OWN_TOKENS: Tokens = 2_890;
const SLOTS: u32 = 64;
const TARGET: Duration = Duration::from_millis(400);
/// Speeds relative to usual: three engines of each.
const SPEEDS: [f64; 9] = [0.5, 1.0, 1.2, 0.5, 1.0, 1.2, 0.5, 1.0, 1.2];

struct Engine {
    tokens_per_ms: f64,
    speed: f64,
    cached: BTreeSet<u64>,
    prefilled_at: Now,
    waiting: u32,
    running: u32,
}

impl Engine {
    fn new(speed: f64, tokens_per_ms: f64) -> Self {
        Self {
            tokens_per_ms: speed * tokens_per_ms,
            speed,
            cached: BTreeSet::new(),
            prefilled_at: Now::ZERO,
            waiting: 0,
            running: 0,
        }
    }

    fn fullness(&self) -> f64 {
        f64::from(self.running) / f64::from(SLOTS)
    }

    /// Takes a request on, and returns the time of its first event.
    fn start(&mut self, now: Now, prompt: &Prompt<'_>) -> Now {
        let [(prefix, shared), (_, own)] = *prompt.parts else {
            panic!("a shared part and an own one");
        };
        let is_cached = !self.cached.insert(prefix);
        let missing = if is_cached { own } else { own + shared };
        let missing = f64::from(u32::try_from(missing).expect("few tokens"));
        let ms = missing / self.tokens_per_ms * (1.0 + self.fullness());
        self.prefilled_at = self.prefilled_at.max(now) + Duration::from_secs_f64(ms / 1e3);
        self.waiting += 1;
        self.prefilled_at
    }

    /// The first event is sent; returns the time of the last one.
    fn end_prefill(&mut self, now: Now, output: u32) -> Now {
        self.waiting -= 1;
        self.running += 1;
        let step_ms = 8.0 * (1.0 + self.fullness()) / self.speed;
        now + Duration::from_secs_f64(f64::from(output) * step_ms / 1e3)
    }
}

struct Request {
    router: usize,
    engine: usize,
    missing: Tokens,
    sent_at: Now,
    output: u32,
    is_counted: bool,
}

enum Event {
    First(Request),
    Last(Request),
}

#[derive(Debug, Default)]
struct Served {
    first_events: Vec<Duration>,
}

impl Served {
    fn mean(&self) -> Duration {
        let count = u32::try_from(self.first_events.len()).expect("few requests");
        self.first_events.iter().sum::<Duration>() / count
    }

    fn late_per_thousand(&self) -> usize {
        let late = self.first_events.iter().filter(|time| **time > TARGET);
        1_000 * late.count() / self.first_events.len()
    }
}

struct Pool {
    rule: EngineRule,
    engines: Vec<Engine>,
    routers: Vec<Vec<EndpointView>>,
    events: BTreeMap<(Now, u64), Event>,
    served: Served,
}

impl Pool {
    fn new(tokens_per_ms: f64) -> Self {
        let engines = SPEEDS.map(|speed| Engine::new(speed, tokens_per_ms));
        Self {
            rule: EngineRule::default(),
            engines: engines.into(),
            routers: vec![vec![EndpointView::default(); SPEEDS.len()]; ROUTERS],
            events: BTreeMap::new(),
            served: Served::default(),
        }
    }

    /// Sends requests at this rate until all have been answered.
    fn serve(mut self, per_second: f64) -> Served {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut now = Now::ZERO;
        for number in 0..REQUESTS {
            let gap: f64 = rng.random_range(0.0..2.0);
            now += Duration::from_secs_f64(gap / per_second);
            self.run_until(now);
            let prefix = 1 + rng.random_range(0..SHARED_PREFIXES);
            let own = OWN_TOKENS / 2 + rng.random_range(0..OWN_TOKENS);
            let parts = [(prefix, SHARED_TOKENS), (1_000_000 + number, own)];
            let prompt = Prompt { parts: &parts };
            let router = rng.random_range(0..ROUTERS);
            let (engine, missing) = self.choose(now, router, &prompt);
            let view = &mut self.routers[router][engine];
            view.record_start(now, &self.rule, &prompt, missing);
            let first_at = self.engines[engine].start(now, &prompt);
            let request = Request {
                router,
                engine,
                missing,
                sent_at: now,
                output: rng.random_range(50..150),
                is_counted: number >= WARM_UP_REQUESTS,
            };
            self.events
                .insert((first_at, number), Event::First(request));
        }
        self.run_until(Now::MAX);
        self.served
    }

    fn run_until(&mut self, until: Now) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            let ((now, number), event) = entry.remove_entry();
            match event {
                Event::First(request) => {
                    let last_at = self.receive_first(now, &request);
                    self.events.insert((last_at, number), Event::Last(request));
                }
                Event::Last(request) => {
                    self.engines[request.engine].running -= 1;
                    self.routers[request.router][request.engine].record_end();
                }
            }
        }
    }

    fn receive_first(&mut self, now: Now, request: &Request) -> Now {
        let engine = &mut self.engines[request.engine];
        let last_at = engine.end_prefill(now, request.output);
        let view = &mut self.routers[request.router][request.engine];
        view.apply_report(now, engine.running, engine.waiting, SLOTS);
        view.end_prefill(request.missing);
        if request.is_counted {
            self.served
                .first_events
                .push(now.saturating_sub(request.sent_at));
        }
        last_at
    }

    fn choose(&self, now: Now, router: usize, prompt: &Prompt<'_>) -> (usize, Tokens) {
        let views = &self.routers[router];
        let rank = |at: &usize| home_rank(prompt.parts[0].0, &format!("e{at}"));
        let home = (0..views.len()).max_by_key(rank);
        let candidates = views.iter().enumerate().map(|(at, view)| {
            let missing = view.missing_tokens(now, &self.rule, prompt, Some(at) == home);
            let expected = view.expected_first_token(now, &self.rule, missing, SLOTS);
            (expected, at, missing)
        });
        let (_, at, missing) = candidates.min().expect("at least one engine");
        (at, missing)
    }
}

/// Engines of one service are 0.5, 1 and 1.2 times as fast as usual.
#[test]
fn engines_of_different_speeds() {
    let served = Pool::new(39.0).serve(55.0);
    let late = served.late_per_thousand();
    println!("mean {:?}, late {late} of 1000", served.mean());
    assert!(!served.first_events.is_empty());
}

/// The same engines prefill four times as fast as the rule assumes.
#[test]
fn engines_four_times_as_fast_as_assumed() {
    let served = Pool::new(157.0).serve(200.0);
    let late = served.late_per_thousand();
    println!("mean {:?}, late {late} of 1000", served.mean());
    assert!(!served.first_events.is_empty());
}
