//! Scheduler with continuous batching in model time, written as a pure state machine.

use std::{sync::Arc, time::Duration};

use lovagedock::prelude::{BlockCount, TokenCount};

use super::{
    answer::BYTES_PER_TOKEN,
    journal::{EngineJournal, JournalEntry, JournalEvent},
    memory::{CacheChange, KvMemory},
    options::EngineOptions,
    sequence::{Phase, Sequence, needed_blocks},
};

/// Number that an engine gives to each accepted request. Numbering continues after a crash.
pub type SequenceNumber = u64;

/// Purpose of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceKind {
    /// Prefill the prompt, then decode the answer.
    Answer,
    /// Prefill one part of a longer prompt and hold its state until it is cancelled.
    Segment,
}

/// Request that is submitted to the batch.
#[derive(Clone, Debug)]
pub struct SequenceRequest {
    /// Id of the request, chosen by the caller.
    pub request_id: Arc<str>,
    /// Purpose of the sequence.
    pub kind: SequenceKind,
    /// Requests with a higher priority enter the batch first.
    pub priority: i32,
    /// Position of the first prompt token that this engine prefills. Other engines hold the tokens
    /// before it.
    pub start: TokenCount,
    /// Prompt tokens that this engine prefills.
    pub prompt_tokens: TokenCount,
    /// Answer tokens that were generated before. Their state is prefilled, not decoded.
    pub resume_offset: TokenCount,
    /// Total number of answer tokens, resumed ones included.
    pub max_tokens: TokenCount,
    /// Hashes of the prompt's chunks; empty if the prefix cache must not be used.
    pub prefix_hashes: Vec<u64>,
    /// Whether the state was imported from another engine. Nothing is left to prefill then, and
    /// decoding starts when a caller attaches.
    pub imported: bool,
}

/// Reason why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The request needs more blocks than the engine has in total.
    TooLarge,
    /// The engine already has a request with this id, or this segment of it.
    Duplicate,
}

/// Reason why a request could not be paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseError {
    /// The engine has no request with this id.
    Missing,
    /// The request is waiting or being prefilled.
    NotDecoding,
}

/// Result of a step for one sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOutput {
    /// Number that the engine gave to the request.
    pub number: SequenceNumber,
    /// Id of the request, chosen by the caller.
    pub request_id: Arc<str>,
    /// Answer tokens generated so far, resumed ones included.
    pub produced: TokenCount,
    /// Prompt tokens that were found in the prefix cache and not prefilled.
    pub cached_tokens: TokenCount,
    /// Whether the sequence is complete.
    pub finished: bool,
}

/// Memory allocated to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockAllocation {
    /// Id of the request, chosen by the caller.
    pub request_id: Arc<str>,
    /// Allocated blocks; 0 while the request is waiting.
    pub blocks: BlockCount,
}

/// Scheduler of one engine.
#[derive(Debug)]
pub struct BatchEngine {
    options: EngineOptions,
    now: Duration,
    arrivals: SequenceNumber,
    sequences: Vec<Sequence>,
    memory: KvMemory,
    journal: EngineJournal,
}

