//! Streams that a client takes up: they go on only at the service and software version that began them.

use std::time::Duration;

use anvil_policy::stream_origins::{StreamKey, stream_key};
use anvil_world::prelude::*;

use super::{Exchange, RequestRefusal, spread_return};
use crate::availability;
use crate::metrics;
use crate::reply::Cause;
use crate::stream_origins::RunningStream;
use crate::stream_origins::ask::{FoundOrigin, OriginQuestion};

/// Retry-after time of a stream that can't go on now: the time in which a lost gateway or endpoint
/// returns.
pub(super) const TAKE_UP_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Exchange {
    /// If the client takes a stream up, restricts it to the service and version that began it. A stream
    /// whose version nobody knows is refused: any endpoint would be a guess.
    pub(super) async fn bind_taken_up(&mut self) -> Result<(), RequestRefusal> {
        if !self.request.takes_up() || !self.route.retry_mode.is_stream() {
            return Ok(());
        }
        self.gw.metrics.count(metrics::STREAMS_TAKEN_UP);
        let first = &self.request.first_attempt;
        let key = first.as_ref().map(|first| self.key_of(first));
        self.wait_for_first_list().await;
        let question = OriginQuestion {
            key,
            service: &self.service,
            span: self.route.max_stream_age(),
            deadline: self.deadline,
        };
        let found = self.gw.find_origin(question).await;
        let version = match found {
            FoundOrigin::Known {
                service,
                version,
                by,
            } => {
                let by = by.as_deref().unwrap_or("the ledger");
                self.trace
                    .step(format_args!("began at {version}, known by {by}"));
                // A route that no longer names the service leaves the stream without endpoints.
                if !self.route.names(&service) {
                    return Err((Cause::VersionGone, spread_return(TAKE_UP_RETRY_AFTER)));
                }
                self.service = service;
                version
            }
            FoundOrigin::OnlyVersion(version) => {
                self.trace
                    .step(format_args!("began at {version}, the only settled version"));
                version
            }
            FoundOrigin::Unknown(versions) if versions.is_empty() => {
                return Err((Cause::NoEndpoint, spread_return(TAKE_UP_RETRY_AFTER)));
            }
            FoundOrigin::Unknown(versions) => {
                self.trace
                    .step(format_args!("began at one of {versions:?}"));
                return Err((Cause::StreamUnknown, spread_return(TAKE_UP_RETRY_AFTER)));
            }
        };
        if let Some(key) = key {
            self.gw.record_origin(self.running_stream(key), &version);
            self.gw.mark_bound(key);
        }
        self.stream_version = Some(version);
        Ok(())
    }

    /// Waits for a list of endpoints if this gateway has just started and has none.
    async fn wait_for_first_list(&self) {
        let max_wait = availability::endpoints_wait(self.gw.cfg.list.max_lag, self.time_left());
        let has_list = || self.gw.has_listed_versions().then_some(());
        availability::wait_until_available(&self.gw, max_wait, has_list).await;
    }

    /// Records the version of the endpoint to which a stream is about to be sent, so that it is known
    /// elsewhere before its first event.
    pub(super) fn record_origin(&self, version: &SoftwareVersion) {
        let is_bound = self.stream_version.is_some();
        if !is_bound && self.route.retry_mode.may_resume_elsewhere() {
            let key = self.key_of(&self.request.id);
            self.gw.record_origin(self.running_stream(key), version);
        }
    }

    /// Versions at which a stream that may be taken up should not begin: gateways that have not listed them
    /// yet would take it for one of another version.
    pub(super) fn versions_to_avoid(&self) -> Vec<SoftwareVersion> {
        if self.stream_version.is_some() || !self.route.retry_mode.may_resume_elsewhere() {
            return Vec::new();
        }
        self.gw.new_versions(&self.service)
    }

    fn key_of(&self, first_attempt: &AttemptId) -> StreamKey {
        let organisation = self.organisation.as_ref().map(|payer| &*payer.id);
        stream_key(organisation.unwrap_or_default(), first_attempt)
    }

    /// Binds the stream to the version of its first event, which goes to the client next.
    pub fn bind_stream(&mut self, version: &SoftwareVersion) {
        if self.stream_version.is_some() {
            return;
        }
        self.stream_version = Some(version.clone());
        if self.route.retry_mode.may_resume_elsewhere() {
            self.gw.mark_bound(self.key_of(&self.request.id));
        }
    }

    fn running_stream(&self, key: StreamKey) -> RunningStream<'_> {
        RunningStream {
            key,
            service: &self.service,
            is_split: self.route.services.len() > 1,
            span: self.route.max_stream_age(),
            client_timeout: self.request.timeout,
        }
    }
}
