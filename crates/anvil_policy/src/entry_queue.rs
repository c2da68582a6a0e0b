//! The queue in which an entry router holds requests while no endpoint has room for them.
//!
//! *Load pattern:* more requests than the endpoints can serve for a fraction of a second (a burst),
//! or for longer (an organisation with several times its usual load, lost endpoints), at many
//! routers that each know only their own requests and the load that endpoints report.
//!
//! *Without it:* a request is refused although a slot becomes free a few milliseconds later, or it
//! waits in the queue of an endpoint that was chosen too early. Which requests are served is then
//! decided by chance: clients that retry often get most of the slots, whatever their class.
//!
//! *Mechanism:* [`crate::admission`] and [`crate::waiting`], ordered by priority class, then fairly
//! among organisations, then by earliest target. A request waits only while it can start before its
//! target by the current rate of starts, else it is refused at once. While the queue has been in
//! use for a second, that rate is the one observed; before that it follows from the requests in
//! flight and the time that they take, since the rate of a router that was not busy says nothing of
//! what the endpoints can do.
//!
//! *Thresholds:* no time is a constant here: a request waits up to its target, and no longer than
//! twice that if the rate falls meanwhile. Clients that are refused return over the time in which
//! all those refused within a second can be served.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::admission::{AdmissionDecision, AdmissionGate, AdmissionRule};
use crate::deadline::MIN_RETRY_AFTER;
use crate::fair::weight_by_load;
use crate::grant::Demand;
use crate::waiting::{Priority, Ticket, Urgency, Waiter, WaiterId};

/// Maximum number of queued requests. With prompts of up to 55 KB each, they hold 14 MB.
const MAX_QUEUED: usize = 256;
/// Time over which the loads of organisations are compared.
const LOAD_HORIZON: Duration = Duration::from_secs(5);
/// Time over which starts and refusals are counted.
const RATE_HORIZON: Duration = Duration::from_secs(1);
/// Longest retry time and longest spread: later, the load is likely to have changed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// A request waits at most this multiple of the time to its target start, if starts become slower
/// after it was queued: its client is better served elsewhere.
const MAX_WAIT_FACTOR: u32 = 2;
/// Organisations and routes with a lower load, in requests a second, are forgotten.
const MIN_LOAD: f64 = 0.05;
/// Number of organisations from which on idle ones are forgotten before [`LOAD_HORIZON`] has
/// passed.
const MIN_PRUNED: usize = 256;

/// A request for which no endpoint has room now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRequest {
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Its route.
    pub route: RouteName,
    /// Shares that operators have set.
    pub shares: Arc<Shares>,
    /// Its urgency.
    pub urgency: Urgency,
    /// When its response should begin.
    pub target: Now,
    /// When its client gives up.
    pub deadline: Now,
    /// Expected time from its start to the beginning of its response.
    pub response_time: Duration,
    /// Shortest time until an endpoint can have room, if that is known; else zero.
    pub min_wait: Duration,
}

impl EntryRequest {
    fn priority(&self, now: Now) -> Priority {
        let in_time = self.target.saturating_sub(self.response_time);
        // Where a response takes longer than its target, the start at least is in time.
        let target_start = if in_time > now { in_time } else { self.target };
        let last_start = self.deadline.saturating_sub(self.response_time);
        let to_target = target_start.saturating_sub(now);
        let start_by = if to_target.is_zero() {
            last_start
        } else {
            last_start.min(now.saturating_add(to_target.saturating_mul(MAX_WAIT_FACTOR)))
        };
        Priority {
            urgency: self.urgency,
            target_start,
            start_by,
        }
    }
}

/// How the requests of this router occupy endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests in flight.
    pub running: u32,
    /// Mean time that one of them occupies a slot.
    pub slot_time: Duration,
}

/// Load of an organisation, in requests.
#[derive(Debug, Clone)]
struct OrganisationLoad {
    total: Demand,
    by_route: BTreeMap<RouteName, Demand>,
}

