//! Which budgets' balances are read next.

use anvil_gateway::account::balances::next_page;
use anvil_wire::encode;
use anvil_wire::msg::{BudgetBalance, LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_world::prelude::*;

fn budgets(count: usize, name: &str) -> Vec<BudgetId> {
    let names = (0..count).map(|i| format!("{name}{i:03}").into());
    names.collect()
}

/// Guards against budgets whose balances are never read because others come first.
#[test]
fn all_budgets_are_read_in_turn() {
    let all = budgets(150, "b");
    let first = next_page(&all, None);
    let second = next_page(&all, first.last());
    let third = next_page(&all, second.last());
    assert_eq!([&first, &second].map(Vec::len), [64, 64]);
    assert_eq!(first, all[..64]);
    assert_eq!(second, all[64..128]);
    assert_eq!(third[..22], all[128..]);
    assert_eq!(third[22..], all[..42]);
    // Few budgets are all read each time, also after the one that was read last is gone.
    let few = budgets(3, "b");
    assert_eq!(next_page(&few, Some(&"b001".into())).len(), 3);
    assert_eq!(next_page(&few, Some(&"x".into())), few);
    assert_eq!(next_page(&[], None), []);
}

/// Guards against reads that delay other messages to and from the ledger on a slow link.
#[test]
fn query_and_answer_stay_below_4_kb() {
    for name in ["b", &"long".repeat(20), &"longer".repeat(40)] {
        let page = next_page(&budgets(200, name), None);
        assert!(!page.is_empty());
        let balance = BudgetBalance {
            left: Tokens::MAX,
            billed: Tokens::MAX,
        };
        let balances = page.iter().map(|id| (id.clone(), balance)).collect();
        let answer = LedgerReply::Read(QueryAnswer::Balances(balances));
        let query = LedgerRequest::Query(Query::Balances(page));
        assert!(encode(&query).expect("encoded").len() < 4_096);
        assert!(encode(&answer).expect("encoded").len() < 4_096);
    }
}
