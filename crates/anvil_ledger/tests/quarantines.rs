//! Operators' orders that lift quarantines, as the ledger applies them.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::core::{Entry, EntryId, Payload};
use anvil_ledger::crashed_endpoints::CrashedEndpoints;
use anvil_ledger::limits::Limits;
use anvil_ledger::lost_incarnations::LostIncarnations;
use anvil_ledger::machine::{Machine, encode};
use anvil_ledger::state::{ChangedItem, State};
use anvil_ledger::suspects::Suspects;
use anvil_world::command::{
    ClearSuspects, Denial, LiftQuarantine, QuarantineTarget, ReportCrash, change_id,
};
use anvil_world::content::{ContentScope, SharedContent, of_endpoint};
use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;
use bincode::config::standard;

/// The digest of a whole request.
const REQUEST: ContentDigest = 7 << 120;

fn at(second: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000 + second)
}

fn path_at(service: &str) -> ContentDigest {
    ContentScope::new(service, "v1").digest(SharedContent::Path(1))
}

fn lift_all(id: &str, target: QuarantineTarget, contents: Vec<ContentDigest>) -> Command {
    Command::LiftQuarantine(LiftQuarantine {
        id: change_id(at(0), id),
        operator: "wanjiru".into(),
        target,
        contents,
        reason: "the engines are repaired".into(),
        at: at(20),
    })
}

fn lift_content(id: &str, content: ContentDigest) -> Command {
    lift_all(id, QuarantineTarget::Content(content), vec![content])
}

/// A ledger to which commands are applied one after the other.
#[derive(Default)]
struct Ledger {
    machine: Machine,
    applied: LogIndex,
}

impl Ledger {
    fn apply(&mut self, command: &Command) -> Answer {
        self.applied += 1;
        let entry = Entry {
            id: EntryId {
                term: 1,
                index: self.applied,
            },
            payload: Payload::Data(encode(command).expect("bytes")),
        };
        self.machine.apply(&entry).expect("applied")
    }

    /// Reports that these endpoints crashed, one each four seconds, under these contents.
    fn crash(&mut self, endpoints: &[&str], contents: &[ContentDigest], second: u64) {
        for (number, endpoint) in (0..).zip(endpoints) {
            let run = CrashedRun::BeforeOutput;
            self.apply(&Command::ReportCrash(ReportCrash {
                endpoint: (*endpoint).into(),
                contents: contents.iter().map(|content| (*content, run)).collect(),
                at: at(second + 4 * number),
            }));
        }
    }

    /// An order for a service as the leader appends it.
    fn lift_service(&self, id: &str, service: &str) -> Command {
        let target = QuarantineTarget::Service(service.into());
        let contents = self.machine.contents_of(&target);
        lift_all(id, target, contents)
    }

    fn is_quarantined(&self, content: ContentDigest, second: u64) -> bool {
        let suspect = self.machine.suspects.get(content);
        suspect.is_some_and(|suspect| !suspect.quarantine_remaining(at(second)).is_zero())
    }
}

fn receipt(answer: &Answer) -> (Revision, bool) {
    let Answer::Changed(receipt) = answer else {
        panic!("no receipt: {answer:?}");
    };
    (receipt.revision, receipt.resent)
}

/// Guards against an order that leaves crashes behind, so that a single further one quarantines the
/// content again, and against one that lifts no quarantine at routers.
#[test]
fn lifted_content_is_blamed_from_zero() {
    let mut ledger = Ledger::default();
    ledger.crash(&["a", "b", "c", "d"], &[REQUEST], 0);
    assert!(ledger.is_quarantined(REQUEST, 20));
    let answer = ledger.apply(&lift_content("one", REQUEST));
    assert_eq!(receipt(&answer), (ledger.applied, false));
    assert_eq!(ledger.machine.suspects.get(REQUEST), None);
    let changed = ledger.machine.state.changed_since(ledger.applied - 1);
    assert_eq!(
        changed,
        Some(BTreeSet::from([ChangedItem::Suspect(REQUEST)]))
    );
    ledger.crash(&["e", "f"], &[REQUEST], 21);
    assert!(!ledger.is_quarantined(REQUEST, 30));
    ledger.crash(&["g"], &[REQUEST], 31);
    assert!(ledger.is_quarantined(REQUEST, 32));
}

