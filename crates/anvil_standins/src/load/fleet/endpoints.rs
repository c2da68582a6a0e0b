//! The stand-in endpoints of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_world::settings::EndpointKind;

use crate::error::Error;
use crate::load::scenario::EndpointGroup;
use crate::{engine, plain};

/// A stand-in endpoint that can be stopped and restarted at the same address.
pub(super) struct Endpoint {
    group: EndpointGroup,
    addr: SocketAddr,
    running: Option<Running>,
    /// Second and later runs of orders before the last stop.
    duplicate_runs: u64,
}

enum Running {
    Engine(engine::Handle),
    Plain(plain::Handle),
}

impl Endpoint {
    /// Starts an endpoint of this group.
    pub async fn start(group: &EndpointGroup) -> Result<Self, Error> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = start_stand_in(group, listen).await?;
        let addr = match &running {
            Running::Engine(engine) => engine.addr(),
            Running::Plain(plain) => plain.addr(),
        };
        Ok(Self {
            group: group.clone(),
            addr,
            running: Some(running),
            duplicate_runs: 0,
        })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops it abruptly, like a lost endpoint.
    pub async fn stop(&mut self) {
        self.duplicate_runs = self.duplicate_runs();
        match self.running.take() {
            Some(Running::Engine(engine)) => engine.stop().await,
            Some(Running::Plain(plain)) => plain.stop().await,
            None => {}
        }
    }

    /// Restarts it with an empty cache.
    pub async fn restart(&mut self) -> Result<(), Error> {
        if self.running.is_none() {
            self.running = Some(start_stand_in(&self.group, self.addr).await?);
        }
        Ok(())
    }

    /// Multiplies all times by this factor; 1 is the configured speed.
    pub fn set_slowdown(&self, factor: u32) {
        match &self.running {
            Some(Running::Engine(engine)) => engine.set_slowdown(factor),
            Some(Running::Plain(plain)) => plain.set_call_time(self.group.token_time * factor),
            None => {}
        }
    }

    /// Sets whether it responds to every request with an error at once.
    pub fn set_failing(&self, failing: bool) {
        match &self.running {
            Some(Running::Engine(engine)) => engine.set_failing(failing),
            Some(Running::Plain(plain)) => plain.set_failing(failing),
            None => {}
        }
    }

    /// Number of second and later runs of its orders.
    pub fn duplicate_runs(&self) -> u64 {
        let now = match &self.running {
            Some(Running::Plain(plain)) => plain.run_counts().values().map(|runs| runs - 1).sum(),
            _ => 0,
        };
        self.duplicate_runs + now
    }
}

async fn start_stand_in(group: &EndpointGroup, listen: SocketAddr) -> Result<Running, Error> {
    if group.kind == EndpointKind::Plain {
        let cfg = plain::Config {
            listen,
            call_time: group.token_time.max(Duration::from_micros(1)),
        };
        return Ok(Running::Plain(plain::start(cfg).await?));
    }
    let cfg = engine::Config {
        listen,
        models: group.models.clone(),
        slots: group.slots,
        prefill: group.prefill,
        token_time: group.token_time,
        token_time_per_run: group.token_time_per_run,
        cache_blocks: group.cache_blocks,
        load_lag: group.load_lag,
        ..engine::Config::default()
    };
    Ok(Running::Engine(engine::start(cfg).await?))
}
