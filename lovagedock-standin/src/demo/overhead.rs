//! Overhead of the control plane, measured on the idle fleet.

use std::{fs, time::Duration};

use crate::{PlatformCounters, load::ControlOverhead};

/// Clock ticks per second of the times in `/proc`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indexes of fields in `/proc/self/stat`, counted after the name in parentheses.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const RESIDENT_PREFIX: &str = "VmRSS:";
const KIB_PER_MIB: f64 = 1024.0;

/// Sample of the resource usage of this process and of the platform's counters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlSample {
    at: Duration,
    cpu_s: f64,
    link_bytes: u64,
    platform: PlatformCounters,
}

impl ControlSample {
    /// Samples this process now.
    pub(crate) fn measure(at: Duration, platform: PlatformCounters) -> Self {
        Self {
            at,
            cpu_s: cpu_seconds(),
            link_bytes: lovagedock_daemon::Transport::bytes_transferred(),
            platform,
        }
    }

    /// Average overhead of each of `daemons` daemons between two samples.
    ///
    /// The stand-ins run in the same process, so CPU time and memory are upper bounds.
    pub(crate) fn overhead_until(&self, later: &Self, daemons: usize) -> ControlOverhead {
        let seconds = (later.at - self.at).as_secs_f64();
        let daemon_count = daemons.max(1) as f64;
        // Both ends of a connection are in this process, and each counts the bytes that it
        // transfers.
        let bytes = (later.link_bytes - self.link_bytes) as f64;
        ControlOverhead {
            cpu_pct: (later.cpu_s - self.cpu_s) / seconds * 100.0 / daemon_count,
            rss_mb: resident_mib() / daemon_count,
            bytes_per_s: bytes / seconds / daemon_count,
            store_reads_per_s: (reads(&later.platform) - reads(&self.platform)) as f64 / seconds
                + later.platform.waiting_watches as f64,
            store_writes_per_s: (later.platform.writes - self.platform.writes) as f64 / seconds,
        }
    }
}

fn reads(counters: &PlatformCounters) -> u64 {
    counters.reads + counters.lists + counters.watches + counters.host_reads
}

fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| -> f64 {
        let text = fields.get(field).copied().unwrap_or_default();
        text.parse().unwrap_or_default()
    };
    (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_SECOND
}

fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_PREFIX));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse::<f64>().ok())
        .unwrap_or_default()
        / KIB_PER_MIB
}
