//! Operators' orders that set shares, as the ledger applies them.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::core::{Entry, EntryId, Payload};
use anvil_ledger::crashed_endpoints::CrashedEndpoints;
use anvil_ledger::limits::Limits;
use anvil_ledger::lost_incarnations::LostIncarnations;
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::state::State;
use anvil_ledger::suspects::Suspects;
use anvil_world::command::{Denial, SetShare, change_id};
use anvil_world::prelude::*;
use bincode::config::standard;

/// The parts of a snapshot that the previous build reads.
type PreviousSnapshot = (State, LostIncarnations, Suspects, Limits, CrashedEndpoints);

fn at() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}

fn factor(text: &str) -> ShareFactor {
    text.parse().expect("a factor")
}

fn target() -> ShareTarget {
    ShareTarget::Organisation("co-op".into())
}

fn order(id: &str, factor_text: &str) -> Command {
    Command::SetShare(SetShare {
        id: change_id(at(), id),
        operator: "wanjiru".into(),
        target: target(),
        factor: factor(factor_text),
        before: factor("0.5"),
        reason: "a sale".into(),
        at: at(),
    })
}

/// Applies commands as the entries that follow the last one applied.
fn apply(machine: &mut Machine, command: &Command) -> Answer {
    let entry = Entry {
        id: EntryId {
            term: 1,
            index: machine.state.applied() + 1,
        },
        payload: Payload::Data(encode(command).expect("bytes")),
    };
    machine.apply(&entry).expect("applied")
}

fn receipt(answer: &Answer) -> (Revision, bool) {
    let Answer::Changed(receipt) = answer else {
        panic!("no receipt: {answer:?}");
    };
    (receipt.revision, receipt.resent)
}

/// Guards against an order whose answer was lost, and which is sent again after another one: it
/// must not be applied twice.
#[test]
fn order_sent_again_is_acknowledged_and_not_applied() {
    let mut machine = Machine::default();
    let first = receipt(&apply(&mut machine, &order("one", "4")));
    assert_eq!(first, (1, false));
    apply(&mut machine, &order("two", "0.25"));
    let again = receipt(&apply(&mut machine, &order("one", "4")));
    assert_eq!(again, (1, true));
    assert_eq!(machine.shares.factor(&target()), factor("0.25"));
    let reused = apply(&mut machine, &order("one", "5"));
    assert!(matches!(
        reused,
        Answer::Denied(Denial::ChangeIdReused { .. })
    ));
}

/// Guards against shares that stay after their end, and take memory and space in every event.
#[test]
fn factor_of_one_ends_the_order() {
    let mut machine = Machine::default();
    apply(&mut machine, &order("one", "4"));
    apply(&mut machine, &order("two", "1"));
    assert_eq!(machine.shares, Shares::default());
}

/// Guards against an order that is not recorded, or not told who gave it and why.
#[test]
fn audit_trail_names_operator_reason_and_factors() {
    let mut machine = Machine::default();
    apply(&mut machine, &order("one", "4"));
    let audit = machine.state.audit(9, |_| true);
    let [line] = audit.as_slice() else {
        panic!("{audit:?}");
    };
    assert_eq!(*line.subject, *"shares/organisations/co-op");
    assert_eq!((&*line.operator, line.at), ("wanjiru", at()));
    assert_eq!(line.before.as_deref(), Some("factor 0.5"));
    assert_eq!(line.after.as_deref(), Some("factor 4: a sale"));
}

/// Guards against an order that followers are not sent, and against a snapshot that names a kind of
/// item unknown to the previous build.
#[test]
fn order_raises_the_version_and_records_no_item() {
    let mut machine = Machine::default();
    apply(&mut machine, &order("one", "4"));
    assert_eq!(machine.state.version(), 1);
    assert_eq!(machine.state.changed_since(0), Some(BTreeSet::new()));
}

/// Guards against shares that are lost with a snapshot, and against a snapshot that the previous
/// build can't read, or that can't be read after it wrote one.
#[test]
fn snapshot_keeps_shares_and_is_read_by_the_previous_build() {
    let mut machine = Machine::default();
    apply(&mut machine, &order("one", "4"));
    let saved = machine.save().expect("bytes");
    assert_eq!(Machine::restore(&saved).expect("a machine"), machine);
    let decoded = bincode::serde::decode_from_slice(&saved, standard());
    let (previous, _): (PreviousSnapshot, _) = decoded.expect("parts");
    assert_eq!(previous.0, machine.state);
    let bytes = bincode::serde::encode_to_vec(&previous, standard()).expect("bytes");
    let restored = Machine::restore(&bytes).expect("a machine");
    assert_eq!(restored.state, machine.state);
    assert_eq!(restored.shares, Shares::default());
}

/// Guards against replicas that differ in receipts or audit trail, because one of them ran the
/// previous build meanwhile and lost the shares.
#[test]
fn order_has_the_same_effect_at_a_replica_without_the_shares() {
    let mut machine = Machine::default();
    apply(&mut machine, &order("one", "4"));
    let mut upgraded = Machine {
        shares: Shares::default(),
        ..machine.clone()
    };
    for next in [order("two", "2"), order("one", "4"), order("three", "1")] {
        assert_eq!(apply(&mut machine, &next), apply(&mut upgraded, &next));
    }
    assert_eq!(machine, upgraded);
}

/// Guards against an order that is appended before all replicas can apply it. bincode writes the
/// position of the kind first.
#[test]
fn order_requires_its_kind() {
    let order = order("one", "4");
    let bytes = encode(&order).expect("bytes");
    assert_eq!(order.required_kinds(), u32::from(bytes[0]) + 1);
}
