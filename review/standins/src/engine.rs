//! A model engine as the users' pages describe it: it checks `Expect-Instance`, streams events with
//! increasing ids at a steady pace, and drops a request when its connection closes.
//!
//! The body of a request states how many events the engine generates: `events=N`.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Requests};
use crate::record::Record;

/// Time from the request to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(60);

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// `Attempt-Id` of the request.
    pub attempt: String,
    /// `Tenant` of the request.
    pub tenant: String,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// When the engine began, since the start of the record.
    pub began: Duration,
    /// When it ended.
    pub ended: Option<Duration>,
    /// Whether it came to its end.
    pub is_complete: bool,
}

/// An engine; clones are the same one.
#[derive(Clone)]
pub struct Engine {
    /// `id` in the platform's list.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Version of its software, which it writes into each event.
    pub version: String,
    /// Time between two events.
    gap: Duration,
    /// Time between the last event and the end of the answer.
    ending: Duration,
    record: Record,
    active: Arc<AtomicU32>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Attempts whose answers are lost after the run.
    lost: Arc<Mutex<Vec<String>>>,
    /// Its connections, also those that have ended.
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    is_gone: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine.
    pub fn start(
        id: &str,
        addr: SocketAddr,
        (zone, version): (&str, &str),
        (gap, ending): (Duration, Duration),
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let engine = Self {
            id: id.into(),
            addr,
            zone: zone.into(),
            version: version.into(),
            gap,
            ending,
            record: record.clone(),
            active: Arc::default(),
            runs: Arc::default(),
            lost: Arc::default(),
            sockets: Arc::default(),
            is_gone: Arc::default(),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if serving.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let engine = serving.clone();
                let mut sockets = engine
                    .sockets
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                sockets.extend(socket.try_clone());
                drop(sockets);
                thread::spawn(move || engine.serve(socket));
            }
        });
        Ok(engine)
    }

    /// Has the answer to this attempt lost after its run.
    pub fn lose_answer(&self, attempt: &str) {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.push(attempt.into());
    }

    /// The engine ends: it listens no more, and what it has not ended is cut off.
    pub fn leave(&self) {
        self.record.line(format!("{} ends", self.id));
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the listener.
        drop(TcpStream::connect(self.addr));
        let sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
        for socket in sockets.iter() {
            // Fails only for those that have ended.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut requests) = Requests::new(&socket) else {
            return;
        };
        while let Some(request) = requests.next() {
            if !self.answer(&mut socket, &request) {
                break;
            }
        }
        // Also the copy that is kept for the engine's end.
        let _ = socket.shutdown(Shutdown::Both);
    }

    /// Answers one request; false if the connection ends with it.
    fn answer(&self, socket: &mut TcpStream, request: &Message) -> bool {
        if request.first_line.starts_with("GET /healthz") {
            return self.send(socket, 200, "", "ok");
        }
        if request.first_line.starts_with("GET /report") {
            let active = self.active.load(Ordering::Relaxed);
            let report = format!(
                "{{\"phase_kind\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\
                 \"busy\":false,\"seq\":0,\"queued\":0,\"active\":{active},\"kv_usage\":0,\
                 \"kv_size\":228191,\"refs\":0}}"
            );
            return self.send(socket, 200, "Content-Type: application/json\r\n", &report);
        }
        let Some(attempt) = request.header("attempt-id") else {
            return self.send(socket, 400, "Not-Executed: 1\r\n", "");
        };
        let echo = format!("Attempt-Id: {attempt}\r\n");
        let meant_for = request.header("expect-instance");
        if meant_for.is_some_and(|id| id != self.id) {
            return self.send(socket, 421, &format!("{echo}Not-Executed: 1\r\n"), "");
        }
        self.run(socket, request, attempt)
    }

    fn send(&self, socket: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
        let answer = format!(
            "HTTP/1.1 {status} Status\r\nInstance-Id: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        socket.write_all(answer.as_bytes()).is_ok()
    }

    fn run(&self, socket: &mut TcpStream, request: &Message, attempt: &str) -> bool {
        let count = events_in(&request.body);
        let after = request.header("last-event-id");
        let after: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
        let began = Instant::now();
        if !http::sleep_while_open(socket, began + FIRST_EVENT) {
            self.record
                .line(format!("{} drops {attempt} before it runs", self.id));
            return false;
        }
        let number = self.begin(request, attempt);
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        let is_lost = self.is_lost(attempt);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nInstance-Load: {active},0,128\r\n\
             Keep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut is_open = is_lost || socket.write_all(head.as_bytes()).is_ok();
        let mut at = began + FIRST_EVENT;
        for id in after + 1..=count {
            is_open = is_open && http::sleep_while_open(socket, at);
            if !is_open {
                break;
            }
            let event = format!("id: {id}\ndata: piece {id} by {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_lost || socket.write_all(chunk.as_bytes()).is_ok();
            at += self.gap;
        }
        // The engine closes its books before it ends the answer.
        is_open = is_open && http::sleep_while_open(socket, Instant::now() + self.ending);
        is_open = is_open && (is_lost || socket.write_all(b"0\r\n\r\n").is_ok());
        self.active.fetch_sub(1, Ordering::Relaxed);
        let end = match (is_open, is_lost) {
            (false, _) => "cut off: its connection was closed",
            (true, true) => "complete, and the answer is lost",
            (true, false) => "complete",
        };
        self.end(number, is_open, end);
        is_open && !is_lost
    }

    fn begin(&self, request: &Message, attempt: &str) -> usize {
        let tokens = request.header("token-count").unwrap_or("0,0");
        let prompt = tokens.split(',').next().and_then(|text| text.parse().ok());
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(Run {
            attempt: attempt.into(),
            tenant: request.header("tenant").unwrap_or("none").into(),
            prompt: prompt.unwrap_or(0),
            began: self.record.now(),
            ended: None,
            is_complete: false,
        });
        runs.len() - 1
    }

    fn end(&self, number: usize, is_complete: bool, how: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let run = &mut runs[number];
        run.ended = Some(self.record.now());
        run.is_complete = is_complete;
        let began = run.began.as_secs_f64();
        let line = format!(
            "{} ran {} of {} from {began:.3}: {how}",
            self.id, run.attempt, run.tenant
        );
        drop(runs);
        self.record.line(line);
    }

    fn is_lost(&self, attempt: &str) -> bool {
        let lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.iter().any(|known| known == attempt)
    }
}

fn events_in(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let stated = text.split("events=").nth(1);
    let digits = stated.map(|rest| {
        rest.chars()
            .take_while(char::is_ascii_digit)
            .collect::<String>()
    });
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(1)
}
