//! What the ledger's state takes: memory, and bytes of a snapshot.

use std::process::{Command, ExitCode};

use anvil_standins::load::usage::ProcessUsage;

use crate::fit::{Slope, point};
use crate::sample::Filled;

type Fill = fn(&mut Filled, u64);

/// A kind of thing, its sizes, and how the state is filled with it.
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

/// Two slopes for each kind.
pub fn slopes() -> Vec<Slope> {
    KINDS.iter().flat_map(both).collect()
}

fn both(kind: &Kind) -> [Slope; 2] {
    let measured: Vec<_> = kind
        .sizes
        .iter()
        .map(|size| (*size, apart(kind.name, *size)))
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

/// Measures one size in a process of its own.
fn apart(kind: &str, size: u64) -> (u64, u64) {
    let program = std::env::current_exe().expect("a running program has a path");
    let output = Command::new(program)
        .args(["--memory", kind, "--count", &size.to_string()])
        .output()
        .expect("this program can be started again");
    let text = String::from_utf8_lossy(&output.stdout);
    let mut numbers = text.split_whitespace().filter_map(|n| n.parse().ok());
    let both = (numbers.next(), numbers.next());
    let (Some(memory), Some(bytes)) = both else {
        panic!("no figures from {kind} {size}: {text}");
    };
    (memory, bytes)
}

/// Fills a state, and prints what it took: bytes of memory, then of a snapshot.
pub fn measure(kind: &str, count: u64) -> ExitCode {
    let Some(kind) = KINDS.iter().find(|k| k.name == kind) else {
        return ExitCode::FAILURE;
    };
    let memory = || ProcessUsage::of(std::process::id()).map_or(0, |usage| usage.memory);
    let before = memory();
    let mut filled = Filled::default();
    (kind.fill)(&mut filled, count);
    let taken = memory().saturating_sub(before);
    let snapshot = snapshot_bytes(&filled);
    println!("{taken} {snapshot}");
    ExitCode::SUCCESS
}

/// Bytes of the state as a replica writes it into a snapshot.
fn snapshot_bytes(filled: &Filled) -> usize {
    let encoded = bincode::serde::encode_to_vec(&filled.state, bincode::config::standard());
    encoded.map_or(0, |bytes| bytes.len())
}
