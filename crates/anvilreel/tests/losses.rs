//! The report on failed requests and spent tokens, computed from recorded log lines.

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

/// Requests fail for the same reason with different ids and times. The report must list the reason
/// once, with the number of requests and the time range.
#[test]
fn failures_with_equal_decisions_are_aggregated() {
    let report = read();
    assert_eq!(
        (report.requests, report.completed, report.unreadable),
        (5, 1, 1)
    );
    let first = &report.losses[0];
    assert_eq!(first.outcome, "budget_exhausted");
    assert!(first.decision.contains("BudgetExhausted"), "{first:?}");
    assert_eq!((first.requests, first.example.as_str()), (2, "a2"));
    assert_eq!(first.last, "2026-01-01T00:00:01.300Z");
    assert_eq!(
        report
            .losses
            .iter()
            .map(|loss| loss.requests)
            .sum::<usize>(),
        4
    );
}

#[test]
fn the_second_with_the_most_failures_comes_first() {
    let report = read();
    let seconds: Vec<_> = report
        .seconds
        .iter()
        .map(|s| (&*s.at, s.failed, s.requests))
        .collect();
    assert_eq!(
        seconds,
        [("2026-01-01T00:00:01", 2, 3), ("2026-01-01T00:00:02", 2, 2)]
    );
}

/// A budget of 2,000 tokens is exhausted although the log lines bill only 1,200: 600 are in open
/// grants, 50 are left, and 150 were billed by processes whose log lines are lost. A charge that
/// was dropped later does not count.
#[test]
fn a_budgets_tokens_are_accounted_for() {
    let report = read();
    let spent = &report.budgets[0];
    assert_eq!((spent.credited, spent.completed), (2_000, 1_000));
    assert_eq!((spent.partly, spent.undelivered), (200, 0));
    assert_eq!((spent.left, spent.granted), (Some(50), Some(600)));
    assert_eq!(spent.unaccounted(), Some(150));
    assert_eq!(spent.refused, 2);
    assert!(
        report
            .to_string()
            .contains("co-op 2000; 1000, 200, 0; 50, 600, 150; 2")
    );
}
