//! Receives the frames of an answer.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use lovagedock::AnswerEnd;
use lovagedock_wire::{AnswerHead, AnswerReceiver};

use super::message::{AttemptEvent, AttemptSender};

/// Forwards the frames of one answer to its driver.
pub(super) struct AttemptReceiver {
    events: AttemptSender,
    /// Whether the end of the answer was received.
    pub(super) ended: Rc<Cell<bool>>,
}

impl AttemptReceiver {
    /// Creates a receiver for one attempt.
    pub(super) fn new(events: AttemptSender) -> Self {
        Self {
            events,
            ended: Rc::default(),
        }
    }
}

impl AnswerReceiver for AttemptReceiver {
    fn head(&self, head: AnswerHead) -> impl Future<Output = ()> + 'static {
        let events = self.events.clone();
        async move { events.send(AttemptEvent::Head(head)).await }
    }

    fn chunk(&self, offset: u64, bytes: Bytes) -> impl Future<Output = ()> + 'static {
        let events = self.events.clone();
        async move { events.send(AttemptEvent::Chunk { offset, bytes }).await }
    }

    fn done(&self, end: AnswerEnd) -> impl Future<Output = ()> + 'static {
        let events = self.events.clone();
        self.ended.set(true);
        async move { events.send(AttemptEvent::Done(end)).await }
    }
}
