//! One run: its output so far and how it ended.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use tokio::sync::watch;

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// More tokens will follow.
    Running,
    /// The answer is complete, with this finish reason: `stop` or `length`.
    Ended(&'static str),
    /// The run was cancelled.
    Cancelled,
    /// The engine crashed before the answer was complete.
    Crashed,
}

/// Token usage in the form of OpenAI's API.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the complete answer, including the part before a continuation.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

/// A run of the engine, with its output so far.
#[derive(Debug)]
pub struct Run {
    /// Id of the run in chunks and responses.
    pub id: String,
    /// The model.
    pub model: String,
    /// Start time, in seconds since 1970.
    pub created: u64,
    output: Mutex<Output>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct Output {
    text: String,
    base: usize,
    state: RunState,
    usage: Usage,
}

/// Part of a run's output, as a reader gets it.
#[derive(Debug, Clone)]
pub struct OutputChunk {
    /// Text that the reader does not have yet.
    pub text: String,
    /// State of the run.
    pub state: RunState,
    /// Usage so far.
    pub usage: Usage,
}

impl Run {
    /// A new run; the first `base` bytes of its answer were delivered by an earlier run.
    pub fn new(id: String, model: String, created: u64, base: usize, prompt: u64) -> Self {
        Self {
            id,
            model,
            created,
            output: Mutex::new(Output {
                text: String::new(),
                base,
                state: RunState::Running,
                usage: Usage {
                    prompt_tokens: prompt,
                    completion_tokens: 0,
                    total_tokens: prompt,
                },
            }),
            changed: watch::Sender::new(()),
        }
    }

    /// Appends text; `tokens` is the length of the answer so far.
    pub fn push(&self, text: &str, tokens: u64) {
        let mut output = self.output();
        output.text.push_str(text);
        output.usage.completion_tokens = tokens;
        output.usage.total_tokens = output.usage.prompt_tokens + tokens;
        drop(output);
        self.changed.send_replace(());
    }

    /// Sets the final state, unless the run has ended already.
    pub fn end(&self, state: RunState) {
        let mut output = self.output();
        if output.state == RunState::Running {
            output.state = state;
        }
        drop(output);
        self.changed.send_replace(());
    }

    /// The state of the run.
    pub fn state(&self) -> RunState {
        self.output().state
    }

    /// Waits for text after byte `from` of the complete answer, or for the end of the run.
    pub async fn read(&self, from: usize) -> OutputChunk {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(next_chunk) = self.next_chunk(from) {
                return next_chunk;
            }
            // Can't fail: the sender exists as long as the run.
            let _ = changed.changed().await;
        }
    }

    /// Waits until the run is no longer running.
    pub async fn wait_until_ended(&self) {
        let mut changed = self.changed.subscribe();
        while self.state() == RunState::Running {
            // Can't fail: the sender exists as long as the run.
            let _ = changed.changed().await;
        }
    }

    fn next_chunk(&self, from: usize) -> Option<OutputChunk> {
        let output = self.output();
        let at = from.saturating_sub(output.base).min(output.text.len());
        // When the offset is inside a character, the reader gets the complete character.
        let at = (0..=at).rev().find(|at| output.text.is_char_boundary(*at));
        let text = &output.text[at.unwrap_or_default()..];
        if text.is_empty() && output.state == RunState::Running {
            return None;
        }
        Some(OutputChunk {
            text: text.into(),
            state: output.state,
            usage: output.usage,
        })
    }

    fn output(&self) -> MutexGuard<'_, Output> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
