//! Shared state of a running stand-in engine.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::Instant,
};

use lovagedock::prelude::TokenCount;

use super::{
    batch::{BatchEngine, SequenceRequest, StepOutput, SubmitError},
    fault::EngineFault,
    journal::EngineJournal,
    load::{LoadHistory, LoadSample},
    options::EngineOptions,
    render::AnswerSource,
};

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
    /// The request was cancelled.
    Cancelled,
}

pub(crate) type ProgressReceiver = mpsc::UnboundedReceiver<Progress>;

/// State that one lock guards; nothing awaits while it is held.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) batch: BatchEngine,
    pub(crate) role: String,
    pub(crate) adapters: Vec<String>,
    answers: HashMap<Arc<str>, AnswerEntry>,
    loads: LoadHistory,
    options: EngineOptions,
    kept_alive: Duration,
}

#[derive(Debug)]
struct AnswerEntry {
    source: AnswerSource,
    sender: mpsc::UnboundedSender<Progress>,
}

impl EngineCore {
    fn new(options: EngineOptions, journal: EngineJournal) -> Self {
        Self {
            batch: BatchEngine::new(options.clone(), journal),
            role: "any".to_owned(),
            adapters: Vec::new(),
            answers: HashMap::new(),
            loads: LoadHistory::default(),
            options,
            kept_alive: Duration::ZERO,
        }
    }

    /// Takes a request in and gives the channel on which its progress is told.
    pub(crate) fn submit(
        &mut self,
        request: SequenceRequest,
        source: AnswerSource,
    ) -> Result<ProgressReceiver, SubmitError> {
        self.batch.submit(request)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let entry = AnswerEntry { source, sender };
        self.answers.insert(entry.source.request_id.clone(), entry);
        Ok(receiver)
    }

    /// Attaches a new caller to a request that is there already; the former one hears no more.
    pub(crate) fn attach(&mut self, request_id: &str) -> Option<(AnswerSource, ProgressReceiver)> {
        let produced = self.batch.produced(request_id)?;
        let entry = self.answers.get_mut(request_id)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(Progress::Produced {
            produced,
            cached_tokens: 0,
            finished: false,
        });
        entry.sender = sender;
        Some((entry.source.clone(), receiver))
    }

    pub(crate) fn cancel(&mut self, request_id: &str) -> bool {
        if let Some(entry) = self.answers.remove(request_id) {
            let _ = entry.sender.send(Progress::Cancelled);
        }
        self.batch.cancel(request_id)
    }

    /// Tells callers what a step did for them.
    pub(crate) fn deliver(&mut self, outputs: &[StepOutput]) {
        for output in outputs {
            self.deliver_one(output);
        }
        self.keep_alive();
        self.sample_load();
    }

    /// Another request's answer, as a caller gets it while answers are crossed.
    pub(crate) fn other_source(&self, source: &AnswerSource) -> AnswerSource {
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
        if !self.loads.is_due(self.batch.now()) {
            return;
        }
        let sample = self.load_now();
        self.loads.push(sample, self.options.load_lag);
    }

    pub(crate) fn load_now(&self) -> LoadSample {
        LoadSample::new(&self.batch, &self.role, &self.options.model, &self.adapters)
    }

    pub(crate) fn reported_load(&self) -> LoadSample {
        self.loads
            .reported()
            .cloned()
            .unwrap_or_else(|| self.load_now())
    }

    /// Keeps nothing but the journal and the clock.
    pub(crate) fn die(&mut self) {
        self.batch.lose_all();
        self.answers.clear();
        self.loads.clear();
        self.adapters.clear();
        self.role = "any".to_owned();
    }

    pub(crate) fn keep_alive(&mut self) {
        let now = self.batch.now();
        if now < self.kept_alive + KEEP_ALIVE_INTERVAL {
            return;
        }
        self.kept_alive = now;
        for entry in self.answers.values() {
            let _ = entry.sender.send(Progress::Alive);
        }
    }

    fn deliver_one(&mut self, output: &StepOutput) {
        let Some(entry) = self.answers.get(&output.request_id) else {
            return;
        };
        let progress = Progress::Produced {
            produced: output.produced,
            cached_tokens: output.cached_tokens,
            finished: output.finished,
        };
        let gone = entry.sender.send(progress).is_err();
        if output.finished {
            self.answers.remove(&output.request_id);
        } else if gone && self.options.cancels_on_disconnect {
            self.cancel(&output.request_id);
        }
    }
}

/// What all tasks of a running engine share.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) options: EngineOptions,
    pub(crate) core: Mutex<EngineCore>,
    pub(crate) wake: Notify,
    pub(crate) fault: watch::Sender<EngineFault>,
    pub(crate) journal: EngineJournal,
    started: Instant,
}

impl EngineState {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let journal = EngineJournal::default();
        Self {
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
        if fault == EngineFault::Die {
            self.core.lock().die();
        }
        self.wake.notify_one();
    }

    /// Waits until the engine is dead.
    pub(crate) async fn died(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault == EngineFault::Die).await;
    }

    /// Waits until the engine is not dead.
    pub(crate) async fn revived(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault != EngineFault::Die).await;
    }

    /// Waits while the engine hangs, and as long as it answers late.
    pub(crate) async fn pass_faults(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| !fault.stops_steps()).await;
        let delay = fault.borrow().delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
