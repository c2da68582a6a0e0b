//! Processor time and memory of a process, read from Linux's `/proc`.

use std::time::Duration;

/// Clock ticks a second in `/proc`; Linux guarantees this value to programs.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since the start of the process.
    pub cpu_time: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

impl ProcessUsage {
    /// Usage of the process with this id; `None` when there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name is in brackets and may contain spaces; the fields are counted after it.
        let (_, fields) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(Self {
            cpu_time: Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND),
            memory: kibibytes * 1_024,
        })
    }
}
