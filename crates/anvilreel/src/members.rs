//! Who is where, as the ledger's members tell.

use std::net::SocketAddr;

use anvil_world::prelude::*;

use crate::held::Held;

/// Relays that one process uses at most. More add nothing: one that answers is enough.
const MOST_RELAYS: usize = 4;

/// Replicas of the ledger: those that are alive, then those known from the settings.
pub fn replicas(held: &Held, known: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut found: Vec<SocketAddr> = alive(held, Role::Ledger).map(|i| i.addr).collect();
    for addr in known {
        if !found.contains(addr) {
            found.push(*addr);
        }
    }
    found
}

/// Relays for a process of this name: some of those that are alive, others for another name, so
/// that no relay carries all.
pub fn relays(held: &Held, name: &str) -> Vec<SocketAddr> {
    let mut all: Vec<&Instance> = alive(held, Role::Relay).collect();
    all.sort_by_key(|relay| {
        xxhash_rust::xxh3::xxh3_64_with_seed(relay.id.as_bytes(), spread(name))
    });
    all.iter()
        .take(MOST_RELAYS)
        .map(|relay| relay.addr)
        .collect()
}

/// Instances of a role that the ledger has heard of lately.
pub fn alive(held: &Held, role: Role) -> impl Iterator<Item = &Instance> {
    let members = held.members.values();
    let alive = members
        .filter(move |member| member.instance.role == role && member.presence == Presence::Live);
    alive.map(|member| &member.instance)
}

fn spread(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
