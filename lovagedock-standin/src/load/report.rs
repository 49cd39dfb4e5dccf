//! Report of one run.

use std::{collections::BTreeMap, ops::AddAssign, time::Duration};

use lovagedock::{LengthBucket, RanState, ResultCode, Timestamp};
use serde::Serialize;

use super::{
    journal::{CallOutcome, CallRecord, CallerJournal},
    quantiles::{LengthTable, QuantileSummary},
    violations::ViolationCounts,
};

/// Version of the report's format.
const SCHEMA: u32 = 1;
/// Buckets of short prompts, whose slowdown by long prompts is reported.
const SHORT_BUCKETS: [LengthBucket; 2] = [LengthBucket::K1, LengthBucket::K4];

/// Metadata that identifies a run.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportMetadata {
    /// Seed of the plan.
    pub seed: u64,
    /// Placement policy of the run.
    pub policy: String,
    /// Name of the mix.
    pub mix: String,
    /// Duration of the plan.
    pub duration: Duration,
    /// Earliest time of a long prompt, on the clock of the journal.
    pub long_start: Timestamp,
    /// Model time of the stand-in engines per unit of real time. Latencies are reported in model
    /// time.
    pub time_scale: f64,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Version of the format.
    pub schema: u32,
    /// Seed of the plan.
    pub seed: u64,
    /// Placement policy.
    pub policy: String,
    /// Name of the mix.
    pub mix: String,
    /// Duration of the plan in seconds.
    pub duration_s: f64,
    /// Model time per unit of real time; `ttft_ms` and `itl_ms` are model time.
    pub time_scale: f64,
    /// Time from the planned time of a call to the first token of its streamed response.
    pub ttft_ms: LengthTable<QuantileSummary>,
    /// Time between consecutive chunks of a streamed response.
    pub itl_ms: IntervalSummary,
    /// p95 of the time to first token of short prompts while long prompts are sent, divided by the
    /// p95 before; 0 if one of the two parts has no samples.
    pub short_slowdown_p95: f64,
    /// Number of calls by outcome.
    pub outcomes: OutcomeCounts,
    /// Calls that did not complete, by prompt length and result code.
    pub problems: Vec<ProblemCount>,
    /// Violated guarantees.
    pub violations: ViolationCounts,
    /// Overhead of the control plane; all 0 if it was not measured.
    pub control: ControlOverhead,
    /// Whether `control` was measured.
    pub control_measured: bool,
}

/// Quantiles of the time between chunks, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct IntervalSummary {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
}

/// Number of calls by outcome. The sum is the number of calls sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Complete responses.
    pub complete: u64,
    /// Refused without being run, or no gateway could be reached.
    pub refused_not_run: u64,
    /// Failed after the request ran.
    pub failed: u64,
    /// Failed, and it is unknown whether the request ran.
    pub unknown: u64,
    /// Ended by their deadline.
    pub timed_out: u64,
}

impl OutcomeCounts {
    /// Counts the calls of a journal by outcome.
    pub fn new(journal: &CallerJournal) -> Self {
        let mut counts = Self::default();
        for call in &journal.calls {
            *counts.counter(call.outcome) += 1;
        }
        counts
    }

    /// Total number of calls.
    pub fn total(&self) -> u64 {
        self.complete + self.refused_not_run + self.failed + self.unknown + self.timed_out
    }

    fn counter(&mut self, outcome: CallOutcome) -> &mut u64 {
        match outcome {
            CallOutcome::Complete => &mut self.complete,
            CallOutcome::Problem { code, .. } if is_deadline_code(code) => &mut self.timed_out,
            CallOutcome::Problem { ran, .. } => match ran {
                RanState::No => &mut self.refused_not_run,
                RanState::Yes => &mut self.failed,
                RanState::Unknown => &mut self.unknown,
            },
            CallOutcome::Unsent => &mut self.refused_not_run,
            CallOutcome::Broken | CallOutcome::NoOutcome => &mut self.unknown,
        }
    }
}

impl AddAssign for OutcomeCounts {
    fn add_assign(&mut self, other: Self) {
        self.complete += other.complete;
        self.refused_not_run += other.refused_not_run;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.timed_out += other.timed_out;
    }
}

