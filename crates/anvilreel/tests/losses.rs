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

const HELD: &str = r#"
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:01.000Z","steps":"0ms to i-2 expecting 4ms; ","billed":250,"prompt_held":250,"first_ms":0,"took_ms":500,"organisation":"co-op","route":"r-1","outcome":"answer_lost","request":"c1","event":6012}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:01.100Z","steps":"0ms to i-2 expecting 4ms; ","billed":300,"prompt_held":300,"first_ms":0,"took_ms":500,"organisation":"co-op","route":"r-1","outcome":"answer_lost","request":"c2","event":6012}
{"msg":"gateway_prompt_released","ts":"2026-01-01T00:00:01.400Z","request":"c1","tokens":250,"event":6080}
{"msg":"gateway_prompt_charged","ts":"2026-01-01T00:00:06.100Z","request":"c2","tokens":300,"why":"wait_over","event":6081}
"#;

/// Guards against prompts of lost attempts that the report counts although a retry paid for them.
#[test]
fn released_prompts_are_not_counted_as_spent() {
    let report = losses([("router-1", HELD)].into_iter());
    assert_eq!(report.budgets[0].undelivered, 300);
}

const LATE: &str = r#"
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.000Z","first_ms":400,"pause_ms":20,"target_ms":300,"pause_target_ms":100,"body_ms":5,"money_ms":0,"place_ms":250,"connect_ms":3,"response_ms":140,"organisation":"co-op","request":"b1","event":6011}
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.100Z","first_ms":700,"pause_ms":20,"target_ms":300,"pause_target_ms":100,"body_ms":5,"money_ms":0,"place_ms":500,"connect_ms":3,"response_ms":190,"organisation":"co-op","request":"b2","event":6011}
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.200Z","first_ms":90,"pause_ms":350,"target_ms":300,"pause_target_ms":100,"body_ms":1,"money_ms":0,"place_ms":0,"connect_ms":1,"response_ms":85,"organisation":"guild","request":"b3","event":6011}
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.300Z","first_ms":900,"pause_ms":0,"target_ms":300,"pause_target_ms":null,"body_ms":10,"money_ms":20,"place_ms":0,"connect_ms":10,"response_ms":60,"organisation":null,"request":"b4","event":6011}
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.400Z","first_ms":299,"pause_ms":99,"target_ms":300,"pause_target_ms":100,"body_ms":1,"money_ms":280,"place_ms":0,"connect_ms":1,"response_ms":10,"organisation":"guild","request":"b5","event":6011}
{"msg":"gateway_request_completed","ts":"2026-01-01T00:00:01.500Z","first_ms":9000,"pause_ms":9000,"organisation":"guild","request":"b6","event":6011}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:01.600Z","outcome":"overloaded","first_ms":0,"target_ms":300,"place_ms":120,"money_ms":0,"organisation":"guild","request":"b7","event":6012}
{"msg":"gateway_request_failed","ts":"2026-01-01T00:00:01.700Z","outcome":"answer_lost","first_ms":900,"target_ms":300,"response_ms":899,"organisation":"guild","request":"b8","event":6012}
"#;

/// Guards against late responses being counted under the wrong stage: two waited for a place, one had
/// a long gap between events after a first one in time, and one spent its time in no known stage.
/// Responses in time, failed requests, and lines of builds without a target don't count.
#[test]
fn late_responses_are_counted_by_their_longest_stage() {
    let report = losses([("router-1", LATE)].into_iter());
    assert_eq!(report.late, 4);
    let stages = report.late_stages.iter();
    let stages: Vec<_> = stages
        .map(|late| {
            let example = late.example.as_str();
            (
                late.stage,
                late.responses,
                late.percent,
                late.longest_ms,
                example,
            )
        })
        .collect();
    assert_eq!(
        stages,
        [
            ("place", 2, 50, 500, "b2"),
            ("other", 1, 25, 800, "b4"),
            ("pause", 1, 25, 350, "b3"),
        ]
    );
    assert!(
        report
            .to_string()
            .contains("2 50% place (up to 500 ms, such as b2)")
    );
}

/// Guards against an organisation that is refused or waits more than others going unnoticed: a
/// response that was lost is not a refusal, and a request that was refused may have waited.
#[test]
fn refusals_and_waits_are_counted_by_organisation() {
    let report = losses([("router-1", LATE)].into_iter());
    let waits = report.organisations.iter().map(ToString::to_string);
    assert_eq!(
        waits.collect::<Vec<_>>(),
        [
            "guild 5, 1, 2; 400 ms, 280 ms",
            "co-op 2, 0, 2; 750 ms, 500 ms"
        ]
    );
}
