//! Messages that a relay collects and forwards.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use lovagedock::prelude::*;

use super::peer_message::{GatewayTag, PeerBundle, PeerMessage, PresentGateways, gateway_tag};

/// Maximum size of the messages in a bundle, in bytes. With the rest, a datagram stays below the
/// usual packet size.
const MAX_BUNDLE_BYTES: usize = 1200;

/// Maximum number of messages of each kind that wait to be forwarded. Beyond that, the oldest are
/// dropped; loads are sent again within a second.
const MAX_WAITING: usize = 4096;

/// Time for which another domain's list of present gateways is passed on.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of times that a silent gateway is reported, since messages may be lost.
const SILENT_SENDS: u8 = 3;

/// What a gateway last told about itself, apart from versions, which relays tell themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ForwardedStatus {
    incarnation: Incarnation,
    store_reachable: bool,
    serving: bool,
    stopping: bool,
}

/// To whom a bundle goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BundleScope {
    /// To gateways of the relay's domain: everything.
    Members,
    /// To relays of other domains: only what comes from the relay's domain.
    ForeignRelays,
}

/// Messages that wait to be forwarded by a relay.
#[derive(Debug, Default)]
pub(super) struct RelayOutbox {
    from_members: Vec<Vec<u8>>,
    from_foreign: Vec<Vec<u8>>,
    statuses: HashMap<GatewayId, ForwardedStatus>,
    presence: BTreeMap<DomainId, (Timestamp, BTreeSet<GatewayTag>)>,
    silent: Vec<(GatewayId, u8)>,
}

impl RelayOutbox {
    /// Adds a message of a gateway of this domain, unless it tells nothing new.
    pub(super) fn push_member(&mut self, message: &PeerMessage, bytes: &[u8]) {
        let status = ForwardedStatus {
            incarnation: message.incarnation,
            store_reachable: message.store_reachable,
            serving: message.serving,
            stopping: message.stopping,
        };
        let known = self.statuses.insert(message.gateway.clone(), status);
        if message.has_news() || known != Some(status) {
            push_bounded(&mut self.from_members, bytes);
        }
    }

    /// Adds a message that a relay of another domain forwarded.
    pub(super) fn push_foreign(&mut self, bytes: &[u8]) {
        push_bounded(&mut self.from_foreign, bytes);
    }

    /// Records which gateways of another domain are there, by one of its relays.
    pub(super) fn record_presence(&mut self, now: Timestamp, present: &PresentGateways) {
        let known = self.presence.entry(present.domain.clone()).or_default();
        if now.saturating_sub(known.0) > PRESENCE_TIMEOUT {
            known.1.clear();
        }
        known.0 = now;
        known.1.extend(present.gateways.iter().copied());
    }

    /// Adds gateways of this domain that have become silent.
    pub(super) fn push_silent(&mut self, gateways: Vec<GatewayId>) {
        let silent = gateways.into_iter().map(|name| (name, SILENT_SENDS));
        self.silent.extend(silent);
    }

    /// Drops all messages; the gateway is not a relay.
    pub(super) fn clear(&mut self) {
        self.from_members.clear();
        self.from_foreign.clear();
    }

    /// Returns whether there is something to forward.
    pub(super) fn has_messages(&self) -> bool {
        !self.from_members.is_empty() || !self.from_foreign.is_empty()
    }

    /// Takes what waits. Presence is added only to every few of these.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        with_presence: bool,
        domain: &DomainId,
        members: &[GatewayId],
    ) -> OutboxBatch {
        let mut batch = OutboxBatch {
            from_members: std::mem::take(&mut self.from_members),
            from_foreign: std::mem::take(&mut self.from_foreign),
            ..OutboxBatch::default()
        };
        if !with_presence {
            return batch;
        }
        batch.silent = self.silent.iter().map(|(name, _)| name.clone()).collect();
        for (_, sends_left) in &mut self.silent {
            *sends_left -= 1;
        }
        self.silent.retain(|(_, sends_left)| *sends_left > 0);
        batch.own_present = vec![PresentGateways {
            domain: domain.clone(),
            gateways: members.iter().map(gateway_tag).collect(),
        }];
        let recent = self
            .presence
            .iter_mut()
            .filter(|(_, (at, _))| now.saturating_sub(*at) <= PRESENCE_TIMEOUT);
        let foreign = recent.map(|(domain, (_, gateways))| PresentGateways {
            domain: domain.clone(),
            gateways: std::mem::take(gateways).into_iter().collect(),
        });
        let foreign = foreign.filter(|present| !present.gateways.is_empty());
        batch.foreign_present = foreign.collect();
        batch
    }
}

/// What a relay sends at one moment.
#[derive(Debug, Default)]
pub(super) struct OutboxBatch {
    from_members: Vec<Vec<u8>>,
    from_foreign: Vec<Vec<u8>>,
    own_present: Vec<PresentGateways>,
    foreign_present: Vec<PresentGateways>,
    silent: Vec<GatewayId>,
}

impl OutboxBatch {
    /// Returns the bundles for receivers of a kind, with the relay's own messages first.
    pub(super) fn bundles<'a>(
        &'a self,
        relay: &GatewayId,
        own: &'a [Vec<u8>],
        scope: BundleScope,
    ) -> Vec<PeerBundle<'a>> {
        let empty = || PeerBundle {
            relay: relay.clone(),
            ..PeerBundle::default()
        };
        let is_member = scope == BundleScope::Members;
        let mut bundles = Vec::new();
        let mut bundle = empty();
        let mut size = 0;
        let mut next = |bundle: &mut PeerBundle<'a>, added: usize| {
            if size > 0 && size + added > MAX_BUNDLE_BYTES {
                bundles.push(std::mem::replace(bundle, empty()));
                size = 0;
            }
            size += added;
        };
        for bytes in own {
            next(&mut bundle, bytes.len());
            bundle.own.push(bytes);
        }
        let foreign = self.from_foreign.iter().filter(|_| is_member);
        for bytes in self.from_members.iter().chain(foreign) {
            next(&mut bundle, bytes.len());
            bundle.forwarded.push(bytes);
        }
        let foreign = self.foreign_present.iter().filter(|_| is_member);
        for present in self.own_present.iter().chain(foreign) {
            next(
                &mut bundle,
                present.gateways.len() * size_of::<GatewayTag>(),
            );
            bundle.present.push(present.clone());
        }
        for name in &self.silent {
            next(&mut bundle, name.len());
            bundle.silent.push(name.clone());
        }
        if bundle != empty() {
            bundles.push(bundle);
        }
        bundles
    }
}

fn push_bounded(messages: &mut Vec<Vec<u8>>, bytes: &[u8]) {
    if messages.len() == MAX_WAITING {
        messages.remove(0);
    }
    messages.push(bytes.to_vec());
}
