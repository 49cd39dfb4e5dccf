//! The size to design for, and today's.

/// Counts of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetScale {
    /// Gateways.
    pub(crate) gateways: f64,
    /// Endpoints, each with a sidecar.
    pub(crate) endpoints: f64,
    /// Organisations.
    pub(crate) organisations: f64,
    /// Pools; one for each model.
    pub(crate) pools: f64,
    /// Requests a second.
    pub(crate) requests: f64,
    /// Accepted configurations a second.
    pub(crate) changes: f64,
}

/// What the letter asks to design for.
pub(crate) const DESIGN_SCALE: FleetScale = FleetScale {
    gateways: 1_600.0,
    endpoints: 10_000.0,
    organisations: 25_000.0,
    pools: 9.0,
    requests: 43_000.0,
    changes: 19_000.0 / 86_400.0,
};

/// Share of a core that control may take in a daemon.
pub(crate) const CPU_SHARE_BUDGET: f64 = 0.014;
/// Memory that control may take in a daemon, in bytes.
pub(crate) const MEMORY_BUDGET: f64 = 32e6;
/// Bytes a second that control may take in a daemon.
pub(crate) const TRAFFIC_BUDGET: f64 = 6e3;
/// Writes a second that the platform's store takes.
pub(crate) const STORE_WRITES: f64 = 300.0;
/// Reads a second that the platform's store takes, waiting watches counted.
pub(crate) const STORE_READS: f64 = 2_000.0;
