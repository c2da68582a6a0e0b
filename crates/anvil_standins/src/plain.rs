//! A plain service that counts how often each order ran.
//!
//! It accepts any method and path. A request with an `order-id` header, or a JSON body with
//! `order_id`, is counted under that id; the response contains the count. `GET /runs` returns
//! all counts. A call of `/pause/SECONDS` makes it busy for so long: it turns all calls away with
//! 503 and a `Retry-After` of what is left.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use viz::{Request, RequestExt, Response, ResponseExt, Router};

use crate::engine::lock;
use crate::error::Error;
use crate::reply;
use crate::server::Server;

/// Header with the id of an order.
pub const ORDER_ID: &str = "order-id";

/// Configuration of a plain service.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Duration of a call.
    pub call_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_time: Duration::from_millis(1),
        }
    }
}

#[derive(Debug, Default)]
struct Service {
    call_time: AtomicU64,
    failing: AtomicBool,
    breaks_responses: AtomicBool,
    busy_until: Mutex<Option<Instant>>,
    calls: AtomicU64,
    orders: Mutex<BTreeMap<String, u64>>,
}

/// A running service. Dropping it has the effect of killing its process.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    service: Arc<Service>,
}

/// Starts a plain service.
pub async fn start(cfg: Config) -> Result<Handle, Error> {
    let service = Arc::new(Service::default());
    let call_time = u64::try_from(cfg.call_time.as_micros()).unwrap_or(u64::MAX);
    service.call_time.store(call_time, Ordering::Relaxed);
    let (call_service, runs_service) = (service.clone(), service.clone());
    let router = Router::new()
        .get("/runs", move |_: Request| {
            let body = json!({"runs": *lock(&runs_service.orders)});
            async move { viz::Result::Ok(reply::json(StatusCode::OK, &body)) }
        })
        .any("/*", move |req| call(call_service.clone(), req));
    let server = Server::start(cfg.listen, router).await?;
    Ok(Handle { server, service })
}

impl Handle {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each order ran.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        lock(&self.service.orders).clone()
    }

    /// Total number of calls, those that it turned away included.
    pub fn calls(&self) -> u64 {
        self.service.calls.load(Ordering::Relaxed)
    }

    /// Changes the duration of a call.
    pub fn set_call_time(&self, call_time: Duration) {
        let micros = u64::try_from(call_time.as_micros()).unwrap_or(u64::MAX);
        self.service.call_time.store(micros, Ordering::Relaxed);
    }

    /// Sets whether it responds with 503 at once and runs nothing.
    pub fn set_failing(&self, failing: bool) {
        self.service.failing.store(failing, Ordering::Relaxed);
    }

    /// Makes it busy for this time: it turns all calls away and asks for a pause until then.
    pub fn set_busy_for(&self, time: Duration) {
        *lock(&self.service.busy_until) = Some(Instant::now() + time);
    }

    /// Sets whether it runs a call and breaks the connection in the middle of the response.
    pub fn set_breaks_responses(&self, breaks_responses: bool) {
        self.service
            .breaks_responses
            .store(breaks_responses, Ordering::Relaxed);
    }

    /// Stops abruptly, like a killed process, and waits until the address is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn call(service: Arc<Service>, mut req: Request) -> viz::Result<Response> {
    service.calls.fetch_add(1, Ordering::Relaxed);
    if let Some(time) = pause_of(req.uri().path()) {
        *lock(&service.busy_until) = Some(Instant::now() + time);
    }
    let busy_until = *lock(&service.busy_until);
    let busy_for = busy_until.map(|until| until.saturating_duration_since(Instant::now()));
    if let Some(busy_for) = busy_for.filter(|time| !time.is_zero()) {
        return Ok(reply::busy("busy", busy_for));
    }
    if service.failing.load(Ordering::Relaxed) {
        let failing = json!({"error": "this service fails"});
        return Ok(reply::json(StatusCode::SERVICE_UNAVAILABLE, &failing));
    }
    let header: Option<String> = req.header(ORDER_ID);
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let body = req.bytes().await?;
    let order = header.or_else(|| order_id(&body));
    let micros = service.call_time.load(Ordering::Relaxed);
    let run_count = service.count(order.as_deref());
    sleep(Duration::from_micros(micros)).await;
    let body_json = json!({
        "method": method,
        "path": path,
        "order_id": order,
        "ran": run_count,
        "bytes": body.len(),
    });
    if service.breaks_responses.load(Ordering::Relaxed) {
        return Ok(truncated_response(&body_json));
    }
    Ok(reply::json(StatusCode::OK, &body_json))
}

impl Service {
    fn count(&self, order: Option<&str>) -> u64 {
        let Some(order) = order else {
            return 0;
        };
        let mut orders = lock(&self.orders);
        let run_count = orders.entry(order.into()).or_default();
        *run_count += 1;
        *run_count
    }
}

/// The time that a call asks it to be busy for.
fn pause_of(path: &str) -> Option<Duration> {
    let seconds = path.strip_prefix("/pause/")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn order_id(body: &Bytes) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(body["order_id"].as_str()?.into())
}

/// Half of the response body, then a broken connection.
fn truncated_response(body_json: &Value) -> Response {
    let text = body_json.to_string();
    let half = Bytes::from(text).slice(..body_json.to_string().len() / 2);
    let aborted: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionAborted.into());
    Response::stream(futures::stream::iter([Ok(half), aborted]))
}
