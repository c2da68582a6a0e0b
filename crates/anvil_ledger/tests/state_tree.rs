//! The settings tree, members and claims in the ledger's state.

#[path = "common/fixture.rs"]
mod fixture;

use anvil_ledger::state::ChangedItem;
use anvil_world::command::{Claim, ClaimState, Denial, Edit, SetPresence, SettleClaim};
use anvil_world::document::key_hash;
use anvil_world::prelude::*;
use fixture::{Fixture, at, team};

fn path(text: &str) -> TreePath {
    TreePath::try_from(text).expect("a path")
}

/// Guards against a lost update: two operators read the same revision of a team and both change it.
/// One wins; the other learns who changed it and how, and its own text changes nothing.
#[test]
fn of_two_changes_under_one_revision_one_wins() {
    let mut f = Fixture::with_team();
    let revision = f.state.tree()[&path("teams/counter")].revision;
    let first = f.change("a", "teams/counter", revision, &team("", "mombasa = 1"));
    let mut second = f.change("b", "teams/counter", revision, &team("", "nairobi = 1"));
    second.operator = "ion".into();
    f.apply(&Command::Change(first.clone()));
    let answer = f.apply(&Command::Change(second));
    let Answer::Denied(Denial::Conflict { operator, text, .. }) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(&*operator, "wanjiru");
    assert_eq!(Edit::Put(text), first.edit);
}

/// Guards against a resent change that reverts a newer one: its first answer is repeated, and the
/// newer text stays.
#[test]
fn a_resent_change_gets_its_first_answer_and_reverts_nothing() {
    let mut f = Fixture::with_team();
    let revision = f.state.tree()[&path("teams/counter")].revision;
    let change = f.change("a", "teams/counter", revision, &team("", "mombasa = 1"));
    let first = f.apply(&Command::Change(change.clone()));
    let Answer::Changed(first) = first else {
        panic!("{first:?}");
    };
    f.put("teams/counter", &team("", "nairobi = 1"));
    let again = f.apply(&Command::Change(change));
    let Answer::Changed(again) = again else {
        panic!("{again:?}");
    };
    assert_eq!((again.revision, again.resent), (first.revision, true));
    let text = &f.state.tree()[&path("teams/counter")].text;
    assert!(text.contains("nairobi = 1"));
}

#[test]
fn another_teams_document_stays_byte_for_byte() {
    let mut f = Fixture::with_team();
    f.put("teams/phone", &team("", "  nairobi   =  1 # kept as typed"));
    let before = f.state.tree()[&path("teams/phone")].clone();
    f.put("teams/counter", &team("", "mombasa = 70\nnairobi = 30"));
    assert_eq!(f.state.tree()[&path("teams/phone")], before);
}

#[test]
fn a_document_references_only_existing_documents() {
    let mut f = Fixture::with_team();
    let change = f.change("a", "teams/new", 0, &team("", "nowhere = 1"));
    let answer = f.apply(&Command::Change(change));
    assert!(matches!(answer, Answer::Denied(Denial::Reference { .. })));
    let mut change = f.change("b", "organisations/paper", 0, "");
    change.expected = f.state.tree()[&path("organisations/paper")].revision;
    change.edit = Edit::Remove;
    let answer = f.apply(&Command::Change(change));
    assert!(matches!(answer, Answer::Denied(Denial::Reference { .. })));
}

/// Guards against one bearer key for two teams: a router could not tell whose request it is, and
/// one team would be charged for the other.
#[test]
fn two_teams_never_share_a_key() {
    let mut f = Fixture::with_team();
    let key = format!("\"{}\"", key_hash(b"secret"));
    f.put("teams/counter", &team(&key, "mombasa = 1"));
    let change = f.change("a", "teams/phone", 0, &team(&key, "nairobi = 1"));
    let answer = f.apply(&Command::Change(change));
    assert!(matches!(answer, Answer::Denied(Denial::Reference { .. })));
    f.put("teams/counter", &team("", "mombasa = 1"));
    f.put("teams/phone", &team(&key, "nairobi = 1"));
}

#[test]
fn an_invalid_document_is_denied_with_line_and_allowed_keys() {
    let mut f = Fixture::with_team();
    let change = f.change("a", "fleet", 0, "max_body = 4096\nqueue_timout = \"3s\"\n");
    let answer = f.apply(&Command::Change(change));
    let Answer::Denied(Denial::Settings { message }) = answer else {
        panic!("{answer:?}");
    };
    assert!(message.starts_with("fleet:2: "), "{message}");
    assert!(message.contains("queue_timeout"), "{message}");
}

