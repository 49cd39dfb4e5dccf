//! Switches with which tests show what each safeguard prevents.

/// Safeguards of claims, leases and the adoption of configurations; all are enabled by default.
///
/// Only tests disable a safeguard, to show that the property it protects then fails. Daemons have
/// no setting for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurableSafeguards {
    /// Writes are conditional on the version that they replace. If disabled, the last writer wins:
    /// two gateways that claim one key at the same moment both assume that they hold it.
    pub conditional_writes: bool,
    /// A claim is granted only when its write is known to have taken effect. If disabled, it is
    /// granted when the write is sent, and a conflict or an outage lets requests with the same key
    /// run twice.
    pub confirmed_grants: bool,
    /// An expired claim is kept and reported as lost. If disabled, the next caller takes it over,
    /// and an owner that was only paused or disconnected runs at the same time.
    pub retain_expired_claims: bool,
    /// An answer is replayed only if it has the recorded length and digest.
    pub verified_replays: bool,
    /// A holder measures its lease from before it sent the request. If disabled, it measures from
    /// the confirmation: other processes measure from the write and take over while the holder
    /// still considers its lease valid.
    pub lease_from_request: bool,
    /// A successor waits for the full lease duration without a renewal, by its own clock. If
    /// disabled, it takes over as soon as it sees another holder.
    pub wait_for_lease_expiry: bool,
    /// A process adopts only higher generations. If disabled, a late or repeated message makes it
    /// return to an older generation.
    pub monotonic_generations: bool,
    /// A received configuration must match its digest. If disabled, a damaged one is adopted.
    pub verified_digests: bool,
}

impl Default for DurableSafeguards {
    fn default() -> Self {
        Self {
            conditional_writes: true,
            confirmed_grants: true,
            retain_expired_claims: true,
            verified_replays: true,
            lease_from_request: true,
            wait_for_lease_expiry: true,
            monotonic_generations: true,
            verified_digests: true,
        }
    }
}
