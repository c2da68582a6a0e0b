//! Choice of an engine for a prompt, simulated without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::engine::{EndpointView, EngineRule, Prompt, home_rank};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 9;
const ROUTERS: usize = 8;
const SHARED_PREFIXES: u64 = 158;
const SHARED_TOKENS: Tokens = 6_300;
const OWN_TOKENS: Tokens = 2_890;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn prompt_of(parts: &[(u64, Tokens)]) -> Prompt<'_> {
    Prompt {
        parts,
        max_output: 100,
    }
}

/// Chooses an engine in the same way as a gateway does.
fn choose(
    now: Now,
    rule: &EngineRule,
    loads: &[EndpointView],
    prompt: &Prompt<'_>,
) -> (usize, Tokens) {
    let rank = |at: usize| {
        prompt
            .shared_prefix()
            .map(|s| home_rank(s, &format!("e{at}")))
    };
    let home = (0..loads.len()).max_by_key(|at| rank(*at));
    let candidates = loads.iter().enumerate().map(|(at, load)| {
        let missing = load.missing_tokens(now, rule, prompt, Some(at) == home);
        (
            load.expected_first_token(now, rule, missing, 128),
            at,
            missing,
        )
    });
    let (_, at, missing) = candidates.min().expect("at least one engine");
    (at, missing)
}

/// Long prompts with 158 different shared prefixes arrive at eight routers that don't communicate.
/// Sent to the least loaded engine, nearly every prompt has its 6,300 shared tokens prefilled
/// again. With home engines, most find them cached.
#[test]
fn prompts_reach_cached_prefixes_without_communication_between_routers() {
    let rule = EngineRule::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut routers = vec![vec![EndpointView::default(); ENGINES]; ROUTERS];
    let mut cached_prefixes = vec![BTreeSet::new(); ENGINES];
    let (mut cache_hits, mut random_hits) = (0_u32, 0_u32);
    let requests = 2_000;
    for number in 0..requests {
        let now = at(number * 20);
        let shared_prefix = 1 + rng.random_range(0..SHARED_PREFIXES);
        let own = 1_000_000 + number;
        let parts = [(shared_prefix, SHARED_TOKENS), (own, OWN_TOKENS)];
        let prompt = prompt_of(&parts);
        let router = rng.random_range(0..ROUTERS);
        let loads = &mut routers[router];
        let (engine, missing) = choose(now, &rule, loads, &prompt);
        loads[engine].record_start(now, &rule, &prompt, missing);
        // Answered before the next one arrives.
        loads[engine].end_prefill(missing);
        loads[engine].record_end();
        cache_hits += u32::from(!cached_prefixes[engine].insert(shared_prefix));
        random_hits += u32::from(rng.random_range(0..ENGINES) == 0);
    }
    assert!(
        cache_hits > 1_750,
        "{cache_hits} of {requests} requests found their shared prefix cached"
    );
    assert!(random_hits < 300, "hits by chance");
}

/// One shared prefix gets most of the traffic, and its home has a queue of prompts to prefill. As
/// soon as prefilling the shared part elsewhere is faster, requests go elsewhere.
#[test]
fn popular_prefix_leaves_its_home_when_prefill_elsewhere_is_faster() {
    let rule = EngineRule::default();
    let mut loads = vec![EndpointView::default(); ENGINES];
    let mut used = BTreeSet::new();
    for number in 0..40 {
        let parts = [(7, SHARED_TOKENS), (1_000 + number, OWN_TOKENS)];
        let prompt = prompt_of(&parts);
        let (engine, missing) = choose(at(number), &rule, &loads, &prompt);
        loads[engine].record_start(at(number), &rule, &prompt, missing);
        used.insert(engine);
    }
    assert!(used.len() > 1 && used.len() <= ENGINES, "{used:?}");
    let longest = loads.iter().map(|load| load.pending_prefill).max();
    let all: Tokens = loads.iter().map(|load| load.pending_prefill).sum();
    assert!(longest.unwrap_or(0) < all / 2, "{longest:?} of {all}");
}

/// An endpoint fails. It is on cooldown for a short time, longer with each failure and never for
/// more than two seconds; otherwise a recovered endpoint would stay empty while the others are
/// full.
#[test]
fn failing_endpoint_is_on_cooldown_and_then_tried_again() {
    let mut load = EndpointView::default();
    load.record_failure(at(0));
    assert!(load.is_on_cooldown(at(200)) && !load.is_on_cooldown(at(251)));
    for _ in 0..20 {
        load.record_failure(at(1_000));
    }
    assert!(load.is_on_cooldown(at(2_900)) && !load.is_on_cooldown(at(3_001)));
    load.record_answer(false);
    assert!(!load.is_on_cooldown(at(2_000)));
}

/// Reports lag, and every router receives the same ones. If requests sent since the report didn't
/// count, all routers would send to the endpoint that looked empty.
#[test]
fn requests_sent_since_a_report_count() {
    let rule = EngineRule::default();
    let mut load = EndpointView::default();
    load.apply_report(at(0), 10, 0, 128);
    assert_eq!(load.estimated_requests(at(10)), 10);
    let parts = [(1, 500)];
    let prompt = prompt_of(&parts);
    for _ in 0..5 {
        load.record_start(at(10), &rule, &prompt, 500);
    }
    assert_eq!(load.estimated_requests(at(20)), 15);
    let empty = EndpointView::default();
    assert!(
        load.expected_first_token(at(20), &rule, 500, 128)
            > empty.expected_first_token(at(20), &rule, 500, 128)
    );
    // An old report is ignored; the count of own requests remains.
    assert_eq!(load.estimated_requests(at(5_000)), 5);
}

/// Guards against memory that grows with the number of prompt parts sent to an engine.
#[test]
fn remembered_parts_are_bounded() {
    let rule = EngineRule {
        max_parts: 16,
        ..EngineRule::default()
    };
    let mut load = EndpointView::default();
    for part in 0..10_000 {
        let parts = [(part, 10)];
        load.record_start(at(part), &rule, &prompt_of(&parts), 10);
    }
    let old = [(0, 10)];
    let new = [(9_999, 10)];
    assert_eq!(
        load.missing_tokens(at(9_999), &rule, &prompt_of(&old), false),
        10
    );
    assert_eq!(
        load.missing_tokens(at(9_999), &rule, &prompt_of(&new), false),
        0
    );
}

/// One endpoint fails four answers in ten while its health checks pass; the others fail one in
/// seven because of the requests. It is not put on cooldown, but its failure penalty is large
/// enough that it is chosen less.
#[test]
fn endpoint_that_fails_more_often_is_penalised() {
    let step = Duration::from_millis(40);
    let penalty_after = |is_failure: fn(u32) -> bool| {
        let mut load = EndpointView::default();
        for number in 0..100 {
            load.record_answer(is_failure(number));
        }
        assert!(!load.is_on_cooldown(at(0)));
        load.failure_cost(step)
    };
    let failing_often = penalty_after(|n| n % 5 < 2);
    let failing_rarely = penalty_after(|n| n % 7 == 0);
    assert!(
        failing_often > failing_rarely + Duration::from_millis(5),
        "{failing_often:?} {failing_rarely:?}"
    );
}
