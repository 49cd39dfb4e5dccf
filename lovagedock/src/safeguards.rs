//! Switches that let a test show what each safeguard prevents.

/// DurableSafeguards of claims, leases and adoption; all are on by default.
///
/// Only tests switch one off, to show that the property it protects then fails. A daemon has no
/// setting for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurableSafeguards {
    /// Writes name the version that they replace. Off, the last writer wins: two gateways that
    /// claim one key at the same moment both believe that they hold it.
    pub conditional_writes: bool,
    /// A claim is granted only when its write is known to have taken effect. Off, it is granted
    /// when the write is sent: a conflict or an outage then lets the key run twice.
    pub confirmed_grants: bool,
    /// A claim whose owner ran out of its time is answered as lost. Off, the next caller takes it
    /// over: an owner that was only paused or cut off then runs beside it.
    pub retain_expired_claims: bool,
    /// An answer is replayed only when it has the length and digest that were recorded.
    pub verified_replays: bool,
    /// A holder counts its lease from before it asked. Off, it counts from the confirmation: the
    /// others, who count from the write, take over while it still believes in its lease.
    pub lease_from_request: bool,
    /// A successor waits for the whole duration, by its own clock, without a renewal. Off, it
    /// takes over as soon as it sees another holder.
    pub wait_for_lease_expiry: bool,
    /// A process adopts only higher generations. Off, a late or repeated message takes it back.
    pub monotonic_generations: bool,
    /// A received configuration must match its digest. Off, a damaged one comes into force.
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
