//! Memory kept free for the first request that waits for memory.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{RequestId, Timestamp, TokenCount};

/// Keeps memory free for one request that does not fit yet.
///
/// Without it a stream of short prompts would take every block that comes free and a long one
/// would starve. For a bounded time everything that fits may pass. After that, all that started
/// since the head began to wait may together hold no more than what the head leaves of the
/// memory, so the head fits as soon as the work from before it has ended.
#[derive(Debug, Default)]
pub(crate) struct HeadReservation {
    head: Option<WaitingHead>,
    passers: BTreeMap<RequestId, TokenCount>,
    passed: TokenCount,
}

#[derive(Debug)]
struct WaitingHead {
    request: RequestId,
    need: TokenCount,
    since: Timestamp,
}

impl HeadReservation {
    /// The request that memory is kept for.
    pub(crate) fn request(&self) -> Option<RequestId> {
        self.head.as_ref().map(|head| head.request)
    }

    /// Whether memory is kept for this request.
    pub(crate) fn is(&self, request: RequestId) -> bool {
        self.request() == Some(request)
    }

    /// Keeps memory for a request, unless it is kept for another already.
    pub(crate) fn set_if_none(&mut self, now: Timestamp, request: RequestId, need: TokenCount) {
        if self.head.is_some() {
            return;
        }
        self.head = Some(WaitingHead {
            request,
            need,
            since: now,
        });
    }

    /// The request does not wait any more.
    pub(crate) fn clear_if(&mut self, request: RequestId) {
        if self.is(request) {
            *self = Self::default();
        }
    }

    /// Whether a request that fits may start before the head.
    pub(crate) fn lets_pass(
        &self,
        now: Timestamp,
        need: TokenCount,
        memory: TokenCount,
        bypass: Duration,
    ) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        now < head.since + bypass || self.leaves_room(need, memory)
    }

    /// Whether the head still fits beside this and all that passed it.
    pub(crate) fn leaves_room(&self, need: TokenCount, memory: TokenCount) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        head.need + self.passed + need <= memory
    }

    /// A request started before the head.
    pub(crate) fn note_start(&mut self, request: RequestId, need: TokenCount) {
        if self.head.is_none() {
            return;
        }
        self.passers.insert(request, need);
        self.passed += need;
    }

    /// A started request has left the engine.
    pub(crate) fn note_end(&mut self, request: RequestId) {
        if let Some(need) = self.passers.remove(&request) {
            self.passed -= need;
        }
    }
}
