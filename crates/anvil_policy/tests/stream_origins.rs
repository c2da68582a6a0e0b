//! Which routers hold where a stream began, and for how long.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::stream_origins::{
    HOLDERS_PER_STREAM, Origin, OriginStore, expiry, holders, stream_key,
};
use anvil_world::ids::{InstanceId, ZoneId};

const TIMEOUT: Duration = Duration::from_secs(10);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn origin(version: &str, attempt: u32, at: Duration) -> Origin {
    Origin {
        service: "engines".into(),
        version: version.into(),
        attempt,
        expires: expiry(at, TIMEOUT),
    }
}

/// Routers `r-0`, `r-1` and so on, in three zones by turns.
fn routers(count: usize) -> Vec<(InstanceId, ZoneId)> {
    let zones = ["a", "b", "c"];
    let router = |number: usize| (format!("r-{number}").into(), zones[number % 3].into());
    (0..count).map(router).collect()
}

fn holder_names(key: u128, routers: &[(InstanceId, ZoneId)]) -> Vec<InstanceId> {
    let all = holders(key, routers.iter().map(|(id, zone)| (id, zone)));
    all.into_iter().take(HOLDERS_PER_STREAM).cloned().collect()
}

/// Guards against an older attempt's version replacing the one that brought the first event, when
/// messages overtake each other.
#[test]
fn latest_attempt_counts() {
    let mut store = OriginStore::default();
    store.insert(s(0), 1, origin("v2", 2, s(0)));
    store.insert(s(0), 1, origin("v1", 1, s(0)));
    assert_eq!(store.get(s(1), 1).map(|o| &*o.version), Some("v2"));
    assert_eq!(store.len(), 1);
}

/// Guards against a store that grows with every stream that ever ran.
#[test]
fn origins_are_forgotten_after_the_clients_timeout() {
    let mut store = OriginStore::default();
    for second in 0..1_000_u32 {
        let now = s(second.into());
        store.insert(now, second.into(), origin("v1", 0, now));
        assert!(store.len() <= 12);
    }
    assert!(store.get(s(1_011), 999).is_none());
}

/// Guards against a flood of streams that fills a router's memory.
#[test]
fn flood_of_streams_is_bounded() {
    let mut store = OriginStore::default();
    for key in 0..50_000_u128 {
        store.insert(s(0), key, origin("v1", 0, s(0)));
    }
    assert_eq!(store.len(), 20_000);
}

/// Guards against a lost zone that takes every holder of a stream with it.
#[test]
fn holders_are_in_different_zones() {
    let routers = routers(31);
    for number in 0..200 {
        let key = stream_key("co-op", &format!("attempt-{number}"));
        let names = holder_names(key, &routers);
        let zones: BTreeSet<_> = routers
            .iter()
            .filter(|(id, _)| names.contains(id))
            .map(|(_, zone)| zone)
            .collect();
        assert_eq!(zones.len(), 3);
    }
}

/// Guards against a router that joins or leaves moving the origins of most streams.
#[test]
fn few_holders_move_with_the_membership() {
    let before = routers(300);
    let after = &before[1..];
    let moved = (0..2_000).filter(|number| {
        let key = stream_key("co-op", &format!("attempt-{number}"));
        holder_names(key, &before) != holder_names(key, after)
    });
    assert!(moved.count() < 2_000 * 2 * HOLDERS_PER_STREAM / 300);
}

/// Guards against one organisation taking up another one's stream by its attempt's name.
#[test]
fn streams_of_organisations_differ() {
    assert_ne!(stream_key("a", "x"), stream_key("b", "x"));
    assert_ne!(stream_key("ab", "x"), stream_key("a", "bx"));
}
