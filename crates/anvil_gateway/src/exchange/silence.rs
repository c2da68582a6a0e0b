//! The wait for an endpoint that sends nothing. [`anvil_policy::silence`] decides how long it may.
//!
//! Failure: a sound endpoint is silent for a second, its connection is closed, and only then it turns
//! out that no other endpoint may or can go on: the retry budget is used up, or all others are full.
//! So a silent endpoint is given up only once a place at another one has been taken, and a connection
//! to it made. Until then the response goes on if the endpoint does, and what was reserved for the
//! other one is given back.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::silence::{Looks, max_plain_silence, max_stream_silence};
use tokio::time::{Instant, timeout_at};

use super::Exchange;
use super::place::Place;
use crate::choose::Unplaced;
use crate::endpoint::Endpoint;
use crate::pool::{ConnectError, Connection};
use crate::send::new_connection::take_connection;

/// How the wait for an endpoint has ended.
pub enum Waited<T> {
    /// It has sent this, or ended its connection.
    Sent(T),
    /// It was silent, and the request has a place at another one.
    TakenOver(Box<Place>),
    /// It was silent up to the deadline.
    TimedOut,
}

/// The wait for one response head or event. One event may come in many frames, each of which is waited
/// for, and the looks for another endpoint go on as before between them.
pub struct Silence {
    since: Instant,
    /// `None` before the first look.
    next_look: Option<Instant>,
    looks: Looks,
}

impl Silence {
    /// The wait that began at this time.
    pub fn since(since: Instant) -> Self {
        Self {
            since,
            next_look: None,
            looks: Looks::default(),
        }
    }

    /// Plans the next look for another endpoint.
    pub fn look_later(&mut self) {
        self.next_look = Some(Instant::now() + self.looks.next_interval());
    }
}

/// Why no other endpoint takes over.
#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "the reason is logged by its debug format")]
enum NotReplaced {
    /// Endpoints crash under the request.
    InQuarantine,
    /// The retry budget that all gateways share.
    BudgetUsedUp,
    /// The link is busy.
    LinkBusy,
    /// No endpoint would begin the request at once.
    NoPlace(Unplaced),
    /// The endpoint that was selected can't be reached.
    NoConnection,
}

impl Exchange {
    /// Waits for `sent`, which comes from the endpoint that holds the request, up to the deadline or
    /// until another endpoint takes over.
    pub async fn wait_or_take_over<T>(
        &mut self,
        silence: &mut Silence,
        sent: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut sent = pin!(sent);
        loop {
            let replaceable_at = self.replaceable_at(silence.since);
            let next_look = replaceable_at.map(|at| silence.next_look.unwrap_or(at));
            let until = next_look.map_or(self.deadline, |at| at.min(self.deadline));
            if let Ok(sent) = timeout_at(until, &mut sent).await {
                return Waited::Sent(sent);
            }
            if self.time_left().is_zero() {
                return Waited::TimedOut;
            }
            let replaced = tokio::select! {
                biased;
                sent = &mut sent => return Waited::Sent(sent),
                replaced = self.take_replacement() => replaced,
            };
            match replaced {
                Ok(place) => return Waited::TakenOver(Box::new(place)),
                Err(reason) if silence.next_look.is_none() => {
                    self.trace
                        .step(format_args!("silent endpoint, not replaced: {reason:?}"));
                }
                Err(_) => {}
            }
            silence.look_later();
        }
    }

    /// From when on another endpoint may take over from one that is silent since this time; `None` if
    /// the request may not be sent to another one.
    pub(super) fn replaceable_at(&self, silent_since: Instant) -> Option<Instant> {
        let mode = self.route.retry_mode;
        if !mode.may_run_again() || !self.has_attempts_left() {
            return None;
        }
        silent_since.checked_add(self.max_silence(silent_since))
    }

    fn max_silence(&self, silent_since: Instant) -> Duration {
        let target = self.route.target_latency;
        if self.route.retry_mode.is_stream() {
            let time_left = self.deadline.saturating_duration_since(silent_since);
            max_stream_silence(target, self.route.max_gap, time_left)
        } else {
            max_plain_silence(target)
        }
    }

    /// Takes a place at another endpoint, and counts the retry. Nothing is counted if there is none.
    async fn take_replacement(&mut self) -> Result<Place, NotReplaced> {
        let contents = self.contents();
        let quarantine = self.gw.quarantine_at_service(&self.service, contents);
        if quarantine.is_some() {
            return Err(NotReplaced::InQuarantine);
        }
        // Both are asked before a place is taken, which uses a part of an endpoint's limit.
        if !self.gw.has_retry(&self.service) {
            return Err(NotReplaced::BudgetUsedUp);
        }
        if !self.gw.sockets.link.is_free() {
            return Err(NotReplaced::LinkBusy);
        }
        let selection = self.select_replacement().map_err(NotReplaced::NoPlace)?;
        let endpoint = selection.slot.endpoint.clone();
        let connection = self.connect_to_replacement(&endpoint).await;
        let connection = connection.ok_or(NotReplaced::NoConnection)?;
        // Reserved last: many streams look in vain, and what each one reserves keeps others waiting.
        let link = self.link_if_free().ok_or(NotReplaced::LinkBusy)?;
        if !self.gw.try_count_retry(&self.service) {
            return Err(NotReplaced::BudgetUsedUp);
        }
        self.trace.step(format_args!("taken over"));
        let connection = Some(connection);
        Ok(Place {
            selection,
            link,
            connection,
        })
    }

    /// A connection to the endpoint that is to take over. Crashed ones stay on the platform's list for
    /// seconds.
    async fn connect_to_replacement(&self, endpoint: &Arc<Endpoint>) -> Option<Connection> {
        match take_connection(&self.gw, endpoint).await {
            Ok(connection) => Some(connection),
            Err(ConnectError::NoDescriptor) => None,
            Err(e) => {
                self.gw.record_unreachable(endpoint);
                self.record_endpoint_failure(endpoint, &e.to_string());
                None
            }
        }
    }
}
