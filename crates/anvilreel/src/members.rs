//! Addresses of instances, looked up in the membership that the ledger announced.

use std::net::SocketAddr;

use anvil_world::prelude::*;

use crate::ledger_view::LedgerView;

/// Maximum number of relays that a process uses. One that answers is enough; the others are spares.
const MAX_RELAYS: usize = 4;

/// Addresses of the ledger's replicas: those that are live members, then those from the settings.
pub fn replicas(view: &LedgerView, configured: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut addrs: Vec<SocketAddr> = live_instances(view, Role::Ledger).map(|i| i.addr).collect();
    for addr in configured {
        if !addrs.contains(addr) {
            addrs.push(*addr);
        }
    }
    addrs
}

/// Addresses of the relays that the process of this name uses. Each name gets a different choice
/// among the live relays, which spreads the load over them.
pub fn relays(view: &LedgerView, name: &str) -> Vec<SocketAddr> {
    let mut live_relays: Vec<&Instance> = live_instances(view, Role::Relay).collect();
    live_relays.sort_by_key(|relay| {
        xxhash_rust::xxh3::xxh3_64_with_seed(relay.id.as_bytes(), name_hash(name))
    });
    live_relays
        .iter()
        .take(MAX_RELAYS)
        .map(|relay| relay.addr)
        .collect()
}

/// Live instances of a role: the ledger has recently received heartbeats from them.
pub fn live_instances(view: &LedgerView, role: Role) -> impl Iterator<Item = &Instance> {
    let members = view.members.values();
    let live = members
        .filter(move |member| member.instance.role == role && member.presence == Presence::Live);
    live.map(|member| &member.instance)
}

fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
