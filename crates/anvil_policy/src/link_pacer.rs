//! Paces the data that a router sends, so that its control messages find the link free.
//!
//! *Load pattern:* a router on a narrow link receives more prompts than the link can pass on.
//!
//! *Without it:* prompts fill the queue in front of the link, and the router's messages to the ledger
//! and to other routers wait behind them for seconds. The router then refuses nearly all requests,
//! because it can't obtain grants.
//!
//! *Mechanism:* a bucket in virtual time. Each amount of data occupies the link for as long as it takes
//! to send it at [`DATA_SHARE`] of the link's speed, one after the other. A prompt waits until what was
//! reserved before it has left; how long is known at once, so a prompt that would wait too long is
//! refused instead. Responses are counted but never wait.
//!
//! *Thresholds:* a fifth of the link is left for control messages. What fits into [`MAX_BURST`] doesn't
//! wait: a control message may be delayed by as much without harm, since a commit of the ledger takes
//! about as long. Responses add to the backlog up to [`MAX_BACKLOG`], so that a burst of them doesn't keep
//! prompts waiting after the link has become free, and no prompt is accepted beyond it.

use std::time::Duration;

use anvil_world::prelude::*;

/// The speed of a link, each way.
pub type BytesPerSecond = u64;

/// Share of the link that data may use.
const DATA_SHARE: f64 = 0.8;
/// Data for this time may be sent at once.
const MAX_BURST: Duration = Duration::from_millis(20);
/// Longest time until the link counts as free again.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// The part of a link's speed that these bytes are, if it carries them in this time.
pub fn used_share(link: BytesPerSecond, bytes: u64, time: Duration) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "bytes and links are far below 2^52"
    )]
    let seconds = bytes as f64 / link.max(1) as f64;
    seconds / time.as_secs_f64()
}

/// The data that is waiting for one link.
#[derive(Debug, Clone)]
pub struct LinkPacer {
    bytes_per_second: f64,
    /// When everything that was reserved and counted has left.
    free_at: Now,
}

/// Data would wait longer than allowed, and nothing was reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkBusy {
    /// How long it would wait.
    pub wait: Duration,
}

impl LinkPacer {
    /// Creates the pacer of an idle link.
    pub fn new(link: BytesPerSecond) -> Self {
        #[expect(
            clippy::cast_precision_loss,
            reason = "links are far below 2^52 bytes/s"
        )]
        let bytes_per_second = DATA_SHARE * link.max(1) as f64;
        Self {
            bytes_per_second,
            free_at: Duration::ZERO,
        }
    }

    /// Reserves the link for this many bytes. Returns the time after which they may be sent.
    pub fn reserve(
        &mut self,
        now: Now,
        bytes: u64,
        max_wait: Duration,
    ) -> Result<Duration, LinkBusy> {
        let backlog = self.backlog(now);
        let wait = self.wait(now);
        if wait > max_wait || backlog >= MAX_BACKLOG {
            return Err(LinkBusy { wait });
        }
        self.free_at = self.free_at.max(now) + self.time_to_send(bytes);
        Ok(wait)
    }

    /// Whether data may be sent at once.
    pub fn is_free(&self, now: Now) -> bool {
        self.wait(now).is_zero()
    }

    fn wait(&self, now: Now) -> Duration {
        self.backlog(now).saturating_sub(MAX_BURST)
    }

    /// Gives back what was reserved for bytes that are not sent, as far as its time has not passed.
    pub fn release(&mut self, now: Now, bytes: u64) {
        let released = self.time_to_send(bytes).min(self.backlog(now));
        self.free_at -= released;
    }

    /// Counts bytes that are sent without waiting.
    pub fn count(&mut self, now: Now, bytes: u64) {
        let free_at = self.free_at.max(now) + self.time_to_send(bytes);
        let latest = self.free_at.max(now + MAX_BACKLOG);
        self.free_at = free_at.min(latest);
    }

    /// Time until everything that was reserved and counted has left.
    pub fn backlog(&self, now: Now) -> Duration {
        self.free_at.saturating_sub(now)
    }

    fn time_to_send(&self, bytes: u64) -> Duration {
        #[expect(
            clippy::cast_precision_loss,
            reason = "requests are far below 2^52 bytes"
        )]
        let seconds = bytes as f64 / self.bytes_per_second;
        Duration::from_secs_f64(seconds.min(MAX_BACKLOG.as_secs_f64()))
    }
}
