//! When the leader reports an instance as unresponsive and when it declares it gone.

use std::time::Duration;

use anvil_ledger::machine::Machine;
use anvil_wire::msg::Heartbeat;
use anvil_world::command::SetPresence;
use anvil_world::prelude::*;
use anvilreel::ledger_service::heartbeats::{HeartbeatAction, HeartbeatTracker, PresenceTimeouts};

const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(10);
const TIMEOUTS: PresenceTimeouts = PresenceTimeouts {
    silent: UNRESPONSIVE_AFTER,
    gone: Duration::from_mins(11),
};

fn heartbeat(incarnation: Incarnation) -> Heartbeat {
    Heartbeat {
        instance: Instance {
            id: "router-0".into(),
            incarnation,
            role: Role::Router,
            zone: Zone::default(),
            addr: "127.0.0.1:9000".parse().unwrap(),
            endpoint: None,
        },
        version: 0,
        evidence: Vec::new(),
        leaving: false,
    }
}

fn apply(machine: &mut Machine, action: HeartbeatAction) {
    let HeartbeatAction::Propose(command) = action else {
        panic!("{action:?}");
    };
    let index = machine.state.applied() + 1;
    machine.state.apply(index, 1, &command);
}

/// Guards against routers that are declared gone right after they have joined, half a minute or
/// more after the election. They are fenced and refuse every caller for the rest of their
/// incarnation. It happens if the heartbeat that leads to the join is not stored: the router then
/// seems to have sent none since the election.
#[test]
fn an_instance_that_joins_long_after_the_election_is_not_declared_gone() {
    let mut machine = Machine::default();
    let mut tracker = HeartbeatTracker::since_election(Duration::ZERO);
    for (at, incarnation) in [(35, 1), (70, 2)] {
        let now = Duration::from_secs(at);
        let action = tracker.record(now, &heartbeat(incarnation), &machine);
        apply(&mut machine, action);
        let soon = now + Duration::from_millis(100);
        assert!(
            tracker
                .presence_changes(soon, TIMEOUTS, &machine)
                .is_empty(),
            "incarnation {incarnation}"
        );
        assert_eq!(
            tracker
                .presence_changes(now + UNRESPONSIVE_AFTER, TIMEOUTS, &machine)
                .len(),
            1
        );
    }
}

fn next_presence(tracker: &HeartbeatTracker, now: Duration, machine: &Machine) -> Option<Presence> {
    let commands = tracker.presence_changes(now, TIMEOUTS, machine);
    commands.first().map(|command| match command {
        Command::SetPresence(set) => set.presence,
        other => panic!("{other:?}"),
    })
}

/// Guards against fencing a router that a partition of five minutes cuts off from the ledger but
/// not from the sidecars. If it were declared gone after ten seconds, the sidecars would refuse it
/// although it has tokens in its grants and may serve without the ledger for ten minutes, also
/// after the partition heals, since an incarnation that is gone never comes back.
#[test]
fn a_partitioned_router_is_not_fenced_while_it_may_serve() {
    let mut machine = Machine::default();
    let mut tracker = HeartbeatTracker::default();
    let joining = tracker.record(Duration::ZERO, &heartbeat(1), &machine);
    apply(&mut machine, joining);
    let cut = Duration::from_mins(5);
    assert_eq!(
        next_presence(&tracker, cut, &machine),
        Some(Presence::Silent)
    );
    let set_silent = SetPresence {
        id: "router-0".into(),
        incarnation: 1,
        presence: Presence::Silent,
    };
    apply(
        &mut machine,
        HeartbeatAction::Propose(Command::SetPresence(set_silent)),
    );
    assert!(machine.state.fenced().is_empty());
    assert_eq!(next_presence(&tracker, cut, &machine), None);
    let healed = tracker.record(cut, &heartbeat(1), &machine);
    apply(&mut machine, healed);
    assert_eq!(machine.state.members()["router-0"].presence, Presence::Live);
    let later = cut + TIMEOUTS.gone;
    assert_eq!(
        next_presence(&tracker, later, &machine),
        Some(Presence::Gone)
    );
}
