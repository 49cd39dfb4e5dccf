//! Journal of what happened to each request at a stand-in, used to count violations.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use lovagedock::prelude::Epoch;

/// Event in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JournalEvent {
    /// The request entered the batch.
    Started,
    /// The request entered the batch to continue an answer that was started before.
    Resumed,
    /// A segment of the prompt entered the batch; a segment produces no answer.
    Prefilled,
    /// The complete answer was generated.
    Ended,
    /// The request was cancelled, or the engine ended it with an error.
    Cancelled,
    /// The request was lost because the engine crashed.
    Lost,
}

/// One entry of an engine's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Id of the request, chosen by the caller.
    pub request_id: String,
    /// Kind of the event.
    pub event: JournalEvent,
    /// Model time since the engine's start.
    pub model_time: Duration,
    /// Bytes of answer text generated so far.
    pub bytes: u64,
}

/// One order that an engine executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// Fencing number of the order.
    pub fence: Epoch,
    /// Description of the order, such as `set_role prefill`.
    pub kind: String,
    /// Model time at which the order took effect.
    pub model_time: Duration,
}

/// Journal of one engine. It is kept when the engine crashes.
#[derive(Clone, Debug, Default)]
pub struct EngineJournal {
    entries: Arc<Mutex<Vec<JournalEntry>>>,
    orders: Arc<Mutex<Vec<OrderEntry>>>,
}

impl EngineJournal {
    /// All entries, oldest first.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.entries.lock().clone()
    }

    /// Number of times that `event` was recorded for a request.
    pub fn count(&self, request_id: &str, event: JournalEvent) -> usize {
        self.entries
            .lock()
            .iter()
            .filter(|entry| entry.request_id == request_id && entry.event == event)
            .count()
    }

    /// All executed orders, oldest first.
    pub fn orders(&self) -> Vec<OrderEntry> {
        self.orders.lock().clone()
    }

    pub(crate) fn record_order(&self, order: OrderEntry) {
        self.orders.lock().push(order);
    }

    pub(crate) fn record(&self, entry: JournalEntry) {
        self.entries.lock().push(entry);
    }
}
