//! Clients that read slowly.

use anvil_policy::read_ahead::{DEFAULT_TOTAL_BYTES, MAX_STREAM_BYTES, ReadAhead};

const EVENT_BYTES: u64 = 200;

/// Reads ahead for a stream whose client takes nothing, and returns what it holds then.
fn fill(ahead: &mut ReadAhead) -> u64 {
    let mut held = 0;
    while ahead.may_read(held) {
        ahead.add(EVENT_BYTES);
        held += EVENT_BYTES;
    }
    held
}

/// Guards against one client that doesn't read and takes the memory of all others.
#[test]
fn a_client_that_stops_reading_holds_no_more_than_its_buffer() {
    let mut ahead = ReadAhead::new(None);
    let held = fill(&mut ahead);
    assert!((MAX_STREAM_BYTES..MAX_STREAM_BYTES + EVENT_BYTES).contains(&held));
    ahead.remove(EVENT_BYTES);
    assert!(ahead.may_read(held - EVENT_BYTES));
    ahead.remove(held - EVENT_BYTES);
    assert_eq!(ahead.total(), 0);
}

/// Guards against many slow clients that exhaust the memory, and against one that gets nothing any
/// more because the others have filled their buffers.
#[test]
fn many_slow_clients_hold_no_more_than_the_total_and_one_event_each() {
    for (memory, max_total) in [(None, DEFAULT_TOTAL_BYTES), (Some(40 << 20), 4 << 20)] {
        let mut ahead = ReadAhead::new(memory);
        let held: Vec<_> = (0..300).map(|_| fill(&mut ahead)).collect();
        assert!(held.iter().all(|held| *held >= EVENT_BYTES));
        assert!(ahead.total() >= max_total);
        assert!(ahead.total() < max_total + 300 * EVENT_BYTES);
    }
}
