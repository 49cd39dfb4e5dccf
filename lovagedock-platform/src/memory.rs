//! An in-memory store for tests, with faults that a test scripts call by call.

use std::{collections::VecDeque, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    store::{
        CallPurpose, ChangeBatch, ObjectEntry, ObjectStore, ObjectVersion, PutCondition, Revision,
        StoreError, StoredObject, is_valid_key, is_valid_prefix,
    },
    table::ObjectTable,
};

/// An in-memory object store.
pub struct MemoryStore {
    shared: Mutex<MemoryState>,
    changed: watch::Sender<Revision>,
}

/// A fault that affects calls of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryFault {
    /// The call does not reach the store.
    Down,
    /// The call takes effect and its response is lost.
    LoseResponse,
    /// The call is lost in transit; for the caller its outcome is unknown.
    LoseRequest,
    /// The response is lost, and the call takes effect when [`MemoryStore::apply_delayed`] is
    /// called.
    DelayWrite,
    /// The call is rejected because of a rate limit.
    RateLimited,
}

/// Kinds of calls that a fault can be scripted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Get, list and watch.
    Read,
    /// Put and delete.
    Write,
}

/// Number of calls that reached a [`MemoryStore`], including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Gets, lists and watches.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Bytes of the values put.
    pub bytes_written: u64,
}

#[derive(Default)]
struct MemoryState {
    table: ObjectTable,
    script: VecDeque<ScriptedFault>,
    delayed: Vec<WriteCall>,
    counts: CallCounts,
}

struct ScriptedFault {
    kind: CallKind,
    key_prefix: String,
    skip: u32,
    times: u32,
    fault: MemoryFault,
}

struct WriteCall {
    key: String,
    value: Option<Bytes>,
    condition: PutCondition,
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self {
            shared: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Applies `fault` to the next `times` calls of `kind` whose key or prefix begins with
    /// `key_prefix`, after `skip` such calls have succeeded.
    pub fn script_fault(
        &self,
        kind: CallKind,
        key_prefix: &str,
        skip: u32,
        times: u32,
        fault: MemoryFault,
    ) {
        self.shared.lock().script.push_back(ScriptedFault {
            kind,
            key_prefix: key_prefix.to_owned(),
            skip,
            times,
            fault,
        });
    }

    /// Removes all scripted faults.
    pub fn clear_faults(&self) {
        self.shared.lock().script.clear();
    }

    /// Executes the writes delayed by [`MemoryFault::DelayWrite`] whose conditions still hold;
    /// returns how many took effect.
    pub fn apply_delayed(&self) -> usize {
        let mut state = self.shared.lock();
        let calls = std::mem::take(&mut state.delayed);
        let applied = calls
            .into_iter()
            .filter(|call| state.table.apply(call).is_ok())
            .count();
        self.changed.send_replace(state.table.revision());
        applied
    }

    /// Returns a copy of the current contents.
    pub fn copy(&self) -> ObjectTable {
        self.shared.lock().table.clone()
    }

    /// Restores the store from a copy: later writes are lost and their revisions are assigned
    /// again.
    pub fn restore(&self, copy: ObjectTable) {
        let mut state = self.shared.lock();
        state.table = copy;
        self.changed.send_replace(state.table.revision());
    }

    /// Returns the call counts so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }

    fn write(&self, call: WriteCall) -> Result<ObjectVersion, StoreError> {
        let mut state = self.shared.lock();
        state.counts.writes += 1;
        state.counts.bytes_written += call.value.as_ref().map_or(0, Bytes::len) as u64;
        let fault = state.next_fault(CallKind::Write, &call.key);
        let result = match fault {
            None => state.table.apply(&call),
            Some(MemoryFault::Down) => Err(StoreError::Unavailable),
            Some(MemoryFault::RateLimited) => Err(StoreError::RateLimited),
            Some(MemoryFault::LoseRequest) => Err(StoreError::OutcomeUnknown),
            Some(MemoryFault::LoseResponse) => {
                let _response = state.table.apply(&call);
                Err(StoreError::OutcomeUnknown)
            }
            Some(MemoryFault::DelayWrite) => {
                state.delayed.push(call);
                Err(StoreError::OutcomeUnknown)
            }
        };
        self.changed.send_replace(state.table.revision());
        result
    }

    fn read<T>(&self, key: &str, read: impl FnOnce(&ObjectTable) -> T) -> Result<T, StoreError> {
        let mut state = self.shared.lock();
        state.counts.reads += 1;
        match state.next_fault(CallKind::Read, key) {
            None => Ok(read(&state.table)),
            Some(MemoryFault::RateLimited) => Err(StoreError::RateLimited),
            Some(_) => Err(StoreError::Unavailable),
        }
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn get(
        &self,
        key: &str,
        _purpose: CallPurpose,
    ) -> Result<Option<StoredObject>, StoreError> {
        if !is_valid_key(key) {
            return Err(StoreError::Malformed);
        }
        self.read(key, |table| table.get(key))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
        _purpose: CallPurpose,
    ) -> Result<ObjectVersion, StoreError> {
        self.write(WriteCall {
            key: key.to_owned(),
            value: Some(value),
            condition,
        })
    }

    async fn delete(
        &self,
        key: &str,
        condition: PutCondition,
        _purpose: CallPurpose,
    ) -> Result<(), StoreError> {
        self.write(WriteCall {
            key: key.to_owned(),
            value: None,
            condition,
        })
        .map(|_| ())
    }

    async fn list(
        &self,
        prefix: &str,
        _purpose: CallPurpose,
    ) -> Result<Vec<ObjectEntry>, StoreError> {
        if !is_valid_prefix(prefix) {
            return Err(StoreError::Malformed);
        }
        self.read(prefix, |table| table.list(prefix))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        _purpose: CallPurpose,
    ) -> Result<ChangeBatch, StoreError> {
        if !is_valid_prefix(prefix) {
            return Err(StoreError::Malformed);
        }
        let mut changed = self.changed.subscribe();
        let mut batch = self.read(prefix, |table| table.changes(prefix, after))?;
        let deadline = tokio::time::Instant::now() + wait;
        while batch.keys.is_empty() && batch.revision >= after {
            let Ok(Ok(())) = tokio::time::timeout_at(deadline, changed.changed()).await else {
                break;
            };
            batch = self.shared.lock().table.changes(prefix, after);
        }
        Ok(batch)
    }
}

impl MemoryState {
    fn next_fault(&mut self, kind: CallKind, key: &str) -> Option<MemoryFault> {
        let at = self
            .script
            .iter()
            .position(|fault| fault.kind == kind && key.starts_with(&fault.key_prefix))?;
        let scripted = &mut self.script[at];
        if scripted.skip > 0 {
            scripted.skip -= 1;
            return None;
        }
        let fault = scripted.fault;
        scripted.times = scripted.times.saturating_sub(1);
        if scripted.times == 0 {
            self.script.remove(at);
        }
        Some(fault)
    }
}

impl ObjectTable {
    fn apply(&mut self, call: &WriteCall) -> Result<ObjectVersion, StoreError> {
        match &call.value {
            Some(value) => self.put(&call.key, value.clone(), call.condition),
            None => self
                .delete(&call.key, call.condition)
                .map(|()| self.revision()),
        }
    }
}
