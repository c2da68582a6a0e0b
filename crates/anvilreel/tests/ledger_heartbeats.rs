//! When the leader holds an instance to be lost.

use std::time::Duration;

use anvil_ledger::machine::Machine;
use anvil_wire::msg::Heartbeat;
use anvil_world::command::SetPresence;
use anvil_world::prelude::*;
use anvilreel::ledger_service::heartbeats::{Greeting, Patience, Signs};

const LIMIT: Duration = Duration::from_secs(10);
const PATIENCE: Patience = Patience {
    silent: LIMIT,
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

fn apply(machine: &mut Machine, greeting: Greeting) {
    let Greeting::Propose(command) = greeting else {
        panic!("{greeting:?}");
    };
    let index = machine.state.applied() + 1;
    machine.state.apply(index, 1, &command);
}

/// An operator starts routers half a minute after the ledger. Each one joins, is declared gone
/// a moment later, is fenced and refuses every caller for as long as it lives: its first sign of
/// life was answered with a join and not noted, so it looked silent since the election.
#[test]
fn an_instance_that_joins_late_is_not_declared_gone() {
    let mut machine = Machine::default();
    let mut signs = Signs::elected(Duration::ZERO);
    for (at, life) in [(35, 1), (70, 2)] {
        let now = Duration::from_secs(at);
        let greeting = signs.hear(now, &heartbeat(life), &machine);
        apply(&mut machine, greeting);
        let soon = now + Duration::from_millis(100);
        assert!(
            signs.silent(soon, PATIENCE, &machine).is_empty(),
            "life {life}"
        );
        assert_eq!(signs.silent(now + LIMIT, PATIENCE, &machine).len(), 1);
    }
}

fn judged(signs: &Signs, now: Duration, machine: &Machine) -> Option<Presence> {
    let commands = signs.silent(now, PATIENCE, machine);
    commands.first().map(|command| match command {
        Command::SetPresence(set) => set.presence,
        other => panic!("{other:?}"),
    })
}

/// A partition of five minutes cuts a router off from the ledger, not from the sidecars.
/// Declared gone after ten seconds it was fenced, so the sidecars refused it although it had
/// money in its grants and might serve out of touch for ten minutes; and it stayed refused after
/// the partition healed, for a life that is gone never comes back.
#[test]
fn a_router_behind_a_partition_keeps_its_life_as_long_as_it_may_serve() {
    let mut machine = Machine::default();
    let mut signs = Signs::default();
    let joining = signs.hear(Duration::ZERO, &heartbeat(1), &machine);
    apply(&mut machine, joining);
    let cut = Duration::from_mins(5);
    assert_eq!(judged(&signs, cut, &machine), Some(Presence::Silent));
    let silent = SetPresence {
        id: "router-0".into(),
        incarnation: 1,
        presence: Presence::Silent,
    };
    apply(
        &mut machine,
        Greeting::Propose(Command::SetPresence(silent)),
    );
    assert!(machine.state.fenced().is_empty());
    assert_eq!(judged(&signs, cut, &machine), None);
    let healed = signs.hear(cut, &heartbeat(1), &machine);
    apply(&mut machine, healed);
    assert_eq!(machine.state.members()["router-0"].presence, Presence::Live);
    let later = cut + PATIENCE.gone;
    assert_eq!(judged(&signs, later, &machine), Some(Presence::Gone));
}
