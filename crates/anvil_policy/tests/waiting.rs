//! Order in which queued requests are dispatched.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_policy::prelude::*;
use anvil_policy::waiting::{Priority, Urgency};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use proptest::prelude::*;

const LATE: Now = Duration::from_hours(1);

fn ticket(organisation: &str, service: u64) -> Ticket {
    Ticket {
        organisation: organisation.into(),
        route: None,
        weight: 1,
        class: WorkClass::Interactive,
        prompt: 100,
        service: Duration::from_secs(service),
        deadline: LATE,
        priority: None,
    }
}

fn push(queue: &mut WaitQueue, ticket: Ticket) -> WaiterId {
    queue.push(Duration::ZERO, ticket, LATE, LATE)
}

fn turns_by_organisation(queue: &mut WaitQueue, count: usize) -> BTreeMap<OrganisationId, usize> {
    let mut turns = BTreeMap::new();
    for _ in 0..count {
        let waiter = queue.pop(Duration::ZERO).expect("a queued request");
        *turns.entry(waiter.ticket.organisation).or_default() += 1;
    }
    turns
}

/// A large organisation sends 180 requests, then nine small ones send two each. In a single queue
/// by order of arrival the small ones would wait for all 180.
#[test]
fn organisation_with_most_of_the_load_does_not_delay_others() {
    let mut queue = WaitQueue::default();
    for _ in 0..180 {
        push(&mut queue, ticket("large", 5));
    }
    for small in 0..9 {
        push(&mut queue, ticket(&format!("small-{small}"), 5));
        push(&mut queue, ticket(&format!("small-{small}"), 5));
    }
    let turns = turns_by_organisation(&mut queue, 22);
    let small: usize = turns
        .iter()
        .filter(|(o, _)| &***o != "large")
        .map(|(_, n)| n)
        .sum();
    assert_eq!(small, 18, "{turns:?}");
}

/// Guards against weights that have no effect: an organisation with weight three gets three times
/// the turns of one with weight one.
#[test]
fn turns_are_proportional_to_weights() {
    let mut queue = WaitQueue::default();
    for _ in 0..100 {
        push(&mut queue, ticket("one", 5));
        let heavy = Ticket {
            weight: 3,
            ..ticket("three", 5)
        };
        push(&mut queue, heavy);
    }
    let turns = turns_by_organisation(&mut queue, 80);
    assert!((59..=61).contains(&turns["three"]), "{turns:?}");
}

/// Guards against new requests that get less than a fourth of the starts of their class, because starts
/// of a more urgent class come in between.
#[test]
fn new_requests_keep_their_share_beside_a_more_urgent_class() {
    let with_urgency = |class, is_new| Ticket {
        priority: Some(Priority {
            urgency: Urgency { class, is_new },
            target_start: LATE,
            start_by: LATE,
        }),
        ..ticket("co-op", 5)
    };
    let mut queue = WaitQueue::default();
    for _ in 0..200 {
        push(&mut queue, with_urgency(1, true));
        push(&mut queue, with_urgency(1, false));
    }
    let (mut new, mut all) = (0, 0);
    for start in 0..200 {
        if start % 3 == 0 {
            push(&mut queue, with_urgency(0, true));
        }
        let waiter = queue.pop(Duration::ZERO).expect("a queued request");
        let urgency = waiter.ticket.priority.expect("a priority").urgency;
        if urgency.class == 1 {
            all += 1;
            new += u32::from(urgency.is_new);
        }
    }
    assert!(4 * new + 4 >= all, "{new} of {all}");
}

/// An interactive request arrives while forty long batch requests are queued; later the interactive
/// requests never stop. Guards against a single queue, where the interactive request waits for all
/// batch requests, and against strict priority, where the batch requests never run.
#[test]
fn interactive_goes_before_batch_and_batch_is_not_starved() {
    let mut queue = WaitQueue::default();
    for _ in 0..40 {
        let batch = Ticket {
            class: WorkClass::Batch,
            prompt: 12_000,
            ..ticket("workshop", 30)
        };
        push(&mut queue, batch);
    }
    let interactive = push(&mut queue, ticket("counter", 5));
    let first_two = [(); 2].map(|()| queue.pop(Duration::ZERO).expect("a queued request").id);
    assert!(first_two.contains(&interactive));

    let mut batches = 0;
    for _ in 0..400 {
        push(&mut queue, ticket("counter", 5));
        let next = queue.pop(Duration::ZERO).expect("a queued request");
        batches += usize::from(next.ticket.class == WorkClass::Batch);
    }
    // A thirteenth of the slot time, in runs six times as long.
    assert!((4..=6).contains(&batches), "{batches}");
}

/// Two requests of one organisation are queued, the later one with the earlier deadline. In order
/// of arrival it would miss its deadline although both could be served.
#[test]
fn earliest_deadline_is_first_within_an_organisation() {
    let mut queue = WaitQueue::default();
    push(&mut queue, ticket("mombasa", 5));
    let near = Ticket {
        deadline: Duration::from_secs(20),
        ..ticket("mombasa", 5)
    };
    let near = push(&mut queue, near);
    assert_eq!(queue.pop(Duration::ZERO).map(|w| w.id), Some(near));
}

/// A request was admitted to start within a second; afterwards requests with more fair share left
/// arrive without end. By fair shares alone it would start too late.
#[test]
fn target_start_takes_precedence_over_fair_shares() {
    let mut queue = WaitQueue::default();
    push(&mut queue, ticket("large", 60));
    queue.pop(Duration::ZERO).expect("a queued request");
    for _ in 0..10 {
        push(&mut queue, ticket("small", 1));
    }
    let soon = Duration::from_secs(1);
    let promoted = queue.push(Duration::ZERO, ticket("large", 60), soon, LATE);
    let before_promotion = queue.pop(Duration::from_millis(800));
    assert_eq!(
        before_promotion.map(|w| w.ticket.organisation),
        Some("small".into())
    );
    let now = Duration::from_millis(880);
    assert_eq!(queue.pop(now).map(|w| w.id), Some(promoted));
}

proptest! {
    /// Whatever is queued, dispatched and cancelled in whatever order: each queued request leaves
    /// the queue exactly once, and the backlog is zero at the end.
    #[test]
    fn every_request_leaves_the_queue_exactly_once(steps in prop::collection::vec((0_u8..4, 0_u8..5, 1_u64..40), 1..200)) {
        let mut queue = WaitQueue::default();
        let mut queued = std::collections::BTreeSet::new();
        for (action, organisation, service) in steps {
            if action < 2 {
                queued.insert(push(&mut queue, ticket(&format!("{organisation}"), service)));
            } else if action == 2 {
                let popped = queue.pop(Duration::ZERO).map(|w| w.id);
                prop_assert_eq!(popped.is_some(), !queued.is_empty());
                prop_assert!(popped.is_none_or(|id| queued.remove(&id)));
            } else if let Some(id) = queued.pop_first() {
                prop_assert!(queue.remove(id).is_some());
                prop_assert!(queue.remove(id).is_none());
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
        while let Some(waiter) = queue.pop(Duration::ZERO) {
            prop_assert!(queued.remove(&waiter.id));
        }
        prop_assert!(queued.is_empty());
        prop_assert_eq!(queue.backlog(Lane::Short, &ticket("0", 1).flow()), (0, 0));
    }
}
