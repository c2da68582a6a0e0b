//! Counts the data on the link, and reserves the link for prompts.
//!
//! Sockets of clients and endpoints count each chunk; messages to the ledger and to other gateways
//! are not counted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::link_pacer::{BytesPerSecond, LinkBusy, LinkPacer};
use anvil_world::prelude::*;
use tokio::time::Instant;

use crate::accept::link_probe::LinkProbe;

/// The link of this process.
#[derive(Debug)]
pub struct LinkBudget {
    /// `None` if the link is not limited.
    pacer: Option<Mutex<LinkPacer>>,
    started: Instant,
    received: AtomicU64,
    sent: AtomicU64,
    /// Bytes of responses that the pacer has not counted yet. Collected here, so that a chunk of a
    /// response doesn't take the pacer's lock.
    uncounted: AtomicU64,
    /// Bytes of requests that clients are sending.
    expected: AtomicU64,
    /// Duration of the last exchange with the ledger, in microseconds; zero if it was taken.
    control_delay_us: AtomicU64,
    /// The last probe.
    pub probe: LinkProbe,
}

/// The link reserved for one prompt. Dropping it gives the reservation back, unless the prompt was
/// sent.
#[derive(Debug)]
pub struct LinkReservation {
    budget: Arc<LinkBudget>,
    bytes: u64,
    wait: Duration,
    is_sent: bool,
}

/// The body of a request that a client is sending.
#[derive(Debug)]
pub struct ExpectedBytes {
    budget: Arc<LinkBudget>,
    bytes: u64,
}

impl LinkBudget {
    /// The budget of a link of this speed; `None` if it is not limited.
    pub fn new(link: Option<BytesPerSecond>) -> Self {
        Self {
            pacer: link.map(|link| Mutex::new(LinkPacer::new(link))),
            started: Instant::now(),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            uncounted: AtomicU64::new(0),
            expected: AtomicU64::new(0),
            control_delay_us: AtomicU64::new(0),
            probe: LinkProbe::default(),
        }
    }

    /// Counts bytes received from a client or an endpoint.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes sent to an endpoint; [`Self::reserve`] has reserved the link for them.
    pub fn count_prompt(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes sent to a client.
    pub fn count_response(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.uncounted.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes received from clients and endpoints since the start.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Bytes sent to clients and endpoints since the start.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Reserves the link for this many bytes, which are to be sent after [`LinkReservation::wait`].
    pub fn reserve(
        self: &Arc<Self>,
        bytes: u64,
        max_wait: Duration,
    ) -> Result<LinkReservation, LinkBusy> {
        let wait = match self.pacer() {
            Some((now, mut pacer)) => pacer.reserve(now, bytes, max_wait)?,
            None => Duration::ZERO,
        };
        Ok(LinkReservation {
            budget: self.clone(),
            bytes,
            wait,
            is_sent: false,
        })
    }

    /// Time until the link is free of the data that is to be sent.
    pub fn backlog(&self) -> Duration {
        let pacer = self.pacer();
        pacer.map_or(Duration::ZERO, |(now, pacer)| pacer.backlog(now))
    }

    /// Whether a prompt would be sent at once.
    pub fn is_free(&self) -> bool {
        self.pacer().is_none_or(|(now, pacer)| pacer.is_free(now))
    }

    /// Counts the body of a request that a client is sending, until the guard is dropped.
    pub fn expect(self: &Arc<Self>, bytes: u64) -> ExpectedBytes {
        self.expected.fetch_add(bytes, Ordering::Relaxed);
        ExpectedBytes {
            budget: self.clone(),
            bytes,
        }
    }

    /// Bytes of requests that clients are sending.
    pub fn expected(&self) -> u64 {
        self.expected.load(Ordering::Relaxed)
    }

    /// Records how long an exchange with the ledger took.
    pub fn record_control_delay(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.control_delay_us.store(delay.max(1), Ordering::Relaxed);
    }

    /// Takes the duration of the last exchange with the ledger, if one has ended since the last
    /// call.
    pub fn take_control_delay(&self) -> Option<Duration> {
        let delay = self.control_delay_us.swap(0, Ordering::Relaxed);
        (delay > 0).then(|| Duration::from_micros(delay))
    }

    /// The pacer with all responses counted, and its time.
    fn pacer(&self) -> Option<(Now, MutexGuard<'_, LinkPacer>)> {
        let pacer = self.pacer.as_ref()?;
        // Sound after a panic elsewhere: the pacer is one number.
        let mut pacer = pacer.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.started.elapsed();
        pacer.count(now, self.uncounted.swap(0, Ordering::Relaxed));
        Some((now, pacer))
    }
}

impl Drop for ExpectedBytes {
    fn drop(&mut self) {
        let expected = &self.budget.expected;
        expected.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl LinkReservation {
    /// Time until the prompt may be sent.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Records that the prompt is being sent.
    pub fn record_sent(mut self) {
        self.is_sent = true;
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        if !self.is_sent
            && let Some((now, mut pacer)) = self.budget.pacer()
        {
            pacer.release(now, self.bytes);
        }
    }
}
