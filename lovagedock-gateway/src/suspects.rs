//! Tracks requests that may have caused engines behind sidecars to exit, at this gateway and at its
//! peers.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    EndEvidence, EndpointProcess, PartEnd, PartLedger, PartUpdate, PartVerdict, ProcessEnd,
    PromptParts, RequestFingerprint, SuspectLedger, SuspectQueue, SuspectUpdate,
    format_fingerprint, format_part, prelude::*,
};
use parking_lot::Mutex;
use slog::{Logger, info};
use xxhash_rust::xxh3::Xxh3Default;

use crate::call::CallerCall;

/// Time between two rounds of updates to peers. No session is opened for a round without updates.
pub(crate) const SUSPECT_SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which a trial of a doubtful request is decided, about that of a first token.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// Retry delay of a doubtful request that has to wait for the trial of another one.
pub(crate) const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

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
    parts: PartLedger,
}

impl SuspectTracker {
    /// Creates a tracker without suspects.
    ///
    /// `incarnation` tells the gateway from others that start a trial at the same moment.
    pub(crate) fn new(incarnation: Incarnation, log: Logger) -> Self {
        let state = TrackerState {
            parts: PartLedger::new().with_rank(incarnation),
            ..TrackerState::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            log,
        }
    }

    /// Remaining quarantine of a request or of a part of its prompt; `None` if it is not
    /// quarantined.
    pub(crate) fn quarantined_for(&self, now: Timestamp, call: &CallerCall) -> Option<Duration> {
        let state = self.state.lock();
        let by_part = match state.parts.verdict(now, &call.prompt.parts) {
            PartVerdict::Quarantined(remaining) => Some(remaining),
            PartVerdict::Clear | PartVerdict::Suspect | PartVerdict::Doubtful => None,
        };
        let fingerprint = request_fingerprint(call);
        state.ledger.quarantined_for(now, fingerprint).max(by_part)
    }

    /// Returns whether a request whose parts are doubtful may be sent as a trial, see
    /// [`PartLedger::try_start_trial`]. Other requests may be sent in any case.
    pub(crate) fn try_start_trial(&self, now: Timestamp, call: &CallerCall) -> bool {
        let parts = &call.prompt.parts;
        let mut state = self.state.lock();
        state.parts.verdict(now, parts) != PartVerdict::Doubtful
            || state
                .parts
                .try_start_trial(now, request_fingerprint(call), parts, TRIAL_TIME)
    }

    /// Records that an engine ended during an attempt of a request, `ran_for` after the engine's
    /// sidecar had accepted it and `streamed` after the attempt's first bytes.
    ///
    /// The engine process is not identified, so each attempt counts as a separate process.
    pub(crate) fn record_end(
        &self,
        now: Timestamp,
        call: &CallerCall,
        attempt: AttemptNumber,
        endpoint: &EndpointId,
        streamed: Duration,
        ran_for: Duration,
    ) {
        let fingerprint = request_fingerprint(call);
        let process_number = call.id as u64 ^ u64::from(attempt);
        let process = EndpointProcess::new(endpoint.clone(), process_number);
        let end = ProcessEnd::new(&process, EndEvidence::new(true, streamed));
        let evidence = EndEvidence::new(true, streamed);
        let part_end = PartEnd {
            process: end.process,
            request: fingerprint,
            evidence,
            ran_for,
            age: Duration::ZERO,
            is_trial: false,
        };
        let mut state = self.state.lock();
        let is_new = state.ledger.record_end(now, fingerprint, end);
        let quarantined = match streamed.is_zero() {
            true => state.parts.record_end(now, &call.prompt.parts, part_end),
            false => PromptParts::new(),
        };
        drop(state);
        self.record_part_quarantines(&quarantined, "own");
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
        let mut state = self.state.lock();
        state.ledger.record_served(now, fingerprint);
        state.parts.record_answered(now, &call.prompt.parts);
    }

    /// Records that an engine has begun to answer a request.
    pub(crate) fn record_answered(&self, now: Timestamp, call: &CallerCall) {
        let mut state = self.state.lock();
        state.parts.record_answered(now, &call.prompt.parts);
    }

    /// The updates about parts that are due to be sent to all peers.
    pub(crate) fn take_part_updates(&self, now: Timestamp) -> Vec<PartUpdate> {
        let mut state = self.state.lock();
        state.parts.forget_old(now);
        state.parts.take_due(now)
    }

    /// Applies the updates of a peer about parts.
    pub(crate) fn apply_part_updates(&self, now: Timestamp, updates: Vec<PartUpdate>) {
        for update in updates {
            let quarantined = self.state.lock().parts.apply_update(now, update);
            self.record_part_quarantines(&quarantined, "peer");
        }
    }

    /// The updates that are due to be sent to all peers.
    pub(crate) fn take_updates(&self, now: Timestamp) -> Vec<SuspectUpdate> {
        let TrackerState {
            ledger,
            update_queue,
            ..
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

    fn record_part_quarantines(&self, parts: &PromptParts, source: &'static str) {
        for part in parts {
            metrics::counter!("lovagedock_part_quarantines_total", "source" => source).increment(1);
            info!(self.log, "part in quarantine";
                "part" => format_part(*part), "source" => source);
        }
    }

    fn record_quarantine(&self, fingerprint: RequestFingerprint, source: &'static str) {
        metrics::counter!("lovagedock_quarantines_total", "source" => source).increment(1);
        info!(self.log, "request in quarantine";
            "fingerprint" => format_fingerprint(fingerprint), "source" => source);
    }
}

/// Fingerprint of the content of a call, independent of its id.
fn request_fingerprint(call: &CallerCall) -> RequestFingerprint {
    let mut hasher = Xxh3Default::new();
    hasher.update(call.path.as_bytes());
    hasher.update(call.organisation.as_bytes());
    hasher.update(&call.body);
    hasher.digest()
}
