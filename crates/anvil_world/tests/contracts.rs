//! Tests of splits, budgets and prices.

use anvil_world::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn split(weights: &[u32]) -> Split {
    let named = weights.iter().enumerate();
    let payers: Vec<_> = named.map(|(n, w)| (format!("b{n}").into(), *w)).collect();
    Split::try_from(payers).expect("distinct payers")
}

/// A fixed seed, so that CI checks the same cases in every run.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    /// Several budgets pay for one request: rounding must neither lose a token nor charge one twice.
    #[test]
    fn parts_of_a_split_sum_to_the_cost(
        weights in prop::collection::vec(1_u32..1_000, 1..6),
        cost in 0_u64..1_000_000_000,
    ) {
        let split = split(&weights);
        let sum: Tokens = split.divide(cost).map(|(_, part)| part).sum();
        prop_assert_eq!(sum, cost);
    }

    /// A router reserves each budget's bound and later settles a smaller cost. A part above its bound
    /// would overspend the grant of that budget.
    #[test]
    fn no_part_of_a_smaller_cost_exceeds_its_bound(
        weights in prop::collection::vec(1_u32..1_000, 1..6),
        bound in 0_u64..100,
        less in 0_u64..3,
    ) {
        let split = split(&weights);
        // Rounding errors matter when the cost is close to the bound.
        let cost = bound.saturating_sub(less);
        let bounds = split.bounds(bound).map(|(_, tokens)| tokens);
        let parts = split.divide(cost).map(|(_, tokens)| tokens);
        prop_assert!(parts.zip(bounds).all(|(part, bound)| part <= bound));
    }
}

#[test]
fn split_without_distinct_weighted_payers_is_rejected() {
    let no_payers: Vec<(BudgetId, u32)> = Vec::new();
    assert_eq!(Split::try_from(no_payers), Err(ContractError::BadSplit));
    let zero_weight: Vec<(BudgetId, u32)> = vec![("a".into(), 0)];
    assert_eq!(Split::try_from(zero_weight), Err(ContractError::BadSplit));
    let duplicate: Vec<(BudgetId, u32)> = vec![("a".into(), 1), ("a".into(), 2)];
    assert_eq!(Split::try_from(duplicate), Err(ContractError::BadSplit));
}

#[test]
fn cost_saturates_instead_of_overflowing() {
    let price = Price {
        output: Tokens::MAX,
        ..Price::default()
    };
    let usage = Usage {
        prompt: 10,
        output: 2,
        calls: 0,
    };
    assert_eq!(price.cost(usage), Tokens::MAX);
}

#[test]
fn grant_larger_than_the_tokens_left_is_refused() {
    let mut budget = Budget::default();
    budget.credit(100).expect("credit does not overflow");
    let grant = |id, amount| Grant {
        id,
        budget: "nairobi".into(),
        router: "r1".into(),
        incarnation: 1,
        amount,
        settled: 0,
        returned: 0,
        state: GrantState::Open,
    };
    let id: BudgetId = "nairobi".into();
    assert_eq!(budget.open(&id, grant(1, 60)), Ok(()));
    let over = budget.open(&id, grant(2, 41));
    assert!(matches!(
        over,
        Err(ContractError::Exhausted { left: 40, .. })
    ));
    assert!(budget.invariant_holds());
}
