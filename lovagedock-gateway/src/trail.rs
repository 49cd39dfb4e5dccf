//! Records the decisions about recent requests and their reasons, for `explain` and dumps.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use lovagedock::prelude::*;
use parking_lot::Mutex;
use serde::Serialize;

/// Maximum number of requests that are kept.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of steps that are kept of one request.
const MAX_STEPS: usize = 64;

/// One decision about a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TrailStep {
    /// Milliseconds since the gateway started.
    pub(crate) at_ms: u64,
    /// Description of the event or decision.
    pub(crate) step: String,
}

/// The decisions about one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestTrail {
    /// Id that was returned to the caller.
    pub(crate) request_id: String,
    /// Requested service.
    pub(crate) service: ServiceId,
    /// Organisation of the caller.
    pub(crate) organisation: OrganisationId,
    /// Estimated prompt length.
    pub(crate) prompt_tokens: TokenCount,
    /// The decisions, oldest first.
    pub(crate) steps: Vec<TrailStep>,
}

#[derive(Default)]
struct TrailState {
    trails: HashMap<RequestId, RequestTrail>,
    order: VecDeque<RequestId>,
}

/// The trails of recent requests, limited in number; cheap to clone.
///
/// Lock order: this lock is a leaf.
#[derive(Clone, Default)]
pub(crate) struct RequestTrails {
    state: Arc<Mutex<TrailState>>,
}

impl RequestTrails {
    /// Starts the trail of a request and removes the oldest one when there are too many.
    pub(crate) fn begin(&self, id: RequestId, trail: RequestTrail) {
        let mut state = self.state.lock();
        if state.order.len() >= MAX_REQUESTS
            && let Some(oldest) = state.order.pop_front()
        {
            state.trails.remove(&oldest);
        }
        state.order.push_back(id);
        state.trails.insert(id, trail);
    }

    /// Adds a step to the trail of a request.
    pub(crate) fn record_step(&self, id: RequestId, now: Timestamp, step: impl Into<String>) {
        let mut state = self.state.lock();
        let Some(trail) = state.trails.get_mut(&id) else {
            return;
        };
        if trail.steps.len() < MAX_STEPS {
            trail.steps.push(TrailStep {
                at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
                step: step.into(),
            });
        }
    }

    /// The trail of a request, if it is still kept.
    pub(crate) fn get(&self, id: RequestId) -> Option<RequestTrail> {
        self.state.lock().trails.get(&id).cloned()
    }

    /// The newest trails, newest first.
    pub(crate) fn newest(&self, count: usize) -> Vec<RequestTrail> {
        let state = self.state.lock();
        state
            .order
            .iter()
            .rev()
            .take(count)
            .filter_map(|id| state.trails.get(id).cloned())
            .collect()
    }
}
