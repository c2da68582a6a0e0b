//! A chat's answer in OpenAI's shape, as server-sent events or in one piece.

use std::time::{SystemTime, UNIX_EPOCH};

use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};
use serde_json::json;

/// The last event of a stream that is whole.
const DONE: &str = "data: [DONE]\n\n";

/// Writes one answer.
#[derive(Debug, Clone)]
pub struct Shape {
    id: String,
    created: u64,
    model: ModelId,
    /// Bytes of a character whose rest has not come yet.
    tail: BytesMut,
    said_role: bool,
}

impl Shape {
    /// For the answer to this key.
    pub fn new(key: &RequestKey, model: ModelId) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id: format!("chatcmpl-{}", key.id),
            created: since.unwrap_or_default().as_secs(),
            model,
            tail: BytesMut::new(),
            said_role: false,
        }
    }

    /// An event with more text. Nothing, while a character is not whole.
    pub fn piece(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.tail.extend_from_slice(bytes);
        let whole = whole_characters(&self.tail);
        if whole == 0 {
            return None;
        }
        let text = self.tail.split_to(whole);
        let text = String::from_utf8_lossy(&text);
        let delta = if self.said_role {
            json!({"content": text})
        } else {
            json!({"role": "assistant", "content": text})
        };
        self.said_role = true;
        Some(self.chunk(
            &json!([{"index": 0, "delta": delta, "finish_reason": null}]),
            None,
        ))
    }

    /// The events that end a whole answer; usage is in the last one before the end mark.
    pub fn end(&self, finish: &str, usage: Usage) -> Bytes {
        let stop = json!([{"index": 0, "delta": {}, "finish_reason": finish}]);
        let mut events = BytesMut::from(self.chunk(&stop, None).as_ref());
        events.extend_from_slice(&self.chunk(&json!([]), Some(usage)));
        events.extend_from_slice(DONE.as_bytes());
        events.freeze()
    }

    /// The whole answer in one piece.
    pub fn whole(&self, text: &[u8], finish: &str, usage: Usage) -> Bytes {
        let message = json!({"role": "assistant", "content": String::from_utf8_lossy(text)});
        let answer = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish}],
            "usage": usage_json(usage),
        });
        answer.to_string().into()
    }

    fn chunk(&self, choices: &serde_json::Value, usage: Option<Usage>) -> Bytes {
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage_json(usage);
        }
        format!("data: {chunk}\n\n").into()
    }
}

/// An event that says why the answer is not whole. No end mark follows it.
pub fn error_event(json: &str) -> Bytes {
    format!("data: {json}\n\n").into()
}

fn usage_json(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.output,
        "total_tokens": usage.prompt.saturating_add(usage.output),
    })
}

/// Bytes up to the last whole character. Bytes that can't be text count as whole.
fn whole_characters(bytes: &[u8]) -> usize {
    match std::str::from_utf8(bytes) {
        Err(e) if e.error_len().is_none() => e.valid_up_to(),
        Ok(_) | Err(_) => bytes.len(),
    }
}
