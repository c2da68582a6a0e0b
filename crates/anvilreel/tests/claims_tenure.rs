//! Which routers hold a key's claim, and when a holder may confirm it.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::msg::{ClaimHolder, IdempotentClaim, RouterReply, RouterRequest};
use anvil_world::prelude::*;
use anvilreel::claims::{ClaimStore, HolderHistory, holder_incarnations, placement};
use anvilreel::request::generation_key;

const WINDOW: Duration = Duration::from_mins(5);

fn key(id: &str) -> RequestKey {
    RequestKey {
        team: "counter".into(),
        id: id.into(),
    }
}

fn routers(count: usize) -> Vec<Member> {
    (0..count).map(|i| router(i, 1)).collect()
}

fn router(i: usize, incarnation: Incarnation) -> Member {
    Member {
        instance: Instance {
            id: format!("r{i}").into(),
            incarnation,
            role: Role::Router,
            zone: Zone {
                id: format!("z{}", i % 3).into(),
                region: "ke-central".into(),
            },
            addr: SocketAddr::from(([127, 0, 0, 1], 9)),
            endpoint: None,
        },
        presence: Presence::Live,
    }
}

fn holders(key: &RequestKey, members: &[Member]) -> Vec<ClaimHolder> {
    holder_incarnations(key, "ke-central", members)
}

fn claim(key: &RequestKey, sidecar: &str) -> IdempotentClaim {
    IdempotentClaim {
        key: key.clone(),
        body: [1; 32],
        sidecar: sidecar.into(),
        incarnation: 1,
        keep: WINDOW,
    }
}

/// If an availability zone is lost with both holders of a key's claim, a retry finds no claim and
/// runs the key again.
#[test]
fn holders_are_in_two_zones() {
    let members = routers(9);
    for n in 0..200 {
        let held = placement(&key(&n.to_string()), "ke-central", &members);
        let zone = |id: &InstanceId| {
            let found = members.iter().find(|m| m.instance.id == *id);
            found.expect("the holder is a member").instance.zone.clone()
        };
        assert_eq!(held.len(), 2);
        assert_ne!(zone(&held[0]), zone(&held[1]));
    }
}

#[test]
fn a_lost_router_moves_only_the_keys_that_it_held() {
    let before = routers(9);
    let after: Vec<_> = before[1..].to_vec();
    for n in 0..200 {
        let key = key(&n.to_string());
        let held = placement(&key, "ke-central", &before);
        if !held.contains(&"r0".into()) {
            assert_eq!(placement(&key, "ke-central", &after), held);
        }
    }
}

#[test]
fn later_generation_has_the_same_holders() {
    let (members, key) = (routers(9), key("order"));
    let later = generation_key(&key, 3);
    assert_eq!(holders(&later, &members), holders(&key, &members));
}

/// A router was frozen while the members changed, and asks the holders according to its old list. A
/// holder that confirms its claim would let the key run a second time beside the new holders'
/// claim.
#[test]
fn holder_does_not_confirm_for_a_router_with_other_members() {
    let (old, key) = (routers(4), key("q"));
    let asked = holders(&key, &old);
    let me = asked[0].id.clone();
    let mut history = HolderHistory::new("ke-central".into(), WINDOW, Now::ZERO);
    history.record_members(Now::ZERO, &old);
    let late = WINDOW + Duration::from_secs(1);
    let disconnected_for = Duration::from_secs(1);
    assert!(history.may_confirm_claim(late, disconnected_for, &me, &key, &asked));
    let other = asked[1].id.strip_prefix('r').and_then(|i| i.parse().ok());
    let mut new = old.clone();
    let other: usize = other.expect("the id ends in a number");
    new[other] = router(other, 2);
    history.record_members(late, &new);
    assert!(!history.may_confirm_claim(late, disconnected_for, &me, &key, &asked));
}

/// A holder that has been disconnected from the ledger for so long that it may have been declared
/// lost confirms no claims.
#[test]
fn disconnected_holder_confirms_no_claim() {
    let (members, key) = (routers(4), key("q"));
    let asked = holders(&key, &members);
    let mut history = HolderHistory::new("ke-central".into(), WINDOW, Now::ZERO);
    history.record_members(Now::ZERO, &members);
    let late = WINDOW + Duration::from_secs(1);
    let disconnected_for = Duration::from_secs(4);
    assert!(!history.may_confirm_claim(late, disconnected_for, &asked[0].id, &key, &asked));
    // Nor does a holder that has held the key only for a short time: it may not know of an earlier
    // claim.
    let soon = WINDOW.saturating_sub(Duration::from_secs(1));
    assert!(!history.may_confirm_claim(soon, Duration::ZERO, &asked[0].id, &key, &asked));
}

#[test]
fn first_claim_is_kept_even_by_a_holder_that_does_not_confirm() {
    let (mut store, key) = (ClaimStore::default(), key("q"));
    let put = |sidecar| RouterRequest::PutAs {
        claim: claim(&key, sidecar),
        holders: Vec::new(),
    };
    let first = store.handle(Now::ZERO, put("s1"), |_, _| false);
    assert_eq!(first, RouterReply::Leaving);
    let second = store.handle(Now::ZERO, put("s2"), |_, _| true);
    assert_eq!(second, RouterReply::Claim(Some(claim(&key, "s1"))));
    let expired = store.handle(WINDOW, RouterRequest::Get(key.clone()), |_, _| true);
    assert_eq!(expired, RouterReply::Claim(None));
}
