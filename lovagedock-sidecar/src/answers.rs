//! Requests that a sidecar holds: what the caller sent and what the engine has answered so far.
//!
//! Answers are stored, not only forwarded, so that a gateway can resume an answer from an offset on
//! another connection, and so that a slow caller does not occupy an engine. A sink sends one answer
//! over the connection of one gateway.

use std::{collections::HashMap, sync::Arc};

use bytes::{Bytes, BytesMut};
use lovagedock::{AnswerEnd, AttemptKey, prelude::*};
use lovagedock_wire::{AnswerHead, WorkMessage};
use tokio::{sync::watch, task::AbortHandle};

/// Maximum number of bytes of an answer in one message.
const CHUNK_BYTES: usize = 64 * 1024;

/// One request and its answer.
pub(crate) struct AnswerRecord {
    /// What the gateway sent.
    pub(crate) work: Arc<WorkMessage>,
    /// Status and headers from the engine.
    pub(crate) head: Option<AnswerHead>,
    bytes: BytesMut,
    hasher: blake3::Hasher,
    visible_end: u64,
    end: Option<AnswerEnd>,
    /// Number of the sink that sends the answer. It increases with each new sink; sinks with an
    /// older number stop.
    sink_id: u64,
    delivered: bool,
    /// Whether a sink sends the answer, or is about to.
    has_sink: bool,
    /// Whether the record is kept only because its end has not been sent yet.
    forgotten: bool,
    changed: watch::Sender<()>,
    /// The task that reads the engine's stream.
    pub(crate) engine_task: Option<AbortHandle>,
}

/// Next message of a sink.
pub(crate) enum SinkStep {
    /// Status and headers.
    Head(AnswerHead),
    /// Bytes at the sink's offset.
    Bytes(Bytes),
    /// The end of the answer; nothing follows.
    End(AnswerEnd),
    /// Nothing to send yet.
    Wait,
    /// Another sink sends the answer now, or the request was removed.
    Stop,
}

/// What a sink has sent so far.
#[derive(Clone, Debug)]
pub(crate) struct SinkPosition {
    pub(crate) request: RequestId,
    /// Number of the sink among the sinks of the request.
    pub(crate) sink_id: u64,
    /// Whether the head was sent.
    pub(crate) head_sent: bool,
    /// Number of bytes sent.
    pub(crate) offset: u64,
}

/// All requests of a sidecar, by request.
#[derive(Default)]
pub(crate) struct AnswerTable {
    records: HashMap<RequestId, AnswerRecord>,
}

impl AnswerTable {
    /// Adds a request unless it is present: a newer attempt continues what an older attempt began.
    pub(crate) fn insert(&mut self, work: WorkMessage) {
        let request = work.key.request;
        let previous = self.records.get(&request);
        if previous.is_some_and(|record| !record.forgotten) {
            return;
        }
        // The end of a forgotten attempt does not belong to this attempt. The new number stops the
        // sink of the forgotten one.
        let sink_id = previous.map_or(0, |record| record.sink_id + 1);
        self.records
            .insert(request, AnswerRecord::new(work, sink_id));
    }

