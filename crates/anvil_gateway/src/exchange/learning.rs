//! Updates the view of endpoints, and of the request itself, after each attempt.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::crash::Evidence;
use anvil_world::suspect::CrashedRun;

use super::Exchange;
use crate::attempt::{ANOTHER_HAS_IT, Doubt, NotRun, Tried};
use crate::endpoint::Endpoint;

/// Pause after an endpoint reported that it is full: about the duration of one of its requests.
const FULL_PAUSE: Duration = Duration::from_millis(25);

impl Exchange {
    /// Records the outcome of an attempt.
    pub(super) fn learn(&mut self, endpoint: &Arc<Endpoint>, tried: &Tried, waited: Duration) {
        let now = self.gw.life.now();
        match tried {
            Tried::Answer(answer) => {
                self.gw.directory.found_right(&self.service);
                self.gw.endpoint_lives(endpoint);
                if let Some(load) = &answer.head.load {
                    endpoint.heard(now, load);
                }
                endpoint
                    .load()
                    .answered(answer.parts.status.is_server_error());
            }
            Tried::NotRun(NotRun::Refused(ANOTHER_HAS_IT)) => {
                self.gw.endpoint_crashed(&endpoint.id, Evidence::Replaced);
                endpoint.leave();
                self.gw.directory.found_replaced(&self.service);
                self.gw.list_doubted.notify_one();
            }
            Tried::NotRun(NotRun::Refused(_)) => endpoint.load().was_full(now, FULL_PAUSE),
            Tried::NotRun(NotRun::Unreachable(why)) => self.endpoint_failed(endpoint, why),
            // Not a sign of failure if the client's timeout is shorter than a normal response
            // takes.
            Tried::Doubt(Doubt::Silent) if waited < self.route.target => {}
            Tried::Doubt(doubt) => {
                self.answer_lost(endpoint, CrashedRun::BeforeOutput, &format!("{doubt:?}"));
            }
        }
    }

    /// Records that an endpoint lost the response to this request.
    pub fn answer_lost(&mut self, endpoint: &Arc<Endpoint>, run: CrashedRun, why: &str) {
        self.trace.content(self.content);
        self.endpoint_failed(endpoint, why);
        self.gw.lost_at(endpoint, self.content, run);
    }

    /// Records that an endpoint failed this request.
    pub fn endpoint_failed(&self, endpoint: &Endpoint, why: &str) {
        endpoint.failed(self.gw.life.now(), &self.gw.log, why);
    }
}
