//! Memory of the gateway for data that callers and endpoints have not read yet.

use std::{
    collections::HashMap,
    future::poll_fn,
    pin::{Pin, pin},
    sync::Arc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use lovagedock::{MAX_READ_BYTES, OutputBudget, OutputId, OutputPhase};
use lovagedock_daemon::ProcessClock;
use parking_lot::Mutex;
use slog::{Logger, warn};
use tokio::{sync::Notify, time::sleep};

/// Time between two checks for callers that do not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Closes the connection of a caller.
pub(crate) type ConnectionCut = Arc<Notify>;

/// The memory limit of the gateway; without a limit, nothing is counted.
#[derive(Clone)]
pub(crate) struct OutputMemory(Option<Arc<SharedBudget>>);

struct SharedBudget {
    clock: ProcessClock,
    /// Lock order: this lock is a leaf.
    state: Mutex<BudgetState>,
    /// Wakes responses that may not be read further.
    released: Notify,
}

struct BudgetState {
    budget: OutputBudget,
    callers: HashMap<OutputId, OutputCaller>,
}

struct OutputCaller {
    request: String,
    cut: ConnectionCut,
}

impl SharedBudget {
    /// Changes the budget and wakes paused responses if `change` returns that they may go on.
    fn release(&self, change: impl FnOnce(&mut OutputBudget) -> bool) {
        let is_readable = change(&mut self.state.lock().budget);
        if is_readable {
            self.released.notify_waiters();
        }
    }
}

impl OutputMemory {
    /// Creates a limit of `megabytes`, or none.
    pub(crate) fn new(clock: ProcessClock, megabytes: Option<f64>) -> Self {
        Self(megabytes.map(|megabytes| {
            Arc::new(SharedBudget {
                clock,
                state: Mutex::new(BudgetState {
                    budget: OutputBudget::new((megabytes * 1e6) as usize),
                    callers: HashMap::new(),
                }),
                released: Notify::new(),
            })
        }))
    }

    /// Returns the reserved bytes, or `None` without a limit.
    pub(crate) fn used(&self) -> Option<usize> {
        let shared = self.0.as_ref()?;
        Some(shared.state.lock().budget.used())
    }

    /// Returns whether new connections are read.
    pub(crate) fn admits_connections(&self) -> bool {
        let shared = self.0.as_ref();
        shared.is_none_or(|shared| shared.state.lock().budget.admits_connections())
    }

    /// Returns the maximum number of bytes of a read from an endpoint, if it is limited.
    pub(crate) fn max_read_bytes(&self) -> Option<usize> {
        self.0.as_ref().map(|_| MAX_READ_BYTES)
    }

    /// Adds the response to a request. `cut` disconnects its caller.
    pub(crate) fn open(&self, request: &str, cut: &ConnectionCut) -> ResponseOutput {
        ResponseOutput(self.0.as_ref().map(|shared| {
            let mut state = shared.state.lock();
            let id = state.budget.open();
            let caller = OutputCaller {
                request: request.to_owned(),
                cut: Arc::clone(cut),
            };
            state.callers.insert(id, caller);
            Arc::new(OpenOutput {
                shared: Arc::clone(shared),
                id,
                written: Notify::new(),
            })
        }))
    }

    /// Disconnects callers that do not read, until it is dropped.
    pub(crate) async fn run_checks(self, log: Logger) {
        let Some(shared) = self.0 else {
            return;
        };
        loop {
            shared.disconnect_slow_callers(&log);
            sleep(CHECK_INTERVAL).await;
        }
    }
}

impl SharedBudget {
    fn disconnect_slow_callers(&self, log: &Logger) {
        let mut state = self.state.lock();
        let used = state.budget.used();
        let slow_callers = state.budget.take_slow_callers(self.clock.now());
        let slow_callers: Vec<_> = slow_callers
            .into_iter()
            .filter_map(|slow| Some((slow, state.callers.remove(&slow.id)?)))
            .collect();
        drop(state);
        metrics::gauge!("lovagedock_output_memory_bytes").set(used as f64);
        for (slow, caller) in slow_callers {
            caller.cut.notify_one();
            metrics::counter!("lovagedock_output_disconnects_total").increment(1);
            warn!(log, "slow caller disconnected";
                "request" => &caller.request, "bytes" => slow.held,
                "unread_ms" => slow.unread_for.as_millis() as u64);
        }
    }
}

/// What the response to one request holds.
#[derive(Clone)]
pub(crate) struct ResponseOutput(Option<Arc<OpenOutput>>);

struct OpenOutput {
    shared: Arc<SharedBudget>,
    id: OutputId,
    /// Wakes the response after its caller has read.
    written: Notify,
}

impl Drop for OpenOutput {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let id = self.id;
        self.shared.state.lock().callers.remove(&id);
        self.shared.release(|budget| budget.close(now, id));
    }
}

