//! Forwards a stream of events, and resumes it at another endpoint where the route allows that.
//!
//! Failure: an endpoint is lost in the middle of a stream, and the client has only part of the
//! response. Another endpoint continues after the last delivered event, within the same response;
//! the connection to the previous endpoint is closed first, which stops its run. If no endpoint can
//! continue, the client's connection is closed without the end of the stream.

use std::sync::Arc;
use std::time::Duration;

use anvil_world::suspect::CrashedRun;
use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::SendRequest;
use tokio::time::{Instant, timeout_at};

use crate::attempt::Answer;
use crate::connection_watch::ConnectionWatch;
use crate::dialect::AnswerHead;
use crate::endpoint::Place;
use crate::events::{Splitter, StreamEvent};
use crate::exchange::Exchange;
use crate::metrics;
use crate::reply::{BrokenOff, Cause, Reply, strip};

/// A resumable stream counts as stalled after this multiple of the route's maximum gap. The client
/// gives up after eight such gaps.
const SILENT_GAPS: f64 = 4.0;
/// Time after which a stream counts as stalled if its route sets no maximum gap.
const SILENT: Duration = Duration::from_secs(2);

struct Source {
    body: Incoming,
    splitter: Splitter,
    sender: SendRequest<http_body_util::Full<Bytes>>,
    watch: Arc<ConnectionWatch>,
    head: AnswerHead,
    place: Place,
    /// What is reported should the endpoint crash now.
    run: CrashedRun,
}

/// A stream in progress.
pub struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    /// Id of the last event handed to the client.
    last: Option<u64>,
    /// The first event, read before the response head is sent.
    ahead: Option<StreamEvent>,
    /// When the last event was handed to the client.
    delivered_at: Option<Instant>,
}

enum Next {
    Event(StreamEvent),
    End,
    Broken,
}

impl Relay {
    /// Starts the client's response once the first event has arrived. A stream that breaks before
    /// that can still be retried elsewhere, or refused with a status.
    pub async fn begin(exchange: Exchange, answer: Answer) -> Reply {
        let mut parts = answer.parts.clone();
        strip(&mut parts.headers);
        let last = exchange.ask.after;
        let mut relay = Self {
            exchange,
            source: Some(Source::from(answer)),
            last,
            ahead: None,
            delivered_at: None,
        };
        match relay.next_anywhere(Some(&mut parts)).await {
            Ok(event) => relay.ahead = event,
            Err(cause) => return relay.exchange.refuse((cause, Duration::ZERO)),
        }
        relay.exchange.trace.first_piece();
        let stream = unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            match relay.next_frame().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => {
                    relay.exchange.trace.ended("completed");
                    None
                }
                Err(cause) => {
                    relay.exchange.trace.ended(cause.text());
                    Some((Err(BrokenOff), None))
                }
            }
        });
        Reply::from_parts(parts, StreamBody::new(stream).boxed_unsync())
    }

    async fn next_frame(&mut self) -> Result<Option<Bytes>, Cause> {
        let event = match self.ahead.take() {
            Some(event) => Some(event),
            None => self.next_anywhere(None).await?,
        };
        let Some(event) = event else {
            return Ok(None);
        };
        self.last = event.id.or(self.last);
        let now = Instant::now();
        if let Some(before) = self.delivered_at.replace(now) {
            self.exchange.trace.paused(now - before);
            self.exchange.gw.metrics.time(metrics::GAP, now - before);
        }
        let tokens = self.exchange.per_event;
        if let Some(spend) = &mut self.exchange.spend {
            spend.delivered(tokens);
        }
        Ok(Some(event.bytes))
    }

    /// The next event, from the current endpoint or from one that resumes the stream. `None` at the
    /// end of the stream. `head` is replaced as long as the client has not received one.
    async fn next_anywhere(
        &mut self,
        mut head: Option<&mut http::response::Parts>,
    ) -> Result<Option<StreamEvent>, Cause> {
        loop {
            match self.next_here().await {
                Next::Event(event) => return Ok(Some(event)),
                Next::End => {
                    self.finish();
                    return Ok(None);
                }
                Next::Broken => {
                    let answer = self.go_on_elsewhere().await?;
                    if let Some(head) = head.as_deref_mut() {
                        *head = answer.parts.clone();
                        strip(&mut head.headers);
                    }
                    self.source = Some(Source::from(answer));
                }
            }
        }
    }

    async fn next_here(&mut self) -> Next {
        let until = self.silent_until();
        let Some(source) = &mut self.source else {
            return Next::Broken;
        };
        loop {
            if let Some(event) = source.splitter.next_event() {
                source.place.answered();
                source.run = CrashedRun::AfterOutput;
                // Failure: an endpoint repeats an event, or sends one of an earlier run. Ids
                // increase by one; an event that does not follow is not delivered.
                if follows(self.last, event.id) {
                    return Next::Event(event);
                }
                return Next::Broken;
            }
            match timeout_at(until, source.body.frame()).await {
                Err(_) => {
                    self.exchange.trace.step(format_args!("silent endpoint"));
                    return Next::Broken;
                }
                Ok(None) if source.splitter.is_empty() => return Next::End,
                Ok(None | Some(Err(_))) => return Next::Broken,
                Ok(Some(Ok(frame))) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if !source.splitter.push(data) {
                        return Next::Broken;
                    }
                }
            }
        }
    }

    /// Until when the current endpoint may send nothing. Earlier than the deadline only if another
    /// endpoint may resume the stream.
    fn silent_until(&self) -> Instant {
        let deadline = self.exchange.deadline;
        if !self.exchange.route.repeat.may_go_on_elsewhere() || !self.exchange.has_tries() {
            return deadline;
        }
        let gap = self.exchange.route.gap;
        let silent = gap.map_or(SILENT, |gap| gap.mul_f64(SILENT_GAPS));
        deadline.min(Instant::now() + silent)
    }

    async fn go_on_elsewhere(&mut self) -> Result<Answer, Cause> {
        if let Some(source) = self.source.take() {
            self.exchange
                .answer_lost(&source.place.endpoint, source.run, "its stream broke off");
            let last = self.last;
            let id = &source.place.endpoint.id;
            self.exchange
                .trace
                .step(format_args!("{id} broke off after {last:?}"));
            // Dropping the source closes its connection, which stops the endpoint's run.
        }
        let late = self.exchange.left().is_zero();
        let cause = if late { Cause::Late } else { Cause::Lost };
        if !self.exchange.route.repeat.may_go_on_elsewhere() {
            return Err(cause);
        }
        self.exchange.may_go_on(cause).map_err(|(cause, _)| cause)?;
        let last = self.last;
        let answer = self.exchange.first_answer(last).await;
        let answer = answer.map_err(|(cause, _)| cause)?;
        if answer.parts.status.is_success() {
            self.exchange.gw.metrics.count(metrics::RESUMED);
            Ok(*answer)
        } else {
            Err(Cause::Lost)
        }
    }

    fn finish(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        self.exchange.gw.answered(self.exchange.content);
        let endpoint = source.place.endpoint.clone();
        Answer::put_back(source.sender, source.watch, &endpoint, &source.head);
    }
}

fn follows(last: Option<u64>, next: Option<u64>) -> bool {
    match (last, next) {
        (Some(last), Some(next)) => next == last + 1,
        _ => true,
    }
}

impl From<Answer> for Source {
    fn from(answer: Answer) -> Self {
        Self {
            body: answer.body,
            splitter: Splitter::default(),
            sender: answer.sender,
            watch: answer.watch,
            head: answer.head,
            place: answer.place,
            run: CrashedRun::BeforeOutput,
        }
    }
}
