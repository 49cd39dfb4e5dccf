//! Switches that let tests show that each safeguard is needed.

/// The enabled safeguards of a request. All of them are on, except in tests that turn one off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSafeguards {
    /// A non-idempotent attempt whose connection went silent is revoked before a retry.
    pub revoke_before_retry: bool,
    /// A revoke verdict from another incarnation of the sidecar is not trusted.
    pub check_verdict_incarnation: bool,
    /// Frames of an older attempt are dropped.
    pub drop_old_attempts: bool,
    /// Each byte is delivered once and in order.
    pub check_offsets: bool,
    /// A clean end requires that length and digest in the end frame match the delivered bytes.
    pub check_end: bool,
    /// Earlier attempts count when the gateway reports whether the request ran.
    pub remember_ran: bool,
}

impl RequestSafeguards {
    /// All safeguards enabled.
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
