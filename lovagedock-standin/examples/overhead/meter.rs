//! Reads CPU time and memory of processes from `/proc`.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc`, fixed by the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;
/// Indexes of user and system time in a `stat` line, counted after the name in parentheses.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Reads the resource usage of one process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessMeter {
    /// Name of the process in the output.
    pub(crate) name: String,
    pid: u32,
}

impl ProcessMeter {
    /// CPU time used so far.
    pub(crate) fn cpu_time(&self) -> Duration {
        let ticks = ticks_of(self.pid);
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }

    /// Current and peak resident memory in KiB.
    pub(crate) fn memory_kib(&self) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        Some((
            status_field(&status, "VmRSS:")?,
            status_field(&status, "VmHWM:")?,
        ))
    }
}

/// Parses `NAME=PID`.
pub(crate) fn parse_process(text: &str) -> Result<ProcessMeter, String> {
    let (name, pid) = text.split_once('=').ok_or("expected NAME=PID")?;
    let pid = pid
        .parse()
        .map_err(|_| format!("invalid process id: {pid}"))?;
    Ok(ProcessMeter {
        name: name.to_owned(),
        pid,
    })
}

fn ticks_of(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name is in parentheses and may contain spaces; numbers follow.
    let Some((_, fields)) = stat.rsplit_once(')') else {
        return 0;
    };
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<u64>().ok());
    ticks(USER_TICKS_FIELD).unwrap_or(0) + ticks(SYSTEM_TICKS_FIELD).unwrap_or(0)
}

fn status_field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
