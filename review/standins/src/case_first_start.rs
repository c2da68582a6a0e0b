//! A machine of the core is killed while the whole system starts for the first time, and no configuration
//! is ever acknowledged.

use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::{Setup, Verdict};

/// The machines start within this time of each other.
const SPREAD: Duration = Duration::from_millis(300);
/// The machine is killed so long after its start.
const KILLED_AFTER: Duration = Duration::from_millis(200);
/// How long the operator sends the configuration.
const WAIT: Duration = Duration::from_secs(60);
/// `contact_ms`: for so long the operator reads at least.
const READING: Duration = Duration::from_secs(4);

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"hostname\":\"review.example\",\
    \"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1500,\
    \"priority_class\":2,\"backend\":\"pool\",\"attempts\":1,\"public\":false,\"session_affinity\":true,\
    \"stream_resume\":false,\"gap_target_ms\":300}],\"backends\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\
    \"max_connections\":640,\"protocol\":\"h1\",\"tls_enabled\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// Plays the case.
pub fn run(setup: &Setup) -> Verdict {
    let fleet = &setup.fleet;
    let first = fleet.machine("edge-zone-a-1").clone();
    fleet.start(&first);
    thread::sleep(KILLED_AFTER);
    if setup.trouble {
        // It starts again, and so does not start for the first time with the whole system.
        fleet.kill(&first);
        fleet.end_first_start_of(&first);
    }
    thread::sleep(SPREAD - KILLED_AFTER);
    for machine in fleet
        .machines
        .iter()
        .filter(|machine| machine.name != first.name)
    {
        fleet.start(machine);
    }
    let is_acknowledged = fleet.configure(CONFIGURATION, WAIT);
    fleet.record.line(format!(
        "the configuration is acknowledged: {is_acknowledged}"
    ));
    let until = Instant::now() + READING;
    let mut read = 0;
    while Instant::now() < until {
        for machine in fleet.core() {
            let head = "GET /config/read HTTP/1.1\r\nHost: control\r\n";
            let answer = http::call(machine.control(), head, b"", Duration::from_secs(1));
            let said = answer.map_or_else(|e| e, |answer| format!("{}", answer.status()));
            fleet
                .record
                .line(format!("configuration read at {}: {said}", machine.name));
            read += u32::from(said == "200");
        }
        thread::sleep(Duration::from_millis(500));
    }
    if read == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
