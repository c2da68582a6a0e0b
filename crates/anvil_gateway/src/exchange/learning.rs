//! What a request teaches of the endpoints that it is sent to, and of itself.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::crash::Evidence;
use anvil_world::suspect::CrashedRun;

use super::Exchange;
use crate::attempt::{ANOTHER_HAS_IT, Doubt, NotRun, Tried};
use crate::endpoint::Endpoint;

/// A full endpoint gets nothing for about the time of one of its requests.
const FULL_PAUSE: Duration = Duration::from_millis(25);

impl Exchange {
    /// Takes in what came of sending it to an endpoint.
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
            // A client that waits for less than an answer takes says nothing of the endpoint.
            Tried::Doubt(Doubt::Silent) if waited < self.route.target => {}
            Tried::Doubt(doubt) => {
                self.answer_lost(endpoint, CrashedRun::BeforeOutput, &format!("{doubt:?}"));
            }
        }
    }

    /// Notes that an endpoint lost the answer to this request.
    pub fn answer_lost(&mut self, endpoint: &Arc<Endpoint>, run: CrashedRun, why: &str) {
        self.trace.content(self.content);
        self.endpoint_failed(endpoint, why);
        self.gw.lost_at(endpoint, self.content, run);
    }

    /// Notes that an endpoint failed this request.
    pub fn endpoint_failed(&self, endpoint: &Endpoint, why: &str) {
        endpoint.failed(self.gw.life.now(), &self.gw.log, why);
    }
}
