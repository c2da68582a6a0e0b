//! A small deployment on loopback addresses: three machines with a disk that run a router and a ledger replica,
//! two more with a router, three with a relay beside a model engine, and two plain runners.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::list::{Entry, List, ListServer};
use crate::operator;
use crate::process::Process;
use crate::record::Record;
use crate::runner::{Runner, Runs, TOKENS_PER_EVENT, Work};

/// Why a case could not run.
#[derive(Debug)]
pub struct CaseError(pub String);

impl From<std::io::Error> for CaseError {
    fn from(e: std::io::Error) -> Self {
        Self(e.to_string())
    }
}

/// Service of the model engines.
pub const ENGINES: &str = "pool-1";
/// Plain service.
pub const DESK: &str = "desk-1";
/// Key of the tenant that may be prepaid.
pub const KEY: &str = "k1n2ctnfzs989anu6wsj";
/// Its name.
pub const TENANT: &str = "tenant-1";
/// Key of another tenant, which isn't prepaid.
pub const OTHER_KEY: &str = "k2anfqasnmgkcuyj8pjb";
/// Prefix of the route to the engines; its streams may be resumed.
pub const STREAM_PATH: &str = "/stream/";
/// Prefix of the route to the plain service whose requests may run once at most.
pub const ORDER_PATH: &str = "/order/";
/// Prefix of the route to the plain service whose requests may be repeated.
pub const LOOKUP_PATH: &str = "/lookup/";

/// Prefix of the route to the plain service whose answers are streams that can't be resumed.
pub const REPORT_PATH: &str = "/report/";

const RELEASED_PORTS: u16 = 7340;
const FRONTEND_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const CLOUD_PORT: u16 = 8223;
const RUNNER_PORT: u16 = 8120;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Machines with a disk.
const CORE: [u8; 3] = [1, 2, 3];
/// Machines without a disk that run a router, in the first zone.
const PLAIN_EDGES: [u8; 2] = [4, 11];
/// Machines beside which an engine runs.
const SIDES: [u8; 3] = [5, 6, 12];
/// Machines of the plain runners.
const DESKS: [u8; 2] = [7, 8];
/// Address of the platform's list at the start.
const CLOUD: u8 = 9;
/// Another address for it.
const OTHER_CLOUD: u8 = 10;
/// Machines are numbered up to this one.
const LAST_MACHINE: u8 = 12;

/// Machines of a zone with three routers: the first one is of the core.
pub const FULL_ZONE: [u8; 3] = [1, 4, 11];
/// Grace of a planned stop.
pub const GRACE: Duration = Duration::from_secs(8);
/// `drain_ms` of the sheet of mwangaza-swatch, as all other bounds.
pub const DRAIN: Duration = Duration::from_millis(3_000);
/// `config_apply_ms`.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `contact_ms`.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// What a configuration holds beside the fixed parts.
#[derive(Debug, Clone)]
pub struct Config {
    pub version: u64,
    pub max_header_bytes: u32,
    pub prepaid: Option<u64>,
    /// Most runners to which one attempt on the stream's route is sent.
    pub attempts: u32,
    /// Where the route of the streams leads, as the fields of the route.
    pub stream_target: String,
}

