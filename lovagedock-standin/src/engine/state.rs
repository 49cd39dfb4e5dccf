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

/// What a handler hears about its request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Progress {
    /// Answer tokens up to `produced` exist.
    Produced {
        produced: TokenCount,
        cached_tokens: TokenCount,
        finished: bool,
    },
    /// The request is still there.
    Alive,
    /// The request ended without its answer.
    Failed(&'static str),
}

pub(crate) type ProgressReceiver = mpsc::UnboundedReceiver<Progress>;

/// State that one lock guards; nothing awaits while it is held.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) batch: BatchEngine,
    pub(crate) role: String,
    pub(crate) model: String,
    pub(crate) adapters: Vec<String>,
    pub(crate) fence: Epoch,
    pub(crate) feed: CacheFeed,
    answers: HashMap<SequenceNumber, AnswerEntry>,
    load_history: LoadHistory,
    options: EngineOptions,
    last_keep_alive: Duration,
}

#[derive(Debug)]
struct AnswerEntry {
    source: AnswerSource,
    /// Absent until a caller attaches to an imported request.
    sender: Option<mpsc::UnboundedSender<Progress>>,
}

impl AnswerEntry {
    /// Whether a caller was there once and has gone.
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
            answers: HashMap::new(),
            load_history: LoadHistory::default(),
            options,
            last_keep_alive: Duration::ZERO,
        };
        // An engine reports from its start on, so the first sample is never one of later load.
        core.sample_load();
        core
    }

    /// Takes a request in and gives the channel on which its progress is told.
    pub(crate) fn submit(
        &mut self,
        request: SequenceRequest,
        source: AnswerSource,
    ) -> Result<ProgressReceiver, SubmitError> {
        let number = self.batch.submit(request)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let entry = AnswerEntry {
            source,
            sender: Some(sender),
        };
        self.answers.insert(number, entry);
        Ok(receiver)
    }

    /// Takes over a request from another engine; it waits for a caller to attach.
    pub(crate) fn import(
        &mut self,
        request: SequenceRequest,
        source: AnswerSource,
    ) -> Result<(), SubmitError> {
        let number = self.batch.submit(request)?;
        let entry = AnswerEntry {
            source,
            sender: None,
        };
        self.answers.insert(number, entry);
        Ok(())
    }

    /// Stops a request and describes it for another engine.
    pub(crate) fn export(&mut self, request_id: &str) -> Result<KvState, PauseError> {
        let (request, produced) = self.batch.pause(request_id)?;
        let number = self.batch.answer_number(request_id);
        let entry = number.and_then(|number| self.answers.get(&number));
        let entry = entry.ok_or(PauseError::Missing)?;
        Ok(KvState::new(&entry.source, &request, produced))
    }

    /// Attaches a new caller to a request that is there already; the former one hears no more.
    pub(crate) fn attach(&mut self, request_id: &str) -> Option<(AnswerSource, ProgressReceiver)> {
        let produced = self.batch.produced(request_id)?;
        let number = self.batch.answer_number(request_id)?;
        let entry = self.answers.get_mut(&number)?;
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

    /// Ends a request, telling its caller why.
    pub(crate) fn fail_request(&mut self, request_id: &str, reason: &'static str) -> bool {
        self.answers.retain(|_, entry| {
            let is_ended = &*entry.source.request_id == request_id;
            if is_ended {
                entry.send_progress(Progress::Failed(reason));
            }
            !is_ended
        });
        self.batch.cancel(request_id)
    }

    /// Tells callers what a step did for them.
    pub(crate) fn send_outputs(&mut self, outputs: &[StepOutput]) {
        for output in outputs {
            self.send_output(output);
        }
        self.keep_alive();
        self.sample_load();
        self.publish_cache();
    }

    /// Publishes what the cache did since the last call.
    pub(crate) fn publish_cache(&mut self) {
        let changes = self.batch.take_cache_changes();
        self.feed.push(&changes, self.batch.now(), &self.options);
    }

    /// Another request's answer, as a caller gets it while answers are crossed.
    pub(crate) fn swapped_source(&self, source: &AnswerSource) -> AnswerSource {
        let other = self
            .answers
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

    /// Keeps nothing but the journal and the clock.
    pub(crate) fn reset_after_crash(&mut self) {
        self.batch.discard_all();
        self.answers.clear();
        self.load_history.clear();
        self.adapters.clear();
        self.role = INITIAL_ROLE.to_owned();
        self.model = self.options.model.clone();
        self.fence = 0;
        self.feed = CacheFeed::default();
        self.sample_load();
    }

    pub(crate) fn keep_alive(&mut self) {
        let now = self.batch.now();
        if now < self.last_keep_alive + KEEP_ALIVE_INTERVAL {
            return;
        }
        self.last_keep_alive = now;
        for entry in self.answers.values() {
            entry.send_progress(Progress::Alive);
        }
    }

    fn send_output(&mut self, output: &StepOutput) {
        // By number, not by id: a request that was cancelled and sent again during the step has
        // nothing of it.
        let Some(entry) = self.answers.get(&output.number) else {
            return;
        };
        let progress = Progress::Produced {
            produced: output.produced,
            cached_tokens: output.cached_tokens,
            finished: output.finished,
        };
        let is_disconnected = entry.send_progress(progress);
        if output.finished {
            self.answers.remove(&output.number);
        } else if is_disconnected && self.options.cancels_on_disconnect {
            self.fail_request(&output.request_id, "the caller is gone");
        }
    }
}

/// What all tasks of a running engine share.
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

    /// Model time that real time has reached.
    pub(crate) fn model_now(&self) -> Duration {
        self.started.elapsed().mul_f64(self.options.time_scale)
    }

    /// Real moment at which a model time is reached.
    pub(crate) fn real_instant(&self, model: Duration) -> Instant {
        self.started + self.real_duration(model)
    }

    pub(crate) fn real_duration(&self, model: Duration) -> Duration {
        model.div_f64(self.options.time_scale)
    }

    pub(crate) fn set_fault(&self, fault: EngineFault) {
        // The connections have to see the fault before their answers lose their senders.
        self.fault.send_replace(fault);
        if fault == EngineFault::Crash {
            self.core.lock().reset_after_crash();
        }
        self.wake.notify_one();
    }

    /// Waits for a span of model time.
    pub(crate) async fn sleep(&self, model: Duration) {
        tokio::time::sleep(self.real_duration(model)).await;
    }

    /// Waits until the engine is dead.
    pub(crate) async fn crashed(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault == EngineFault::Crash).await;
    }

    /// Waits until the engine is not dead.
    pub(crate) async fn restarted(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault != EngineFault::Crash).await;
    }

    /// Waits while the engine hangs, and as long as it answers late.
    pub(crate) async fn apply_faults(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| !fault.stops_steps()).await;
        let delay = fault.borrow().delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
