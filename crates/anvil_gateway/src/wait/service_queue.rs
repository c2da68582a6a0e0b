//! The queue of one service.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::entry_queue::{EntryQueue, EntryRequest, Occupancy};
use anvil_policy::estimate::MeanDuration;
use anvil_policy::room::{InFlightWindow, WindowSample, is_congested, window_interval};
use anvil_policy::taken_up::TakenUpTurns;
use anvil_policy::waiting::{Urgency, Waiter, WaiterId};
use anvil_world::prelude::*;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::timer;
use super::waiting_place::{WaitResult, WaitingPlace, Wake};

/// Assumed slot time before the first response: that of a plain service.
const ASSUMED_SLOT_TIME: Duration = Duration::from_millis(20);

/// Time between two lines of the log on refusals of one service.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A request that is to wait.
#[derive(Debug, Clone)]
pub struct WaitRequest {
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Its route.
    pub route: RouteName,
    /// Shares that operators have set.
    pub shares: Arc<Shares>,
    /// Its urgency.
    pub urgency: Urgency,
    /// When its response should begin.
    pub target: Instant,
    /// When its client gives up.
    pub deadline: Instant,
    /// Time until an endpoint accepts another request; zero if that is not known.
    pub min_wait: Duration,
    /// Whether some endpoints of the service may not run it.
    pub is_restricted: bool,
    /// [`ServiceQueue::unclaimed`] before it was found that no endpoint has room.
    pub unclaimed: u64,
}

/// Requests of this router that wait for endpoints of one service, and what is known of those in
/// flight there.
pub struct ServiceQueue {
    /// The service.
    pub service: ServiceId,
    epoch: Instant,
    in_flight: AtomicU32,
    slot_time: MeanDuration,
    response_time: MeanDuration,
    /// Number of places that became free while no request waited for them. Never decreases, so that
    /// equal values mean that none did in between.
    unclaimed: AtomicU64,
    /// Requests that wait or have been woken.
    waiting: AtomicU32,
    /// Of these, the ones that any endpoint may run.
    unrestricted: AtomicU32,
    window: WindowCounters,
    /// Refusals since the last one that was logged.
    unlogged: AtomicU64,
    /// Milliseconds since the start of the queue from which on refusals are logged again.
    log_again_ms: AtomicU64,
    state: Mutex<State>,
    /// Turns of streams that clients take up.
    taken_up: Mutex<TakenUpTurns>,
    pub(super) timer_changed: Notify,
}

/// What is counted between two changes of the window.
struct WindowCounters {
    offered: AtomicU32,
    reports: AtomicU32,
    congested: AtomicU32,
    /// Maximum number of requests in flight.
    size: AtomicU32,
    changed_ms: AtomicU64,
    window: Mutex<InFlightWindow>,
}

impl Default for WindowCounters {
    fn default() -> Self {
        Self {
            offered: AtomicU32::new(0),
            reports: AtomicU32::new(0),
            congested: AtomicU32::new(0),
            size: AtomicU32::new(u32::MAX),
            changed_ms: AtomicU64::new(0),
            window: Mutex::default(),
        }
    }
}

#[derive(Default)]
struct State {
    queue: EntryQueue,
    senders: BTreeMap<WaiterId, oneshot::Sender<WaitResult>>,
    recheck_at: Option<Now>,
    /// When the timer acts next, while it runs.
    timer_at: Option<Now>,
}

