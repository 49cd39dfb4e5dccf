//! Load generator: seeded arrivals, callers, journals, violations and the report.
//!
//! Arrivals are planned before the run and do not wait for responses (open loop). Latency is
//! measured from the planned time. A stall of the system therefore shows in the latency of every
//! call that was planned during the stall.

mod caller;
mod collect;
mod fetch;
mod journal;
mod message;
mod mix;
mod prompt;
mod quantiles;
mod report;
mod runner;
mod schedule;
mod sse;
mod table;
mod violations;

pub use caller::{CallerClient, CallerError, GatewayTarget};
pub use collect::ClockOrigin;
pub use fetch::{StandinTarget, fetch_engine, fetch_service};
pub use journal::{
    AnswerCheck, CallOutcome, CallRecord, CallerJournal, ConfigChange, DrainRecord, DrainTarget,
    ExcludedTarget, ExecutionJournal, ExecutionRecord, FleetJournal, LeakRecord,
};
pub use mix::{BucketMix, CallerMix, KeyedMix, MixSpec, ModelPath, PlainMix, TokenRange};
pub use prompt::{PromptSeed, prompt_text};
pub use quantiles::{LengthTable, QuantileSummary};
pub use report::{
    ControlOverhead, IntervalSummary, LoadReport, OutcomeCounts, ProblemCount, ReportMetadata,
};
pub use runner::{LoadRunner, RunProgress};
pub use schedule::{CallBody, ModelCall, PlannedCall, long_start, plan_calls};
pub use sse::{SseEvent, SseParser};
pub use table::render_table;
pub use violations::{
    ViolationCounts, ViolationDetail, ViolationLimits, count_violations, list_violations,
};
