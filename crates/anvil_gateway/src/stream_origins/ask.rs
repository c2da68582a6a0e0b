//! Finds the service and software version of a stream that a client takes up.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::stream_origins::{HOLDERS_PER_STREAM, Origin, StreamKey};
use anvil_policy::version_history::{Beginning, ListedWithin, beginning};
use anvil_wire::msg::{
    ListedVersions, OriginCall, OriginReply, OriginRequest, Query, QueryAnswer, RecordedOrigin,
    StreamOrigin,
};
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
/// Longest wait for the ledger, if no sibling knows the stream.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(150);
/// Siblings that are asked while a service has several versions: the holders, others that may hold the
/// stream in place of one that did not answer, and the gateway that ran it, which is none of them.
const MAX_ASKED: usize = 8;

/// A sibling's reply.
type SiblingReply = (InstanceId, Result<OriginReply, WireError>);

/// What is known of where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundOrigin {
    /// Somebody knows.
    Known {
        /// The service.
        service: ServiceId,
        /// The version.
        version: SoftwareVersion,
        /// The gateway that knows; `None` if it is the ledger.
        by: Option<InstanceId>,
    },
    /// Nobody knows the stream, but its service had only this version for as long as it can be old, but for
    /// new ones of which others would have been told.
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
    /// Finds where a stream began: in this gateway's memory, in that of its siblings, or in the ledger.
    pub async fn find_origin(&self, question: OriginQuestion<'_>) -> FoundOrigin {
        let found = self.find_at_gateways(question).await;
        let FoundOrigin::Unknown(_) = found else {
            return found;
        };
        self.find_recorded(question).await.unwrap_or(found)
    }

    /// Asks the ledger.
    ///
    /// Failure: all gateways that knew the stream were killed together.
    async fn find_recorded(&self, question: OriginQuestion<'_>) -> Option<FoundOrigin> {
        let query = Query::StreamOrigin(question.key?);
        let time_left = question.deadline.saturating_duration_since(Instant::now());
        let wait = LEDGER_TIMEOUT.min(time_left);
        // Without an answer the stream stays unknown, and is refused.
        let answer = self.ledger.query(query, wait).await.ok()?;
        let QueryAnswer::StreamOrigin(Some(RecordedOrigin { service, version })) = answer else {
            return None;
        };
        Some(FoundOrigin::Known {
            service,
            version,
            by: None,
        })
    }

    async fn find_at_gateways(&self, question: OriginQuestion<'_>) -> FoundOrigin {
        let own = question.key.and_then(|key| self.known_origin(key));
        if let Some(origin) = own {
            return FoundOrigin::Known {
                service: origin.service,
                version: origin.version,
                by: Some(self.cfg.id.clone()),
            };
        }
        let own = self.versions_within(question.service, question.span);
        let (count, wait) = if self.is_mixed(question.service, question.span) {
            (MAX_ASKED, ASK_TIMEOUT)
        } else {
            (HOLDERS_PER_STREAM + 1, CONFIRM_TIMEOUT)
        };
        let until = question.deadline.min(Instant::now() + wait);
        let mut is_current = self.is_alone() || self.is_list_current();
        let mut versions = vec![own];
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
                    by: Some(by),
                };
            }
            versions.push(ListedWithin {
                all: listed.all,
                is_covering: listed.settled.is_some(),
                settled: listed.settled,
            });
            is_current = true;
        }
        let recorded = self.recorded_versions(question.service);
        match beginning(&versions, recorded.as_ref(), is_current) {
            Beginning::At(version) => FoundOrigin::OnlyVersion(version),
            Beginning::Unknown(versions) => FoundOrigin::Unknown(versions),
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

    fn is_alone(&self) -> bool {
        self.siblings.members().len() == 1
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
                versions: listed_message(self.versions_within(&service, span)),
            },
        }
    }

    fn origin_message(&self, key: StreamKey) -> Option<StreamOrigin> {
        let origin = self.known_origin(key)?;
        Some(to_message(self.lifecycle.now(), key, &origin))
    }
}

fn listed_message(listed: ListedWithin) -> ListedVersions {
    ListedVersions {
        all: listed.all,
        settled: listed.settled.filter(|_| listed.is_covering),
    }
}
