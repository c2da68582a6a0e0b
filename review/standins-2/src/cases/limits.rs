//! CONFIG: a configuration with a larger `max_header_bytes` is acknowledged. On connections that were open before,
//! routers go on refusing what only the older version forbids.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{Connection, id_of, request, send_once};
use crate::fleet::{CONFIG_APPLY, CONTACT, CaseError, Config, Fleet, KEY, STREAM_PATH};
use crate::http::Request;
use crate::record::Record;
use crate::runner::Work;

/// `max_header_bytes` before the change, and after it.
const BEFORE: u32 = 8_192;
const AFTER: u32 = 16_384;
/// Parts of the long prompt: its head has about 12,000 bytes.
const MANY_PARTS: usize = 800;
const FEW_PARTS: usize = 10;
const DEADLINE: Duration = Duration::from_secs(6);
/// Time between two requests on a kept connection; `idle_timeout_ms` is 15,000.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(20),
        gap: Duration::from_millis(5),
        body_bytes: 800,
        report: (0, 0),
    };
    let mut config = Config::first();
    if trouble {
        config.max_header_bytes = BEFORE;
    } else {
        config.max_header_bytes = AFTER;
    }
    let fleet = Fleet::start_with(record, work, work, &config)?;
    let mut kept = Vec::new();
    for machine in fleet.edges() {
        let mut connection = Connection::open(fleet.frontend(machine))?;
        send(record, &mut connection, machine, FEW_PARTS)?;
        kept.push((machine, connection));
    }
    if trouble {
        config.version += 1;
        config.max_header_bytes = AFTER;
        fleet.configure(&config)?;
    }
    // Twice the time after which the change has to be in force, and machines are in touch.
    let rounds = (2 * CONFIG_APPLY).max(CONTACT).as_secs();
    for _ in 0..rounds {
        for (machine, connection) in &mut kept {
            send(record, connection, *machine, FEW_PARTS)?;
        }
        sleep(REQUEST_INTERVAL);
    }
    let mut refused = 0;
    for (machine, connection) in &mut kept {
        let status = send(record, connection, *machine, MANY_PARTS)?;
        refused += u32::from(status == 431);
        let new = stream(MANY_PARTS);
        let response = send_once(fleet.frontend(*machine), &new, DEADLINE)?;
        record.line(&format!(
            "the same on a new connection: status {}",
            response.status
        ));
        if response.status != 200 {
            return Err(CaseError(
                "the change is not in force on new connections either".into(),
            ));
        }
    }
    record.line(&format!("refused with 431 on kept connections: {refused}"));
    Ok(refused == 0)
}

/// A request whose prompt has so many parts.
fn stream(parts: usize) -> Request {
    let parts: Vec<_> = (0..parts)
        .map(|part| format!("{:08x}:8", 0x5c1e_0000 + part))
        .collect();
    let more = vec![
        ("Model-Id".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("{},12", parts.len() * 8)),
        ("Prefix-Hash".to_owned(), parts.join(",")),
    ];
    request("POST", &format!("{STREAM_PATH}s"), KEY, DEADLINE, more)
}

fn send(
    record: &Record,
    connection: &mut Connection,
    machine: u8,
    parts: usize,
) -> Result<u16, CaseError> {
    let request = stream(parts);
    let response = connection.exchange(&request, DEADLINE)?;
    if parts != FEW_PARTS || response.status != 200 {
        record.line(&format!(
            "request {} with {parts} parts on the kept connection to machine {machine}: status {} {}",
            id_of(&request),
            response.status,
            String::from_utf8_lossy(&response.body).chars().take(80).collect::<String>()
        ));
    }
    Ok(response.status)
}
