//! A model of sidecars and links that runs a schedule of faults against a request machine.

mod checks;
mod core_engine;
mod core_sidecar;
mod gateway;
mod sidecar;
mod simulation;
mod work;

use lovagedock::RequestSafeguards;
use proptest::prelude::*;

pub(crate) use simulation::run_schedule;

/// One request and the faults that occur while it runs.
#[derive(Clone, Debug)]
pub(crate) struct FaultSchedule {
    /// Whether the sidecars use the real state machine or the model.
    pub(crate) real_sidecars: bool,
    pub(crate) non_idempotent: bool,
    pub(crate) deadline_ms: u64,
    pub(crate) faults: Vec<Fault>,
    /// Message delays in milliseconds, used cyclically.
    pub(crate) delays: Vec<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) at_ms: u64,
    pub(crate) endpoint: usize,
    pub(crate) kind: FaultKind,
    /// Duration of a silence or a partition.
    pub(crate) length_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// Open connections carry no messages for a long time. New connections work.
    Silence,
    /// No connection reaches the sidecar for a while.
    Partition,
    /// The sidecar restarts and has no state of its former incarnation.
    Restart,
    /// The engine fails all running attempts.
    EngineFails,
    /// The sidecar refuses new work.
    Drains,
    /// The next frame is lost, sent twice, delayed or damaged.
    DropFrame,
    RepeatFrame,
    DelayFrame,
    CorruptFrame,
    CallerGone,
    Stopping,
}

/// Violations of the guarantees of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    RanTwice,
    RanAfterNotRun,
    NoFinalResult,
    LateFinalResult,
    SecondFinalResult,
    /// A clean end without exactly one complete answer.
    WrongAnswer,
    /// The caller read bytes that no attempt sent, although no frame was damaged.
    MixedAnswer,
}

pub(crate) const ENDPOINTS: usize = 3;

pub(crate) fn schedules(
    real_sidecars: bool,
    min_faults: usize,
) -> impl Strategy<Value = FaultSchedule> {
    let kind = prop_oneof![
        3 => Just(FaultKind::Silence),
        3 => Just(FaultKind::Partition),
        3 => Just(FaultKind::Restart),
        1 => Just(FaultKind::EngineFails),
        1 => Just(FaultKind::Drains),
        1 => Just(FaultKind::DropFrame),
        1 => Just(FaultKind::RepeatFrame),
        1 => Just(FaultKind::DelayFrame),
        1 => Just(FaultKind::CorruptFrame),
        1 => Just(FaultKind::CallerGone),
        1 => Just(FaultKind::Stopping),
    ];
    let length = prop_oneof![100..400u64, 400..4000u64];
    let fault =
        (0..300u64, 0..ENDPOINTS, kind, length).prop_map(|(at_ms, endpoint, kind, length_ms)| {
            Fault {
                at_ms,
                endpoint,
                kind,
                length_ms,
            }
        });
    let faults = prop::collection::vec(fault, min_faults..7);
    let delays = prop::collection::vec(1..25u64, 8);
    (any::<bool>(), 200..9000u64, faults, delays).prop_map(
        move |(non_idempotent, deadline_ms, faults, delays)| FaultSchedule {
            real_sidecars,
            non_idempotent,
            deadline_ms,
            faults,
            delays,
        },
    )
}

pub(crate) fn check_schedule(
    schedule: &FaultSchedule,
    safeguards: RequestSafeguards,
) -> Result<(), Violation> {
    match run_schedule(schedule, safeguards).first() {
        Some(violation) => Err(*violation),
        None => Ok(()),
    }
}
