//! Metrics as text for whoever comes and asks.
//!
//! A [`Board`] takes in what [`super::Metrics`] sends, in the statsd form, and keeps it: counts as
//! sums, gauges as last values, times in the buckets of a histogram. [`serve`] hands it out over
//! HTTP in the text form that most collectors read.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cadence::MetricSink;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Upper bounds of a histogram's buckets, in milliseconds: from one step between two processes to
/// the longest time that a request is kept.
pub const BUCKETS_MS: [u64; 14] = [
    1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 20_000,
];
/// Idle time of a collector's connection.
const IDLE: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, PartialEq)]
enum Value {
    Count(u64),
    Gauge(u64),
    Times(Box<Times>),
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Times {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl Times {
    fn take(&mut self, ms: u64) {
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(ms);
        for (bucket, bound) in self.buckets.iter_mut().zip(BUCKETS_MS) {
            *bucket += u64::from(ms <= bound);
        }
    }
}

/// What was measured so far. Cheap to clone; all clones are one board.
#[derive(Debug, Clone, Default)]
pub struct Board {
    values: Arc<Mutex<BTreeMap<String, Value>>>,
}

impl Board {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Value>> {
        // A panic elsewhere leaves plain numbers.
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in one metric in the statsd form, `NAME:VALUE|KIND`. False when it is none.
    fn take(&self, metric: &str) -> bool {
        let Some((name, rest)) = metric.split_once(':') else {
            return false;
        };
        let Some((value, kind)) = rest.split_once('|') else {
            return false;
        };
        let Ok(value) = value.parse::<u64>() else {
            return false;
        };
        let mut values = self.lock();
        let new = || match kind {
            "c" => Value::Count(0),
            "g" => Value::Gauge(0),
            _ => Value::Times(Box::default()),
        };
        match values.entry(name.to_owned()).or_insert_with(new) {
            Value::Count(sum) => *sum = sum.saturating_add(value),
            Value::Gauge(last) => *last = value,
            Value::Times(times) => times.take(value),
        }
        true
    }

    /// All of it as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.lock().iter() {
            let name: String = name
                .chars()
                .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
                .collect();
            // Writing to a string does not fail.
            let _ = match value {
                Value::Count(sum) => {
                    writeln!(text, "# TYPE {name} counter\n{name} {sum}")
                }
                Value::Gauge(last) => writeln!(text, "# TYPE {name} gauge\n{name} {last}"),
                Value::Times(times) => write_times(&mut text, &name, times),
            };
        }
        text
    }
}

fn write_times(text: &mut String, name: &str, times: &Times) -> std::fmt::Result {
    writeln!(text, "# TYPE {name}_ms histogram")?;
    for (bucket, bound) in times.buckets.iter().zip(BUCKETS_MS) {
        writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {bucket}")?;
    }
    writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {}", times.count)?;
    writeln!(text, "{name}_ms_sum {}", times.sum_ms)?;
    writeln!(text, "{name}_ms_count {}", times.count)
}

/// Puts metrics on a board.
pub(super) struct BoardSink(pub(super) Board);

impl MetricSink for BoardSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if self.0.take(metric) {
            return Ok(metric.len());
        }
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            metric.to_owned(),
        ))
    }
}

/// Hands the board out at any path, for as long as the process lives. `before` is called ahead of
/// each answer, to bring gauges up to date.
pub async fn serve(listener: TcpListener, board: Board, before: impl Fn() + Send + Sync + 'static) {
    let before = Arc::new(before);
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let board = board.clone();
        let before = before.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            before();
            let mut answer = Response::new(Full::new(Bytes::from(board.text())));
            *answer.status_mut() = StatusCode::OK;
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(socket), service);
        tokio::spawn(async move {
            // The collector learns of a broken connection by itself, and comes again.
            let _ = connection.await;
        });
    }
}
