//! Spans of several gateways contend for engines in virtual time, with different strategies.

mod arbiter;
mod figures;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use arbiter::{EngineArbiter, Verdict};
pub(crate) use figures::ContentionFigures;
use lovagedock::ReserveBackoff;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

pub(crate) const ENGINES: usize = 12;
const ONE_WAY_MS: u64 = 2;
const REPORT_AGE_MS: u64 = 200;
const GIVE_UP_MS: u64 = 60_000;
const RESERVE_TIMEOUT: Duration = Duration::from_millis(GIVE_UP_MS);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReserveStrategy {
    /// One engine after another in the order of their names, waiting for each.
    Ordered,
    /// All at once. An older span preempts a younger one that has not begun.
    WoundWait,
    /// All at once. A refusal releases all, and another choice is tried after a pause.
    BackOff,
    /// As `BackOff`, with pauses that shrink the longer a span waits.
    AgedBackOff,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Reserve {
        engine: usize,
        span: usize,
        round: u32,
    },
    Release {
        engine: usize,
        span: usize,
        round: u32,
    },
    Answer {
        engine: usize,
        span: usize,
        round: u32,
        verdict: Verdict,
    },
    Retry {
        span: usize,
        round: u32,
    },
    GiveUp(usize),
    Done(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpanState {
    Waiting,
    Begun,
    Over,
}

struct Span {
    arrived: u64,
    size: usize,
    service_ms: u64,
    members: Vec<usize>,
    granted: Vec<usize>,
    round: u32,
    state: SpanState,
    wait_ms: Option<u64>,
}

pub(crate) struct Contention {
    strategy: ReserveStrategy,
    rng: ChaCha8Rng,
    now: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    engines: Vec<EngineArbiter>,
    /// Time and contents of the last report to placement: which engines were free.
    reported_at: u64,
    reported_free: Vec<bool>,
    spans: Vec<Span>,
    messages: u64,
    held_idle_ms: u64,
}

impl Contention {
    pub(crate) fn new(strategy: ReserveStrategy, seed: u64) -> Self {
        Self {
            strategy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            steps: BinaryHeap::new(),
            sequence: 0,
            engines: (0..ENGINES).map(|_| EngineArbiter::default()).collect(),
            reported_at: 0,
            reported_free: vec![true; ENGINES],
            spans: Vec::new(),
            messages: 0,
            held_idle_ms: 0,
        }
    }

    /// Runs `hours` of arrivals that need the share `load` of the engines' time.
    pub(crate) fn run_arrivals(mut self, load: f64, hours: u64) -> ContentionFigures {
        self.add_arrivals(load, hours * 3_600_000);
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.pass_time(at);
            self.process_step(step);
        }
        self.figures()
    }

    fn schedule(&mut self, at: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((at, self.sequence, step)));
    }

    fn send(&mut self, step: Step) {
        self.messages += 1;
        self.schedule(self.now + ONE_WAY_MS, step);
    }

    fn pass_time(&mut self, at: u64) {
        let spans = &self.spans;
        let idle = |engine: &&EngineArbiter| {
            engine
                .holder()
                .is_some_and(|span| spans[span].state != SpanState::Begun)
        };
        let held = self.engines.iter().filter(idle).count() as u64;
        self.held_idle_ms += held * (at - self.now);
        self.now = at;
    }

    fn process_step(&mut self, step: Step) {
        match step {
            Step::Arrive(span) => self.begin_round(span),
            Step::Reserve {
                engine,
                span,
                round,
            } => self.reserve(engine, span, round),
            Step::Release {
                engine,
                span,
                round,
            } => self.release(engine, span, round),
            Step::Answer {
                engine,
                span,
                round,
                verdict,
            } => {
                self.answer(engine, span, round, verdict);
            }
            Step::Retry { span, round } => {
                if self.is_current(span, round) {
                    self.begin_round(span);
                }
            }
            Step::GiveUp(span) => {
                if self.spans[span].state == SpanState::Waiting {
                    self.spans[span].state = SpanState::Over;
                    self.release_all(span);
                }
            }
            Step::Done(span) => {
                self.spans[span].state = SpanState::Over;
                self.release_all(span);
            }
        }
    }

    fn is_current(&self, span: usize, round: u32) -> bool {
        self.spans[span].round == round && self.spans[span].state == SpanState::Waiting
    }

    fn begin_round(&mut self, span: usize) {
        let members = self.place(self.spans[span].size);
        let state = &mut self.spans[span];
        state.round += 1;
        state.granted.clear();
        state.members = members;
        let round = state.round;
        let first = if self.strategy == ReserveStrategy::Ordered {
            1
        } else {
            state.size
        };
        for at in 0..first {
            let engine = self.spans[span].members[at];
            self.send(Step::Reserve {
                engine,
                span,
                round,
            });
        }
    }

    /// Chooses engines, preferring those that were free at the last report and at random among
    /// equals. The result is sorted by engine.
    fn place(&mut self, size: usize) -> Vec<usize> {
        if self.now >= self.reported_at + REPORT_AGE_MS {
            self.reported_at = self.now;
            self.reported_free = self
                .engines
                .iter()
                .map(|engine| engine.holder().is_none())
                .collect();
        }
        let mut engines: Vec<usize> = (0..ENGINES).collect();
        engines.shuffle(&mut self.rng);
        engines.sort_by_key(|engine| !self.reported_free[*engine]);
        engines.truncate(size);
        engines.sort_unstable();
        engines
    }

    fn reserve(&mut self, engine: usize, span: usize, round: u32) {
        let waits = matches!(
            self.strategy,
            ReserveStrategy::Ordered | ReserveStrategy::WoundWait
        );
        let wounds = self.strategy == ReserveStrategy::WoundWait;
        let begun = |holder: usize| self.spans[holder].state == SpanState::Begun;
        let answers = self.engines[engine].reserve(span, round, waits, wounds, begun);
        for (span, round, verdict) in answers {
            self.send(Step::Answer {
                engine,
                span,
                round,
                verdict,
            });
        }
    }

    fn release(&mut self, engine: usize, span: usize, round: u32) {
        let by_age = self.strategy == ReserveStrategy::WoundWait;
        if let Some((next, round)) = self.engines[engine].release((span, round), by_age) {
            self.send(Step::Answer {
                engine,
                span: next,
                round,
                verdict: Verdict::Granted,
            });
        }
    }

    fn answer(&mut self, engine: usize, span: usize, round: u32, verdict: Verdict) {
        if !self.is_current(span, round) {
            if verdict == Verdict::Granted && self.spans[span].state != SpanState::Begun {
                self.send(Step::Release {
                    engine,
                    span,
                    round,
                });
            }
            return;
        }
        match verdict {
            Verdict::Granted => self.granted(engine, span),
            Verdict::Refused | Verdict::Wounded => self.release_and_back_off(span),
        }
    }

    fn granted(&mut self, engine: usize, span: usize) {
        let state = &mut self.spans[span];
        state.granted.push(engine);
        if state.granted.len() == state.size {
            state.state = SpanState::Begun;
            state.wait_ms = Some(self.now - state.arrived);
            let end = self.now + state.service_ms;
            self.schedule(end, Step::Done(span));
        } else if self.strategy == ReserveStrategy::Ordered {
            let next = state.members[state.granted.len()];
            let round = state.round;
            self.send(Step::Reserve {
                engine: next,
                span,
                round,
            });
        }
    }

    fn release_and_back_off(&mut self, span: usize) {
        self.release_all(span);
        let state = &mut self.spans[span];
        state.round += 1;
        let round = state.round;
        let waited = Duration::from_millis(self.now - state.arrived);
        let backoff = ReserveBackoff::default();
        let jitter = self.rng.random::<f64>();
        let pause = match self.strategy {
            ReserveStrategy::AgedBackOff => backoff.delay(round, waited, RESERVE_TIMEOUT, jitter),
            _ => backoff.curve.delay(round, jitter),
        };
        let pause = pause.as_millis() as u64;
        self.schedule(self.now + pause, Step::Retry { span, round });
    }

    fn release_all(&mut self, span: usize) {
        let round = self.spans[span].round;
        for engine in self.spans[span].members.clone() {
            self.send(Step::Release {
                engine,
                span,
                round,
            });
        }
    }
}