impl ServiceQueue {
    /// An empty queue.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            epoch: Instant::now(),
            in_flight: AtomicU32::new(0),
            slot_time: MeanDuration::default(),
            response_time: MeanDuration::default(),
            unclaimed: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            unrestricted: AtomicU32::new(0),
            window: WindowCounters::default(),
            unlogged: AtomicU64::new(0),
            log_again_ms: AtomicU64::new(0),
            state: Mutex::default(),
            taken_up: Mutex::default(),
            timer_changed: Notify::new(),
        }
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Whether a request waits that any endpoint may run, so that no endpoint has room for others.
    pub fn is_contended(&self) -> bool {
        self.unrestricted.load(Ordering::Relaxed) > 0
    }

    /// Number of requests of this router in flight at the service's endpoints.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether the window allows another request in flight.
    pub fn has_window_room(&self) -> bool {
        self.in_flight() < self.window.size.load(Ordering::Relaxed)
    }

    /// Counts a request, whether or not it is sent.
    pub fn record_offer(&self) {
        self.window.offered.fetch_add(1, Ordering::Relaxed);
    }

    /// Applies the load that an endpoint reported, and changes the window if an interval has
    /// passed.
    pub fn record_report(&self, load: u32, slots: u32) {
        let counters = &self.window;
        counters.reports.fetch_add(1, Ordering::Relaxed);
        if is_congested(load, slots) {
            counters.congested.fetch_add(1, Ordering::Relaxed);
        }
        let now_ms = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        let changed_ms = counters.changed_ms.load(Ordering::Relaxed);
        let elapsed = Duration::from_millis(now_ms.saturating_sub(changed_ms));
        let Occupancy { running, slot_time } = self.occupancy();
        let is_due = elapsed >= window_interval(slot_time);
        let is_first = || {
            let changed = &counters.changed_ms;
            let exchanged =
                changed.compare_exchange(changed_ms, now_ms, Ordering::Relaxed, Ordering::Relaxed);
            exchanged.is_ok()
        };
        if !is_due || !is_first() {
            return;
        }
        // Sound after a panic elsewhere: any size is valid.
        let mut window = counters
            .window
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        window.change(&WindowSample {
            elapsed,
            offered: counters.offered.swap(0, Ordering::Relaxed),
            reports: counters.reports.swap(0, Ordering::Relaxed),
            congested: counters.congested.swap(0, Ordering::Relaxed),
            in_flight: running,
            slot_time,
        });
        let size = window.size().unwrap_or(u32::MAX);
        let has_grown = size > counters.size.swap(size, Ordering::Relaxed);
        drop(window);
        if has_grown && self.has_window_room() {
            self.free_place(Wake::Place);
        }
    }

    /// Number of places that have become free so far while no request waited for them.
    pub fn unclaimed(&self) -> u64 {
        self.unclaimed.load(Ordering::SeqCst)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a response began this time after the request was sent.
    pub fn record_response(&self, after: Duration) {
        self.response_time.learn(after);
    }

    /// Records that a request left its endpoint; `held` is the time for which it occupied a slot,
    /// if it had a response.
    pub fn record_end(&self, held: Option<Duration>) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        if let Some(held) = held {
            self.slot_time.learn(held);
        }
        self.free_place(Wake::Place);
    }

    /// Wakes one request, because an endpoint has room for another one.
    pub fn free_place(&self, wake: Wake) {
        self.free_place_if(wake, || true);
    }

    /// The same if `has_room`, which is called only if a request waits.
    pub fn free_place_if(&self, wake: Wake, has_room: impl FnOnce() -> bool) {
        let has_waiting = || self.waiting.load(Ordering::SeqCst) > 0;
        if has_waiting() && (!has_room() || self.wake_next(wake)) {
            return;
        }
        self.unclaimed.fetch_add(1, Ordering::SeqCst);
        // A request that began to wait since the check above may have read the counter before.
        if has_waiting() {
            self.wake_next(wake);
        }
    }

    /// Queues a request, or refuses it with its retry time.
    pub fn join(self: &Arc<Self>, req: &WaitRequest) -> Result<WaitingPlace, Duration> {
        let (now, occupancy) = (self.now(), self.occupancy());
        let entry = EntryRequest {
            organisation: req.organisation.clone(),
            route: req.route.clone(),
            shares: req.shares.clone(),
            urgency: req.urgency,
            target: self.at(req.target),
            deadline: self.at(req.deadline),
            response_time: self.response_time.get().unwrap_or_default(),
            min_wait: req.min_wait,
        };
        let mut state = self.state();
        let id = state.queue.offer(now, &entry, occupancy, rand::random())?;
        let (tx, rx) = oneshot::channel();
        state.senders.insert(id, tx);
        self.waiting.fetch_add(1, Ordering::SeqCst);
        if !req.is_restricted {
            self.unrestricted.fetch_add(1, Ordering::SeqCst);
        }
        self.set_timer(now, &mut state, req.min_wait);
        drop(state);
        let place = WaitingPlace::new(self.clone(), id, rx, req);
        self.wake_if_unclaimed_since(req.unclaimed);
        Ok(place)
    }

    pub(super) fn put_back(
        self: &Arc<Self>,
        waiter: &Waiter,
        min_wait: Duration,
    ) -> (WaiterId, oneshot::Receiver<WaitResult>) {
        let now = self.now();
        let mut state = self.state();
        let id = state.queue.put_back(now, waiter);
        let (tx, rx) = oneshot::channel();
        state.senders.insert(id, tx);
        self.set_timer(now, &mut state, min_wait);
        (id, rx)
    }

    /// Wakes a request if a place became free before the one that could have taken it waited.
    pub(super) fn wake_if_unclaimed_since(&self, unclaimed: u64) {
        if self.unclaimed() != unclaimed {
            self.wake_next(Wake::Place);
        }
    }

    pub(super) fn record_start(&self) {
        let now = self.now();
        self.state().queue.record_start(now);
    }

    /// Removes a request. `id` is that of one that still waits.
    pub(super) fn leave(&self, id: Option<WaiterId>, is_restricted: bool) {
        if let Some(id) = id {
            let mut state = self.state();
            state.queue.cancel(id);
            state.senders.remove(&id);
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        if !is_restricted {
            self.unrestricted.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Wakes the request whose turn it is. Returns whether there is one.
    pub(super) fn wake_next(&self, wake: Wake) -> bool {
        let now = self.now();
        let mut state = self.state();
        while let Some(waiter) = state.queue.next(now) {
            let Some(tx) = state.senders.remove(&waiter.id) else {
                continue;
            };
            // Sending fails only if the client has disconnected: then the next one is woken.
            if tx.send(Ok((wake, waiter))).is_ok() {
                return true;
            }
        }
        false
    }

    /// Refuses the requests that have waited too long, and wakes one if a place is due. Returns
    /// when to be called next; `None` once nothing waits.
    pub(super) fn tick(&self) -> Option<Instant> {
        let (now, occupancy) = (self.now(), self.occupancy());
        let mut state = self.state();
        while let Some((waiter, retry_after)) = state.queue.expired(now, occupancy, rand::random())
        {
            if let Some(tx) = state.senders.remove(&waiter.id) {
                // Sending fails only if the client has disconnected.
                let _ = tx.send(Err(retry_after));
            }
        }
        let is_due = state.recheck_at.is_some_and(|at| at <= now);
        if is_due {
            state.recheck_at = None;
            drop(state);
            self.wake_next(Wake::Timer);
            state = self.state();
        }
        let next = next_tick(&state);
        state.timer_at = next;
        next.map(|at| self.epoch + at)
    }

    /// Has the timer act when the next request expires, or after `min_wait`.
    fn set_timer(self: &Arc<Self>, now: Now, state: &mut State, min_wait: Duration) {
        if !min_wait.is_zero() {
            let at = now + min_wait;
            state.recheck_at = Some(state.recheck_at.map_or(at, |earlier| earlier.min(at)));
        }
        let next = next_tick(state);
        match (state.timer_at, next) {
            (None, Some(_)) => timer::start(self.clone()),
            (Some(set), Some(next)) if next < set => self.timer_changed.notify_one(),
            _ => return,
        }
        state.timer_at = next;
    }

    /// Counts a refusal. Returns the number of refusals since the last line of the log if another
    /// one is due.
    pub fn refusals_to_log(&self) -> Option<u64> {
        let refused = self.unlogged.fetch_add(1, Ordering::Relaxed) + 1;
        let now = self.now();
        let again_ms = self.log_again_ms.load(Ordering::Relaxed);
        if now < Duration::from_millis(again_ms) {
            return None;
        }
        let next = u64::try_from((now + LOG_INTERVAL).as_millis()).unwrap_or(u64::MAX);
        let log_again = &self.log_again_ms;
        log_again
            .compare_exchange(again_ms, next, Ordering::Relaxed, Ordering::Relaxed)
            .ok()?;
        self.unlogged.fetch_sub(refused, Ordering::Relaxed);
        Some(refused)
    }

    /// How this router's requests occupy the service's endpoints.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.in_flight.load(Ordering::Relaxed),
            slot_time: self.slot_time.get().unwrap_or(ASSUMED_SLOT_TIME),
        }
    }

    /// Records that a request was placed that is not a stream which its client takes up.
    pub fn record_new_start(&self) {
        self.taken_up().record_other_start();
    }

    /// Turns of the streams that clients take up.
    pub(super) fn taken_up(&self) -> MutexGuard<'_, TakenUpTurns> {
        // Sound after a panic elsewhere: any counts are valid.
        self.taken_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Now {
        self.epoch.elapsed()
    }

    fn at(&self, instant: Instant) -> Now {
        instant.saturating_duration_since(self.epoch)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Sound after a panic elsewhere: a request without a sender is passed over.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Granularity of the timer.
const TICK: Duration = Duration::from_millis(1);

fn next_tick(state: &State) -> Option<Now> {
    // A request expires after its latest start, not at it.
    let expiry = state.queue.next_expiry().map(|at| at + TICK)?;
    Some(state.recheck_at.map_or(expiry, |at| at.min(expiry)))
}
