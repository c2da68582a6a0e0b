//! The loads of the users' letter, played against the decisions alone, in virtual time.
//!
//! Each checks what callers get. The figures of all of them stand in
//! `docs/design/04-decisions.md`.

use std::time::Duration;

use anvil_standins::load::policy::rule::{ChoiceRule, EntryRule};
use anvil_standins::load::policy::{PolicyScenario, Report, Rule, run_policy};

const FIRST_TOKEN_MS: f64 = 410.0;
const BETWEEN_MS: f64 = 59.0;

fn scenario(name: &str) -> PolicyScenario {
    let mut all = PolicyScenario::all().into_iter();
    all.find(|one| one.name == name).expect("a named load")
}

fn play(name: &str) -> Report {
    run_policy(&scenario(name), &Rule::ours())
}

/// What holds under every load: who was let in is served, histories are never lost, and who is
/// turned away hears it at once and with a time to come back.
fn promises_hold(report: &Report) {
    assert_eq!(report.given_up, 0, "let in and dropped: {report:?}");
    assert_eq!(report.failed, 0, "{report:?}");
    assert_eq!(report.batch_lost, 0, "{report:?}");
    assert_eq!(report.refused_without_time, 0, "{report:?}");
    assert!(report.refusal_p100 < 1.0, "{report:?}");
    assert_eq!(
        report.completed + report.refused,
        report.offered,
        "{report:?}"
    );
}

fn quick(report: &Report) {
    assert!(report.first_p95 <= FIRST_TOKEN_MS, "{report:?}");
    assert!(report.between_p95 <= BETWEEN_MS, "{report:?}");
}

/// The load of an ordinary busy hour. Nobody waits, and nobody is turned away.
#[test]
fn nine_tenths_of_the_load() {
    let report = play("steady-90");
    promises_hold(&report);
    quick(&report);
    assert_eq!(report.refused, 0);
    assert!(report.prefix_hits > 0.9, "{report:?}");
    assert!(report.hot_spot < 1.1, "{report:?}");
}

/// Counter staff of all shops open at the same minute: ten times the rate for six seconds. The
/// queue takes it in and drains; a queue bounded too tightly would turn away a third of them.
#[test]
fn a_burst_at_ten_times_the_rate() {
    let report = play("burst-10x");
    promises_hold(&report);
    assert!(report.refused * 100 <= report.offered, "{report:?}");
    let after = report.over_time.last().copied().unwrap_or_default();
    assert!(after > 0.0, "{report:?}");
}

/// Two organisations send nine tenths of more than there is room for. In one queue for all, the
/// eight others wait as long as those two.
#[test]
fn two_organisations_with_most_of_the_load() {
    let report = play("skew-two-90");
    promises_hold(&report);
    let large = ["organisation-0", "organisation-1"].map(|name| report.organisations_p95[name]);
    let small = report.median_organisation_p95;
    assert!(large.iter().all(|large| small * 3.0 < *large), "{report:?}");
    assert!(report.jain > 0.99, "{report:?}");

    let fifo = Rule::ours().named("fifo").with_entry(EntryRule::Fifo);
    let fifo = run_policy(&scenario("skew-two-90"), &fifo);
    assert!(small * 3.0 < fifo.median_organisation_p95, "{fifo:?}");
}

/// One endpoint takes ten times as long for everything, for 45 s. Its share of callers would hang
/// on it; one after the other, they do.
#[test]
fn one_endpoint_ten_times_slower() {
    let report = play("slow-10x");
    promises_hold(&report);
    quick(&report);
    let turns = Rule::ours().with_choice(ChoiceRule::RoundRobin);
    let turns = run_policy(&scenario("slow-10x"), &turns);
    assert!(
        report.worst_first_p95 * 5.0 < turns.worst_first_p95,
        "{turns:?}"
    );
}

/// The same for a service of short calls at a quiet hour, where no queue shows who is slow.
#[test]
fn a_slow_endpoint_at_a_quiet_hour() {
    let report = play("quiet-lookups-slow-10x");
    promises_hold(&report);
    assert!(report.first_p95 < 50.0, "{report:?}");
}