/// Number of calls with one prompt length and one result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ProblemCount {
    /// Length bucket of the prompt; `plain` for a call of a plain service.
    pub bucket: &'static str,
    /// Number of the result code; 0 if there was no connection, it broke, or nothing was received.
    pub code: u16,
    /// Number of calls.
    pub n: u64,
}

/// Resources that gateways and sidecars use for the control plane, without serving calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ControlOverhead {
    /// CPU time in percent of one core.
    pub cpu_pct: f64,
    /// Resident memory in MiB.
    pub rss_mb: f64,
    /// Bytes per second that one process sends and receives.
    pub bytes_per_s: f64,
    /// Reads of the platform's store per second by all processes, waiting watches included.
    pub store_reads_per_s: f64,
    /// Writes to the platform's store per second by all processes.
    pub store_writes_per_s: f64,
}

impl LoadReport {
    /// Computes the report of a run; `control` is `None` if it was not measured.
    pub fn new(
        metadata: &ReportMetadata,
        journal: &CallerJournal,
        violations: ViolationCounts,
        control: Option<ControlOverhead>,
    ) -> Self {
        let gaps = journal.calls.iter().flat_map(|call| &call.token_gaps);
        let gaps = QuantileSummary::new(gaps.map(|gap| gap.mul_f64(metadata.time_scale)));
        Self {
            schema: SCHEMA,
            seed: metadata.seed,
            policy: metadata.policy.clone(),
            mix: metadata.mix.clone(),
            duration_s: metadata.duration.as_secs_f64(),
            time_scale: metadata.time_scale,
            ttft_ms: LengthTable::from_buckets(|bucket| {
                ttft_summary(journal, metadata, |call| call.bucket == Some(bucket))
            }),
            itl_ms: IntervalSummary {
                p50: gaps.p50,
                p95: gaps.p95,
            },
            short_slowdown_p95: short_slowdown(journal, metadata),
            outcomes: OutcomeCounts::new(journal),
            problems: count_problems(journal),
            violations,
            control: control.unwrap_or_default(),
            control_measured: control.is_some(),
        }
    }
}

fn count_problems(journal: &CallerJournal) -> Vec<ProblemCount> {
    let mut counts: BTreeMap<(Option<LengthBucket>, u16), u64> = BTreeMap::new();
    for call in &journal.calls {
        let code = match call.outcome {
            CallOutcome::Complete => continue,
            CallOutcome::Problem { code, .. } => code,
            CallOutcome::Broken | CallOutcome::Unsent | CallOutcome::NoOutcome => 0,
        };
        *counts.entry((call.bucket, code)).or_default() += 1;
    }
    counts
        .into_iter()
        .map(|((bucket, code), n)| ProblemCount {
            bucket: bucket.map_or("plain", LengthBucket::as_str),
            code,
            n,
        })
        .collect()
}

fn ttft_summary(
    journal: &CallerJournal,
    metadata: &ReportMetadata,
    is_included: impl Fn(&CallRecord) -> bool,
) -> QuantileSummary {
    let samples = journal
        .calls
        .iter()
        .filter(|call| is_included(call))
        .filter_map(|call| {
            let ttft = call.first_token_at?.saturating_sub(call.intended_at);
            Some(ttft.mul_f64(metadata.time_scale))
        });
    QuantileSummary::new(samples)
}

fn short_slowdown(journal: &CallerJournal, metadata: &ReportMetadata) -> f64 {
    let is_short = |call: &CallRecord| call.bucket.is_some_and(|it| SHORT_BUCKETS.contains(&it));
    let baseline = ttft_summary(journal, metadata, |call| {
        is_short(call) && call.intended_at < metadata.long_start
    });
    let with_long = ttft_summary(journal, metadata, |call| {
        is_short(call) && call.intended_at >= metadata.long_start
    });
    if baseline.n == 0 || with_long.n == 0 {
        return 0.0;
    }
    with_long.p95 / baseline.p95
}

fn is_deadline_code(code: u16) -> bool {
    let code = ResultCode::from_number(code);
    matches!(
        code,
        Some(ResultCode::ExpiredWaiting | ResultCode::ExpiredRunning)
    )
}
