//! Whether a router accepts new connections.
//!
//! *Load pattern:* a load balancer sends one router several times the requests that its link or its
//! processor can serve, for minutes.
//!
//! *Without it:* the router accepts every connection and reads every prompt, and refuses or loses most of
//! them late. Its control messages wait behind the prompts that it receives, which no pacing of
//! what it sends can prevent. A client learns nothing in the time in which another router could serve it.
//!
//! *Mechanism:* the router listens for only a part of the time, the *open share*, and in the rest
//! connection attempts are refused at once by the kernel. [`Intake::observe`] compares the load with what
//! the router can serve; the ratio is the *pressure*, and the logarithm of the open share falls or rises
//! in proportion to the logarithm of the pressure. So the part that is rejected converges to
//! the excess, whatever its size, and does not swing between all and nothing. The time that the router
//! has to be closed for is spent in closings of random length. The share takes a second to fall, and hundreds
//! of connections may wait to be accepted at once; so nothing is accepted either while accepted clients are
//! still sending, or are expected to send, more than [`MAX_EXPECTED`] of the link.
//!
//! The use of the link doesn't show how much waits upstream of it, nor that what waits after a
//! closing is data of connections that were reset. So the router also probes the link
//! ([`LinkDelay`]). It closes as soon as a probe has waited for too long while the link was full,
//! and opens once the queue has passed. While probes return, they decide in place of the use.
//!
//! *Thresholds:* data uses up to [`TARGET_USE`] of the link, less than [`crate::link_pacer`] lets
//! through, so that its queue stays short. A queue of [`TARGET_BACKLOG`] is a fraction of any route's target
//! latency. A timer that is late by [`MAX_LATENESS`] shows that more tasks wait than are run; on
//! a machine that has a part of a core, timers are up to 100 ms late without load. Answers of the ledger that
//! take longer than [`MAX_CONTROL_DELAY`] count only while the link is in use: otherwise the
//! ledger itself is slow, and rejecting clients would not help. A higher [`GAIN`]
//! makes the open share swing, because the use of the link follows it with a delay. Closings are short against the
//! time that a client tries to connect. At least [`MIN_OPEN_SHARE`] stays open, and the router does not close
//! before it has accepted a connection in the last half second, so that the routers that a client tries
//! never reject everything.

mod link_queue;

use std::collections::VecDeque;
use std::time::Duration;

use anvil_world::prelude::*;
use rand::{Rng, RngExt};

use self::link_queue::LinkQueue;
use crate::link_pacer::{BytesPerSecond, used_share};

pub use self::link_queue::LinkDelay;

/// Share of the link, each way, that data may use.
const TARGET_USE: f64 = 0.75;
/// From this share on the link is saturated: it can't show how much more is waiting.
const SATURATED_USE: f64 = 0.95;
/// Pressure when the link becomes saturated: at least as much again may be waiting in front of it.
const SATURATED_PRESSURE: f64 = 2.0;
/// The pressure rises by as much again each time that the link has been saturated for as long.
const SATURATED_INTERVAL: Duration = Duration::from_millis(100);
/// Backlog of the pacer from which on less is accepted.
const TARGET_BACKLOG: Duration = Duration::from_millis(50);
/// Lateness of a timer from which on less is accepted.
const MAX_LATENESS: Duration = Duration::from_millis(150);
/// Duration of an exchange with the ledger from which on less is accepted: requests wait little longer for
/// tokens.
const MAX_CONTROL_DELAY: Duration = Duration::from_millis(400);
/// Share of the link from which on slow exchanges with the ledger are ascribed to the link.
const BUSY_USE: f64 = 0.4;
/// While the link is busy, nothing is accepted if clients are still sending more than it carries in this time:
/// a fraction of any route's target latency.
const MAX_EXPECTED: Duration = Duration::from_millis(100);
/// Time constant with which accepted connections, the bytes received and those expected of them fade.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Bounds of the pressure; the lower one decides how fast a router opens again.
const PRESSURE_BOUNDS: (f64, f64) = (0.25, 16.0);
/// Change of the open share's logarithm per second, for each unit of the pressure's logarithm.
const GAIN: f64 = 1.2;
/// The open share never falls below this.
const MIN_OPEN_SHARE: f64 = 0.05;
/// From this open share on nothing is rejected.
const FULL_SHARE: f64 = 0.97;
/// Shortest and longest time for which the router doesn't listen.
const CLOSING: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(200));
/// Shortest time for which it listens.
const MIN_OPENING: Duration = Duration::from_millis(10);
/// If nothing was accepted for this time, the router listens until something is.
const MAX_ACCEPT_GAP: Duration = Duration::from_millis(500);
/// Time over which the use of the link is measured.
const USE_WINDOW: Duration = Duration::from_millis(200);
/// Time between two observations.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that one observation stands for.
const MAX_STEP: Duration = Duration::from_millis(200);
/// After a longer time without an observation the process was frozen, and what was measured before is
/// dropped.
const MAX_AGE: Duration = Duration::from_secs(1);

