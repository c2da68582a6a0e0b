//! Budgets and grants in the ledger's state.

#[path = "common/fixture.rs"]
mod fixture;

use anvil_world::command::{Denial, TopUp, WriteOff, change_id};
use anvil_world::prelude::*;
use fixture::{Fixture, asking, at, batch, reporting};

#[test]
fn a_grant_reduces_what_is_left() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let answer = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    assert_eq!(answer.opened[0].amount, 100);
    let budget = f.state.budget("nairobi").expect("declared");
    assert_eq!(budget.left(), 900);
    Ok(())
}

#[test]
fn a_grant_is_at_most_a_quarter_of_the_rest_unless_more_is_needed() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let large_ask = f.grants(asking(batch("r1", 1, 1), "nairobi", 5_000, 10))?;
    assert_eq!(large_ask.opened[0].amount, 250);
    let large_minimum = f.grants(asking(batch("r2", 1, 1), "nairobi", 5_000, 700))?;
    assert_eq!(large_minimum.opened[0].amount, 700);
    Ok(())
}

/// Guards against a resent batch that opens further grants: nobody would spend them, and callers
/// would be refused although tokens are left.
#[test]
fn a_resent_batch_opens_one_grant() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let sent = asking(batch("r1", 1, 1), "nairobi", 100, 10);
    let first = f.grants(sent.clone())?;
    assert_eq!(f.grants(sent.clone())?, first);
    assert_eq!(f.grants(sent)?, first);
    assert_eq!(f.state.budget("nairobi").expect("declared").open.len(), 1);
    Ok(())
}

/// Guards against a report that arrives late and lowers a charge: an older report of 40 tokens
/// after one of 70 would return 30 spent tokens to the budget.
#[test]
fn a_late_report_never_lowers_the_charge() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let opened = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    let grant = opened.opened[0].id;
    f.grants(reporting(batch("r1", 1, 2), grant, 70, false))?;
    f.grants(reporting(batch("r1", 1, 3), grant, 40, false))?;
    assert_eq!(f.state.budget("nairobi").expect("declared").billed, 70);
    Ok(())
}

#[test]
fn a_report_above_the_grant_denies_the_whole_batch() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let opened = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    let grant = opened.opened[0].id;
    let over = asking(
        reporting(batch("r1", 1, 2), grant, 101, false),
        "mombasa",
        10,
        1,
    );
    let denied = f.grants(over);
    assert!(matches!(denied, Err(Denial::Contract { .. })));
    assert_eq!(f.state.budget("mombasa").expect("declared").left(), 1_000);
    Ok(())
}

/// Guards against callers that are refused although tokens are left: the last tokens of a budget
/// lie in the grant of an idle router. Another router asks and is refused, the grant is recalled
/// and closed, and the next request succeeds.
#[test]
fn unspent_grants_are_recalled_near_the_end_of_a_budget() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let idle = f.grants(asking(batch("idle", 1, 1), "nairobi", 1_000, 1_000))?;
    let grant = idle.opened[0].id;
    let refused = f.grants(asking(batch("busy", 1, 1), "nairobi", 100, 50))?;
    assert_eq!(refused.refused[0].outstanding, 1_000);
    let recall_answer = f.grants(batch("idle", 1, 2))?;
    assert_eq!(recall_answer.recalled, [grant]);
    let final_report = f.grants(reporting(batch("idle", 1, 3), grant, 20, true))?;
    assert_eq!(final_report.closed, [grant]);
    let granted = f.grants(asking(batch("busy", 1, 2), "nairobi", 100, 50))?;
    assert_eq!(granted.opened[0].amount, 100);
    Ok(())
}

/// Guards against a router that is frozen with a batch ready, declared lost and replaced, and then
/// sends the batch: it would open a grant that nobody closes.
#[test]
fn a_fenced_router_gets_no_grant() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    f.join("r1", 1, Role::Router);
    f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    f.join("r1", 2, Role::Router);
    let late = f.grants(asking(batch("r1", 1, 2), "nairobi", 100, 10));
    assert_eq!(late, Err(Denial::Fenced));
    let grants: Vec<_> = f.state.fenced_grants().collect();
    assert_eq!(grants.len(), 1);
    Ok(())
}

#[test]
fn a_fenced_grant_closes_at_the_higher_of_evidence_and_report() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let opened = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    let grant = opened.opened[0].id;
    f.grants(reporting(batch("r1", 1, 2), grant, 40, false))?;
    let close = Command::CloseGrant { grant, charged: 30 };
    let early = f.apply(&close);
    assert_eq!(early, Answer::Denied(Denial::NotFenced { grant }));
    f.join("r1", 2, Role::Router);
    assert_eq!(f.apply(&close), Answer::Closed(960));
    assert_eq!(f.state.budget("nairobi").expect("declared").billed, 40);
    Ok(())
}

/// Guards against a resent top-up that credits twice, and against an id that is reused with another
/// amount.
#[test]
fn a_top_up_credits_once() {
    let mut f = Fixture::with_team();
    let mut top_up = TopUp {
        id: change_id(at(0), "t"),
        operator: "wanjiru".into(),
        budget: "nairobi".into(),
        amount: 500,
        at: at(1),
    };
    f.apply(&Command::TopUp(top_up.clone()));
    let again = f.apply(&Command::TopUp(top_up.clone()));
    assert!(matches!(again, Answer::Changed(receipt) if receipt.resent));
    assert_eq!(f.state.budget("nairobi").expect("declared").credited, 1_500);
    top_up.amount = 600;
    let misused = f.apply(&Command::TopUp(top_up));
    assert!(matches!(
        misused,
        Answer::Denied(Denial::ChangeIdReused { .. })
    ));
}

/// Guards against a second credit when a top-up is resent after its receipt has expired: the id
/// contains its age, so it is refused.
#[test]
fn a_top_up_older_than_any_receipt_is_refused() {
    let mut f = Fixture::with_team();
    let month = 30 * 86_400;
    let top_up = TopUp {
        id: change_id(at(0), "t"),
        operator: "wanjiru".into(),
        budget: "nairobi".into(),
        amount: 500,
        at: at(1),
    };
    f.apply(&Command::TopUp(top_up.clone()));
    let late = TopUp {
        at: at(month),
        ..top_up
    };
    let answer = f.apply(&Command::TopUp(late));
    assert!(matches!(answer, Answer::Denied(Denial::BadChangeId { .. })));
    assert_eq!(f.state.budget("nairobi").expect("declared").credited, 1_500);
}

#[test]
fn a_write_off_needs_a_fenced_grant_and_is_audited() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    f.join("r1", 1, Role::Router);
    let opened = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    let write_off = WriteOff {
        id: change_id(at(0), "w"),
        operator: "ion".into(),
        grant: opened.opened[0].id,
        bill: 25,
        at: at(2),
    };
    let early = f.apply(&Command::WriteOff(write_off.clone()));
    assert!(matches!(early, Answer::Denied(Denial::NotFenced { .. })));
    f.join("r1", 2, Role::Router);
    f.apply(&Command::WriteOff(write_off));
    assert_eq!(f.state.budget("nairobi").expect("declared").billed, 25);
    let lines = f.state.audit(10, |line| &*line.operator == "ion");
    assert_eq!(lines[0].after.as_deref(), Some("billed = 25"));
    Ok(())
}
