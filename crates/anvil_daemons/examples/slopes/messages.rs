//! Encoded size of the messages between processes.

use std::collections::BTreeMap;

use anvil_wire::msg::{
    EndpointLoad, FollowEvent, Heartbeat, HeartbeatReply, LedgerReply, LedgerRequest, SidecarReply,
};
use anvil_world::prelude::*;
use serde::Serialize;

use crate::fit::{Slope, point};
use crate::sample::{FilledState, claim, grant_request, report, sidecar, team};

const SIZES: [u64; 4] = [1, 10, 100, 1_000];

/// All slopes of this group.
pub fn slopes() -> Vec<Slope> {
    vec![
        slope("router to ledger, batch", "bytes a report", SIZES, reports),
        slope("router to ledger, batch", "bytes an ask", SIZES, asks),
        slope(
            "instance to ledger, sign of life",
            "bytes a second",
            [1, 2, 3, 4],
            heartbeats,
        ),
        slope(
            "ledger to instance, sign of life",
            "bytes a second",
            [1, 2, 3, 4],
            replies,
        ),
        slope("router to ledger, claim", "bytes a claim", SIZES, claims),
        slope("ledger to router, full state", "bytes a team", SIZES, teams),
        slope(
            "ledger to router, full state",
            "bytes a member",
            SIZES,
            members,
        ),
        slope(
            "ledger to router, change",
            "bytes a changed team",
            SIZES,
            deltas,
        ),
        slope("sidecar to router, load", "bytes a report", SIZES, loads),
    ]
}

fn slope<const N: usize>(
    what: &'static str,
    unit: &'static str,
    sizes: [u64; N],
    bytes: fn(u64) -> u64,
) -> Slope {
    let points = sizes.map(|size| point(size, bytes(size))).to_vec();
    Slope { what, unit, points }
}

fn encoded(message: &impl Serialize) -> u64 {
    anvil_wire::encode(message).map_or(0, |bytes| bytes.len() as u64)
}

fn reports(count: u64) -> u64 {
    let grant = 40_000_000;
    let reports = (0..count)
        .map(|number| report(grant + number, 1_234_567))
        .collect();
    let batch = FilledState::default().batch(7, reports, Vec::new());
    encoded(&LedgerRequest::Propose(batch))
}

fn asks(count: u64) -> u64 {
    let asks = (0..count)
        .map(|number| grant_request(number, 250_000))
        .collect();
    let batch = FilledState::default().batch(7, Vec::new(), asks);
    encoded(&LedgerRequest::Propose(batch))
}

fn heartbeats(seconds: u64) -> u64 {
    let heartbeat = LedgerRequest::Heartbeat(Heartbeat {
        instance: sidecar(4_711),
        version: 40_000_000,
        evidence: Vec::new(),
        leaving: false,
    });
    seconds * encoded(&heartbeat)
}

fn replies(seconds: u64) -> u64 {
    let reply = LedgerReply::Alive(HeartbeatReply {
        version: 40_000_000,
        presence: Presence::Live,
        taken: Vec::new(),
        replicas: vec![([10, 1, 0, 19], 7_340).into(); 5],
    });
    seconds * encoded(&reply)
}

fn claims(count: u64) -> u64 {
    (0..count)
        .map(|number| encoded(&LedgerRequest::Propose(claim(number))))
        .sum()
}

fn entry(number: u64) -> (TreePath, TreeEntry) {
    let entry = TreeEntry {
        revision: 40_000_000,
        text: team(number, "prepaid-workshop-00001").into(),
        operator: "operator-of-the-venture".into(),
    };
    (
        TreePath::Team(format!("workshop-team-{number:05}").into()),
        entry,
    )
}

fn full(teams: u64, members: u64) -> u64 {
    let members: BTreeMap<_, _> = (0..members)
        .map(|number| {
            let instance = sidecar(number);
            let presence = Presence::Live;
            (instance.id.clone(), Member { instance, presence })
        })
        .collect();
    encoded(&LedgerReply::Follow(FollowEvent::Full {
        version: 40_000_000,
        tree: (0..teams).map(entry).collect(),
        members,
        fenced: BTreeMap::new(),
        suspects: BTreeMap::new(),
        limits: BTreeMap::new(),
        shares: Some(Shares::default()),
        versions: Some(RecordedVersions::default()),
    }))
}

fn teams(count: u64) -> u64 {
    full(count, 0)
}

fn members(count: u64) -> u64 {
    full(0, count)
}

fn deltas(count: u64) -> u64 {
    let tree = (0..count).map(entry);
    encoded(&LedgerReply::Follow(FollowEvent::Delta {
        version: 40_000_000,
        tree: tree.map(|(path, entry)| (path, Some(entry))).collect(),
        members: Vec::new(),
        fenced: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        shares: Some(Shares::default()),
        versions: Some(RecordedVersions::default()),
    }))
}

fn loads(count: u64) -> u64 {
    let load = SidecarReply::Load(EndpointLoad {
        running: 40,
        queued: 2,
        slots: 64,
        tokens_per_second: 1_700,
        models: ["swatch-chat", "ticket-chat"].map(ModelId::from).into(),
        leaving: false,
    });
    count * encoded(&load)
}
