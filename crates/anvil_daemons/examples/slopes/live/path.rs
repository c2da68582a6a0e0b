//! Costs of requests, tokens and open streams at the router and the sidecars.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_standins::load::fleet::Fleet;
use anvil_standins::load::usage::ProcessUsage;
use anvil_standins::load::{Scenario, drive};
use anvil_standins::{engine, relay};
use anvil_wire::Channel;
use anvil_wire::msg::{SidecarCall, SidecarRequest};
use anvil_world::prelude::*;
use anvil_world::settings::{EndpointSettings, SidecarSettings};
use tokio::time::sleep;

use super::bench::{Bench, SETTLE_TIME, WINDOW, addr};
use crate::fit::{Slope, point};

/// Bytes between an idle process and the ledger, in both directions.
pub async fn idle() -> Vec<Slope> {
    let bench = Bench::start().await;
    let mut links = Vec::new();
    for ledger in &bench.ledgers {
        let link = relay::start(relay::Config::to(*ledger)).await;
        links.push(link.expect("loopback has free ports"));
    }
    let relay_addrs: Vec<_> = links.iter().map(relay::Handle::addr).collect();
    let engine = engine::start(engine::Config::default()).await;
    let engine = engine.expect("loopback has free ports");
    let sidecar = {
        let settings = sidecar(engine.addr(), relay_addrs.clone());
        let _process = bench.spawn("anvilreel-sidecar", &settings.id, &settings);
        sleep(SETTLE_TIME).await;
        bytes_over_time(&links).await
    };
    let router = {
        let (_process, _) = bench.router(relay_addrs);
        sleep(SETTLE_TIME).await;
        bytes_over_time(&links).await
    };
    let slope = |what, points| Slope {
        what,
        unit: "bytes a second with the ledger",
        points,
    };
    vec![
        slope("idle sidecar: control", sidecar),
        slope("idle router: control", router),
    ]
}

async fn bytes_over_time(links: &[relay::Handle]) -> Vec<(f64, f64)> {
    let bytes = || links.iter().map(relay::Handle::bytes).sum::<u64>();
    let start = bytes();
    let mut points = Vec::new();
    for second in 1..=8_u64 {
        sleep(Duration::from_secs(1)).await;
        if second.is_power_of_two() {
            points.push(point(second, bytes() - start));
        }
    }
    points
}

fn sidecar(engine: SocketAddr, ledgers: Vec<SocketAddr>) -> SidecarSettings {
    SidecarSettings {
        platform: None,
        id: "runner-0".into(),
        zone: Zone::default(),
        wire_listen: addr(),
        ledgers,
        endpoint: EndpointSettings {
            addr: engine,
            service: "runners".into(),
            kind: anvil_world::settings::EndpointKind::Engine,
            models: ["demo-chat".into()].into(),
            slots: 64,
            checks_fencing: true,
        },
        buffer_bytes: 8 << 20,
        log_json: true,
        statsd: None,
    }
}

/// A scenario with one router and two engines that take `token_time` for a token.
fn scenario(rate: u64, output: u64, token_time: &str, run_for: &str) -> Scenario {
    let text = format!(
        "name = \"slopes\"\nseed = 1\nrun_for = \"{run_for}\"\n\
         [fleet]\nregion = \"local\"\nzones = [\"local-a\"]\nrouters = 1\n\
         [callers]\norganisations = 4\nlarge = 1\n\
         [[endpoints]]\nservice = \"runners\"\ncount = 2\nslots = 1000\n\
         models = [\"demo-chat\"]\ntoken_time = \"{token_time}\"\n\
         [[load]]\nname = \"question\"\nservice = \"runners\"\nmodel = \"demo-chat\"\n\
         rate = {rate}\nprompt = [16, 16]\noutput = [{output}, {output}]\ndeadline = \"1m\"\n"
    );
    toml::from_str(&text).expect("the text is a scenario")
}

type Usage = BTreeMap<String, ProcessUsage>;

/// Starts a fleet and runs the scenario. Returns the usage of the processes before and after, and
/// the number of completed requests.
async fn run_scenario(scenario: &Scenario) -> (Usage, Usage, u64) {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let program = std::env::current_exe().expect("a running program has a path");
    let programs = program
        .ancestors()
        .nth(2)
        .expect("examples are built beside the daemons");
    let fleet = Fleet::start(scenario, programs, folder.path()).await;
    let fleet = fleet.expect("the fleet starts");
    let before = fleet.usage();
    let result = drive(scenario, fleet.target()).await;
    (before, fleet.usage(), result.recorder.report().completed)
}

/// Processor time of the processes whose names start with `name`, in microseconds.
fn processor(usage: &Usage, name: &str) -> u64 {
    let named = usage
        .iter()
        .filter(|(process, _)| process.starts_with(name));
    let all: Duration = named.map(|(_, usage)| usage.cpu_time).sum();
    u64::try_from(all.as_micros()).unwrap_or(u64::MAX)
}