/// One endpoint answers errors within milliseconds, so it always looks empty. By least load, a
/// quarter of all callers would get its errors.
#[test]
fn one_endpoint_that_fails_fast() {
    let report = play("fails-fast");
    promises_hold(&report);
    quick(&report);
    let least = Rule::ours().with_choice(ChoiceRule::LeastReported);
    let least = run_policy(&scenario("fails-fast"), &least);
    assert!(least.failed * 5 > least.offered, "{least:?}");
}

/// A fifth of all requests are repair histories of ten thousand tokens. Questions are answered
/// as if there were none, and every history is made.
#[test]
fn long_histories_among_short_questions() {
    let report = play("long-among-short");
    promises_hold(&report);
    quick(&report);
}

/// Half as much again as there is room for, for two minutes. Without a limit every token comes
/// late; without deadlines the endpoints work for callers who have left.
#[test]
fn saturation_for_long() {
    let full = play("full-100");
    let report = play("saturation-150");
    promises_hold(&report);
    assert!(report.goodput >= 0.95 * full.goodput, "{report:?} {full:?}");
    assert_eq!(report.false_refused, 0);
    let unlimited = Rule::ours().with_entry(EntryRule::NoLimit);
    let unlimited = run_policy(&scenario("saturation-150"), &unlimited);
    assert!(report.kept > 2.0 * unlimited.kept, "{unlimited:?}");
}

/// An endpoint is lost with all its runs and comes back with an empty cache. What it ran goes on
/// elsewhere, and its return is no second disturbance.
#[test]
fn an_endpoint_returns_cold() {
    let report = play("cold-return");
    promises_hold(&report);
    quick(&report);
    assert!(report.worst_first_p95 < 2_000.0, "{report:?}");
}

/// A service of short calls comes back and is five times slower while it fills its caches. Thirty
/// routers see it empty in the same moment; by least reported load they all rush to it, and each
/// report sends them to the next one.
#[test]
fn no_herd_over_a_returned_endpoint() {
    let report = play("lookups-cold-return");
    promises_hold(&report);
    assert!(report.worst_first_p95 < 100.0, "{report:?}");
    let least = Rule::ours().with_choice(ChoiceRule::LeastReported);
    let least = run_policy(&scenario("lookups-cold-return"), &least);
    assert!(
        report.worst_first_p95 * 5.0 < least.worst_first_p95,
        "{least:?}"
    );
}

/// Answers end before the next load report tells of them. A router that forgets with each report
/// what the report can't know yet fills the same endpoint again: the pool swings, and the first
/// token of 95 in 100 came after 444 ms instead of 90.
#[test]
fn answers_shorter_than_the_reports_lag() {
    let report = play("quick-answers");
    promises_hold(&report);
    quick(&report);
    let turns = Rule::ours().with_choice(ChoiceRule::RoundRobin);
    let turns = run_policy(&scenario("quick-answers"), &turns);
    assert!(report.first_p95 < turns.first_p95, "{turns:?}");
}

/// A third of the endpoints is lost at once and comes back at once; the list of instances lags
/// two seconds behind. Thirty routers see the healed zone empty in the same moment.
#[test]
fn a_zone_is_lost_and_comes_back() {
    for name in ["zone-lost", "zone-lost-30-routers"] {
        let report = play(name);
        promises_hold(&report);
        quick(&report);
        assert!(report.worst_first_p95 < 2_000.0, "{report:?}");
    }
}

/// A run can be repeated to the last figure, or no figure could be checked.
#[test]
fn the_same_seed_gives_the_same_report() {
    let short = PolicyScenario {
        length: Duration::from_secs(25),
        ..scenario("saturation-150")
    };
    let ours = Rule::ours();
    assert_eq!(run_policy(&short, &ours), run_policy(&short, &ours));
    let other = short.clone().with_seed(2);
    assert_ne!(run_policy(&short, &ours), run_policy(&other, &ours));
}