/// The load of a router at one time.
#[derive(Debug, Clone, Copy, Default)]
pub struct IntakeLoad {
    /// Time until the link is free of the data that is to be sent.
    pub backlog: Duration,
    /// Data received since the start, in bytes.
    pub received: u64,
    /// Data sent since the start, in bytes.
    pub sent: u64,
    /// Bytes of requests that clients have begun and not finished sending.
    pub expected: u64,
    /// Duration of an exchange with the ledger that has ended since the last observation.
    pub control_delay: Option<Duration>,
    /// The last probe of the link; `None` if it is not probed, or no probe returns.
    pub link_delay: Option<LinkDelay>,
    /// By how much the timer of this observation was late.
    pub lateness: Duration,
    /// Shortest target latency of the routes with prompts; zero if it is not known.
    pub shortest_target: Duration,
    /// Whether descriptors and memory are left for another client.
    pub has_room: bool,
}

/// Decides when a router listens for connections.
#[derive(Debug, Clone)]
pub struct Intake {
    /// The router's link; `None` if it is not limited.
    link: Option<BytesPerSecond>,
    /// Bytes received and sent, by time.
    traffic: VecDeque<(Now, u64, u64)>,
    /// Since when the link is saturated.
    saturated_at: Option<Now>,
    open_share: f64,
    recent_open_share: f64,
    /// For how long it still has to be closed, for the time that it was open.
    owed: Duration,
    /// Length of the next closing.
    next_closing: Duration,
    /// End of the current closing.
    closed_until: Option<Now>,
    /// The queue upstream of the link, because of which the router closes too.
    link_queue: LinkQueue,
    opened_at: Now,
    accepted_at: Now,
    /// Bytes that the accepted connections have yet to send, as far as that can be expected.
    promised: f64,
    /// Connections accepted lately, and bytes received.
    recent_accepts: f64,
    recent_bytes: f64,
    /// Whether the link was busy at the last observation.
    is_busy: bool,
    observed_at: Now,
    observe_at: Now,
}

impl Intake {
    /// Creates an intake that accepts everything.
    pub fn new(now: Now, link: Option<BytesPerSecond>) -> Self {
        Self {
            link,
            traffic: VecDeque::new(),
            saturated_at: None,
            open_share: 1.0,
            recent_open_share: 1.0,
            owed: Duration::ZERO,
            next_closing: CLOSING.0,
            closed_until: None,
            link_queue: LinkQueue::new(now),
            opened_at: now,
            accepted_at: now,
            promised: 0.0,
            recent_accepts: 0.0,
            recent_bytes: 0.0,
            is_busy: false,
            observed_at: now,
            observe_at: now + OBSERVE_INTERVAL,
        }
    }

    /// When [`Self::observe`] is due.
    pub fn observe_at(&self) -> Now {
        self.observe_at
    }

    /// Whether a part of the connections is rejected.
    pub fn is_shedding(&self) -> bool {
        self.open_share < FULL_SHARE || self.is_closed() || self.recent_open_share < FULL_SHARE
    }

    fn is_closed(&self) -> bool {
        self.closed_until.is_some() || self.link_queue.is_closed()
    }

