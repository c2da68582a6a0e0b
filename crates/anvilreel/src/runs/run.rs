//! One run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvil_wire::msg::{ResponseHead, RunEnd, StartRequest, Work};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::output::Output;
use super::{ReaderId, RunId};

/// A run and what is kept of it.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) start: Arc<StartRequest>,
    pub(super) head: Option<ResponseHead>,
    pub(super) output: Output,
    /// Use by this and earlier engines, as far as measured.
    pub(super) usage: Usage,
    pub(super) readers: BTreeSet<ReaderId>,
    pub(super) paused: bool,
    pub(super) deadline: Now,
    pub(super) end: Option<Ended>,
}

/// How a run ended.
#[derive(Debug, Clone)]
pub(super) struct Ended {
    pub(super) end: Box<RunEnd>,
    /// When its output may go.
    pub(super) drop_output: Now,
    /// When the key may be forgotten.
    pub(super) forget: Now,
    /// Whether some reader got all of it.
    pub(super) delivered: bool,
    /// Whether its endpoint lost it and it is to be continued elsewhere.
    pub(super) handed_back: bool,
}

impl Run {
    pub(super) fn new(now: Now, id: RunId, start: Arc<StartRequest>) -> Self {
        let mut output = Output::default();
        output.push(start.prefix.clone(), start.prefix_tokens);
        Self {
            id,
            head: None,
            output,
            usage: Usage {
                output: start.prefix_tokens,
                ..Usage::default()
            },
            readers: BTreeSet::new(),
            paused: false,
            deadline: now + start.time_left,
            end: None,
            start,
        }
    }

    /// Forgets all kept output; returns the bytes freed.
    pub(super) fn drop_output(&mut self) -> u64 {
        let before = self.output.kept();
        self.output.trim(self.output.length());
        before - self.output.kept()
    }

    /// Whether it was ended to be continued elsewhere.
    pub(super) fn is_handed_back(&self) -> bool {
        self.end.as_ref().is_some_and(|ended| ended.handed_back)
    }

    /// Whether the endpoint works on it.
    pub(super) fn is_live(&self) -> bool {
        self.end.is_none()
    }

    /// Forgets the caller's body, which an ended run has no use for.
    pub(super) fn drop_body(&mut self) {
        if self.start.work == Work::default() {
            return;
        }
        let mut start = StartRequest::clone(&self.start);
        start.work = Work::default();
        start.prefix = Bytes::new();
        self.start = Arc::new(start);
    }

    /// Whether some of the output was dropped from the front.
    pub(super) fn is_trimmed(&self) -> bool {
        self.output.start() > 0
    }

    /// What a use costs, in tokens, uncapped.
    pub(super) fn cost(&self, usage: Usage) -> Tokens {
        self.start.payment.price.cost(usage)
    }

    /// The charge for the present use by grant; never above the bound.
    pub(super) fn charges(&self) -> BTreeMap<GrantId, Tokens> {
        let payment = &self.start.payment;
        let cost = self.cost(self.usage).min(payment.bound);
        let parts = payment.split.divide(cost);
        parts
            .filter_map(|(budget, tokens)| {
                let (grant, _) = payment.grants.get(budget)?;
                Some((*grant, tokens))
            })
            .collect()
    }
}
