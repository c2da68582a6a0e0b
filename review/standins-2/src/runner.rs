//! Runners: a model engine that answers with a stream of events, and a plain service.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::REPORT_PATH;
use crate::http::{Headers, Request, Response, header, read_request, write_response};
use crate::list::Entry;
use crate::record::Record;

/// Output tokens in one event.
pub const TOKENS_PER_EVENT: u64 = 3;

/// One request that a runner ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub runner: String,
    pub tenant: String,
    pub at: Instant,
}

/// All runs of a case, in the order in which they began.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// A copy of all runs so far.
    pub fn all(&self) -> Vec<Run> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn add(&self, run: Run) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }
}

/// How a runner works.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time to the first byte of an answer.
    pub first: Duration,
    /// Time between two events of a stream.
    pub gap: Duration,
    /// Bytes of an answer that is no stream.
    pub body_bytes: usize,
    /// Events of a stream of the plain service, and the bytes of each.
    pub report: (u64, usize),
}

/// One runner.
#[derive(Clone)]
pub struct Runner {
    pub entry: Entry,
    work: Work,
    runs: Runs,
    record: Record,
    life: Arc<Mutex<Life>>,
}

/// What ends with an incarnation of a runner.
#[derive(Default)]
struct Life {
    /// Incarnations that have ended.
    ended: u64,
    sockets: Vec<TcpStream>,
    /// Version of its software, if it isn't that of its entry.
    version: Option<&'static str>,
}

impl Runner {
    /// Starts a runner at the address of its entry.
    pub fn start(entry: Entry, work: Work, runs: &Runs, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(entry.addr)?;
        let runner = Self {
            entry,
            work,
            runs: runs.clone(),
            record: record.clone(),
            life: Arc::default(),
        };
        runner.accept(listener);
        Ok(runner)
    }

    /// Ends the runner's process without notice: its connections are closed, and new ones are refused.
    pub fn crash(&self) {
        let mut life = self.life();
        life.ended += 1;
        for socket in life.sockets.drain(..) {
            // It may be closed already.
            let _ = socket.shutdown(Shutdown::Both);
        }
        drop(life);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect_timeout(&self.entry.addr, Duration::from_millis(200));
    }

    /// Starts it again after a crash, under its id and at its address, with another version of its software.
    pub fn start_again(&self, version: &'static str) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.entry.addr)?;
        self.life().version = Some(version);
        self.accept(listener);
        Ok(())
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(&self, listener: TcpListener) {
        let runner = self.clone();
        let incarnation = self.life().ended;
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let mut life = runner.life();
                if life.ended != incarnation {
                    return;
                }
                let version = life.version.unwrap_or(runner.entry.version);
                life.sockets.extend(socket.try_clone());
                drop(life);
                let runner = runner.clone();
                std::thread::spawn(move || {
                    // An error ends the connection, as its caller may at any time.
                    let _ = runner.serve(socket, version);
                });
            }
        });
    }

    fn serve(&self, socket: TcpStream, version: &str) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut output = socket.try_clone()?;
        let mut input = BufReader::new(socket);
        while let Some(request) = read_request(&mut input)? {
            if !self.answer(&request, version, &mut output)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers one request; false if the connection ends with it.
    fn answer(
        &self,
        request: &Request,
        version: &str,
        output: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let id = header(&request.headers, "attempt-id")
            .unwrap_or_default()
            .to_owned();
        if request.target == "/healthz" || id.is_empty() {
            let status = if id.is_empty() && request.target != "/healthz" {
                400
            } else {
                200
            };
            let headers = vec![
                ("Instance-Id".into(), self.entry.id.clone()),
                ("Not-Executed".into(), "1".into()),
            ];
            write_response(
                output,
                &Response {
                    status,
                    headers,
                    body: Vec::new(),
                },
            )?;
            return Ok(true);
        }
        if header(&request.headers, "expect-instance").is_some_and(|wanted| wanted != self.entry.id)
        {
            let headers = vec![
                ("Attempt-Id".into(), id),
                ("Not-Executed".into(), "1".into()),
            ];
            write_response(
                output,
                &Response {
                    status: 421,
                    headers,
                    body: Vec::new(),
                },
            )?;
            return Ok(true);
        }
        let max_output = header(&request.headers, "token-count").map(max_output);
        let run = Run {
            id: id.clone(),
            runner: self.entry.id.clone(),
            tenant: header(&request.headers, "tenant")
                .unwrap_or_default()
                .into(),
            at: Instant::now(),
        };
        self.record.line(&format!(
            "runner {} at {} runs {id} of {:?}",
            run.runner, self.entry.addr, run.tenant
        ));
        self.runs.add(run);
        sleep(self.work.first);
        let mut headers = vec![
            ("Attempt-Id".to_owned(), id.clone()),
            (
                "Response-Seal".to_owned(),
                format!("seal-{}-{id}", self.entry.id),
            ),
            (
                "Instance-Load".to_owned(),
                format!("1,0,{}", self.entry.slots),
            ),
            ("Keep-Alive".to_owned(), "timeout=30".to_owned()),
        ];
        if request.target.starts_with(REPORT_PATH) {
            headers.push(("Content-Type".into(), "text/event-stream".into()));
            let (events, bytes) = self.work.report;
            self.stream(
                output,
                &headers,
                0..events,
                &format!("{version} {}", "x".repeat(bytes)),
            )?;
            return Ok(true);
        }
        let Some(max_output) = max_output else {
            let body = vec![b'x'; self.work.body_bytes];
            write_response(
                output,
                &Response {
                    status: 200,
                    headers,
                    body,
                },
            )?;
            return Ok(true);
        };
        headers.push(("Content-Type".into(), "text/event-stream".into()));
        let after = header(&request.headers, "last-event-id");
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        // The answer is as long as its client has estimated, at most what it allows.
        let hint = header(&request.headers, "length-hint").and_then(|hint| hint.parse().ok());
        let output_tokens = hint.unwrap_or(max_output).min(max_output);
        let events = after..output_tokens.div_ceil(TOKENS_PER_EVENT);
        self.stream(output, &headers, events, version)?;
        Ok(true)
    }

    /// Writes the events after the first number, up to the second one, each with this text.
    fn stream(
        &self,
        output: &mut TcpStream,
        headers: &Headers,
        events: Range<u64>,
        text: &str,
    ) -> std::io::Result<()> {
        let mut head = "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        output.write_all((head + "\r\n").as_bytes())?;
        for event in events {
            let event = format!("id: {}\ndata: {text}\n\n", event + 1);
            output.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            sleep(self.work.gap);
        }
        output.write_all(b"0\r\n\r\n")
    }
}

/// The most output tokens that a request allows.
fn max_output(token_count: &str) -> u64 {
    let (_, output) = token_count.split_once(',').unwrap_or_default();
    output.trim().parse().unwrap_or(0)
}