/// Result of reading a frame from an endpoint.
pub(crate) enum OutputRead {
    /// The next frame, or the end of the body.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The response may not be read further now.
    Paused,
}

impl ResponseOutput {
    /// Records whether the caller can read.
    pub(crate) fn set_phase(&self, phase: OutputPhase) {
        if let Some(output) = &self.0 {
            let now = output.shared.clock.now();
            let mut state = output.shared.state.lock();
            state.budget.set_phase(now, output.id, phase);
        }
    }

    /// Reads the next frame, unless the response may not be read further when the frame arrives.
    pub(crate) async fn read(&self, body: &mut Incoming) -> OutputRead {
        poll_fn(|context| {
            if !self.may_read() {
                return Poll::Ready(OutputRead::Paused);
            }
            Pin::new(&mut *body)
                .poll_frame(context)
                .map(OutputRead::Frame)
        })
        .await
    }

    /// Waits until the response may be read further.
    pub(crate) async fn wait_until_readable(&self) {
        let Some(output) = &self.0 else {
            return;
        };
        if self.may_read() {
            return;
        }
        metrics::counter!("lovagedock_output_pauses_total").increment(1);
        loop {
            let mut released = pin!(output.shared.released.notified());
            let mut written = pin!(output.written.notified());
            // Registered before the check, so that a release between the two is not missed.
            released.as_mut().enable();
            written.as_mut().enable();
            if self.may_read() {
                return;
            }
            tokio::select! {
                () = released => {}
                () = written => {}
            }
        }
    }

    fn may_read(&self) -> bool {
        let output = self.0.as_ref();
        output.is_none_or(|output| output.shared.state.lock().budget.may_read(output.id))
    }

    /// Reserves bytes that were received.
    pub(crate) fn reserve(&self, bytes: usize) -> OutputReservation {
        if let Some(output) = &self.0 {
            let now = output.shared.clock.now();
            let mut state = output.shared.state.lock();
            state.budget.reserve(now, output.id, bytes);
        }
        OutputReservation {
            output: self.clone(),
            bytes,
        }
    }
}

/// Bytes that a response holds. They are released when it is dropped.
pub(crate) struct OutputReservation {
    output: ResponseOutput,
    bytes: usize,
}

impl OutputReservation {
    /// Adds the bytes of another reservation of the response.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Moves the reservation of `bytes` to the bytes, which release it when they are dropped.
    pub(crate) fn attach(&mut self, bytes: Bytes) -> Bytes {
        if self.output.0.is_none() {
            return bytes;
        }
        let moved = bytes.len().min(self.bytes);
        self.bytes -= moved;
        Bytes::from_owner(HeldBytes {
            // The bytes may be a small part of an allocation that they would keep.
            bytes: Bytes::copy_from_slice(&bytes),
            _reservation: OutputReservation {
                output: self.output.clone(),
                bytes: moved,
            },
        })
    }
}

impl Drop for OutputReservation {
    fn drop(&mut self) {
        let Some(output) = self.output.0.as_ref().filter(|_| self.bytes > 0) else {
            return;
        };
        let now = output.shared.clock.now();
        let shared = &output.shared;
        shared.release(|budget| budget.release(now, output.id, self.bytes));
        output.written.notify_waiters();
    }
}

/// Bytes with their reservation.
struct HeldBytes {
    bytes: Bytes,
    _reservation: OutputReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
