//! Reservations that are reduced while their requests' prompts are held.

use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantPolicy, Reservation};

use crate::ledger::{Ledger, at};

/// An account that has reserved 100 tokens of three budgets.
fn reserved(ledger: &mut Ledger) -> (GrantAccount, Reservation) {
    let account = GrantAccount::new("r1".into(), 1, GrantPolicy::default());
    let split = Split::try_from(vec![("a".into(), 1), ("b".into(), 1), ("c".into(), 1)]);
    let split = split.expect("a valid split");
    for now in 0..5 {
        if let Ok(reservation) = account.reserve(at(now * 2_000), &split, 100) {
            return (account, reservation);
        }
        let batch = account.next_batch(at(now * 2_000 + 1)).expect("a batch");
        let answer = ledger.answer(batch);
        account
            .apply_answer(at(now * 2_000 + 2), &answer)
            .expect("the answer to this batch");
    }
    panic!("no grant of each budget");
}

fn ledger() -> Ledger {
    Ledger::with_budgets(["a", "b", "c"].map(|budget| (budget.into(), 10_000)))
}

fn reserved_tokens(account: &GrantAccount) -> [Tokens; 3] {
    ["a", "b", "c"].map(|budget| account.budget_status(budget).reserved)
}

/// Guards against a held prompt that is not covered by its reservation: its charge would be capped,
/// and the account would refuse everything that follows.
#[test]
fn reduced_reservation_covers_its_bound() {
    let mut ledger = ledger();
    let (account, mut reservation) = reserved(&mut ledger);
    account.reduce(&mut reservation, 20);
    assert_eq!(reservation.bound(), 20);
    assert_eq!(reserved_tokens(&account), [7, 7, 7]);
    account
        .settle(reservation, 20)
        .expect("the cost is within the reservation");
    assert_eq!(reserved_tokens(&account), [0, 0, 0]);
    assert_eq!(account.invariant_violation(), None);
}

/// Guards against tokens that a reduced reservation leaves behind when it is released.
#[test]
fn reduced_reservation_is_released_whole() {
    let mut ledger = ledger();
    let (account, mut reservation) = reserved(&mut ledger);
    let before = account.budget_status("a").free;
    account.reduce(&mut reservation, 20);
    // Not enlarged.
    account.reduce(&mut reservation, 100);
    assert_eq!(reservation.bound(), 20);
    assert_eq!(account.budget_status("a").free, before + 34 - 7);
    account.release(reservation);
    assert_eq!(reserved_tokens(&account), [0, 0, 0]);
    assert_eq!(account.budget_status("a").free, before + 34);
}