impl OrganisationLoad {
    fn new() -> Self {
        Self {
            total: Demand::over(LOAD_HORIZON),
            by_route: BTreeMap::new(),
        }
    }

    fn add(&mut self, now: Now, route: &RouteName) {
        self.total.add(now, 1);
        if let Some(load) = self.by_route.get_mut(route) {
            load.add(now, 1);
            return;
        }
        self.by_route.retain(|_, load| load.rate(now) >= MIN_LOAD);
        let mut load = Demand::over(LOAD_HORIZON);
        load.add(now, 1);
        self.by_route.insert(route.clone(), load);
    }

    /// Part of the load that is on the routes for which `included` holds, from 0 to 1.
    fn part(&self, now: Now, included: impl Fn(&RouteName) -> bool) -> f64 {
        let rates = self.by_route.iter();
        let included = rates.filter(|(route, _)| included(route));
        let included: f64 = included.map(|(_, load)| load.rate(now)).sum();
        included / self.total.rate(now).max(f64::MIN_POSITIVE)
    }
}

/// A queue with the loads that it measures. All calls are short and meant to be made under a lock.
#[derive(Debug, Clone)]
pub struct EntryQueue {
    gate: AdmissionGate,
    loads: BTreeMap<OrganisationId, OrganisationLoad>,
    total_load: Demand,
    prune_at: usize,
    pruned_at: Now,
    starts: Demand,
    refusals: Demand,
    busy_since: Option<Now>,
}

impl Default for EntryQueue {
    fn default() -> Self {
        let rule = AdmissionRule {
            max_waiting: MAX_QUEUED,
            ..AdmissionRule::default()
        };
        Self {
            gate: AdmissionGate::new(rule),
            loads: BTreeMap::new(),
            total_load: Demand::over(LOAD_HORIZON),
            prune_at: MIN_PRUNED,
            pruned_at: Duration::ZERO,
            starts: Demand::over(RATE_HORIZON),
            refusals: Demand::over(RATE_HORIZON),
            busy_since: None,
        }
    }
}

