//! When the leader holds an instance to be lost.

use std::time::Duration;

use anvil_ledger::machine::Machine;
use anvil_wire::msg::Heartbeat;
use anvil_world::prelude::*;
use anvilreel::ledger_service::signs::{Greeting, Signs};

const LIMIT: Duration = Duration::from_secs(10);

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
            signs.silent(soon, LIMIT, &machine).is_empty(),
            "life {life}"
        );
        assert_eq!(signs.silent(now + LIMIT, LIMIT, &machine).len(), 1);
    }
}
