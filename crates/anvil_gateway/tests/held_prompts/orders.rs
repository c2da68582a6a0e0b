//! Single orders of events.

use std::time::Duration;

use anvil_wire::msg::HeldPromptRequest;

use crate::model::{CLIENT_TIME, Fate, Model, OUTPUT, PROMPT};

const CREDIT: u64 = 100_000;

/// Guards against a prompt that is charged for the lost attempt and for its retry.
#[test]
fn retry_at_another_router_is_charged_once() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    assert_eq!(
        model.routers[0].account.budget_status("co-op").reserved,
        PROMPT
    );
    model.deliver_all();
    model.serve(1, 1);
    model.deliver_all();
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, PROMPT + OUTPUT);
    assert_eq!(model.routers[0].account.budget_status("co-op").reserved, 0);
}

/// Guards against the same for a client that comes back to its router.
#[test]
fn retry_at_the_same_router_is_charged_once() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.serve(0, 1);
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, PROMPT + OUTPUT);
}

/// Guards against a prompt that nobody is charged for, as another caller's equal request counts as the
/// retry of a lost one, at the same router or at another.
#[test]
fn equal_request_of_another_caller_is_charged_beside_a_lost_one() {
    for router in [0, 1] {
        let mut model = Model::new(CREDIT);
        model.lose(0, 1);
        model.deliver_all();
        model.advance(Duration::from_millis(400));
        let mut other = model.start_as_another_caller(router, 1);
        model.make_final(&mut other);
        other.progress.record_answered();
        model.end(other);
        model.deliver_all();
        model.advance(CLIENT_TIME);
        assert_eq!(model.charged, 2 * PROMPT + OUTPUT);
    }
}

/// Guards against a report that is made only at the end of a long stream, when the hold is over.
#[test]
fn retry_that_runs_when_the_notice_comes_is_charged_once() {
    let mut model = Model::new(CREDIT);
    let mut retry = model.start(1, 1);
    model.make_final(&mut retry);
    model.lose(0, 1);
    model.deliver_all();
    retry.progress.record_answered();
    model.end(retry);
    model.deliver_all();
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, PROMPT + OUTPUT);
}

/// Guards against charges that vanish: two retries of one lost attempt are two charges.
#[test]
fn concurrent_retries_are_each_charged() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.deliver_all();
    let mut first = model.start(1, 1);
    let mut second = model.start(2, 1);
    model.make_final(&mut first);
    model.make_final(&mut second);
    model.deliver_all();
    for mut retry in [first, second] {
        retry.progress.record_answered();
        model.end(retry);
    }
    model.deliver_all();
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, 2 * (PROMPT + OUTPUT));
    assert_eq!(model.count(1, Fate::Released), 1);
}

/// Guards against two lost attempts of a request that release each other.
#[test]
fn concurrent_attempts_that_are_both_lost_are_not_both_released() {
    let mut model = Model::new(CREDIT);
    let mut first = model.start(0, 1);
    let mut second = model.start(1, 1);
    model.make_final(&mut first);
    model.make_final(&mut second);
    model.end(first);
    model.deliver_all();
    model.end(second);
    for _ in 0..3 {
        model.deliver_all();
    }
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, PROMPT);
}

/// Guards against a release for a retry that did not run.
#[test]
fn retry_that_did_not_run_releases_nothing() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.deliver_all();
    let mut retry = model.start(1, 1);
    retry.progress.record_not_run();
    model.end(retry);
    model.deliver_all();
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, PROMPT);
    assert_eq!(model.count(1, Fate::Charged), 1);
}

/// Guards against a release after the wait, and against a hold that never ends.
#[test]
fn both_attempts_are_charged_if_the_notice_is_lost_or_the_report_is_late() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.send();
    model.messages.clear();
    model.serve(1, 1);
    model.lose(0, 2);
    model.deliver_all();
    model.serve(1, 2);
    model.advance(CLIENT_TIME);
    model.deliver_all();
    assert_eq!(model.charged, 2 * (2 * PROMPT + OUTPUT));
}