    /// Whether a request is present and not kept only to send its end.
    pub(crate) fn contains(&self, request: RequestId) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| !record.forgotten)
    }

    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut AnswerRecord> {
        self.records.get_mut(&request)
    }

    /// Removes a request; its sinks stop.
    pub(crate) fn remove(&mut self, request: RequestId) {
        self.records.remove(&request);
    }

    /// Removes a request, unless its end is still to be sent; then it is marked as forgotten.
    ///
    /// A request that was accepted and did not run is forgotten at the moment of its end. If it
    /// were removed immediately, its end would not be sent. The gateway would wait until the
    /// deadline and then report to its caller that the request may have run, instead of sending it
    /// to another endpoint.
    pub(crate) fn forget(&mut self, request: RequestId) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        if record.has_sink && !record.delivered && record.end.is_some() {
            record.forgotten = true;
            return;
        }
        self.records.remove(&request);
    }

    /// Records that a sink has stopped, regardless of what it has sent.
    pub(crate) fn detach(&mut self, position: &SinkPosition) {
        if !self.is_current(position) {
            return;
        }
        let Some(record) = self.records.get_mut(&position.request) else {
            return;
        };
        record.has_sink = false;
        if record.forgotten {
            self.records.remove(&position.request);
        }
    }

    /// Creates a new sink and makes it the current one of the answer. The returned receiver signals
    /// changes of the answer.
    pub(crate) fn attach(
        &mut self,
        key: AttemptKey,
        offset: u64,
    ) -> Option<(SinkPosition, watch::Receiver<()>)> {
        let record = self.records.get_mut(&key.request)?;
        record.sink_id += 1;
        record.has_sink = true;
        record.changed.send_replace(());
        let position = SinkPosition {
            request: key.request,
            sink_id: record.sink_id,
            head_sent: offset > 0,
            offset,
        };
        Some((position, record.changed.subscribe()))
    }

    /// Whether a sink is still the current one of its request.
    pub(crate) fn is_current(&self, position: &SinkPosition) -> bool {
        let record = self.records.get(&position.request);
        record.is_some_and(|record| record.sink_id == position.sink_id)
    }

    /// Whether there is an ended answer that no sink has sent completely.
    pub(crate) fn has_unsent(&self) -> bool {
        self.unsent().next().is_some()
    }

    /// Requests whose answer has ended and that no sink has sent completely.
    pub(crate) fn unsent(&self) -> impl Iterator<Item = RequestId> {
        let records = self.records.iter();
        let unsent = records.filter(|(_, record)| record.end.is_some() && !record.delivered);
        unsent.map(|(request, _)| *request)
    }

    /// Records that the whole answer was sent to a gateway.
    pub(crate) fn set_delivered(&mut self, position: &SinkPosition) {
        if let Some(record) = self.records.get_mut(&position.request) {
            record.delivered = true;
        }
    }

    /// What a sink sends next.
    pub(crate) fn next_step(&self, position: &SinkPosition) -> SinkStep {
        let Some(record) = self.records.get(&position.request) else {
            return SinkStep::Stop;
        };
        if record.sink_id != position.sink_id {
            return SinkStep::Stop;
        }
        if let Some(head) = record.head.as_ref().filter(|_| !position.head_sent) {
            return SinkStep::Head(head.clone());
        }
        if position.offset < record.visible_end {
            return SinkStep::Bytes(record.chunk_at(position.offset));
        }
        match &record.end {
            Some(end) => SinkStep::End(end.clone()),
            None => SinkStep::Wait,
        }
    }
}

impl AnswerRecord {
    fn new(work: WorkMessage, sink_id: u64) -> Self {
        Self {
            work: Arc::new(work),
            head: None,
            bytes: BytesMut::new(),
            hasher: blake3::Hasher::new(),
            visible_end: 0,
            end: None,
            sink_id,
            delivered: false,
            has_sink: true,
            forgotten: false,
            changed: watch::Sender::new(()),
            engine_task: None,
        }
    }

    /// Appends bytes from the engine. Sinks send them only after [`AnswerRecord::make_visible`].
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.hasher.update(bytes);
        self.bytes.extend_from_slice(bytes);
    }

    /// Allows sinks to send up to an offset.
    pub(crate) fn make_visible(&mut self, end_offset: u64) {
        self.visible_end = end_offset.min(self.bytes.len() as u64);
        self.changed.send_replace(());
    }

    /// Wakes the sinks after a head was set.
    pub(crate) fn notify_sinks(&self) {
        self.changed.send_replace(());
    }

    /// Sets the end of the answer and wakes the sinks.
    pub(crate) fn finish(&mut self, end: AnswerEnd) {
        self.end = Some(end);
        self.changed.send_replace(());
    }

    /// Length and digest of what the engine sent.
    pub(crate) fn length_and_digest(&self) -> (u64, [u8; 32]) {
        (self.bytes.len() as u64, *self.hasher.finalize().as_bytes())
    }

    fn chunk_at(&self, offset: u64) -> Bytes {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let end_offset = (self.visible_end as usize).min(start.saturating_add(CHUNK_BYTES));
        Bytes::copy_from_slice(&self.bytes[start.min(end_offset)..end_offset])
    }
}
