//! The state machine of a replica: the state, the lost incarnations of sidecars, and routers'
//! reports, namely requests during which endpoints crashed, limits that endpoints announced, and
//! software versions of services and streams.

use std::collections::BTreeSet;

use anvil_world::command::{Join, LiftQuarantine, QuarantineTarget};
use anvil_world::content;
use anvil_world::prelude::*;
use bincode::config::standard;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::core::{Entry, Payload};
use crate::crashed_endpoints::CrashedEndpoints;
use crate::limits::Limits;
use crate::lost_incarnations::LostIncarnations;
use crate::state::{ChangedItem, InvariantError, State};
use crate::stream_origins::StreamOrigins;
use crate::suspects::Suspects;

/// An error after which the state machine can't continue. The replica stops.
#[derive(Debug, Snafu)]
pub enum MachineError {
    /// An invariant of the state is violated.
    #[snafu(display("{source}"))]
    Invariant {
        /// The violation.
        source: InvariantError,
    },
    /// An entry or a snapshot can't be decoded by this build.
    #[snafu(display("can't decode an entry or a snapshot: {source}"))]
    Decode {
        /// The cause.
        source: bincode::error::DecodeError,
    },
    /// A command or the state can't be encoded.
    #[snafu(display("can't encode a command or the state: {source}"))]
    Encode {
        /// The cause.
        source: bincode::error::EncodeError,
    },
}

/// Contents of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Settings tree, budgets, members, claims, fences and audit trail.
    pub state: State,
    /// Lost incarnations of sidecars.
    #[serde(rename = "lives")]
    pub lost_incarnations: LostIncarnations,
    /// Requests during which endpoints crashed.
    pub suspects: Suspects,
    /// Limits that endpoints announced.
    pub limits: Limits,
    /// Services of the endpoints that crashed.
    pub crashed_endpoints: CrashedEndpoints,
    /// Shares that operators have set.
    pub shares: Shares,
    /// Software versions of each service.
    pub service_versions: RecordedVersions,
    /// Software versions at which streams run.
    pub stream_origins: StreamOrigins,
}

impl Machine {
    /// Decodes a snapshot.
    pub fn restore(data: &[u8]) -> Result<Self, MachineError> {
        let decoded = bincode::serde::decode_from_slice(data, standard());
        let ((state, lost_incarnations), read) = decoded.context(DecodeSnafu)?;
        let mut rest = data.get(read..).unwrap_or_default();
        Ok(Self {
            state,
            lost_incarnations,
            suspects: next_part(&mut rest)?,
            limits: next_part(&mut rest)?,
            crashed_endpoints: next_part(&mut rest)?,
            shares: next_part(&mut rest)?,
            service_versions: next_part(&mut rest)?,
            stream_origins: next_part(&mut rest)?,
        })
    }

    /// Encodes a snapshot.
    pub fn save(&self) -> Result<Bytes, MachineError> {
        let encoded = bincode::serde::encode_to_vec(self, standard());
        Ok(encoded.context(EncodeSnafu)?.into())
    }

    /// Applies one committed entry; fails if an invariant of the state is violated.
    pub fn apply(&mut self, entry: &Entry) -> Result<Answer, MachineError> {
        let command = match &entry.payload {
            Payload::Blank | Payload::Membership(_) => Command::Noop,
            Payload::Data(data) => decode(data)?,
        };
        let before = self.affected_member(&command);
        let answer = match &command {
            Command::LiftQuarantine(lift) => self.lift_quarantine(entry.id.index, lift),
            _ => self.state.apply(entry.id.index, entry.id.term, &command),
        };
        self.state.invariants_held().context(InvariantSnafu)?;
        self.track_incarnations(&command, before.as_ref(), &answer);
        self.apply_router_reports(entry.id.index, &command);
        self.record_crashed_endpoint(&command);
        self.record_share(&command, &answer);
        self.record_versions(&command);
        Ok(answer)
    }

    fn affected_member(&self, command: &Command) -> Option<Member> {
        let id = match command {
            Command::Join(Join { instance }) => &instance.id,
            Command::SetPresence(set) => &set.id,
            _ => return None,
        };
        self.state.members().get(id).cloned()
    }

