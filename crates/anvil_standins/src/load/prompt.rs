//! Prompts of a wanted length, and the answers that are due to them.

use std::fmt::Write;

use super::arrivals::Arrival;
use crate::engine::{LENGTH_HINT, Message, expected_answer};

/// Bytes of a prompt token, as the stand-in engine counts.
const TOKEN_BYTES: usize = 4;

/// The messages of an arrival: a shared prefix, if it has one, then text of its own.
pub fn messages(arrival: &Arrival) -> Vec<Message> {
    let length = usize::try_from(arrival.prompt).unwrap_or(usize::MAX / TOKEN_BYTES);
    let length = length * TOKEN_BYTES;
    let mut text = String::with_capacity(length);
    if let Some(prefix) = arrival.prefix {
        fill(&mut text, u64::from(prefix), length / 2);
    }
    let mut end = String::new();
    // Writing to a `String` has no failure.
    let _ = write!(end, " #{} {LENGTH_HINT}{}", arrival.number, arrival.output);
    let body = length.saturating_sub(end.len());
    fill(&mut text, arrival.number, body);
    text.push_str(&end);
    vec![Message::user(text)]
}

/// The whole answer that is due.
pub fn answer(model: &str, messages: &[Message], arrival: &Arrival) -> String {
    expected_answer(model, messages, arrival.output)
}

/// Adds words that depend on the seed, up to so many bytes in all.
fn fill(text: &mut String, seed: u64, length: usize) {
    while text.len() < length {
        let at = text.len() as u64;
        // Writing to a `String` has no failure.
        let _ = write!(text, "entry {seed} at {at}, ");
    }
    text.truncate(length);
}
