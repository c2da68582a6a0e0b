//! Bounds on what is kept, in bytes and in time.
//!
//! Failure: output that is made faster than it is read fills the instance's memory. It would
//! show as a sidecar that is killed, and every run beside it lost. In order: answers that were
//! delivered whole go first, then the delivered front of live runs that are being read, then
//! engines are paused. Nothing that was not delivered is ever dropped.

use anvil_world::prelude::*;

use super::run::Run;
use super::table::Runs;
use super::{Action, EngineCommand, RunId};

impl Runs {
    pub(super) fn relieve(&mut self) {
        if self.kept > self.cfg.buffer_bytes {
            self.drop_delivered();
        }
        if self.kept > self.cfg.buffer_bytes {
            self.trim_live();
        }
        let full = self.kept > self.cfg.buffer_bytes;
        if !full && !self.full {
            // Nothing is paused; a look at every kept run at each event would cost more than runs.
            return;
        }
        self.full = full;
        let differs = |run: &&mut Run| run.is_live() && run.paused != full;
        let mut changed = Vec::new();
        for run in self.table.values_mut().filter(differs) {
            run.paused = full;
            changed.push(run.id);
        }
        for run in changed {
            let command = if full {
                EngineCommand::Pause
            } else {
                EngineCommand::Continue
            };
            self.actions.push(Action::Engine { run, command });
        }
    }

    /// Drops the output of ended runs that some reader got whole, oldest first. The key stays:
    /// a retry is told that its answer is gone, and nothing runs or is billed again.
    fn drop_delivered(&mut self) {
        for run in self.table.values_mut() {
            if self.kept <= self.cfg.buffer_bytes {
                return;
            }
            let delivered = run.end.as_ref().is_some_and(|ended| ended.delivered);
            if delivered && run.readers.is_empty() {
                self.kept -= run.drop_output();
            }
        }
    }

    /// Drops what every reader of a live run has got.
    fn trim_live(&mut self) {
        for run in self.table.values_mut() {
            let offsets = run.readers.iter().filter_map(|id| self.readers.get(id));
            if let Some(read) = offsets.map(|reader| reader.offset).min() {
                self.kept -= drop_until(run, read);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Now) {
        self.forbidden.retain(|_, until| now < *until);
        let late = |run: &&Run| run.is_live() && now >= run.deadline;
        let late: Vec<RunId> = self.table.values().filter(late).map(|run| run.id).collect();
        for run in late {
            self.stop(now, run);
        }
        self.expire(now);
    }

    fn expire(&mut self, now: Now) {
        for run in self.table.values_mut() {
            let ended = run.end.as_ref();
            if ended.is_some_and(|ended| now >= ended.drop_output) && run.readers.is_empty() {
                self.kept -= run.drop_output();
                run.drop_body();
            }
        }
        let by_key = &mut self.by_key;
        self.table.retain(|_, run| {
            let over = run.end.as_ref().is_some_and(|ended| now >= ended.forget);
            let goes = over && run.readers.is_empty();
            if goes {
                by_key.remove(&run.start.key);
            }
            !goes
        });
    }
}

/// Forgets output before an offset; returns the bytes freed.
fn drop_until(run: &mut Run, offset: Offset) -> u64 {
    let before = run.output.kept();
    run.output.trim(offset);
    before - run.output.kept()
}
