//! A rate-limited weight store.
//!
//! `GET /weights/{model}` answers after the time that the weights take at the store's rate, or
//! 503 with `Retry-After` while too many are being read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use viz::{Request, RequestExt, Response, Router};

use crate::error::Error;
use crate::reply;
use crate::server::Server;

/// What a weight store is like.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Reads side by side; one more is refused.
    pub at_once: usize,
    /// How long one read takes.
    pub read_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            at_once: 2,
            read_time: Duration::from_millis(500),
        }
    }
}

#[derive(Debug)]
struct Store {
    cfg: Config,
    room: Semaphore,
    served: AtomicU64,
    limited: AtomicU64,
}

/// A running store. Dropping it is like losing it.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    store: Arc<Store>,
}

/// Starts a weight store.
pub async fn start(cfg: Config) -> Result<Handle, Error> {
    let listen = cfg.listen;
    let store = Arc::new(Store {
        room: Semaphore::new(cfg.at_once),
        cfg,
        served: AtomicU64::new(0),
        limited: AtomicU64::new(0),
    });
    let reads = store.clone();
    let router = Router::new().get("/weights/:model", move |req| read(reads.clone(), req));
    let server = Server::start(listen, router).await?;
    Ok(Handle { server, store })
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Reads answered.
    pub fn served(&self) -> u64 {
        self.store.served.load(Ordering::Relaxed)
    }

    /// Reads refused.
    pub fn limited(&self) -> u64 {
        self.store.limited.load(Ordering::Relaxed)
    }

    /// Stops, and waits until the address is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn read(store: Arc<Store>, req: Request) -> viz::Result<Response> {
    let model: String = req.param("model")?;
    let Ok(_room) = store.room.try_acquire() else {
        store.limited.fetch_add(1, Ordering::Relaxed);
        return Ok(limited(store.cfg.read_time));
    };
    sleep(store.cfg.read_time).await;
    store.served.fetch_add(1, Ordering::Relaxed);
    Ok(reply::json(StatusCode::OK, &json!({ "model": model })))
}

fn limited(after: Duration) -> Response {
    let error = json!({"error": "too many reads"});
    let mut response = reply::json(StatusCode::SERVICE_UNAVAILABLE, &error);
    let seconds = HeaderValue::from(after.as_secs() + 1);
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}
