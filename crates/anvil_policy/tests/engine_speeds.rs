//! Choice among engines of different speeds and memory, without a network. An engine is a queue of
//! prefill work and a batch whose every request slows it.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::engine::home::WeightedRank;
use anvil_policy::engine::memory::{MemoryDemand, RequestSizes};
use anvil_policy::engine::speed::{ReportedWork, ServiceSpeed, WorkAhead};
use anvil_policy::engine::{EndpointView, EngineRule, HomeWeight, Prompt};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTERS: usize = 4;
const REQUESTS: u64 = 10_000;
/// The first requests are not counted: caches are empty.
const WARM_UP_REQUESTS: u64 = 1_500;
const SHARED_PREFIXES: u64 = 158;
const SHARED_TOKENS: Tokens = 6_300;
const OWN_TOKENS: Tokens = 2_890;
/// Shared prefixes that an engine's cache holds: one and a half times an equal part of them.
const CACHED_PREFIXES: usize = 27;
const SLOTS: u32 = 64;
const TARGET: Duration = Duration::from_millis(400);
/// A request is refused if its first event is expected later.
const LATEST: Duration = Duration::from_secs(3);
/// Speeds relative to usual: three engines of each.
const ENGINES: usize = 9;
const SPEEDS: [f64; ENGINES] = [0.5, 1.0, 1.2, 0.5, 1.0, 1.2, 0.5, 1.0, 1.2];

struct Engine {
    tokens_per_ms: f64,
    speed: f64,
    /// Shared prefixes in its cache, the least recently used one first.
    cached: Vec<u64>,
    prefilled_at: Now,
    waiting: u32,
    running: u32,
    /// Tokens in its memory.
    held: Tokens,
}

