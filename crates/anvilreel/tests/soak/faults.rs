//! The injected faults: drawn from the seed, and applied to the simulation.

use std::time::Duration;

use anvil_world::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::World;

/// A fault. Numbers are the slots of routers and sidecars; durations say how long the fault lasts.
#[derive(Debug, Clone)]
pub enum Fault {
    KillRouter(usize),
    KillSidecar(usize),
    FreezeRouter(usize, Duration),
    PartitionPair(usize, usize, Duration),
    /// Partitions all processes into two halves; the bits select the half of each process.
    PartitionHalves(u64, Duration),
    PartitionFromLedger(usize, Duration),
    ResetStreams(usize),
    /// Breaks the engine connection of a sidecar; the flag says whether runs can be resumed.
    BreakEngine(usize, bool),
    StopRouter(usize),
    DrainSidecar(usize),
    RepeatTopUp,
    /// Makes a sidecar send a frame of another request before its next frame.
    InjectForeignFrame(usize),
}

impl Fault {
    pub fn draw(rng: &mut ChaCha8Rng, routers: usize, sidecars: usize) -> Self {
        let r = rng.random_range(0..routers);
        let s = rng.random_range(0..sidecars);
        let duration = Duration::from_secs(rng.random_range(1..60));
        let resumable = rng.random_range(0..2) == 0;
        match rng.random_range(0..13) {
            0 | 1 => Self::KillRouter(r),
            2 => Self::KillSidecar(s),
            3 => Self::FreezeRouter(r, duration),
            4 => Self::PartitionPair(r, s, duration),
            5 => Self::PartitionHalves(rng.random(), duration),
            6 | 7 => Self::PartitionFromLedger(r, duration),
            8 => Self::ResetStreams(r),
            9 => Self::BreakEngine(s, resumable),
            10 => Self::StopRouter(r),
            11 => Self::DrainSidecar(s),
            _ if resumable => Self::RepeatTopUp,
            _ => Self::InjectForeignFrame(s),
        }
    }
}

impl World {
    pub fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match fault {
            Fault::KillRouter(slot) => self.kill_router(*slot),
            Fault::KillSidecar(slot) => self.kill_sidecar(*slot),
            Fault::FreezeRouter(slot, duration) => {
                self.routers[*slot].frozen_until = now + *duration;
                self.count("routers frozen");
            }
            Fault::PartitionPair(r, s, duration) => {
                self.net
                    .partition(&format!("r{r}"), &format!("s{s}"), now + *duration);
                self.count("links partitioned");
            }
            Fault::PartitionHalves(bits, duration) => self.partition_halves(*bits, now + *duration),
            Fault::PartitionFromLedger(r, duration) => {
                self.net
                    .partition(&format!("r{r}"), "ledger", now + *duration);
                self.count("routers partitioned from ledger");
            }
            Fault::ResetStreams(r) => {
                self.reset_streams(|stream| stream.router == *r);
                self.count("streams reset");
            }
            Fault::BreakEngine(s, resumable) => self.break_engine(*s, *resumable),
            Fault::StopRouter(slot) => self.stop_router(*slot),
            Fault::DrainSidecar(s) => self.drain_sidecar(*s),
            Fault::RepeatTopUp => {
                self.ledger.repeat_top_up(now);
                self.count("top-ups repeated");
            }
            Fault::InjectForeignFrame(s) => {
                self.sidecars[*s].inject_foreign_frame = true;
                self.count("foreign frames injected");
            }
        }
    }

    /// Partitions all processes into two halves, without connection errors.
    fn partition_halves(&mut self, bits: u64, until: Now) {
        let process_names: Vec<_> = self.process_names().into_iter().collect();
        let side = |i: usize| bits >> (i % 64) & 1;
        for a in 0..process_names.len() {
            for b in a + 1..process_names.len() {
                if side(a) != side(b) {
                    self.net
                        .partition(&process_names[a], &process_names[b], until);
                }
            }
        }
        self.count("partitions into halves");
    }
}
