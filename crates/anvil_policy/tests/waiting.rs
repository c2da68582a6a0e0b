//! Who gets the next turn.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use proptest::prelude::*;

const LATE: Now = Duration::from_hours(1);

fn ticket(organisation: &str, service: u64) -> Ticket {
    Ticket {
        organisation: organisation.into(),
        weight: 1,
        class: WorkClass::Interactive,
        prompt: 100,
        service: Duration::from_secs(service),
        deadline: LATE,
    }
}

fn push(waiting: &mut WaitQueue, ticket: Ticket) -> WaiterId {
    waiting.push(Duration::ZERO, ticket, LATE, LATE)
}

fn turns(waiting: &mut WaitQueue, count: usize) -> BTreeMap<OrganisationId, usize> {
    let mut turns = BTreeMap::new();
    for _ in 0..count {
        let waiter = waiting.pop(Duration::ZERO).expect("work waits");
        *turns.entry(waiter.ticket.organisation).or_default() += 1;
    }
    turns
}

/// A large organisation sends 180 requests, then nine small ones send two each. In order of
/// arrival the small ones would wait for all 180. Cause: one queue for all.
#[test]
fn one_organisation_with_most_of_the_load_holds_nobody_up() {
    let mut waiting = WaitQueue::default();
    for _ in 0..180 {
        push(&mut waiting, ticket("large", 5));
    }
    for small in 0..9 {
        push(&mut waiting, ticket(&format!("small-{small}"), 5));
        push(&mut waiting, ticket(&format!("small-{small}"), 5));
    }
    let turns = turns(&mut waiting, 22);
    let small: usize = turns
        .iter()
        .filter(|(o, _)| &***o != "large")
        .map(|(_, n)| n)
        .sum();
    assert_eq!(small, 18, "{turns:?}");
}

/// An organisation that pays for three shares sees no more turns than one that pays for one.
/// Cause: weights that are not used.
#[test]
fn turns_follow_the_weights() {
    let mut waiting = WaitQueue::default();
    for _ in 0..100 {
        push(&mut waiting, ticket("one", 5));
        let heavy = Ticket {
            weight: 3,
            ..ticket("three", 5)
        };
        push(&mut waiting, heavy);
    }
    let turns = turns(&mut waiting, 80);
    assert!((59..=61).contains(&turns["three"]), "{turns:?}");
}

/// A customer on the phone asks while forty long histories wait; later the questions never stop
/// and the histories would never run. Cause: a single queue, or a strict priority.
#[test]
fn questions_go_before_histories_and_histories_are_never_starved() {
    let mut waiting = WaitQueue::default();
    for _ in 0..40 {
        let history = Ticket {
            class: WorkClass::Batch,
            prompt: 12_000,
            ..ticket("workshop", 30)
        };
        push(&mut waiting, history);
    }
    let question = push(&mut waiting, ticket("counter", 5));
    let first_two = [(); 2].map(|()| waiting.pop(Duration::ZERO).expect("waits").id);
    assert!(first_two.contains(&question));

    let mut histories = 0;
    for _ in 0..400 {
        push(&mut waiting, ticket("counter", 5));
        let next = waiting.pop(Duration::ZERO).expect("waits");
        histories += usize::from(next.ticket.class == WorkClass::Batch);
    }
    // A thirteenth of the slot time, in runs six times as long.
    assert!((4..=6).contains(&histories), "{histories}");
}

/// Two requests of one clerk wait, the later one with the nearer deadline. In order of arrival
/// it misses its deadline although both could be served.
#[test]
fn the_earliest_deadline_is_first_inside_an_organisation() {
    let mut waiting = WaitQueue::default();
    push(&mut waiting, ticket("mombasa", 5));
    let near = Ticket {
        deadline: Duration::from_secs(20),
        ..ticket("mombasa", 5)
    };
    let near = push(&mut waiting, near);
    assert_eq!(waiting.pop(Duration::ZERO).map(|w| w.id), Some(near));
}

/// Work was promised a turn within a second; afterwards others with a better right come without
/// end. Fair shares alone would push it past its promise.
#[test]
fn a_promise_goes_before_fair_shares() {
    let mut waiting = WaitQueue::default();
    push(&mut waiting, ticket("large", 60));
    waiting.pop(Duration::ZERO).expect("waits");
    for _ in 0..10 {
        push(&mut waiting, ticket("small", 1));
    }
    let soon = Duration::from_secs(1);
    let promised = waiting.push(Duration::ZERO, ticket("large", 60), soon, LATE);
    let early = waiting.pop(Duration::from_millis(800));
    assert_eq!(early.map(|w| w.ticket.organisation), Some("small".into()));
    let now = Duration::from_millis(880);
    assert_eq!(waiting.pop(now).map(|w| w.id), Some(promised));
}

proptest! {
    /// Whatever comes, goes and is cancelled in whatever order: everything that was let in comes
    /// out exactly once, and the backlog is nothing at the end.
    #[test]
    fn nothing_is_lost_or_doubled(steps in prop::collection::vec((0_u8..4, 0_u8..5, 1_u64..40), 1..200)) {
        let mut waiting = WaitQueue::default();
        let mut inside = std::collections::BTreeSet::new();
        for (what, who, service) in steps {
            if what < 2 {
                inside.insert(push(&mut waiting, ticket(&format!("{who}"), service)));
            } else if what == 2 {
                let gone = waiting.pop(Duration::ZERO).map(|w| w.id);
                prop_assert_eq!(gone.is_some(), !inside.is_empty());
                prop_assert!(gone.is_none_or(|id| inside.remove(&id)));
            } else if let Some(id) = inside.pop_first() {
                prop_assert!(waiting.remove(id).is_some());
                prop_assert!(waiting.remove(id).is_none());
            }
            prop_assert_eq!(waiting.len(), inside.len());
        }
        while let Some(waiter) = waiting.pop(Duration::ZERO) {
            prop_assert!(inside.remove(&waiter.id));
        }
        prop_assert!(inside.is_empty());
        prop_assert_eq!(waiting.backlog(Lane::Short, &"0".into()), (0, 0));
    }
}
