//! The answer to a chat: a fixed function of the model and the messages.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// When the last message contains this and a number, the answer has that many tokens.
pub const LENGTH_HINT: &str = "tokens=";

/// Minimum tokens of an answer without a length hint.
const MIN_LENGTH: u64 = 8;
/// Number of different lengths of answers without a hint.
const LENGTH_COUNT: u64 = 56;

/// Words of the answers; a word and a space are one token. Some letters take two bytes, so that
/// byte offsets and character counts differ.
const WORDS: [&str; 16] = [
    "card", "bond", "swatch", "grade", "ledger", "piață", "ceas", "arc", "roată", "tichet",
    "stock", "order", "café", "paper", "member", "bench",
];

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text; the parts of a multi-part content are joined.
    #[serde(default, deserialize_with = "text")]
    pub content: String,
}

impl Message {
    /// A user's message.
    pub fn user(content: impl Into<String>) -> Self {
        Self {
            role: "user".into(),
            content: content.into(),
        }
    }
}

fn text<'de, D: Deserializer<'de>>(input: D) -> Result<String, D::Error> {
    Ok(match Value::deserialize(input)? {
        Value::String(text) => text,
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    })
}

/// Prompt tokens of the messages: total bytes divided by 4, rounded up.
pub fn prompt_tokens(messages: &[Message]) -> u64 {
    let bytes: usize = messages.iter().map(|m| m.content.len()).sum();
    (bytes as u64).div_ceil(4)
}

/// The complete answer of any engine to these messages, truncated at `max` tokens.
pub fn expected_answer(model: &str, messages: &[Message], max: u64) -> String {
    AnswerTokens::new(model, messages, max)
        .map(Token::text)
        .collect()
}

/// One token of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    word: &'static str,
}

impl Token {
    /// The word and a space.
    pub fn text(self) -> String {
        format!("{} ", self.word)
    }
}

/// Iterator over the tokens of an answer.
#[derive(Debug, Clone)]
pub struct AnswerTokens {
    seed: u64,
    produced: u64,
    length: u64,
    untruncated_length: u64,
}

impl AnswerTokens {
    /// The answer to these messages, truncated at `max` tokens.
    pub fn new(model: &str, messages: &[Message], max: u64) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(model.as_bytes());
        for message in messages {
            hasher.update(&[0]);
            hasher.update(message.role.as_bytes());
            hasher.update(&[0]);
            hasher.update(message.content.as_bytes());
        }
        let seed = hasher.digest();
        let untruncated_length =
            hinted_length(messages).unwrap_or(MIN_LENGTH + seed % LENGTH_COUNT);
        Self {
            seed,
            produced: 0,
            length: untruncated_length.min(max),
            untruncated_length,
        }
    }

    /// The finish reason: `stop`, or `length` when it is truncated.
    pub fn finish_reason(&self) -> &'static str {
        if self.length < self.untruncated_length {
            "length"
        } else {
            "stop"
        }
    }

    /// Number of tokens generated or skipped so far.
    pub fn produced(&self) -> u64 {
        self.produced
    }

    /// Skips the tokens of a text that was delivered before. Returns how many bytes of the next
    /// token the text contains too, or `None` when the text is not a prefix of this answer.
    pub fn skip_delivered(&mut self, delivered: &str) -> Option<usize> {
        let mut rest = delivered;
        while !rest.is_empty() {
            let previous = self.clone();
            let token = self.next()?.text();
            if let Some(after) = rest.strip_prefix(token.as_str()) {
                rest = after;
                continue;
            }
            *self = previous;
            return token.starts_with(rest).then_some(rest.len());
        }
        Some(0)
    }
}

impl Iterator for AnswerTokens {
    type Item = Token;

    fn next(&mut self) -> Option<Token> {
        if self.produced >= self.length {
            return None;
        }
        let hash = xxh3_64_with_seed(&self.produced.to_le_bytes(), self.seed);
        self.produced += 1;
        let index = usize::try_from(hash % WORDS.len() as u64).unwrap_or_default();
        Some(Token { word: WORDS[index] })
    }
}

fn hinted_length(messages: &[Message]) -> Option<u64> {
    let text = &messages.last()?.content;
    let (_, after) = text.split_once(LENGTH_HINT)?;
    let digits = after.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}
