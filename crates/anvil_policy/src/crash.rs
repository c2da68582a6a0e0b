//! Distinguishes crashed endpoints from lost connections, and finds the contents of the requests that
//! were in flight at a crash.
//!
//! *Load pattern:* endpoints that crash one after the other, each with some hundred requests in
//! flight, while networks reset connections and endpoints lose answers.
//!
//! *Without it:* a lost answer doesn't show its cause. A request that crashes its endpoint looks
//! like the other requests there, and like one whose connection was reset.
//!
//! *Mechanism:* the contents of requests whose answers were lost are kept for some seconds by
//! endpoint, until there is evidence that the endpoint's process has ended: connections to its
//! address are refused, another incarnation answers there, or the platform no longer lists it
//! although it wasn't leaving. A content is a whole request, or a part that its prompt shares with
//! others. One that was answered recently is not suspected of causing crashes: when a whole zone loses
//! power, equal requests of many callers are in flight at several endpoints, and sound requests share
//! all parts but one with those that crash endpoints. A run that had produced output before the crash
//! is weaker evidence against its contents than one that had not, as it had started without a crash.
//!
//! An answer long ago clears a shared content for the crashes of a few seconds only, so that one which
//! was sound and crashes endpoints now is not cleared forever, and one that is rarely used is not blamed
//! for the crashes of others, also where all endpoints are lost at once.
//!
//! *Thresholds:* lost answers and evidence are matched within some seconds, because a crashed
//! endpoint stays listed that long; probes and memory are bounded where an endpoint loses thousands
//! of answers, or requests consist of made-up parts.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

use crate::recent_answers::RecentAnswers;

/// How long lost answers wait for evidence of a crash, and evidence for lost answers: a crashed
/// endpoint stays on the platform's list for some seconds.
const RETENTION: Duration = Duration::from_secs(10);
/// Minimum time between two probes of one endpoint.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of contents kept for one endpoint: those of more requests than it works on at a time.
/// Further ones are ignored.
const MAX_CONTENTS: usize = 4_096;

/// For how long an answer keeps equal contents from being reported. Later ones may run on a different
/// software version.
const ANSWER_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of answered requests that are remembered.
const MAX_ANSWERED_REQUESTS: usize = 4_096;
/// For how long answers to shared contents are remembered.
const SHARED_ANSWER_RETENTION: Duration = Duration::from_mins(10);
/// For how long such an answer clears its content, from the first time on. Within this time gateways
/// notice all crashes of endpoints that are lost together.
const CLEARING_TIME: Duration = Duration::from_secs(3);
/// Maximum number of answered shared contents that are remembered.
const MAX_ANSWERED_SHARED: usize = 16_384;

/// What one run consists of, as far as a crash can be blamed on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunContents {
    /// The whole request.
    pub request: ContentDigest,
    /// What it shares with others, at the service and version of its endpoint.
    pub shared: Vec<ContentDigest>,
}

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
    /// Report its contents: its endpoint is known to have crashed.
    Crashed,
}

/// Endpoints that lost answers or crashed within the last seconds, and what was answered recently.
#[derive(Debug)]
pub struct CrashWatch {
    endpoints: BTreeMap<InstanceId, EndpointLosses>,
    requests: RecentAnswers,
    shared: RecentAnswers,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            requests: RecentAnswers::new(ANSWER_RETENTION, MAX_ANSWERED_REQUESTS),
            shared: RecentAnswers::new(SHARED_ANSWER_RETENTION, MAX_ANSWERED_SHARED),
        }
    }
}

#[derive(Debug)]
struct EndpointLosses {
    updated_at: Now,
    probed_at: Option<Now>,
    has_crashed: bool,
    contents: BTreeMap<ContentDigest, CrashedRun>,
}

impl EndpointLosses {
    fn add(&mut self, content: ContentDigest, run: CrashedRun) {
        let known = self.contents.get(&content).copied();
        if known.is_some() || self.contents.len() < MAX_CONTENTS {
            let run = known.map_or(run, |known| known.max(run));
            self.contents.insert(content, run);
        }
    }
}

impl CrashWatch {
    /// Records that the answer to a request was lost at an endpoint, and whether its run had
    /// produced output.
    pub fn record_lost_answer(
        &mut self,
        now: Now,
        endpoint: &InstanceId,
        contents: &RunContents,
        run: CrashedRun,
    ) -> LostAnswerAction {
        self.prune(now);
        let request = [contents.request];
        let all = request.iter().chain(&contents.shared).copied();
        let unanswered: Vec<_> = all
            .filter(|content| !self.was_just_answered(now, *content))
            .collect();
        if unanswered.is_empty() {
            return LostAnswerAction::Wait;
        }
        let losses = self.losses(now, endpoint);
        losses.updated_at = now;
        for content in unanswered {
            losses.add(content, run);
        }
        if losses.has_crashed {
            return LostAnswerAction::Crashed;
        }
        if losses.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL) {
            return LostAnswerAction::Wait;
        }
        losses.probed_at = Some(now);
        LostAnswerAction::Probe
    }

    /// Records that an endpoint has crashed. Returns the contents whose answers were lost there,
    /// each of them once.
    pub fn record_crash(
        &mut self,
        now: Now,
        endpoint: &InstanceId,
    ) -> BTreeMap<ContentDigest, CrashedRun> {
        self.prune(now);
        let losses = self.losses(now, endpoint);
        losses.has_crashed = true;
        let mut contents = std::mem::take(&mut losses.contents);
        contents.retain(|content, _| !self.was_just_answered(now, *content));
        contents
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

    /// Records that an endpoint has answered a request completely.
    pub fn record_answer(&mut self, now: Now, request: ContentDigest) {
        self.requests.record(now, request);
    }

    /// Records that an endpoint writes an answer to a request with these shared contents.
    pub fn record_shared_answers(&mut self, now: Now, contents: &[ContentDigest]) {
        for content in contents {
            self.shared.record(now, *content);
        }
    }

    /// Whether a shared content has been answered, so that it is sound at its service and version.
    pub fn was_shared_answered(&self, now: Now, content: ContentDigest) -> bool {
        self.shared.contains(now, content)
    }

    /// Whether an earlier answer clears a content that is suspected now.
    pub fn clears(&mut self, now: Now, content: ContentDigest) -> bool {
        self.requests.contains(now, content) || self.shared.can_use(now, content, CLEARING_TIME)
    }

    fn was_just_answered(&self, now: Now, content: ContentDigest) -> bool {
        let shared = &self.shared;
        self.requests.contains(now, content)
            || shared.contains_within(now, content, ANSWER_RETENTION)
    }

    fn losses(&mut self, now: Now, endpoint: &InstanceId) -> &mut EndpointLosses {
        let new = || EndpointLosses {
            updated_at: now,
            probed_at: None,
            has_crashed: false,
            contents: BTreeMap::new(),
        };
        self.endpoints.entry(endpoint.clone()).or_insert_with(new)
    }

    fn prune(&mut self, now: Now) {
        self.endpoints
            .retain(|_, losses| now < losses.updated_at + RETENTION);
    }
}
