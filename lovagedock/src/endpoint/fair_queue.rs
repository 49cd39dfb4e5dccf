//! Start-time fair queueing between organisations.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::OrganisationId;

/// Cost of work divided by weight, in nanoseconds.
pub(crate) type VirtualTime = u128;

/// Minimum cost of a request, so that requests are ordered fairly before any speed is known.
const MIN_COST: Duration = Duration::from_millis(1);

/// Start tags of one tier.
///
/// The start tag of a request is the later of the tier's virtual time and the finish tag of the
/// previous request of its organisation. The request with the smallest start tag goes first. An
/// organisation that sends ten times as much waits behind its own requests and does not delay the
/// others.
#[derive(Debug, Default)]
pub(crate) struct FairTags {
    now: VirtualTime,
    finish: BTreeMap<OrganisationId, VirtualTime>,
}

impl FairTags {
    /// Returns the start tag that a new request of the organisation would get.
    pub(crate) fn next_tag(&self, organisation: &str) -> VirtualTime {
        let finish = self.finish.get(organisation).copied().unwrap_or(0);
        finish.max(self.now)
    }

    /// Assigns a start tag to a new request.
    pub(crate) fn assign_tag(
        &mut self,
        organisation: &OrganisationId,
        cost: Duration,
        weight: u32,
    ) -> VirtualTime {
        let tag = self.next_tag(organisation);
        let cost = cost.max(MIN_COST).as_nanos() / u128::from(weight.max(1));
        self.finish.insert(organisation.clone(), tag + cost);
        tag
    }

    /// Advances the virtual time when a request with this start tag starts.
    pub(crate) fn record_start(&mut self, tag: VirtualTime) {
        self.now = self.now.max(tag);
    }

    /// Clears all tags when no request is queued or running.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Removes organisations whose finish tag has passed when the tier's queue is empty.
    pub(crate) fn prune(&mut self) {
        let now = self.now;
        self.finish.retain(|_, finish| *finish > now);
    }
}
