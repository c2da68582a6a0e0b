//! Forwards a stream of events, and resumes it at another endpoint where the route allows that.
//!
//! Failure: an endpoint is lost in the middle of a stream, and the client has only part of the
//! response. Another endpoint of the same software version continues after the last delivered
//! event, within the same response; the connection to the previous endpoint is closed first, which
//! stops its run. An endpoint that is only silent is kept until another one has a place for the
//! stream, and for [`MAX_OVERLAP`] until that one has accepted it. If no endpoint can continue, the
//! client's connection is closed without the end of the stream.
//!
//! Failure: a client reads slowly, and the endpoint cuts off the response because it stays unread.
//! The stream is then read ahead into a buffer, by a task that is started once the client falls
//! behind.

mod ahead;

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvil_world::suspect::CrashedRun;
use bytes::Bytes;
use futures::stream::unfold;
use http::StatusCode;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::SendRequest;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

use ahead::{AheadReader, AheadWriter, Taken};

use crate::attempt::EndpointResponse;
use crate::connection_watch::ConnectionWatch;
use crate::dialect::ResponseHead;
use crate::endpoint::{Endpoint, EndpointSlot};
use crate::exchange::silence::{Silence, Waited};
use crate::exchange::{Exchange, Place};
use crate::metrics;
use crate::reply::{Cause, IncompleteStream, Reply, remove_connection_headers};
use crate::stream_events::{EventSplitter, StreamEvent};

/// From this event on an endpoint has survived the beginning of its response: one that crashes as
/// it begins may still send the first event.
const EVENTS_AFTER_BEGINNING: u32 = 2;

/// Events after which the HTTP connection gets a turn to write: it buffers twice as many and then
/// asks for no more.
const MAX_UNWRITTEN_EVENTS: u32 = 8;

/// For how long a silent endpoint is kept once the stream was sent to another one. Well under the time for
/// which two endpoints may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

struct StreamSource {
    body: Incoming,
    splitter: EventSplitter,
    sender: SendRequest<http_body_util::Full<Bytes>>,
    watch: Arc<ConnectionWatch>,
    head: ResponseHead,
    slot: EndpointSlot,
    /// What is reported should the endpoint crash now.
    progress: CrashedRun,
    /// Events received from it.
    events: u32,
    /// The wait for the next event, if one has begun. It goes on after another endpoint has refused the
    /// stream.
    silence: Option<Silence>,
}

/// What is recorded of a source whose connection is closed.
struct LostSource {
    endpoint: Arc<Endpoint>,
    progress: CrashedRun,
}

impl From<StreamSource> for LostSource {
    fn from(source: StreamSource) -> Self {
        Self {
            endpoint: source.slot.endpoint.clone(),
            progress: source.progress,
        }
    }
}

/// A stream in progress.
pub struct StreamRelay {
    exchange: Exchange,
    source: Option<StreamSource>,
    /// Id of the last event read from an endpoint; it is handed to the client next.
    last_read: Option<u64>,
    /// The first event, read before the response head is sent.
    prefetched: Option<StreamEvent>,
    /// Whether the endpoint has ended the stream. It may do so without an event, if its client has all
    /// of them.
    has_ended: bool,
    /// When the last event was handed to the client.
    delivered_at: Option<Instant>,
    /// Events handed to the client since they were last written to its socket.
    unwritten: u32,
}

/// How a client's response receives events.
enum Forwarding {
    /// As fast as the client reads.
    Direct(Box<StreamRelay>),
    /// Out of a buffer that is filled ahead of the client.
    Ahead(AheadReader),
}

impl Forwarding {
    /// The next part of the client's response; `None` at its end.
    async fn next_frame(&mut self) -> Option<Result<Bytes, IncompleteStream>> {
        let next = match self {
            Self::Direct(relay) => relay.next_frame().await,
            Self::Ahead(reader) => reader.next().await,
        };
        if let (Self::Direct(relay), Ok(None) | Err(_)) = (&mut *self, &next) {
            let outcome = next.as_ref().err().map_or("completed", |c| c.text());
            relay.exchange.trace.record_outcome(outcome);
        }
        next.map_err(|_| IncompleteStream).transpose()
    }

