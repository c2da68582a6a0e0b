//! A small deployment: machines with the processes of the deploy file, the platform's list of
//! instances, and the platform's balancer.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::{self, Requests};
use crate::record::Record;

/// Ports, the same on all machines.
const FRONTEND: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const LIST: u16 = 8223;
/// Port of the engines.
pub const APP: u16 = 8080;
/// `grace_s` of the settings.
pub const GRACE: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The zones, with their entry machines.
const ZONES: [(&str, u8); 3] = [("zone-a", 3), ("zone-b", 3), ("zone-c", 2)];

/// A runner of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Runner {
    /// Its zone.
    pub zone: &'static str,
    /// Version of its software.
    pub version: &'static str,
}

/// One runner of one version in each zone.
pub const RUNNERS: [Runner; 3] = [
    Runner {
        zone: "zone-a",
        version: "v1",
    },
    Runner {
        zone: "zone-b",
        version: "v1",
    },
    Runner {
        zone: "zone-c",
        version: "v1",
    },
];

/// What is different in the platform's list from now on.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListChange<'a> {
    /// The runner that is draining.
    pub draining: Option<&'a str>,
    /// The runner that is no longer listed.
    pub gone: Option<&'a str>,
    /// One more entry, as text.
    pub more: Option<&'a str>,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name in the settings and in the record.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Whether it has a disk, and so a ledger.
    pub has_disk: bool,
    /// Whether clients reach it.
    pub is_edge: bool,
}

impl Machine {
    /// Where clients connect.
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), FRONTEND)
    }

    /// Where operators call.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CONTROL)
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), READY)
    }

    fn roles(&self) -> Vec<&'static str> {
        match (self.is_edge, self.has_disk) {
            (true, true) => vec!["router", "ledger"],
            (true, false) => vec!["router"],
            (false, _) => vec!["relay"],
        }
    }
}

struct Process {
    child: Child,
    /// Killed at this time if it has not ended.
    kill_at: Option<Instant>,
    /// Started again at this time.
    start_at: Option<Instant>,
}

