//! Requests that end engines behind sidecars, at this gateway and at its peers.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    EndEvidence, EndpointProcess, ProcessEnd, RequestFingerprint, SuspectLedger, SuspectQueue,
    SuspectUpdate, format_fingerprint, prelude::*,
};
use parking_lot::Mutex;
use slog::{Logger, info};
use xxhash_rust::xxh3::Xxh3Default;

use crate::call::CallerCall;

/// Time between two tellings; gateways open no session for it while there is nothing to tell.
pub(crate) const SUSPECT_SEND_INTERVAL: Duration = Duration::from_millis(250);

/// What is held against requests; cheap to clone.
///
/// Lock order: a leaf.
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
    /// A desk that suspects nobody.
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            state: Arc::default(),
            log,
        }
    }

    /// How much longer a request is not to be sent to engines.
    pub(crate) fn quarantined_for(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        self.state.lock().ledger.quarantined_for(now, fingerprint)
    }

    /// Records that an engine ended under an attempt of a request, `streamed` after its first bytes.
    ///
    /// Which process of the engine it was is not told, so each attempt counts as one of its own.
    pub(crate) fn record_end(
        &self,
        now: Timestamp,
        call: &CallerCall,
        attempt: AttemptNumber,
        endpoint: &EndpointId,
        streamed: Duration,
    ) {
        let fingerprint = request_fingerprint(call);
        let run = call.id as u64 ^ u64::from(attempt);
        let process = EndpointProcess::new(endpoint.clone(), run);
        let end = ProcessEnd::new(&process, EndEvidence::new(true, streamed));
        let is_new = self.state.lock().ledger.record_end(now, fingerprint, end);
        info!(self.log, "an engine ended under a request";
            "request" => format_request_id(call.id), "endpoint" => &**endpoint,
            "fingerprint" => format_fingerprint(fingerprint),
            "streamed_ms" => streamed.as_millis() as u64);
        if is_new {
            self.record_quarantine(fingerprint, "own");
        }
    }

    /// Records that a request was served whole.
    pub(crate) fn record_served(&self, now: Timestamp, call: &CallerCall) {
        let fingerprint = request_fingerprint(call);
        self.state.lock().ledger.record_served(now, fingerprint);
    }

    /// News for all peers.
    pub(crate) fn take_updates(&self, now: Timestamp) -> Vec<SuspectUpdate> {
        let TrackerState {
            ledger,
            update_queue,
        } = &mut *self.state.lock();
        ledger.forget_old(now);
        update_queue.take_due(now, ledger)
    }

    /// Takes in what a peer tells.
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

/// What a call asks, whatever id it has.
pub(crate) fn request_fingerprint(call: &CallerCall) -> RequestFingerprint {
    let mut hasher = Xxh3Default::new();
    hasher.update(call.path.as_bytes());
    hasher.update(call.organisation.as_bytes());
    hasher.update(&call.body);
    hasher.digest()
}
