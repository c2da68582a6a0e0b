//! One line of a process's log, read back.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Told {
    /// When, as the line says; all processes write it in the same form.
    pub at: String,
    /// Whose log it stands in.
    pub process: String,
    /// What it says.
    pub message: String,
    /// Everything else that it holds, in the order of its keys.
    pub values: BTreeMap<String, String>,
}

impl Told {
    /// Reads one line; `None` when it is none of ours.
    pub fn read(process: &str, line: &str) -> Option<Self> {
        // A collector may have put something before the line.
        let json = &line[line.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
            return None;
        };
        let mut told = Self {
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
                "ts" => told.at = text,
                "msg" => told.message = text,
                _ => {
                    told.values.insert(key, text);
                }
            }
        }
        Some(told)
    }

    /// A value as text; empty where there is none.
    pub fn text(&self, key: &str) -> &str {
        self.values.get(key).map_or("", String::as_str)
    }

    /// A value as a number; `None` where there is none.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.values.get(key)?.parse().ok()
    }
}
