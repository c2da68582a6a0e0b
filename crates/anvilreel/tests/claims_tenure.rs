//! Who keeps a key's claim, and who may vouch for it.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::msg::{HolderLife, PlacedClaim, RouterReply, RouterRequest};
use anvil_world::prelude::*;
use anvilreel::claims::{ClaimBook, Tenure, holder_lives, placement};
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

fn holders(key: &RequestKey, members: &[Member]) -> Vec<HolderLife> {
    holder_lives(key, "ke-central", members)
}

fn claim(key: &RequestKey, sidecar: &str) -> PlacedClaim {
    PlacedClaim {
        key: key.clone(),
        body: [1; 32],
        sidecar: sidecar.into(),
        incarnation: 1,
        keep: WINDOW,
    }
}

/// A rack takes a whole availability zone's routers with it. With both holders in it, a retry
/// would find no claim and run again.
#[test]
fn holders_stand_in_two_zones() {
    let members = routers(9);
    for n in 0..200 {
        let held = placement(&key(&n.to_string()), "ke-central", &members);
        let zone = |id: &InstanceId| {
            let found = members.iter().find(|m| m.instance.id == *id);
            found.expect("a member").instance.zone.clone()
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
fn a_later_generation_stands_where_the_first_one_does() {
    let (members, key) = (routers(9), key("order"));
    let later = generation_key(&key, 3);
    assert_eq!(holders(&later, &members), holders(&key, &members));
}

/// A router was frozen while the members changed, thaws and asks the holders that it knows. One
/// that vouched for it would let the key run a second time beside the new holders' claim.
#[test]
fn nobody_vouches_for_an_asker_who_knows_other_members() {
    let (old, key) = (routers(4), key("q"));
    let asked = holders(&key, &old);
    let me = asked[0].id.clone();
    let mut tenure = Tenure::new("ke-central".into(), WINDOW, Now::ZERO);
    tenure.note(Now::ZERO, &old);
    let late = WINDOW + Duration::from_secs(1);
    let heard = Duration::from_secs(1);
    assert!(tenure.vouches(late, heard, &me, &key, &asked));
    let other = asked[1].id.strip_prefix('r').and_then(|i| i.parse().ok());
    let mut new = old.clone();
    let other: usize = other.expect("a number");
    new[other] = router(other, 2);
    tenure.note(late, &new);
    assert!(!tenure.vouches(late, heard, &me, &key, &asked));
}

/// A holder is cut off from the ledger for so long that it may have been declared lost.
#[test]
fn a_holder_out_of_touch_vouches_for_nothing() {
    let (members, key) = (routers(4), key("q"));
    let asked = holders(&key, &members);
    let mut tenure = Tenure::new("ke-central".into(), WINDOW, Now::ZERO);
    tenure.note(Now::ZERO, &members);
    let late = WINDOW + Duration::from_secs(1);
    let silent = Duration::from_secs(4);
    assert!(!tenure.vouches(late, silent, &asked[0].id, &key, &asked));
    // Nor does one that holds the key since a short time: it may have missed a claim.
    let soon = WINDOW.saturating_sub(Duration::from_secs(1));
    assert!(!tenure.vouches(soon, Duration::ZERO, &asked[0].id, &key, &asked));
}

#[test]
fn the_first_claim_stands_and_a_vouchless_holder_keeps_it_too() {
    let (mut book, key) = (ClaimBook::default(), key("q"));
    let put = |sidecar| RouterRequest::PutAs {
        claim: claim(&key, sidecar),
        holders: Vec::new(),
    };
    let first = book.handle(Now::ZERO, put("s1"), |_, _| false);
    assert_eq!(first, RouterReply::Leaving);
    let second = book.handle(Now::ZERO, put("s2"), |_, _| true);
    assert_eq!(second, RouterReply::Claim(Some(claim(&key, "s1"))));
    let over = book.handle(WINDOW, RouterRequest::Get(key.clone()), |_, _| true);
    assert_eq!(over, RouterReply::Claim(None));
}
