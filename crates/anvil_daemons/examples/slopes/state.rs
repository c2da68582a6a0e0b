//! Size of the ledger's state in memory and in a snapshot.

use std::process::{Command, ExitCode};

use anvil_standins::load::usage::ProcessUsage;

use crate::fit::{Slope, point};
use crate::sample::FilledState;

type Fill = fn(&mut FilledState, u64);

/// One kind of item, the measured sizes, and how a state is filled with it.
struct Kind {
    name: &'static str,
    memory: &'static str,
    snapshot: &'static str,
    sizes: [u64; 3],
    fill: Fill,
}

const KINDS: [Kind; 5] = [
    Kind {
        name: "budgets",
        memory: "bytes of memory a budget",
        snapshot: "bytes of snapshot a budget",
        sizes: [8_000, 24_000, 65_000],
        fill: |filled, count| filled.budgets(count),
    },
    Kind {
        name: "teams",
        memory: "bytes of memory a team",
        snapshot: "bytes of snapshot a team",
        sizes: [8_000, 24_000, 65_000],
        fill: |filled, count| {
            filled.budgets(1_000);
            filled.teams(count, 1_000);
        },
    },
    Kind {
        name: "grants",
        memory: "bytes of memory an open grant",
        snapshot: "bytes of snapshot an open grant",
        sizes: [50_000, 150_000, 400_000],
        fill: |filled, count| {
            filled.budgets(1_000);
            filled.grants(count / 1_000, 1_000);
        },
    },
    Kind {
        name: "members",
        memory: "bytes of memory a member",
        snapshot: "bytes of snapshot a member",
        sizes: [2_000, 7_000, 21_000],
        fill: |filled, count| filled.members(count),
    },
    Kind {
        name: "claims",
        memory: "bytes of memory a claim",
        snapshot: "bytes of snapshot a claim",
        sizes: [50_000, 150_000, 400_000],
        fill: |filled, count| filled.claims(count),
    },
];

/// All slopes of this group: memory and snapshot for each kind.
pub fn slopes() -> Vec<Slope> {
    KINDS.iter().flat_map(memory_and_snapshot).collect()
}

fn memory_and_snapshot(kind: &Kind) -> [Slope; 2] {
    let measured: Vec<_> = kind
        .sizes
        .iter()
        .map(|size| (*size, measure_in_process(kind.name, *size)))
        .collect();
    let memory = measured
        .iter()
        .map(|(size, (memory, _))| point(*size, *memory));
    let snapshot = measured
        .iter()
        .map(|(size, (_, bytes))| point(*size, *bytes));
    [
        Slope {
            what: "ledger state",
            unit: kind.memory,
            points: memory.collect(),
        },
        Slope {
            what: "ledger state",
            unit: kind.snapshot,
            points: snapshot.collect(),
        },
    ]
}

/// Measures one size in a separate process; returns bytes of memory and of the snapshot.
fn measure_in_process(kind: &str, size: u64) -> (u64, u64) {
    let program = std::env::current_exe().expect("a running program has a path");
    let output = Command::new(program)
        .args(["--memory", kind, "--count", &size.to_string()])
        .output()
        .expect("this program can be started again");
    let text = String::from_utf8_lossy(&output.stdout);
    let mut numbers = text.split_whitespace().filter_map(|n| n.parse().ok());
    let memory_and_snapshot = (numbers.next(), numbers.next());
    let (Some(memory), Some(bytes)) = memory_and_snapshot else {
        panic!("no figures from {kind} {size}: {text}");
    };
    (memory, bytes)
}

/// Fills a state and prints two numbers: its bytes of memory and of its snapshot.
pub fn measure(kind: &str, count: u64) -> ExitCode {
    let Some(kind) = KINDS.iter().find(|k| k.name == kind) else {
        return ExitCode::FAILURE;
    };
    let memory = || ProcessUsage::of(std::process::id()).map_or(0, |usage| usage.memory);
    let before = memory();
    let mut filled = FilledState::default();
    (kind.fill)(&mut filled, count);
    let used = memory().saturating_sub(before);
    let snapshot = snapshot_bytes(&filled);
    println!("{used} {snapshot}");
    ExitCode::SUCCESS
}

/// Bytes of the state as a replica encodes it in a snapshot.
fn snapshot_bytes(filled: &FilledState) -> usize {
    let encoded = bincode::serde::encode_to_vec(&filled.state, bincode::config::standard());
    encoded.map_or(0, |bytes| bytes.len())
}
