//! Budgets and grants in the ledger's state.

#[path = "common/fixture.rs"]
mod fixture;

use anvil_world::command::{Denial, TopUp, WriteOff, change_id};
use anvil_world::prelude::*;
use fixture::{Fixture, asking, at, batch, reporting};

#[test]
fn a_grant_is_taken_out_of_what_is_left() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let answer = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    assert_eq!(answer.opened[0].amount, 100);
    let budget = f.state.budget("nairobi").expect("declared");
    assert_eq!(budget.left(), 900);
    Ok(())
}

#[test]
fn one_ask_takes_a_quarter_of_the_rest_unless_it_needs_more() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let greedy = f.grants(asking(batch("r1", 1, 1), "nairobi", 5_000, 10))?;
    assert_eq!(greedy.opened[0].amount, 250);
    let needy = f.grants(asking(batch("r2", 1, 1), "nairobi", 5_000, 700))?;
    assert_eq!(needy.opened[0].amount, 700);
    Ok(())
}

/// A router loses the answer to its batch and sends it again, twice.
/// Without the kept answer the budget would open three grants, two of which nobody spends,
/// and callers would be refused although the money was there.
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

/// Reports arrive out of order: 70 tokens first, then an older report of 40.
/// A bill that went down would give 30 tokens back that were spent.
#[test]
fn a_late_report_never_lowers_the_bill() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let opened = f.grants(asking(batch("r1", 1, 1), "nairobi", 100, 10))?;
    let grant = opened.opened[0].id;
    f.grants(reporting(batch("r1", 1, 2), grant, 70, false))?;
    f.grants(reporting(batch("r1", 1, 3), grant, 40, false))?;
    assert_eq!(f.state.budget("nairobi").expect("declared").billed, 70);
    Ok(())
}

#[test]
fn a_report_over_the_grant_is_denied_whole() -> Result<(), Denial> {
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

/// A budget's last tokens lie in the grant of a router without callers.
/// Another router asks, is refused and the idle one is told to give back; it does, and the next
/// ask succeeds. Without the recall that caller is refused although the money is there.
#[test]
fn unspent_money_is_called_back_near_the_end() -> Result<(), Denial> {
    let mut f = Fixture::with_team();
    let idle = f.grants(asking(batch("idle", 1, 1), "nairobi", 1_000, 1_000))?;
    let grant = idle.opened[0].id;
    let refused = f.grants(asking(batch("busy", 1, 1), "nairobi", 100, 50))?;
    assert_eq!(refused.refused[0].outstanding, 1_000);
    let told = f.grants(batch("idle", 1, 2))?;
    assert_eq!(told.recalled, [grant]);
    let back = f.grants(reporting(batch("idle", 1, 3), grant, 20, true))?;
    assert_eq!(back.closed, [grant]);
    let granted = f.grants(asking(batch("busy", 1, 2), "nairobi", 100, 50))?;
    assert_eq!(granted.opened[0].amount, 100);
    Ok(())
}

/// A router is frozen with a batch ready, declared lost and replaced, then thaws.
/// Its batch must neither open a grant nor change a bill: nobody would close that grant.
#[test]
fn a_thawed_router_gets_nothing() -> Result<(), Denial> {
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
fn a_fenced_grant_closes_at_the_evidence_or_the_report_whichever_is_more() -> Result<(), Denial> {
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

/// An operator tops up, loses the answer and resends; the budget is credited once.
/// Then the id comes again with another amount: that is a mistake and is said so.
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

/// A laptop wakes after a month and resends a top-up whose receipt is forgotten.
/// The budget must not be credited again; the id says how old it is, so it is refused.
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
fn a_write_off_needs_a_fenced_grant_and_is_written_down() -> Result<(), Denial> {
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
