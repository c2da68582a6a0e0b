//! Retry budgets that several routers share.

use std::time::Duration;

use anvil_policy::retry::{RetryBudget, RetryRule, RetrySafety};

/// Retries that all routers together may make in ten seconds.
const MAX_RETRIES: f64 = 60.0;

/// The rule of one router among this many.
fn rule_for(routers: u32) -> RetryRule {
    let max_retries = MAX_RETRIES / f64::from(routers);
    RetryRule {
        retry_ratio: 0.0,
        max_saved: 0.5 * max_retries,
        refill_per_s: 0.03 * max_retries,
        max_attempts: u32::MAX,
        ..RetryRule::default()
    }
}

/// Retries that a budget allows in ten seconds in which every attempt fails.
fn count_retries(budget: &mut RetryBudget, from: u64) -> u32 {
    let mut rng = rand::rng();
    let mut count = 0;
    for ms in 0..10_000 {
        let now = Duration::from_secs(from) + Duration::from_millis(ms);
        count += u32::from(
            budget
                .next_backoff(now, 1, RetrySafety::Safe, &mut rng)
                .is_some(),
        );
    }
    count
}

/// All routers start at once, and each knows of one other when its first request arrives. With the
/// budget computed then, thirty routers together would make fifteen times the retries that all of
/// them may make, and flood endpoints that are down.
#[test]
fn retries_of_all_routers_stay_within_the_shared_budget() {
    let routers = 30;
    let mut total = 0;
    for _ in 0..routers {
        let mut budget = RetryBudget::new(rule_for(2));
        budget.set_rule(Duration::from_secs(1), rule_for(routers));
        total += count_retries(&mut budget, 1);
    }
    assert!(f64::from(total) <= MAX_RETRIES, "{total}");
}

/// Half of the routers die after they have used their part. The parts of the others grow, but must
/// not include what was used already.
#[test]
fn larger_budget_does_not_restore_used_retries() {
    let mut budget = RetryBudget::new(rule_for(2));
    while budget
        .next_backoff(Duration::ZERO, 1, RetrySafety::Safe, &mut rand::rng())
        .is_some()
    {}
    budget.set_rule(Duration::ZERO, rule_for(1));
    let again = budget.next_backoff(Duration::ZERO, 1, RetrySafety::Safe, &mut rand::rng());
    assert!(again.is_none());
}