    /// The suspect contents that an order names, for the leader to fill in.
    pub fn contents_of(&self, target: &QuarantineTarget) -> Vec<ContentDigest> {
        let service = match target {
            QuarantineTarget::Content(digest) => return vec![*digest],
            QuarantineTarget::Service(service) => content::service_digest(service),
        };
        let is_at_service = |content: ContentDigest, suspect: &SuspectContent| {
            if let Some(shared_at) = content::service_of(content) {
                return shared_at == service;
            }
            let mut endpoints = suspect.endpoints();
            endpoints.any(|endpoint| self.crashed_endpoints.is_at(endpoint, service))
        };
        let all = self.suspects.all().iter();
        let found = all.filter(|(content, suspect)| is_at_service(**content, suspect));
        found.map(|(content, _)| *content).collect()
    }

    fn record_crashed_endpoint(&mut self, command: &Command) {
        if let Command::ClearSuspects(clear) = command {
            self.crashed_endpoints.record_services(clear);
        }
        if let Command::ReportCrash(report) = command {
            self.crashed_endpoints.record(report);
            let suspects = self.suspects.all().values();
            let suspected = || {
                suspects
                    .flat_map(SuspectContent::endpoints)
                    .cloned()
                    .collect()
            };
            self.crashed_endpoints.evict_excess(suspected);
        }
    }

    fn record_share(&mut self, command: &Command, answer: &Answer) {
        let Command::SetShare(order) = command else {
            return;
        };
        if matches!(answer, Answer::Changed(receipt) if !receipt.resent) {
            self.shares.set(order.target.clone(), order.factor);
        }
    }

    fn record_versions(&mut self, command: &Command) {
        match command {
            Command::RecordVersions(report) => {
                let versions = &mut self.service_versions;
                versions.remove(&report.service, &report.ended);
                versions.add(&report.service, &report.listed);
            }
            Command::RecordOrigins(report) => self.stream_origins.record(report),
            _ => {}
        }
    }

    fn lift_quarantine(&mut self, index: LogIndex, lift: &LiftQuarantine) -> Answer {
        let mut suspects = self.suspects.clone();
        let lifted = suspects.lift(&lift.contents);
        let answer = self.state.apply_lift(index, lift, &lifted);
        if matches!(&answer, Answer::Changed(receipt) if !receipt.resent) {
            self.suspects = suspects;
        }
        answer
    }

    fn apply_router_reports(&mut self, index: LogIndex, command: &Command) {
        let suspects = match command {
            Command::ReportCrash(report) => self.suspects.report(report),
            Command::ClearSuspects(clear) => self.suspects.clear(clear),
            _ => BTreeSet::new(),
        };
        let limits = match command {
            Command::ReportLimit(report) => self.limits.report(report),
            _ => BTreeSet::new(),
        };
        let suspects = suspects.into_iter().map(ChangedItem::Suspect);
        let limits = limits.into_iter().map(ChangedItem::Limit);
        for changed_item in suspects.chain(limits) {
            self.state.record_change(index, changed_item);
        }
    }

    fn track_incarnations(&mut self, command: &Command, before: Option<&Member>, answer: &Answer) {
        match (command, answer) {
            (_, Answer::Denied(_)) => {}
            (Command::Join(join), _) => self.lost_incarnations.joined(before, &join.instance),
            (Command::SetPresence(set), _) if set.presence == Presence::Gone => {
                if let Some(member) = before.filter(|m| m.presence != Presence::Gone) {
                    self.lost_incarnations.gone(member);
                }
            }
            (_, Answer::Grants(grants)) => {
                for grant in &grants.opened {
                    self.lost_incarnations.opened(grant.id);
                }
            }
            _ => {}
        }
    }
}

/// Decodes the next part of a snapshot; a snapshot of an earlier build ends before it.
fn next_part<T: Default + DeserializeOwned>(rest: &mut &[u8]) -> Result<T, MachineError> {
    if rest.is_empty() {
        return Ok(T::default());
    }
    let decoded = bincode::serde::decode_from_slice(rest, standard());
    let (part, read) = decoded.context(DecodeSnafu)?;
    *rest = rest.get(read..).unwrap_or_default();
    Ok(part)
}

/// Encodes a command for the log.
pub fn encode(command: &Command) -> Result<Bytes, MachineError> {
    let encoded = bincode::serde::encode_to_vec(command, standard());
    Ok(encoded.context(EncodeSnafu)?.into())
}

/// Decodes a command from the log.
pub fn decode(data: &[u8]) -> Result<Command, MachineError> {
    let decoded = bincode::serde::decode_from_slice(data, standard());
    let (command, _) = decoded.context(DecodeSnafu)?;
    Ok(command)
}
