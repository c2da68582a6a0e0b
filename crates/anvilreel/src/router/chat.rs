//! Parsing and validation of a chat request's body.

use anvil_world::prelude::*;
use serde::Deserialize;
use serde_json::Value;

/// Longest token assumed of any tokenizer, in bytes: a prompt with more bytes than this for every
/// allowed token is over the limit.
const MAX_TOKEN_BYTES: u64 = 16;

/// The fields that the router reads; all others are passed to the engine unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawChat {
    model: Value,
    messages: Value,
    stream: Value,
    max_tokens: Value,
    max_completion_tokens: Value,
    n: Value,
}

/// A chat request whose fields have the right types.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// The requested model.
    pub model: ModelId,
    /// Whether the caller wants the answer as server-sent events.
    pub stream: bool,
    /// The requested output limit, in tokens.
    pub max_output: Option<Tokens>,
}

impl TryFrom<&[u8]> for Chat {
    type Error = Malformed;

    fn try_from(body: &[u8]) -> Result<Self, Malformed> {
        let raw: RawChat = serde_json::from_slice(body).map_err(|e| {
            if e.is_data() {
                return Malformed::Field("body".into());
            }
            Malformed::Json {
                line: u32::try_from(e.line()).unwrap_or(u32::MAX),
                column: u32::try_from(e.column()).unwrap_or(u32::MAX),
            }
        })?;
        check_messages(&raw.messages)?;
        if !raw.n.is_null() && raw.n.as_u64() != Some(1) {
            return Err(Malformed::Field("n".into()));
        }
        let limit = output_limit(&raw.max_completion_tokens, "max_completion_tokens")?;
        let older_limit = output_limit(&raw.max_tokens, "max_tokens")?;
        let stream = match raw.stream {
            Value::Null => false,
            Value::Bool(stream) => stream,
            _ => return Err(Malformed::Field("stream".into())),
        };
        let model = raw.model.as_str().ok_or(Malformed::Field("model".into()))?;
        Ok(Self {
            model: model.into(),
            stream,
            max_output: limit.or(older_limit),
        })
    }
}

fn output_limit(value: &Value, name: &str) -> Result<Option<Tokens>, Malformed> {
    if value.is_null() {
        return Ok(None);
    }
    match value.as_u64() {
        Some(tokens) if tokens > 0 => Ok(Some(tokens)),
        _ => Err(Malformed::Field(name.into())),
    }
}

fn check_messages(messages: &Value) -> Result<(), Malformed> {
    let is_message = |message: &Value| message.get("role").is_some_and(Value::is_string);
    match messages.as_array() {
        Some(list) if !list.is_empty() && list.iter().all(is_message) => Ok(()),
        _ => Err(Malformed::Field("messages".into())),
    }
}

/// Whether a body is longer than any prompt of `max_prompt` tokens can be.
pub fn exceeds_prompt_limit(body: &[u8], max_prompt: Tokens) -> bool {
    let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
    bytes > max_prompt.saturating_mul(MAX_TOKEN_BYTES)
}

/// Upper bound of what a chat can use: each prompt token takes at least one byte of the body.
pub fn usage_upper_bound(body: &[u8], max_output: Tokens) -> Usage {
    Usage {
        prompt: u64::try_from(body.len()).unwrap_or(u64::MAX),
        output: max_output,
        calls: 0,
    }
}
