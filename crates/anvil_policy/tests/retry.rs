//! Tries beyond the first, within a budget that several routers share.

use std::time::Duration;

use anvil_policy::retry::{Repeat, RetryBudget, RetryRule};

/// The slack of all routers in ten seconds.
const SLACK: f64 = 60.0;

/// The part of one of so many routers.
fn part_of(routers: u32) -> RetryRule {
    let slack = SLACK / f64::from(routers);
    RetryRule {
        part: 0.0,
        reserve: 0.5 * slack,
        each_second: 0.03 * slack,
        most_tries: u32::MAX,
        ..RetryRule::default()
    }
}

/// Tries that a budget allows in ten seconds in which everything fails.
fn allowed(budget: &mut RetryBudget, from: u64) -> u32 {
    let mut rng = rand::rng();
    let mut count = 0;
    for ms in 0..10_000 {
        let now = Duration::from_secs(from) + Duration::from_millis(ms);
        count += u32::from(budget.again(now, 1, Repeat::Safe, &mut rng).is_some());
    }
    count
}

/// All routers start at once, and each knows of one other when its first request comes. With the
/// part of then, thirty routers together make fifteen times the tries that all of them may make,
/// and endpoints that are down are flooded.
#[test]
fn the_parts_of_all_routers_stay_within_the_whole() {
    let routers = 30;
    let mut sum = 0;
    for _ in 0..routers {
        let mut budget = RetryBudget::new(part_of(2));
        budget.set_rule(Duration::from_secs(1), part_of(routers));
        sum += allowed(&mut budget, 1);
    }
    assert!(f64::from(sum) <= SLACK, "{sum}");
}

/// Half of the routers die after they have used their part. The others' parts grow, but not by
/// what is used already.
#[test]
fn a_larger_part_gives_nothing_back_at_once() {
    let mut budget = RetryBudget::new(part_of(2));
    while budget
        .again(Duration::ZERO, 1, Repeat::Safe, &mut rand::rng())
        .is_some()
    {}
    budget.set_rule(Duration::ZERO, part_of(1));
    let again = budget.again(Duration::ZERO, 1, Repeat::Safe, &mut rand::rng());
    assert!(again.is_none());
}