impl EntryQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.gate.waiting()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request, or refuses it with its retry time. `spread` is a random number below one.
    pub fn offer(
        &mut self,
        now: Now,
        req: &EntryRequest,
        occupancy: Occupancy,
        spread: f64,
    ) -> Result<WaiterId, Duration> {
        if self.is_empty() {
            self.busy_since = None;
        }
        let busy_since = *self.busy_since.get_or_insert(now);
        let observed_slots = (now >= busy_since + RATE_HORIZON)
            .then(|| self.starts.rate(now) * occupancy.slot_time.as_secs_f64());
        self.gate.set_running(occupancy.running, observed_slots);
        self.gate.set_limit(occupancy.running);
        let priority = req.priority(now);
        let has_own_turns = has_share(&req.shares, &req.route);
        let ticket = Ticket {
            organisation: req.organisation.clone(),
            route: has_own_turns.then(|| req.route.clone()),
            weight: self.weight(now, req),
            class: WorkClass::Interactive,
            prompt: 0,
            service: occupancy.slot_time,
            deadline: req.deadline,
            priority: Some(priority),
        };
        let max_wait = self.gate.forecast(now, &ticket).max_feasible_wait();
        let excess = if max_wait.is_zero() || req.min_wait > max_wait {
            req.min_wait.saturating_sub(max_wait)
        } else {
            match self.gate.offer(now, ticket) {
                AdmissionDecision::Wait(id) => return Ok(id),
                AdmissionDecision::Refuse(refusal) => refusal.retry_after.unwrap_or_default(),
                // Not reached: the limit equals the number of running requests.
                AdmissionDecision::Run => Duration::ZERO,
            }
        };
        self.refusals.add(now, 1);
        Err(self.retry_after(now, excess, occupancy, spread))
    }

    /// Removes the request that is to be started next. The caller reports with
    /// [`EntryQueue::record_start`] or [`EntryQueue::put_back`] what became of it.
    pub fn next(&mut self, now: Now) -> Option<Waiter> {
        self.gate.set_limit(u32::MAX);
        self.gate.next(now)
    }

    /// Records that a request that had been queued was started.
    pub fn record_start(&mut self, now: Now) {
        self.starts.add(now, 1);
    }

    /// Queues a request again, at its former place, that was to be started but found no room.
    pub fn put_back(&mut self, now: Now, waiter: &Waiter) -> WaiterId {
        self.gate.put_back(now, waiter)
    }

    /// Removes a queued request whose client has disconnected. Returns whether it was queued.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        self.gate.cancel(id)
    }

    /// Removes a request that has waited too long, and returns it with its retry time. To be called
    /// until it returns `None`.
    pub fn expired(
        &mut self,
        now: Now,
        occupancy: Occupancy,
        spread: f64,
    ) -> Option<(Waiter, Duration)> {
        let (waiter, refusal) = self.gate.expired(now)?;
        self.refusals.add(now, 1);
        let excess = refusal.retry_after.unwrap_or_default();
        Some((waiter, self.retry_after(now, excess, occupancy, spread)))
    }

    /// When the next request has waited too long.
    pub fn next_expiry(&self) -> Option<Now> {
        self.gate.next_expiry()
    }

    /// Counts a request, and returns the weight of its flow.
    fn weight(&mut self, now: Now, req: &EntryRequest) -> u32 {
        self.total_load.add(now, 1);
        if self.loads.len() >= self.prune_at || now >= self.pruned_at + LOAD_HORIZON {
            self.forget_idle(now);
        }
        let own = self.loads.entry(req.organisation.clone());
        let own = own.or_insert_with(OrganisationLoad::new);
        own.add(now, &req.route);
        let factor = share_factor(now, req, own);
        let own = own.total.rate(now);
        let organisations = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
        let mean = self.total_load.rate(now) / f64::from(organisations);
        weight_by_load(own, mean, factor)
    }

    /// Forgets the organisations with a load below [`MIN_LOAD`].
    ///
    /// Failure: idle organisations lower the mean load. Compared with that, all others have a high
    /// load, and get turns in proportion to it.
    fn forget_idle(&mut self, now: Now) {
        self.loads
            .retain(|_, load| load.total.rate(now) >= MIN_LOAD);
        self.prune_at = (2 * self.loads.len()).max(MIN_PRUNED);
        self.pruned_at = now;
    }

    fn retry_after(
        &self,
        now: Now,
        excess: Duration,
        occupancy: Occupancy,
        spread: f64,
    ) -> Duration {
        let refused = self.refusals.rate(now) * RATE_HORIZON.as_secs_f64();
        let slot_time = occupancy.slot_time.as_secs_f64() / f64::from(occupancy.running.max(1));
        let until_served = (refused * slot_time)
            .clamp(MIN_RETRY_AFTER.as_secs_f64(), MAX_RETRY_AFTER.as_secs_f64());
        let earliest = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        earliest + Duration::from_secs_f64(until_served * spread)
    }
}

fn has_share(shares: &Shares, route: &RouteName) -> bool {
    shares.has_routes()
        && shares
            .all()
            .contains_key(&ShareTarget::Route(route.clone()))
}

/// Factor on an organisation's weight for the flow of a request.
///
/// While a route has a share, its requests take turns apart from the organisation's others. The
/// weight is divided among both in proportion to their loads: each with the whole weight would
/// double the turns of an organisation for a factor that hardly differs from 1.
fn share_factor(now: Now, req: &EntryRequest, own: &OrganisationLoad) -> f64 {
    let shares = &req.shares;
    if shares.all().is_empty() {
        return 1.0;
    }
    let organisation = ShareTarget::Organisation(req.organisation.clone());
    let of_organisation = shares.factor(&organisation).get();
    if !shares.has_routes() {
        return of_organisation;
    }
    let route = ShareTarget::Route(req.route.clone());
    let of_route = shares.factor(&route).get();
    let part = if has_share(shares, &req.route) {
        own.part(now, |route| *route == req.route)
    } else {
        own.part(now, |route| !has_share(shares, route))
    };
    of_organisation * of_route * part
}