    /// Starts to read ahead if the client has fallen behind.
    async fn read_ahead_if_slow(self) -> Self {
        let Self::Direct(mut relay) = self else {
            return self;
        };
        relay.yield_to_writes().await;
        if relay.exchange.client.reads_slowly() {
            Self::Ahead(relay.read_ahead())
        } else {
            Self::Direct(relay)
        }
    }
}

enum NextEvent {
    Event(StreamEvent),
    End,
    Broken,
    /// The endpoint is silent, and the stream has a place at another one.
    TakenOver(Box<Place>),
}

impl StreamRelay {
    /// Starts the client's response once the first event has arrived. A stream that breaks before
    /// that can still be retried elsewhere, or refused with a status.
    pub async fn start_response(exchange: Exchange, response: EndpointResponse) -> Reply {
        let mut parts = response.parts.clone();
        remove_connection_headers(&mut parts.headers);
        let last_read = exchange.request.resume_after;
        let mut relay = Self {
            exchange,
            source: Some(StreamSource::from(response)),
            last_read,
            prefetched: None,
            has_ended: false,
            delivered_at: None,
            unwritten: 0,
        };
        match relay.next_event_or_resume(Some(&mut parts)).await {
            Ok(event) => relay.prefetched = event,
            Err(cause) => return relay.exchange.refuse((cause, Duration::ZERO)),
        }
        relay.exchange.record_response_begun();
        let forwarding = Forwarding::Direct(Box::new(relay));
        let stream = unfold(Some(forwarding), |forwarding| async move {
            let mut forwarding = forwarding?.read_ahead_if_slow().await;
            match forwarding.next_frame().await? {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(forwarding))),
                Err(e) => Some((Err(e), None)),
            }
        });
        Reply::from_parts(parts, StreamBody::new(stream).boxed_unsync())
    }

    async fn next_frame(&mut self) -> Result<Option<Bytes>, Cause> {
        let Some(event) = self.read_event().await? else {
            return Ok(None);
        };
        let now = Instant::now();
        if let Some(previous) = self.delivered_at.replace(now) {
            self.exchange.trace.record_gap(now - previous);
            self.exchange
                .gw
                .metrics
                .time(metrics::STREAM_GAP, now - previous);
        }
        let tokens = self.exchange.tokens_per_event;
        self.exchange.trace.record_event(tokens);
        if let Some(charge) = &mut self.exchange.charge {
            charge.record_output(tokens);
        }
        Ok(Some(event.bytes))
    }

    async fn read_event(&mut self) -> Result<Option<StreamEvent>, Cause> {
        match self.prefetched.take() {
            Some(event) => Ok(Some(event)),
            None if self.has_ended => Ok(None),
            None => self.next_event_or_resume(None).await,
        }
    }

    /// Lets the connection write some events to the client's socket before it takes more, so that
    /// it shows whether the client reads them: a connection that holds too many takes no more, and
    /// nothing would start the reading ahead.
    async fn yield_to_writes(&mut self) {
        self.unwritten += 1;
        if self.unwritten >= MAX_UNWRITTEN_EVENTS {
            self.unwritten = 0;
            yield_now().await;
        }
    }

    /// Goes on reading from the endpoint in a task of its own.
    fn read_ahead(mut self) -> AheadReader {
        self.exchange.trace.record_slow_client();
        let gw = self.exchange.gw.clone();
        gw.metrics.count(metrics::STREAMS_READ_AHEAD);
        let (writer, reader) = ahead::buffer(gw, Taken::after(self.delivered_at));
        tokio::spawn(self.fill(writer));
        reader
    }

    /// Reads up to the end of the stream, until the client disconnects or its deadline has passed.
    ///
    /// Failure: a client stays connected and reads nothing, and keeps its buffer for good.
    async fn fill(mut self, writer: AheadWriter) {
        let deadline = self.exchange.deadline;
        let filled = timeout_at(deadline, self.fill_until_end(&writer)).await;
        let outcome = filled.unwrap_or_else(|_| {
            let cause = Cause::ResponseTimeout;
            writer.abort(cause);
            // Its connection can't be closed otherwise while writes to it wait.
            self.exchange.client.shut_down();
            Some(cause.text())
        });
        let taken = writer.taken();
        self.exchange.trace.record_gap(taken.longest_gap);
        let tokens = self.exchange.tokens_per_event.saturating_mul(taken.events);
        if let Some(charge) = &mut self.exchange.charge {
            charge.record_output(tokens);
        }
        if let Some(outcome) = outcome {
            self.exchange.trace.record_outcome(outcome);
        }
    }

    /// The outcome; `None` if the client has disconnected.
    async fn fill_until_end(&mut self, writer: &AheadWriter) -> Option<&'static str> {
        let end = loop {
            if !writer.wait_for_room().await {
                return None;
            }
            let read = tokio::select! {
                () = writer.closed() => return None,
                read = self.read_event() => read,
            };
            match read {
                Ok(Some(event)) => writer.add(event.bytes),
                Ok(None) => break Ok(()),
                Err(cause) => break Err(cause),
            }
        };
        let is_seen = writer.finish(end).await;
        is_seen.then(|| end.err().map_or("completed", Cause::text))
    }

    /// The next event, from the current endpoint or from one that resumes the stream. `None` at the
    /// end of the stream. `head` is replaced as long as the client has not received one.
    async fn next_event_or_resume(
        &mut self,
        mut head: Option<&mut http::response::Parts>,
    ) -> Result<Option<StreamEvent>, Cause> {
        loop {
            match self.next_from_source().await {
                NextEvent::Event(event) => {
                    self.last_read = event.id.or(self.last_read);
                    return Ok(Some(event));
                }
                NextEvent::End => {
                    self.release_source();
                    self.has_ended = true;
                    return Ok(None);
                }
                NextEvent::Broken => {
                    let response = self.resume_elsewhere().await?;
                    self.go_on_at(response, head.as_deref_mut());
                }
                NextEvent::TakenOver(place) => {
                    let response = match (self.move_to(place).await, &mut self.source) {
                        (Ok(response), _) => response,
                        (Err(_), Some(silent)) => {
                            // It may still go on. Each look may use a retry.
                            if let Some(silence) = &mut silent.silence {
                                silence.look_later();
                            }
                            continue;
                        }
                        (Err(cause), None) => {
                            self.exchange.may_retry(cause).map_err(|(cause, _)| cause)?;
                            self.resume().await?
                        }
                    };
                    self.go_on_at(response, head.as_deref_mut());
                }
            }
        }
    }

    fn go_on_at(&mut self, response: EndpointResponse, head: Option<&mut http::response::Parts>) {
        if let Some(head) = head {
            *head = response.parts.clone();
            remove_connection_headers(&mut head.headers);
        }
        self.source = Some(StreamSource::from(response));
    }

    async fn next_from_source(&mut self) -> NextEvent {
        let Some(source) = &mut self.source else {
            return NextEvent::Broken;
        };
        loop {
            if let Some(event) = source.splitter.next_event() {
                source.silence = None;
                source.slot.response_started();
                // A stream that another endpoint began says nothing about the time of a prompt.
                if self.last_read.is_none() {
                    let gw = &self.exchange.gw;
                    let round_trip = gw.round_trip_to(&source.slot.endpoint);
                    let now = gw.lifecycle.now();
                    let estimates = &gw.engine_estimates;
                    source
                        .slot
                        .record_first_event(now, estimates, round_trip, &gw.log);
                }
                source.progress = CrashedRun::AfterOutput;
                // Failure: an endpoint repeats an event, or sends one of an earlier run. Ids
                // increase by one; an event that does not follow is not delivered.
                if is_next_event(self.last_read, event.id) {
                    self.exchange.bind_stream(&source.slot.endpoint.version);
                    source.events += 1;
                    source.slot.record_output(self.exchange.tokens_per_event);
                    if source.events == EVENTS_AFTER_BEGINNING {
                        let endpoint = &source.slot.endpoint;
                        self.exchange.record_survived_beginning(endpoint);
                    }
                    return NextEvent::Event(event);
                }
                return NextEvent::Broken;
            }
            // Clients also give up if the first event does not come in time.
            let silence = source.silence.get_or_insert_with(|| {
                Silence::since(if source.events == 0 {
                    source.slot.taken_at()
                } else {
                    Instant::now()
                })
            });
            let frame = source.body.frame();
            match self.exchange.wait_or_take_over(silence, frame).await {
                Waited::TimedOut => {
                    self.exchange.trace.step(format_args!("silent endpoint"));
                    return NextEvent::Broken;
                }
                Waited::TakenOver(place) => return NextEvent::TakenOver(place),
                Waited::Sent(None) if source.splitter.is_empty() => return NextEvent::End,
                Waited::Sent(None | Some(Err(_))) => return NextEvent::Broken,
                Waited::Sent(Some(Ok(frame))) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if !source.splitter.push(data) {
                        return NextEvent::Broken;
                    }
                }
            }
        }
    }

    /// Sends the stream to `place` while the current endpoint is silent. That one is given up when the other
    /// one has accepted the stream, or hasn't answered within [`MAX_OVERLAP`].
    ///
    /// Failure: the other endpoint refuses the stream, no further one may go on, and the silent one, which
    /// would have, is given up already.
    async fn move_to(&mut self, place: Box<Place>) -> Result<EndpointResponse, Cause> {
        let Self {
            exchange,
            source,
            last_read,
            ..
        } = self;
        let mut given_up = None;
        let response = {
            let mut sent = pin!(exchange.response_at(*last_read, place));
            if let Ok(response) = timeout(MAX_OVERLAP, &mut sent).await {
                response
            } else {
                given_up = source.take().map(LostSource::from);
                sent.await
            }
        };
        if response.is_ok() {
            given_up = given_up.or_else(|| self.source.take().map(LostSource::from));
        }
        if let Some(given_up) = given_up {
            self.record_lost(&given_up, "silent endpoint");
        }
        let response = response?;
        self.exchange.gw.metrics.count(metrics::STREAMS_RESUMED);
        Ok(*response)
    }

    /// Records that the current endpoint has lost the stream. Its connection is closed, which stops its
    /// run.
    fn drop_source(&mut self, reason: &str) {
        if let Some(source) = self.source.take() {
            self.record_lost(&LostSource::from(source), reason);
        }
    }

    fn record_lost(&mut self, lost: &LostSource, reason: &str) {
        self.exchange
            .record_lost_response(&lost.endpoint, lost.progress, reason);
        let last_read = self.last_read;
        let id = &lost.endpoint.id;
        self.exchange
            .trace
            .step(format_args!("{id} broke off after {last_read:?}"));
    }

    async fn resume_elsewhere(&mut self) -> Result<EndpointResponse, Cause> {
        self.drop_source("stream ended early");
        let timed_out = self.exchange.time_left().is_zero();
        let cause = if timed_out {
            Cause::ResponseTimeout
        } else {
            Cause::ResponseLost
        };
        if !self.exchange.route.retry_mode.may_resume_elsewhere() {
            return Err(cause);
        }
        self.exchange.may_retry(cause).map_err(|(cause, _)| cause)?;
        self.resume().await
    }

    /// Resumes the stream at an endpoint that is selected now. The retry is counted already.
    async fn resume(&mut self) -> Result<EndpointResponse, Cause> {
        let last_read = self.last_read;
        let response = self.exchange.first_response(last_read).await;
        let response = response.map_err(|(cause, _)| cause)?;
        if response.parts.status.is_success() {
            self.exchange.gw.metrics.count(metrics::STREAMS_RESUMED);
            Ok(*response)
        } else {
            Err(Cause::ResponseLost)
        }
    }

    fn release_source(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        let endpoint = source.slot.endpoint.clone();
        let estimates = &self.exchange.gw.engine_estimates;
        source.slot.record_completed(estimates);
        self.exchange.record_answered(&endpoint, StatusCode::OK);
        EndpointResponse::release_connection(source.sender, source.watch, &endpoint, &source.head);
    }
}

fn is_next_event(last_read: Option<u64>, next: Option<u64>) -> bool {
    match (last_read, next) {
        (Some(last_read), Some(next)) => next == last_read + 1,
        _ => true,
    }
}

impl From<EndpointResponse> for StreamSource {
    fn from(response: EndpointResponse) -> Self {
        Self {
            body: response.body,
            splitter: EventSplitter::default(),
            sender: response.sender,
            watch: response.watch,
            head: response.head,
            slot: response.slot,
            progress: CrashedRun::BeforeOutput,
            events: 0,
            silence: None,
        }
    }
}