/// Guards against an order whose answer was lost, and which is sent again after the content was blamed
/// anew: it must not be applied twice.
#[test]
fn order_sent_again_is_acknowledged_and_not_applied() {
    let mut ledger = Ledger::default();
    ledger.crash(&["a", "b", "c"], &[REQUEST], 0);
    let order = lift_content("one", REQUEST);
    let (revision, _) = receipt(&ledger.apply(&order));
    ledger.crash(&["d", "e", "f"], &[REQUEST], 21);
    assert_eq!(receipt(&ledger.apply(&order)), (revision, true));
    assert!(ledger.is_quarantined(REQUEST, 40));
    assert_eq!(ledger.machine.state.audit(9, |_| true).len(), 1);
    let other = lift_content("one", REQUEST + 1);
    let answer = ledger.apply(&other);
    assert!(matches!(
        answer,
        Answer::Denied(Denial::ChangeIdReused { .. })
    ));
}

/// Guards against an order that is not recorded, or not told who gave it and why, and against a mistyped
/// digest that is acknowledged.
#[test]
fn audit_trail_names_operator_reason_and_contents() {
    let mut ledger = Ledger::default();
    ledger.crash(&["a", "b", "c"], &[REQUEST], 0);
    let answer = ledger.apply(&lift_content("one", REQUEST + 1));
    assert!(
        matches!(answer, Answer::Denied(Denial::Unknown { .. })),
        "{answer:?}"
    );
    assert!(ledger.is_quarantined(REQUEST, 20));
    ledger.apply(&lift_content("two", REQUEST));
    let audit = ledger.machine.state.audit(9, |_| true);
    let [line] = audit.as_slice() else {
        panic!("{audit:?}");
    };
    let digest = format!("{REQUEST:032x}");
    assert_eq!(*line.subject, format!("quarantines/contents/{digest}"));
    assert_eq!((&*line.operator, line.at), ("wanjiru", at(20)));
    let before = line.before.as_deref();
    assert_eq!(before, Some(&*format!("1 contents: {digest}")));
    let after = line.after.as_deref();
    assert_eq!(after, Some("lifted: the engines are repaired"));
}

/// Guards against an order that has more requests refused than before: what was in flight at the same
/// crashes as the lifted content would be blamed for them alone.
#[test]
fn crashes_of_a_lifted_content_count_for_no_other_content() {
    let mut ledger = Ledger::default();
    let (same, partly, other) = (REQUEST + 1, REQUEST + 2, REQUEST + 3);
    ledger.crash(&["a", "b", "c"], &[REQUEST, same], 0);
    ledger.crash(&["c"], &[partly], 8);
    ledger.crash(&["d", "e"], &[partly, other], 12);
    ledger.crash(&["f"], &[other], 20);
    for content in [REQUEST, same, partly, other] {
        assert!(ledger.is_quarantined(content, 21));
    }
    ledger.apply(&lift_content("one", REQUEST));
    assert!(!ledger.is_quarantined(same, 21) && !ledger.is_quarantined(partly, 21));
    assert!(ledger.is_quarantined(other, 21));
    // The two crashes that it shared with no lifted content still count.
    ledger.crash(&["g"], &[partly], 24);
    assert!(ledger.is_quarantined(partly, 25));
}

/// Guards against an order for a service that lifts quarantines of another one, or leaves whole requests
/// of the service in quarantine, whose digests don't name it.
#[test]
fn order_for_a_service_lifts_all_of_it_and_nothing_else() {
    let mut ledger = Ledger::default();
    let (desk, shop) = (path_at("desk"), path_at("shop"));
    ledger.crash(&["a", "b", "c"], &[REQUEST, desk], 0);
    ledger.crash(&["d", "e", "f"], &[REQUEST + 1, shop], 0);
    let contents = vec![of_endpoint("desk", "c"), of_endpoint("shop", "d")];
    ledger.apply(&Command::ClearSuspects(ClearSuspects { contents }));
    let order = ledger.lift_service("one", "desk");
    receipt(&ledger.apply(&order));
    assert!(!ledger.is_quarantined(REQUEST, 20) && !ledger.is_quarantined(desk, 20));
    assert!(ledger.is_quarantined(REQUEST + 1, 20) && ledger.is_quarantined(shop, 20));
    let subject = "quarantines/services/desk";
    let audit = ledger
        .machine
        .state
        .audit(9, |line| *line.subject == *subject);
    assert_eq!(audit.len(), 1);
}

