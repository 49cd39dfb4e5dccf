//! Tracks requests that may have caused engines behind sidecars to exit, at this gateway and at its
//! peers.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    EndEvidence, EndpointProcess, ProcessEnd, RequestFingerprint, SuspectLedger, SuspectQueue,
    SuspectUpdate, format_fingerprint, prelude::*,
};
use parking_lot::Mutex;
use slog::{Logger, info};
use xxhash_rust::xxh3::Xxh3Default;

use crate::call::CallerCall;

/// Time between two rounds of updates to peers. No session is opened for a round without updates.
pub(crate) const SUSPECT_SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Recorded engine exits and quarantines of suspected requests; cheap to clone.
///
/// Lock order: this lock is a leaf.
#[derive(Clone)]
pub(crate) struct SuspectTracker {
    state: Arc<Mutex<TrackerState>>,
    log: Logger,
}

#[derive(Default)]
struct TrackerState {
    ledger: SuspectLedger,
    update_queue: SuspectQueue,
}

impl SuspectTracker {
    /// Creates a tracker without suspects.
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            state: Arc::default(),
            log,
        }
    }

    /// Remaining quarantine of a request; `None` if it is not quarantined.
    pub(crate) fn quarantined_for(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        self.state.lock().ledger.quarantined_for(now, fingerprint)
    }

    /// Records that an engine ended during an attempt of a request, `streamed` after the attempt's
    /// first bytes.
    ///
    /// The engine process is not identified, so each attempt counts as a separate process.
    pub(crate) fn record_end(
        &self,
        now: Timestamp,
        call: &CallerCall,
        attempt: AttemptNumber,
        endpoint: &EndpointId,
        streamed: Duration,
    ) {
        let fingerprint = request_fingerprint(call);
        let process_number = call.id as u64 ^ u64::from(attempt);
        let process = EndpointProcess::new(endpoint.clone(), process_number);
        let end = ProcessEnd::new(&process, EndEvidence::new(true, streamed));
        let is_new = self.state.lock().ledger.record_end(now, fingerprint, end);
        info!(self.log, "an engine ended during a request";
            "request" => format_request_id(call.id), "endpoint" => &**endpoint,
            "fingerprint" => format_fingerprint(fingerprint),
            "streamed_ms" => streamed.as_millis() as u64);
        if is_new {
            self.record_quarantine(fingerprint, "own");
        }
    }

    /// Records that a request was served completely.
    pub(crate) fn record_served(&self, now: Timestamp, call: &CallerCall) {
        let fingerprint = request_fingerprint(call);
        self.state.lock().ledger.record_served(now, fingerprint);
    }

    /// The updates that are due to be sent to all peers.
    pub(crate) fn take_updates(&self, now: Timestamp) -> Vec<SuspectUpdate> {
        let TrackerState {
            ledger,
            update_queue,
        } = &mut *self.state.lock();
        ledger.forget_old(now);
        update_queue.take_due(now, ledger)
    }

    /// Applies the updates of a peer.
    pub(crate) fn apply_updates(&self, now: Timestamp, updates: Vec<SuspectUpdate>) {
        for update in updates {
            let is_new = self.state.lock().ledger.apply_update(now, update);
            if is_new {
                self.record_quarantine(update.fingerprint(), "peer");
            }
        }
    }

    fn record_quarantine(&self, fingerprint: RequestFingerprint, source: &'static str) {
        metrics::counter!("lovagedock_quarantines_total", "source" => source).increment(1);
        info!(self.log, "request in quarantine";
            "fingerprint" => format_fingerprint(fingerprint), "source" => source);
    }
}

/// Fingerprint of the content of a call, independent of its id.
pub(crate) fn request_fingerprint(call: &CallerCall) -> RequestFingerprint {
    let mut hasher = Xxh3Default::new();
    hasher.update(call.path.as_bytes());
    hasher.update(call.organisation.as_bytes());
    hasher.update(&call.body);
    hasher.digest()
}
