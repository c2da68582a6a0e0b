//! Tells an endpoint that crashed from a connection that was lost, and under which requests it crashed.
//!
//! *Answers:* endpoints that crash, one after the other, each with some hundred requests, beside networks that
//! reset connections and endpoints that lose answers.
//!
//! *Without it:* a lost answer says nothing of its cause. A request that makes its endpoint crash looks like its
//! neighbours, and like one whose connection was reset.
//!
//! *How:* requests whose answers were lost are kept for some seconds by endpoint, until there is evidence that
//! the endpoint's process has ended: nobody listens at its address, another life answers there, or the platform
//! no longer lists it although it wasn't leaving. A request that an endpoint has answered a moment before is
//! not what others crash from: where a whole zone loses power, equal requests of many callers were under way at
//! several endpoints. And a run that had some output when its endpoint crashed speaks less against its request than one
//! that had none: it had begun without a crash.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use anvil_world::prelude::*;
use anvil_world::suspect::CrashedRun;

/// For how long evidence is waited for after a lost answer, and lost answers after evidence: a crashed endpoint
/// stays on the platform's list for some seconds.
const KEPT: Duration = Duration::from_secs(10);
/// Least time between two looks at one endpoint.
const BETWEEN_LOOKS: Duration = Duration::from_secs(1);
/// Requests that are kept for one endpoint: more than it works on at once. Further ones are left out.
const MOST_REQUESTS: usize = 256;

/// For how long an answer speaks for equal requests. Later ones may meet other software.
const ANSWER_HOLDS: Duration = Duration::from_secs(10);
/// Answers that are remembered.
const MOST_ANSWERS: usize = 4_096;

/// How it showed that an endpoint's process has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Nobody listens at its address.
    Refused,
    /// Another life answers at its address.
    Replaced,
    /// It is no longer listed, and wasn't leaving.
    Unlisted,
}

/// What a lost answer calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// Look whether the endpoint still listens.
    Look,
    /// Nothing; evidence may still come.
    Wait,
    /// Its endpoint is known to have crashed.
    Crashed,
}

/// Endpoints that lost answers or crashed within the last seconds.
#[derive(Debug, Default)]
pub struct CrashWatch {
    endpoints: BTreeMap<InstanceId, Watched>,
    answered: BTreeMap<RequestDigest, Now>,
    /// The same, the oldest first; a request that was answered again stands in it again.
    answers: VecDeque<(Now, RequestDigest)>,
}

#[derive(Debug)]
struct Watched {
    since: Now,
    looked: Option<Now>,
    has_crashed: bool,
    requests: BTreeMap<RequestDigest, CrashedRun>,
}

impl CrashWatch {
    /// A request's answer was lost at an endpoint, with its run as far as that.
    pub fn lost(
        &mut self,
        now: Now,
        endpoint: &InstanceId,
        request: RequestDigest,
        run: CrashedRun,
    ) -> Lost {
        self.forget(now);
        if self.answered.contains_key(&request) {
            return Lost::Wait;
        }
        let watched = self.watched(now, endpoint);
        if watched.has_crashed {
            return Lost::Crashed;
        }
        watched.since = now;
        let known = watched.requests.get(&request).copied();
        if known.is_some() || watched.requests.len() < MOST_REQUESTS {
            let run = known.map_or(run, |known| known.max(run));
            watched.requests.insert(request, run);
        }
        if watched.looked.is_some_and(|at| now < at + BETWEEN_LOOKS) {
            return Lost::Wait;
        }
        watched.looked = Some(now);
        Lost::Look
    }

    /// An endpoint has crashed. Returns the requests that were lost there, each of them once.
    pub fn crashed(
        &mut self,
        now: Now,
        endpoint: &InstanceId,
    ) -> BTreeMap<RequestDigest, CrashedRun> {
        self.forget(now);
        let watched = self.watched(now, endpoint);
        watched.has_crashed = true;
        let mut requests = std::mem::take(&mut watched.requests);
        requests.retain(|request, _| !self.answered.contains_key(request));
        requests
    }

    /// An endpoint answers: it lives, also where one of its name had crashed.
    pub fn lives(&mut self, endpoint: &str) {
        if let Some(watched) = self.endpoints.get(endpoint)
            && watched.has_crashed
        {
            self.endpoints.remove(endpoint);
        }
    }

    /// Whether an endpoint has answered a request a moment before.
    pub fn was_answered(&mut self, now: Now, request: RequestDigest) -> bool {
        self.forget_answers(now);
        self.answered.contains_key(&request)
    }

    /// An endpoint has answered a request.
    pub fn answered(&mut self, now: Now, request: RequestDigest) {
        self.answered.insert(request, now);
        self.answers.push_back((now, request));
        self.forget_answers(now);
    }

    fn forget_answers(&mut self, now: Now) {
        let is_over = |at: Now| now >= at + ANSWER_HOLDS;
        while let Some((at, request)) = self.answers.front().copied()
            && (is_over(at) || self.answers.len() > MOST_ANSWERS)
        {
            self.answers.pop_front();
            if self.answered.get(&request) == Some(&at) {
                self.answered.remove(&request);
            }
        }
    }

    fn watched(&mut self, now: Now, endpoint: &InstanceId) -> &mut Watched {
        let new = || Watched {
            since: now,
            looked: None,
            has_crashed: false,
            requests: BTreeMap::new(),
        };
        self.endpoints.entry(endpoint.clone()).or_insert_with(new)
    }

    fn forget(&mut self, now: Now) {
        self.forget_answers(now);
        self.endpoints
            .retain(|_, watched| now < watched.since + KEPT);
    }
}