/// Guards against a request that stays in quarantine although its service's quarantines were lifted,
/// because sound requests have cleared all that it shares with them.
#[test]
fn order_for_a_service_finds_requests_whose_shared_contents_were_cleared() {
    let mut ledger = Ledger::default();
    let desk = path_at("desk");
    ledger.crash(&["a", "b", "c"], &[REQUEST, desk], 0);
    let named = ["a", "b", "c"].map(|endpoint| of_endpoint("desk", endpoint));
    let contents = named.into_iter().chain([desk]).collect();
    ledger.apply(&Command::ClearSuspects(ClearSuspects { contents }));
    let saved = ledger.machine.save().expect("bytes");
    ledger.machine = Machine::restore(&saved).expect("a machine");
    let order = ledger.lift_service("one", "shop");
    let answer = ledger.apply(&order);
    assert!(
        matches!(answer, Answer::Denied(Denial::Unknown { .. })),
        "{answer:?}"
    );
    let order = ledger.lift_service("two", "desk");
    receipt(&ledger.apply(&order));
    assert!(!ledger.is_quarantined(REQUEST, 20));
}

/// Guards against replicas that differ after an order, because one of them ran the previous build when the
/// endpoints crashed and does not know their service.
#[test]
fn order_has_the_same_effect_at_a_replica_that_was_upgraded_later() {
    let mut ledger = Ledger::default();
    ledger.crash(&["a", "b", "c"], &[REQUEST, path_at("desk")], 0);
    let contents = vec![of_endpoint("desk", "a")];
    ledger.apply(&Command::ClearSuspects(ClearSuspects { contents }));
    let mut upgraded = Ledger {
        machine: Machine {
            crashed_endpoints: CrashedEndpoints::default(),
            ..ledger.machine.clone()
        },
        applied: ledger.applied,
    };
    let order = ledger.lift_service("one", "desk");
    assert_eq!(ledger.apply(&order), upgraded.apply(&order));
    assert_eq!(ledger.machine.suspects, upgraded.machine.suspects);
    assert_eq!(ledger.machine.state, upgraded.machine.state);
}

/// Guards against a replica that can't go back to the previous build after an order, or that can't start
/// from a snapshot of it. The previous build reads four parts and ignores what follows.
#[test]
fn snapshot_is_read_by_the_previous_build_and_back() {
    let mut ledger = Ledger::default();
    ledger.crash(&["a", "b", "c"], &[REQUEST, path_at("desk")], 0);
    let order = lift_content("one", REQUEST);
    ledger.apply(&order);
    let saved = ledger.machine.save().expect("bytes");
    let decoded = bincode::serde::decode_from_slice(&saved, standard());
    let (previous, _): ((State, LostIncarnations, Suspects, Limits), _) = decoded.expect("parts");
    assert_eq!(
        (&previous.0, &previous.2),
        (&ledger.machine.state, &ledger.machine.suspects)
    );
    let bytes = bincode::serde::encode_to_vec(&previous, standard()).expect("bytes");
    let restored = Machine::restore(&bytes).expect("a machine");
    assert_eq!(
        (restored.state, restored.suspects),
        (previous.0, previous.2)
    );
}

/// Guards against an order that is lost with a snapshot or a restart: the quarantine would be in force
/// again, and the order could be applied a second time.
#[test]
fn order_survives_a_snapshot() {
    let mut ledger = Ledger::default();
    ledger.crash(&["a", "b", "c"], &[REQUEST], 0);
    let order = lift_content("one", REQUEST);
    ledger.apply(&order);
    let saved = ledger.machine.save().expect("bytes");
    let mut restored = Ledger {
        machine: Machine::restore(&saved).expect("a machine"),
        applied: ledger.applied,
    };
    assert_eq!(restored.machine, ledger.machine);
    assert!(!restored.is_quarantined(REQUEST, 20));
    assert!(receipt(&restored.apply(&order)).1);
}

/// Guards against an order that is appended before all replicas can apply it. bincode writes the
/// position of the kind first.
#[test]
fn order_requires_its_kind() {
    let order = lift_content("one", REQUEST);
    let bytes = encode(&order).expect("bytes");
    assert_eq!(order.required_kinds(), u32::from(bytes[0]) + 1);
    assert_eq!(Command::Noop.required_kinds(), 0);
}