const RUN_S: u64 = 8;

/// With `rate` requests per second, each of 8 tokens.
pub async fn requests() -> Vec<Slope> {
    let (mut router, mut sidecars) = (Vec::new(), Vec::new());
    for rate in [100, 300, 900] {
        let scenario = scenario(rate, 8, "1ms", "8s");
        let (before, after, completed) = run_scenario(&scenario).await;
        let spent = |name| processor(&after, name) - processor(&before, name);
        router.push(point(completed / RUN_S, spent("router") / RUN_S));
        sidecars.push(point(completed / RUN_S, spent("runners") / RUN_S));
    }
    vec![
        Slope {
            what: "router: processor",
            unit: "us a request of 8 tokens",
            points: router,
        },
        Slope {
            what: "sidecars: processor",
            unit: "us a request of 8 tokens",
            points: sidecars,
        },
    ]
}

/// With a varying number of tokens per second, in 40 answers per second.
pub async fn tokens() -> Vec<Slope> {
    const RATE: u64 = 40;
    let (mut router, mut sidecars) = (Vec::new(), Vec::new());
    for output in [25, 100, 400] {
        let scenario = scenario(RATE, output, "1ms", "8s");
        let (before, after, completed) = run_scenario(&scenario).await;
        let spent = |name| processor(&after, name) - processor(&before, name);
        let tokens = completed * output / RUN_S;
        router.push(point(tokens, spent("router") / RUN_S));
        sidecars.push(point(tokens, spent("runners") / RUN_S));
    }
    vec![
        Slope {
            what: "router: processor",
            unit: "us a token",
            points: router,
        },
        Slope {
            what: "sidecars: processor",
            unit: "us a token",
            points: sidecars,
        },
    ]
}

/// With `count` concurrent streams, each of 100 tokens in 10 s.
pub async fn streams() -> Vec<Slope> {
    let (mut router, mut sidecars) = (Vec::new(), Vec::new());
    for count in [200, 600, 1_800] {
        let scenario = scenario(count, 100, "100ms", "1s");
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let program = std::env::current_exe().expect("a running program has a path");
        let programs = program
            .ancestors()
            .nth(2)
            .expect("examples are built beside the daemons");
        let fleet = Fleet::start(&scenario, programs, folder.path()).await;
        let fleet = fleet.expect("the fleet starts");
        let measurement = async {
            sleep(Duration::from_secs(5)).await;
            fleet.usage()
        };
        let (result, usage) = tokio::join!(drive(&scenario, fleet.target()), measurement);
        let open = result.recorder.report().completed;
        let memory = |name: &str| -> u64 {
            let named = usage
                .iter()
                .filter(|(process, _)| process.starts_with(name));
            named.map(|(_, usage)| usage.memory).sum()
        };
        router.push(point(open, memory("router")));
        sidecars.push(point(open, memory("runners")));
    }
    vec![
        Slope {
            what: "router: memory",
            unit: "bytes an open stream",
            points: router,
        },
        Slope {
            what: "sidecars: memory of both",
            unit: "bytes an open stream",
            points: sidecars,
        },
    ]
}

/// Bytes of load reports from one sidecar to one router that watches it, at `rate` requests per
/// second at that sidecar.
pub async fn watched() -> Slope {
    let mut points = Vec::new();
    for rate in [2, 4, 8] {
        // Two engines share the requests.
        let scenario = scenario(2 * rate, 40, "10ms", "10s");
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let program = std::env::current_exe().expect("a running program has a path");
        let programs = program
            .ancestors()
            .nth(2)
            .expect("examples are built beside the daemons");
        let fleet = Fleet::start(&scenario, programs, folder.path()).await;
        let fleet = fleet.expect("the fleet starts");
        let settings = std::fs::read_to_string(folder.path().join("runners-0.toml"));
        let settings: SidecarSettings =
            toml::from_str(&settings.expect("the fleet has written this file"))
                .expect("settings are TOML");
        let link = relay::start(relay::Config::to(settings.wire_listen)).await;
        let link = link.expect("loopback has free ports");
        let watch = tokio::spawn(watch(Channel::new(link.addr())));
        let measurement = async {
            sleep(Duration::from_secs(2)).await;
            let before = link.bytes();
            sleep(WINDOW).await;
            (link.bytes() - before) / WINDOW.as_secs()
        };
        let (_, bytes) = tokio::join!(drive(&scenario, fleet.target()), measurement);
        watch.abort();
        points.push(point(rate, bytes));
    }
    Slope {
        what: "sidecar to one router: load reports",
        unit: "bytes a second, a request a second",
        points,
    }
}

async fn watch(sidecar: Channel) {
    let Ok(mut replies) = sidecar.open::<SidecarCall>(&SidecarRequest::Watch).await else {
        return;
    };
    while let Ok(Some(_)) = replies.next().await {}
}
