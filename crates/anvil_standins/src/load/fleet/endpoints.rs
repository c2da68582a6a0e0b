//! The stand-in endpoints of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_world::settings::EndpointKind;

use crate::error::Error;
use crate::load::scenario::EndpointGroup;
use crate::{engine, plain};

/// A stand-in endpoint that can be lost and brought back at the same address.
pub(super) struct Endpoint {
    group: EndpointGroup,
    addr: SocketAddr,
    running: Option<Running>,
    /// Second and later runs of orders that were counted before the endpoint was lost.
    doubled: u64,
}

enum Running {
    Engine(engine::Handle),
    Plain(plain::Handle),
}

impl Endpoint {
    /// Starts one of its group.
    pub async fn start(group: &EndpointGroup) -> Result<Self, Error> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = run(group, listen).await?;
        let addr = match &running {
            Running::Engine(engine) => engine.addr(),
            Running::Plain(plain) => plain.addr(),
        };
        Ok(Self {
            group: group.clone(),
            addr,
            running: Some(running),
            doubled: 0,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Loses it.
    pub async fn stop(&mut self) {
        self.doubled = self.doubled();
        match self.running.take() {
            Some(Running::Engine(engine)) => engine.stop().await,
            Some(Running::Plain(plain)) => plain.stop().await,
            None => {}
        }
    }

    /// Brings it back with nothing in its cache.
    pub async fn restart(&mut self) -> Result<(), Error> {
        if self.running.is_none() {
            self.running = Some(run(&self.group, self.addr).await?);
        }
        Ok(())
    }

    /// Makes it so many times slower; 1 is its own pace.
    pub fn set_slowdown(&self, factor: u32) {
        match &self.running {
            Some(Running::Engine(engine)) => engine.set_slowdown(factor),
            Some(Running::Plain(plain)) => plain.set_call_time(self.group.token_time * factor),
            None => {}
        }
    }

    /// Whether it answers everything with an error at once.
    pub fn set_failing(&self, failing: bool) {
        match &self.running {
            Some(Running::Engine(engine)) => engine.set_failing(failing),
            Some(Running::Plain(plain)) => plain.set_failing(failing),
            None => {}
        }
    }

    /// Second and later runs of its orders.
    pub fn doubled(&self) -> u64 {
        let now = match &self.running {
            Some(Running::Plain(plain)) => plain.runs().values().map(|runs| runs - 1).sum(),
            _ => 0,
        };
        self.doubled + now
    }
}

async fn run(group: &EndpointGroup, listen: SocketAddr) -> Result<Running, Error> {
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
