//! Deletes the parts of expired answers.

use std::time::Duration;

use super::{
    answer::part_name,
    clock::whole_ms,
    object::{PartitionObject, StrayParts},
    partition::ClaimPartition,
    types::ClaimAction,
};
use crate::{
    ids::{RequestId, Timestamp},
    store_call::{WriteNonce, WriteOutcome},
};

/// Time after which any gateway may delete parts that the gateway that found them has not deleted.
const STRAY_DELETE_DELAY: Duration = Duration::from_secs(120);

/// A deletion in progress, one part at a time.
#[derive(Debug)]
pub(super) struct StrayDeletion {
    request: RequestId,
    parts: u16,
    next: u16,
    in_flight: Option<WriteNonce>,
}

impl ClaimPartition {
    pub(super) fn drive_deletion(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        if self.deletion.is_none() {
            self.deletion = self.next_stray(now);
        }
        let Some(deletion) = &mut self.deletion else {
            return;
        };
        if deletion.in_flight.is_some() {
            return;
        }
        let nonce = self.nonces.next_nonce();
        deletion.in_flight = Some(nonce);
        actions.push(ClaimAction::Delete {
            object: part_name(deletion.request, deletion.next),
            nonce,
        });
    }

    fn next_stray(&self, now: Timestamp) -> Option<StrayDeletion> {
        let known = self.known.as_ref()?;
        let clock_ms = known.clock.read(now);
        let is_due = |stray: &&StrayParts| {
            let age_ms = clock_ms.saturating_sub(stray.found_ms);
            let own = self.own_strays.contains(&stray.request);
            let due = own || age_ms >= whole_ms(STRAY_DELETE_DELAY);
            due && !self.deleted.contains(&stray.request)
        };
        let stray = known.value.strays.iter().find(is_due)?;
        Some(StrayDeletion {
            request: stray.request,
            parts: stray.parts,
            next: 0,
            in_flight: None,
        })
    }

    /// Handles the result of a deletion. Returns `false` if the nonce does not belong to one.
    pub(super) fn on_deletion_ended(
        &mut self,
        now: Timestamp,
        nonce: WriteNonce,
        outcome: WriteOutcome,
    ) -> bool {
        let deletion = self.deletion.as_mut();
        let Some(deletion) = deletion.filter(|d| d.in_flight == Some(nonce)) else {
            return false;
        };
        deletion.in_flight = None;
        match outcome {
            WriteOutcome::Applied(_) | WriteOutcome::Conflict => deletion.next += 1,
            WriteOutcome::Unknown | WriteOutcome::Unavailable | WriteOutcome::RateLimited => {
                self.back_off(now);
                return true;
            }
        }
        if deletion.next >= deletion.parts {
            let request = deletion.request;
            self.deletion = None;
            self.own_strays.remove(&request);
            self.deleted.push(request);
        }
        true
    }

    /// Stores the requests whose entries this gateway's write removed as expired.
    pub(super) fn record_own_strays(&mut self, value: &PartitionObject) {
        let before = self.known.as_ref().map(|known| &known.value.strays);
        for stray in &value.strays {
            let is_new = before.is_none_or(|strays| !strays.contains(stray));
            if is_new {
                self.own_strays.insert(stray.request);
            }
        }
    }
}
