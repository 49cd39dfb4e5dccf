//! Tests of the budget of one process and of the combined load of many processes on the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock_platform::{
    BudgetDecision, BudgetLimits, BudgetedStore, CallKind, CallPurpose, CallResult, MemoryFault,
    MemoryStore, ObjectStore, PutCondition, StoreBudget, StoreError,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const PROCESSES: usize = 30;
/// Calls that each process sends at once.
const CALLS: usize = 200;
const TICK: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits() -> BudgetLimits {
    BudgetLimits {
        start_spread: Duration::ZERO,
        ..BudgetLimits::default()
    }
}

#[test]
fn an_overloaded_purpose_does_not_starve_another() {
    let mut budget = StoreBudget::new(limits(), Duration::ZERO, 0.5);
    let mut decisions = (0..200).map(|_| budget.admit(CallPurpose::Config, at(0), 0.5));
    assert!(
        decisions
            .by_ref()
            .take(40)
            .all(|decision| decision == BudgetDecision::Proceed)
    );
    assert_eq!(decisions.next(), Some(BudgetDecision::Wait(at(50))));
    let refused = BudgetDecision::Refuse(StoreError::RateLimited);
    assert_eq!(decisions.last(), Some(refused));
    assert_eq!(
        budget.admit(CallPurpose::Lease, at(0), 0.5),
        BudgetDecision::Proceed
    );
}

/// During an outage each process sends one probe at a time, at increasing intervals, and its other
/// calls fail at once without effect. The first response ends the outage.
#[test]
fn outage_is_probed_and_recovery_is_spread() {
    let mut budget = StoreBudget::new(limits(), Duration::ZERO, 0.5);
    let admit = |budget: &mut StoreBudget, now| budget.admit(CallPurpose::Claim, now, 0.5);
    for _ in 0..3 {
        assert!(!budget.in_outage());
        assert_eq!(admit(&mut budget, at(0)), BudgetDecision::Proceed);
        budget.record(CallPurpose::Claim, CallResult::Failed, at(0), 0.5);
    }
    let refused = BudgetDecision::Refuse(StoreError::Unavailable);
    assert_eq!(admit(&mut budget, at(249)), refused);
    assert_eq!(admit(&mut budget, at(250)), BudgetDecision::Proceed);
    budget.record(CallPurpose::Claim, CallResult::Failed, at(260), 0.5);
    assert_eq!(admit(&mut budget, at(499)), refused);
    assert_eq!(admit(&mut budget, at(500)), BudgetDecision::Proceed);
    assert_eq!(admit(&mut budget, at(999)), refused);
    budget.record(CallPurpose::Claim, CallResult::Responded, at(999), 0.5);
    // Half of the recovery spread of one second, plus the wait for the first token at 30 claims per
    // second.
    assert_eq!(
        admit(&mut budget, at(999)),
        BudgetDecision::Wait(at(500) + Duration::from_secs(1) / 30)
    );
}

struct DemandCase {
    name: &'static str,
    outage: bool,
    /// Maximum number of calls that the store may receive in any second.
    max_per_second: usize,
}

/// Thirty processes load a large configuration at the same moment, because all of them start or the
/// store recovers after an outage. The store allows 2,000 reads per second and would otherwise
/// receive all 6,000 at once. At the start it receives the bursts and the steady rates; after an
/// outage only the steady rates, since the bursts accumulated during the outage are discarded.
#[test]
fn fleet_stays_within_the_store_rate_under_simultaneous_load() {
    let cases = [
        DemandCase {
            name: "start",
            outage: false,
            max_per_second: 1_900,
        },
        DemandCase {
            name: "recovery",
            outage: true,
            max_per_second: 700,
        },
    ];
    for case in cases {
        let mut rng = StdRng::seed_from_u64(7);
        let mut sent_at = Vec::new();
        for _ in 0..PROCESSES {
            let mut budget = StoreBudget::new(BudgetLimits::default(), at(0), rng.random());
            let mut now = at(0);
            if case.outage {
                for _ in 0..3 {
                    budget.record(CallPurpose::Config, CallResult::Failed, now, rng.random());
                }
                while budget.admit(CallPurpose::Config, now, rng.random())
                    != BudgetDecision::Proceed
                {
                    now += TICK;
                }
                budget.record(
                    CallPurpose::Config,
                    CallResult::Responded,
                    now,
                    rng.random(),
                );
            }
            let mut remaining = CALLS;
            while remaining > 0 {
                match budget.admit(CallPurpose::Config, now, rng.random()) {
                    BudgetDecision::Proceed => sent_at.push(now),
                    BudgetDecision::Wait(wait) => sent_at.push(now + wait),
                    BudgetDecision::Refuse(_) => {
                        now += at(500);
                        continue;
                    }
                }
                remaining -= 1;
            }
        }
        assert_eq!(sent_at.len(), PROCESSES * CALLS);
        let busiest = busiest_second(&mut sent_at);
        assert!(busiest <= case.max_per_second, "{}: {busiest}", case.name);
    }
}

fn busiest_second(sent_at: &mut [Duration]) -> usize {
    sent_at.sort_unstable();
    let in_second = |at: usize| {
        let end = sent_at[at] + Duration::from_secs(1);
        sent_at.partition_point(|sent| *sent < end) - at
    };
    (0..sent_at.len()).map(in_second).max().unwrap_or_default()
}

/// While the store is unavailable, three calls detect the outage and the others fail without
/// reaching it. After its recovery a probe lets calls through again.
#[tokio::test(start_paused = true)]
async fn calls_in_an_outage_do_not_reach_the_store() {
    let memory = Arc::new(MemoryStore::new());
    let store = BudgetedStore::new(memory.clone(), limits(), 7);
    memory.script_fault(CallKind::Write, "", 0, u32::MAX, MemoryFault::Down);
    let put = || store.put("a", Bytes::new(), PutCondition::Any, CallPurpose::Claim);
    for _ in 0..50 {
        assert_eq!(put().await, Err(StoreError::Unavailable));
    }
    assert_eq!(memory.counts().writes, 3);
    assert!(store.in_outage());
    memory.clear_faults();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(put().await, Ok(1));
    assert!(!store.in_outage());
    assert_eq!(put().await, Ok(2));
}
