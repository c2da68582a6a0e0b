//! Processor time and memory of a process, as Linux tells them.

use std::time::Duration;

/// Clock ticks a second in `/proc`; Linux fixes it for programs.
const TICKS: u64 = 100;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

impl ProcessUsage {
    /// Of this process; `None` when there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may hold spaces and stands in brackets; the fields count from after it.
        let (_, fields) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(Self {
            processor: Duration::from_millis((user + system) * 1_000 / TICKS),
            memory: kilobytes * 1_024,
        })
    }
}
