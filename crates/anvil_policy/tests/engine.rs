//! Placing prompts on engines, played without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::engine::{EndpointLoad, EngineRule, Prompt, home_rank};
use anvil_world::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 9;
const ROUTERS: usize = 8;
const SUBJECTS: u64 = 158;
const SHARED: Tokens = 6_300;
const OWN: Tokens = 2_890;

fn at(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// One router's choice, as a gateway makes it.
fn choose(
    now: Now,
    rule: &EngineRule,
    loads: &[EndpointLoad],
    prompt: &Prompt<'_>,
) -> (usize, Tokens) {
    let rank = |at: usize| prompt.subject().map(|s| home_rank(s, &format!("e{at}")));
    let home = (0..loads.len()).max_by_key(|at| rank(*at));
    let weighed = loads.iter().enumerate().map(|(at, load)| {
        let missing = load.missing(now, rule, prompt, Some(at) == home);
        (load.expected(now, rule, missing, 128), at, missing)
    });
    let (_, at, missing) = weighed.min().expect("an engine");
    (at, missing)
}

/// Long prompts about 158 subjects come to eight routers that know nothing of each other. Sent to
/// the least loaded engine, nearly every one has its 6,300 shared tokens read anew. By homes, most
/// find them kept.
#[test]
fn subjects_find_what_was_read_though_routers_do_not_talk() {
    let rule = EngineRule::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut routers = vec![vec![EndpointLoad::default(); ENGINES]; ROUTERS];
    let mut kept = vec![BTreeSet::new(); ENGINES];
    let (mut again, mut blind) = (0_u32, 0_u32);
    let asked = 2_000;
    for number in 0..asked {
        let now = at(number * 20);
        let subject = 1 + rng.random_range(0..SUBJECTS);
        let own = 1_000_000 + number;
        let parts = [(subject, SHARED), (own, OWN)];
        let prompt = Prompt { parts: &parts };
        let router = rng.random_range(0..ROUTERS);
        let loads = &mut routers[router];
        let (engine, missing) = choose(now, &rule, loads, &prompt);
        loads[engine].start(now, &rule, &prompt, missing);
        // Answered before the next one comes.
        loads[engine].read(missing);
        loads[engine].end();
        again += u32::from(!kept[engine].insert(subject));
        blind += u32::from(rng.random_range(0..ENGINES) == 0);
    }
    assert!(again > 1_750, "{again} of {asked} found their subject kept");
    assert!(blind < 300, "by chance alone");
}

/// One subject gets most of the traffic, and its home has a queue of prompts to read. From the
/// point where reading the shared part elsewhere is faster, requests go elsewhere.
#[test]
fn a_hot_subject_leaves_its_home_when_reading_elsewhere_is_faster() {
    let rule = EngineRule::default();
    let mut loads = vec![EndpointLoad::default(); ENGINES];
    let mut used = BTreeSet::new();
    for number in 0..40 {
        let parts = [(7, SHARED), (1_000 + number, OWN)];
        let prompt = Prompt { parts: &parts };
        let (engine, missing) = choose(at(number), &rule, &loads, &prompt);
        loads[engine].start(at(number), &rule, &prompt, missing);
        used.insert(engine);
    }
    assert!(used.len() > 1 && used.len() <= ENGINES, "{used:?}");
    let longest = loads.iter().map(|load| load.unread).max();
    let all: Tokens = loads.iter().map(|load| load.unread).sum();
    assert!(longest.unwrap_or(0) < all / 2, "{longest:?} of {all}");
}

/// An endpoint fails. It is passed over for a moment, longer with each failure and never for more
/// than two seconds, or one that is back would stay empty while the others are full.
#[test]
fn a_failing_endpoint_is_passed_over_and_tried_again() {
    let mut load = EndpointLoad::default();
    load.failed(at(0));
    assert!(load.is_shut(at(200)) && !load.is_shut(at(251)));
    for _ in 0..20 {
        load.failed(at(1_000));
    }
    assert!(load.is_shut(at(2_900)) && !load.is_shut(at(3_001)));
    load.answered(false);
    assert!(!load.is_shut(at(2_000)));
}

/// Reports lag, and every router reads the same ones. What this router sent since the report
/// counts beside it, or all send to the one that looked empty.
#[test]
fn what_was_sent_since_a_report_counts() {
    let rule = EngineRule::default();
    let mut load = EndpointLoad::default();
    load.heard(at(0), 10, 0, 128);
    assert_eq!(load.busy(at(10)), 10);
    let parts = [(1, 500)];
    let prompt = Prompt { parts: &parts };
    for _ in 0..5 {
        load.start(at(10), &rule, &prompt, 500);
    }
    assert_eq!(load.busy(at(20)), 15);
    let empty = EndpointLoad::default();
    assert!(load.expected(at(20), &rule, 500, 128) > empty.expected(at(20), &rule, 500, 128));
    // An old report says nothing any more; the own count stays.
    assert_eq!(load.busy(at(5_000)), 5);
}

/// What is remembered of an engine's cache is bounded, whatever is sent.
#[test]
fn memory_is_bounded() {
    let rule = EngineRule {
        max_parts: 16,
        ..EngineRule::default()
    };
    let mut load = EndpointLoad::default();
    for part in 0..10_000 {
        let parts = [(part, 10)];
        load.start(at(part), &rule, &Prompt { parts: &parts }, 10);
    }
    let old = [(0, 10)];
    let new = [(9_999, 10)];
    assert_eq!(
        load.missing(at(9_999), &rule, &Prompt { parts: &old }, false),
        10
    );
    assert_eq!(
        load.missing(at(9_999), &rule, &Prompt { parts: &new }, false),
        0
    );
}

/// One endpoint fails four answers in ten while its health is good, the others fail one in seven by
/// nature of the requests. It is not shut, but it is set back far enough to be chosen less.
#[test]
fn an_endpoint_that_fails_more_often_is_set_back() {
    let step = Duration::from_millis(40);
    let played = |bad: fn(u32) -> bool| {
        let mut load = EndpointLoad::default();
        for number in 0..100 {
            load.answered(bad(number));
        }
        assert!(!load.is_shut(at(0)));
        load.set_back(step)
    };
    let grey = played(|n| n % 5 < 2);
    let usual = played(|n| n % 7 == 0);
    assert!(
        grey > usual + Duration::from_millis(5),
        "{grey:?} {usual:?}"
    );
}
