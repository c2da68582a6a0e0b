//! Requests under which endpoints crashed: those that this gateway saw, and those that the ledger tells of.
//!
//! What is seen here is told to the ledger, which gathers it from all gateways and keeps it over restarts. Until
//! the ledger has it, it counts here by itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{ClearSuspects, ReportCrash};
use anvil_world::prelude::*;
use anvil_world::suspect::{CRASHES_TO_HOLD, HELD_FOR};
use anvilreel::event;
use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::content;
use crate::gateway::Gateway;
use crate::log_events as events;

/// Longest wait for the ledger to take a report; afterwards it is sent again.
const TOLD_WITHIN: Duration = Duration::from_secs(2);
/// Pause before a report is sent again.
const AGAIN: Duration = Duration::from_millis(100);
/// Crashes that wait for the ledger: each of a large fleet's endpoints, once. The oldest are left out.
const MOST_WAITING: usize = 8_192;

/// Requests under which endpoints crashed.
#[derive(Default)]
pub struct Suspects {
    told: ArcSwap<BTreeMap<RequestDigest, Suspect>>,
    own: Mutex<Own>,
    wanted: Notify,
}

/// What the ledger has not heard of yet.
#[derive(Default)]
struct Own {
    crashes: VecDeque<ReportCrash>,
    /// The same by request.
    endpoints: BTreeMap<RequestDigest, BTreeSet<InstanceId>>,
    answered: BTreeSet<RequestDigest>,
}

impl Own {
    fn add(&mut self, crash: ReportCrash) {
        for request in &crash.requests {
            let endpoints = self.endpoints.entry(*request).or_default();
            endpoints.insert(crash.endpoint.clone());
        }
        self.crashes.push_back(crash);
    }

    fn remove_first(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for request in &crash.requests {
            if let Some(endpoints) = self.endpoints.get_mut(request) {
                endpoints.remove(&crash.endpoint);
            }
        }
        self.endpoints.retain(|_, endpoints| !endpoints.is_empty());
    }
}

impl Suspects {
    /// An endpoint crashed under these requests. Returns whether an older report was left out for it.
    pub fn crashed(&self, endpoint: &InstanceId, requests: Vec<RequestDigest>) -> bool {
        let mut own = self.own();
        let is_full = own.crashes.len() >= MOST_WAITING;
        if is_full {
            own.remove_first();
        }
        own.add(ReportCrash {
            endpoint: endpoint.clone(),
            requests,
            // The leader puts its own time in.
            at: UNIX_EPOCH,
        });
        self.wanted.notify_one();
        is_full
    }

    /// For how much longer a request is kept from endpoints; `None` where it may go to them.
    pub fn held(&self, request: impl FnOnce() -> RequestDigest) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        let request = request();
        let told = self.told.load();
        let told = told.get(&request);
        let mut endpoints = told.map_or_else(BTreeSet::new, |told| told.endpoints.clone());
        if let Some(own) = self.own().endpoints.get(&request) {
            endpoints.extend(own.iter().cloned());
        }
        let left = told.map_or(HELD_FOR, |told| told.left(SystemTime::now()));
        (endpoints.len() >= CRASHES_TO_HOLD && !left.is_zero()).then_some(left)
    }

    /// An endpoint has answered a request: what crashed before did so for another reason.
    pub fn answered(&self, request: RequestDigest) {
        let mut own = self.own();
        let is_suspect =
            self.told.load().contains_key(&request) || own.endpoints.contains_key(&request);
        if is_suspect && own.answered.insert(request) {
            self.wanted.notify_one();
        }
    }

    /// How many are kept from endpoints, by the ledger's word.
    pub fn count_held(&self) -> u64 {
        let told = self.told.load();
        let held = told.values().filter(|suspect| suspect.is_held());
        held.count() as u64
    }

    fn is_empty(&self) -> bool {
        self.told.load().is_empty() && self.own().crashes.is_empty()
    }

    fn own(&self) -> MutexGuard<'_, Own> {
        // A panic elsewhere leaves whole reports.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_report(&self) -> Option<Command> {
        let own = self.own();
        if let Some(crash) = own.crashes.front() {
            return Some(Command::ReportCrash(crash.clone()));
        }
        if own.answered.is_empty() {
            return None;
        }
        let requests = own.answered.iter().copied().collect();
        Some(Command::ClearSuspects(ClearSuspects { requests }))
    }

    fn was_taken(&self, report: &Command) {
        let mut own = self.own();
        match report {
            // Another one is the first where this one was left out meanwhile.
            Command::ReportCrash(taken) if own.crashes.front() == Some(taken) => own.remove_first(),
            Command::ClearSuspects(taken) => {
                own.answered
                    .retain(|request| !taken.requests.contains(request));
            }
            _ => {}
        }
    }
}

impl Gateway {
    /// Takes in what the ledger tells.
    pub fn take_suspects(&self, told: &BTreeMap<RequestDigest, Suspect>) {
        let before = self.suspects.told.load_full();
        if *before == *told {
            return;
        }
        let is_held = |all: &BTreeMap<RequestDigest, Suspect>, request| {
            all.get(request).is_some_and(Suspect::is_held)
        };
        for (request, suspect) in told {
            if suspect.is_held() && !is_held(&before, request) {
                event!(
                    self.log, events::GATEWAY_REQUEST_HELD,
                    "content" => content::text(*request),
                    "endpoints" => format!("{:?}", suspect.endpoints)
                );
            }
        }
        for request in before.keys() {
            if is_held(&before, request) && !is_held(told, request) {
                event!(
                    self.log, events::GATEWAY_REQUEST_CLEARED,
                    "content" => content::text(*request)
                );
            }
        }
        self.suspects.told.store(Arc::new(told.clone()));
    }
}

/// Tells the ledger what is seen here, for as long as the process lives.
pub async fn run(gw: &Gateway) {
    loop {
        let Some(report) = gw.suspects.next_report() else {
            gw.suspects.wanted.notified().await;
            continue;
        };
        match gw.ledger.propose(report.clone(), TOLD_WITHIN).await {
            Ok(_) => gw.suspects.was_taken(&report),
            // It counts here meanwhile, and is sent again: a report may come twice.
            Err(_) => sleep(AGAIN).await,
        }
    }
}
