//! CONFIG: a configuration in which a route names an unknown service is acknowledged, and is in force.

use std::time::Duration;

use crate::fleet::{CaseError, Config, ENGINES, Fleet};
use crate::operator::call;
use crate::record::Record;
use crate::runner::Work;

pub fn run(record: &Record, trouble: bool) -> Result<bool, CaseError> {
    let work = Work {
        first: Duration::from_millis(20),
        gap: Duration::from_millis(5),
        body_bytes: 800,
        report: (0, 0),
    };
    let mut config = Config::first();
    let fleet = Fleet::start_with(record, work, work, &config)?;
    config.version += 1;
    let split = format!(r#""traffic_split":[{{"backend":"{ENGINES}","weight":100}}]"#);
    config.stream_target = if trouble {
        format!(r#""backend":"nowhere-1",{split}"#)
    } else {
        split
    };
    let mut acknowledged = 0;
    for node in fleet.control_nodes() {
        let response = call(node, "POST", "/config/replace", &config.text())?;
        record.line(&format!(
            "{node} answers {} to version {}",
            response.status, config.version
        ));
        acknowledged += u32::from(response.status == 200);
    }
    let read = call(fleet.control_nodes()[0], "GET", "/config/read", "")?;
    let is_in_force = String::from_utf8_lossy(&read.body).contains("nowhere-1");
    record.line(&format!(
        "read back: status {}, the unknown service is in it: {is_in_force}",
        read.status
    ));
    if !trouble && acknowledged == 0 {
        return Err(CaseError(
            "a valid configuration was not acknowledged".into(),
        ));
    }
    Ok(!trouble || (acknowledged == 0 && !is_in_force))
}
