//! A router whose link has a queue upstream, where no counter of the router shows it.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_policy::intake::{Intake, IntakeLoad, LinkDelay};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
/// Bytes per second.
const LINK: u64 = 1_000_000;
/// Bytes of one request.
const REQUEST: u64 = 5_000;
/// Time between a reply and the next probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which messages of the ledger are to arrive.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// What waits upstream of the link.
enum Waiting {
    /// A request; `is_lost` once the listener has closed before it was accepted.
    Request {
        left: u64,
        is_lost: bool,
    },
    Probe,
}

/// The last probe.
#[derive(Clone, Copy)]
struct Probe {
    sent_at: Now,
    /// Bytes received until it was sent.
    received_before: u64,
    /// Its round trip, and the bytes received meanwhile.
    reply: Option<(Duration, u64)>,
}

struct Model {
    intake: Intake,
    rng: ChaCha8Rng,
    now: Now,
    is_open: bool,
    load: IntakeLoad,
    queue: VecDeque<Waiting>,
    queued_bytes: u64,
    probe: Option<Probe>,
    has_siblings: bool,
    accepted: u64,
    steps: u32,
    /// Steps in which a message would have arrived late.
    late_steps: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            intake: Intake::new(Duration::ZERO, Some(LINK)),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Duration::ZERO,
            is_open: true,
            load: IntakeLoad {
                has_room: true,
                ..IntakeLoad::default()
            },
            queue: VecDeque::new(),
            queued_bytes: 0,
            probe: None,
            has_siblings: true,
            accepted: 0,
            steps: 0,
            late_steps: 0,
        }
    }

    /// Runs with this multiple of the load that the link can carry.
    fn run(&mut self, time: Duration, demand: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            self.arrive(demand);
            self.pass();
            self.send_probe();
            self.observe();
            self.steps += 1;
            let delay = Duration::from_millis(self.queued_bytes / (LINK / 1_000));
            self.late_steps += u32::from(delay > MAX_DELAY);
        }
    }

    fn arrive(&mut self, demand: f64) {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let a_millisecond = demand * LINK as f64 / REQUEST as f64 / 1e3;
        if self.is_open && self.rng.random_bool(a_millisecond) {
            self.queue.push_back(Waiting::Request {
                left: REQUEST,
                is_lost: false,
            });
            self.queued_bytes += REQUEST;
        }
    }

    /// Passes on what the link carries in a millisecond.
    fn pass(&mut self) {
        let mut capacity = LINK / 1_000;
        while let Some(first) = self.queue.front_mut() {
            match first {
                Waiting::Probe => self.receive_probe(),
                Waiting::Request { left, is_lost } => {
                    let bytes = capacity.min(*left);
                    *left -= bytes;
                    capacity -= bytes;
                    self.queued_bytes -= bytes;
                    let (is_complete, is_lost) = (*left == 0, *is_lost);
                    if !is_lost {
                        self.load.received += bytes;
                    }
                    if !is_complete {
                        return;
                    }
                    if !is_lost {
                        self.accepted += 1;
                        self.intake.record_accept(self.now);
                    }
                }
            }
            self.queue.pop_front();
        }
    }

    fn receive_probe(&mut self) {
        if let Some(probe) = &mut self.probe {
            let round_trip = self.now.saturating_sub(probe.sent_at);
            let carried = self.load.received - probe.received_before;
            probe.reply = Some((round_trip, carried));
        }
    }

    fn send_probe(&mut self) {
        let is_due = match self.probe {
            None => true,
            Some(Probe { sent_at, reply, .. }) => reply
                .is_some_and(|(round_trip, _)| self.now >= sent_at + round_trip + PROBE_INTERVAL),
        };
        if self.has_siblings && is_due {
            self.probe = Some(Probe {
                sent_at: self.now,
                received_before: self.load.received,
                reply: None,
            });
            self.queue.push_back(Waiting::Probe);
        }
    }

    fn observe(&mut self) {
        if self.now < self.intake.observe_at() {
            return;
        }
        let now = self.now;
        let received = self.load.received;
        self.load.link_delay = self.probe.map(|probe| LinkDelay {
            age: now.saturating_sub(probe.sent_at),
            round_trip: probe.reply.map(|(round_trip, _)| round_trip),
            carried: match probe.reply {
                Some((_, carried)) => carried,
                None => received - probe.received_before,
            },
        });
        let was_open = self.is_open;
        self.is_open = self.intake.observe(now, &self.load, &mut self.rng);
        if was_open && !self.is_open {
            for waiting in &mut self.queue {
                if let Waiting::Request { is_lost, .. } = waiting {
                    *is_lost = true;
                }
            }
        }
    }

    /// The part of the time in which a message would have arrived late.
    fn late_share(&self) -> f64 {
        f64::from(self.late_steps) / f64::from(self.steps)
    }

    /// Bytes of accepted requests, as a fraction of what the link carries in this time.
    fn used_share(&self, time: Duration) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let bytes = (self.accepted * REQUEST) as f64;
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let carried = time.as_secs_f64() * LINK as f64;
        bytes / carried
    }
}

/// Load pattern: a zone's clients send one router up to four times what its link can carry. Guards
/// against a queue upstream of the link behind which the ledger's messages wait, and against a link
/// that carries mostly data of connections that were reset.
#[test]
fn queue_upstream_of_an_overloaded_link_stays_short() {
    let time = Duration::from_secs(20);
    for demand in [1.2, 1.6, 4.0] {
        let mut model = Model::new();
        model.run(time, demand);
        let late = model.late_share();
        assert!(late < 0.1, "at {demand}: late in {late} of the time");
        // What waits when the listener closes is lost. While it is open, the link carries 1 of
        // `demand`.
        let used = model.used_share(time);
        assert!(used > 0.6 / demand, "at {demand}: {used} used");
    }
}

/// Guards against closings without need: single requests that follow each other closely are no
/// overload.
#[test]
fn well_used_link_is_rarely_closed() {
    let mut model = Model::new();
    model.run(Duration::from_secs(20), 0.6);
    let used = model.used_share(Duration::from_secs(20));
    assert!(used > 0.55, "{used}");
}

/// Guards against a router that stays closed because its siblings stop replying for a reason of
/// their own.
#[test]
fn outstanding_probe_closes_for_a_moment_only() {
    let mut model = Model::new();
    model.run(Duration::from_secs(2), 0.6);
    model.has_siblings = false;
    model.queue.retain(|w| !matches!(w, Waiting::Probe));
    model.probe = Some(Probe {
        sent_at: model.now,
        received_before: model.load.received,
        reply: None,
    });
    let before = model.accepted;
    model.run(Duration::from_secs(4), 0.6);
    let accepted = model.accepted - before;
    assert!(accepted > 200, "{accepted} accepted of about 480");
}
