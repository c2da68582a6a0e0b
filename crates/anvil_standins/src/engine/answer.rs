//! Answers: a fixed function of the model and the messages.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// A message that contains this and a number is answered in so many tokens.
pub const LENGTH_HINT: &str = "tokens=";

/// Fewest tokens of an answer whose length was not asked for.
const SHORTEST: u64 = 8;
/// How many lengths there are above the shortest.
const LENGTHS: u64 = 56;

/// What answers are made of; one word and a space are one token. Some letters take two bytes,
/// so that byte offsets and letter counts differ.
const WORDS: [&str; 16] = [
    "card", "bond", "swatch", "grade", "ledger", "piață", "ceas", "arc", "roată", "tichet",
    "stock", "order", "café", "paper", "member", "bench",
];

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text; parts of a list are joined.
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

/// Tokens of a text: bytes by 4, rounded up; so never more than its bytes.
pub fn prompt_tokens(messages: &[Message]) -> u64 {
    let bytes: usize = messages.iter().map(|m| m.content.len()).sum();
    (bytes as u64).div_ceil(4)
}

/// The whole answer of every engine to these messages, cut at `max` tokens.
pub fn expected_answer(model: &str, messages: &[Message], max: u64) -> String {
    Answer::new(model, messages, max).map(Token::text).collect()
}

/// One token of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    word: &'static str,
}

impl Token {
    /// The word and its space.
    pub fn text(self) -> String {
        format!("{} ", self.word)
    }
}

/// The tokens of an answer, one after the other.
#[derive(Debug, Clone)]
pub struct Answer {
    seed: u64,
    made: u64,
    length: u64,
    natural: u64,
}

impl Answer {
    /// The answer to these messages, cut at `max` tokens.
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
        let natural = hinted(messages).unwrap_or(SHORTEST + seed % LENGTHS);
        Self {
            seed,
            made: 0,
            length: natural.min(max),
            natural,
        }
    }

    /// Why it ends: `stop`, or `length` where it was cut.
    pub fn finish(&self) -> &'static str {
        if self.length < self.natural {
            "length"
        } else {
            "stop"
        }
    }

    /// Tokens given so far.
    pub fn made(&self) -> u64 {
        self.made
    }

    /// Skips the tokens of a text that was delivered before. Gives back how many bytes of the
    /// next token were delivered too, or `None` when the text is no beginning of this answer.
    pub fn skip_delivered(&mut self, delivered: &str) -> Option<usize> {
        let mut rest = delivered;
        while !rest.is_empty() {
            let before = self.clone();
            let token = self.next()?.text();
            if let Some(after) = rest.strip_prefix(token.as_str()) {
                rest = after;
                continue;
            }
            *self = before;
            return token.starts_with(rest).then_some(rest.len());
        }
        Some(0)
    }
}

impl Iterator for Answer {
    type Item = Token;

    fn next(&mut self) -> Option<Token> {
        if self.made >= self.length {
            return None;
        }
        let hash = xxh3_64_with_seed(&self.made.to_le_bytes(), self.seed);
        self.made += 1;
        let at = usize::try_from(hash % WORDS.len() as u64).unwrap_or_default();
        Some(Token { word: WORDS[at] })
    }
}

fn hinted(messages: &[Message]) -> Option<u64> {
    let text = &messages.last()?.content;
    let (_, after) = text.split_once(LENGTH_HINT)?;
    let digits = after.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}
