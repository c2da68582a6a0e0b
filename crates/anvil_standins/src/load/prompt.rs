//! Prompts of a given length, and the answers that are expected to them.

use std::fmt::Write;

use super::arrivals::Arrival;
use crate::engine::{LENGTH_HINT, Message, expected_answer};

/// Bytes of a prompt token, as counted by the stand-in engine.
const TOKEN_BYTES: usize = 4;

/// The messages of an arrival: its shared prefix, if any, then text that is unique to it.
pub fn messages(arrival: &Arrival) -> Vec<Message> {
    let length = usize::try_from(arrival.prompt).unwrap_or(usize::MAX / TOKEN_BYTES);
    let length = length * TOKEN_BYTES;
    let mut text = String::with_capacity(length);
    if let Some(prefix) = arrival.prefix {
        fill(&mut text, u64::from(prefix), length / 2);
    }
    let mut suffix = String::new();
    // Writing to a `String` can't fail.
    let _ = write!(
        suffix,
        " #{} {LENGTH_HINT}{}",
        arrival.number, arrival.output
    );
    let body_length = length.saturating_sub(suffix.len());
    fill(&mut text, arrival.number, body_length);
    text.push_str(&suffix);
    vec![Message::user(text)]
}

/// The complete answer that is expected.
pub fn expected_text(model: &str, messages: &[Message], arrival: &Arrival) -> String {
    expected_answer(model, messages, arrival.output)
}

/// Appends text that depends on the seed until the total length is `length` bytes.
fn fill(text: &mut String, seed: u64, length: usize) {
    while text.len() < length {
        let position = text.len() as u64;
        // Writing to a `String` can't fail.
        let _ = write!(text, "entry {seed} at {position}, ");
    }
    text.truncate(length);
}
