//! Encodes a chat's answer in the OpenAI format, as server-sent events or as one JSON object.

use std::time::{SystemTime, UNIX_EPOCH};

use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};
use serde_json::json;

/// The last event of a complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Encodes one answer.
#[derive(Debug, Clone)]
pub struct ChatEncoder {
    id: String,
    created: u64,
    model: ModelId,
    /// Leading bytes of a UTF-8 character that is not complete yet.
    incomplete: BytesMut,
    role_sent: bool,
}

impl ChatEncoder {
    /// An encoder for the answer to this request.
    pub fn new(key: &RequestKey, model: ModelId) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id: format!("chatcmpl-{}", key.id),
            created: since.unwrap_or_default().as_secs(),
            model,
            incomplete: BytesMut::new(),
            role_sent: false,
        }
    }

    /// An event with more text; `None` while no character is complete.
    pub fn chunk_event(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.incomplete.extend_from_slice(bytes);
        let whole = whole_characters(&self.incomplete);
        if whole == 0 {
            return None;
        }
        let text = self.incomplete.split_to(whole);
        let text = String::from_utf8_lossy(&text);
        let delta = if self.role_sent {
            json!({"content": text})
        } else {
            json!({"role": "assistant", "content": text})
        };
        self.role_sent = true;
        Some(self.chunk_json(
            &json!([{"index": 0, "delta": delta, "finish_reason": null}]),
            None,
        ))
    }

    /// The events that end a complete answer; usage is in the last one before the end marker.
    pub fn end(&self, finish: &str, usage: Usage) -> Bytes {
        let stop = json!([{"index": 0, "delta": {}, "finish_reason": finish}]);
        let mut events = BytesMut::from(self.chunk_json(&stop, None).as_ref());
        events.extend_from_slice(&self.chunk_json(&json!([]), Some(usage)));
        events.extend_from_slice(DONE.as_bytes());
        events.freeze()
    }

    /// The complete answer as one JSON object.
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

    fn chunk_json(&self, choices: &serde_json::Value, usage: Option<Usage>) -> Bytes {
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

/// An event that says why the answer is not complete. No end marker follows it.
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

/// Number of bytes up to the last complete character. Invalid UTF-8 counts as complete.
fn whole_characters(bytes: &[u8]) -> usize {
    match std::str::from_utf8(bytes) {
        Err(e) if e.error_len().is_none() => e.valid_up_to(),
        Ok(_) | Err(_) => bytes.len(),
    }
}
