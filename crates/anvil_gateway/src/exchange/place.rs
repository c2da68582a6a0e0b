//! A place at an endpoint, at once or after a wait in front of all of them.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::waiting::Urgency;
use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::Instant;

use super::{Exchange, RequestRefusal};
use crate::choose::{Selection, Unplaced};
use crate::log_events as events;
use crate::metrics;
use crate::pool::Connection;
use crate::reply::Cause;
use crate::send::link_budget::LinkReservation;
use crate::send::pacing::retry_elsewhere_after;
use crate::wait::{ServiceQueue, TakenUpWait, WaitRequest, WaitingPlace};

/// Why a stream that its client takes up was not placed in front of the queue.
enum VersionWait {
    /// It is not known when an endpoint of its version accepts it, or that is too late.
    NotBegun,
    /// It has waited, and its time or the gateway's is over.
    Over(Unplaced),
    /// The link is busy.
    Refused(RequestRefusal),
}

/// What a request needs to be sent.
pub struct Place {
    /// The slot at an endpoint.
    pub(super) selection: Selection,
    /// The link for its prompt.
    pub(super) link: LinkReservation,
    /// A connection to the endpoint, if there is one already.
    pub(super) connection: Option<Connection>,
}

impl Place {
    fn new(selection: Selection, link: LinkReservation) -> Self {
        Self {
            selection,
            link,
            connection: None,
        }
    }
}

impl Exchange {
    /// Waits for the link and takes a slot at the best endpoint. If none has room, a request that
    /// certainly has not run waits for one while it can start in time.
    pub(super) async fn take_place(&mut self) -> Result<Place, RequestRefusal> {
        let queue = self.gw.directory.queue(&self.service);
        let Some(queue) = queue.filter(|_| !self.in_doubt) else {
            let link = self.wait_for_link().await?;
            return match self.select_endpoint(None) {
                Ok(selection) => Ok(Place::new(selection, link)),
                Err(unplaced) => Err(self.refuse_unplaced(unplaced)),
            };
        };
        queue.record_offer();
        if self.stream_version.is_none() {
            let place = self.take_place_in_turn(&queue).await?;
            queue.record_new_start();
            return Ok(place);
        }
        match self.wait_for_version(&queue).await {
            Ok(place) => Ok(place),
            Err(VersionWait::NotBegun) => self.take_place_in_turn(&queue).await,
            Err(VersionWait::Over(unplaced)) => Err(self.refuse_unplaced(unplaced)),
            Err(VersionWait::Refused(refusal)) => Err(refusal),
        }
    }

    /// Takes a slot for a stream that its client takes up. Where it is known when an endpoint of
    /// its version accepts a request, the stream waits for that.
    async fn wait_for_version(&mut self, queue: &Arc<ServiceQueue>) -> Result<Place, VersionWait> {
        let mut wait = TakenUpWait::new(queue.clone(), self.time_left());
        loop {
            let link = self.wait_for_link().await.map_err(VersionWait::Refused)?;
            let unplaced = match wait.try_begin_look() {
                Err(until_turn) => Unplaced::AtLimit(until_turn),
                Ok(()) => match self.select_endpoint(Some(self.room_within())) {
                    Ok(selection) => return Ok(Place::new(selection, link)),
                    Err(unplaced) => {
                        wait.end_look();
                        unplaced
                    }
                },
            };
            let has_waited = wait.has_joined();
            let time = match unplaced {
                Unplaced::Paused(time) | Unplaced::AtLimit(time) => wait.time_until_look(time),
                _ => return Err(VersionWait::NotBegun),
            };
            let time = match time {
                Some(time) if !self.gw.lifecycle.is_draining() => time,
                _ if has_waited => return Err(VersionWait::Over(unplaced)),
                _ => return Err(VersionWait::NotBegun),
            };
            if !has_waited {
                self.trace
                    .step(format_args!("waits for its version: {unplaced:?}"));
                self.gw.metrics.count(metrics::STREAMS_WAITED);
            }
            // Others use the link meanwhile.
            drop(link);
            self.gw.lifecycle.sleep_unless_draining(time).await;
        }
    }

    /// Takes a slot at once if no request waits and an endpoint has room, else after a wait in the
    /// queue.
    async fn take_place_in_turn(
        &mut self,
        queue: &Arc<ServiceQueue>,
    ) -> Result<Place, RequestRefusal> {
        let link = self.wait_for_link().await?;
        let unclaimed = queue.unclaimed();
        let unplaced = if queue.is_contended() && self.has_working_endpoints() {
            Unplaced::Busy
        } else {
            match self.select_endpoint(Some(self.room_within())) {
                Ok(selection) => return Ok(Place::new(selection, link)),
                Err(unplaced) => unplaced,
            }
        };
        // Others use the link meanwhile.
        drop(link);
        let Some(min_wait) = self.wait_for(unplaced) else {
            return Err(self.refuse_unplaced(unplaced));
        };
        let place = match queue.join(&self.wait_request(min_wait, unclaimed)) {
            Ok(place) => place,
            Err(retry_after) => return Err(self.refuse_in_queue(queue, unplaced, retry_after)),
        };
        self.trace.step(format_args!(
            "waits, {} in the queue: {unplaced:?}",
            queue.waiting()
        ));
        self.gw.metrics.count(metrics::QUEUE_JOINED);
        let started = Instant::now();
        let place = self.wait_in_queue(queue, place).await;
        self.gw.metrics.time(metrics::QUEUE_TIME, started.elapsed());
        place
    }