type Processes = BTreeMap<(String, &'static str), Process>;

/// The deployment; clones are the same one.
#[derive(Clone)]
pub struct Fleet {
    /// All machines.
    pub machines: Vec<Machine>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The record.
    pub record: Record,
    folder: PathBuf,
    commands: BTreeMap<String, Vec<String>>,
    prefix: [u8; 2],
    /// Machines that do not start for the first time; all once the whole system has started.
    started: Arc<Mutex<BTreeMap<String, bool>>>,
    processes: Arc<Mutex<Processes>>,
    /// The platform's list.
    page: Arc<Mutex<String>>,
    /// Machines out of rotation.
    out: Arc<Mutex<BTreeMap<String, bool>>>,
}

impl Fleet {
    /// Three zones with 3, 3 and 2 entry machines, of which the first of each has a disk, and these runners, each
    /// with its machine. Nothing is started but the runners and the platform's list. `times` are those
    /// between two events of a runner, and from the last event to the end of an answer.
    pub fn new(
        record: &Record,
        folder: &Path,
        times: (Duration, Duration),
        runners: &[Runner],
    ) -> std::io::Result<Self> {
        let prefix = free_prefix()?;
        let mut machines = Vec::new();
        let mut engines = Vec::new();
        for (zone_number, (zone, count)) in (1..).zip(ZONES) {
            for number in 1..=count {
                machines.push(Machine {
                    name: format!("edge-{zone}-{number}"),
                    ip: Ipv4Addr::new(127, prefix[1], zone_number, number),
                    zone: zone.into(),
                    has_disk: number == 1,
                    is_edge: true,
                });
            }
            let here = runners.iter().filter(|runner| runner.zone == zone);
            for (number, runner) in (1..).zip(here) {
                let side = Machine {
                    name: format!("side-{zone}-{number}"),
                    ip: Ipv4Addr::new(127, prefix[1], zone_number, 100 + number),
                    zone: zone.into(),
                    has_disk: false,
                    is_edge: false,
                };
                let addr = SocketAddr::new(IpAddr::V4(side.ip), APP);
                let id = format!("i-{zone}-{number}");
                let place = (zone, runner.version);
                engines.push(Engine::start(&id, addr, place, times, record)?);
                machines.push(side);
            }
        }
        let fleet = Self {
            machines,
            engines,
            record: record.clone(),
            folder: folder.into(),
            commands: commands()?,
            prefix,
            started: Arc::default(),
            processes: Arc::default(),
            page: Arc::default(),
            out: Arc::default(),
        };
        fleet.serve_list()?;
        let supervised = fleet.clone();
        thread::spawn(move || supervised.supervise());
        Ok(fleet)
    }

    /// The entry machines.
    pub fn edges(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| machine.is_edge)
    }

    /// The machines with a ledger.
    pub fn core(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| machine.has_disk)
    }

    /// A machine by its name.
    pub fn machine(&self, name: &str) -> &Machine {
        let mut all = self.machines.iter();
        all.find(|machine| machine.name == name)
            .expect("a machine of the fleet")
    }

    /// Starts all processes of a machine.
    pub fn start(&self, machine: &Machine) {
        for role in machine.roles() {
            self.start_role(machine, role);
        }
    }

    /// From now on, no process is told that the system starts for the first time.
    pub fn end_first_start(&self) {
        for machine in &self.machines {
            self.end_first_start_of(machine);
        }
    }

    /// From now on, the processes of this machine are not told that the system starts for the first time.
    pub fn end_first_start_of(&self, machine: &Machine) {
        let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        started.insert(machine.name.clone(), true);
    }

    /// Sends SIGTERM to the processes of a machine, and SIGKILL after the grace period.
    pub fn terminate(&self, machine: &Machine) {
        self.record.line(format!("{} gets SIGTERM", machine.name));
        let mut processes = self.processes();
        for role in machine.roles() {
            if let Some(process) = processes.get_mut(&(machine.name.clone(), role)) {
                process.kill_at = Some(Instant::now() + GRACE);
                signal("TERM", process.child.id());
            }
        }
    }

    /// Kills the processes of a machine.
    pub fn kill(&self, machine: &Machine) {
        self.record.line(format!("{} gets SIGKILL", machine.name));
        let mut processes = self.processes();
        for role in machine.roles() {
            if let Some(process) = processes.get_mut(&(machine.name.clone(), role)) {
                // Fails only if it has ended.
                let _ = process.child.kill();
            }
        }
    }

    /// Kills all processes of all machines; they start again after this time.
    pub fn kill_all(&self, down: Duration) {
        self.record.line("all processes get SIGKILL");
        let mut processes = self.processes();
        for process in processes.values_mut() {
            let _ = process.child.kill();
            process.start_at = Some(Instant::now() + down);
        }
        for process in processes.values_mut() {
            let _ = process.child.wait();
        }
    }

    /// Ends all processes, and nothing is started again.
    pub fn stop(&self) {
        let mut processes = self.processes();
        for process in processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        processes.clear();
    }

    /// The machine to which the platform forwards a new connection of this client.
    pub fn node_for(&self, zone: &str, client: usize) -> &Machine {
        let out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        let is_out = |machine: &Machine| out.get(&machine.name).copied().unwrap_or(false);
        let all: Vec<_> = self
            .edges()
            .filter(|machine| machine.zone == zone)
            .collect();
        let inside: Vec<_> = all
            .iter()
            .copied()
            .filter(|machine| !is_out(machine))
            .collect();
        // Fewer than half in rotation: all of the zone's machines are used.
        let used = if inside.len() * 2 < all.len() && !inside.is_empty() {
            all
        } else if inside.is_empty() {
            self.edges().filter(|machine| !is_out(machine)).collect()
        } else {
            inside
        };
        let used = if used.is_empty() {
            self.edges().collect()
        } else {
            used
        };
        used[client % used.len()]
    }

    /// Checks the readiness of all entry machines once a second, as the platform does.
    pub fn start_balancer(&self) {
        for machine in self.edges().cloned().collect::<Vec<_>>() {
            let fleet = self.clone();
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let head = "GET /readyz HTTP/1.1\r\nHost: platform\r\n";
                    let timeout = Duration::from_millis(800);
                    let answer = http::call(machine.ready(), head, b"", timeout);
                    let is_ready = answer.is_ok_and(|answer| answer.status() == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    let mut out = fleet.out.lock().unwrap_or_else(PoisonError::into_inner);
                    let was_out = out
                        .insert(machine.name.clone(), misses >= 2)
                        .unwrap_or(false);
                    drop(out);
                    if was_out != (misses >= 2) {
                        let state = if was_out {
                            "in rotation"
                        } else {
                            "out of rotation"
                        };
                        fleet.record.line(format!("{} is {state}", machine.name));
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// Replaces the platform's list.
    pub fn set_list(&self, change: ListChange<'_>) {
        let listed = self
            .engines
            .iter()
            .filter(|engine| change.gone != Some(&*engine.id));
        let entries = listed.map(|engine| list_entry(engine, change.draining));
        let entries: Vec<_> = entries.chain(change.more.map(String::from)).collect();
        let page = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
        self.record
            .line(format!("the platform's list from now on: {page}"));
        *self.page.lock().unwrap_or_else(PoisonError::into_inner) = page;
    }

    /// Whether all entry machines say that they are ready.
    pub fn all_ready(&self) -> bool {
        self.edges().all(|machine| {
            let head = "GET /readyz HTTP/1.1\r\nHost: platform\r\n";
            let answer = http::call(machine.ready(), head, b"", Duration::from_millis(800));
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Sends a configuration as an operator does, to one machine after the other until it is acknowledged.
    pub fn configure(&self, text: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let head =
            "POST /config/replace HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n";
        let mut last = String::new();
        let mut pause = Duration::from_millis(100);
        while Instant::now() < until {
            for machine in self.core() {
                let timeout = Duration::from_secs(1);
                let answer = http::call(machine.control(), head, text.as_bytes(), timeout);
                let said = match &answer {
                    Ok(answer) => format!("{}", answer.status()),
                    Err(e) => e.clone(),
                };
                if said != last {
                    self.record
                        .line(format!("configuration sent to {}: {said}", machine.name));
                    last = said;
                }
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        false
    }

    fn processes(&self) -> std::sync::MutexGuard<'_, Processes> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn start_role(&self, machine: &Machine, role: &'static str) {
        let mut processes = self.processes();
        let process = self.spawn(machine, role);
        processes.insert((machine.name.clone(), role), process);
    }

    fn spawn(&self, machine: &Machine, role: &'static str) -> Process {
        let name = format!("{}-{role}", machine.name);
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(machine, role))
            .expect("the temporary folder is writable");
        let mut options = fs::OpenOptions::new();
        let log = options.create(true).append(true);
        let log = log.open(self.folder.join(format!("{name}.log")));
        let log = log.expect("the temporary folder is writable");
        let command = &self.commands[role];
        let mut started = Command::new(&command[0]);
        started
            .args(&command[1..])
            .env_clear()
            .env("ANVILREEL_SETTINGS", &settings);
        for known in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(known) {
                started.env(known, value);
            }
        }
        let errors = log.try_clone().expect("a file can be cloned");
        started.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = started
            .spawn()
            .expect("the program of the deploy file is built");
        self.record.line(format!("{name} starts"));
        note_process(child.id());
        Process {
            child,
            kill_at: None,
            start_at: None,
        }
    }

    /// Starts processes again that have ended, and kills those whose grace period is over.
    fn supervise(&self) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let mut processes = self.processes();
            let mut due = Vec::new();
            for ((name, role), process) in processes.iter_mut() {
                if let Some(at) = process.start_at {
                    if at <= now {
                        due.push((name.clone(), *role));
                    }
                } else if let Ok(Some(status)) = process.child.try_wait() {
                    self.record
                        .line(format!("{name}-{role} has ended: {status}"));
                    process.start_at = Some(now + RESTART_DELAY);
                } else if process.kill_at.is_some_and(|at| at <= now) {
                    self.record.line(format!("{name}-{role} gets SIGKILL"));
                    let _ = process.child.kill();
                }
            }
            for (name, role) in due {
                let process = self.spawn(self.machine(&name), role);
                processes.insert((name, role), process);
            }
        }
    }

    fn settings(&self, machine: &Machine, role: &str) -> String {
        let ip = machine.ip;
        let prefix = self.prefix[1];
        let seeds: Vec<_> = self
            .core()
            .map(|core| format!("\"{}\"", core.control()))
            .collect();
        let started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        let bootstrap = !started.contains_key(&machine.name);
        drop(started);
        let mut text = format!(
            "node_name = \"{}\"\nrole = \"{role}\"\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"region\"\n\
             port_range = [7340,7355]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             counts_as_loss = {}\ndiscovery = \"provider\"\ningress = \"virtual_ip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\
             config_mode = \"highest\"\n",
            machine.name,
            machine.zone,
            seeds.join(","),
            machine.has_disk
        );
        let class = if machine.is_edge { "edge" } else { "side" };
        text += &format!("machine_class = \"{class}\"\n");
        if role == "ledger" {
            let data = self.folder.join(format!("{}-data", machine.name));
            fs::create_dir_all(&data).expect("the temporary folder is writable");
            text += &format!("data_dir = {:?}\n", data.display().to_string());
        }
        let serves = match role {
            "router" => "\"edge\"",
            "ledger" => "\"control_plane\"",
            _ => "",
        };
        text += &format!("serves = [{serves}]\n");
        if !machine.is_edge {
            text += &format!("app = \"{ip}:{APP}\"\n");
        }
        text += "[zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n";
        text += &format!(
            "[listen_addrs]\nfrontend = \"{ip}:{FRONTEND}\"\nready = \"{ip}:{READY}\"\ncontrol_plane = \"{ip}:{CONTROL}\"\n"
        );
        text += "[limits]\ncpu_quota = 0.45\nspeed_factor = 1\nmemory_mb = 110\nmax_fds = 4100\n\
                 bandwidth_mbps = 1000.0\ndisk_mb = 64\n\
                 [fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0\n\
                 [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
                 drain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
                 downgrade_slack_ms = 250\nouter_bound_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
                 retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 62\nrecovery_s = 12\n\
                 iteration_ms = 120\nretry_after_s = 6.4\nsettle_ms = 1500\n";
        text += &format!(
            "[cloud_api]\naddress = \"127.{prefix}.200.61:{LIST}\"\nrate_per_s = 44.0\nduties = []\nmax_lag_ms = 800\n"
        );
        text
    }

    /// Serves the platform's list of instances.
    fn serve_list(&self) -> std::io::Result<()> {
        self.set_list(ListChange::default());
        let addr = SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.prefix[1], 200, 61)),
            LIST,
        );
        let listener = TcpListener::bind(addr)?;
        let page = self.page.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let page = page.clone();
                thread::spawn(move || serve_page(socket, &page));
            }
        });
        Ok(())
    }
}

