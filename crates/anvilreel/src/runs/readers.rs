//! Readers: each takes output at its own pace.

use anvil_wire::msg::{Frame, SidecarReply};
use anvil_world::prelude::*;

use super::run::Run;
use super::table::Runs;
use super::{Action, ReaderId, RunId, RunsError};

/// One stream of replies.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) run: RunId,
    pub(super) offset: Offset,
    /// Whether its stream has room. One reply is under way at most, so that a slow reader holds
    /// up nobody and takes no memory but its own frame.
    pub(super) ready: bool,
    head_sent: bool,
}

impl Runs {
    /// Lets a reader read a run from an offset.
    pub(super) fn read(&mut self, reader: ReaderId, run: RunId, offset: Offset, attached: bool) {
        let Some(found) = self.table.get_mut(&run) else {
            return;
        };
        let incarnation = self.cfg.life;
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
        self.pump(reader);
    }

    pub(super) fn ready(&mut self, reader: ReaderId) {
        if let Some(found) = self.readers.get_mut(&reader) {
            found.ready = true;
            self.pump(reader);
        }
    }

    pub(super) fn gone(&mut self, reader: ReaderId) {
        if let Some(gone) = self.readers.remove(&reader)
            && let Some(run) = self.table.get_mut(&gone.run)
        {
            run.readers.remove(&reader);
        }
    }

    /// Gives every reader of a run what it has room for.
    pub(super) fn pump_all(&mut self, run: RunId) {
        let readers = self.table.get(&run).map(|run| run.readers.clone());
        for reader in readers.unwrap_or_default() {
            self.pump(reader);
        }
    }

    fn pump(&mut self, id: ReaderId) {
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
                return self.fail(id, run, offset);
            };
            reader.offset += frame.bytes.len() as u64;
            reader.ready = false;
            return self.reply(id, SidecarReply::Frame(frame));
        }
        if let Some(ended) = &run.end {
            let end = SidecarReply::End(ended.end.clone());
            let run = reader.run;
            self.finish(id, run, end);
        }
    }

    /// The end was said: the reader goes, and the answer counts as delivered.
    fn finish(&mut self, id: ReaderId, run: RunId, end: SidecarReply) {
        self.gone(id);
        if let Some(ended) = self.table.get_mut(&run).and_then(|run| run.end.as_mut()) {
            ended.delivered = true;
        }
        self.last_reply(id, end);
    }

    /// What a reader wants is no longer kept. It gets no gap, but an end that says so.
    fn fail(&mut self, id: ReaderId, run: RunId, offset: Offset) {
        self.gone(id);
        let Some(found) = self.table.get(&run) else {
            return;
        };
        if !found.is_trimmed() {
            let e = RunsError::Gap { run, offset };
            self.actions.push(Action::Violation(e));
        }
        let end = found.unfinished(Outcome::Unknown(UnknownCause::AnswerDropped));
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