    /// The part of the time in which the router is to listen, from 0 to 1, apart from the closings
    /// because of a queue.
    pub fn open_share(&self) -> f64 {
        self.open_share
    }

    /// The part of the last second in which it listened, from 0 to 1.
    pub fn recent_open_share(&self) -> f64 {
        self.recent_open_share
    }

    /// Records that a connection was accepted.
    pub fn record_accept(&mut self, now: Now) {
        self.accepted_at = now;
        self.recent_accepts += 1.0;
        // After a freeze, hundreds of connections may be waiting to be accepted at once.
        self.promised += self.recent_bytes / self.recent_accepts;
        if self.expects_queue(self.promised) {
            self.observe_at = now;
        }
    }

    /// Applies the present load. Returns whether the router listens until the next observation.
    pub fn observe(&mut self, now: Now, load: &IntakeLoad, rng: &mut impl Rng) -> bool {
        let load = &IntakeLoad {
            link_delay: load.link_delay.filter(LinkDelay::is_known),
            ..*load
        };
        let step = now.saturating_sub(self.observed_at);
        self.observed_at = now;
        if step > MAX_AGE {
            self.traffic.clear();
            self.saturated_at = None;
            self.owed = Duration::ZERO;
            self.promised = 0.0;
            self.link_queue.abandon();
        } else if let Some(link) = self.link {
            self.adjust_share(now, link, step.min(MAX_STEP), load);
        }
        self.record_listening(step);
        self.record_traffic(now, step, load);
        self.link_queue.set_target(now, load.shortest_target);
        let has_queue = self.has_queue(load);
        let is_open = self.next_phase(now, step, has_queue, load, rng);
        let max_interval = match load.link_delay {
            Some(delay) => self.link_queue.observe_within(delay),
            None => OBSERVE_INTERVAL,
        };
        let interval = if is_open {
            self.time_to_closing()
        } else {
            None
        };
        let interval =
            interval.map_or(max_interval, |time| time.max(MIN_OPENING).min(max_interval));
        self.observe_at = now + interval;
        if let Some(until) = self.closed_until {
            self.observe_at = self.observe_at.min(until);
        }
        is_open
    }

    fn adjust_share(&mut self, now: Now, link: BytesPerSecond, step: Duration, load: &IntakeLoad) {
        let (floor, ceiling) = PRESSURE_BOUNDS;
        let pressure = self.pressure(now, link, load).clamp(floor, ceiling);
        let change = (-GAIN * step.as_secs_f64() * pressure.ln()).exp();
        self.open_share = (self.open_share * change).clamp(MIN_OPEN_SHARE, 1.0);
    }

    /// The load as a multiple of what the router can serve.
    fn pressure(&mut self, now: Now, link: BytesPerSecond, load: &IntakeLoad) -> f64 {
        let in_use = self.link_use(now, link, load);
        self.is_busy = in_use > TARGET_USE;
        let by_use = if load.link_delay.is_some() {
            self.saturated_at = None;
            0.0
        } else if in_use >= SATURATED_USE {
            let since = *self.saturated_at.get_or_insert(now);
            let lasted = now.saturating_sub(since);
            SATURATED_PRESSURE * (1.0 + lasted.div_duration_f64(SATURATED_INTERVAL))
        } else {
            self.saturated_at = None;
            in_use / TARGET_USE
        };
        let ratio = |time: Duration, limit: Duration| time.as_secs_f64() / limit.as_secs_f64();
        let by_control = match load.control_delay {
            Some(delay) if in_use >= BUSY_USE => ratio(delay, MAX_CONTROL_DELAY),
            _ => 0.0,
        };
        by_use
            .max(by_control)
            .max(ratio(load.backlog, TARGET_BACKLOG))
            .max(ratio(load.lateness, MAX_LATENESS))
    }

    /// Whether more is waiting for the link than it can carry soon.
    fn has_queue(&self, load: &IntakeLoad) -> bool {
        let Some(link) = self.link else {
            return false;
        };
        if let Some(delay) = load.link_delay {
            return self.link_queue.is_long(link, delay);
        }
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 bytes")]
        self.expects_queue(self.promised.max(load.expected as f64))
    }

