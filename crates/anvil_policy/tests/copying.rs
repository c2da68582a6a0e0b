//! Copying what another engine has read, without a network.

use anvil_policy::copying::{Copying, Lacking, source};
use anvil_policy::engine::EngineRule;

/// An engine reads 31 tokens a millisecond. Its link carries 46 MB in that time.
const LINK_MBPS: f64 = 370_000.0;

/// Where a token takes 18 KB, a link carries eighty times what an engine reads; where it takes
/// 1.5 MB, as much as that. Only the first is worth a link that all requests share.
#[test]
fn copying_is_done_only_where_it_is_much_faster_than_reading() {
    let rule = EngineRule::default();
    assert!(Copying::between(18_432.0, LINK_MBPS, &rule).is_some());
    assert!(Copying::between(1.5e6, LINK_MBPS, &rule).is_none());
}

/// A configuration that tells no size of a token or no link says nothing of copying.
#[test]
fn nothing_is_copied_where_nothing_is_told() {
    let rule = EngineRule::default();
    assert!(Copying::between(0.0, 0.0, &rule).is_none());
    assert!(Copying::between(18_432.0, 0.0, &rule).is_none());
    assert!(Copying::between(0.0, LINK_MBPS, &rule).is_none());
}

/// One subject gets much of the traffic and its home has a queue. Another engine copies the 5,400
/// shared tokens, so that nearly only the request's own 6,600 tokens are read there.
#[test]
fn a_hot_subject_costs_its_second_engine_little() {
    let rule = EngineRule::default();
    let copying = Copying::between(18_432.0, LINK_MBPS, &rule).expect("much faster");
    let (all, own) = (12_000, 6_600);
    assert!(Copying::is_worthwhile(all, own));
    let left = copying.as_if_missing(all, own, &rule);
    assert!((own..own + 200).contains(&left), "{left}");
}

/// Two engines lack nearly the same: a copy would take longer than a step.
#[test]
fn a_few_tokens_are_read_and_not_copied() {
    let rule = EngineRule::default();
    let copying = Copying::between(18_432.0, LINK_MBPS, &rule).expect("much faster");
    assert!(!Copying::is_worthwhile(1_000, 900));
    assert_eq!(copying.as_if_missing(1_000, 900, &rule), 1_000);
    assert_eq!(copying.as_if_missing(900, 1_000, &rule), 900);
}

/// The home of a subject was replaced by a new engine, which holds nothing. The engine that this router sent the
/// subject to before holds all of it, so the new home copies from there, though it counts as a holder itself.
#[test]
fn a_new_home_copies_from_the_engine_that_was_used_before() {
    let new_home = Lacking {
        unsent: 12_000,
        believed: 6_600,
    };
    let used = Lacking {
        unsent: 6_600,
        believed: 6_600,
    };
    let never = Lacking {
        unsent: 12_000,
        believed: 12_000,
    };
    let others = [("never", never), ("used", used)];
    assert_eq!(source(new_home, &others), Some(("used", 6_600)));
}

/// A router that has sent a subject nowhere yet finds its home full. The second engine copies from the home.
#[test]
fn without_a_use_of_ones_own_the_home_is_the_source() {
    let never = Lacking {
        unsent: 12_000,
        believed: 12_000,
    };
    let home = Lacking {
        unsent: 12_000,
        believed: 6_600,
    };
    let others = [("other", never), ("home", home)];
    assert_eq!(source(never, &others), Some(("home", 6_600)));
    assert_eq!(source(home, &[("other", never)]), None);
}