impl BatchEngine {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions, journal: EngineJournal) -> Self {
        Self {
            memory: KvMemory::new(options.memory_tokens),
            options,
            now: Duration::ZERO,
            arrivals: 0,
            sequences: Vec::new(),
            journal,
        }
    }

    /// Current model time: the end of the latest step.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// KV memory of the engine.
    pub fn memory(&self) -> &KvMemory {
        &self.memory
    }

    /// Advances model time while the engine is idle. Time never goes backwards.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Accepts a request and returns its number. The request enters the batch in a later step.
    pub fn submit(&mut self, request: SequenceRequest) -> Result<SequenceNumber, SubmitError> {
        let blocks = needed_blocks(&request);
        if blocks > self.memory.total() {
            return Err(SubmitError::TooLarge);
        }
        if self
            .sequences
            .iter()
            .any(|other| other.is_duplicate(&request))
        {
            return Err(SubmitError::Duplicate);
        }
        self.arrivals += 1;
        self.sequences.push(Sequence {
            arrival: self.arrivals,
            blocks,
            phase: Phase::Waiting,
            prefilled: 0,
            produced: request.resume_offset,
            cached_tokens: 0,
            has_output: false,
            is_paused: request.imported,
            request,
        });
        Ok(self.arrivals)
    }

    /// Removes a request and its segments and frees their blocks. Returns `false` if there are
    /// none.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let mut is_found = false;
        while let Some(index) = self.position_with_segments(request_id) {
            self.remove(index, JournalEvent::Cancelled);
            is_found = true;
        }
        is_found
    }

    /// Drops all requests and the prefix cache, as a crash of the process does.
    pub fn discard_all(&mut self) {
        while !self.sequences.is_empty() {
            self.remove(0, JournalEvent::Lost);
        }
        self.memory = KvMemory::new(self.options.memory_tokens);
    }

    /// Stops decoding a request and returns it with the number of tokens produced so far. The
    /// request keeps its blocks until it is cancelled.
    pub fn pause(&mut self, request_id: &str) -> Result<(SequenceRequest, TokenCount), PauseError> {
        let index = self.position(request_id).ok_or(PauseError::Missing)?;
        let sequence = &mut self.sequences[index];
        if sequence.phase != Phase::Decoding {
            return Err(PauseError::NotDecoding);
        }
        sequence.is_paused = true;
        Ok((sequence.request.clone(), sequence.produced))
    }

    /// Continues decoding a paused or imported request.
    pub fn resume(&mut self, request_id: &str) {
        if let Some(index) = self.position(request_id) {
            self.sequences[index].is_paused = false;
        }
    }

    /// Number of tokens in the request's segments that are prefilled and held.
    pub fn held_tokens(&self, request_id: &str) -> TokenCount {
        self.segments(request_id)
            .filter(|sequence| sequence.phase == Phase::Held)
            .map(|sequence| sequence.request.prompt_tokens)
            .sum()
    }

    /// Whether the segment at this position is prefilled and held; `None` if there is no such
    /// segment.
    pub fn holds_segment(&self, request_id: &str, start: TokenCount) -> Option<bool> {
        self.segments(request_id)
            .find(|sequence| sequence.request.start == start)
            .map(|sequence| sequence.phase == Phase::Held)
    }

    /// Number of the request with this id; segments are ignored.
    pub fn answer_number(&self, request_id: &str) -> Option<SequenceNumber> {
        self.find(request_id).map(|sequence| sequence.arrival)
    }

    /// Answer tokens generated so far for a request.
    pub fn produced(&self, request_id: &str) -> Option<TokenCount> {
        self.find(request_id).map(|sequence| sequence.produced)
    }

    /// Memory allocated to each request, its segments included.
    pub fn allocations(&self) -> Vec<BlockAllocation> {
        let mut allocations: Vec<BlockAllocation> = Vec::new();
        for sequence in &self.sequences {
            let request_id = &sequence.request.request_id;
            let blocks = sequence.allocated_blocks();
            match allocations
                .iter_mut()
                .find(|allocation| allocation.request_id == *request_id)
            {
                Some(allocation) => allocation.blocks += blocks,
                None => allocations.push(BlockAllocation {
                    request_id: request_id.clone(),
                    blocks,
                }),
            }
        }
        allocations
    }

    /// Number of requests in the batch.
    pub fn running(&self) -> usize {
        self.sequences
            .iter()
            .filter(|sequence| sequence.is_active())
            .count()
    }

    /// Number of requests that wait to enter the batch.
    pub fn waiting(&self) -> usize {
        self.sequences
            .iter()
            .filter(|sequence| sequence.phase == Phase::Waiting)
            .count()
    }

    /// Changes of the prefix cache since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        self.memory.take_changes()
    }

    /// Runs one step and advances model time to its end. Returns `None` if there is nothing to do.
    pub fn step(&mut self, slowdown: f64) -> Option<Vec<StepOutput>> {
        self.admit();
        if self.running() == 0 {
            return None;
        }
        let decode = self.decode();
        let prefill = self.prefill();
        let duration = self.options.step_base + decode + prefill;
        self.now += duration.mul_f64(slowdown);
        Some(self.collect_outputs())
    }

    fn admit(&mut self) {
        self.sequences
            .sort_by_key(|sequence| (-sequence.request.priority, sequence.arrival));
        let mut running = self.running();
        for sequence in &mut self.sequences {
            if sequence.phase != Phase::Waiting {
                continue;
            }
            if running >= self.options.max_running || !self.memory.allocate(sequence.blocks) {
                return;
            }
            running += 1;
            sequence.enter_batch(&mut self.memory);
            self.journal.record(JournalEntry {
                request_id: sequence.request.request_id.to_string(),
                event: sequence.entry_event(),
                model_time: self.now,
                bytes: sequence.produced * BYTES_PER_TOKEN,
            });
        }
    }

    fn decode(&mut self) -> Duration {
        let mut cost = Duration::ZERO;
        for sequence in &mut self.sequences {
            if sequence.phase == Phase::Decoding && !sequence.is_paused {
                sequence.produced += 1;
                sequence.has_output = true;
                cost += self.options.decode_cost;
            }
        }
        cost
    }

    fn prefill(&mut self) -> Duration {
        let mut budget = self.options.step_tokens;
        let mut cost = Duration::ZERO;
        for sequence in &mut self.sequences {
            if budget == 0 {
                break;
            }
            if sequence.phase != Phase::Prefilling {
                continue;
            }
            let tokens = sequence.remaining_prefill().min(budget);
            cost += prefill_time(
                &self.options,
                sequence.request.start + sequence.prefilled,
                tokens,
            );
            sequence.prefilled += tokens;
            budget -= tokens;
            if sequence.remaining_prefill() == 0 {
                sequence.finish_prefill();
                self.memory.cache_prefix(&sequence.request.prefix_hashes);
            }
        }
        cost
    }

    fn collect_outputs(&mut self) -> Vec<StepOutput> {
        let mut outputs = Vec::new();
        let mut index = 0;
        while index < self.sequences.len() {
            let sequence = &mut self.sequences[index];
            let has_output = std::mem::take(&mut sequence.has_output);
            if !has_output {
                index += 1;
                continue;
            }
            let finished = sequence.is_finished();
            outputs.push(StepOutput {
                number: sequence.arrival,
                request_id: sequence.request.request_id.clone(),
                produced: sequence.produced,
                cached_tokens: sequence.cached_tokens,
                finished,
            });
            if finished && sequence.request.kind == SequenceKind::Answer {
                self.remove(index, JournalEvent::Ended);
            } else {
                index += 1;
            }
        }
        outputs
    }

    fn remove(&mut self, index: usize, event: JournalEvent) {
        let sequence = self.sequences.remove(index);
        self.memory.free(sequence.allocated_blocks());
        if sequence.phase == Phase::Waiting {
            return;
        }
        self.journal.record(JournalEntry {
            request_id: sequence.request.request_id.to_string(),
            event,
            model_time: self.now,
            bytes: sequence.produced * BYTES_PER_TOKEN,
        });
    }

    fn find(&self, request_id: &str) -> Option<&Sequence> {
        self.position(request_id)
            .map(|index| &self.sequences[index])
    }

    fn position(&self, request_id: &str) -> Option<usize> {
        self.sequences
            .iter()
            .position(|sequence| !sequence.is_segment() && sequence.has_id(request_id))
    }

    fn position_with_segments(&self, request_id: &str) -> Option<usize> {
        self.sequences
            .iter()
            .position(|sequence| sequence.has_id(request_id))
    }

    fn segments(&self, request_id: &str) -> impl Iterator<Item = &Sequence> {
        self.sequences
            .iter()
            .filter(move |sequence| sequence.is_segment() && sequence.has_id(request_id))
    }
}

/// Time to prefill `tokens` from `position` on. The cost of a token grows with its position because
/// of attention.
pub fn prefill_time(options: &EngineOptions, position: TokenCount, tokens: TokenCount) -> Duration {
    let middle = position as f64 + tokens as f64 / 2.0;
    let growth = 1.0 + middle / options.cost_doubling_position as f64;
    options.prefill_cost.mul_f64(tokens as f64 * growth)
}