    /// Whether clients are sending more than the link can carry soon.
    fn expects_queue(&self, expected: f64) -> bool {
        let Some(link) = self.link else {
            return false;
        };
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 bytes")]
        let seconds = expected / link.max(1) as f64;
        seconds > MAX_EXPECTED.as_secs_f64() && (self.is_busy || self.open_share < FULL_SHARE)
    }

    /// The share of the link in use over the last [`USE_WINDOW`], of the busier direction.
    fn link_use(&self, now: Now, link: BytesPerSecond, load: &IntakeLoad) -> f64 {
        let Some((since, received, sent)) = self.traffic.front() else {
            return 0.0;
        };
        let bytes = load.received.saturating_sub(*received);
        let bytes = bytes.max(load.sent.saturating_sub(*sent));
        used_share(link, bytes, now.saturating_sub(*since).max(MIN_OPENING))
    }

    fn record_listening(&mut self, step: Duration) {
        let is_open = !self.is_closed();
        let kept = (-step.div_duration_f64(DECAY_TIME)).exp();
        self.recent_open_share = kept * self.recent_open_share + (1.0 - kept) * f64::from(is_open);
    }

    fn record_traffic(&mut self, now: Now, step: Duration, load: &IntakeLoad) {
        let before = self
            .traffic
            .back()
            .map_or(load.received, |(_, received, _)| *received);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 bytes")]
        let received = load.received.saturating_sub(before) as f64;
        let kept = (-step.div_duration_f64(DECAY_TIME)).exp();
        self.recent_accepts *= kept;
        self.recent_bytes = kept * self.recent_bytes + received;
        self.promised = (kept * self.promised - received).max(0.0);
        self.traffic.push_back((now, load.received, load.sent));
        // Keeps one entry that is as old as the window.
        while self
            .traffic
            .get(1)
            .is_some_and(|(at, ..)| *at + USE_WINDOW <= now)
        {
            self.traffic.pop_front();
        }
    }

    /// Opens or closes if that is due. Returns whether it is open now.
    fn next_phase(
        &mut self,
        now: Now,
        step: Duration,
        has_queue: bool,
        load: &IntakeLoad,
        rng: &mut impl Rng,
    ) -> bool {
        if self.link_queue.try_open(now, load.link_delay) {
            self.opened_at = now;
        }
        if self.link_queue.is_closed() {
            return false;
        }
        if let Some(until) = self.closed_until {
            if now < until {
                return false;
            }
            self.closed_until = None;
            self.opened_at = now;
            self.next_closing = rng.random_range(CLOSING.0..=CLOSING.1);
        } else if self.open_share < FULL_SHARE {
            let owed = step.min(MAX_STEP).mul_f64(self.closed_per_open());
            // What can't be made up for by the next closing is left out, so that the router opens
            // after each one.
            self.owed = (self.owed + owed).min(CLOSING.1);
        } else {
            self.owed = Duration::ZERO;
        }
        let has_accepted = now < self.accepted_at + MAX_ACCEPT_GAP;
        let is_due = self.owed >= self.next_closing && now >= self.opened_at + MIN_OPENING;
        if has_queue && has_accepted && load.link_delay.is_some() {
            self.link_queue.close(now);
            return false;
        }
        let may_close = (is_due || has_queue) && has_accepted;
        if may_close || !load.has_room {
            self.owed = self.owed.saturating_sub(self.next_closing);
            self.closed_until = Some(now + self.next_closing);
        }
        self.closed_until.is_none()
    }

    /// Time that it has to be closed for, for each unit of time that it is open.
    fn closed_per_open(&self) -> f64 {
        (1.0 - self.open_share) / self.open_share
    }

    /// Time until the next closing at the present open share.
    fn time_to_closing(&self) -> Option<Duration> {
        if self.open_share >= FULL_SHARE {
            return None;
        }
        let missing = self.next_closing.saturating_sub(self.owed);
        Some(missing.div_f64(self.closed_per_open()))
    }
}
