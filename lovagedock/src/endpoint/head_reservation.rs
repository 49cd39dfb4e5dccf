//! Memory kept free for the first request that waits for memory.

use std::collections::BTreeMap;

use crate::ids::{RequestId, Timestamp, TokenCount};

/// Keeps memory free for one request that does not fit yet.
///
/// Without it a stream of short prompts would take every block that comes free and a long one
/// would starve. Three kinds of requests may pass: for a bounded time everything that fits; until
/// the head is predicted to fit, what is predicted to end before; and at any time what fits
/// beside it, counting all that passed. The prediction is made once, when the head begins to
/// wait, so the head starts at the latest when the work from before it and the last passer end.
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
    /// The request that memory is kept for.
    pub(crate) fn request(&self) -> Option<RequestId> {
        self.head.as_ref().map(|head| head.request)
    }

    /// Whether memory is kept for this request.
    pub(crate) fn is_head(&self, request: RequestId) -> bool {
        self.request() == Some(request)
    }

    /// Keeps memory for a request that is predicted to fit at some time.
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

    /// The request does not wait any more.
    pub(crate) fn clear_if(&mut self, request: RequestId) {
        if self.is_head(request) {
            *self = Self::default();
        }
    }

    /// Whether a request that fits, and is predicted to end at some time, may start before the
    /// head.
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

    /// Whether the head still fits beside this and all that passed it.
    pub(crate) fn leaves_memory_for_head(&self, need: TokenCount, memory: TokenCount) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        head.need + self.bypassing_tokens + need <= memory
    }

    /// Memory that is left beside the head and all that passed it.
    pub(crate) fn available_beside_head(&self, memory: TokenCount) -> TokenCount {
        match &self.head {
            Some(head) => memory.saturating_sub(head.need + self.bypassing_tokens),
            None => memory,
        }
    }

    /// A request started before the head.
    pub(crate) fn record_bypass(&mut self, request: RequestId, need: TokenCount) {
        if self.head.is_none() {
            return;
        }
        self.bypassing.insert(request, need);
        self.bypassing_tokens += need;
    }

    /// A started request has left the engine.
    pub(crate) fn record_end(&mut self, request: RequestId) {
        if let Some(need) = self.bypassing.remove(&request) {
            self.bypassing_tokens -= need;
        }
    }
}
