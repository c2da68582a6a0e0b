//! The platform's list of live and leaving instances, lagging.
//!
//! `GET /instances` answers `{"instances": [{"id", "zone", "addr", "presence"}]}` with what was
//! true some time ago.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anvil_world::prelude::*;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Request, Router};

use crate::engine::lock;
use crate::error::Error;
use crate::reply;
use crate::server::Server;

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The instance.
    pub id: InstanceId,
    /// Where it stands.
    pub zone: Zone,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Live or leaving; one that is gone is not listed.
    pub presence: Presence,
}

/// What the platform is like.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How late the list is.
    pub lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::from_secs(2),
        }
    }
}

type List = BTreeMap<InstanceId, Listed>;

#[derive(Debug, Default)]
struct Platform {
    lag: Duration,
    now: List,
    /// Lists not seen yet, with the time of their change; the first is the one to be seen.
    past: Vec<(Instant, List)>,
}

impl Platform {
    fn change(&mut self, f: impl FnOnce(&mut List)) {
        f(&mut self.now);
        self.past.push((Instant::now(), self.now.clone()));
        self.forget();
    }

    /// Drops all lists older than the newest one that may be seen.
    fn forget(&mut self) {
        let seen = self
            .past
            .iter()
            .rposition(|(at, _)| at.elapsed() >= self.lag);
        if let Some(seen) = seen {
            self.past.drain(..seen);
        }
    }

    fn seen(&mut self) -> List {
        self.forget();
        let oldest = self.past.first();
        let old_enough = oldest.filter(|(at, _)| at.elapsed() >= self.lag);
        old_enough.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// A running platform. Dropping it is like losing it.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    platform: Arc<Mutex<Platform>>,
}

/// Starts a platform.
pub async fn start(cfg: Config) -> Result<Handle, Error> {
    let platform = Arc::new(Mutex::new(Platform {
        lag: cfg.lag,
        ..Platform::default()
    }));
    let list = platform.clone();
    let router = Router::new().get("/instances", move |_: Request| {
        let seen: Vec<_> = lock(&list).seen().into_values().collect();
        let body = json!({ "instances": seen });
        async move { viz::Result::Ok(reply::json(StatusCode::OK, &body)) }
    });
    let server = Server::start(cfg.listen, router).await?;
    Ok(Handle { server, platform })
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Lists an instance, or changes its line.
    pub fn set(&self, listed: Listed) {
        let id = listed.id.clone();
        lock(&self.platform).change(|list| {
            list.insert(id, listed);
        });
    }

    /// Takes an instance off the list.
    pub fn remove(&self, id: &str) {
        lock(&self.platform).change(|list| {
            list.remove(id);
        });
    }

    /// Stops, and waits until the address is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
