//! State of a sidecar: the decision core, and the code that executes its actions.
//!
//! Lock order: the decision core first, then the answer table; never the other way round. Actions
//! are executed while the core is locked, so that the effects of two events cannot be reordered. No
//! action blocks.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lovagedock::{
    AnswerEnd, AttemptKey, EndpointAction, EndpointCore, EndpointEvent, EndpointLimits,
    EngineResult, RevokeVerdict, prelude::*,
};
use lovagedock_daemon::ProcessClock;
use lovagedock_wire::FleetName;
use parking_lot::{Mutex, MutexGuard};
use slog::{Logger, debug, info, warn};
use tokio::sync::watch;

use crate::{
    adapter::EngineAdapter, answers::AnswerTable, engine_task, orders::OrderExecutor,
    segment::ActiveSegments,
};

/// Reply of the core to the sender of an event.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CoreReply {
    /// The request is accepted.
    Accepted,
    /// The request is refused.
    Refused(AnswerEnd),
    /// State of an attempt that was to be revoked.
    Verdict(RevokeVerdict),
    /// The answer continues from an offset.
    ResumeFrom(u64),
    /// There is nothing to resume.
    NotFound,
    /// Memory is reserved.
    Granted(TokenCount),
    /// Memory is not reserved.
    NotGranted(TokenCount),
}

/// State of one sidecar.
pub(crate) struct SidecarState {
    /// Endpoint that this sidecar serves.
    pub(crate) endpoint: EndpointId,
    /// Fleet of this sidecar; `None` accepts gateways of any fleet.
    pub(crate) fleet: Option<FleetName>,
    /// Incarnation of this process.
    pub(crate) incarnation: Incarnation,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// Adapter to the endpoint.
    pub(crate) adapter: Arc<dyn EngineAdapter>,
    /// Segments that the engine is prefilling.
    pub(crate) segments: ActiveSegments,
    /// Logger of the sidecar.
    pub(crate) log: Logger,
    /// Orders to the endpoint.
    pub(crate) orders: OrderExecutor,
    core: Mutex<EndpointCore>,
    answers: Mutex<AnswerTable>,
    wake_at: watch::Sender<Timestamp>,
    drained: watch::Sender<bool>,
    stopping: AtomicBool,
}

impl SidecarState {
    /// Creates the state of a sidecar that has just started.
    pub(crate) fn new(
        endpoint: EndpointId,
        fleet: Option<FleetName>,
        limits: EndpointLimits,
        clock: ProcessClock,
        adapter: Arc<dyn EngineAdapter>,
        log: Logger,
    ) -> Arc<Self> {
        let incarnation = rand::random();
        Arc::new(Self {
            endpoint,
            fleet,
            incarnation,
            clock,
            adapter,
            segments: ActiveSegments::default(),
            log,
            orders: OrderExecutor::default(),
            core: Mutex::new(EndpointCore::new(incarnation, limits)),
            answers: Mutex::default(),
            wake_at: watch::Sender::new(Timestamp::MAX),
            drained: watch::Sender::new(false),
            stopping: AtomicBool::new(false),
        })
    }

    /// Passes an event to the core, executes the resulting actions and returns the reply to the
    /// sender.
    pub(crate) fn decide(self: &Arc<Self>, mut event: EndpointEvent) -> Option<CoreReply> {
        let mut core = self.core.lock();
        if let EndpointEvent::Drain(draining) = &mut event {
            // The drain of a process that is stopping cannot be undone. Work accepted after that
            // would be cut when the process exits.
            *draining |= self.stopping.load(Ordering::SeqCst);
            // An earlier drain that was undone may have set this already. If it stayed set, it
            // would end the new drain immediately and cut the running requests.
            self.drained.send_replace(false);
        }
        let actions = core.handle(self.clock.now(), event);
        let mut reply = None;
        for action in actions {
            if let Some(action_reply) = self.execute(action) {
                reply = Some(action_reply);
            }
        }
        reply
    }

