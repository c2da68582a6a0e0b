//! Endpoints that ask for a pause when they turn a request away, or state that they are leaving.

use anvilreel::event;
use http::StatusCode;

use crate::dialect::{AvailabilityNotice, RetryAfter};
use crate::endpoint::Endpoint;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;

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
        if notice.leaving {
            event!(
                self.log, events::GATEWAY_ENDPOINT_LEAVES, "endpoint" => &*endpoint.id,
                "request" => id
            );
        }
        // Other statuses speak of the request or of its sender, not of the endpoint.
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        match notice.retry_after {
            RetryAfter::None => {}
            RetryAfter::Unreadable => self.metrics.count(metrics::PAUSES_UNREADABLE),
            RetryAfter::Time(time) => {
                self.metrics.count(metrics::PAUSES_REQUESTED);
                event!(
                    self.log, events::GATEWAY_ENDPOINT_PAUSE, "endpoint" => &*endpoint.id,
                    "request" => id, "for_ms" => time.as_millis()
                );
            }
        }
    }
}
