//! A model of routers before endpoints that ask for a pause whenever they are full.

use std::time::Duration;

use anvil_policy::pause::{Pause, bears_another};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTERS: usize = 8;
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 6;
/// Requests that wait at an endpoint before it turns others away.
const QUEUE: usize = 3;
/// Duration of a request, in milliseconds.
const WORK_MS: u64 = 30;
/// The pause that a full endpoint asks for.
const PAUSE: Duration = Duration::from_secs(3);
/// Modelled time, in milliseconds.
const MODELLED_MS: u64 = 20_000;
/// Requests that all endpoints can run in a millisecond.
const CAPACITY_PER_MS: f64 = 0.6;
/// For how long a report of an endpoint's load counts, in milliseconds.
const REPORT_MS: u64 = 2_000;
/// When the last pause of a burst in the sixth second is over, in milliseconds.
const BACK_AT_MS: u64 = 10_000;
/// Endpoints to which a request is sent at most.
const ATTEMPTS: usize = 2;

/// What one router knows of one endpoint.
#[derive(Clone, Default)]
struct View {
    pause: Pause,
    own: u32,
    /// Requests of other routers there.
    others: u32,
    /// When it reported them, in milliseconds.
    reported_at: u64,
}

impl View {
    fn known_requests(&self, at: u64) -> u32 {
        let is_fresh = at < self.reported_at + REPORT_MS;
        self.own + if is_fresh { self.others } else { 0 }
    }
}

/// A request at an endpoint.
struct Running {
    router: usize,
    ends_at: u64,
}

#[derive(Default)]
struct Model {
    /// Whether endpoints get no more than they bear while another one pauses.
    bounded: bool,
    /// By router and endpoint.
    views: Vec<Vec<View>>,
    running: Vec<Vec<Running>>,
    served: u32,
    refused: u32,
    turned_away: u32,
    /// Of these, after [`BACK_AT_MS`].
    refused_late: u32,
}

impl Model {
    /// Runs it with this load, as a fraction of the capacity at each time.
    fn run(seed: u64, bounded: bool, load: impl Fn(u64) -> f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut model = Self {
            bounded,
            views: vec![vec![View::default(); ENDPOINTS]; ROUTERS],
            running: (0..ENDPOINTS).map(|_| Vec::new()).collect(),
            ..Self::default()
        };
        for at in 0..MODELLED_MS {
            model.end_requests(at);
            let mut arriving = load(at) * CAPACITY_PER_MS;
            while arriving > 0.0 {
                if rng.random::<f64>() < arriving {
                    let router = rng.random_range(0..ROUTERS);
                    model.send(&mut rng, router, at);
                }
                arriving -= 1.0;
            }
        }
        model
    }

    fn end_requests(&mut self, at: u64) {
        for (endpoint, running) in self.running.iter_mut().enumerate() {
            let ended: Vec<_> = running.extract_if(.., |r| r.ends_at <= at).collect();
            let left = u32::try_from(running.len()).expect("few");
            for Running { router, .. } in ended {
                let view = &mut self.views[router][endpoint];
                view.own -= 1;
                view.others = left.saturating_sub(view.own);
                view.reported_at = at;
                view.pause.record_taken_on(Duration::from_millis(at));
                self.served += 1;
            }
        }
    }

    fn send(&mut self, rng: &mut impl Rng, router: usize, at: u64) {
        let now = Duration::from_millis(at);
        for _ in 0..ATTEMPTS {
            let Some(endpoint) = self.choose(rng, router, at) else {
                break;
            };
            let running = &mut self.running[endpoint];
            let view = &mut self.views[router][endpoint];
            assert!(view.pause.try_send(now), "chosen in a pause");
            if running.len() < SLOTS as usize + QUEUE {
                view.own += 1;
                let waits = running.len().saturating_sub(SLOTS as usize) as u64;
                let ends_at = at + WORK_MS + waits * WORK_MS / u64::from(SLOTS);
                running.push(Running { router, ends_at });
                return;
            }
            view.pause.request(now, PAUSE, rng.random());
            self.turned_away += 1;
        }
        self.refused += 1;
        self.refused_late += u32::from(at >= BACK_AT_MS);
    }

    /// The endpoint with the fewest known requests among those that may get another.
    fn choose(&self, rng: &mut impl Rng, router: usize, at: u64) -> Option<usize> {
        let now = Duration::from_millis(at);
        let views = &self.views[router];
        let some_pause = views.iter().any(|view| view.pause.is_paused(now));
        let may_send = |endpoint: &usize| {
            let view = &views[*endpoint];
            let requests = view.known_requests(at);
            view.pause.time_until_send(now).is_zero()
                && (!self.bounded || !some_pause || bears_another(requests, SLOTS))
        };
        let endpoints = (0..ENDPOINTS).filter(may_send);
        endpoints.min_by_key(|endpoint| (views[*endpoint].known_requests(at), rng.random::<u32>()))
    }

    fn served_fraction(&self) -> f64 {
        f64::from(self.served) / f64::from(self.served + self.refused)
    }
}

/// Results of some seeds, without and with the bound: the fraction served, and how many were turned
/// away.
fn compare(load: impl Fn(u64) -> f64) -> [(f64, u32); 2] {
    [false, true].map(|bounded| {
        let runs: Vec<_> = (0..5)
            .map(|seed| Model::run(seed, bounded, &load))
            .collect();
        let served: f64 = runs.iter().map(Model::served_fraction).sum();
        let turned_away: u32 = runs.iter().map(|run| run.turned_away).sum();
        (served / 5.0, turned_away)
    })
}

/// Guards against one pause making the next: a steady load that the endpoints bear, with its chance
/// peaks, has routers send what a paused endpoint doesn't take to the others until all pause.
#[test]
fn load_of_a_paused_endpoint_does_not_pause_the_others() {
    let [without, with] = compare(|_| 0.85);
    println!("steady: without {without:?}, with {with:?}");
    assert!(with.0 > without.0, "{without:?}, {with:?}");
    assert!(with.1 < without.1, "{without:?}, {with:?}");
}

/// Guards against pauses that go on after a burst: 99 in 100 requests are served once the last pause of
/// the burst is over.
#[test]
fn service_is_back_after_a_burst() {
    let burst = |at| {
        if (5_000..6_000).contains(&at) {
            2.5
        } else {
            0.5
        }
    };
    // About 3,000 requests come in the ten seconds after it.
    for seed in 0..10 {
        let model = Model::run(seed, true, burst);
        assert!(model.turned_away > 0);
        assert!(model.refused_late <= 30, "{} refused", model.refused_late);
    }
    let [without, with] = compare(burst);
    println!("burst: without {without:?}, with {with:?}");
    assert!(with.0 >= without.0, "{without:?}, {with:?}");
}
