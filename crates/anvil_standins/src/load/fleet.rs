//! A fleet of real processes on loopback, with stand-in endpoints.
//!
//! The tool starts each daemon as a process of its own, with its settings file, and kills it
//! as hard as a lost instance. Endpoints live in the tool, so that it can slow them and count
//! their runs.

mod documents;
mod endpoints;
mod faults;
pub mod process;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use anvil_world::prelude::*;
use anvil_world::settings::{
    EndpointSettings, LedgerSettings, Peer, RouterSettings, SidecarSettings,
};
use serde::Serialize;
use snafu::ResultExt;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

use super::driver::{Driven, Target, drive};
use super::report::Report;
use super::scenario::{EndpointGroup, Scenario};
use super::usage::ProcessUsage;
use crate::client::Client;
use crate::error::{Error, FileSnafu, ListenSnafu};
use endpoints::Endpoint;
use process::Process;

/// Longest time for the fleet to serve.
const START_TIME: Duration = Duration::from_secs(30);
/// Time for the sidecars to join and be seen by the routers.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Time between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(100);
/// Time for the last reports of money to reach the ledger after a run.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Running processes and endpoints.
pub struct Fleet {
    scenario: Scenario,
    programs: PathBuf,
    folder: PathBuf,
    ledgers: Vec<Process>,
    routers: Vec<Process>,
    sidecars: Vec<Process>,
    endpoints: Vec<Endpoint>,
    ledger_addrs: Vec<SocketAddr>,
    router_addrs: Vec<SocketAddr>,
}

/// A budget as the operators' client reports it.
type Credited = Tokens;
type Billed = Tokens;

impl Fleet {
    /// Starts everything and waits until it serves. `programs` holds the daemons, `folder` gets
    /// settings, data and logs.
    pub async fn start(scenario: &Scenario, programs: &Path, folder: &Path) -> Result<Self, Error> {
        let mut fleet = Self {
            scenario: scenario.clone(),
            programs: programs.into(),
            folder: folder.into(),
            ledgers: Vec::new(),
            routers: Vec::new(),
            sidecars: Vec::new(),
            endpoints: Vec::new(),
            ledger_addrs: Vec::new(),
            router_addrs: Vec::new(),
        };
        fleet.start_ledgers()?;
        // Before anybody follows, so that no change waits to be in force everywhere.
        fleet.write_documents().await?;
        for (at, (group, zone)) in scenario.endpoint_list().into_iter().enumerate() {
            fleet.start_endpoint(at, group, zone).await?;
        }
        for at in 0..scenario.fleet.routers {
            fleet.start_router(at)?;
        }
        fleet.until_ready().await?;
        sleep(JOIN_TIME).await;
        Ok(fleet)
    }

    /// Runs the scenario's load and faults against it.
    pub async fn run(&mut self) -> Result<Report, Error> {
        let scenario = self.scenario.clone();
        let start = Instant::now();
        let load = drive(&scenario, self.target());
        tokio::pin!(load);
        let mut due = faults::changes(&scenario);
        let driven = loop {
            let next = due.first().map_or(Duration::MAX, |change| change.at);
            tokio::select! {
                driven = &mut load => break driven,
                () = sleep(next.saturating_sub(start.elapsed())), if !due.is_empty() => {
                    let change = due.remove(0);
                    self.change(&change).await?;
                }
            }
        };
        sleep(SETTLE_TIME).await;
        self.report(&driven).await
    }

    /// What each process has used, by its name.
    pub fn usage(&self) -> BTreeMap<String, ProcessUsage> {
        let processes = self.ledgers.iter().chain(&self.routers);
        let processes = processes.chain(&self.sidecars);
        processes
            .filter_map(|p| Some((p.name.clone(), ProcessUsage::of(p.id()?)?)))
            .collect()
    }

    /// Where callers connect, with the keys of the scenario's organisations.
    pub fn target(&self) -> Target {
        Target {
            routers: self.router_addrs.clone(),
            keys: documents::keys(&self.scenario),
            rule: "anvilreel".into(),
            run: self.scenario.name.to_string(),
        }
    }

