//! Simulation of a series of engine ends caused by one request, in virtual time.

use std::{collections::HashSet, time::Duration};

use lovagedock::{
    EndEvidence, EndpointProcess, ProcessEnd, RequestFingerprint, SuspectLedger, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 21;
/// Number of requests that run concurrently, and the number of requests up to which an engine is
/// preferred to the next one.
const RUNNING: usize = 9 * 14;
const PREFERRED_LOAD: usize = 9;

/// Duration of a response, of an engine's restart, and from the start of the crashing request to
/// the end of its engine.
const RESPONSE_TIME: Duration = Duration::from_secs(2);
const RESTART_TIME: Duration = Duration::from_secs(2);
const CRASH_TIME: Duration = Duration::from_millis(150);

/// Time between two submissions by the caller, and length of the simulation in such intervals. Each
/// submission has up to [`ATTEMPTS`] attempts.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(400);
const SUBMISSION_INTERVALS: u32 = 40;

/// Time of the first submission; by then all engines are in use.
const FIRST_SUBMISSION: Duration = Duration::from_secs(4);

/// Attempts per submission: two by the gateway, and two more when the caller retries at once.
const ATTEMPTS: u32 = 4;

const STEP: Duration = Duration::from_millis(10);

/// The request that ends engines. Requests of other callers are numbered from the next value on.
const CRASHING: RequestFingerprint = 0;

/// Parameters of a series.
pub(crate) struct SeriesPlan {
    pub(crate) seed: u64,
    /// Whether suspect requests are isolated from each other.
    pub(crate) isolated: bool,
}

/// Result of a series.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SeriesOutcome {
    pub(crate) others_quarantined: usize,
    pub(crate) max_ends: usize,
}

impl SeriesOutcome {
    pub(crate) fn add(&mut self, other: Self) {
        self.others_quarantined += other.others_quarantined;
        self.max_ends = self.max_ends.max(other.max_ends);
    }
}

struct RunningRequest {
    fingerprint: RequestFingerprint,
    engine: usize,
    began_at: Timestamp,
    ends_at: Timestamp,
    attempts: u32,
}

struct SeriesSimulation<'a> {
    plan: &'a SeriesPlan,
    random: ChaCha8Rng,
    ledger: SuspectLedger,
    runs: Vec<RunningRequest>,
    down_until: Vec<Timestamp>,
    ended_processes: u64,
    ends: usize,
    next: RequestFingerprint,
}

/// Simulates a series.
pub(crate) fn simulate_series(plan: &SeriesPlan) -> SeriesOutcome {
    let mut simulation = SeriesSimulation {
        plan,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        ledger: SuspectLedger::new(),
        runs: Vec::new(),
        down_until: vec![Duration::ZERO; ENGINES],
        ended_processes: 0,
        ends: 0,
        next: CRASHING + 1,
    };
    for step in 0..(SUBMISSION_INTERVAL * SUBMISSION_INTERVALS).as_millis() / STEP.as_millis() {
        simulation.step(STEP * step as u32);
    }
    let now = SUBMISSION_INTERVAL * SUBMISSION_INTERVALS;
    let quarantines = simulation.ledger.quarantines(now);
    SeriesOutcome {
        others_quarantined: quarantines.filter(|(f, _)| *f != CRASHING).count(),
        max_ends: simulation.ends,
    }
}

impl SeriesSimulation<'_> {
    fn step(&mut self, now: Timestamp) {
        let ended: Vec<usize> = (0..self.runs.len())
            .filter(|run| self.runs[*run].ends_at <= now)
            .collect();
        for run in ended.into_iter().rev() {
            // The end of an engine also removes the other requests on it.
            if run >= self.runs.len() || self.runs[run].ends_at > now {
                continue;
            }
            if self.runs[run].fingerprint == CRASHING {
                let engine = self.runs[run].engine;
                self.end_engine(now, engine);
                continue;
            }
            let run = self.runs.swap_remove(run);
            self.ledger.record_served(now, run.fingerprint);
        }
        if now >= FIRST_SUBMISSION
            && now
                .as_millis()
                .is_multiple_of(SUBMISSION_INTERVAL.as_millis())
        {
            self.place(now, CRASHING, 1);
        }
        while self.runs.len() < RUNNING {
            let fingerprint = self.next;
            self.next += 1;
            self.place(now, fingerprint, 1);
        }
    }

    fn end_engine(&mut self, now: Timestamp, engine: usize) {
        self.ends += 1;
        self.ended_processes += 1;
        self.down_until[engine] = now + RESTART_TIME;
        let process = EndpointProcess::new(format!("i-{}", self.ended_processes).as_str(), 1);
        let all = std::mem::take(&mut self.runs);
        let (lost, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(|run| run.engine == engine);
        self.runs = kept;
        for run in &lost {
            let evidence = EndEvidence::new(true, now.saturating_sub(run.began_at));
            let end = ProcessEnd::new(&process, evidence);
            self.ledger.record_end(now, run.fingerprint, end);
        }
        for run in lost {
            if run.attempts < ATTEMPTS {
                self.place(now, run.fingerprint, run.attempts + 1);
            }
        }
    }

    /// Places a request on the first engine with free capacity. Like placement, this concentrates
    /// short prompts on few engines, so that others stay free for long ones.
    fn place(&mut self, now: Timestamp, fingerprint: RequestFingerprint, attempts: u32) {
        if self.ledger.quarantined_for(now, fingerprint).is_some() {
            return;
        }
        let is_suspect = self.ledger.is_suspect(fingerprint);
        let mut engines: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.down_until[*engine] <= now)
            .collect();
        if is_suspect && self.plan.isolated {
            let suspects = self.runs.iter();
            let suspects = suspects.filter(|run| self.ledger.is_suspect(run.fingerprint));
            let occupied: HashSet<usize> = suspects.map(|run| run.engine).collect();
            if engines.iter().any(|engine| !occupied.contains(engine)) {
                engines.retain(|engine| !occupied.contains(engine));
            }
        }
        let mut load = [0; ENGINES];
        self.runs.iter().for_each(|run| load[run.engine] += 1);
        engines.sort_by_key(|engine| (load[*engine].max(PREFERRED_LOAD), *engine));
        let choice_count = match is_suspect && self.plan.isolated {
            true => engines.len().div_ceil(2),
            false => 2,
        };
        let Some(engine) = engines
            .get(self.random.random_range(0..choice_count.max(1)))
            .copied()
        else {
            return;
        };
        let run_time = match fingerprint {
            CRASHING => CRASH_TIME,
            _ => RESPONSE_TIME.mul_f64(self.random.random_range(0.5..1.5)),
        };
        self.runs.push(RunningRequest {
            fingerprint,
            engine,
            began_at: now,
            ends_at: now + run_time,
            attempts,
        });
    }
}
