//! What a replica makes of the committed entries: the state, the lives of sidecars, and what routers tell of
//! endpoints: requests under which they crashed, and limits that they announced.

use std::collections::BTreeSet;

use anvil_world::command::Join;
use anvil_world::prelude::*;
use bincode::config::standard;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::core::{Entry, Payload};
use crate::limits::Limits;
use crate::lives::Lives;
use crate::state::{InvariantError, State, Touched};
use crate::suspects::Suspects;

/// A state machine that can't go on. The replica stops.
#[derive(Debug, Snafu)]
pub enum MachineError {
    /// An invariant of the state does not hold.
    #[snafu(display("{source}"))]
    Invariant {
        /// Which.
        source: InvariantError,
    },
    /// An entry or a snapshot that this build can't read.
    #[snafu(display("an entry or a snapshot can't be read: {source}"))]
    Decode {
        /// Why.
        source: bincode::error::DecodeError,
    },
    /// A command or a state that can't be written.
    #[snafu(display("a command or the state can't be written: {source}"))]
    Encode {
        /// Why.
        source: bincode::error::EncodeError,
    },
}

/// Everything that a snapshot holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Tree, money, members, claims, fences and audit trail.
    pub state: State,
    /// Sidecar lives that were lost.
    pub lives: Lives,
    /// Requests under which endpoints crashed.
    pub suspects: Suspects,
    /// Limits that endpoints announced.
    pub limits: Limits,
}

impl Machine {
    /// Reads a snapshot.
    pub fn restore(data: &[u8]) -> Result<Self, MachineError> {
        let decoded = bincode::serde::decode_from_slice(data, standard());
        let ((state, lives), read) = decoded.context(DecodeSnafu)?;
        let mut rest = data.get(read..).unwrap_or_default();
        Ok(Self {
            state,
            lives,
            suspects: next_part(&mut rest)?,
            limits: next_part(&mut rest)?,
        })
    }

    /// Writes a snapshot.
    pub fn save(&self) -> Result<Bytes, MachineError> {
        let encoded = bincode::serde::encode_to_vec(self, standard());
        Ok(encoded.context(EncodeSnafu)?.into())
    }

    /// Applies one committed entry; asserts the state's invariants.
    pub fn apply(&mut self, entry: &Entry) -> Result<Answer, MachineError> {
        let command = match &entry.payload {
            Payload::Blank | Payload::Membership(_) => Command::Noop,
            Payload::Data(data) => decode(data)?,
        };
        let before = self.member_named_in(&command);
        let answer = self.state.apply(entry.id.index, entry.id.term, &command);
        self.state.holds().context(InvariantSnafu)?;
        self.follow_lives(&command, before.as_ref(), &answer);
        self.follow_routers(entry.id.index, &command);
        Ok(answer)
    }

    fn member_named_in(&self, command: &Command) -> Option<Member> {
        let id = match command {
            Command::Join(Join { instance }) => &instance.id,
            Command::SetPresence(set) => &set.id,
            _ => return None,
        };
        self.state.members().get(id).cloned()
    }

    fn follow_routers(&mut self, index: LogIndex, command: &Command) {
        let suspects = match command {
            Command::ReportCrash(report) => self.suspects.report(report),
            Command::ClearSuspects(clear) => self.suspects.clear(clear),
            _ => BTreeSet::new(),
        };
        let limits = match command {
            Command::ReportLimit(report) => self.limits.report(report),
            _ => BTreeSet::new(),
        };
        let suspects = suspects.into_iter().map(Touched::Suspect);
        let limits = limits.into_iter().map(Touched::Limit);
        for touched in suspects.chain(limits) {
            self.state.touch(index, touched);
        }
    }

    fn follow_lives(&mut self, command: &Command, before: Option<&Member>, answer: &Answer) {
        match (command, answer) {
            (_, Answer::Denied(_)) => {}
            (Command::Join(join), _) => self.lives.joined(before, &join.instance),
            (Command::SetPresence(set), _) if set.presence == Presence::Gone => {
                if let Some(member) = before.filter(|m| m.presence != Presence::Gone) {
                    self.lives.gone(member);
                }
            }
            (_, Answer::Grants(grants)) => {
                for grant in &grants.opened {
                    self.lives.opened(grant.id);
                }
            }
            _ => {}
        }
    }
}

/// The next part of a snapshot; that of an earlier build ends before it.
fn next_part<T: Default + DeserializeOwned>(rest: &mut &[u8]) -> Result<T, MachineError> {
    if rest.is_empty() {
        return Ok(T::default());
    }
    let decoded = bincode::serde::decode_from_slice(rest, standard());
    let (part, read) = decoded.context(DecodeSnafu)?;
    *rest = rest.get(read..).unwrap_or_default();
    Ok(part)
}

/// A command as the log holds it.
pub fn encode(command: &Command) -> Result<Bytes, MachineError> {
    let encoded = bincode::serde::encode_to_vec(command, standard());
    Ok(encoded.context(EncodeSnafu)?.into())
}

/// Reads a command of the log.
pub fn decode(data: &[u8]) -> Result<Command, MachineError> {
    let decoded = bincode::serde::decode_from_slice(data, standard());
    let (command, _) = decoded.context(DecodeSnafu)?;
    Ok(command)
}