    async fn report(&self, driven: &Driven) -> Result<Report, Error> {
        let mut report = driven.recorder.report();
        report.doubled_runs = Some(self.endpoints.iter().map(Endpoint::doubled).sum());
        let budgets = self.budgets().await?;
        let (mut overspend, mut doubled) = (0, 0);
        for at in 0..self.scenario.callers.organisations {
            let name = documents::organisation(at);
            let Some((credited, billed)) = budgets.get(name.as_str()) else {
                continue;
            };
            let at = at as usize;
            let due = driven.spent[at] + driven.in_doubt[at];
            overspend += billed.saturating_sub(*credited);
            doubled += billed.saturating_sub(due);
        }
        report.overspend = Some(overspend);
        report.doubled_bills = Some(doubled);
        Ok(report)
    }

    fn start_ledgers(&mut self) -> Result<(), Error> {
        let count = self.scenario.fleet.ledgers;
        self.ledger_addrs = (0..count).map(|_| free_addr()).collect::<Result<_, _>>()?;
        let founders: Vec<_> = self
            .ledger_addrs
            .iter()
            .enumerate()
            .map(|(at, addr)| Peer {
                id: format!("ledger-{at}").into(),
                addr: *addr,
            })
            .collect();
        for (at, peer) in founders.iter().enumerate() {
            let settings = LedgerSettings {
                id: peer.id.clone(),
                zone: self.scenario.zone(at),
                wire_listen: peer.addr,
                bind: None,
                data: self.folder.join(peer.id.as_ref()),
                founders: founders.clone(),
                join: false,
                log_json: true,
                statsd: None,
            };
            let process = self.spawn("anvilreel-ledger", &peer.id, &settings)?;
            self.ledgers.push(process);
        }
        Ok(())
    }

    fn start_router(&mut self, at: u32) -> Result<(), Error> {
        let settings = RouterSettings {
            id: format!("router-{at}").into(),
            zone: self.scenario.zone(at as usize),
            listen: free_addr()?,
            wire_listen: free_addr()?,
            ledgers: self.ledger_addrs.clone(),
            threads: 2,
            log_json: true,
            statsd: None,
        };
        let process = self.spawn("anvilreel-router", &settings.id, &settings)?;
        self.router_addrs.push(settings.listen);
        self.routers.push(process);
        Ok(())
    }

    async fn start_endpoint(
        &mut self,
        at: usize,
        group: &EndpointGroup,
        zone: Zone,
    ) -> Result<(), Error> {
        let endpoint = Endpoint::start(group).await?;
        let settings = SidecarSettings {
            platform: None,
            id: format!("{}-{at}", group.service).into(),
            zone,
            wire_listen: free_addr()?,
            ledgers: self.ledger_addrs.clone(),
            endpoint: EndpointSettings {
                addr: endpoint.addr(),
                service: group.service.clone(),
                kind: group.kind,
                models: group.models.clone(),
                slots: group.slots,
                checks_fencing: at.is_multiple_of(2),
            },
            buffer_bytes: 8 << 20,
            log_json: true,
            statsd: None,
        };
        let process = self.spawn("anvilreel-sidecar", &settings.id, &settings)?;
        self.endpoints.push(endpoint);
        self.sidecars.push(process);
        Ok(())
    }

    fn spawn(&self, program: &str, id: &str, settings: &impl Serialize) -> Result<Process, Error> {
        // Settings are written by the same types that read them.
        let text = toml::to_string(settings).unwrap_or_default();
        let path = self.folder.join(format!("{id}.toml"));
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        Process::start(&self.programs.join(program), id, &path)
    }

    /// Waits until every router says that it is ready.
    async fn until_ready(&self) -> Result<(), Error> {
        let client = Client::default();
        let end = Instant::now() + START_TIME;
        for addr in &self.router_addrs {
            let url = format!("http://{addr}/readyz");
            loop {
                let answer = client.get(&url).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() > end {
                    return Err(Error::NotReady { url });
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// The operators' client, as an operator would start it.
    fn operator(&self) -> Command {
        let mut command = Command::new(self.programs.join("anvilreel"));
        for addr in &self.ledger_addrs {
            command.arg("--ledger").arg(addr.to_string());
        }
        command.arg("--json");
        command.kill_on_drop(true);
        command
    }
}

/// An address on loopback that was free a moment ago.
pub fn free_addr() -> Result<SocketAddr, Error> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(addr).context(ListenSnafu { addr })?;
    listener.local_addr().context(ListenSnafu { addr })
}
