//! One run: its request, the output kept, its readers and how it ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvil_wire::msg::{ResponseHead, RunEnd, StartRequest, Work};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::output::Output;
use super::{ReaderId, RunId};

/// One run of a request in the endpoint.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) start: Arc<StartRequest>,
    pub(super) head: Option<ResponseHead>,
    pub(super) output: Output,
    /// Usage by this and earlier engines, as far as measured.
    pub(super) usage: Usage,
    pub(super) readers: BTreeSet<ReaderId>,
    pub(super) paused: bool,
    pub(super) deadline: Now,
    pub(super) end: Option<EndedRun>,
}

/// How a run ended.
#[derive(Debug, Clone)]
pub(super) struct EndedRun {
    pub(super) end: Box<RunEnd>,
    /// The output is dropped after this time.
    pub(super) drop_output_at: Now,
    /// The key is forgotten after this time.
    pub(super) forget_at: Now,
    /// Whether some reader has received all of the output.
    pub(super) delivered: bool,
    /// Whether the endpoint lost the run, so that another endpoint continues it.
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

    /// Drops all kept output; returns the bytes freed.
    pub(super) fn drop_output(&mut self) -> u64 {
        let before = self.output.kept_bytes();
        self.output.trim(self.output.length());
        before - self.output.kept_bytes()
    }

    /// Whether it ended so that another endpoint can continue it.
    pub(super) fn is_handed_back(&self) -> bool {
        self.end.as_ref().is_some_and(|ended| ended.handed_back)
    }

    /// Whether the run has not ended.
    pub(super) fn is_live(&self) -> bool {
        self.end.is_none()
    }

    /// Drops the caller's body, which an ended run no longer needs.
    pub(super) fn drop_body(&mut self) {
        if self.start.work == Work::default() {
            return;
        }
        let mut start = StartRequest::clone(&self.start);
        start.work = Work::default();
        start.prefix = Bytes::new();
        self.start = Arc::new(start);
    }

    /// Whether output was dropped from the front.
    pub(super) fn is_trimmed(&self) -> bool {
        self.output.start_offset() > 0
    }

    /// Cost of a usage in tokens, not limited by the bound.
    pub(super) fn cost(&self, usage: Usage) -> Tokens {
        self.start.payment.price.cost(usage)
    }

    /// The charge for the usage so far, by grant; never above the bound.
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
