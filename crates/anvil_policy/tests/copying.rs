//! Copying of cached prompt tokens between engines, without a network.

use anvil_policy::copying::{Copying, MissingTokens, source};
use anvil_policy::engine::EngineRule;

/// An engine prefills 31 tokens a millisecond. Its link carries 46 MB in that time.
const LINK_MBPS: f64 = 370_000.0;

/// With 18 KB a token, a link carries eighty times as many tokens as an engine prefills; with 1.5
/// MB a token, as many. Only the first is worth using links that all requests share.
#[test]
fn copying_is_used_only_if_much_faster_than_prefill() {
    let rule = EngineRule::default();
    assert!(Copying::between(18_432.0, LINK_MBPS, &rule).is_some());
    assert!(Copying::between(1.5e6, LINK_MBPS, &rule).is_none());
}

/// Nothing is copied if the configuration gives no token size or no link bandwidth.
#[test]
fn nothing_is_copied_without_token_size_or_bandwidth() {
    let rule = EngineRule::default();
    assert!(Copying::between(0.0, 0.0, &rule).is_none());
    assert!(Copying::between(18_432.0, 0.0, &rule).is_none());
    assert!(Copying::between(0.0, LINK_MBPS, &rule).is_none());
}

/// One shared prefix gets much of the traffic and its home has a queue. Another engine copies the
/// 5,400 shared tokens and prefills little more than the request's own 6,600 tokens.
#[test]
fn popular_prefix_costs_a_second_engine_little() {
    let rule = EngineRule::default();
    let copying =
        Copying::between(18_432.0, LINK_MBPS, &rule).expect("copying is much faster than prefill");
    let (all, own) = (12_000, 6_600);
    assert!(Copying::is_worthwhile(all, own));
    let left = copying.equivalent_missing(all, own, &rule);
    assert!((own..own + 200).contains(&left), "{left}");
}

/// Two engines lack nearly the same tokens: a copy would take longer than a step.
#[test]
fn few_tokens_are_prefilled_and_not_copied() {
    let rule = EngineRule::default();
    let copying =
        Copying::between(18_432.0, LINK_MBPS, &rule).expect("copying is much faster than prefill");
    assert!(!Copying::is_worthwhile(1_000, 900));
    assert_eq!(copying.equivalent_missing(1_000, 900, &rule), 1_000);
    assert_eq!(copying.equivalent_missing(900, 1_000, &rule), 900);
}

/// The home of a shared prefix was replaced by a new engine, which holds nothing. The engine that
/// this router sent the prefix to before still holds it, so the new home copies from there,
/// although it is itself assumed to hold the prefix.
#[test]
fn new_home_copies_from_the_engine_used_before() {
    let new_home = MissingTokens {
        by_own_requests: 12_000,
        with_home: 6_600,
    };
    let used = MissingTokens {
        by_own_requests: 6_600,
        with_home: 6_600,
    };
    let never = MissingTokens {
        by_own_requests: 12_000,
        with_home: 12_000,
    };
    let others = [("never", never), ("used", used)];
    assert_eq!(source(new_home, &others), Some(("used", 6_600)));
}

/// A router that has not sent a shared prefix anywhere yet finds its home full. The engine chosen
/// instead copies from the home.
#[test]
fn home_is_the_source_if_nothing_was_sent_yet() {
    let never = MissingTokens {
        by_own_requests: 12_000,
        with_home: 12_000,
    };
    let home = MissingTokens {
        by_own_requests: 12_000,
        with_home: 6_600,
    };
    let others = [("other", never), ("home", home)];
    assert_eq!(source(never, &others), Some(("home", 6_600)));
    assert_eq!(source(home, &[("other", never)]), None);
}