    async fn wait_in_queue(
        &mut self,
        queue: &Arc<ServiceQueue>,
        mut place: WaitingPlace,
    ) -> Result<Place, RequestRefusal> {
        let max_output = self.request.max_output();
        loop {
            let woken = tokio::select! {
                woken = place.woken() => woken,
                () = self.gw.until_stop_would_cut(&self.route, max_output, self.deadline) => {
                    self.trace.step(format_args!("the planned stop leaves too little time"));
                    return Err((Cause::Leaving, retry_elsewhere_after()));
                }
            };
            if let Err(retry_after) = woken {
                self.gw.metrics.count(metrics::QUEUE_EXPIRED);
                return Err(self.refuse_in_queue(queue, Unplaced::Busy, retry_after));
            }
            self.gw.metrics.count(metrics::QUEUE_WAKE_UPS);
            // Failure: with a reservation from before the wait, prompts that are woken together are
            // sent together, faster than the link's pace.
            let link = self.wait_for_link().await?;
            let unclaimed = queue.unclaimed();
            match self.select_endpoint(Some(self.room_within())) {
                Ok(selection) => {
                    place.started(self.finds_further_room(&selection));
                    return Ok(Place::new(selection, link));
                }
                Err(unplaced) => match self.wait_for(unplaced) {
                    Some(min_wait) => place.put_back(unclaimed, min_wait),
                    None => return Err(self.refuse_unplaced(unplaced)),
                },
            }
        }
    }

    /// Whether there is room for another request besides this one.
    fn finds_further_room(&self, selection: &Selection) -> bool {
        let endpoint = &selection.slot.endpoint;
        if self.prompt_parts.is_empty() {
            return endpoint.queue.has_window_room();
        }
        endpoint.has_free_slot(self.gw.lifecycle.now())
    }

    /// The time until an endpoint accepts another request, zero if it is not known; `None` if
    /// waiting does not help.
    fn wait_for(&self, unplaced: Unplaced) -> Option<Duration> {
        match unplaced {
            Unplaced::Busy => Some(Duration::ZERO),
            Unplaced::AtLimit(wait) => Some(wait),
            Unplaced::TooLate(expected) => Some(expected.saturating_sub(self.first_token_within())),
            // Nothing shows this gateway when pauses end, or when other gateways' requests leave
            // memory.
            Unplaced::Full
            | Unplaced::OutOfMemory
            | Unplaced::Nobody
            | Unplaced::VersionGone
            | Unplaced::CrashesEndpoints
            | Unplaced::OutsideRegions
            | Unplaced::Evacuated
            | Unplaced::Paused(_) => None,
        }
    }

    /// Whether an endpoint may run the request that isn't paused.
    fn has_working_endpoints(&self) -> bool {
        let available = self
            .gw
            .available_endpoints(&self.service, self.constraints());
        let now = self.gw.lifecycle.now();
        available.iter().any(|endpoint| !endpoint.is_paused(now))
    }

    /// When the response should begin.
    fn target(&self) -> Instant {
        let timeout = self.request.timeout.min(self.route.timeout);
        self.deadline + self.route.target_latency - timeout
    }

    /// Maximum expected time to the first token at an endpoint that has room.
    fn room_within(&self) -> Duration {
        let to_target = self.target().saturating_duration_since(Instant::now());
        if to_target.is_zero() {
            return self.first_token_within();
        }
        to_target
    }

    fn wait_request(&self, min_wait: Duration, unclaimed: u64) -> WaitRequest {
        let organisation = self.organisation.as_ref();
        let organisation = organisation.map_or_else(
            || OrganisationId::from(""),
            |organisation| organisation.id.clone(),
        );
        let eligible = self
            .gw
            .available_endpoints(&self.service, self.constraints());
        let working = self.gw.directory.available(&self.service, &[]);
        let is_restricted = eligible.len() < working.len();
        WaitRequest {
            organisation,
            route: self.route.name.clone(),
            shares: self.gw.shares.load_full(),
            urgency: Urgency {
                class: self.priority_class(),
                is_new: self.stream_version.is_none(),
            },
            target: self.target(),
            deadline: self.deadline,
            min_wait,
            is_restricted,
            unclaimed,
        }
    }

    /// Refuses a request that can't start in time, or has waited too long.
    fn refuse_in_queue(
        &mut self,
        queue: &ServiceQueue,
        unplaced: Unplaced,
        retry_after: Duration,
    ) -> RequestRefusal {
        self.trace.step(format_args!(
            "can't start in time: {unplaced:?}, {:?}, {} in the queue",
            queue.occupancy(),
            queue.waiting()
        ));
        self.gw.metrics.count(metrics::QUEUE_REFUSED);
        if let Some(refused) = queue.refusals_to_log() {
            event!(
                self.gw.log, events::GATEWAY_OVERLOADED, "service" => &*queue.service,
                "refused" => refused, "waiting" => queue.waiting(),
                "running" => queue.occupancy().running,
                "slot_ms" => queue.occupancy().slot_time.as_millis()
            );
        }
        (Cause::Overloaded, retry_after)
    }
}
