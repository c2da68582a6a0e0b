//! Which contents were answered recently.

use std::time::Duration;

use anvil_policy::recent_answers::RecentAnswers;

const RETENTION: Duration = Duration::from_secs(16);

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against answers that clear a content forever, or not long enough.
#[test]
fn answers_expire() {
    let mut answers = RecentAnswers::new(RETENTION, 10);
    answers.record(at(0), 1);
    assert!(answers.contains(at(15), 1) && !answers.contains(at(16), 1));
    assert!(answers.contains_within(at(3), 1, at(4)) && !answers.contains_within(at(4), 1, at(4)));
    answers.record(at(10), 1);
    assert!(answers.contains(at(25), 1));
}

/// Guards against an answer that clears a content forever, and against a later one that doesn't.
#[test]
fn answer_is_used_for_a_span_only() {
    let mut answers = RecentAnswers::new(RETENTION, 10);
    answers.record(at(0), 1);
    assert!(answers.can_use(at(1), 1, at(2)) && answers.can_use(at(2), 1, at(2)));
    assert!(!answers.can_use(at(3), 1, at(2)));
    answers.record(at(3), 1);
    assert!(answers.can_use(at(3), 1, at(2)));
    assert!(!answers.can_use(at(3), 2, at(2)));
}

/// Guards against one content that is answered all the time pushing out all others.
#[test]
fn frequent_answers_take_no_room_from_others() {
    let mut answers = RecentAnswers::new(RETENTION, 10);
    answers.record(at(0), 7);
    for ms in 0..10_000 {
        answers.record(Duration::from_millis(ms), 1);
    }
    assert!(answers.contains(at(10), 7) && answers.contains(at(10), 1));
}

/// Guards against memory that grows with made-up contents.
#[test]
fn oldest_answers_are_dropped_beyond_the_maximum() {
    let mut answers = RecentAnswers::new(RETENTION, 10);
    for content in 0..1_000 {
        answers.record(at(0), content);
    }
    let known = (0..1_000).filter(|content| answers.contains(at(0), *content));
    assert_eq!(known.collect::<Vec<_>>(), (990..1_000).collect::<Vec<_>>());
}
