//! Start-time fair queueing over organisations.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::OrganisationId;

/// Cost of work divided by weight, in nanoseconds.
pub(crate) type VirtualTime = u128;

/// Cost that work has at least, so that order counts before any speed is known.
const MIN_COST: Duration = Duration::from_millis(1);

/// Start tags of one tier.
///
/// The start tag of a request is the later of the tier's virtual time and the finish tag of its
/// organisation's previous request; the smallest start tag goes first. An organisation that
/// sends ten times as much waits behind its own requests, not the others behind it.
#[derive(Debug, Default)]
pub(crate) struct FairTags {
    now: VirtualTime,
    finish: BTreeMap<OrganisationId, VirtualTime>,
}

impl FairTags {
    /// The start tag that a new request of the organisation would get.
    pub(crate) fn next(&self, organisation: &str) -> VirtualTime {
        let finish = self.finish.get(organisation).copied().unwrap_or(0);
        finish.max(self.now)
    }

    /// Gives a start tag to a new request.
    pub(crate) fn push(
        &mut self,
        organisation: &OrganisationId,
        cost: Duration,
        weight: u32,
    ) -> VirtualTime {
        let tag = self.next(organisation);
        let cost = cost.max(MIN_COST).as_nanos() / u128::from(weight.max(1));
        self.finish.insert(organisation.clone(), tag + cost);
        tag
    }

    /// A request with this start tag has started.
    pub(crate) fn start(&mut self, tag: VirtualTime) {
        self.now = self.now.max(tag);
    }

    /// Neither waits nor runs anything: nobody owes anybody.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Nothing waits any more; forgets organisations whose finish tag has passed.
    pub(crate) fn clear(&mut self) {
        let now = self.now;
        self.finish.retain(|_, finish| *finish > now);
    }
}
