//! State of the stand-in platform, protected by one lock.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::Timestamp;
use lovagedock_platform::{
    ChangeBatch, HostList, HostState, ObjectEntry, ObjectTable, ObjectVersion, PutCondition,
    Revision, StoreError, StoredObject, TokenBucket,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, timeout, timeout_at},
};

use super::{
    PlatformOptions,
    faults::{FaultCommand, FaultEffect, FaultState},
    hosts::HostHistory,
};

/// Interval at which a waiting watch is charged one read of the rate limit, after the read for its
/// start.
const WATCH_CHARGE_INTERVAL: Duration = Duration::from_secs(1);

/// Counters of the calls to the stand-in; the response of `GET /v1/counters`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads of one object.
    pub reads: u64,
    /// Lists of keys.
    pub lists: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Started watches.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Loads from the weight store.
    pub weight_loads: u64,
    /// Calls rejected by a rate limit.
    pub rate_limited: u64,
    /// Calls affected by a fault.
    pub faulted: u64,
    /// Calls that are delayed by a fault now.
    pub delayed_calls: u64,
    /// Total size of the written values in bytes.
    pub bytes_written: u64,
    /// Total size of the read values in bytes.
    pub bytes_read: u64,
}

/// Class of a call, which determines its counter and its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallClass {
    Read,
    List,
    Write,
    Watch,
    Hosts,
    Weights,
}

/// State of the stand-in, shared by its connections.
pub(crate) struct SharedPlatform {
    started: Instant,
    inner: Mutex<PlatformState>,
    changed: watch::Sender<Revision>,
    release_signal: Notify,
    weight_bytes: usize,
}

struct PlatformState {
    table: ObjectTable,
    reads: TokenBucket,
    writes: TokenBucket,
    loads: TokenBucket,
    faults: FaultState,
    hosts: HostHistory,
    counters: PlatformCounters,
}

impl SharedPlatform {
    pub(crate) fn new(options: PlatformOptions) -> Self {
        let bucket = |rate: f64| TokenBucket::new(rate, rate.max(1.0), Timestamp::ZERO);
        let state = PlatformState {
            table: ObjectTable::new(),
            reads: bucket(options.reads_per_second),
            writes: bucket(options.writes_per_second),
            loads: bucket(options.weight_loads_per_second),
            faults: FaultState::new(),
            hosts: HostHistory::new(options.hosts, options.host_lag),
            counters: PlatformCounters::default(),
        };
        Self {
            started: Instant::now(),
            inner: Mutex::new(state),
            changed: watch::Sender::new(0),
            release_signal: Notify::new(),
            weight_bytes: options.weight_bytes,
        }
    }

    /// Counts a call, decides the effect of the active fault and applies the rate limit.
    pub(crate) fn admit(&self, class: CallClass) -> Result<FaultEffect, StoreError> {
        let now = self.now();
        let mut state = self.inner.lock();
        state.count(class);
        let effect = state.faults.effect(class == CallClass::Write, now);
        if effect != FaultEffect::NoFault {
            state.counters.faulted += 1;
        }
        if effect == FaultEffect::Disconnect {
            return Ok(effect);
        }
        if !state.bucket(class).try_consume(now) {
            state.counters.rate_limited += 1;
            return Err(StoreError::RateLimited);
        }
        Ok(effect)
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoredObject> {
        let mut state = self.inner.lock();
        let object = state.table.get(key)?;
        state.counters.bytes_read += object.value.len() as u64;
        Some(object)
    }

    pub(crate) fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
    ) -> Result<ObjectVersion, StoreError> {
        let mut state = self.inner.lock();
        state.counters.bytes_written += value.len() as u64;
        let version = state.table.put(key, value, condition)?;
        self.changed.send_replace(version);
        Ok(version)
    }

    pub(crate) fn delete(&self, key: &str, condition: PutCondition) -> Result<(), StoreError> {
        let mut state = self.inner.lock();
        state.table.delete(key, condition)?;
        self.changed.send_replace(state.table.revision());
        Ok(())
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        self.inner.lock().table.list(prefix)
    }

    /// Copies the contents of the store.
    pub(crate) fn copy(&self) -> ObjectTable {
        self.inner.lock().table.clone()
    }

