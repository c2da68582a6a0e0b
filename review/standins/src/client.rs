//! A client of the users' pages: one request on a connection of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http;
use crate::record::Record;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A question, as its client states it.
#[derive(Debug, Clone)]
pub struct Question {
    /// Key of the tenant.
    pub key: String,
    /// Path of the route.
    pub path: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum output tokens.
    pub max_output: u64,
    /// `Prefix-Hash`.
    pub parts: String,
    /// The body.
    pub body: String,
    /// How long the client waits.
    pub deadline: Duration,
}

/// What the client has received.
#[derive(Debug, Clone)]
pub struct Received {
    /// `Attempt-Id` of the request.
    pub attempt: String,
    /// When it was sent, since the start of the record.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Status, 0 for none.
    pub status: u16,
    /// Whether the answer is complete.
    pub is_complete: bool,
    /// Events received.
    pub events: u64,
}

/// A new `Attempt-Id`.
pub fn new_attempt() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("a{:08x}{number:08x}", std::process::id())
}

/// Sends a question to a machine and reads the answer.
pub fn ask(
    record: &Record,
    node: (&str, SocketAddr),
    attempt: &str,
    question: &Question,
) -> Received {
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\nModel-Id: m\r\n\
         Token-Count: {},{}\r\nPrefix-Hash: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
        question.path,
        question.prompt,
        question.max_output,
        question.parts,
        question.deadline.as_millis(),
        question.key
    );
    let sent = record.now();
    record.line(format!("{attempt} sent to {}: {}", node.0, question.body));
    let answer = http::call(node.1, &head, question.body.as_bytes(), question.deadline);
    let ended = record.now();
    let (status, is_complete, events, text) = match &answer {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body);
            let events = body.matches("\n\n").count() as u64;
            let status = answer.status();
            let end = if answer.is_whole {
                "complete"
            } else {
                "cut off"
            };
            let is_stream = status == 200;
            let what = if is_stream {
                format!("{events} events")
            } else {
                body.to_string()
            };
            (
                status,
                answer.is_whole,
                events,
                format!("{status}, {what}, {end}"),
            )
        }
        Err(e) => (0, false, 0, e.clone()),
    };
    record.line(format!("{attempt} received: {text}"));
    Received {
        attempt: attempt.into(),
        sent,
        ended,
        status,
        is_complete,
        events,
    }
}
