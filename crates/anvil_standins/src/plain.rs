//! A plain service that counts how often each order ran.
//!
//! It takes any method and path. A request with an `order-id` header, or a JSON body with
//! `order_id`, is counted under that id; the answer says how often it ran. `GET /runs` gives all
//! counts.

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
use tokio::time::sleep;
use viz::{Request, RequestExt, Response, ResponseExt, Router};

use crate::engine::lock;
use crate::error::Error;
use crate::reply;
use crate::server::Server;

/// Header that names an order.
pub const ORDER_ID: &str = "order-id";

/// What a plain service is like.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How long a call takes.
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
    dying: AtomicBool,
    calls: AtomicU64,
    orders: Mutex<BTreeMap<String, u64>>,
}

/// A running service. Dropping it is like killing its process.
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
    let (any, runs) = (service.clone(), service.clone());
    let router = Router::new()
        .get("/runs", move |_: Request| {
            let body = json!({"runs": *lock(&runs.orders)});
            async move { viz::Result::Ok(reply::json(StatusCode::OK, &body)) }
        })
        .any("/*", move |req| call(any.clone(), req));
    let server = Server::start(cfg.listen, router).await?;
    Ok(Handle { server, service })
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each order ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        lock(&self.service.orders).clone()
    }

    /// Calls in all.
    pub fn calls(&self) -> u64 {
        self.service.calls.load(Ordering::Relaxed)
    }

    /// How long a call takes from now on.
    pub fn set_call_time(&self, time: Duration) {
        let time = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.service.call_time.store(time, Ordering::Relaxed);
    }

    /// Whether it answers 503 at once and runs nothing.
    pub fn set_failing(&self, failing: bool) {
        self.service.failing.store(failing, Ordering::Relaxed);
    }

    /// Whether it runs a call and breaks the connection in mid-answer.
    pub fn set_dying(&self, dying: bool) {
        self.service.dying.store(dying, Ordering::Relaxed);
    }

    /// Stops as hard as a kill, and waits until the address is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn call(service: Arc<Service>, mut req: Request) -> viz::Result<Response> {
    if service.failing.load(Ordering::Relaxed) {
        let failing = json!({"error": "this service fails"});
        return Ok(reply::json(StatusCode::SERVICE_UNAVAILABLE, &failing));
    }
    let header: Option<String> = req.header(ORDER_ID);
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let body = req.bytes().await?;
    let order = header.or_else(|| order_id(&body));
    let time = service.call_time.load(Ordering::Relaxed);
    let ran = service.count(order.as_deref());
    sleep(Duration::from_micros(time)).await;
    let answer = json!({
        "method": method,
        "path": path,
        "order_id": order,
        "ran": ran,
        "bytes": body.len(),
    });
    if service.dying.load(Ordering::Relaxed) {
        return Ok(torn(&answer));
    }
    Ok(reply::json(StatusCode::OK, &answer))
}

impl Service {
    fn count(&self, order: Option<&str>) -> u64 {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let Some(order) = order else {
            return 0;
        };
        let mut orders = lock(&self.orders);
        let ran = orders.entry(order.into()).or_default();
        *ran += 1;
        *ran
    }
}

fn order_id(body: &Bytes) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(body["order_id"].as_str()?.into())
}

/// Half of an answer, then a broken connection.
fn torn(answer: &Value) -> Response {
    let text = answer.to_string();
    let half = Bytes::from(text).slice(..answer.to_string().len() / 2);
    let cut: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionAborted.into());
    Response::stream(futures::stream::iter([Ok(half), cut]))
}
