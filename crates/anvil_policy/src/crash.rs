//! Distinguishes crashed endpoints from lost connections, and finds the requests that were in
//! flight at a crash.
//!
//! *Load pattern:* endpoints that crash one after the other, each with some hundred requests in
//! flight, while networks reset connections and endpoints lose answers.
//!
//! *Without it:* a lost answer doesn't show its cause. A request that crashes its endpoint looks
//! like the other requests there, and like one whose connection was reset.
//!
//! *Mechanism:* requests whose answers were lost are kept for some seconds by endpoint, until there
//! is evidence that the endpoint's process has ended: connections to its address are refused,
//! another incarnation answers there, or the platform no longer lists it although it wasn't
//! leaving. A request that an endpoint has answered recently is not suspected of causing crashes:
//! when a whole zone loses power, equal requests of many callers are in flight at several
//! endpoints. A run that had produced output before the crash is weaker evidence against its
//! request than one that had not, as it had started without a crash.
//!
//! *Thresholds:* lost answers and evidence are matched within some seconds, because a crashed
//! endpoint stays listed that long; probes and memory are bounded where an endpoint loses thousands
//! of answers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

/// How long lost answers wait for evidence of a crash, and evidence for lost answers: a crashed
/// endpoint stays on the platform's list for some seconds.
const RETENTION: Duration = Duration::from_secs(10);
/// Minimum time between two probes of one endpoint.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of requests kept for one endpoint: more than it works on at a time. Further ones
/// are ignored.
const MAX_REQUESTS: usize = 256;

/// How long an answer clears equal requests. Later ones may run on a different software version.
const ANSWER_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 4_096;

/// Evidence that an endpoint's process has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Connections to its address are refused.
    Refused,
    /// Another incarnation answers at its address.
    Replaced,
    /// It is no longer listed, and wasn't leaving.
    Unlisted,
}

/// What the caller has to do about a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostAnswerAction {
    /// Probe whether the endpoint still accepts connections.
    Probe,
    /// Nothing; evidence may still come.
    Wait,
    /// Report the request: its endpoint is known to have crashed.
    Crashed,
}

/// Endpoints that lost answers or crashed within the last seconds.
#[derive(Debug, Default)]
pub struct CrashWatch {
    endpoints: BTreeMap<InstanceId, EndpointLosses>,
    answered_at: BTreeMap<ContentDigest, Now>,
    /// The same answers, oldest first; a request that was answered again occurs again.
    answer_order: VecDeque<(Now, ContentDigest)>,
}

#[derive(Debug)]
struct EndpointLosses {
    updated_at: Now,
    probed_at: Option<Now>,
    has_crashed: bool,
    requests: BTreeMap<ContentDigest, CrashedRun>,
}

impl CrashWatch {
    /// Records that the answer to a request was lost at an endpoint, and whether its run had
    /// produced output.
    pub fn record_lost_answer(
        &mut self,
        now: Now,
        endpoint: &InstanceId,
        request: ContentDigest,
        run: CrashedRun,
    ) -> LostAnswerAction {
        self.prune(now);
        if self.answered_at.contains_key(&request) {
            return LostAnswerAction::Wait;
        }
        let losses = self.losses(now, endpoint);
        if losses.has_crashed {
            return LostAnswerAction::Crashed;
        }
        losses.updated_at = now;
        let known = losses.requests.get(&request).copied();
        if known.is_some() || losses.requests.len() < MAX_REQUESTS {
            let run = known.map_or(run, |known| known.max(run));
            losses.requests.insert(request, run);
        }
        if losses.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL) {
            return LostAnswerAction::Wait;
        }
        losses.probed_at = Some(now);
        LostAnswerAction::Probe
    }

    /// Records that an endpoint has crashed. Returns the requests whose answers were lost there,
    /// each of them once.
    pub fn record_crash(
        &mut self,
        now: Now,
        endpoint: &InstanceId,
    ) -> BTreeMap<ContentDigest, CrashedRun> {
        self.prune(now);
        let losses = self.losses(now, endpoint);
        losses.has_crashed = true;
        let mut requests = std::mem::take(&mut losses.requests);
        requests.retain(|request, _| !self.answered_at.contains_key(request));
        requests
    }

    /// Records that an endpoint answers: it is alive, even if an endpoint of the same name has
    /// crashed.
    pub fn record_alive(&mut self, endpoint: &str) {
        if let Some(losses) = self.endpoints.get(endpoint)
            && losses.has_crashed
        {
            self.endpoints.remove(endpoint);
        }
    }

    /// Whether an endpoint has answered a request recently.
    pub fn was_recently_answered(&mut self, now: Now, request: ContentDigest) -> bool {
        self.prune_answers(now);
        self.answered_at.contains_key(&request)
    }

    /// Records that an endpoint has answered a request.
    pub fn record_answer(&mut self, now: Now, request: ContentDigest) {
        self.answered_at.insert(request, now);
        self.answer_order.push_back((now, request));
        self.prune_answers(now);
    }

    fn prune_answers(&mut self, now: Now) {
        let is_expired = |at: Now| now >= at + ANSWER_RETENTION;
        while let Some((at, request)) = self.answer_order.front().copied()
            && (is_expired(at) || self.answer_order.len() > MAX_ANSWERS)
        {
            self.answer_order.pop_front();
            if self.answered_at.get(&request) == Some(&at) {
                self.answered_at.remove(&request);
            }
        }
    }

    fn losses(&mut self, now: Now, endpoint: &InstanceId) -> &mut EndpointLosses {
        let new = || EndpointLosses {
            updated_at: now,
            probed_at: None,
            has_crashed: false,
            requests: BTreeMap::new(),
        };
        self.endpoints.entry(endpoint.clone()).or_insert_with(new)
    }

    fn prune(&mut self, now: Now) {
        self.prune_answers(now);
        self.endpoints
            .retain(|_, losses| now < losses.updated_at + RETENTION);
    }
}
