//! Random orders of events.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{Fate, Model, OUTPUT, PROMPT, ROUTERS, Running};

/// Each request may have several attempts at once.
const REQUESTS: u32 = 12;
const STEPS: usize = 600;

struct Player {
    rng: ChaCha8Rng,
    model: Model,
    running: Vec<Running>,
    stopped: [bool; ROUTERS],
    /// Whether routers are stopped, fenced and killed.
    with_ends: bool,
}

impl Player {
    fn pick_running(&mut self) -> Option<Running> {
        let count = self.running.len();
        (count > 0).then(|| self.running.swap_remove(self.rng.random_range(0..count)))
    }

    fn step(&mut self) {
        let router = self.rng.random_range(0..ROUTERS);
        match self.rng.random_range(0..100) {
            0..20 => {
                let request = u128::from(self.rng.random_range(0..REQUESTS));
                let started = self.model.try_start(router, request);
                self.running.extend(started);
            }
            20..30 => {
                if let Some(mut running) = self.pick_running() {
                    self.model.make_final(&mut running);
                    self.running.push(running);
                }
            }
            30..50 => {
                if let Some(running) = self.pick_running() {
                    self.end(running);
                }
            }
            50..60 => self.model.send(),
            60..85 => self.deliver(),
            85..90 => {
                let time = Duration::from_millis(self.rng.random_range(0..800));
                self.model.advance(time);
            }
            90..96 => self.model.exchange(router),
            _ if self.with_ends => self.end_router(router),
            _ => {}
        }
        self.check();
    }

    fn end(&mut self, mut running: Running) {
        match self.rng.random_range(0..10) {
            0..2 => running.progress.record_not_run(),
            2..5 => {
                self.model.make_final(&mut running);
                running.progress.record_answered();
            }
            _ => {}
        }
        self.model.end(running);
    }

    /// Delivers a message, in any order; some are lost, some are delivered again later.
    fn deliver(&mut self) {
        let count = self.model.messages.len();
        if count == 0 {
            return;
        }
        let message = self
            .model
            .messages
            .swap_remove(self.rng.random_range(0..count));
        if self.rng.random_bool(0.1) {
            self.model.messages.push(message.clone());
        }
        if self.rng.random_bool(0.9) {
            self.model.deliver(message);
        }
    }

    fn end_router(&mut self, router: usize) {
        match self.rng.random_range(0..4) {
            0 if !self.stopped[router] => {
                self.model.stop(router);
                self.stopped[router] = true;
            }
            1 if !self.stopped[router] => {
                self.model.fence(router);
                self.stopped[router] = true;
            }
            2 => {
                self.running.retain(|running| running.router != router);
                self.model.restart(router);
                self.stopped[router] = false;
            }
            _ => {}
        }
    }

    fn check(&self) {
        let budget = self.model.budget();
        assert!(self.model.charged <= budget.credited, "overspent");
        for router in &self.model.routers {
            assert_eq!(router.account.invariant_violation(), None);
        }
    }

    /// Ends everything, and checks that each request is charged.
    fn finish(mut self) -> Model {
        while let Some(running) = self.pick_running() {
            self.end(running);
            self.step_messages();
        }
        self.model.advance(Duration::from_secs(10));
        self.check();
        for (request, fates) in &self.model.fates {
            let may_have_run = fates.iter().any(|fate| *fate != Fate::NotRun);
            let charged = self.model.count(*request, Fate::Charged);
            let killed = self.model.count(*request, Fate::Killed);
            assert!(
                !may_have_run || charged + killed > 0,
                "{request}: {fates:?}"
            );
        }
        self.model
    }

    fn step_messages(&mut self) {
        self.model.send();
        self.deliver();
    }
}

fn play(seed: u64, credit: u64, with_ends: bool) -> Model {
    let mut player = Player {
        rng: ChaCha8Rng::seed_from_u64(seed),
        model: Model::new(credit),
        running: Vec::new(),
        stopped: [false; ROUTERS],
        with_ends,
    };
    for _ in 0..STEPS {
        player.step();
    }
    player.finish()
}

/// Guards against an overspent budget, and against a request whose attempts are all released,
/// whatever the order of losses, retries and messages is.
#[test]
fn every_request_is_charged_and_no_budget_is_overspent() {
    let mut released = 0;
    for seed in 0..100 {
        for credit in [20 * (PROMPT + OUTPUT), 1_000_000] {
            let mut model = play(seed, credit, false);
            for router in 0..ROUTERS {
                model.stop(router);
                model.exchange(router);
                assert!(model.routers[router].account.is_empty(), "seed {seed}");
            }
            // The ledger's own count, of what the routers reported.
            assert_eq!(model.budget().billed, model.charged, "seed {seed}");
            let requests: Vec<_> = model.fates.keys().copied().collect();
            let counts = requests.iter().map(|r| model.count(*r, Fate::Released));
            released += counts.sum::<usize>();
        }
    }
    assert!(released > 1_000, "{released} were released");
}

/// Guards against the same when routers stop, are fenced, or are killed and restarted under the
/// same id.
#[test]
fn every_request_is_charged_while_routers_stop_and_restart() {
    for seed in 0..200 {
        for credit in [20 * (PROMPT + OUTPUT), 1_000_000] {
            play(seed, credit, true);
        }
    }
}
