//! Which requests are admitted, queued or refused, and with which retry time.

use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

fn ticket(now: Now, organisation: &str, timeout: u64) -> Ticket {
    Ticket {
        organisation: organisation.into(),
        route: None,
        weight: 1,
        class: WorkClass::Interactive,
        prompt: 100,
        service: Duration::from_secs(1),
        deadline: now + Duration::from_secs(timeout),
        priority: None,
    }
}

/// A gate with ten slots, all in use.
fn full_gate() -> AdmissionGate {
    let mut gate = AdmissionGate::new(AdmissionRule::default()).with_limit(10);
    for _ in 0..10 {
        let verdict = gate.offer(Duration::ZERO, ticket(Duration::ZERO, "first", 60));
        assert_eq!(verdict, AdmissionDecision::Run);
    }
    gate
}

/// Fills the queue with work of one organisation; returns how many requests were queued and the
/// first refusal.
fn fill_queue(gate: &mut AdmissionGate, organisation: &str, timeout: u64) -> (usize, Refusal) {
    for admitted in 0..100_000 {
        let verdict = gate.offer(
            Duration::ZERO,
            ticket(Duration::ZERO, organisation, timeout),
        );
        if let AdmissionDecision::Refuse(refusal) = verdict {
            return (admitted, refusal);
        }
    }
    panic!("the queue is not bounded");
}

/// A request with eleven seconds left arrives behind thirty seconds of queued work. With admission
/// by queue length it would be queued, and its caller would learn only at the deadline that it
/// failed.
#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once_with_a_retry_time() {
    let mut gate = full_gate();
    let (admitted, refusal) = fill_queue(&mut gate, "mombasa", 11);
    // Eleven seconds less one of service leave ten seconds of wait; over ten slots that is a
    // hundred of these requests, less the safety factor of 1.33.
    assert!((70..=80).contains(&admitted), "{admitted}");
    assert_eq!(refusal.reason, Reason::DeadlineTooClose);
    let after = refusal.retry_after.expect("a retry time");
    assert!((250..2_000).contains(&after.as_millis()), "{after:?}");
}

/// The retry time in a refusal is accurate: after it, with no other arrivals, the same request is
/// admitted.
#[test]
fn retry_after_the_given_time_is_admitted() {
    let mut gate = full_gate();
    let (_, refusal) = fill_queue(&mut gate, "mombasa", 11);
    let after = refusal.retry_after.expect("a retry time");
    // Ten slots end ten runs a second.
    let ended_runs = usize::try_from(after.as_millis() / 100).expect("a small number");
    for _ in 0..ended_runs.max(1) {
        gate.finished();
        assert!(gate.next(after).is_some());
    }
    let verdict = gate.offer(after, ticket(after, "mombasa", 11));
    assert!(matches!(verdict, AdmissionDecision::Wait(_)), "{verdict:?}");
}

/// A request whose service takes longer than its deadline allows can't succeed after any wait; its
/// refusal must not contain a retry time.
#[test]
fn refusal_has_no_retry_time_if_no_retry_can_succeed() {
    let mut gate = AdmissionGate::new(AdmissionRule::default()).with_limit(10);
    let mut long = ticket(Duration::ZERO, "mombasa", 5);
    long.service = Duration::from_secs(9);
    let refusal = Refusal::new(Reason::DeadlineTooClose);
    assert_eq!(
        gate.offer(Duration::ZERO, long),
        AdmissionDecision::Refuse(refusal)
    );
}

/// One organisation fills the queue until it is refused. With a bound shared by all organisations,
/// a single request of another organisation would be refused too.
#[test]
fn one_organisation_does_not_fill_the_queue_for_others() {
    let mut gate = full_gate();
    let (alone, _) = fill_queue(&mut gate, "large", 3_600);
    let verdict = gate.offer(Duration::ZERO, ticket(Duration::ZERO, "small", 3_600));
    assert!(matches!(verdict, AdmissionDecision::Wait(_)), "{verdict:?}");
    // Alone it takes half of thirty seconds, a second one a third of the rest and so on.
    let (second, _) = fill_queue(&mut gate, "other", 3_600);
    assert!(second > alone / 3, "{alone} then {second}");
}

/// Work is queued for ten slots, then half of the endpoints are lost and the wait doubles. Admitted
/// work must be served late rather than dropped, as long as its deadline allows.
#[test]
fn admitted_work_is_served_when_capacity_falls() {
    let mut gate = full_gate();
    let (admitted, _) = fill_queue(&mut gate, "mombasa", 120);
    let mut served = 0;
    for tick in 1..=600 {
        let now = Duration::from_millis(200) * tick;
        assert_eq!(gate.expired(now), None, "dropped at {now:?}");
        gate.set_limit(5);
        gate.finished();
        served += usize::from(gate.next(now).is_some());
    }
    assert_eq!(served, admitted);
}

/// A queued request can no longer meet its deadline. Its caller must be answered then, with a retry
/// time, and not at the deadline.
#[test]
fn queued_request_is_refused_as_soon_as_it_can_not_finish() {
    let mut gate = full_gate();
    let offered = gate.offer(Duration::ZERO, ticket(Duration::ZERO, "mombasa", 4));
    assert!(matches!(offered, AdmissionDecision::Wait(_)));
    // Its latest start is at three seconds: four to the deadline, less one of service.
    assert_eq!(gate.expired(Duration::from_millis(2_990)), None);
    let (_, refusal) = gate
        .expired(Duration::from_millis(3_010))
        .expect("the request can no longer finish in time");
    assert!(refusal.retry_after.is_some());
    assert_eq!(gate.waiting(), 0);
}

/// The queue has not been empty for half a minute, so this is no burst. A longer queue would only
/// make all callers wait half a minute for the same number of answers.
#[test]
fn sustained_saturation_shortens_the_queue() {
    let mut gate = full_gate();
    let (burst, _) = fill_queue(&mut gate, "mombasa", 3_600);
    let later = Duration::from_secs(31);
    while gate.waiting() > burst / 2 {
        gate.finished();
        gate.next(later);
    }
    let verdict = gate.offer(later, ticket(later, "mombasa", 3_600));
    assert!(
        matches!(verdict, AdmissionDecision::Refuse(_)),
        "{verdict:?}"
    );
}
