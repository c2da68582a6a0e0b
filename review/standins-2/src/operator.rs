//! The operator: sends configurations until one is acknowledged, and reads them back.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::CaseError;
use crate::http::{Request, Response, read_response, write_request};
use crate::record::Record;

/// The operator moves on to another node after this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next node is called.
const PAUSE: Duration = Duration::from_millis(200);
/// The operator gives up after this time; that is a failure of the set-up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Sends one call to one node.
pub fn call(addr: SocketAddr, method: &str, target: &str, body: &str) -> std::io::Result<Response> {
    let socket = TcpStream::connect_timeout(&addr, CALL_TIMEOUT)?;
    socket.set_read_timeout(Some(CALL_TIMEOUT))?;
    socket.set_nodelay(true)?;
    let request = Request {
        method: method.into(),
        target: target.into(),
        headers: vec![("Content-Type".into(), "application/json".into())],
        body: body.as_bytes().to_vec(),
    };
    write_request(&mut &socket, &request, &addr.to_string())?;
    read_response(&mut BufReader::new(&socket))
}

/// Sends a configuration to one node after the other until one acknowledges it; returns when.
pub fn replace(nodes: &[SocketAddr], text: &str, record: &Record) -> Result<Instant, CaseError> {
    let started = Instant::now();
    let mut last = String::new();
    for node in nodes.iter().cycle() {
        if started.elapsed() > GIVE_UP_AFTER {
            break;
        }
        match call(*node, "POST", "/config/replace", text) {
            Ok(response) if response.status == 200 => {
                let at = Instant::now();
                record.line(&format!("operator: {node} acknowledges {}", head(text)));
                return Ok(at);
            }
            Ok(response) => last = format!("{} from {node}", response.status),
            Err(e) => last = format!("{e} from {node}"),
        }
        sleep(PAUSE);
    }
    Err(CaseError(format!(
        "no configuration was acknowledged: {last}"
    )))
}

fn head(text: &str) -> &str {
    text.get(..text.find(',').unwrap_or(text.len()))
        .unwrap_or_default()
}
