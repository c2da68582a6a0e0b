//! What goes wrong, by the seed.

use std::time::Duration;

use anvil_world::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::World;

#[derive(Debug, Clone)]
pub enum Fault {
    KillRouter(usize),
    KillSidecar(usize),
    FreezeRouter(usize, Duration),
    CutPair(usize, usize, Duration),
    CutHalf(u64, Duration),
    CutFromLedger(usize, Duration),
    ResetStreams(usize),
    LoseEngine(usize, bool),
    StopRouter(usize),
    Leave(usize),
    TopUpTwice,
    CrossFrames(usize),
}

impl Fault {
    pub fn draw(rng: &mut ChaCha8Rng, routers: usize, sidecars: usize) -> Self {
        let r = rng.random_range(0..routers);
        let s = rng.random_range(0..sidecars);
        let long = Duration::from_secs(rng.random_range(1..60));
        let resumable = rng.random_range(0..2) == 0;
        match rng.random_range(0..13) {
            0 | 1 => Self::KillRouter(r),
            2 => Self::KillSidecar(s),
            3 => Self::FreezeRouter(r, long),
            4 => Self::CutPair(r, s, long),
            5 => Self::CutHalf(rng.random(), long),
            6 | 7 => Self::CutFromLedger(r, long),
            8 => Self::ResetStreams(r),
            9 => Self::LoseEngine(s, resumable),
            10 => Self::StopRouter(r),
            11 => Self::Leave(s),
            _ if resumable => Self::TopUpTwice,
            _ => Self::CrossFrames(s),
        }
    }
}

impl World {
    pub fn fault(&mut self, fault: &Fault) {
        let now = self.now;
        match fault {
            Fault::KillRouter(slot) => self.kill_router(*slot),
            Fault::KillSidecar(slot) => self.kill_sidecar(*slot),
            Fault::FreezeRouter(slot, long) => {
                self.routers[*slot].frozen_until = now + *long;
                self.count("routers frozen");
            }
            Fault::CutPair(r, s, long) => {
                self.net
                    .cut(&format!("r{r}"), &format!("s{s}"), now + *long);
                self.count("links cut");
            }
            Fault::CutHalf(bits, long) => self.cut_half(*bits, now + *long),
            Fault::CutFromLedger(r, long) => {
                self.net.cut(&format!("r{r}"), "ledger", now + *long);
                self.count("routers cut from ledger");
            }
            Fault::ResetStreams(r) => {
                self.reset_streams(|stream| stream.router == *r);
                self.count("streams reset");
            }
            Fault::LoseEngine(s, resumable) => self.lose_engine(*s, *resumable),
            Fault::StopRouter(slot) => self.stop_router(*slot),
            Fault::Leave(s) => self.leave_sidecar(*s),
            Fault::TopUpTwice => {
                self.ledger.top_up_twice(now);
                self.count("top-ups sent twice");
            }
            Fault::CrossFrames(s) => {
                self.sidecars[*s].cross_next = true;
                self.count("frames crossed");
            }
        }
    }

    /// A silent partition between two halves of all nodes.
    fn cut_half(&mut self, bits: u64, until: Now) {
        let nodes: Vec<_> = self.nodes().into_iter().collect();
        let side = |i: usize| bits >> (i % 64) & 1;
        for a in 0..nodes.len() {
            for b in a + 1..nodes.len() {
                if side(a) != side(b) {
                    self.net.cut(&nodes[a], &nodes[b], until);
                }
            }
        }
        self.count("halves cut");
    }
}
