//! What a connection is doing, shared by its socket, its requests and its listener.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use futures::task::AtomicWaker;
use tokio::time::Instant;

use crate::admission::ConnectionMemory;
use crate::head_lines::HeadLines;
use crate::limits::ConnectionLimits;
use crate::refusal::Violation;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing of a request has been read, since it was accepted or since its last response.
    Idle,
    /// A part of a head has been read.
    Head,
    /// A request is being served.
    Request,
    /// It carries several requests at once, whose heads HTTP/2 bounds.
    Multiplexed,
}

/// How many headers the HTTP library is set up for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Parser {
    /// [`FEW_HEADERS`].
    FewHeaders,
    /// The same, and the head that is being read has more.
    Outgrown,
    /// As many as fit into a head.
    ManyHeaders,
}

/// Headers that the HTTP library has place for without allocating it for each request.
const FEW_HEADERS: usize = 100;

/// The state of one connection.
#[derive(Debug)]
pub struct ConnectionState {
    limits: ConnectionLimits,
    progress: Mutex<Progress>,
    memory: Arc<ConnectionMemory>,
    /// Wakes the task of the connection.
    waker: AtomicWaker,
}

#[derive(Debug)]
struct Progress {
    phase: Phase,
    /// When the phase began; while it is idle, when data was written last.
    since: Instant,
    /// Bytes read in this phase.
    read: usize,
    /// Since when nothing could be written, because the client doesn't read.
    blocked_since: Option<Instant>,
    has_had_request: bool,
    open_requests: usize,
    is_closed_by_client: bool,
    parser: Parser,
    head_lines: HeadLines,
    violation: Option<Violation>,
}

/// What may be read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadLimit {
    /// As many bytes as fit into the buffer.
    None,
    /// So many bytes of a head.
    Head { bytes: usize },
    /// Nothing: the connection is ended.
    Ended,
}

impl ConnectionState {
    /// A connection that has just been accepted.
    pub(crate) fn new(limits: ConnectionLimits, memory: Arc<ConnectionMemory>) -> Self {
        memory.add(limits.connection_bytes());
        let now = Instant::now();
        Self {
            limits,
            progress: Mutex::new(Progress {
                phase: Phase::Idle,
                since: now,
                read: 0,
                blocked_since: None,
                has_had_request: false,
                open_requests: 0,
                is_closed_by_client: false,
                parser: Parser::FewHeaders,
                head_lines: HeadLines::default(),
                violation: None,
            }),
            memory,
            waker: AtomicWaker::new(),
        }
    }

    /// Its limits.
    pub fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// What the socket may read next.
    pub(crate) fn read_limit(&self) -> ReadLimit {
        let progress = self.lock();
        if progress.violation.is_some() {
            return ReadLimit::Ended;
        }
        if matches!(progress.phase, Phase::Request | Phase::Multiplexed) {
            return ReadLimit::None;
        }
        ReadLimit::Head {
            bytes: self.limits.head_bytes.saturating_sub(progress.read),
        }
    }

