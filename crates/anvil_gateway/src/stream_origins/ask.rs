//! Finds the software version of a stream that a client takes up.

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_policy::stream_origins::{HOLDERS_PER_STREAM, Origin, StreamKey};
use anvil_wire::msg::{OriginCall, OriginReply, OriginRequest, StreamOrigin};
use anvil_world::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, timeout_at};

use super::{ranked, to_message};
use crate::gateway::Gateway;

/// Longest wait for siblings while a service has several versions.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for siblings while this gateway knows one version only: another gateway may have a newer
/// list.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(30);
/// Siblings that are asked while a service has several versions: the holders, others that may hold the
/// stream in place of one that did not answer, and the gateway that ran it, which is none of them.
const MAX_ASKED: usize = 8;

/// Age up to which a list counts as current, as a multiple of the age at which it is read again.
const MAX_LIST_AGES: u32 = 2;

/// What is known of the version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamVersion {
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
    Only(SoftwareVersion),
    /// Nobody knows the stream. Its service had these versions, as far as this gateway can tell.
    Unknown(BTreeSet<SoftwareVersion>),
}

impl Gateway {
    /// Finds the version of a stream. `key` is `None` if the client did not name the stream; `span` is
    /// how old it can be.
    pub async fn find_stream_version(
        &self,
        key: Option<StreamKey>,
        service: &ServiceId,
        span: Duration,
        deadline: Instant,
    ) -> StreamVersion {
        if let Some(origin) = key.and_then(|key| self.known_origin(key)) {
            return StreamVersion::Known {
                service: origin.service,
                version: origin.version,
                by: self.cfg.id.clone(),
            };
        }
        let mut versions = self.versions_within(service, span);
        let (asked, wait) = if versions.len() > 1 {
            (MAX_ASKED, ASK_TIMEOUT)
        } else {
            (HOLDERS_PER_STREAM + 1, CONFIRM_TIMEOUT)
        };
        let request = OriginRequest::Ask {
            key,
            service: service.clone(),
            span,
        };
        let until = deadline.min(Instant::now() + wait);
        let mut is_current = self.is_list_current();
        let siblings = self.siblings.members();
        let skipped = self.siblings.skipped_at(self.lifecycle.now());
        let others = ranked(key.unwrap_or_default(), &siblings)
            .filter(|id| **id != self.cfg.id && !skipped.contains(*id));
        let mut replies: FuturesUnordered<_> = others
            .take(asked)
            .map(|id| self.ask(id, &request, wait))
            .collect();
        while let Ok(Some((id, reply))) = timeout_at(until, replies.next()).await {
            let Some(OriginReply::Known {
                origin,
                versions: listed,
            }) = reply
            else {
                continue;
            };
            if let Some(origin) = origin {
                return StreamVersion::Known {
                    service: origin.service,
                    version: origin.version,
                    by: id.clone(),
                };
            }
            versions.extend(listed);
            is_current = true;
        }
        if is_current {
            only(versions)
        } else {
            StreamVersion::Unknown(versions)
        }
    }

    /// Whether no other gateway can have a much newer list of endpoints than this one.
    ///
    /// Failure: a gateway that is cut off from the list and from all others knows one version only, and
    /// sends a stream to it that another gateway began at a version that came since.
    fn is_list_current(&self) -> bool {
        let is_alone = self.siblings.members().len() == 1;
        is_alone || self.list_cache.age() <= self.cfg.max_list_age * MAX_LIST_AGES
    }

    async fn ask<'a>(
        &self,
        id: &'a InstanceId,
        request: &OriginRequest,
        within: Duration,
    ) -> (&'a InstanceId, Option<OriginReply>) {
        let Some(channel) = self.siblings.channel(id) else {
            return (id, None);
        };
        // A sibling that can't answer knows nothing for this stream; others are asked as well.
        (id, channel.call::<OriginCall>(request, within).await.ok())
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
fn only(mut versions: BTreeSet<SoftwareVersion>) -> StreamVersion {
    match (versions.pop_first(), versions.is_empty()) {
        (Some(only), true) => StreamVersion::Only(only),
        (first, _) => {
            versions.extend(first);
            StreamVersion::Unknown(versions)
        }
    }
}