/// Guards against grants that a stopping or fenced router keeps, and against a release by a report
/// that it receives afterwards.
#[test]
fn router_that_stops_or_is_fenced_charges_what_it_holds() {
    for end in [Model::stop, Model::fence] {
        let mut model = Model::new(CREDIT);
        model.lose(0, 1);
        model.deliver_all();
        end(&mut model, 0);
        model.serve(1, 1);
        model.deliver_all();
        assert_eq!(model.charged, 2 * PROMPT + OUTPUT);
        let mut later = Model::new(CREDIT);
        let running = later.start(0, 1);
        end(&mut later, 0);
        later.end(running);
        assert_eq!(later.charged, PROMPT);
    }
}

/// Guards against a planned stop that can't return its grants.
#[test]
fn stopping_router_returns_all_grants() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.stop(0);
    model.exchange(0);
    assert!(model.routers[0].account.is_empty());
    assert_eq!(model.budget().billed, PROMPT);
    assert_eq!(model.budget().outstanding(), 0);
}

/// Leaves nothing for another router, so that its shortage recalls the grants of the first one.
fn recall_grants(model: &mut Model) {
    while model.try_start(1, 2).is_some() {}
    model.exchange(0);
}

/// Guards against tokens that other routers need and that are held in a recalled grant.
#[test]
fn prompts_of_recalled_grants_are_charged() {
    let mut model = Model::new(CREDIT);
    let running = model.start(0, 3);
    model.lose(0, 1);
    recall_grants(&mut model);
    assert_eq!(model.count(1, Fate::Charged), 1);
    model.end(running);
    assert_eq!(model.count(3, Fate::Charged), 1);
    model.exchange(0);
    assert_eq!(model.routers[0].account.budget_status("co-op").reserved, 0);
}

/// Guards against a late report that means an attempt of an earlier process under the same id,
/// which had the same number.
#[test]
fn restarted_router_ignores_reports_of_its_earlier_incarnation() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.deliver_all();
    model.serve(1, 1);
    model.send();
    model.restart(0);
    model.lose(0, 1);
    model.deliver_all();
    model.advance(CLIENT_TIME);
    assert_eq!(model.charged, 2 * PROMPT + OUTPUT);
}

/// Guards against a second release by a message that is delivered twice, and against a second
/// report of the same charge.
#[test]
fn duplicated_messages_have_no_effect() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.send();
    let notices = std::mem::take(&mut model.messages);
    for message in notices.iter().chain(&notices) {
        model.deliver(message.clone());
    }
    let mut retry = model.start(1, 1);
    model.make_final(&mut retry);
    model.send();
    let reports = std::mem::take(&mut model.messages);
    assert_eq!(reports.len(), 1);
    let HeldPromptRequest::Report { charges, .. } = &reports[0].1 else {
        panic!("{reports:?}");
    };
    assert_eq!(charges.len(), 1);
    for message in notices.iter().chain(&reports).chain(&reports) {
        model.deliver(message.clone());
    }
    retry.progress.record_answered();
    model.end(retry);
    model.deliver_all();
    assert_eq!(model.charged, PROMPT + OUTPUT);
    assert_eq!(model.count(1, Fate::Released), 1);
}

/// Guards against notices that are kept, and looked up at each event of each stream, long after the
/// last answer was lost.
#[test]
fn notices_are_dropped_with_the_end_of_the_hold() {
    let mut model = Model::new(CREDIT);
    model.lose(0, 1);
    model.deliver_all();
    assert!(!model.routers[1].prompts.is_idle());
    assert_eq!(
        model.routers[1].prompts.first_end(),
        Some(model.now + CLIENT_TIME)
    );
    model.advance(CLIENT_TIME);
    assert!(model.routers.iter().all(|router| router.prompts.is_idle()));
    assert_eq!(model.routers[1].prompts.first_end(), None);
}

/// Guards against costs while no answer is lost: no message, and nothing kept.
#[test]
fn nothing_is_sent_while_no_answer_is_lost() {
    let mut model = Model::new(CREDIT);
    for request in 0..20 {
        model.serve(request as usize % 3, request);
        let mut turned_away = model.start(0, request);
        turned_away.progress.record_not_run();
        model.end(turned_away);
    }
    model.advance(Duration::from_secs(1));
    model.send();
    assert_eq!(model.messages, []);
    assert!(model.routers.iter().all(|router| router.prompts.is_idle()));
}