    /// When the connection has to end unless it makes progress before; `None` while its request is in progress
    /// and nothing waits for the client to read.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let progress = self.lock();
        match progress.phase {
            Phase::Idle => Some(progress.since + self.limits.idle_timeout),
            Phase::Head => Some(progress.since + self.limits.head_timeout),
            Phase::Request => progress
                .blocked_since
                .map(|since| since + self.limits.idle_timeout),
            Phase::Multiplexed => None,
        }
    }

    /// Records bytes that the socket has read; none means that the client has ended the connection. False if
    /// the head has more lines than the HTTP library is set up for.
    pub(crate) fn record_read(&self, bytes: &[u8]) -> bool {
        let mut progress = self.lock();
        if bytes.is_empty() {
            progress.is_closed_by_client = true;
            return true;
        }
        if progress.phase == Phase::Idle {
            progress.enter(Phase::Head);
        }
        progress.read += bytes.len();
        if progress.phase == Phase::Head && progress.parser == Parser::FewHeaders {
            progress.head_lines.add(bytes);
            // One is the request line.
            if progress.head_lines.complete() > FEW_HEADERS + 1 {
                progress.parser = Parser::Outgrown;
            }
        }
        progress.parser != Parser::Outgrown
    }

    /// Whether the head has more lines than the HTTP library is set up for.
    pub(crate) fn has_outgrown_parser(&self) -> bool {
        self.lock().parser == Parser::Outgrown
    }

    /// Whether the HTTP library has to be set up for it now: what it has yet to write would be lost.
    pub(crate) fn changes_parser(&self) -> bool {
        let progress = self.lock();
        progress.parser == Parser::Outgrown && progress.blocked_since.is_none()
    }

    /// The HTTP library is set up for as many headers as fit into a head.
    pub(crate) fn set_many_headers(&self) {
        self.lock().parser = Parser::ManyHeaders;
    }

    /// Records a write, and whether it waits for the client to read.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        let mut progress = self.lock();
        if is_blocked {
            progress.blocked_since.get_or_insert_with(Instant::now);
            return;
        }
        progress.blocked_since = None;
        if progress.phase == Phase::Idle {
            progress.since = Instant::now();
        }
    }

    /// Whether the client has ended the connection.
    pub(crate) fn is_closed_by_client(&self) -> bool {
        self.lock().is_closed_by_client
    }

    /// What its deadline means.
    pub(crate) fn timeout_violation(&self) -> Violation {
        match self.lock().phase {
            Phase::Head => Violation::HeadTimeout,
            Phase::Idle | Phase::Request | Phase::Multiplexed => Violation::Idle,
        }
    }

    /// From now on the connection carries several requests at once.
    pub(crate) fn set_multiplexed(&self) {
        self.lock().enter(Phase::Multiplexed);
    }

    /// A head has been read.
    pub(crate) fn begin_request(&self) {
        let mut progress = self.lock();
        progress.open_requests += 1;
        self.memory.add(self.limits.request_bytes());
        progress.has_had_request = true;
        if progress.phase != Phase::Multiplexed {
            progress.enter(Phase::Request);
        }
    }

    /// A response has been handed over as a whole.
    pub(crate) fn end_request(&self) {
        let mut progress = self.lock();
        progress.open_requests -= 1;
        self.memory.remove(self.limits.request_bytes());
        if progress.open_requests == 0 && progress.phase != Phase::Multiplexed {
            progress.enter(Phase::Idle);
        }
    }

    /// Ends the connection.
    pub(crate) fn violate(&self, violation: Violation) {
        let mut progress = self.lock();
        progress.violation.get_or_insert(violation);
        drop(progress);
        self.waker.wake();
    }

    /// Why the connection has to end, as soon as it has to.
    pub(crate) fn poll_violation(&self, cx: &mut Context<'_>) -> Poll<Violation> {
        self.waker.register(cx.waker());
        let violation = self.lock().violation;
        violation.map_or(Poll::Pending, Poll::Ready)
    }

    /// For how long it has been without progress, if it may make room for another connection: before its
    /// first request, or within a head.
    pub(crate) fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let progress = self.lock();
        let may_go = match progress.phase {
            Phase::Idle => !progress.has_had_request,
            Phase::Head => true,
            Phase::Request | Phase::Multiplexed => false,
        };
        let may_go = may_go && progress.violation.is_none();
        may_go.then(|| now.saturating_duration_since(progress.since))
    }

    /// For how long it has had no request; `None` while it has one.
    pub(crate) fn idle_for(&self, now: Instant) -> Option<Duration> {
        let progress = self.lock();
        let is_idle = progress.open_requests == 0 && progress.violation.is_none();
        is_idle.then(|| now.saturating_duration_since(progress.since))
    }

    /// Ends the connection to make room for another one.
    pub(crate) fn evict(&self) {
        let has_begun = self.lock().phase == Phase::Head;
        self.violate(if has_begun {
            Violation::Evicted
        } else {
            Violation::Idle
        });
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        // Sound after a panic elsewhere: each update leaves the state consistent.
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.memory.remove(self.limits.connection_bytes());
    }
}

impl Progress {
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
        self.read = 0;
        self.head_lines = HeadLines::default();
    }
}
