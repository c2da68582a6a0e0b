//! How long one request spent in each stage up to the beginning of its response.

use std::time::Duration;

use tokio::time::Instant;

/// A stage of a request before its response begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Everything not listed here: parsing, decisions, questions to siblings.
    Other,
    /// Reading the body from the client.
    Body,
    /// Waiting for tokens to pay for it.
    Money,
    /// Waiting for a routing table, for the link, or for an endpoint with headroom.
    Place,
    /// Connecting to an endpoint and writing the request.
    Connect,
    /// Waiting for the first event, or for the complete response if it is not a stream.
    Response,
}

/// Adds up the time in each stage. A stage that is entered several times counts as a whole.
#[derive(Debug)]
pub struct StageTimes {
    current: Stage,
    entered_at: Instant,
    is_ended: bool,
    /// Time reading the body.
    pub body: Duration,
    /// Time waiting for tokens.
    pub money: Duration,
    /// Time waiting for a place.
    pub place: Duration,
    /// Time connecting and writing.
    pub connect: Duration,
    /// Time waiting for the response.
    pub response: Duration,
    /// The rest.
    pub other: Duration,
}

impl StageTimes {
    /// Starts in [`Stage::Other`].
    pub fn new(started_at: Instant) -> Self {
        Self {
            current: Stage::Other,
            entered_at: started_at,
            is_ended: false,
            body: Duration::ZERO,
            money: Duration::ZERO,
            place: Duration::ZERO,
            connect: Duration::ZERO,
            response: Duration::ZERO,
            other: Duration::ZERO,
        }
    }

    /// Ends the current stage and begins the next one.
    pub fn enter(&mut self, stage: Stage) {
        self.enter_at(stage, Instant::now());
    }

    /// The same for a change that was at `at`, which is not before the current stage's beginning.
    pub fn enter_at(&mut self, stage: Stage, at: Instant) {
        if self.is_ended {
            return;
        }
        let at = at.max(self.entered_at);
        let spent = at - self.entered_at;
        let total = match self.current {
            Stage::Other => &mut self.other,
            Stage::Body => &mut self.body,
            Stage::Money => &mut self.money,
            Stage::Place => &mut self.place,
            Stage::Connect => &mut self.connect,
            Stage::Response => &mut self.response,
        };
        *total += spent;
        self.current = stage;
        self.entered_at = at;
    }

    /// Ends the last stage, since the response begins or the request ends without one. What comes
    /// later is not counted.
    pub fn end(&mut self) {
        self.enter(Stage::Other);
        self.is_ended = true;
    }
}
