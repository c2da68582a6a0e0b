//! The platform's list of live and leaving instances, with a lag.
//!
//! `GET /instances` returns `{"instances": [{"id", "zone", "addr", "presence"}]}`: the list as
//! it was the configured lag ago.

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

/// One instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's id.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address.
    pub addr: SocketAddr,
    /// Live or leaving; an instance that is gone is not listed.
    pub presence: Presence,
}

/// Configuration of the platform.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Age of the list that readers get.
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

type List = BTreeMap<InstanceId, ListedInstance>;

#[derive(Debug, Default)]
struct Platform {
    lag: Duration,
    current: List,
    /// The list that readers get, followed by newer ones that they don't get yet, each with the
    /// time of its change.
    history: Vec<(Instant, List)>,
}

impl Platform {
    fn change(&mut self, f: impl FnOnce(&mut List)) {
        f(&mut self.current);
        self.history.push((Instant::now(), self.current.clone()));
        self.drop_outdated();
    }

    /// Drops all lists older than the newest one that has reached the lag.
    fn drop_outdated(&mut self) {
        let visible = self
            .history
            .iter()
            .rposition(|(at, _)| at.elapsed() >= self.lag);
        if let Some(visible) = visible {
            self.history.drain(..visible);
        }
    }

    fn visible(&mut self) -> List {
        self.drop_outdated();
        let oldest = self.history.first();
        let old_enough = oldest.filter(|(at, _)| at.elapsed() >= self.lag);
        old_enough.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// A running platform. Dropping it closes the listener and all connections.
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
        let visible: Vec<_> = lock(&list).visible().into_values().collect();
        let body = json!({ "instances": visible });
        async move { viz::Result::Ok(reply::json(StatusCode::OK, &body)) }
    });
    let server = Server::start(cfg.listen, router).await?;
    Ok(Handle { server, platform })
}

impl Handle {
    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds an instance to the list, or replaces its entry.
    pub fn set(&self, listed: ListedInstance) {
        let id = listed.id.clone();
        lock(&self.platform).change(|list| {
            list.insert(id, listed);
        });
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &str) {
        lock(&self.platform).change(|list| {
            list.remove(id);
        });
    }

    /// Stops and waits until the address is free.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