    /// Restores the store from a copy. Later writes are lost, and their revisions are assigned
    /// again.
    pub(crate) fn restore(&self, copy: ObjectTable) {
        let mut state = self.inner.lock();
        state.table = copy;
        self.changed.send_replace(state.table.revision());
    }

    /// Waits for a change. A waiting watch is charged further reads of the rate limit.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        let mut changed = self.changed.subscribe();
        let _waiting = GaugeGuard::new(self, |counters| &mut counters.waiting_watches);
        let deadline = Instant::now() + wait;
        let mut next_charge_at = Instant::now() + WATCH_CHARGE_INTERVAL;
        loop {
            let batch = self.inner.lock().table.changes(prefix, after);
            let is_known = batch.revision >= after;
            if !batch.keys.is_empty() || !is_known || Instant::now() >= deadline {
                return Ok(batch);
            }
            let wake_at = deadline.min(next_charge_at);
            let _changed_or_elapsed = timeout_at(wake_at, changed.changed()).await;
            if Instant::now() >= next_charge_at {
                next_charge_at += WATCH_CHARGE_INTERVAL;
                self.charge_watch()?;
            }
        }
    }

    pub(crate) fn hosts(&self) -> HostList {
        let now = self.now();
        self.inner.lock().hosts.list(now)
    }

    pub(crate) fn set_host(&self, host: &str, host_state: Option<HostState>) {
        let now = self.now();
        self.inner.lock().hosts.record(host, host_state, now);
    }

    pub(crate) fn weights(&self) -> Bytes {
        Bytes::from(vec![0; self.weight_bytes])
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        self.inner.lock().counters
    }

    pub(crate) fn set_fault(&self, command: FaultCommand) {
        let now = self.now();
        self.inner.lock().faults.set(command, now);
    }

    /// Delays a slow call until its delay has passed or it is released.
    pub(crate) async fn delay(&self, effect: FaultEffect) -> Option<GaugeGuard<'_>> {
        let FaultEffect::Delay(delay) = effect else {
            return None;
        };
        let guard = GaugeGuard::new(self, |counters| &mut counters.delayed_calls);
        let _released_or_elapsed = timeout(delay, self.release_signal.notified()).await;
        Some(guard)
    }

    /// Continues all calls that are delayed now.
    pub(crate) fn release_delayed(&self) {
        self.release_signal.notify_waiters();
    }

    fn charge_watch(&self) -> Result<(), StoreError> {
        let now = self.now();
        let mut state = self.inner.lock();
        if state.reads.try_consume(now) {
            return Ok(());
        }
        state.counters.rate_limited += 1;
        Err(StoreError::RateLimited)
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }
}

impl PlatformState {
    fn count(&mut self, class: CallClass) {
        let counter = match class {
            CallClass::Read => &mut self.counters.reads,
            CallClass::List => &mut self.counters.lists,
            CallClass::Write => &mut self.counters.writes,
            CallClass::Watch => &mut self.counters.watches,
            CallClass::Hosts => &mut self.counters.host_reads,
            CallClass::Weights => &mut self.counters.weight_loads,
        };
        *counter += 1;
    }

    fn bucket(&mut self, class: CallClass) -> &mut TokenBucket {
        match class {
            CallClass::Write => &mut self.writes,
            CallClass::Weights => &mut self.loads,
            CallClass::Read | CallClass::List | CallClass::Watch | CallClass::Hosts => {
                &mut self.reads
            }
        }
    }
}

/// Selects the counter of calls in progress.
type CallGauge = fn(&mut PlatformCounters) -> &mut u64;

/// Guard that counts a call while it is in progress, even if its caller disconnects.
pub(crate) struct GaugeGuard<'a> {
    platform: &'a SharedPlatform,
    gauge: CallGauge,
}

impl<'a> GaugeGuard<'a> {
    fn new(platform: &'a SharedPlatform, gauge: CallGauge) -> Self {
        *gauge(&mut platform.inner.lock().counters) += 1;
        Self { platform, gauge }
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        *(self.gauge)(&mut self.platform.inner.lock().counters) -= 1;
    }
}