#[test]
fn followers_receive_only_what_changed() {
    let mut f = Fixture::with_team();
    let version = f.state.version();
    f.join("s1", 1, Role::Sidecar);
    f.put("fleet", "");
    let touched = f.state.changed_since(version).expect("recent");
    let expected = [
        ChangedItem::Document(TreePath::Fleet),
        ChangedItem::Member("s1".into()),
    ];
    assert_eq!(touched, expected.into());
    assert!(
        f.state
            .changed_since(f.state.version())
            .expect("recent")
            .is_empty()
    );
}

/// Guards against a router that was declared gone while frozen and then joins again: its grants may
/// be closed, so it has to come back as a new incarnation.
#[test]
fn a_gone_incarnation_never_rejoins() {
    let mut f = Fixture::default();
    f.join("r1", 1, Role::Router);
    let gone = SetPresence {
        id: "r1".into(),
        incarnation: 1,
        presence: Presence::Gone,
    };
    f.apply(&Command::SetPresence(gone));
    assert_eq!(f.state.fenced().get("r1"), Some(&1));
    let again = f.join("r1", 1, Role::Router);
    assert_eq!(again, Answer::Denied(Denial::OldIncarnation));
    assert_eq!(f.join("r1", 2, Role::Router), Answer::Done);
}

fn claim(sidecar: &str, second: u64) -> Claim {
    Claim {
        id: sidecar.into(),
        key: RequestKey {
            team: "counter".into(),
            id: "order-1".into(),
        },
        body: [7; 32],
        sidecar: sidecar.into(),
        incarnation: 1,
        at: at(second),
    }
}

/// Guards against an order that runs twice when a retry makes two routers claim it for different
/// sidecars: both are given the same sidecar.
#[test]
fn the_first_claim_wins() {
    let mut f = Fixture::default();
    f.apply(&Command::Claim(claim("s1", 1)));
    let answer = f.apply(&Command::Claim(claim("s2", 2)));
    let Answer::Claimed(record) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!((&*record.claim.sidecar, record.fresh), ("s1", false));
}

/// Guards against a late "not run" from an earlier attempt that releases the key of a completed
/// order, so that a retry places it a second time.
#[test]
fn a_late_not_run_releases_no_completed_claim() {
    let mut f = Fixture::default();
    f.apply(&Command::Claim(claim("s1", 1)));
    let key = claim("s1", 1).key;
    let settle = |outcome| {
        Command::SettleClaim(SettleClaim {
            id: "s1".into(),
            key: key.clone(),
            outcome,
        })
    };
    f.apply(&settle(Outcome::Completed(Usage::default())));
    f.apply(&settle(Outcome::NotRun(Refusal::new(Reason::Cancelled))));
    let record = f.state.claim(&key).expect("kept");
    assert_eq!(
        record.state,
        ClaimState::Settled(Outcome::Completed(Usage::default()))
    );
}

/// Guards against a resent "not run" that releases a later claim. A claim is released ("not run"),
/// a retry claims the key anew and runs; if the first "not run" came again and released that claim,
/// the next retry would place the order twice.
#[test]
fn a_late_not_run_releases_no_later_claim() {
    let mut f = Fixture::default();
    f.apply(&Command::Claim(claim("s1", 1)));
    let late = Command::SettleClaim(SettleClaim {
        id: "s1".into(),
        key: claim("s1", 1).key,
        outcome: Outcome::NotRun(Refusal::new(Reason::Leaving)),
    });
    f.apply(&late);
    f.apply(&Command::Claim(claim("s2", 2)));
    f.apply(&late);
    let record = f.state.claim(&claim("s2", 2).key).expect("kept");
    assert_eq!(&*record.claim.sidecar, "s2");
}

/// Guards against an order that nobody runs: the answer to a claim is lost, and the router that
/// resends the claim has to learn that it is its own.
#[test]
fn a_resent_claim_is_still_fresh() {
    let mut f = Fixture::default();
    f.apply(&Command::Claim(claim("s1", 1)));
    let Answer::Claimed(record) = f.apply(&Command::Claim(claim("s1", 1))) else {
        panic!("not a claim's answer");
    };
    assert!(record.fresh);
}

#[test]
fn a_claim_expires_after_keep_claims() {
    let mut f = Fixture::default();
    f.put("fleet", "keep_claims = \"1h\"");
    f.apply(&Command::Claim(claim("s1", 0)));
    let mut other = claim("s2", 3_601);
    other.key.id = "order-2".into();
    f.apply(&Command::Claim(other));
    assert_eq!(f.state.claim(&claim("s1", 0).key), None);
}
