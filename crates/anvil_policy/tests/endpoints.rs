//! How much work an endpoint is given when it is slow, failing, leaving or returning.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::limit::{Limit, LimitRule};
use anvil_policy::prelude::*;
use anvil_world::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 32;

fn pool(count: usize) -> Pool {
    let state = |at: usize| {
        let zone = Zone::new("region", &format!("zone-{}", at % 3));
        Arc::new(EndpointState::new(format!("{at}").into(), zone, SLOTS))
    };
    Pool::new((0..count).map(state).collect())
}

fn secs(secs: u64) -> Now {
    Duration::from_secs(secs)
}

fn answered(millis: u64) -> AttemptResult {
    AttemptResult::Answered(Latency {
        first_token: Duration::from_millis(millis),
        token_gap: Duration::ZERO,
    })
}

/// How often each endpoint is chosen. Runs end at once, as those of a failing endpoint do.
fn count_choices(
    pool: &Pool,
    choice_request: &ChoiceRequest<'_>,
    times: usize,
) -> BTreeMap<InstanceId, usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let chooser = Chooser::default().with_zone(Zone::new("region", "zone-0"));
    let mut counts = BTreeMap::new();
    for _ in 0..times {
        if let Choice::Endpoint(endpoint) = chooser.choose(pool, choice_request, &mut rng) {
            *counts.entry(endpoint.id.clone()).or_default() += 1;
        }
    }
    counts
}

/// An endpoint returns errors within milliseconds. It always looks empty, so choosing by load sends
/// it most of the work, and most callers get an error.
#[test]
fn fast_failing_endpoint_attracts_no_load() {
    let pool = pool(9);
    let mut health = Health::new(HealthRule::default());
    health.tick(secs(0), &pool);
    for endpoint in pool.endpoints() {
        endpoint.report(
            &LoadReport {
                running: SLOTS / 2,
                slots: SLOTS,
                ..LoadReport::default()
            },
            false,
        );
    }
    let failing = pool.get("4").expect("the endpoint is in the pool");
    failing.report(
        &LoadReport {
            slots: SLOTS,
            ..LoadReport::default()
        },
        false,
    );
    // Nearly twice its share: it is chosen whenever it is sampled.
    assert!(count_choices(&pool, &ChoiceRequest::default(), 900)["4"] > 150);
    for _ in 0..3 {
        health.observe(secs(1), failing, &AttemptResult::Failed);
    }
    let counts = count_choices(&pool, &ChoiceRequest::default(), 900)
        .get("4")
        .copied();
    assert!(counts.unwrap_or_default() < 30, "{counts:?}");
}

/// One endpoint is ten times slower. Its share falls within seconds and returns when it has
/// recovered; without a minimum share the recovery would not be noticed.
#[test]
fn slow_endpoint_is_ejected_gradually_and_recovers() {
    let pool = pool(9);
    let mut health = Health::new(HealthRule::default());
    let slow = pool.get("4").expect("the endpoint is in the pool");
    let mut shares = Vec::new();
    for second in 0..30 {
        for endpoint in pool.endpoints() {
            let slowed = endpoint.id == slow.id && second < 10;
            for _ in 0..8 {
                health.observe(
                    secs(second),
                    endpoint,
                    &answered(if slowed { 1_000 } else { 100 }),
                );
            }
        }
        health.tick(secs(second), &pool);
        shares.push(slow.share());
    }
    assert!(shares[2] > 100, "reduced too fast: {shares:?}");
    assert_eq!(shares[9], 20, "{shares:?}");
    assert_eq!(shares[29], 1_000, "{shares:?}");
    let others = pool.endpoints().iter().filter(|e| e.id != slow.id);
    assert!(others.into_iter().all(|e| e.share() == 1_000));
}

/// Every endpoint fails at the same time: the cause is a bad request or this router's own link. If
/// all were ejected, no request would be served afterwards.
#[test]
fn at_most_half_of_the_pool_is_ejected() {
    let pool = pool(9);
    let mut health = Health::new(HealthRule::default());
    health.tick(secs(0), &pool);
    for endpoint in pool.endpoints() {
        for _ in 0..20 {
            health.observe(secs(1), endpoint, &AttemptResult::Failed);
        }
    }
    health.tick(secs(2), &pool);
    let whole = pool.endpoints().iter().filter(|e| e.share() == 1_000);
    assert!(whole.count() >= 5);
}

/// A failing endpoint answers one of its few requests. Its share must not return after a single
/// good answer, and must return in full once the endpoint has recovered.
#[test]
fn ejected_endpoint_returns_only_when_it_has_recovered() {
    let pool = pool(9);
    let mut health = Health::new(HealthRule::default());
    health.tick(secs(0), &pool);
    let endpoint = pool.get("4").expect("the endpoint is in the pool");
    for _ in 0..8 {
        health.observe(secs(1), endpoint, &AttemptResult::Failed);
    }
    assert_eq!(endpoint.share(), 20);
    let mut shares = Vec::new();
    for second in 2..14 {
        // It fails until the fifth second, except for one answer.
        let succeeds = second == 3 || second >= 5;
        let ended = if succeeds {
            answered(100)
        } else {
            AttemptResult::Failed
        };
        health.observe(secs(second), endpoint, &ended);
        health.tick(secs(second), &pool);
        shares.push(endpoint.share());
    }
    assert_eq!(shares[..6], [20; 6], "{shares:?}");
    assert_eq!(shares.last(), Some(&1_000), "{shares:?}");
}

