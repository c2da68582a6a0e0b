//! The routing table by highest version, and budgets that follow it.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use anvil_ledger::state::State;
use anvil_world::command::{
    Change, Denial, Edit, GrantBatch, GrantReport, GrantRequest, ReplaceRouting, change_id,
};
use anvil_world::prelude::*;

struct Ledger {
    state: State,
    index: LogIndex,
    seq: BatchSeq,
}

impl Ledger {
    fn new() -> Self {
        Self {
            state: State::default(),
            index: 0,
            seq: 0,
        }
    }

    fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        let answer = self.state.apply(self.index, 1, command);
        assert_eq!(self.state.invariants_held(), Ok(()));
        answer
    }

    fn replace(&mut self, version: RoutingVersion, text: &str, credited: Tokens) -> Answer {
        self.apply(&Command::ReplaceRouting(ReplaceRouting {
            operator: "op".into(),
            version,
            text: text.into(),
            credits: BTreeMap::from([("co-op".into(), credited)]),
            at: UNIX_EPOCH,
        }))
    }

    fn batch(&mut self, reports: Vec<GrantReport>, wanted: Tokens) -> Vec<Grant> {
        self.seq += 1;
        let grant_request = GrantRequest {
            budget: "co-op".into(),
            wanted,
            least: wanted,
        };
        let batch = GrantBatch {
            router: "router".into(),
            incarnation: 1,
            seq: self.seq,
            reports,
            asks: if wanted > 0 {
                vec![grant_request]
            } else {
                Vec::new()
            },
        };
        match self.apply(&Command::GrantBatch(batch)) {
            Answer::Grants(answer) => answer.opened,
            other => panic!("{other:?}"),
        }
    }

    fn text(&self) -> Option<&str> {
        let entry = self.state.tree().get(&TreePath::Routing);
        entry.map(|entry| &*entry.text)
    }

    fn budget(&self) -> &Budget {
        self.state.budget("co-op").expect("a budget")
    }
}

/// Guards against a table in force that is reverted by another operator's table, by an older one
/// that arrives late, or by one that is resent because its answer was lost. All are acknowledged.
#[test]
fn an_older_or_resent_table_never_replaces_a_newer_one() {
    let mut ledger = Ledger::new();
    assert_eq!(ledger.replace(7, "seven", 0), Answer::Routing(7));
    let version = ledger.state.version();
    assert_eq!(ledger.replace(5, "five", 0), Answer::Routing(7));
    assert_eq!(ledger.replace(7, "seven", 0), Answer::Routing(7));
    assert_eq!(ledger.text(), Some("seven"));
    // A table that changes nothing is not sent to followers.
    assert_eq!(ledger.state.version(), version);
    assert_eq!(ledger.replace(9, "nine", 0), Answer::Routing(9));
    assert_eq!(ledger.text(), Some("nine"));
    assert!(ledger.state.version() > version);
}

/// Guards against another table under the version in force, sent by mistake or by another operator.
#[test]
fn other_content_under_the_same_version_changes_nothing() {
    let mut ledger = Ledger::new();
    ledger.replace(7, "seven", 100);
    assert_eq!(ledger.replace(7, "another", 5_000), Answer::Routing(7));
    assert_eq!(ledger.text(), Some("seven"));
    assert_eq!(ledger.budget().credited, 100);
}

/// Guards against a change of the table by revision, which could replace an accepted table by an
/// older one.
#[test]
fn the_table_can_not_be_changed_by_revision() {
    let mut ledger = Ledger::new();
    ledger.replace(7, "seven", 0);
    let revision = ledger.state.tree()[&TreePath::Routing].revision;
    let answer = ledger.apply(&Command::Change(Change {
        id: change_id(UNIX_EPOCH, "x"),
        operator: "op".into(),
        path: TreePath::Routing,
        expected: revision,
        edit: Edit::Put("other".into()),
        at: UNIX_EPOCH,
    }));
    assert!(matches!(answer, Answer::Denied(Denial::Settings { .. })));
    assert_eq!(ledger.text(), Some("seven"));
}

/// Guards against a raised budget whose new tokens can't be granted, and against raising it twice
/// by the same table.
#[test]
fn a_raised_budget_has_the_credit_in_the_table() {
    let mut ledger = Ledger::new();
    ledger.replace(1, "one", 100);
    assert_eq!(ledger.batch(Vec::new(), 80).len(), 1);
    assert!(ledger.batch(Vec::new(), 80).is_empty());
    ledger.replace(2, "two", 200);
    ledger.replace(2, "two", 200);
    assert_eq!(ledger.budget().left(), 120);
    assert_eq!(ledger.batch(Vec::new(), 80).len(), 1);
}

/// Guards against a budget that is lowered below what a router holds and has spent: nothing more is
/// granted, open grants are recalled, and as they are closed the credit falls to its new amount,
/// but not below what was used.
#[test]
fn a_lowered_budget_falls_as_its_grants_are_closed() {
    let mut ledger = Ledger::new();
    ledger.replace(1, "one", 1_000);
    let grants = ledger.batch(Vec::new(), 600);
    ledger.replace(2, "two", 300);
    assert!(ledger.batch(Vec::new(), 1).is_empty());
    assert_eq!(
        ledger.budget().open[&grants[0].id].state,
        GrantState::Recalled
    );
    let report = GrantReport {
        grant: grants[0].id,
        settled: 200,
        returned: 0,
        close: true,
    };
    ledger.batch(vec![report], 0);
    assert_eq!(ledger.budget().credited, 300);
    assert_eq!(ledger.budget().left(), 100);
}
