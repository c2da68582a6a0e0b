//! Runners: a model engine that answers with a stream of events, and a plain service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::REPORT_PATH;
use crate::http::{Request, Response, header, read_request, write_response};
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
    /// Tokens of its prompt, 0 if it states none.
    pub prompt: u64,
    /// Whether its answer was lost on purpose.
    pub answer_lost: bool,
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
    /// Of 100 answers so many are lost.
    lost_percent: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
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
            lost_percent: Arc::default(),
            served: Arc::default(),
        };
        let accepting = runner.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let runner = accepting.clone();
                std::thread::spawn(move || {
                    // An error ends the connection, as its caller may at any time.
                    let _ = runner.serve(socket);
                });
            }
        });
        Ok(runner)
    }

    /// From now on so many of 100 answers are lost after the run.
    pub fn lose_answers(&self, percent: u64) {
        self.lost_percent.store(percent, Ordering::Relaxed);
    }

    fn addr(&self) -> SocketAddr {
        self.entry.addr
    }

    fn serve(&self, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut output = socket.try_clone()?;
        let mut input = BufReader::new(socket);
        while let Some(request) = read_request(&mut input)? {
            if !self.answer(&request, &mut output)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers one request; false if the connection ends with it.
    fn answer(&self, request: &Request, output: &mut TcpStream) -> std::io::Result<bool> {
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
        let tokens = header(&request.headers, "token-count").map(parse_tokens);
        let number = self.served.fetch_add(1, Ordering::Relaxed);
        let lost_percent = self.lost_percent.load(Ordering::Relaxed);
        // Spread evenly over the requests.
        let answer_lost = (number + 1) * lost_percent / 100 > number * lost_percent / 100;
        let run = Run {
            id: id.clone(),
            runner: self.entry.id.clone(),
            tenant: header(&request.headers, "tenant")
                .unwrap_or_default()
                .into(),
            at: Instant::now(),
            prompt: tokens.map_or(0, |(prompt, _)| prompt),
            answer_lost,
        };
        self.record.line(&format!(
            "runner {} at {} runs {id} of {:?}, prompt {}{}",
            run.runner,
            self.addr(),
            run.tenant,
            run.prompt,
            if answer_lost {
                ", and its answer is lost"
            } else {
                ""
            }
        ));
        self.runs.add(run);
        sleep(self.work.first);
        if answer_lost {
            return Ok(false);
        }
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
            self.stream(output, &headers, 0, events, bytes)?;
            return Ok(true);
        }
        let Some((_, max_output)) = tokens else {
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
        self.stream(
            output,
            &headers,
            after,
            max_output.div_ceil(TOKENS_PER_EVENT),
            0,
        )?;
        Ok(true)
    }

    /// Writes the events after `after`, up to the last one.
    fn stream(
        &self,
        output: &mut TcpStream,
        headers: &crate::http::Headers,
        after: u64,
        last: u64,
        more_bytes: usize,
    ) -> std::io::Result<()> {
        let mut text = "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        output.write_all((text + "\r\n").as_bytes())?;
        let more = "x".repeat(more_bytes);
        for event in after + 1..=last {
            let event = format!("id: {event}\ndata: part {event}{more}\n\n");
            output.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            sleep(self.work.gap);
        }
        output.write_all(b"0\r\n\r\n")
    }
}

fn parse_tokens(text: &str) -> (u64, u64) {
    let (prompt, output) = text.split_once(',').unwrap_or(("0", "0"));
    (
        prompt.trim().parse().unwrap_or(0),
        output.trim().parse().unwrap_or(0),
    )
}
