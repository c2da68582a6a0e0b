//! Limits of the kept output, by size and by time.
//!
//! Failure: output that is produced faster than it is read fills the instance's memory; the sidecar
//! is killed and every run beside it is lost. To stay within the bound, first the output of ended
//! runs that was fully delivered is dropped, then the part of live runs that all their readers have
//! received, and then the engines are paused. Output that was not delivered is not dropped for want
//! of memory.

use anvil_world::prelude::*;

use super::run::Run;
use super::table::Runs;
use super::{Action, EndpointCommand, RunId};

impl Runs {
    pub(super) fn enforce_buffer_limit(&mut self) {
        if self.kept_bytes > self.cfg.buffer_bytes {
            self.drop_delivered();
        }
        if self.kept_bytes > self.cfg.buffer_bytes {
            self.trim_live();
        }
        let over_limit = self.kept_bytes > self.cfg.buffer_bytes;
        if !over_limit && !self.engines_paused {
            // Nothing is paused. A check of every kept run at each event would cost more than the
            // runs themselves.
            return;
        }
        self.engines_paused = over_limit;
        let differs = |run: &&mut Run| run.is_live() && run.paused != over_limit;
        let mut changed = Vec::new();
        for run in self.table.values_mut().filter(differs) {
            run.paused = over_limit;
            changed.push(run.id);
        }
        for run in changed {
            let command = if over_limit {
                EndpointCommand::Pause
            } else {
                EndpointCommand::Continue
            };
            self.actions.push(Action::Endpoint { run, command });
        }
    }

    /// Drops the output of ended runs that some reader received completely, oldest first. The key
    /// stays: a retry learns that its answer was dropped, and nothing is run or charged again.
    fn drop_delivered(&mut self) {
        for run in self.table.values_mut() {
            if self.kept_bytes <= self.cfg.buffer_bytes {
                return;
            }
            let delivered = run.end.as_ref().is_some_and(|ended| ended.delivered);
            if delivered && run.readers.is_empty() {
                self.kept_bytes -= run.drop_output();
            }
        }
    }

    /// Drops the output of live runs that all their readers have received.
    fn trim_live(&mut self) {
        for run in self.table.values_mut() {
            let offsets = run.readers.iter().filter_map(|id| self.readers.get(id));
            if let Some(min_offset) = offsets.map(|reader| reader.offset).min() {
                self.kept_bytes -= drop_before(run, min_offset);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Now) {
        self.forbidden.retain(|_, until| now < *until);
        let overdue = |run: &&Run| run.is_live() && now >= run.deadline;
        let overdue: Vec<RunId> = self
            .table
            .values()
            .filter(overdue)
            .map(|run| run.id)
            .collect();
        for run in overdue {
            self.stop(now, run);
        }
        self.expire(now);
    }

    fn expire(&mut self, now: Now) {
        for run in self.table.values_mut() {
            let ended = run.end.as_ref();
            if ended.is_some_and(|ended| now >= ended.drop_output_at) && run.readers.is_empty() {
                self.kept_bytes -= run.drop_output();
                run.drop_body();
            }
        }
        let by_key = &mut self.by_key;
        self.table.retain(|_, run| {
            let over = run.end.as_ref().is_some_and(|ended| now >= ended.forget_at);
            let expired = over && run.readers.is_empty();
            if expired {
                by_key.remove(&run.start.key);
            }
            !expired
        });
    }
}

/// Drops output before an offset; returns the bytes freed.
fn drop_before(run: &mut Run, offset: Offset) -> u64 {
    let before = run.output.kept_bytes();
    run.output.trim(offset);
    before - run.output.kept_bytes()
}
