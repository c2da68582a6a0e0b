//! Serves metrics as text to collectors that scrape them.
//!
//! A [`Registry`] receives what [`super::Metrics`] sends in the statsd format and aggregates it:
//! counts into sums, gauges into their last values, durations into histograms. [`serve`] serves
//! them over HTTP in the Prometheus text format.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvil_http::{Admission, listener};
use bytes::Bytes;
use cadence::MetricSink;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use tokio::net::TcpListener;

/// Upper bounds of a histogram's buckets, in milliseconds: from one message between two processes
/// to the longest time that a request is held.
pub const BUCKETS_MS: [u64; 14] = [
    1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 20_000,
];
/// Connections of collectors at a time.
const COLLECTORS: usize = 16;

#[derive(Debug, Clone, PartialEq)]
enum Value {
    Count(u64),
    Gauge(u64),
    Histogram(Box<Histogram>),
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Histogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl Histogram {
    fn observe(&mut self, ms: u64) {
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(ms);
        for (bucket, bound) in self.buckets.iter_mut().zip(BUCKETS_MS) {
            *bucket += u64::from(ms <= bound);
        }
    }
}

/// Metrics aggregated so far. Cheap to clone; clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    values: Arc<Mutex<BTreeMap<String, Value>>>,
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Value>> {
        // Safe after a panic elsewhere: the map holds only plain numbers.
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records one metric in the statsd format, `NAME:VALUE|KIND`. Returns false if it can't be
    /// parsed.
    fn record(&self, metric: &str) -> bool {
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
            _ => Value::Histogram(Box::default()),
        };
        match values.entry(name.to_owned()).or_insert_with(new) {
            Value::Count(sum) => *sum = sum.saturating_add(value),
            Value::Gauge(last) => *last = value,
            Value::Histogram(histogram) => histogram.observe(value),
        }
        true
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.lock().iter() {
            let name: String = name
                .chars()
                .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
                .collect();
            // Writing to a string can't fail.
            let _ = match value {
                Value::Count(sum) => {
                    writeln!(text, "# TYPE {name} counter\n{name} {sum}")
                }
                Value::Gauge(last) => writeln!(text, "# TYPE {name} gauge\n{name} {last}"),
                Value::Histogram(histogram) => write_histogram(&mut text, &name, histogram),
            };
        }
        text
    }
}

fn write_histogram(text: &mut String, name: &str, histogram: &Histogram) -> std::fmt::Result {
    writeln!(text, "# TYPE {name}_ms histogram")?;
    for (bucket, bound) in histogram.buckets.iter().zip(BUCKETS_MS) {
        writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {bucket}")?;
    }
    writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {}", histogram.count)?;
    writeln!(text, "{name}_ms_sum {}", histogram.sum_ms)?;
    writeln!(text, "{name}_ms_count {}", histogram.count)
}

/// Records metrics in a [`Registry`].
pub(super) struct RegistrySink(pub(super) Registry);

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if self.0.record(metric) {
            return Ok(metric.len());
        }
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            metric.to_owned(),
        ))
    }
}

/// Serves the metrics at every path, for as long as the process runs. `update_gauges` is called
/// ahead of each response.
pub async fn serve(
    listener: TcpListener,
    registry: Registry,
    update_gauges: impl Fn() + Send + Sync + 'static,
) {
    let update_gauges = Arc::new(update_gauges);
    let service = service_fn(move |_: Request<Incoming>| {
        update_gauges();
        let mut response = Response::new(Full::new(Bytes::from(registry.render())));
        *response.status_mut() = StatusCode::OK;
        async move { Ok::<_, Infallible>(response) }
    });
    // A collector that isn't served scrapes again.
    listener::serve(listener, Admission::new(COLLECTORS), service, |_| {}).await;
}
