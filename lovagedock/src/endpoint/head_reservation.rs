//! Reservation of memory for the first queued request that does not fit.

use std::collections::BTreeMap;

use crate::ids::{RequestId, Timestamp, TokenCount};

/// Keeps memory free for one request that does not fit yet, the head.
///
/// Without this reservation, a stream of short prompts would use all memory that becomes free, and
/// a long prompt would starve. Three kinds of requests may start before the head:
///
/// - for a bounded time, every request that fits;
/// - until the head is predicted to fit, requests that are predicted to end before that;
/// - at any time, requests that fit in addition to the head and to all requests that bypassed it.
///
/// The prediction is made once, when the head starts to wait. The head therefore starts at the
/// latest when the earlier work and the last bypassing request have ended.
#[derive(Debug, Default)]
pub(crate) struct HeadReservation {
    head: Option<WaitingHead>,
    bypassing: BTreeMap<RequestId, TokenCount>,
    bypassing_tokens: TokenCount,
}

#[derive(Debug)]
struct WaitingHead {
    request: RequestId,
    need: TokenCount,
    bypass_until: Timestamp,
    fits_at: Timestamp,
}

impl HeadReservation {
    /// Returns the request that memory is kept for.
    pub(crate) fn request(&self) -> Option<RequestId> {
        self.head.as_ref().map(|head| head.request)
    }

    /// Whether memory is kept for this request.
    pub(crate) fn is_head(&self, request: RequestId) -> bool {
        self.request() == Some(request)
    }

    /// Starts to keep memory for a request that is predicted to fit at `fits_at`.
    pub(crate) fn set(
        &mut self,
        request: RequestId,
        need: TokenCount,
        bypass_until: Timestamp,
        fits_at: Timestamp,
    ) {
        self.head = Some(WaitingHead {
            request,
            need,
            bypass_until,
            fits_at,
        });
    }

    /// Ends the reservation if the request is the head.
    pub(crate) fn clear_if_head(&mut self, request: RequestId) {
        if self.is_head(request) {
            *self = Self::default();
        }
    }

    /// Whether a request that fits and is predicted to end at `ends_at` may start before the head.
    pub(crate) fn allows_bypass(
        &self,
        now: Timestamp,
        need: TokenCount,
        ends_at: Timestamp,
        memory: TokenCount,
    ) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        let early = now < head.bypass_until;
        let ends_before = ends_at > now && ends_at <= head.fits_at;
        early || ends_before || self.leaves_memory_for_head(need, memory)
    }

    /// Whether the head fits in addition to this request and all requests that bypassed it.
    pub(crate) fn leaves_memory_for_head(&self, need: TokenCount, memory: TokenCount) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        head.need + self.bypassing_tokens + need <= memory
    }

    /// Returns the memory left in addition to the head and all requests that bypassed it.
    pub(crate) fn available_beside_head(&self, memory: TokenCount) -> TokenCount {
        match &self.head {
            Some(head) => memory.saturating_sub(head.need + self.bypassing_tokens),
            None => memory,
        }
    }

    /// Records that a request started before the head.
    pub(crate) fn record_bypass(&mut self, request: RequestId, need: TokenCount) {
        if self.head.is_none() {
            return;
        }
        self.bypassing.insert(request, need);
        self.bypassing_tokens += need;
    }

    /// Records that a started request has left the engine.
    pub(crate) fn record_end(&mut self, request: RequestId) {
        if let Some(need) = self.bypassing.remove(&request) {
            self.bypassing_tokens -= need;
        }
    }
}
