//! What requests were lost to, added up from recorded lines.

use anvilreel::operator::{Losses, losses};

const ROUTER: &str = r#"
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.100Z","steps":"0ms to i-1 expecting 2ms; ","billed":1000,"first_ms":90,"took_ms":800,"organisation":"co-op","route":"r-1","request":"a1","event":6011}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:01.200Z","steps":"1ms no money: BudgetExhausted(\"co-op\"); ","billed":0,"first_ms":0,"took_ms":1,"organisation":"co-op","route":"r-1","outcome":"budget_exhausted","request":"a2","event":6012}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:01.300Z","steps":"2ms no money: BudgetExhausted(\"co-op\"); ","billed":0,"first_ms":0,"took_ms":2,"organisation":"co-op","route":"r-1","outcome":"budget_exhausted","request":"a3","event":6012}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:02.100Z","steps":"0ms to i-2 expecting 3ms; ","billed":300,"first_ms":0,"took_ms":500,"organisation":"co-op","route":"r-1","outcome":"client_left","request":"a4","event":6012}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:02.200Z","steps":"0ms to i-2 expecting 4ms; ","billed":200,"first_ms":40,"took_ms":500,"organisation":"co-op","route":"r-1","outcome":"client_left","request":"a5","event":6012}
{"msg":"gateway_bill_dropped","ts":"2026-01-01T00:00:02.300Z","request":"a4","event":6020}
not a line of ours
{"msg":"gateway_grants","ts":"2026-01-01T00:00:02.400Z","refused":"[GrantRefusal { budget: \"co-op\", left: 50, outstanding: 600 }]","opened":"[]","recalled":0,"event":6015}
"#;

const LEDGER: &str = r#"
{"msg":"configuration_taken","ts":"2026-01-01T00:00:00.100Z","credits":"{\"co-op\": 1000}","version":1,"event":3010}
{"msg":"configuration_taken","ts":"2026-01-01T00:00:00.500Z","credits":"{\"co-op\": 2000}","version":2,"event":3010}
"#;

fn read() -> Losses {
    losses([("router-1", ROUTER), ("ledger-1", LEDGER)].into_iter())
}

/// Operators see 402s and clients that left. The report names each decision once, with how often and when it was
/// taken, although ids and times differ.
#[test]
fn equal_decisions_are_added_up() {
    let found = read();
    assert_eq!(
        (found.requests, found.completed, found.unreadable),
        (5, 1, 1)
    );
    let first = &found.losses[0];
    assert_eq!(first.outcome, "budget_exhausted");
    assert!(first.decision.contains("BudgetExhausted"), "{first:?}");
    assert_eq!((first.requests, first.example.as_str()), (2, "a2"));
    assert_eq!(first.last, "2026-01-01T00:00:01.300Z");
    assert_eq!(
        found.losses.iter().map(|loss| loss.requests).sum::<usize>(),
        4
    );
}

#[test]
fn the_worst_second_comes_first() {
    let found = read();
    let seconds: Vec<_> = found
        .seconds
        .iter()
        .map(|s| (&*s.at, s.failed, s.requests))
        .collect();
    assert_eq!(
        seconds,
        [("2026-01-01T00:00:01", 2, 3), ("2026-01-01T00:00:02", 2, 2)]
    );
}

/// A budget of 2,000 is used up though only 1,200 were billed in any line: 600 lie in grants, 50 are left, and 150
/// were billed by processes whose lines are lost. A bill that was dropped later counts as none.
#[test]
fn a_budgets_tokens_are_accounted_for() {
    let found = read();
    let spent = &found.budgets[0];
    assert_eq!((spent.credited, spent.completed), (2_000, 1_000));
    assert_eq!((spent.partly, spent.undelivered), (200, 0));
    assert_eq!((spent.left, spent.granted), (Some(50), Some(600)));
    assert_eq!(spent.unaccounted(), Some(150));
    assert_eq!(spent.refused, 2);
    assert!(
        found
            .to_string()
            .contains("co-op 2000; 1000, 200, 0; 50, 600, 150; 2")
    );
}
