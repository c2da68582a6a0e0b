//! Readers of a run's output. Each receives output at its own pace.

use anvil_wire::msg::{Frame, SidecarReply};
use anvil_world::prelude::*;

use super::run::Run;
use super::table::Runs;
use super::{Action, ReaderId, RunId, RunsError};

/// One stream of replies to a router.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) run: RunId,
    pub(super) offset: Offset,
    /// Whether its stream has room. At most one reply is in flight, so that a slow reader delays no
    /// other reader and takes no memory beyond its own frame.
    pub(super) ready: bool,
    head_sent: bool,
}

impl Runs {
    /// Adds a reader to a run, at an offset.
    pub(super) fn add_reader(
        &mut self,
        reader: ReaderId,
        run: RunId,
        offset: Offset,
        attached: bool,
    ) {
        let Some(found) = self.table.get_mut(&run) else {
            return;
        };
        let incarnation = self.cfg.incarnation;
        let accepted = SidecarReply::Accepted {
            incarnation,
            attached,
            body: found.start.body,
        };
        found.readers.insert(reader);
        let entry = Reader {
            run,
            offset,
            ready: true,
            head_sent: false,
        };
        self.readers.insert(reader, entry);
        self.reply(reader, accepted);
        self.send_next(reader);
    }

    pub(super) fn reader_ready(&mut self, reader: ReaderId) {
        if let Some(found) = self.readers.get_mut(&reader) {
            found.ready = true;
            self.send_next(reader);
        }
    }

    pub(super) fn remove_reader(&mut self, reader: ReaderId) {
        if let Some(removed) = self.readers.remove(&reader)
            && let Some(run) = self.table.get_mut(&removed.run)
        {
            run.readers.remove(&reader);
        }
    }

    /// Sends the next reply to every reader of a run that has room.
    pub(super) fn send_to_readers(&mut self, run: RunId) {
        let readers = self.table.get(&run).map(|run| run.readers.clone());
        for reader in readers.unwrap_or_default() {
            self.send_next(reader);
        }
    }

    fn send_next(&mut self, id: ReaderId) {
        let Some(reader) = self.readers.get_mut(&id) else {
            return;
        };
        let Some(run) = self.table.get(&reader.run) else {
            return;
        };
        if !reader.ready {
            return;
        }
        if let Some(head) = run.head.clone().filter(|_| !reader.head_sent) {
            reader.head_sent = true;
            reader.ready = false;
            return self.reply(id, SidecarReply::Head(head));
        }
        if reader.offset < run.output.length() && !run.is_handed_back() {
            let frame = next_frame(run, reader.offset);
            let Some(frame) = frame else {
                let (run, offset) = (reader.run, reader.offset);
                return self.report_dropped_output(id, run, offset);
            };
            reader.offset += frame.bytes.len() as u64;
            reader.ready = false;
            return self.reply(id, SidecarReply::Frame(frame));
        }
        if let Some(ended) = &run.end {
            let end = SidecarReply::End(ended.end.clone());
            let run = reader.run;
            self.finish_reader(id, run, end);
        }
    }

    /// Sends the end to a reader and removes it; the answer counts as delivered.
    fn finish_reader(&mut self, id: ReaderId, run: RunId, end: SidecarReply) {
        self.remove_reader(id);
        if let Some(ended) = self.table.get_mut(&run).and_then(|run| run.end.as_mut()) {
            ended.delivered = true;
        }
        self.last_reply(id, end);
    }

    /// The output at a reader's offset is no longer kept. The reader receives an end that reports
    /// this instead of a gap.
    fn report_dropped_output(&mut self, id: ReaderId, run: RunId, offset: Offset) {
        self.remove_reader(id);
        let Some(found) = self.table.get(&run) else {
            return;
        };
        if !found.is_trimmed() {
            let e = RunsError::OutputGap { run, offset };
            self.actions.push(Action::Violation(e));
        }
        let end = found.incomplete_end(Outcome::Unknown(UnknownCause::AnswerDropped));
        self.last_reply(id, SidecarReply::End(Box::new(end)));
    }

    fn reply(&mut self, reader: ReaderId, reply: SidecarReply) {
        self.actions.push(Action::Reply { reader, reply });
    }
}

fn next_frame(run: &Run, offset: Offset) -> Option<Frame> {
    let (bytes, tokens) = run.output.read(offset)?;
    Some(Frame {
        key: run.start.key.clone(),
        offset,
        bytes,
        tokens,
    })
}
