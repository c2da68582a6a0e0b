//! Retries, grants, prefixes, subsets and placement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_policy::placement::{ModelEndpoint, Move, PlacementRule, plan};
use anvil_policy::prelude::*;
use anvil_policy::subset::SubsetRule;
use anvil_world::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(3)
}

/// Every endpoint fails for a minute under load. Three attempts for each request would triple the
/// load at the worst time.
#[test]
fn retries_stay_at_a_tenth_of_the_work() {
    let mut budget = RetryBudget::default();
    let mut rng = rng();
    let mut retries = 0;
    for at in 0..60_000 {
        let now = Duration::from_millis(at);
        budget.record_first_attempt(now);
        retries += u32::from(
            budget
                .next_backoff(now, 1, RetrySafety::Safe, &mut rng)
                .is_some(),
        );
    }
    assert!((6_000..=6_200).contains(&retries), "{retries}");
}

/// An order may have been placed when its endpoint was lost. A second attempt would place it twice.
#[test]
fn non_idempotent_request_is_never_retried() {
    let mut budget = RetryBudget::default();
    assert_eq!(
        budget.next_backoff(Duration::ZERO, 1, RetrySafety::Unsafe, &mut rng()),
        None
    );
}

/// A hundred requests fail at the same time. Retried at the same time, they would fail together
/// again.
#[test]
fn backoffs_are_spread_out() {
    let mut budget = RetryBudget::default();
    let mut rng = rng();
    let backoffs: BTreeSet<_> = (0..100)
        .filter_map(|_| budget.next_backoff(Duration::ZERO, 2, RetrySafety::Safe, &mut rng))
        .collect();
    assert!(backoffs.len() > 95);
    assert!(backoffs.last() <= Some(&Duration::from_millis(100)));
}

/// Three routers draw on a budget of a million tokens until it is used up, one of them with most of
/// the demand. Large grants would leave tokens idle in the other two.
#[test]
fn last_tokens_of_a_budget_reach_the_router_with_demand() {
    let rule = GrantRule::default();
    let mut left: Tokens = 1_000_000;
    let mut free = [0; 3];
    let mut used = 0;
    for round in 0..100_000_usize {
        let router = if round % 10 < 8 { 0 } else { 1 + round % 2 };
        let need = Need {
            rate: if router == 0 { 8_000.0 } else { 1_000.0 },
            waiting: 400,
            free: free[router],
        };
        if rule.needs_renewal(&need) {
            let least = need.waiting.saturating_sub(need.free);
            let granted = rule.grant_size(rule.tokens_to_request(&need), least, left);
            left -= granted;
            free[router] += granted;
        }
        if free[router] < 400 {
            break;
        }
        free[router] -= 400;
        used += 400;
    }
    assert_eq!(used + left + free.iter().sum::<Tokens>(), 1_000_000);
    // The rest is idle in other routers when the first request is refused; the ledger then recalls
    // it.
    assert!(used > 970_000, "{used}");
}

/// The demand of a steady stream is measured accurately, and decays when the stream ends.
#[test]
fn measured_demand_follows_the_stream() {
    let mut demand = Demand::over(Duration::from_mins(1));
    for second in 0..300 {
        demand.add(Duration::from_secs(second), 500);
    }
    let rate = demand.rate(Duration::from_mins(5));
    assert!((480.0..520.0).contains(&rate), "{rate}");
    assert!(demand.rate(Duration::from_mins(10)) < 1.0);
}

/// Cache events come late, duplicated and with gaps, and callers send ever new prompts. The index
/// must neither grow without bound nor lose prefixes that are still sent.
#[test]
fn prefix_index_is_bounded_and_tolerates_lost_events() {
    let rule = PrefixRule {
        max_entries: 1_000,
        ..PrefixRule::default()
    };
    let mut index = PrefixIndex::new(rule);
    let id: InstanceId = "runner".into();
    for hash in 0..10_000 {
        index.record_sent(Duration::ZERO, &id, &[hash]);
    }
    assert_eq!(index.len(), 1_000);
    let event = |seq, change| CacheEvent { seq, change };
    index.apply_event(Duration::ZERO, &id, &event(1, CacheChange::Added(7)));
    index.apply_event(Duration::ZERO, &id, &event(9, CacheChange::Added(8)));
    // A late event, which must not undo a newer one.
    index.apply_event(Duration::ZERO, &id, &event(2, CacheChange::Removed(8)));
    assert_eq!(index.holders(Duration::ZERO, &[7, 8]), [(id.clone(), 2)]);
    index.apply_event(Duration::ZERO, &id, &event(10, CacheChange::Cleared));
    assert_eq!(index.holders(Duration::ZERO, &[7, 8]), []);
}

