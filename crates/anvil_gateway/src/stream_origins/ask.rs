//! Finds the service and software version of a stream that a client takes up.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::stream_origins::{HOLDERS_PER_STREAM, Origin, StreamKey};
use anvil_wire::msg::{OriginCall, OriginReply, OriginRequest, StreamOrigin};
use anvil_wire::{Channel, WireError};
use anvil_world::prelude::*;
use futures::stream::FuturesUnordered;
use futures::{Stream, StreamExt};
use tokio::time::{Instant, timeout_at};

use super::{ranked, to_message};
use crate::gateway::Gateway;

/// Longest wait for siblings while a service has several versions.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for siblings while this gateway knows one version only: another gateway may have a newer
/// list.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(30);
/// Timeout of one call, longer than any wait: a call that times out costs its channel the connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Siblings that are asked while a service has several versions: the holders, others that may hold the
/// stream in place of one that did not answer, and the gateway that ran it, which is none of them.
const MAX_ASKED: usize = 8;

/// Age up to which a list counts as current, as a multiple of the age at which it is read again.
const MAX_LIST_AGES: u32 = 2;

/// A sibling's reply.
type SiblingReply = (InstanceId, Result<OriginReply, WireError>);

/// What is known of where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundOrigin {
    /// A gateway that ran it knows.
    Known {
        /// The service.
        service: ServiceId,
        /// The version.
        version: SoftwareVersion,
        /// The gateway that knows.
        by: InstanceId,
    },
    /// Nobody knows the stream, but its service had only this version for as long as it can be old.
    OnlyVersion(SoftwareVersion),
    /// Nobody knows the stream. Its service had these versions, as far as this gateway can tell.
    Unknown(BTreeSet<SoftwareVersion>),
}

/// What is asked about a stream.
#[derive(Debug, Clone, Copy)]
pub struct OriginQuestion<'a> {
    /// The stream; `None` if its client did not name it.
    pub key: Option<StreamKey>,
    /// The service to which it would go now.
    pub service: &'a ServiceId,
    /// How old it can be.
    pub span: Duration,
    /// Until when the client waits.
    pub deadline: Instant,
}

impl Gateway {
    /// Finds where a stream began: in this gateway's memory, or in that of its siblings.
    pub async fn find_origin(&self, question: OriginQuestion<'_>) -> FoundOrigin {
        let own = question.key.and_then(|key| self.known_origin(key));
        if let Some(origin) = own {
            return FoundOrigin::Known {
                service: origin.service,
                version: origin.version,
                by: self.cfg.id.clone(),
            };
        }
        let mut versions = self.versions_within(question.service, question.span);
        let (count, wait) = if versions.len() > 1 {
            (MAX_ASKED, ASK_TIMEOUT)
        } else {
            (HOLDERS_PER_STREAM + 1, CONFIRM_TIMEOUT)
        };
        let until = question.deadline.min(Instant::now() + wait);
        let mut is_current = self.is_list_current();
        let mut replies = self.ask_siblings(question, count);
        while let Ok(Some((by, reply))) = timeout_at(until, replies.next()).await {
            // A sibling that does not answer knows nothing for this stream.
            let Ok(OriginReply::Known {
                origin,
                versions: listed,
            }) = reply
            else {
                continue;
            };
            if let Some(StreamOrigin {
                service, version, ..
            }) = origin
            {
                return FoundOrigin::Known {
                    service,
                    version,
                    by,
                };
            }
            versions.extend(listed);
            is_current = true;
        }
        if is_current {
            only(versions)
        } else {
            FoundOrigin::Unknown(versions)
        }
    }

    /// The replies of the first siblings that a stream's origin is asked of, in the order in which they
    /// come.
    fn ask_siblings(
        &self,
        question: OriginQuestion<'_>,
        count: usize,
    ) -> impl Stream<Item = SiblingReply> + use<> {
        let siblings = self.siblings.members();
        let skipped = self.siblings.skipped_at(self.lifecycle.now());
        let others = ranked(question.key.unwrap_or_default(), &siblings)
            .filter(|id| **id != self.cfg.id && !skipped.contains(*id));
        let request = OriginRequest::Ask {
            key: question.key,
            service: question.service.clone(),
            span: question.span,
        };
        let channels = others
            .take(count)
            .filter_map(|id| Some((id.clone(), self.siblings.channel(id)?)));
        let ask = |(id, channel): (InstanceId, Channel)| {
            let request = request.clone();
            async move { (id, channel.call::<OriginCall>(&request, CALL_TIMEOUT).await) }
        };
        channels.map(ask).collect::<FuturesUnordered<_>>()
    }

    /// Whether no other gateway can have a much newer list of endpoints than this one.
    ///
    /// Failure: a gateway that is cut off from the list and from all others knows one version only, and
    /// sends a stream to it that another gateway began at a version that came since.
    fn is_list_current(&self) -> bool {
        let is_alone = self.siblings.members().len() == 1;
        is_alone || self.list_cache.age() <= self.cfg.max_list_age * MAX_LIST_AGES
    }

    fn known_origin(&self, key: StreamKey) -> Option<Origin> {
        let known = self.stream_origins.known();
        known.get(self.lifecycle.now(), key).cloned()
    }

    /// Replies to another gateway.
    pub fn answer_origin_request(&self, request: OriginRequest) -> OriginReply {
        match request {
            OriginRequest::Tell(origins) => {
                for origin in origins {
                    self.store_told(origin);
                }
                OriginReply::Stored
            }
            OriginRequest::Ask { key, service, span } => OriginReply::Known {
                origin: key.and_then(|key| self.origin_message(key)),
                versions: self.versions_within(&service, span),
            },
        }
    }

    fn origin_message(&self, key: StreamKey) -> Option<StreamOrigin> {
        let origin = self.known_origin(key)?;
        Some(to_message(self.lifecycle.now(), key, &origin))
    }
}

/// The version of a stream that nobody knows, in a service with these versions.
fn only(mut versions: BTreeSet<SoftwareVersion>) -> FoundOrigin {
    match (versions.pop_first(), versions.is_empty()) {
        (Some(only), true) => FoundOrigin::OnlyVersion(only),
        (first, _) => {
            versions.extend(first);
            FoundOrigin::Unknown(versions)
        }
    }
}