/// An endpoint was gone and returns. As the emptiest of all it would be filled to its last slot at
/// once; its limit starts at half of the slots and increases with the load that it can serve.
#[test]
fn returning_endpoint_starts_with_half_of_its_slots() {
    let whole = pool(9);
    let mut health = Health::new(HealthRule::default());
    health.tick(secs(0), &whole);
    let full = LoadReport {
        running: SLOTS,
        slots: SLOTS,
        tokens_per_second: 1_000_000,
        ..LoadReport::default()
    };
    let endpoint = &whole.endpoints()[0];
    for second in 1..60 {
        health.report(secs(second), endpoint, &full);
    }
    assert_eq!(endpoint.limit(), SLOTS);
    health.tick(secs(60), &Pool::new(whole.endpoints()[1..].to_vec()));
    health.tick(secs(61), &whole);
    let mut limits = Vec::new();
    for second in 61..66 {
        health.report(secs(second), endpoint, &full);
        limits.push(endpoint.limit());
    }
    assert_eq!(limits, [16, 17, 18, 19, 20]);
}

/// A leaving endpoint is the emptiest and holds the prompt's prefix, and all others are full. New
/// work there would be cut off.
#[test]
fn leaving_endpoint_is_never_chosen() {
    let pool = pool(3);
    let report = |running, leaving| LoadReport {
        running,
        slots: SLOTS,
        leaving,
        ..LoadReport::default()
    };
    pool.endpoints()[0].report(&report(0, true), false);
    pool.endpoints()[1].report(&report(2 * SLOTS, false), false);
    pool.endpoints()[2].report(&report(2 * SLOTS, false), false);
    for endpoint in pool.endpoints() {
        endpoint.start();
    }
    let cached = [("0".into(), 10_000)];
    let choice_request = ChoiceRequest {
        prompt: 10_000,
        cached: &cached,
        avoid: &[],
    };
    assert_eq!(count_choices(&pool, &choice_request, 1_000).get("0"), None);
}

/// A long cached prefix outweighs a fuller endpoint, a short one doesn't.
#[test]
fn cached_prefix_counts_only_while_it_saves_time() {
    let pool = pool(3);
    for (endpoint, running) in pool.endpoints().iter().zip([24, 8, 8]) {
        endpoint.report(
            &LoadReport {
                running,
                slots: SLOTS,
                ..LoadReport::default()
            },
            false,
        );
    }
    let chosen = |held| {
        let cached = [("0".into(), held)];
        let choice_request = ChoiceRequest {
            prompt: 8_000,
            cached: &cached,
            avoid: &[],
        };
        count_choices(&pool, &choice_request, 100)
            .get("0")
            .copied()
            .unwrap_or_default()
    };
    assert_eq!(chosen(6_000), 100);
    assert_eq!(chosen(500), 0);
}

/// A whole zone is lost and the list of instances lags. A retry at another endpoint of that zone
/// fails again, until all attempts are used up.
#[test]
fn retry_avoids_the_zone_that_failed() {
    let pool = pool(9);
    let avoid = ["0".into()];
    let choice_request = ChoiceRequest {
        avoid: &avoid,
        ..ChoiceRequest::default()
    };
    let counts = count_choices(&pool, &choice_request, 500);
    let same_zone = counts.iter().filter(|(id, _)| ["3", "6"].contains(&&***id));
    let times: usize = same_zone.map(|(_, times)| times).sum();
    // It is chosen only if all samples fall into that zone.
    assert!(times < 5, "{counts:?}");
}

/// An engine has slots for 64 runs but serves only 30 in time. With every slot in use all callers
/// get late tokens; a limit with a cooldown between cuts settles near 30.
#[test]
fn limit_settles_where_tokens_are_in_time() {
    let rule = LimitRule::default();
    let mut limit = Limit::new(&rule, secs(0), 64);
    let mut limits_seen = Vec::new();
    for half_seconds in 1..400 {
        let running = limit.value();
        // A step takes 16 ms and 1.2 ms for each run: 52 ms at 30 runs.
        let step = 0.016 + 0.001_2 * f64::from(running);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let load = LoadReport {
            running,
            slots: 64,
            tokens_per_second: (f64::from(running) / step) as u32,
            ..LoadReport::default()
        };
        limit.apply_report(
            &rule,
            Duration::from_millis(500) * half_seconds,
            &load,
            running,
        );
        limits_seen.push(limit.value());
    }
    let settled = &limits_seen[100..];
    let (least, most) = (settled.iter().min(), settled.iter().max());
    assert!(
        least >= Some(&22) && most <= Some(&38),
        "{least:?} to {most:?}"
    );
}
