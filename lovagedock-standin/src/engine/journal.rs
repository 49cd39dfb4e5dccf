//! What a stand-in saw of each request, to count violations from.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What happened to a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JournalEvent {
    /// It entered the batch.
    Started,
    /// It entered the batch to go on with an answer that was begun before.
    Resumed,
    /// The whole answer was generated.
    Ended,
    /// It was cancelled, or failed by the engine.
    Cancelled,
    /// It was in the memory of an engine that died.
    Lost,
}

/// One line of an engine's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Id that the request came with.
    pub request_id: String,
    /// What happened.
    pub event: JournalEvent,
    /// Model time since the engine's start.
    pub model_time: Duration,
    /// Bytes of answer text generated so far.
    pub bytes: u64,
}

/// The journal of one engine; it outlives the engine's deaths.
#[derive(Clone, Debug, Default)]
pub struct EngineJournal {
    entries: Arc<Mutex<Vec<JournalEntry>>>,
}

impl EngineJournal {
    /// All entries so far, oldest first.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.entries.lock().clone()
    }

    /// How often `event` happened to a request.
    pub fn count(&self, request_id: &str, event: JournalEvent) -> usize {
        self.entries
            .lock()
            .iter()
            .filter(|entry| entry.request_id == request_id && entry.event == event)
            .count()
    }

    pub(crate) fn record(&self, entry: JournalEntry) {
        self.entries.lock().push(entry);
    }
}
