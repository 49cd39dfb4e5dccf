//! Size and members of a simulation.

use bytes::Bytes;
use lovagedock::{
    AdoptionLimits, DurableSafeguards, Generation, RelayKind, RelayLimits, RelayMember,
};

/// Size and faults of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct RelaySetup {
    pub(crate) seed: u64,
    pub(crate) regions: usize,
    pub(crate) domains: usize,
    pub(crate) relays: usize,
    pub(crate) leaves: usize,
    pub(crate) chunks: usize,
    pub(crate) chunk_bytes: usize,
    /// Share of lost messages, in percent.
    pub(crate) loss: u32,
    /// Share of damaged bundles, in percent.
    pub(crate) damage: u32,
    pub(crate) relay: RelayLimits,
    pub(crate) limits: AdoptionLimits,
    pub(crate) safeguards: DurableSafeguards,
}

impl Default for RelaySetup {
    fn default() -> Self {
        Self {
            seed: 1,
            regions: 1,
            domains: 3,
            relays: 4,
            leaves: 24,
            chunks: 16,
            chunk_bytes: 256,
            loss: 0,
            damage: 0,
            relay: RelayLimits::default(),
            limits: AdoptionLimits::default(),
            safeguards: DurableSafeguards::default(),
        }
    }
}

pub(super) fn members(setup: &RelaySetup) -> Vec<RelayMember> {
    let member = |kind, name: String, index: usize| {
        let domain = index % setup.domains;
        RelayMember {
            host: format!("host-{name}").into(),
            process: name.into(),
            domain: format!("domain-{domain}").into(),
            region: (domain % setup.regions).to_string(),
            kind,
        }
    };
    let relays = (0..setup.relays).map(|i| member(RelayKind::Relay, format!("gateway-{i}"), i));
    let leaves = (0..setup.leaves).map(|i| member(RelayKind::Leaf, format!("sidecar-{i}"), i));
    relays.chain(leaves).collect()
}

pub(super) fn chunk_text(generation: Generation, chunk: usize, bytes: usize) -> Bytes {
    let mut text = format!("chunk {chunk} of generation {generation}\n").into_bytes();
    text.resize(bytes.max(text.len()), b'.');
    Bytes::from(text)
}

pub(super) fn damaged(chunk: &Bytes) -> Bytes {
    let mut bytes = chunk.to_vec();
    if let Some(first) = bytes.first_mut() {
        *first ^= 1;
    }
    Bytes::from(bytes)
}
