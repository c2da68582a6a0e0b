//! Parsing of the log lines that processes write.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// One parsed line of a process's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Timestamp as written in the line. All processes use the same format, so it sorts by time.
    pub at: String,
    /// Name of the process that wrote the line.
    pub process: String,
    /// Message of the line.
    pub message: String,
    /// All other values of the line, ordered by key.
    pub values: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses one line; `None` if it holds no JSON object.
    pub fn parse(process: &str, line: &str) -> Option<Self> {
        // A log collector may have added a prefix to the line.
        let json = &line[line.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
            return None;
        };
        let mut parsed = Self {
            at: String::new(),
            process: process.into(),
            message: String::new(),
            values: BTreeMap::new(),
        };
        for (key, value) in fields {
            let text = match value {
                Value::String(text) => text,
                other => other.to_string(),
            };
            match key.as_str() {
                "ts" => parsed.at = text,
                "msg" => parsed.message = text,
                _ => {
                    parsed.values.insert(key, text);
                }
            }
        }
        Some(parsed)
    }

    /// A value as text; empty if the key is absent.
    pub fn text(&self, key: &str) -> &str {
        self.values.get(key).map_or("", String::as_str)
    }

    /// A value that names something; `None` if the key is absent or has no value.
    pub fn name(&self, key: &str) -> Option<&str> {
        let name = self.values.get(key)?;
        (!name.is_empty() && name != "null").then_some(name)
    }

    /// A value as a number; `None` if the key is absent or the value is not a number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.values.get(key)?.parse().ok()
    }
}
