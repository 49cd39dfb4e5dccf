//! Switches that tests use to show that each safeguard is needed.

/// Which safeguards of a request are on; all of them, unless a test turns one off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSafeguards {
    /// A non-idempotent attempt that went silent is revoked before another is made.
    pub revoke_before_retry: bool,
    /// A verdict of another life of the sidecar is not believed.
    pub check_verdict_incarnation: bool,
    /// Frames of an older attempt are dropped.
    pub drop_old_attempts: bool,
    /// Bytes are delivered once each and in order.
    pub check_offsets: bool,
    /// A clean end needs the end frame's length and digest to match what was delivered.
    pub check_end: bool,
    /// What earlier attempts did counts when the caller is told whether the request ran.
    pub remember_ran: bool,
}

impl RequestSafeguards {
    /// All safeguards on.
    pub const ALL: Self = Self {
        revoke_before_retry: true,
        check_verdict_incarnation: true,
        drop_old_attempts: true,
        check_offsets: true,
        check_end: true,
        remember_ran: true,
    };
}

impl Default for RequestSafeguards {
    fn default() -> Self {
        Self::ALL
    }
}
