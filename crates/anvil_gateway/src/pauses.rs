//! Endpoints that turn requests away and ask for a pause, or state that they are leaving.
//! [`anvil_policy::pause`] decides when an endpoint gets requests again.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::pause::{self, Pause};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::retry_after::RetryAfter;
use http::StatusCode;
use slog::Logger;

use crate::dialect::AvailabilityNotice;
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;
use crate::regions::Constraints;

/// Maximum number of paused endpoints that are named in the trace of a request.
const MAX_TRACED_PAUSES: usize = 3;

/// The pause that an endpoint has asked this gateway for.
#[derive(Debug, Default)]
pub struct EndpointPause {
    pause: Pause,
    /// The request whose answer asked for it last, and when.
    requested_by: Option<(Arc<str>, Now)>,
}

/// How an endpoint's pause bars it at one moment.
#[derive(Debug, Clone, Copy)]
pub struct PauseBar {
    /// Whether it is in a pause that it asked for.
    pub is_paused: bool,
    /// Time until the pause, or the slow start after it, allows another request; zero if it does now.
    pub wait: Duration,
}

/// A pause in the trace of a request that was not sent because of it.
#[derive(Debug)]
pub struct PauseSummary {
    endpoint: InstanceId,
    requested_by: Arc<str>,
    /// Time since the answer that asked for it last.
    age: Duration,
    time_left: Duration,
}

impl fmt::Display for PauseSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            endpoint,
            requested_by,
            age,
            time_left,
        } = self;
        write!(
            f,
            "{endpoint} paused for {} ms more, by its answer to {requested_by} {} ms ago",
            time_left.as_millis(),
            age.as_millis()
        )
    }
}

impl Endpoint {
    /// Whether it gets no requests now because it asked for a pause.
    pub fn is_paused(&self, now: Now) -> bool {
        self.pause().pause.is_paused(now)
    }

    /// Whether a request that was meant for it may still be sent.
    pub fn accepts_requests(&self, now: Now) -> bool {
        !self.is_leaving() && !self.is_paused(now)
    }

    /// Whether it bears another request while other endpoints of its service pause.
    pub fn bears_another(&self, now: Now) -> bool {
        let load = self.load();
        pause::bears_another(load.estimated_requests(now), load.slots(self.slots))
    }

    /// How its pause bars it now.
    pub fn pause_bar(&self, now: Now) -> PauseBar {
        let pause = self.pause();
        PauseBar {
            is_paused: pause.pause.is_paused(now),
            wait: pause.pause.time_until_send(now),
        }
    }

    /// Counts a request that is about to be sent. Returns false if its pause does not allow it.
    pub fn try_count_after_pause(&self, now: Now, log: &Logger) -> bool {
        let mut pause = self.pause();
        let ends = pause.pause.is_first_after_end(now);
        let may_send = pause.pause.try_send(now);
        if ends {
            event!(log, events::GATEWAY_ENDPOINT_PAUSE_OVER, "endpoint" => &*self.id);
        }
        may_send
    }

    /// Records that it has taken on a request.
    pub fn record_taken_on(&self, now: Now) {
        self.pause().pause.record_taken_on(now);
    }

    fn pause_summary(&self, now: Now) -> Option<PauseSummary> {
        let pause = self.pause();
        let (requested_by, at) = pause.requested_by.as_ref()?;
        pause.pause.is_paused(now).then(|| PauseSummary {
            endpoint: self.id.clone(),
            requested_by: requested_by.clone(),
            age: now.saturating_sub(*at),
            time_left: pause.pause.time_until_send(now),
        })
    }

    /// Applies a request for a pause. Returns whether a pause begins with it.
    fn request_pause(&self, now: Now, length: Duration, id: &str) -> bool {
        let mut pause = self.pause();
        let begins = pause.pause.request(now, length, rand::random());
        pause.requested_by = Some((id.into(), now));
        begins
    }
}

impl Gateway {
    /// Applies what the response to the request `id` states about whether the endpoint takes further
    /// requests.
    pub fn apply_notice(
        &self,
        endpoint: &Endpoint,
        id: &str,
        status: StatusCode,
        notice: AvailabilityNotice,
    ) {
        if notice.leaving && endpoint.mark_leaving() {
            event!(
                self.log, events::GATEWAY_ENDPOINT_LEAVES, "endpoint" => &*endpoint.id,
                "request" => id
            );
        }
        // Other statuses speak of the request or of its sender, not of the endpoint: with 429, one
        // organisation's requests would close an endpoint to all others.
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        match notice.retry_after {
            RetryAfter::None => {}
            RetryAfter::Unreadable => self.metrics.count(metrics::PAUSES_UNREADABLE),
            RetryAfter::Time(length) => {
                self.metrics.count(metrics::PAUSES_REQUESTED);
                if endpoint.request_pause(self.lifecycle.now(), length, id) {
                    event!(
                        self.log, events::GATEWAY_ENDPOINT_PAUSE, "endpoint" => &*endpoint.id,
                        "request" => id, "for_ms" => length.as_millis()
                    );
                }
            }
        }
    }

    /// Time until the first pause ends, if all endpoints that satisfy the constraints are paused.
    pub fn common_pause(&self, service: &str, constraints: Constraints<'_>) -> Option<Duration> {
        let now = self.lifecycle.now();
        let available = self.available_endpoints(service, constraints);
        let waits = available
            .iter()
            .map(|endpoint| endpoint.pause_bar(now).wait);
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// The pauses of a service's endpoints, for the trace; only the first few.
    pub fn pause_summaries(&self, service: &str) -> Vec<PauseSummary> {
        let now = self.lifecycle.now();
        let endpoints = self.directory.service_endpoints(service);
        let summaries = endpoints
            .iter()
            .filter_map(|endpoint| endpoint.pause_summary(now));
        summaries.take(MAX_TRACED_PAUSES).collect()
    }

    /// Number of endpoints that get no requests now because they asked for a pause.
    pub fn count_paused(&self) -> u64 {
        let now = self.lifecycle.now();
        let all = self.directory.all_endpoints();
        let paused = all.iter().filter(|endpoint| endpoint.is_paused(now));
        paused.count() as u64
    }
}
