//! Which routers hold a key's claim.

use anvil_wire::msg::ClaimHolder;
use anvil_world::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Separates a key from the generation number in the key of a claim's later generation.
pub const GENERATION_MARK: char = '\u{1}';
/// Number of routers that hold each claim.
pub const HOLDERS_PER_CLAIM: usize = 2;

/// The routers that hold a key's claim: of the live routers of a region, the one with the highest
/// score for this key, then the one with the next highest score in another availability zone, or in
/// the same zone if there is only one.
///
/// This is rendezvous hashing: a router that joins or leaves moves only the keys it holds, and all
/// routers with the same members' list agree without communication.
pub fn placement<'a>(
    key: &RequestKey,
    region: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<InstanceId> {
    let holders = holder_incarnations(key, region, members);
    holders.into_iter().map(|holder| holder.id).collect()
}

/// As [`placement`], with the incarnation of each router.
pub fn holder_incarnations<'a>(
    key: &RequestKey,
    region: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<ClaimHolder> {
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
    let in_other_zone = others().find(|other| other.zone != first.zone);
    let second = in_other_zone.or_else(|| others().next());
    let holders = std::iter::once(first).chain(second);
    let incarnation_of = |instance: &Instance| ClaimHolder {
        id: instance.id.clone(),
        incarnation: instance.incarnation,
    };
    holders.map(|instance| incarnation_of(instance)).collect()
}

fn holds_claims(member: &Member, region: &str) -> bool {
    let instance = &member.instance;
    member.presence == Presence::Live
        && instance.role == Role::Router
        && *instance.zone.region == *region
}

/// The score of one router for one key. It includes the incarnation: a restarted router has lost
/// its claims, so it counts as another holder.
fn score(key: &RequestKey, router: &Instance) -> u64 {
    let mut hash = Xxh3::new();
    // Later generations of a claim have the same holders as the first.
    let id = key.id.split(GENERATION_MARK).next().unwrap_or_default();
    for part in [&key.team, id, &router.id] {
        hash.update(part.as_bytes());
        // The parts contain no zero byte, so different lists of parts never hash the same bytes.
        hash.update(&[0]);
    }
    hash.update(&router.incarnation.to_le_bytes());
    hash.digest()
}