fn list_entry(engine: &Engine, draining: Option<&str>) -> String {
    let state = if draining == Some(&*engine.id) {
        "draining"
    } else {
        "ready"
    };
    format!(
        "{{\"id\":\"{}\",\"backend\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
         \"batch_slots\":128,\"state\":\"{state}\",\"warmup_left_ms\":0,\"phase_kind\":\"mixed\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\"born\":1764800000000}}",
        engine.id, engine.addr, engine.zone, engine.version
    )
}

fn serve_page(mut socket: TcpStream, page: &Mutex<String>) {
    let Ok(mut requests) = Requests::new(&socket) else {
        return;
    };
    while requests.next().is_some() {
        let page = page.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{page}",
            page.len()
        );
        if socket.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A part of the loopback range that is not in use.
fn free_prefix() -> std::io::Result<[u8; 2]> {
    let first = std::process::id() % 200;
    for step in 0..200 {
        let second = u8::try_from((first + step) % 200 + 20).unwrap_or(20);
        let ip = IpAddr::V4(Ipv4Addr::new(127, second, 200, 61));
        if TcpListener::bind(SocketAddr::new(ip, LIST)).is_ok() {
            return Ok([127, second]);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

/// The commands of the deploy file by role.
fn commands() -> std::io::Result<BTreeMap<String, Vec<String>>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let mut role = String::new();
    let mut found = BTreeMap::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').into();
        }
        if let Some(command) = line.strip_prefix("run = ") {
            let words = command.trim_matches('"').split(' ').map(String::from);
            found.insert(role.clone(), words.collect());
        }
    }
    Ok(found)
}

/// Notes a process for the script that started this one, which ends it if it is stopped itself.
fn note_process(process: u32) {
    let Some(path) = std::env::var_os("REVIEW_PIDS") else {
        return;
    };
    let file = fs::OpenOptions::new().append(true).create(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{process}");
    }
}

fn signal(name: &str, process: u32) {
    let mut command = Command::new("sh");
    let sent = command
        .args(["-c", &format!("kill -{name} {process}")])
        .status();
    sent.expect("sh can send a signal");
}
