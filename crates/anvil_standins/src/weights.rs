//! A weight store with limited concurrency.
//!
//! `GET /weights/{model}` responds after the configured read time, or with 503 and `Retry-After`
//! while the maximum number of reads is in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use viz::{Request, RequestExt, Response, Router};

use crate::error::Error;
use crate::reply;
use crate::server::Server;

/// Configuration of a weight store.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Maximum number of concurrent reads; further reads are refused.
    pub max_concurrent: usize,
    /// Duration of one read.
    pub read_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_concurrent: 2,
            read_time: Duration::from_millis(500),
        }
    }
}

#[derive(Debug)]
struct Store {
    cfg: Config,
    permits: Semaphore,
    served: AtomicU64,
    limited: AtomicU64,
}

/// A running weight store. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    store: Arc<Store>,
}

/// Starts a weight store.
pub async fn start(cfg: Config) -> Result<Handle, Error> {
    let listen = cfg.listen;
    let store = Arc::new(Store {
        permits: Semaphore::new(cfg.max_concurrent),
        cfg,
        served: AtomicU64::new(0),
        limited: AtomicU64::new(0),
    });
    let read_store = store.clone();
    let router = Router::new().get("/weights/:model", move |req| read(read_store.clone(), req));
    let server = Server::start(listen, router).await?;
    Ok(Handle { server, store })
}

impl Handle {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Number of completed reads.
    pub fn served(&self) -> u64 {
        self.store.served.load(Ordering::Relaxed)
    }

    /// Number of refused reads.
    pub fn limited(&self) -> u64 {
        self.store.limited.load(Ordering::Relaxed)
    }

    /// Stops and waits until the address is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn read(store: Arc<Store>, req: Request) -> viz::Result<Response> {
    let model: String = req.param("model")?;
    let Ok(_permit) = store.permits.try_acquire() else {
        store.limited.fetch_add(1, Ordering::Relaxed);
        return Ok(reply::busy("too many reads", store.cfg.read_time));
    };
    sleep(store.cfg.read_time).await;
    store.served.fetch_add(1, Ordering::Relaxed);
    Ok(reply::json(StatusCode::OK, &json!({ "model": model })))
}
