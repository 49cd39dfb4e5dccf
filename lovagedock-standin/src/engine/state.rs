//! Shared state of a running stand-in engine.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::Instant,
};

use lovagedock::prelude::{Epoch, TokenCount};

use super::{
    batch::{BatchEngine, PauseError, SequenceNumber, SequenceRequest, StepOutput, SubmitError},
    cache_feed::CacheFeed,
    fault::EngineFault,
    journal::EngineJournal,
    load::{LoadHistory, LoadSample},
    options::EngineOptions,
    render::AnswerSource,
    transfer::KvState,
};

const INITIAL_ROLE: &str = "any";
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of a request, as sent to its handler.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Progress {
    /// `produced` answer tokens have been generated so far.
    Produced {
        produced: TokenCount,
        cached_tokens: TokenCount,
        finished: bool,
    },
    /// The request is still in progress. Sent at intervals of at least [`KEEP_ALIVE_INTERVAL`].
    KeepAlive,
    /// The request ended without a complete answer.
    Failed(&'static str),
}

pub(crate) type ProgressReceiver = mpsc::UnboundedReceiver<Progress>;

/// State protected by one lock. No task awaits while it holds the lock.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) batch: BatchEngine,
    pub(crate) role: String,
    pub(crate) model: String,
    pub(crate) adapters: Vec<String>,
    pub(crate) fence: Epoch,
    pub(crate) feed: CacheFeed,
    active_requests: HashMap<SequenceNumber, ActiveRequest>,
    load_history: LoadHistory,
    options: EngineOptions,
    last_keep_alive: Duration,
}

#[derive(Debug)]
struct ActiveRequest {
    source: AnswerSource,
    /// `None` until a caller attaches to an imported request.
    sender: Option<mpsc::UnboundedSender<Progress>>,
}

impl ActiveRequest {
    /// Sends progress to the caller. Returns whether a caller was attached and has disconnected.
    fn send_progress(&self, progress: Progress) -> bool {
        self.sender
            .as_ref()
            .is_some_and(|sender| sender.send(progress).is_err())
    }
}

impl EngineCore {
    fn new(options: EngineOptions, journal: EngineJournal) -> Self {
        let mut core = Self {
            batch: BatchEngine::new(options.clone(), journal),
            role: INITIAL_ROLE.to_owned(),
            model: options.model.clone(),
            adapters: Vec::new(),
            fence: 0,
            feed: CacheFeed::default(),
            active_requests: HashMap::new(),
            load_history: LoadHistory::default(),
            options,
            last_keep_alive: Duration::ZERO,
        };
        // The engine reports its load from the start, so the first sample must show the idle
        // engine.
        core.sample_load();
        core
    }

    /// Submits a request and returns the receiver of its progress.
    pub(crate) fn submit(
        &mut self,
        request: SequenceRequest,
        source: AnswerSource,
    ) -> Result<ProgressReceiver, SubmitError> {
        let number = self.batch.submit(request)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let entry = ActiveRequest {
            source,
            sender: Some(sender),
        };
        self.active_requests.insert(number, entry);
        Ok(receiver)
    }

    /// Imports a request from another engine. Decoding starts when a caller attaches.
    pub(crate) fn import(
        &mut self,
        request: SequenceRequest,
        source: AnswerSource,
    ) -> Result<(), SubmitError> {
        let number = self.batch.submit(request)?;
        let entry = ActiveRequest {
            source,
            sender: None,
        };
        self.active_requests.insert(number, entry);
        Ok(())
    }

    /// Pauses a request and returns its state for another engine.
    pub(crate) fn export(&mut self, request_id: &str) -> Result<KvState, PauseError> {
        let (request, produced) = self.batch.pause(request_id)?;
        let number = self.batch.answer_number(request_id);
        let entry = number.and_then(|number| self.active_requests.get(&number));
        let entry = entry.ok_or(PauseError::Missing)?;
        Ok(KvState::new(&entry.source, &request, produced))
    }

    /// Attaches a new caller to an existing request. The previous caller receives nothing more.
    pub(crate) fn attach(&mut self, request_id: &str) -> Option<(AnswerSource, ProgressReceiver)> {
        let produced = self.batch.produced(request_id)?;
        let number = self.batch.answer_number(request_id)?;
        let entry = self.active_requests.get_mut(&number)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(Progress::Produced {
            produced,
            cached_tokens: 0,
            finished: false,
        });
        entry.sender = Some(sender);
        self.batch.resume(request_id);
        Some((entry.source.clone(), receiver))
    }

    /// Cancels a request and sends the reason to its caller.
    pub(crate) fn fail_request(&mut self, request_id: &str, reason: &'static str) -> bool {
        self.active_requests.retain(|_, entry| {
            let is_ended = &*entry.source.request_id == request_id;
            if is_ended {
                entry.send_progress(Progress::Failed(reason));
            }
            !is_ended
        });
        self.batch.cancel(request_id)
    }

