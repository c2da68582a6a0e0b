//! Compares ways in which routers can know at which version a stream began, when part of them are killed
//! at one moment in the middle of a rollout.
//!
//!     cargo run --release -p anvil_policy --example origin_ways

use std::collections::BTreeSet;

use anvil_policy::stream_origins::{HOLDERS_PER_STREAM, holders, stream_key};
use anvil_world::ids::{InstanceId, ZoneId};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Streams that are open when routers are killed, in one trial.
const STREAMS: usize = 2_000;
/// Trials of each case.
const TRIALS: usize = 20;
/// Resumable streams that begin at one router in a second.
const STREAMS_PER_ROUTER_S: f64 = 7.0;
/// Bytes of one stream in a message.
const ORIGIN_BYTES: f64 = 40.0;
/// Seconds that a stream is remembered.
const REMEMBERED_S: f64 = 8.0;
/// Progress of the rollout between a stream's first event and its being taken up: from 0 to 1.
const PROGRESS: (f64, f64) = (0.5, 0.6);

/// What becomes of streams whose routers were killed.
#[derive(Default)]
struct Outcome {
    right: usize,
    wrong: usize,
    unknown: usize,
}

impl Outcome {
    fn print(&self, name: &str, routers: usize, killed: usize, copies: f64) {
        let all = self.right + self.wrong + self.unknown;
        #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
        let percent = |part: usize| 100.0 * part as f64 / all.max(1) as f64;
        println!(
            "{name:22} {routers:5} {killed:5}  {:6.2} {:6.2} {:6.2}  {:9.1} {:9.2} {:9.1}",
            percent(self.right),
            percent(self.wrong),
            percent(self.unknown),
            STREAMS_PER_ROUTER_S * copies,
            STREAMS_PER_ROUTER_S * copies * ORIGIN_BYTES / 1e3,
            STREAMS_PER_ROUTER_S * (1.0 + copies) * REMEMBERED_S * ORIGIN_BYTES / 1e3,
        );
    }
}

fn routers(count: usize) -> Vec<(InstanceId, ZoneId)> {
    let zones = ["a", "b", "c"];
    let router = |number: usize| (format!("r-{number}").into(), zones[number % 3].into());
    (0..count).map(router).collect()
}

/// Whether one of the first `count` other routers that hold a stream survives.
fn survives(
    key: u128,
    own: &InstanceId,
    all: &[(InstanceId, ZoneId)],
    killed: &BTreeSet<&InstanceId>,
    count: usize,
) -> bool {
    let others = all.iter().filter(|(id, _)| id != own);
    let ranked = holders(key, others.map(|(id, zone)| (id, zone)));
    ranked.iter().take(count).any(|id| !killed.contains(*id))
}

fn main() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    println!(
        "{:22} {:>5} {:>5}  {:>6} {:>6} {:>6}  {:>9} {:>9} {:>9}",
        "way", "all", "dead", "right%", "wrong%", "unkn.%", "messages", "kB/s", "kB held"
    );
    for count in [8, 31, 300, 1_000] {
        let all = routers(count);
        for killed_count in [3, count * 3 / 8, count * 6 / 8] {
            compare(&mut rng, &all, killed_count);
        }
    }
}

fn compare(rng: &mut impl Rng, all: &[(InstanceId, ZoneId)], killed_count: usize) {
    let ways = [
        ("told to all", all.len()),
        ("told to 1", 1),
        ("told to 2", 2),
        ("told to 3", HOLDERS_PER_STREAM),
        ("asked, nothing told", 0),
    ];
    for (name, copies) in ways {
        let mut outcome = Outcome::default();
        for trial in 0..TRIALS {
            let killed: BTreeSet<_> = all.sample(rng, killed_count).map(|(id, _)| id).collect();
            let dead: Vec<_> = killed.iter().copied().collect();
            for number in 0..STREAMS / TRIALS {
                let key = stream_key("co-op", &format!("{trial}-{number}"));
                let own = dead.choose(rng).expect("a killed router");
                if survives(key, own, all, &killed, copies) {
                    outcome.right += 1;
                } else {
                    outcome.unknown += 1;
                }
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
        let copies = copies.min(all.len() - 1) as f64;
        outcome.print(name, all.len(), killed_count, copies);
    }
    let mut outcome = Outcome::default();
    for _ in 0..STREAMS {
        // The same function of the stream's id and of the versions' shares, before and after.
        let place: f64 = rng.random();
        if (place < PROGRESS.0) == (place < PROGRESS.1) {
            outcome.right += 1;
        } else {
            outcome.wrong += 1;
        }
    }
    outcome.print("a function of the id", all.len(), killed_count, 0.0);
}
