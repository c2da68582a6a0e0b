//! Endpoints that crash under certain requests, and return as new incarnations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::endpoint::{ReceivedRequest, Step, TestEndpoint};
use crate::processes::Processes;

/// Endpoints that run concurrently.
const ENDPOINTS: usize = 6;
/// A crashed endpoint stays on the list for this time.
const DELISTED_AFTER: Duration = Duration::from_millis(500);
/// A crashed endpoint returns as a new incarnation after this time.
const RESTARTED_AFTER: Duration = Duration::from_millis(700);
/// Time in which all gateways learn what crashes endpoints.
pub const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Later arrivals that are tolerated.
pub const TOLERATED_LATE_ARRIVALS: usize = 3;

/// What an endpoint does with a request.
type Behaviour = fn(&ReceivedRequest) -> Vec<Step>;

/// The endpoints of one test, and when they received requests that crashed them.
#[derive(Clone)]
pub struct CrashingEndpoints {
    behave: Behaviour,
    listed: Arc<Mutex<BTreeMap<String, (SocketAddr, &'static str)>>>,
    crashing_arrivals: Arc<Mutex<Vec<Instant>>>,
    started: Arc<Mutex<usize>>,
    version: Arc<Mutex<&'static str>>,
}

impl CrashingEndpoints {
    /// Endpoints of software version `v1`.
    pub fn new(behave: Behaviour) -> Self {
        Self {
            behave,
            listed: Arc::default(),
            crashing_arrivals: Arc::default(),
            started: Arc::default(),
            version: Arc::new(Mutex::new("v1")),
        }
    }

    /// Replaces all endpoints by ones of this software version.
    pub async fn replace_all(&self, version: &'static str) {
        *self.version.lock().expect("a version") = version;
        self.listed.lock().expect("a list").clear();
        for _ in 0..ENDPOINTS {
            self.start().await;
        }
    }

    async fn start(&self) {
        let number = {
            let mut started = self.started.lock().expect("a number");
            *started += 1;
            *started
        };
        let (endpoints, id) = (self.clone(), format!("life-{number}"));
        let name = id.clone();
        let endpoint = TestEndpoint::start(move |_, req| endpoints.receive(&name, req)).await;
        let version = *self.version.lock().expect("a version");
        let mut listed = self.listed.lock().expect("a list");
        listed.insert(id, (endpoint.addr, version));
    }

    fn receive(&self, id: &str, req: &ReceivedRequest) -> Vec<Step> {
        let steps = (self.behave)(req);
        if !steps.iter().any(|step| matches!(step, Step::Crash)) {
            return steps;
        }
        let mut arrivals = self.crashing_arrivals.lock().expect("times");
        arrivals.push(Instant::now());
        let (endpoints, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move { endpoints.replace(&id).await });
        steps
    }

    async fn replace(&self, id: &str) {
        sleep(DELISTED_AFTER).await;
        let was_listed = self.listed.lock().expect("a list").remove(id).is_some();
        sleep(RESTARTED_AFTER.saturating_sub(DELISTED_AFTER)).await;
        // Several requests may have crashed it together.
        if was_listed {
            self.start().await;
        }
    }

    /// Arrivals of requests that crashed their endpoint.
    pub fn crashing_arrivals(&self) -> Vec<Instant> {
        self.crashing_arrivals.lock().expect("times").clone()
    }

    /// Forgets the arrivals so far.
    pub fn forget_arrivals(&self) {
        self.crashing_arrivals.lock().expect("times").clear();
    }

    /// Number of such arrivals later than [`KNOWN_WITHIN`] after the first `crashes` of them.
    pub fn late_arrivals(&self, crashes: usize) -> usize {
        let arrivals = self.crashing_arrivals();
        let Some(last) = arrivals.get(crashes - 1) else {
            return 0;
        };
        let is_late = |at: &&Instant| **at > *last + KNOWN_WITHIN;
        arrivals.iter().filter(is_late).count()
    }

    fn list_text(&self) -> String {
        let listed = self.listed.lock().expect("a list");
        let line = |(id, (addr, version)): (&String, &(SocketAddr, &str))| {
            format!("{id} {addr} local-a {version}\n")
        };
        listed.iter().map(line).collect()
    }

    /// A ledger and gateways in front of them.
    pub async fn start_processes(&self) -> Processes {
        for _ in 0..ENDPOINTS {
            self.start().await;
        }
        let endpoints = self.clone();
        Processes::start(move || endpoints.list_text()).await
    }
}
