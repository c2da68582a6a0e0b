//! Who is let in, who is turned away, and what they are told.

use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

fn ticket(now: Now, organisation: &str, timeout: u64) -> Ticket {
    Ticket {
        organisation: organisation.into(),
        weight: 1,
        class: WorkClass::Interactive,
        prompt: 100,
        service: Duration::from_secs(1),
        deadline: now + Duration::from_secs(timeout),
    }
}

/// Ten slots that are all taken.
fn busy() -> Gate {
    let mut gate = Gate::new(AdmissionRule::default()).with_limit(10);
    for _ in 0..10 {
        let verdict = gate.offer(Duration::ZERO, ticket(Duration::ZERO, "first", 60));
        assert_eq!(verdict, Verdict::Go);
    }
    gate
}

/// Fills the queue with one organisation's work and gives the first refusal.
fn flood(gate: &mut Gate, organisation: &str, timeout: u64) -> (usize, Refusal) {
    for let_in in 0..100_000 {
        let verdict = gate.offer(
            Duration::ZERO,
            ticket(Duration::ZERO, organisation, timeout),
        );
        if let Verdict::Refuse(refusal) = verdict {
            return (let_in, refusal);
        }
    }
    panic!("the queue has no bound");
}

/// A caller with eleven seconds left stands behind thirty seconds of work. Held in the queue it
/// would hear of its failure when it no longer helps. Cause: admission by length.
#[test]
fn who_cannot_finish_in_time_is_told_at_once_and_when_to_come_back() {
    let mut gate = busy();
    let (let_in, refusal) = flood(&mut gate, "mombasa", 11);
    // Ten seconds of wait over ten slots is a hundred of these, less the caution of 1.33.
    assert!((70..=80).contains(&let_in), "{let_in}");
    assert_eq!(refusal.reason, Reason::DeadlineTooClose);
    let after = refusal.retry_after.expect("a time to come back");
    assert!((250..2_000).contains(&after.as_millis()), "{after:?}");
}

/// The time to come back is true: after it, with nobody else arriving, the same request is let
/// in.
#[test]
fn who_comes_back_when_told_is_let_in() {
    let mut gate = busy();
    let (_, refusal) = flood(&mut gate, "mombasa", 11);
    let after = refusal.retry_after.expect("a time to come back");
    // Ten slots end ten runs a second.
    let ended = usize::try_from(after.as_millis() / 100).expect("small");
    for _ in 0..ended.max(1) {
        gate.finished();
        assert!(gate.next(after).is_some());
    }
    let verdict = gate.offer(after, ticket(after, "mombasa", 11));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
}

/// A request whose own service takes longer than its deadline leaves can't be helped by waiting;
/// no time to come back is made up for it.
#[test]
fn what_can_never_finish_gets_no_time_to_come_back() {
    let mut gate = Gate::new(AdmissionRule::default()).with_limit(10);
    let mut long = ticket(Duration::ZERO, "mombasa", 5);
    long.service = Duration::from_secs(9);
    let refusal = Refusal::new(Reason::DeadlineTooClose);
    assert_eq!(gate.offer(Duration::ZERO, long), Verdict::Refuse(refusal));
}

/// One organisation floods the queue until it is refused; then another one's clerk asks a single
/// question and is refused, too. Cause: a bound that all share.
#[test]
fn a_flood_of_one_leaves_room_for_the_others() {
    let mut gate = busy();
    let (alone, _) = flood(&mut gate, "large", 3_600);
    let verdict = gate.offer(Duration::ZERO, ticket(Duration::ZERO, "small", 3_600));
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    // Alone it takes half of thirty seconds, a second one a third of the rest and so on.
    let (second, _) = flood(&mut gate, "other", 3_600);
    assert!(second > alone / 3, "{alone} then {second}");
}

/// Work was let in for ten slots, then half of the endpoints are lost. The wait doubles. What was
/// let in is served late rather than dropped, as long as its deadline allows.
#[test]
fn what_was_let_in_is_served_when_capacity_falls() {
    let mut gate = busy();
    let (let_in, _) = flood(&mut gate, "mombasa", 120);
    let mut served = 0;
    for tick in 1..=600 {
        let now = Duration::from_millis(200) * tick;
        assert_eq!(gate.expired(now), None, "dropped at {now:?}");
        gate.set_limit(5);
        gate.finished();
        served += usize::from(gate.next(now).is_some());
    }
    assert_eq!(served, let_in);
}

/// A waiting caller's deadline can no longer be met: it is answered in that moment, not when the
/// deadline comes, and with a time to come back.
#[test]
fn who_is_given_up_on_hears_it_at_once() {
    let mut gate = busy();
    let offered = gate.offer(Duration::ZERO, ticket(Duration::ZERO, "mombasa", 4));
    assert!(matches!(offered, Verdict::Wait(_)));
    // Three seconds are its latest start: four to the deadline, one of service.
    assert_eq!(gate.expired(Duration::from_millis(2_990)), None);
    let (_, refusal) = gate
        .expired(Duration::from_millis(3_010))
        .expect("can't finish any more");
    assert!(refusal.retry_after.is_some());
    assert_eq!(gate.waiting(), 0);
}

/// The queue has not been empty for half a minute: this is no burst. A longer queue would only
/// make everybody wait half a minute for the same number of answers.
#[test]
fn lasting_saturation_shortens_the_queue() {
    let mut gate = busy();
    let (burst, _) = flood(&mut gate, "mombasa", 3_600);
    let later = Duration::from_secs(31);
    while gate.waiting() > burst / 2 {
        gate.finished();
        gate.next(later);
    }
    let verdict = gate.offer(later, ticket(later, "mombasa", 3_600));
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
}