/// Prompts with the same prefix share their first hashes; the same text for another model doesn't.
#[test]
fn prompts_share_the_hashes_of_their_common_blocks() {
    let rule = PrefixRule::default();
    let mut text = vec![b'a'; 4_000];
    let one = rule.hashes("chat", &text);
    text[2_500] = b'b';
    let other = rule.hashes("chat", &text);
    assert_eq!(one.len(), 3);
    assert_eq!(one[..2], other[..2]);
    assert_ne!(one[2], other[2]);
    assert_ne!(one[0], rule.hashes("summary", &text)[0]);
}

/// 520 routers watch 7,100 endpoints. The slots of endpoints that few routers watch would stay
/// empty; and one endpoint less must not change what a router watches otherwise.
#[test]
fn subsets_are_bounded_balanced_and_stable() {
    let zone = |at: usize| Zone::new("region", &format!("zone-{}", at % 4));
    let all: Vec<(InstanceId, Zone)> = (0..7_100)
        .map(|at| (format!("runner-{at}").into(), zone(at)))
        .collect();
    let rule = SubsetRule::default();
    let mut watchers: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for router in 0..520 {
        let all_endpoints = all.iter().map(|(id, zone)| (id, zone));
        let watched = rule.watched(&format!("router-{router}"), &zone(router), all_endpoints);
        assert_eq!(watched.len(), rule.own_zone + 3 * rule.per_other_zone);
        for id in watched {
            *watchers.entry(id).or_default() += 1;
        }
    }
    assert!(watchers.len() > 7_080, "{} are watched", watchers.len());
    assert!(watchers.values().max() <= Some(&20));

    let all_endpoints = || all.iter().map(|(id, zone)| (id, zone));
    let before = rule.watched("router-1", &zone(1), all_endpoints());
    let after = rule.watched("router-1", &zone(1), all_endpoints().skip(1));
    assert!(before.difference(&after).count() <= 1);
}

fn endpoint(at: usize, loaded: &[&str]) -> ModelEndpoint {
    ModelEndpoint {
        id: format!("{at}").into(),
        zone: Zone::new("region", &format!("zone-{}", at % 3)),
        capacity: 2,
        loaded: loaded.iter().map(|model| ModelId::from(*model)).collect(),
        loading_models: BTreeSet::new(),
        busy: BTreeSet::new(),
        leaving: false,
    }
}

/// A zone is lost with half of the replicas. Started all at once, the rate-limited store would
/// serve all loads slowly; and a model without any replica must not wait behind others.
#[test]
fn loads_are_limited_and_the_most_lacking_model_is_first() {
    let endpoints = [
        endpoint(0, &["chat"]),
        endpoint(1, &["chat"]),
        endpoint(2, &[]),
        endpoint(3, &[]),
    ];
    let wanted = BTreeMap::from([("chat".into(), 4), ("summary".into(), 2)]);
    let moves = plan(
        &PlacementRule {
            max_concurrent_loads: 2,
        },
        &wanted,
        &endpoints,
    );
    let models: Vec<_> = moves
        .iter()
        .map(|one| match one {
            Move::Load { model, .. } | Move::Unload { model, .. } => &**model,
        })
        .collect();
    assert_eq!(models, ["summary", "chat"]);
    assert!(moves.iter().all(|one| matches!(one, Move::Load { .. })));
}

/// All memory is in use and a model lacks a replica. No model that has runs or is wanted there may
/// be unloaded for it.
#[test]
fn only_idle_surplus_models_are_unloaded() {
    let mut endpoints = vec![endpoint(0, &["chat", "old"]), endpoint(1, &["chat", "old"])];
    endpoints[0].busy.insert("old".into());
    let wanted = BTreeMap::from([("chat".into(), 2), ("summary".into(), 1)]);
    let moves = plan(&PlacementRule::default(), &wanted, &endpoints);
    let unload = Move::Unload {
        endpoint: "1".into(),
        model: "old".into(),
    };
    assert_eq!(moves, [unload]);
    endpoints[1].busy.insert("old".into());
    assert_eq!(plan(&PlacementRule::default(), &wanted, &endpoints), []);
}
