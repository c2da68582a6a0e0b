//! Load of a change that goes to a thousand routers: each event is encoded once.

use anvil_wire::msg::{FollowEvent, FollowScope, LedgerReply};
use anvil_world::prelude::*;
use anvilreel::ledger_service::follow::Follower;
use anvilreel::ledger_service::follow_frames::FollowFrames;
use bytes::BytesMut;

const FOLLOWERS: usize = 1_000;

fn follower(number: usize, interest: FollowScope, version: LogIndex) -> Follower {
    Follower {
        instance: format!("router-{number}").into(),
        interest,
        version,
    }
}

fn delta(version: LogIndex) -> FollowEvent {
    FollowEvent::Delta {
        version,
        tree: Vec::new(),
        members: Vec::new(),
        fenced: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        shares: Some(Shares::default()),
        versions: Some(RecordedVersions::default()),
    }
}

/// Guards against a leader that encodes and compresses a routing table once for each router while
/// requests wait for its grants.
#[test]
fn event_for_many_routers_is_encoded_once() {
    let frames = FollowFrames::default();
    let first = frames
        .encode(&follower(0, FollowScope::Router, 7), delta(8))
        .expect("a frame");
    for number in 1..FOLLOWERS {
        let follower = follower(number, FollowScope::Router, 7);
        let frame = frames.find(&follower, 8).expect("an encoded event");
        assert_eq!(frame.reply.as_ptr(), first.reply.as_ptr());
        assert_eq!(frame.to, 8);
    }
    let mut buf = BytesMut::from(&first.reply[..]);
    let reply: Option<LedgerReply> = anvil_wire::decode(&mut buf).expect("a reply");
    assert_eq!(reply, Some(LedgerReply::Follow(delta(8))));
}

/// Guards against a follower that receives changes from a version that it doesn't hold, or those of
/// another scope.
#[test]
fn event_is_shared_only_by_followers_that_need_the_same() {
    let frames = FollowFrames::default();
    let router = follower(0, FollowScope::Router, 7);
    frames.encode(&router, delta(8)).expect("a frame");
    let behind = follower(1, FollowScope::Router, 6);
    let relay = follower(2, FollowScope::Members, 7);
    assert!(frames.find(&behind, 8).is_none());
    assert!(frames.find(&relay, 8).is_none());
    assert!(frames.find(&router, 9).is_none());
}

/// Guards against a sidecar that receives the presence of another one.
#[test]
fn events_of_sidecars_are_not_shared() {
    let frames = FollowFrames::default();
    let sidecar = follower(0, FollowScope::Sidecar, 7);
    frames.encode(&sidecar, delta(8)).expect("a frame");
    let other = follower(1, FollowScope::Sidecar, 7);
    assert!(frames.find(&other, 8).is_none());
}
