//! Which routers keep a key's claim.

use anvil_wire::msg::HolderLife;
use anvil_world::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Stands between a key and the number of a claim's later generation.
pub const GENERATION_MARK: char = '\u{1}';
/// Routers that keep each claim.
pub const HOLDERS: usize = 2;

/// The routers that keep a key's claim: of the live routers of a region, the one with the
/// highest score for this key, then the next one in another availability zone. Where there is
/// only one zone, the next one at all.
///
/// Rendezvous hashing: a router that comes or goes moves only the keys it holds, and all routers
/// that know the same members come to the same answer without asking anybody.
pub fn placement<'a>(
    key: &RequestKey,
    region: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<InstanceId> {
    let lives = holder_lives(key, region, members);
    lives.into_iter().map(|holder| holder.id).collect()
}

/// As [`placement`], with the life of each router.
pub fn holder_lives<'a>(
    key: &RequestKey,
    region: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<HolderLife> {
    let mut scored: Vec<_> = members
        .into_iter()
        .filter(|member| holds_claims(member, region))
        .map(|member| (score(key, &member.instance), &member.instance))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let Some((_, first)) = scored.first() else {
        return Vec::new();
    };
    let others = || scored.iter().skip(1).map(|(_, instance)| instance);
    let elsewhere = others().find(|other| other.zone != first.zone);
    let second = elsewhere.or_else(|| others().next());
    let holders = std::iter::once(first).chain(second);
    let life = |instance: &Instance| HolderLife {
        id: instance.id.clone(),
        incarnation: instance.incarnation,
    };
    holders.map(|instance| life(instance)).collect()
}

fn holds_claims(member: &Member, region: &str) -> bool {
    let instance = &member.instance;
    member.presence == Presence::Live
        && instance.role == Role::Router
        && *instance.zone.region == *region
}

/// The score of one router for one key. Its incarnation counts in: a restarted router has lost
/// what it kept, so it is another holder.
fn score(key: &RequestKey, router: &Instance) -> u64 {
    let mut hash = Xxh3::new();
    // A later generation of a claim stands where the first one does.
    let id = key.id.split(GENERATION_MARK).next().unwrap_or_default();
    for part in [&key.team, id, &router.id] {
        hash.update(part.as_bytes());
        // Parts are names without a zero byte, so that no two lists of parts look the same.
        hash.update(&[0]);
    }
    hash.update(&router.incarnation.to_le_bytes());
    hash.digest()
}