impl Engine {
    fn new(speed: f64, tokens_per_ms: f64) -> Self {
        Self {
            tokens_per_ms: speed * tokens_per_ms,
            speed,
            cached: Vec::new(),
            prefilled_at: Now::ZERO,
            waiting: 0,
            running: 0,
            held: 0,
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
        let is_cached = self.cached.contains(&prefix);
        self.cached.retain(|cached| *cached != prefix);
        self.cached.push(prefix);
        if self.cached.len() > CACHED_PREFIXES {
            self.cached.remove(0);
        }
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
    ahead: WorkAhead,
    sent_at: Now,
    prompt: Tokens,
    output: u32,
    /// Prompt and expected output.
    expected: Tokens,
    is_counted: bool,
}

enum Event {
    First(Request),
    Last(Request),
}

#[derive(Debug, Default)]
struct Served {
    first_events: Vec<Duration>,
    /// Requests that overfilled an engine's memory.
    overfilling: u32,
    /// Requests for which no engine had room.
    refused: u32,
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

/// What routers make of the times to first events.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Learning {
    /// Nothing: all engines are assumed to be as the rule says.
    Nothing,
    Speeds,
    SpeedsAndHomes,
}

#[derive(Clone, Default)]
struct Router {
    views: Vec<EndpointView>,
    service: ServiceSpeed,
    sizes: RequestSizes,
}

struct Pool {
    rule: EngineRule,
    learning: Learning,
    /// Tokens that an engine's memory holds.
    capacity: Tokens,
    /// Whether routers know that.
    states_capacity: bool,
    /// Mean tokens of a response.
    output: u32,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    events: BTreeMap<(Now, u64), Event>,
    served: Served,
}

impl Pool {
    fn new(speeds: [f64; ENGINES], tokens_per_ms: f64, learning: Learning) -> Self {
        let engines = speeds.map(|speed| Engine::new(speed, tokens_per_ms));
        let router = Router {
            views: vec![EndpointView::default(); ENGINES],
            ..Router::default()
        };
        Self {
            rule: EngineRule::default(),
            learning,
            capacity: Tokens::MAX,
            states_capacity: false,
            output: 100,
            engines: engines.into(),
            routers: vec![router; ROUTERS],
            events: BTreeMap::new(),
            served: Served::default(),
        }
    }

    /// Sends requests at this rate until all have been answered.
    fn serve(mut self, per_second: f64) -> Served {
        let mut now = Now::ZERO;
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        for number in 0..REQUESTS {
            let gap: f64 = rng.random_range(0.0..2.0);
            now += Duration::from_secs_f64(gap / per_second);
            self.run_until(now);
            let prefix = 1 + rng.random_range(0..SHARED_PREFIXES);
            let own = OWN_TOKENS / 2 + rng.random_range(0..OWN_TOKENS);
            let parts = [(prefix, SHARED_TOKENS), (1_000_000 + number, own)];
            let prompt = Prompt {
                parts: &parts,
                max_output: 8 * Tokens::from(self.output),
            };
            let router = rng.random_range(0..ROUTERS);
            let output = rng.random_range(self.output / 2..3 * self.output / 2);
            let Some((engine, missing)) = self.choose(now, router, &prompt) else {
                self.served.refused += 1;
                continue;
            };
            let Router {
                views,
                service,
                sizes,
            } = &mut self.routers[router];
            let rule = service.apply_to(&self.rule);
            let ahead = views[engine].work_ahead(now, &rule, &prompt, missing, SLOTS);
            views[engine].record_start(now, &rule, &prompt, missing);
            let expected = prompt.tokens() + sizes.expected_output(prompt.max_output);
            views[engine].hold_tokens(expected);
            let first_at = self.engines[engine].start(now, &prompt);
            let held = &mut self.engines[engine].held;
            *held += prompt.tokens() + Tokens::from(output);
            self.served.overfilling += u32::from(*held > self.capacity);
            let request = Request {
                router,
                engine,
                missing,
                ahead,
                sent_at: now,
                prompt: prompt.tokens(),
                output,
                expected,
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
                    let output = Tokens::from(request.output);
                    let engine = &mut self.engines[request.engine];
                    engine.running -= 1;
                    engine.held -= request.prompt + output;
                    let router = &mut self.routers[request.router];
                    router.sizes.record(request.prompt, output);
                    let view = &mut router.views[request.engine];
                    view.record_end();
                    view.release_tokens(request.expected);
                }
            }
        }
    }

    fn receive_first(&mut self, now: Now, request: &Request) -> Now {
        let engine = &mut self.engines[request.engine];
        let last_at = engine.end_prefill(now, request.output);
        let Router { views, service, .. } = &mut self.routers[request.router];
        let view = &mut views[request.engine];
        view.apply_report(now, engine.running, engine.waiting, SLOTS);
        view.end_prefill(request.missing);
        let took = now.saturating_sub(request.sent_at);
        if self.learning >= Learning::Speeds {
            view.record_first_event(now, &self.rule, service, &request.ahead, took, SLOTS);
        }
        if request.is_counted {
            self.served.first_events.push(took);
        }
        last_at
    }

    /// Chooses an engine in the same way as a gateway does.
    fn choose(&self, now: Now, router: usize, prompt: &Prompt<'_>) -> Option<(usize, Tokens)> {
        let Router {
            views,
            service,
            sizes,
        } = &self.routers[router];
        let request = prompt.tokens() + sizes.expected_output(prompt.max_output);
        let demand = MemoryDemand {
            capacity: self.capacity,
            request,
            mean_request: sizes.mean().unwrap_or(request),
        };
        let rule = service.apply_to(&self.rule);
        let rank = |at: usize| {
            let weight = if self.learning >= Learning::SpeedsAndHomes {
                views[at].home_weight()
            } else {
                HomeWeight::default()
            };
            WeightedRank::new(prompt.parts[0].0, &format!("e{at}"), weight)
        };
        let home = (0..views.len()).reduce(|best, at| {
            if rank(at).is_above(&rank(best)) {
                at
            } else {
                best
            }
        });
        let with_room = views
            .iter()
            .enumerate()
            .filter(|(_, view)| !self.states_capacity || view.has_memory_for(now, &demand));
        let candidates = with_room.map(|(at, view)| {
            let missing = view.missing_tokens(now, &rule, prompt, Some(at) == home);
            let expected = view.expected_first_token(now, &rule, missing, SLOTS);
            let reload = if self.learning >= Learning::Speeds {
                view.reload_cost(now, &rule, prompt.missing_shared(missing))
            } else {
                Duration::ZERO
            };
            (expected + reload, at, missing)
        });
        let (_, at, missing) = candidates.min()?;
        let expected = views[at].expected_first_token(now, &rule, missing, SLOTS);
        (expected < LATEST).then_some((at, missing))
    }
}

fn compare(speeds: [f64; ENGINES], tokens_per_ms: f64, per_second: f64) -> [Served; 3] {
    let learnings = [
        Learning::Nothing,
        Learning::Speeds,
        Learning::SpeedsAndHomes,
    ];
    learnings.map(|learning| {
        let pool = Pool::new(speeds, tokens_per_ms, learning);
        let served = pool.serve(per_second);
        let late = served.late_per_thousand();
        println!("mean {:?}, late {late} of 1000", served.mean());
        served
    })
}

/// Guards against prompts that queue at slow engines while faster ones are idle. Engines of one
/// service are 0.5, 1 and 1.2 times as fast as usual.
#[test]
fn engines_of_different_speeds() {
    let [assumed, speeds, homes] = compare(SPEEDS, 39.0, 40.0);
    assert!(speeds.mean() < assumed.mean());
    assert!(speeds.late_per_thousand() < assumed.late_per_thousand());
    assert!(homes.mean() < speeds.mean());
    assert!(homes.mean() < assumed.mean().mul_f64(0.9));
    assert!(2 * homes.late_per_thousand() <= assumed.late_per_thousand());
}

/// Guards against prefixes that are prefilled again at many engines, because their homes' batches
/// are taken for slower than they are: the same engines prefill four times as fast as assumed.
#[test]
fn engines_four_times_as_fast_as_assumed() {
    let [assumed, speeds, homes] = compare(SPEEDS, 157.0, 150.0);
    for learned in [speeds, homes] {
        assert!(learned.mean() < assumed.mean().mul_f64(0.9));
        assert!(learned.late_per_thousand() <= assumed.late_per_thousand());
    }
}

/// Guards against learned noise where all engines are as the rule assumes: homes stay where they
/// are, and nothing is served later.
#[test]
fn engines_as_assumed() {
    let [assumed, speeds, homes] = compare([1.0; ENGINES], 39.0, 45.0);
    // The tolerances are differences between seeds.
    assert!(speeds.mean() < assumed.mean().mul_f64(1.03));
    assert!(speeds.late_per_thousand() <= assumed.late_per_thousand() + 2);
    assert_eq!(speeds.first_events, homes.first_events);
}

/// Guards against engines that crash because requests overfill their memory while their slots are
/// free: long responses, with memory for 24 and for 12 requests.
#[test]
fn memory_that_is_full_before_the_slots() {
    for (capacity, per_second) in [(228_000, 40.0), (114_000, 20.0)] {
        let [unaware, aware] = [false, true].map(|states_capacity| {
            let mut pool = Pool::new(SPEEDS, 39.0, Learning::SpeedsAndHomes);
            pool.capacity = capacity;
            pool.states_capacity = states_capacity;
            pool.output = 250;
            let served = pool.serve(per_second);
            let (mean, late) = (served.mean(), served.late_per_thousand());
            let (overfilling, refused) = (served.overfilling, served.refused);
            println!("mean {mean:?}, late {late}; {overfilling} overfill, {refused} refused");
            served
        });
        assert!(unaware.overfilling > 0);
        assert!(aware.overfilling * 5 < unaware.overfilling);
        assert_eq!(aware.refused, 0);
    }
}

/// Guards against requests that are refused though they would fit: expected output counts, not the
/// maximum, and before any request has ended, half of that.
#[test]
fn output_is_expected_to_be_as_long_as_before() {
    let mut sizes = RequestSizes::default();
    assert_eq!((sizes.expected_output(4_000), sizes.mean()), (2_000, None));
    for output in [100, 300, 200] {
        sizes.record(1_000, output);
    }
    assert_eq!(
        (sizes.expected_output(4_000), sizes.mean()),
        (200, Some(1_200))
    );
    assert_eq!(sizes.expected_output(50), 50);
}

/// Guards against an engine that is overfilled by requests of which this router knows only the
/// number, and against one that is passed over for good after its last report.
#[test]
fn requests_of_other_routers_fill_memory_until_their_report_is_old() {
    let demand = MemoryDemand {
        capacity: 10_000,
        request: 1_000,
        mean_request: 1_000,
    };
    let mut view = EndpointView::default();
    assert!(view.has_memory_for(Now::ZERO, &demand));
    view.apply_report(Now::ZERO, 5, 3, SLOTS);
    assert!(view.has_memory_for(Now::ZERO, &demand));
    view.hold_tokens(1_000);
    assert!(!view.has_memory_for(Duration::from_secs(1), &demand));
    assert!(view.has_memory_for(Duration::from_secs(4), &demand));
    view.hold_tokens(8_000);
    assert!(!view.has_memory_for(Duration::from_mins(1), &demand));
    view.release_tokens(9_000);
    assert!(view.has_memory_for(Duration::from_mins(1), &demand));
}

/// Guards against a prompt that no engine ever takes, because it alone exceeds what is counted as
/// usable.
#[test]
fn empty_engine_takes_any_request() {
    let demand = MemoryDemand {
        capacity: 10_000,
        request: 9_900,
        mean_request: 1_000,
    };
    let mut view = EndpointView::default();
    assert!(view.has_memory_for(Now::ZERO, &demand));
    view.hold_tokens(1);
    assert!(!view.has_memory_for(Now::ZERO, &demand));
}

fn sample(new_tokens: Tokens) -> WorkAhead {
    WorkAhead {
        new_tokens,
        is_cache_known: true,
        pending_tokens: 0,
        reported: Some(ReportedWork {
            others_tokens: 0,
            fullness: 0.0,
        }),
    }
}

/// One engine, to which prompts of 3,000 tokens are sent.
#[derive(Default)]
struct Observed {
    rule: EngineRule,
    view: EndpointView,
    service: ServiceSpeed,
}

impl Observed {
    const TOKENS: Tokens = 3_000;