impl Config {
    /// The first configuration.
    pub fn first() -> Self {
        Self {
            version: 1,
            max_header_bytes: 16_384,
            prepaid: None,
            attempts: 2,
            stream_target: format!(r#""backend":"{ENGINES}""#),
        }
    }

    /// Its text.
    pub fn text(&self) -> String {
        let Self {
            version,
            max_header_bytes,
            prepaid,
            attempts,
            stream_target,
        } = self;
        let host = crate::client::HOST;
        let prepaid = prepaid.map_or(String::new(), |tokens| format!(r#","prepaid":{tokens}"#));
        let route = |name: &str,
                     prefix: &str,
                     kind: &str,
                     target: &str,
                     attempts: u32,
                     more: &str| {
            format!(
                r#"{{"name":"{name}","hostname":"{host}","path_prefix":"{prefix}","type":"{kind}","timeout_ms":8000,"target_latency_ms":800,"priority_class":1,{target},"attempts":{attempts},"public":false{more}}}"#
            )
        };
        let stream_more = r#","session_affinity":true,"stream_resume":true,"gap_target_ms":300"#;
        let desk = format!(r#""backend":"{DESK}""#);
        let routes = [
            route(
                "r-stream",
                STREAM_PATH,
                "streaming",
                stream_target,
                *attempts,
                stream_more,
            ),
            route("r-order", ORDER_PATH, "non_idempotent", &desk, 1, ""),
            route("r-lookup", LOOKUP_PATH, "idempotent", &desk, 2, ""),
            route(
                "r-report",
                REPORT_PATH,
                "streaming",
                &desk,
                1,
                r#","stream_resume":false"#,
            ),
        ];
        format!(
            r#"{{"version":{version},"routes":[{}],"backends":[{{"name":"{ENGINES}","health_path":"/healthz","max_connections":640,"protocol":"h1","tls_enabled":false,"runtime":{{"batch_slots":128,"kv_capacity":350318,"kv_bytes":262144,"bandwidth_mbps":150000.0,"migrations":true,"replicas_kv":true,"interval":{TOKENS_PER_EVENT},"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"ref_s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"{DESK}","health_path":"/healthz","max_connections":130,"protocol":"h1","tls_enabled":false}}],"limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority_class":1{prepaid}}},{{"name":"tenant-2","api_keys":["{OTHER_KEY}"],"priority_class":1}}]}}"#,
            routes.join(",")
        )
    }
}

/// The running deployment.
pub struct Fleet {
    pub record: Record,
    pub list: List,
    pub runs: Runs,
    pub engines: Vec<Runner>,
    pub desks: Vec<Runner>,
    /// Processes by machine and role.
    pub processes: BTreeMap<(u8, &'static str), Process>,
    run_lines: BTreeMap<String, String>,
    cloud: ListServer,
    cloud_machine: u8,
    net: [u8; 3],
    folder: PathBuf,
    is_first_start: bool,
}

impl Fleet {
    /// Starts everything but sends no configuration.
    pub fn start(record: &Record, engine: Work, desk: Work) -> Result<Self, CaseError> {
        let net = free_net().ok_or_else(|| CaseError("no free addresses".into()))?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (list, runs) = (List::default(), Runs::default());
        let cloud = list.serve(addr(net, CLOUD, CLOUD_PORT))?;
        let mut fleet = Self {
            record: record.clone(),
            list,
            runs,
            engines: Vec::new(),
            desks: Vec::new(),
            processes: BTreeMap::new(),
            run_lines: run_lines()?,
            cloud,
            cloud_machine: CLOUD,
            net,
            folder,
            is_first_start: true,
        };
        for machine in SIDES {
            fleet.add_runner(machine, ENGINES, engine)?;
        }
        for machine in DESKS {
            fleet.add_runner(machine, DESK, desk)?;
        }
        for machine in CORE {
            fleet.start_process(machine, "ledger")?;
            fleet.start_process(machine, "router")?;
        }
        for machine in PLAIN_EDGES {
            fleet.start_process(machine, "router")?;
        }
        for machine in SIDES {
            fleet.start_process(machine, "relay")?;
        }
        Ok(fleet)
    }

    /// Starts everything with a first configuration, and waits until all routers are ready.
    pub fn start_with(
        record: &Record,
        engine: Work,
        desk: Work,
        config: &Config,
    ) -> Result<Self, CaseError> {
        let mut fleet = Self::start(record, engine, desk)?;
        fleet.configure(config)?;
        fleet.wait_until_ready(&fleet.edges())?;
        fleet.is_first_start = false;
        // All machines are in touch.
        sleep(CONTACT);
        Ok(fleet)
    }

    fn add_runner(&mut self, machine: u8, service: &str, work: Work) -> Result<(), CaseError> {
        let entry = Entry {
            id: format!("i-{machine:02}a91c2"),
            service: service.into(),
            addr: self.addr(machine, RUNNER_PORT),
            zone: zone_of(machine).into(),
            slots: if service == ENGINES { 128 } else { 6 },
            version: "v1",
            draining: false,
        };
        self.list.update(|entries| entries.push(entry.clone()));
        let runner = Runner::start(entry, work, &self.runs, &self.record)?;
        if service == ENGINES {
            self.engines.push(runner);
        } else {
            self.desks.push(runner);
        }
        Ok(())
    }

    /// Machines that run a router.
    pub fn edges(&self) -> Vec<u8> {
        let mut edges = CORE.to_vec();
        edges.extend(PLAIN_EDGES);
        edges
    }

    /// An address of a machine.
    fn addr(&self, machine: u8, port: u16) -> SocketAddr {
        addr(self.net, machine, port)
    }

    /// Where a machine's router serves clients.
    pub fn frontend(&self, machine: u8) -> SocketAddr {
        self.addr(machine, FRONTEND_PORT)
    }

    /// Where the operator reaches the system.
    pub fn control_nodes(&self) -> Vec<SocketAddr> {
        CORE.iter()
            .map(|machine| self.addr(*machine, CONTROL_PORT))
            .collect()
    }

    /// Sends a configuration; returns when it was acknowledged.
    pub fn configure(&self, config: &Config) -> Result<Instant, CaseError> {
        operator::replace(&self.control_nodes(), &config.text(), &self.record)
    }

    /// Waits until the routers of these machines are ready, as the balancer asks them.
    pub fn wait_until_ready(&self, machines: &[u8]) -> Result<(), CaseError> {
        let started = Instant::now();
        for machine in machines {
            let addr = self.addr(*machine, READY_PORT);
            while !operator::call(addr, "GET", "/readyz", "").is_ok_and(|r| r.status == 200) {
                if started.elapsed() > Duration::from_secs(20) {
                    return Err(CaseError(format!(
                        "the router of machine {machine} is not ready"
                    )));
                }
                sleep(Duration::from_millis(100));
            }
        }
        self.record
            .line(&format!("routers of machines {machines:?} are ready"));
        Ok(())
    }

    /// Starts the process of a role on a machine, with the command of the deploy file.
    pub fn start_process(&mut self, machine: u8, role: &'static str) -> Result<(), CaseError> {
        self.write_settings(machine, role)?;
        let run = self.run_lines.get(role).cloned();
        let run = run.ok_or_else(|| CaseError(format!("no role {role} in the deploy file")))?;
        let log = self.folder.join(format!("{role}-{machine}.log"));
        let process = Process::start(&run, &self.settings_path(machine, role), &log)?;
        self.processes.insert((machine, role), process);
        Ok(())
    }

    /// Serves the platform's list at another address, and no longer at the first one. The settings files name
    /// it from the next time that they are written.
    pub fn move_cloud(&mut self) -> Result<(), CaseError> {
        let moved = self.list.serve(addr(self.net, OTHER_CLOUD, CLOUD_PORT))?;
        self.cloud.close();
        self.cloud = moved;
        self.cloud_machine = OTHER_CLOUD;
        Ok(())
    }

    /// Writes the settings of all processes anew, and tells them so.
    pub fn rewrite_settings(&self) -> Result<(), CaseError> {
        for ((machine, role), process) in &self.processes {
            self.write_settings(*machine, role)?;
            process.signal(crate::process::Signal::Hup);
        }
        Ok(())
    }

    fn settings_path(&self, machine: u8, role: &str) -> PathBuf {
        self.folder.join(format!("{role}-{machine}.toml"))
    }

    fn write_settings(&self, machine: u8, role: &str) -> Result<(), CaseError> {
        let ip = self.addr(machine, 0).ip();
        let data = self.folder.join(format!("data-{machine}"));
        let has_disk = CORE.contains(&machine) && role == "ledger";
        if has_disk {
            fs::create_dir_all(&data)?;
        }
        let data = if has_disk {
            format!("data_dir = {:?}\n", data.display().to_string())
        } else {
            String::new()
        };
        let seeds: Vec<_> = self
            .control_nodes()
            .iter()
            .map(ToString::to_string)
            .collect();
        let is_side = SIDES.contains(&machine);
        let (class, serves) = match role {
            "router" => ("edge", r#"["edge"]"#),
            "ledger" => ("edge", r#"["control_plane"]"#),
            _ => ("side", "[]"),
        };
        let listen = match role {
            "router" => {
                format!("frontend = \"{ip}:{FRONTEND_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n")
            }
            "ledger" => format!("control_plane = \"{ip}:{CONTROL_PORT}\"\n"),
            _ => String::new(),
        };
        let app = if is_side {
            format!("app = \"{ip}:{RUNNER_PORT}\"\n")
        } else {
            String::new()
        };
        let zone = zone_of(machine);
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"region-1\"\n"))
            .collect();
        let text = format!(
            "node_name = \"{class}-{zone}-{machine}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = {serves}\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region-1\"\n\
             port_range = [{RELEASED_PORTS},{}]\nseed_nodes = {seeds:?}\nbootstrap = {}\n\
             counts_as_loss = {}\n{data}discovery = \"provider\"\ningress = \"virtual_ip\"\n\
             heartbeat_ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\
             config_mode = \"highest\"\n{app}[zones]\n{zones}[listen_addrs]\n{listen}\
             [limits]\ncpu_quota = 0.45\nspeed_factor = 1\nmemory_mb = 260\nmax_fds = 4100\nbandwidth_mbps = 1000.0\ndisk_mb = 64\n\
             [fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = {}\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = {}\n\
             grace_s = {}\nloss_slack_ms = 200\nconfig_apply_ms = {}\ndowngrade_slack_ms = 250\nouter_bound_ms = 5000\n\
             strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 62\n\
             recovery_s = 12\niteration_ms = 120\nretry_after_s = 9.1\nsettle_ms = 1500\n\
             [cloud_api]\naddress = \"{}\"\nrate_per_s = 44.0\nduties = []\nmax_lag_ms = 800\n",
            RELEASED_PORTS + 15,
            self.is_first_start,
            CORE.contains(&machine),
            CONTACT.as_millis(),
            DRAIN.as_millis(),
            GRACE.as_secs(),
            CONFIG_APPLY.as_millis(),
            self.addr(self.cloud_machine, CLOUD_PORT),
        );
        let path = self.settings_path(machine, role);
        let new = path.with_extension("new");
        fs::write(&new, text)?;
        fs::rename(new, path)?;
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left in the temporary folder does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn zone_of(machine: u8) -> &'static str {
    match machine {
        1 | 4 | 11 | 5 | 7 => ZONES[0],
        2 | 6 | 8 => ZONES[1],
        _ => ZONES[2],
    }
}

fn addr(net: [u8; 3], machine: u8, port: u16) -> SocketAddr {
    let [a, b, c] = net;
    SocketAddr::from((Ipv4Addr::new(a, b, c, machine), port))
}

/// Loopback addresses on which all ports are free.
fn free_net() -> Option<[u8; 3]> {
    let first = std::process::id();
    let nets = (0..50).map(|step| {
        let number = first.wrapping_mul(7).wrapping_add(step);
        [127, 20 + (number / 250 % 200) as u8, (number % 250) as u8]
    });
    let ports = [
        RELEASED_PORTS,
        RELEASED_PORTS + 1,
        RELEASED_PORTS + 2,
        FRONTEND_PORT,
        READY_PORT,
        CONTROL_PORT,
        CLOUD_PORT,
        RUNNER_PORT,
        9101,
        9102,
        9103,
    ];
    let is_free = |net: &[u8; 3]| {
        let machines = 1..=LAST_MACHINE;
        machines.into_iter().all(|machine| {
            ports
                .iter()
                .all(|port| TcpListener::bind(addr(*net, machine, *port)).is_ok())
        })
    };
    nets.into_iter().find(is_free)
}

/// The `run` lines of the deploy file by role.
fn run_lines() -> Result<BTreeMap<String, String>, CaseError> {
    let text = fs::read_to_string(Path::new("deploy/system.toml"))?;
    let mut lines = BTreeMap::new();
    let mut role = String::new();
    for line in text.lines() {
        if let Some(name) = line
            .strip_prefix("[roles.")
            .and_then(|rest| rest.strip_suffix(']'))
        {
            role = name.into();
        }
        if let Some(run) = line.strip_prefix("run = ") {
            lines.insert(role.clone(), run.trim().trim_matches('"').to_owned());
        }
    }
    Ok(lines)
}
