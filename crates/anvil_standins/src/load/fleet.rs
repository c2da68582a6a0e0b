//! A fleet of daemons as real processes on loopback, with stand-in endpoints.
//!
//! Each daemon is a separate process with its own settings file; a lost instance is simulated by
//! killing the process. The endpoints run inside the tool, so that it can slow them down and count
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
    DEFAULT_MEMORY_MB, EndpointSettings, LedgerSettings, Peer, RouterSettings, SidecarSettings,
};
use serde::Serialize;
use snafu::ResultExt;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

use super::driver::{DriveResult, Target, drive};
use super::report::Report;
use super::scenario::{EndpointGroup, Scenario};
use super::usage::ProcessUsage;
use crate::client::Client;
use crate::error::{Error, FileSnafu, ListenSnafu};
use endpoints::Endpoint;
use process::Process;

/// Maximum time until the fleet serves requests.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the sidecars to join and for the routers to learn of them.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Interval of polling for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the last settlements to reach the ledger after a run.
const SETTLEMENT_TIME: Duration = Duration::from_secs(4);

/// The running processes and endpoints of a scenario.
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

/// Credited tokens of a budget, as reported by the operators' client.
type Credited = Tokens;
/// Charged tokens of a budget, as reported by the operators' client.
type Charged = Tokens;

impl Fleet {
    /// Starts everything and waits until it serves requests. `programs` contains the daemons;
    /// settings, data and logs are written to `folder`.
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
        // Before any router or sidecar follows the ledger, so that no change waits for its rollout.
        fleet.write_documents().await?;
        for (index, (group, zone)) in scenario.endpoint_list().into_iter().enumerate() {
            fleet.start_endpoint(index, group, zone).await?;
        }
        for index in 0..scenario.fleet.routers {
            fleet.start_router(index)?;
        }
        fleet.wait_until_ready().await?;
        sleep(JOIN_TIME).await;
        Ok(fleet)
    }

    /// Runs the scenario's load and faults against the fleet.
    pub async fn run(&mut self) -> Result<Report, Error> {
        let scenario = self.scenario.clone();
        let start = Instant::now();
        let load = drive(&scenario, self.target());
        tokio::pin!(load);
        let mut pending = faults::changes(&scenario);
        let drive_result = loop {
            let next = pending.first().map_or(Duration::MAX, |change| change.at);
            tokio::select! {
                drive_result = &mut load => break drive_result,
                () = sleep(next.saturating_sub(start.elapsed())), if !pending.is_empty() => {
                    let change = pending.remove(0);
                    self.apply_change(&change).await?;
                }
            }
        };
        sleep(SETTLEMENT_TIME).await;
        self.report(&drive_result).await
    }

    /// Resource usage of each running process, by its name.
    pub fn usage(&self) -> BTreeMap<String, ProcessUsage> {
        let processes = self.ledgers.iter().chain(&self.routers);
        let processes = processes.chain(&self.sidecars);
        processes
            .filter_map(|p| Some((p.name.clone(), ProcessUsage::of(p.id()?)?)))
            .collect()
    }

    /// The routers' addresses and the keys of the scenario's organisations.
    pub fn target(&self) -> Target {
        Target {
            routers: self.router_addrs.clone(),
            keys: documents::bearer_keys(&self.scenario),
            rule: "anvilreel".into(),
            run_name: self.scenario.name.to_string(),
        }
    }

    async fn report(&self, drive_result: &DriveResult) -> Result<Report, Error> {
        let mut report = drive_result.recorder.report();
        report.doubled_runs = Some(self.endpoints.iter().map(Endpoint::duplicate_runs).sum());
        let budgets = self.budgets().await?;
        let (mut overspend, mut excess_charges) = (0, 0);
        for index in 0..self.scenario.callers.organisations {
            let name = documents::organisation_name(index);
            let Some((credited, charged)) = budgets.get(name.as_str()) else {
                continue;
            };
            let index = index as usize;
            let max_charge = drive_result.spent[index] + drive_result.unconfirmed[index];
            overspend += charged.saturating_sub(*credited);
            excess_charges += charged.saturating_sub(max_charge);
        }
        report.overspend = Some(overspend);
        report.doubled_bills = Some(excess_charges);
        Ok(report)
    }

    fn start_ledgers(&mut self) -> Result<(), Error> {
        let count = self.scenario.fleet.ledgers;
        self.ledger_addrs = (0..count).map(|_| free_addr()).collect::<Result<_, _>>()?;
        let founders: Vec<_> = self
            .ledger_addrs
            .iter()
            .enumerate()
            .map(|(index, addr)| Peer {
                id: format!("ledger-{index}").into(),
                addr: *addr,
            })
            .collect();
        for (index, peer) in founders.iter().enumerate() {
            let settings = LedgerSettings {
                id: peer.id.clone(),
                zone: self.scenario.zone(index),
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

    fn start_router(&mut self, index: u32) -> Result<(), Error> {
        let settings = RouterSettings {
            id: format!("router-{index}").into(),
            zone: self.scenario.zone(index as usize),
            listen: free_addr()?,
            wire_listen: free_addr()?,
            ledgers: self.ledger_addrs.clone(),
            threads: 2,
            memory_mb: DEFAULT_MEMORY_MB,
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
        index: usize,
        group: &EndpointGroup,
        zone: Zone,
    ) -> Result<(), Error> {
        let endpoint = Endpoint::start(group).await?;
        let settings = SidecarSettings {
            platform: None,
            id: format!("{}-{index}", group.service).into(),
            zone,
            wire_listen: free_addr()?,
            ledgers: self.ledger_addrs.clone(),
            endpoint: EndpointSettings {
                addr: endpoint.addr(),
                service: group.service.clone(),
                kind: group.kind,
                models: group.models.clone(),
                slots: group.slots,
                checks_fencing: index.is_multiple_of(2),
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
        // Can't fail: the daemons read their settings with the same types.
        let text = toml::to_string(settings).unwrap_or_default();
        let path = self.folder.join(format!("{id}.toml"));
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        Process::start(&self.programs.join(program), id, &path)
    }

    /// Waits until every router reports that it is ready.
    async fn wait_until_ready(&self) -> Result<(), Error> {
        let client = Client::default();
        let deadline = Instant::now() + START_TIMEOUT;
        for addr in &self.router_addrs {
            let url = format!("http://{addr}/readyz");
            loop {
                let response = client.get(&url).await;
                if response.is_ok_and(|response| response.status.is_success()) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(Error::NotReady { url });
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// A command line of the operators' client, without a subcommand.
    fn operator_command(&self) -> Command {
        let mut command = Command::new(self.programs.join("anvilreel"));
        for addr in &self.ledger_addrs {
            command.arg("--ledger").arg(addr.to_string());
        }
        command.arg("--json");
        command.kill_on_drop(true);
        command
    }
}

/// An address on loopback that was free at the time of the call.
pub fn free_addr() -> Result<SocketAddr, Error> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(addr).context(ListenSnafu { addr })?;
    listener.local_addr().context(ListenSnafu { addr })
}