    /// Locks the answer table.
    pub(crate) fn answers(&self) -> MutexGuard<'_, AnswerTable> {
        self.answers.lock()
    }

    /// Reads the core, for reports and dumps.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&EndpointCore) -> T) -> T {
        read(&self.core.lock())
    }

    /// Starts the drain that precedes the end of the process.
    pub(crate) fn drain_for_shutdown(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::SeqCst);
        self.decide(EndpointEvent::Drain(true));
    }

    /// Fails all running requests before the process exits: reports this to the gateways and
    /// cancels the requests on the engine.
    pub(crate) fn fail_running_requests(self: &Arc<Self>) {
        for key in self.read(EndpointCore::running_attempts) {
            let detail = "the sidecar has stopped".to_owned();
            let result = EngineResult::Lost { detail };
            self.decide(EndpointEvent::EngineEnded { key, result });
        }
    }

    /// Waits until the endpoint is draining and no request is left on it.
    pub(crate) async fn wait_until_drained(&self) {
        let mut drained = self.drained.subscribe();
        // The sender is owned by `self`, so the channel cannot close during the wait.
        let _open = drained.wait_for(|drained| *drained).await;
    }

    /// Sends the core the ticks that it requests; never returns.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        let mut wake = self.wake_at.subscribe();
        loop {
            let at = *wake.borrow_and_update();
            let delay = at.saturating_sub(self.clock.now()).min(MAX_TICK_DELAY);
            tokio::select! {
                () = tokio::time::sleep(delay) => {
                    if at <= self.clock.now() {
                        self.wake_at.send_replace(Timestamp::MAX);
                        self.decide(EndpointEvent::Tick);
                    }
                }
                changed = wake.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn execute(self: &Arc<Self>, action: EndpointAction) -> Option<CoreReply> {
        match action {
            EndpointAction::Accept(_) => return Some(CoreReply::Accepted),
            EndpointAction::Refuse { key, end } => {
                debug!(self.log, "attempt refused";
                    "request" => format_request_id(key.request),
                    "attempt" => key.attempt,
                    "code" => end.code.number(),
                    "detail" => &end.detail);
                return Some(CoreReply::Refused(end));
            }
            EndpointAction::Verdict { verdict, .. } => return Some(CoreReply::Verdict(verdict)),
            EndpointAction::ResumeFrom { offset, .. } => {
                return Some(CoreReply::ResumeFrom(offset));
            }
            EndpointAction::NotFound(_) => return Some(CoreReply::NotFound),
            EndpointAction::GrantReservation { free_tokens, .. } => {
                return Some(CoreReply::Granted(free_tokens));
            }
            EndpointAction::RefuseReservation { free_tokens, .. } => {
                return Some(CoreReply::NotGranted(free_tokens));
            }
            EndpointAction::Start(key) => self.start(key),
            EndpointAction::CancelOnEngine(request) => self.cancel(request),
            EndpointAction::Deliver {
                key,
                offset,
                length,
            } => self.make_visible(key, offset + length),
            EndpointAction::EndAnswer { key, end } => self.end_answer(key, end),
            EndpointAction::ForgetAnswer(key) => self.answers().forget(key.request),
            EndpointAction::WakeAt(at) => {
                self.wake_at.send_replace(at);
            }
            EndpointAction::Drained => {
                info!(self.log, "drained");
                self.drained.send_replace(true);
            }
        }
        None
    }

    fn start(self: &Arc<Self>, key: AttemptKey) {
        let mut answers = self.answers();
        let Some(record) = answers.get_mut(key.request) else {
            warn!(self.log, "no payload for a request to start"; "request" => format_request_id(key.request));
            return;
        };
        let work = Arc::clone(&record.work);
        let task = tokio::spawn(engine_task::run(Arc::clone(self), key, work));
        record.engine_task = Some(task.abort_handle());
    }

    fn cancel(self: &Arc<Self>, request: RequestId) {
        if let Some(record) = self.answers().get_mut(request)
            && let Some(task) = record.engine_task.take()
        {
            task.abort();
        }
        let state = Arc::clone(self);
        tokio::spawn(async move {
            // The core repeats the cancellation as long as the engine's allocations still include
            // the request.
            if let Err(error) = state.adapter.cancel(request).await {
                debug!(state.log, "cancel failed";
                    "request" => format_request_id(request),
                    "error" => %error);
            }
        });
    }

    fn make_visible(&self, key: AttemptKey, end_offset: u64) {
        if let Some(record) = self.answers().get_mut(key.request) {
            record.make_visible(end_offset);
        }
    }

    fn end_answer(&self, key: AttemptKey, end: AnswerEnd) {
        debug!(self.log, "request ended";
            "request" => format_request_id(key.request),
            "code" => end.code.number(),
            "prompt_tokens" => end.prompt_tokens,
            "answer_tokens" => end.answer_tokens,
            "detail" => &end.detail);
        metrics::counter!("lovagedock_sidecar_ends_total", "code" => end.code.number().to_string())
            .increment(1);
        if let Some(record) = self.answers().get_mut(key.request) {
            record.finish(end);
            // A hung engine never closes the connection. Without the abort, the task and its
            // connection would stay forever.
            if let Some(task) = record.engine_task.take() {
                task.abort();
            }
        }
    }
}

/// Maximum sleep between two checks of the wake time.
const MAX_TICK_DELAY: Duration = Duration::from_secs(3_600);
