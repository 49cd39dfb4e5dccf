//! Receives the bodies of callers' requests within the memory of the gateway.

use std::{collections::HashMap, sync::Arc};

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lovagedock::{BodyBudget, BodyGrowth, BodyId, prelude::*};
use lovagedock_daemon::ProcessClock;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::request_body::{BodyBuffer, RequestBody};

/// Share of the host's memory for request bodies.
const BODY_SHARE: f64 = 0.2;

/// The memory limit for all request bodies of the gateway.
#[derive(Clone)]
pub(crate) struct BodyMemory(Arc<SharedBudget>);

struct SharedBudget {
    clock: ProcessClock,
    /// Lock order: this lock is a leaf.
    state: Mutex<BudgetState>,
    /// Wakes bodies that wait for memory.
    released: Notify,
}

struct BudgetState {
    budget: BodyBudget,
    /// Ends the receipt of each body when it is displaced.
    displaced: HashMap<BodyId, Arc<Notify>>,
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// Its framing is invalid, or the caller closed the connection.
    Malformed,
    /// There is no memory for it.
    NoMemory,
    /// It gave way to other bodies.
    Displaced,
    /// It was not whole when the request expired.
    Late,
}

impl BodyError {
    /// Returns the result of the request.
    pub(crate) fn code(self) -> ResultCode {
        match self {
            Self::TooLarge => ResultCode::BodyTooLarge,
            Self::Malformed => ResultCode::MalformedRequest,
            Self::NoMemory | Self::Displaced => ResultCode::BodyMemoryFull,
            Self::Late => ResultCode::BodyTimeout,
        }
    }

    /// Counts a body that was not received.
    pub(crate) fn count(self) {
        let reason = match self {
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::NoMemory => "no_memory",
            Self::Displaced => "displaced",
            Self::Late => "late",
        };
        metrics::counter!("lovagedock_bodies_rejected_total", "reason" => reason).increment(1);
    }
}

impl BodyMemory {
    /// Creates the limit for a host with `host_memory_mb` megabytes of memory.
    pub(crate) fn new(clock: ProcessClock, host_memory_mb: f64) -> Self {
        let limit = (host_memory_mb * 1e6 * BODY_SHARE) as usize;
        Self(Arc::new(SharedBudget {
            clock,
            state: Mutex::new(BudgetState {
                budget: BodyBudget::new(limit),
                displaced: HashMap::new(),
            }),
            released: Notify::new(),
        }))
    }

    /// Returns the bytes that are reserved for bodies.
    pub(crate) fn used(&self) -> usize {
        self.0.state.lock().budget.used()
    }

    /// Receives a body of at most `max_bytes`. Memory is shared between organisations.
    pub(crate) async fn receive(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        organisation: Option<OrganisationId>,
    ) -> Result<RequestBody, BodyError> {
        if body.is_end_stream() {
            return Ok(RequestBody::empty());
        }
        let reservation = self.open(organisation);
        let displaced = Arc::clone(&reservation.displaced);
        let receiving = async {
            let mut buffer = BodyBuffer::default();
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| BodyError::Malformed)?;
                let Some(bytes) = frame.data_ref() else {
                    continue;
                };
                if buffer.len() + bytes.len() > max_bytes {
                    return Err(BodyError::TooLarge);
                }
                let capacity = buffer.missing_capacity(bytes.len());
                if capacity > 0 {
                    reservation.grow(capacity).await?;
                }
                buffer.append(bytes);
            }
            Ok(buffer)
        };
        let buffer = tokio::select! {
            buffer = receiving => buffer?,
            () = displaced.notified() => return Err(BodyError::Displaced),
        };
        match reservation.complete() {
            true => Ok(buffer.into_body(reservation)),
            false => Err(BodyError::Displaced),
        }
    }

    fn open(&self, organisation: Option<OrganisationId>) -> BodyReservation {
        let displaced = Arc::new(Notify::new());
        let mut state = self.0.state.lock();
        let id = state.budget.open(self.0.clock.now(), organisation);
        state.displaced.insert(id, Arc::clone(&displaced));
        drop(state);
        BodyReservation {
            shared: Arc::clone(&self.0),
            id,
            displaced,
        }
    }
}

/// Bytes of a body. They are released when it is dropped.
pub(crate) struct BodyReservation {
    shared: Arc<SharedBudget>,
    id: BodyId,
    displaced: Arc<Notify>,
}

impl BodyReservation {
    /// Reserves bytes, and waits until other bodies that give way are dropped.
    async fn grow(&self, bytes: usize) -> Result<(), BodyError> {
        loop {
            // Created before the check, so that a release between the two is not missed.
            let released = self.shared.released.notified();
            if self.try_grow(bytes)? {
                return Ok(());
            }
            released.await;
        }
    }

    /// Returns whether the bytes were reserved. Otherwise, they may be after the next release.
    fn try_grow(&self, bytes: usize) -> Result<bool, BodyError> {
        let mut state = self.shared.state.lock();
        match state.budget.grow(self.shared.clock.now(), self.id, bytes) {
            BodyGrowth::Granted => Ok(true),
            BodyGrowth::Refused => Err(BodyError::NoMemory),
            BodyGrowth::Displaces(ids) => {
                let displaced = ids.iter().filter_map(|id| state.displaced.get(id));
                displaced.for_each(|displaced| displaced.notify_one());
                Ok(false)
            }
        }
    }

    /// Returns whether the body, which was received as a whole, was not displaced.
    fn complete(&self) -> bool {
        self.shared.state.lock().budget.complete(self.id)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        state.displaced.remove(&self.id);
        state.budget.close(self.id);
        let used = state.budget.used();
        drop(state);
        metrics::gauge!("lovagedock_request_body_bytes").set(used as f64);
        self.shared.released.notify_waiters();
    }
}
