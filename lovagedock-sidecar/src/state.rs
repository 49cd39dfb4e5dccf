//! The decisions of a sidecar and what carries them out.
//!
//! Lock order: the decision core first, then the answer table; never the other way round. Actions
//! are carried out while the core is locked, so that two events cannot swap their effects; none of
//! them waits for anything.

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
use parking_lot::{Mutex, MutexGuard};
use slog::{Logger, debug, info, warn};
use tokio::sync::watch;

use crate::{
    adapter::EngineAdapter, answers::AnswerTable, engine_task, orders::OrderExecutor,
    segment::ActiveSegments,
};

/// What the core says to whoever asked.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CoreReply {
    /// The request is taken.
    Accepted,
    /// The request is not taken.
    Refused(AnswerEnd),
    /// What became of a revoked attempt.
    Verdict(RevokeVerdict),
    /// The answer goes on from an offset.
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
    /// Endpoint beside this sidecar.
    pub(crate) endpoint: EndpointId,
    /// This life of the process.
    pub(crate) incarnation: Incarnation,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// The endpoint.
    pub(crate) adapter: Arc<dyn EngineAdapter>,
    /// Parts of spans that the engine prefills now.
    pub(crate) segments: ActiveSegments,
    /// Log.
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
    /// A sidecar that has just started.
    pub(crate) fn new(
        endpoint: EndpointId,
        limits: EndpointLimits,
        clock: ProcessClock,
        adapter: Arc<dyn EngineAdapter>,
        log: Logger,
    ) -> Arc<Self> {
        let incarnation = rand::random();
        Arc::new(Self {
            endpoint,
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

    /// Decides on an event, carries the actions out and returns what the asker is told.
    pub(crate) fn decide(self: &Arc<Self>, mut event: EndpointEvent) -> Option<CoreReply> {
        let mut core = self.core.lock();
        if let EndpointEvent::Drain(leaving) = &mut event {
            // The drain of a process that stops is not called off: work that is taken in it would
            // be cut when the process ends.
            *leaving |= self.stopping.load(Ordering::SeqCst);
            // A drain that was called off before has told its end already; kept, it would end the
            // next one at once and cut off what runs.
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

    /// The answer table.
    pub(crate) fn answers(&self) -> MutexGuard<'_, AnswerTable> {
        self.answers.lock()
    }

    /// Reads the core, for reports and dumps.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&EndpointCore) -> T) -> T {
        read(&self.core.lock())
    }

    /// Drains for the end of the process.
    pub(crate) fn drain_for_shutdown(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::SeqCst);
        self.decide(EndpointEvent::Drain(true));
    }

    /// Gives up what runs, before the process ends under it: the gateways are told, and the engine
    /// is told to cancel.
    pub(crate) fn fail_running_requests(self: &Arc<Self>) {
        for key in self.read(EndpointCore::running_attempts) {
            let detail = "the sidecar has stopped".to_owned();
            let result = EngineResult::Lost { detail };
            self.decide(EndpointEvent::EngineEnded { key, result });
        }
    }

    /// Ends when the endpoint is leaving and nothing is left on it.
    pub(crate) async fn wait_until_drained(&self) {
        let mut drained = self.drained.subscribe();
        // The sender lives in `self`, so the channel cannot close while we wait.
        let _open = drained.wait_for(|drained| *drained).await;
    }

    /// Sends the core the ticks that it asks for; never ends.
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
            warn!(self.log, "no payload for a start"; "request" => format_request_id(key.request));
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
            // The core asks again while the engine's account still shows the request.
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
            // A hung engine never ends its side; the task and its connection would stay for good.
            if let Some(task) = record.engine_task.take() {
                task.abort();
            }
        }
    }
}

/// Longest sleep between looks at the wake time.
const MAX_TICK_DELAY: Duration = Duration::from_secs(3_600);