    /// Sends the results of a step to the callers.
    pub(crate) fn send_outputs(&mut self, outputs: &[StepOutput]) {
        for output in outputs {
            self.send_output(output);
        }
        self.send_keep_alives();
        self.sample_load();
        self.publish_cache();
    }

    /// Publishes the changes of the prefix cache since the last call.
    pub(crate) fn publish_cache(&mut self) {
        let changes = self.batch.take_cache_changes();
        self.feed.push(&changes, self.batch.now(), &self.options);
    }

    /// Source of another request's answer, for [`EngineFault::SwapsResponses`].
    pub(crate) fn swapped_source(&self, source: &AnswerSource) -> AnswerSource {
        let other = self
            .active_requests
            .values()
            .map(|entry| &entry.source)
            .find(|other| other.request_id != source.request_id);
        match other {
            Some(other) => AnswerSource {
                request_id: other.request_id.clone(),
                digest: other.digest,
                ..source.clone()
            },
            None => AnswerSource {
                request_id: "00000000000000000000000000000000".into(),
                digest: !source.digest,
                ..source.clone()
            },
        }
    }

    pub(crate) fn sample_load(&mut self) {
        if !self.load_history.is_due(self.batch.now()) {
            return;
        }
        let sample = self.load_now();
        self.load_history.push(sample, self.options.load_lag);
    }

    pub(crate) fn load_now(&self) -> LoadSample {
        LoadSample::new(&self.batch, &self.role, &self.model, &self.adapters)
    }

    pub(crate) fn reported_load(&self) -> LoadSample {
        self.load_history
            .reported()
            .cloned()
            .unwrap_or_else(|| self.load_now())
    }

    /// Resets everything except the journal and the clock.
    pub(crate) fn reset_after_crash(&mut self) {
        self.batch.discard_all();
        self.active_requests.clear();
        self.load_history.clear();
        self.adapters.clear();
        self.role = INITIAL_ROLE.to_owned();
        self.model = self.options.model.clone();
        self.fence = 0;
        self.feed = CacheFeed::default();
        self.sample_load();
    }

    pub(crate) fn send_keep_alives(&mut self) {
        let now = self.batch.now();
        if now < self.last_keep_alive + KEEP_ALIVE_INTERVAL {
            return;
        }
        self.last_keep_alive = now;
        for entry in self.active_requests.values() {
            entry.send_progress(Progress::KeepAlive);
        }
    }

    fn send_output(&mut self, output: &StepOutput) {
        // Looked up by number, not by id: a request that was cancelled and submitted again during
        // the step must not receive the output of the cancelled one.
        let Some(entry) = self.active_requests.get(&output.number) else {
            return;
        };
        let progress = Progress::Produced {
            produced: output.produced,
            cached_tokens: output.cached_tokens,
            finished: output.finished,
        };
        let is_disconnected = entry.send_progress(progress);
        if output.finished {
            self.active_requests.remove(&output.number);
        } else if is_disconnected && self.options.cancels_on_disconnect {
            self.fail_request(&output.request_id, "the caller disconnected");
        }
    }
}

/// State shared by all tasks of a running engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) address: SocketAddr,
    pub(crate) options: EngineOptions,
    pub(crate) core: Mutex<EngineCore>,
    pub(crate) wake: Notify,
    pub(crate) fault: watch::Sender<EngineFault>,
    pub(crate) journal: EngineJournal,
    started: Instant,
}

impl EngineState {
    pub(crate) fn new(address: SocketAddr, options: EngineOptions) -> Self {
        let journal = EngineJournal::default();
        Self {
            address,
            core: Mutex::new(EngineCore::new(options.clone(), journal.clone())),
            options,
            wake: Notify::new(),
            fault: watch::Sender::new(EngineFault::None),
            journal,
            started: Instant::now(),
        }
    }

    /// Model time that corresponds to the current real time.
    pub(crate) fn model_now(&self) -> Duration {
        self.started.elapsed().mul_f64(self.options.time_scale)
    }

    /// Real time at which a model time is reached.
    pub(crate) fn real_instant(&self, model: Duration) -> Instant {
        self.started + self.real_duration(model)
    }

    pub(crate) fn real_duration(&self, model: Duration) -> Duration {
        model.div_f64(self.options.time_scale)
    }

    pub(crate) fn set_fault(&self, fault: EngineFault) {
        // The connections must see the fault before the senders of their progress are dropped.
        self.fault.send_replace(fault);
        if fault == EngineFault::Crash {
            self.core.lock().reset_after_crash();
        }
        self.wake.notify_one();
    }

    /// Waits for a duration in model time.
    pub(crate) async fn sleep(&self, model: Duration) {
        tokio::time::sleep(self.real_duration(model)).await;
    }

    /// Waits until the engine crashes.
    pub(crate) async fn crashed(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault == EngineFault::Crash).await;
    }

    /// Waits until the engine is up again after a crash.
    pub(crate) async fn restarted(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault != EngineFault::Crash).await;
    }

    /// Waits while the engine hangs, then for the delay of [`EngineFault::Late`].
    pub(crate) async fn apply_faults(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| !fault.stops_steps()).await;
        let delay = fault.borrow().delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
