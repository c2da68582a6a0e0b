//! What a router believes about endpoints that return from a crash, a partition or an evacuation.

use std::time::Duration;

use anvil_policy::warm_up::{WarmUpRule, WarmUpView, may_take_part};

const RULE: WarmUpRule = WarmUpRule {
    duration: Duration::from_secs(3),
    list_lag: Duration::from_millis(800),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against an endpoint that counts as warm because the list has not been read again since it
/// started, and against one that counts as warming up for ever.
#[test]
fn listed_warm_up_lasts_until_a_list_states_otherwise_or_its_duration_is_over() {
    let mut view = WarmUpView::default();
    assert!(!view.is_warming_up(&RULE, ms(0)));
    view.record_listed(ms(1_000), RULE.list_lag, true);
    assert!(view.is_warming_up(&RULE, ms(3_999)));
    assert!(!view.is_warming_up(&RULE, ms(4_000)));
    view.record_listed(ms(5_000), RULE.list_lag, true);
    view.record_listed(ms(6_000), RULE.list_lag, false);
    assert!(!view.is_warming_up(&RULE, ms(6_001)));
}

/// Guards against a flood at an endpoint that crashed and returned under the same id: the list still
/// states that it is warm.
#[test]
fn endpoint_that_was_unreachable_may_be_warming_up() {
    let mut view = WarmUpView::default();
    view.record_unreachable();
    // A list from before its return says nothing about it.
    view.record_listed(ms(2_000), RULE.list_lag, false);
    assert!(view.is_warming_up(&RULE, ms(9_000)));
    view.record_answer(ms(10_000));
    view.record_listed(ms(10_700), RULE.list_lag, false);
    assert!(view.is_warming_up(&RULE, ms(10_701)), "the list lags");
    view.record_listed(ms(10_800), RULE.list_lag, false);
    assert!(!view.is_warming_up(&RULE, ms(10_801)));
}

/// Guards against a flood at an endpoint that crashed and returned between two lists, before this
/// router tried to reach it, and against its early close hiding that it is still unreachable.
#[test]
fn endpoint_that_closed_its_idle_connections_may_be_warming_up() {
    let mut view = WarmUpView::default();
    view.record_early_close(ms(1_000));
    assert!(view.is_warming_up(&RULE, ms(1_001)));
    view.record_listed(ms(1_700), RULE.list_lag, false);
    assert!(view.is_warming_up(&RULE, ms(1_701)), "the list lags");
    view.record_listed(ms(1_800), RULE.list_lag, false);
    assert!(!view.is_warming_up(&RULE, ms(1_801)));
    view.record_unreachable();
    view.record_early_close(ms(2_000));
    view.record_listed(ms(9_000), RULE.list_lag, false);
    assert!(view.is_warming_up(&RULE, ms(9_001)));
}

/// Guards against a flood at endpoints of a zone that was taken back, and against a zone that stays
/// limited while the list can't be read.
#[test]
fn endpoints_of_a_returned_zone_may_be_warming_up() {
    let mut view = WarmUpView::default();
    view.record_zone_returned(ms(1_000));
    assert!(view.is_warming_up(&RULE, ms(1_001)));
    assert!(!view.is_warming_up(&RULE, ms(4_800)));
    view.record_zone_returned(ms(6_000));
    view.record_listed(ms(6_500), RULE.list_lag, false);
    assert!(view.is_warming_up(&RULE, ms(6_501)));
    view.record_listed(ms(6_900), RULE.list_lag, false);
    assert!(!view.is_warming_up(&RULE, ms(6_901)));
}

/// Guards against a router that believes it is alone: it has just started, or is cut off, and the
/// others divide the whole rate among themselves.
#[test]
fn router_that_is_not_counted_takes_no_part() {
    assert!(may_take_part(true, ms(500)));
    assert!(!may_take_part(true, ms(3_100)), "cut off");
    assert!(!may_take_part(false, ms(0)), "just started");
}
