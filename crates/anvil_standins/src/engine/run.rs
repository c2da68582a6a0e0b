//! One run: its output so far and how it ended.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use tokio::sync::watch;

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Tokens are still to come.
    Running,
    /// It came to its end, for this reason: `stop` or `length`.
    Ended(&'static str),
    /// It was cancelled.
    Cancelled,
    /// The engine died in mid-answer.
    Died,
}

/// Use as OpenAI's API reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer, the part before a continuation included.
    pub completion_tokens: u64,
    /// Both.
    pub total_tokens: u64,
}

/// A run in the engine.
#[derive(Debug)]
pub struct Run {
    /// Names it in chunks.
    pub id: String,
    /// The model.
    pub model: String,
    /// When it came, in seconds since 1970.
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

/// What a reader gets.
#[derive(Debug, Clone)]
pub struct Piece {
    /// New text.
    pub text: String,
    /// How far the run has come.
    pub state: RunState,
    /// Use so far.
    pub usage: Usage,
}

impl Run {
    /// A new run whose answer's first `base` bytes were delivered by another one.
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

    /// Adds text; `tokens` is the length of the whole answer so far.
    pub fn push(&self, text: &str, tokens: u64) {
        let mut output = self.output();
        output.text.push_str(text);
        output.usage.completion_tokens = tokens;
        output.usage.total_tokens = output.usage.prompt_tokens + tokens;
        drop(output);
        self.changed.send_replace(());
    }

    /// Ends it, unless it has ended.
    pub fn end(&self, state: RunState) {
        let mut output = self.output();
        if output.state == RunState::Running {
            output.state = state;
        }
        drop(output);
        self.changed.send_replace(());
    }

    /// How far it has come.
    pub fn state(&self) -> RunState {
        self.output().state
    }

    /// Waits for text after byte `from` of the whole answer, or for the end.
    pub async fn read(&self, from: usize) -> Piece {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(piece) = self.piece(from) {
                return piece;
            }
            // The sender lives as long as the run.
            let _ = changed.changed().await;
        }
    }

    /// Waits until it was cancelled or died.
    pub async fn stopped(&self) {
        let mut changed = self.changed.subscribe();
        while self.state() == RunState::Running {
            // The sender lives as long as the run.
            let _ = changed.changed().await;
        }
    }

    fn piece(&self, from: usize) -> Option<Piece> {
        let output = self.output();
        let at = from.saturating_sub(output.base).min(output.text.len());
        // A reader who names the middle of a letter gets the letter whole.
        let at = (0..=at).rev().find(|at| output.text.is_char_boundary(*at));
        let text = &output.text[at.unwrap_or_default()..];
        if text.is_empty() && output.state == RunState::Running {
            return None;
        }
        Some(Piece {
            text: text.into(),
            state: output.state,
            usage: output.usage,
        })
    }

    fn output(&self) -> MutexGuard<'_, Output> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