    fn expected(&self) -> Duration {
        let rule = self.service.apply_to(&self.rule);
        self.view
            .expected_first_token(Now::ZERO, &rule, Self::TOKENS, SLOTS)
    }

    fn observe(&mut self, ahead: &WorkAhead, took: Duration, times: u32) {
        for _ in 0..times {
            let Self {
                rule,
                view,
                service,
            } = self;
            view.record_first_event(Now::ZERO, rule, service, ahead, took, SLOTS);
        }
    }

    /// Expected time relative to another one.
    fn ratio_to(&self, time: Duration) -> f64 {
        self.expected().as_secs_f64() / time.as_secs_f64()
    }
}

/// Guards against an engine that is avoided, or overrun, because of a single response.
#[test]
fn one_late_response_changes_little() {
    let mut engine = Observed::default();
    let usual = engine.expected();
    engine.observe(&sample(Observed::TOKENS), usual, 20);
    engine.observe(&sample(Observed::TOKENS), 50 * usual, 1);
    let ratio = engine.ratio_to(usual);
    assert!((1.0..1.1).contains(&ratio), "{ratio}");
}

/// Guards against an estimate that stays with the first prior: services whose engines prefill five
/// times as fast, and at half the speed.
#[test]
fn speed_far_from_the_prior_is_learned_within_a_few_responses() {
    for (factor, responses) in [(0.2, 15), (2.0, 30)] {
        let mut engine = Observed::default();
        let took = engine.expected().mul_f64(factor);
        engine.observe(&sample(Observed::TOKENS), took, responses);
        let ratio = engine.ratio_to(took);
        assert!((0.75..1.35).contains(&ratio), "{factor}: {ratio}");
    }
}

/// Guards against an engine that became slow and is fast again, but is still avoided, or one that
/// became slow and isn't.
#[test]
fn engine_that_changes_its_speed_is_followed() {
    let mut engine = Observed::default();
    let usual = engine.expected();
    for factor in [1.0, 2.0, 1.0] {
        engine.observe(&sample(Observed::TOKENS), usual.mul_f64(factor), 40);
        let ratio = engine.ratio_to(usual.mul_f64(factor));
        assert!((0.8..1.25).contains(&ratio), "{factor}: {ratio}");
    }
}

/// Guards against a new engine that is assumed to be like the rule, not like its service.
#[test]
fn new_engine_is_expected_to_be_like_its_service() {
    let mut engine = Observed::default();
    let took = engine.expected().mul_f64(0.3);
    for _ in 0..6 {
        engine.observe(&sample(Observed::TOKENS), took, 10);
        engine.view = EndpointView::default();
    }
    let ratio = engine.ratio_to(took);
    assert!((0.7..1.4).contains(&ratio), "{ratio}");
}

/// Guards against one slow engine that makes all engines of its service look slow.
#[test]
fn slow_engine_among_fast_ones_is_told_apart() {
    let mut observed = Observed::default();
    let usual = observed.expected();
    let mut views = vec![EndpointView::default(); 6];
    for _ in 0..40 {
        for (at, view) in views.iter_mut().enumerate() {
            std::mem::swap(view, &mut observed.view);
            let factor = if at == 0 { 1.8 } else { 1.0 };
            observed.observe(&sample(Observed::TOKENS), usual.mul_f64(factor), 1);
            std::mem::swap(view, &mut observed.view);
        }
    }
    let mut ratios = views.into_iter().map(|view| {
        observed.view = view;
        observed.ratio_to(usual)
    });
    let slow = ratios.next().expect("six engines");
    assert!((1.5..2.0).contains(&slow), "{slow}");
    for fast in ratios {
        assert!((0.9..1.1).contains(&fast), "{fast}");
    }
}

/// Guards against speeds learned from what was queued while reports were late: without a recent
/// report, a response teaches less.
#[test]
fn responses_without_a_recent_report_teach_less() {
    let unreported = WorkAhead {
        reported: None,
        ..sample(Observed::TOKENS)
    };
    let expected_after = |ahead| {
        let mut engine = Observed::default();
        let slow = 2 * engine.expected();
        engine.observe(ahead, slow, 3);
        engine.ratio_to(slow)
    };
    let (reported, unreported) = (
        expected_after(&sample(Observed::TOKENS)),
        expected_after(&unreported),
    );
    assert!((0.5..0.6).contains(&unreported), "{unreported}");
    assert!(reported > unreported + 0.05, "{reported} {unreported}");
}

/// Guards against speeds learned from responses that say little about them: tiny prompts, and
/// prompts behind many of other routers.
#[test]
fn responses_that_say_little_about_speed_teach_little() {
    let mut engine = Observed::default();
    let usual = engine.expected();
    engine.observe(&sample(100), 2 * usual, 20);
    assert_eq!(engine.expected(), usual);
    let behind_others = WorkAhead {
        reported: Some(ReportedWork {
            others_tokens: 30 * Observed::TOKENS,
            fullness: 0.0,
        }),
        ..sample(Observed::TOKENS)
    };
    engine.observe(&behind_others, 60 * usual, 20);
    let ratio = engine.ratio_to(usual);
    assert!((1.0..1.1).contains(&ratio), "{ratio}");
}

/// Guards against a stated slow-down that counts twice: as pace, and as learned speed.
#[test]
fn stated_pace_is_not_learned_as_speed() {
    let mut engine = Observed::default();
    let usual = engine.expected();
    engine.view.apply_pace(Now::ZERO, 300);
    engine.observe(&sample(Observed::TOKENS), 3 * usual, 50);
    let ratio = engine.ratio_to(3 * usual);
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

/// Guards against homes that move although engines are alike, or that only some routers move: small
/// differences leave all weights equal, and larger ones give them in proportion.
#[test]
fn homes_follow_lasting_differences_of_speed() {
    let weight = |factor: f64| {
        let mut engine = Observed::default();
        let took = engine.expected().mul_f64(factor);
        let mut weights = Vec::new();
        for _ in 0..200 {
            // The service remains as fast as assumed.
            engine.service = ServiceSpeed::default();
            engine.observe(&sample(Observed::TOKENS), took, 1);
            weights.push(engine.view.home_weight());
        }
        (weights[2], weights[199])
    };
    let (early, alike) = weight(1.1);
    assert_eq!((early, alike), <(HomeWeight, HomeWeight)>::default());
    assert_eq!(weight(0.9), (early, alike));
    let (early, slow) = weight(2.0);
    assert_eq!(early, HomeWeight::default());
    let count_slow_homes = |slow: HomeWeight| {
        let homes = (0..3_000).filter(|prefix| {
            let rank = |id, weight| WeightedRank::new(*prefix, id, weight);
            let slow = rank("slow", slow);
            slow.is_above(&rank("a", alike)) && slow.is_above(&rank("b", alike))
        });
        homes.count()
    };
    let slow_homes = count_slow_homes(slow);
    assert!((450..750).contains(&slow_homes), "{slow_homes} of 3000");
    assert!((900..1_100).contains(&count_slow_homes(alike)));
}

/// Guards against prefixes that move between engines whose speeds have not changed.
#[test]
fn change_of_a_weight_moves_only_homes_of_that_engine() {
    let mut engine = Observed::default();
    let took = engine.expected().mul_f64(3.0);
    engine.observe(&sample(Observed::TOKENS), took, 100);
    let lower = engine.view.home_weight();
    let usual = HomeWeight::default();
    for prefix in 0..1_000 {
        let home = |changed| {
            let ranks = ["a", "b", "c"].map(|id| {
                let weight = if id == "a" { changed } else { usual };
                (id, WeightedRank::new(prefix, id, weight))
            });
            let best = ranks.into_iter().reduce(|best, other| {
                if other.1.is_above(&best.1) {
                    other
                } else {
                    best
                }
            });
            best.expect("three engines").0
        };
        let before = home(usual);
        assert!(home(lower) == before || before == "a");
    }
}
