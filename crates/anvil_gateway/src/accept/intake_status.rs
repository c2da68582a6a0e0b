//! What the listener for clients tells the rest of the process.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// Whether connections are being rejected, and how many.
#[derive(Debug, Default)]
pub struct IntakeStatus {
    is_shedding: AtomicBool,
    closed_percent: AtomicU32,
}

impl IntakeStatus {
    /// Whether a part of the connections is rejected. Clients are then asked to close theirs after a
    /// response, so that they are rejected in proportion too.
    pub fn is_shedding(&self) -> bool {
        self.is_shedding.load(Ordering::Relaxed)
    }

    /// The part of the time in which connections are rejected, in percent.
    pub fn closed_percent(&self) -> u32 {
        self.closed_percent.load(Ordering::Relaxed)
    }

    /// Records the present state; `open_share` is from 0 to 1.
    pub fn set(&self, is_shedding: bool, open_share: f64) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share times 100 is between 0 and 100"
        )]
        let closed = (100.0 * (1.0 - open_share.clamp(0.0, 1.0))).round() as u32;
        self.is_shedding.store(is_shedding, Ordering::Relaxed);
        self.closed_percent.store(closed, Ordering::Relaxed);
    }
}
