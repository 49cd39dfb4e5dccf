//! Random schedules for the simulation of a sidecar.

use lovagedock::RequestId;
use proptest::prelude::*;

/// One step of a schedule. Steps of the engine select a run by index.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Wait(u64),
    Submit(StepOrder),
    Revoke(StepKey),
    Cancel(StepKey),
    Resume(StepKey, u64),
    SinkLost(StepKey),
    Started(usize),
    Bytes(usize, u64),
    Finish(usize),
    Fail(usize),
    RefuseRun(usize),
    RepeatEnd,
    StaleAllocations,
    LoseCancels(u32),
    EngineCrashes,
    EngineReconnects,
    Restart,
    Reserve(StepKey, u64, u64),
    Renew(StepKey, u64),
    Release(StepKey),
    Segment(StepKey),
    Drain(bool),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct StepKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct StepOrder {
    pub(crate) key: StepKey,
    pub(crate) prompt: u64,
    pub(crate) remaining_ms: u64,
    pub(crate) tier: u8,
    pub(crate) non_idempotent: bool,
    pub(crate) span: bool,
    pub(crate) other_incarnation: bool,
}

/// Generates random schedules of up to `length` steps.
pub(crate) fn schedules(length: usize) -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(step(), 1..length)
}

fn key() -> impl Strategy<Value = StepKey> {
    (0..6u128, 1..4u32).prop_map(|(request, attempt)| StepKey { request, attempt })
}

fn order() -> impl Strategy<Value = StepOrder> {
    let flags = (0..10u8, 0..8u8, 0..12u8);
    let sizes = (10..700u64, 500..20_000u64, 0..3u8);
    (key(), sizes, flags).prop_map(|(key, sizes, flags)| StepOrder {
        key,
        prompt: sizes.0,
        remaining_ms: sizes.1,
        tier: sizes.2,
        non_idempotent: flags.0 < 3,
        span: flags.1 == 0,
        other_incarnation: flags.2 == 0,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let run = || 0..8usize;
    let traffic = prop_oneof![
        8 => (10..3_000u64).prop_map(Step::Wait),
        10 => order().prop_map(Step::Submit),
        3 => key().prop_map(Step::Revoke),
        2 => key().prop_map(Step::Cancel),
        2 => (key(), 0..20u64).prop_map(|(key, offset)| Step::Resume(key, offset)),
        3 => key().prop_map(Step::SinkLost),
        3 => run().prop_map(Step::Started),
        4 => (run(), 1..20u64).prop_map(|(run, length)| Step::Bytes(run, length)),
        4 => run().prop_map(Step::Finish),
        1 => run().prop_map(Step::Fail),
        1 => run().prop_map(Step::RefuseRun),
    ];
    let faults = prop_oneof![
        2 => Just(Step::RepeatEnd),
        2 => Just(Step::StaleAllocations),
        2 => (1..6u32).prop_map(Step::LoseCancels),
        1 => Just(Step::EngineCrashes),
        1 => Just(Step::EngineReconnects),
        1 => Just(Step::Restart),
        2 => any::<bool>().prop_map(Step::Drain),
    ];
    let hold = || 100..8_000u64;
    let spans = prop_oneof![
        (key(), 10..500u64, hold())
            .prop_map(|(key, tokens, hold)| Step::Reserve(key, tokens, hold)),
        (key(), hold()).prop_map(|(key, hold)| Step::Renew(key, hold)),
        key().prop_map(Step::Release),
        key().prop_map(Step::Segment),
    ];
    prop_oneof![8 => traffic, 1 => faults, 1 => spans]
}
