//! A store wrapper that applies the budget of the process and counts calls by purpose.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use metrics::counter;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};

use crate::{
    budget::{BudgetDecision, BudgetLimits, CallResult, StoreBudget},
    store::{
        CallPurpose, ChangeBatch, ObjectEntry, ObjectStore, ObjectVersion, PutCondition, Revision,
        StoreError, StoredObject,
    },
};

const CALLS_METRIC: &str = "lovagedock_store_calls_total";

/// Wraps the store that a process uses; all parts of the process share it.
pub struct BudgetedStore {
    inner: Arc<dyn ObjectStore>,
    started: Instant,
    state: Mutex<BudgetState>,
}

struct BudgetState {
    budget: StoreBudget,
    rng: StdRng,
}

impl BudgetedStore {
    /// Wraps `inner`. `seed` spreads the calls of different processes and should be random.
    pub fn new(inner: Arc<dyn ObjectStore>, limits: BudgetLimits, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let budget = StoreBudget::new(limits, Duration::ZERO, rng.random());
        Self {
            inner,
            started: Instant::now(),
            state: Mutex::new(BudgetState { budget, rng }),
        }
    }

    /// Whether the store counts as unreachable.
    pub fn in_outage(&self) -> bool {
        self.state.lock().budget.in_outage()
    }

    async fn admit(&self, purpose: CallPurpose) -> Result<(), StoreError> {
        let decision = {
            let mut state = self.state.lock();
            let jitter = state.rng.random();
            state.budget.admit(purpose, self.started.elapsed(), jitter)
        };
        match decision {
            BudgetDecision::Proceed => Ok(()),
            BudgetDecision::Wait(wait) => {
                sleep(wait).await;
                Ok(())
            }
            BudgetDecision::Refuse(error) => {
                count(purpose, "refused");
                Err(error)
            }
        }
    }

    fn record<T>(
        &self,
        purpose: CallPurpose,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        count(purpose, outcome_label(&result));
        let mut state = self.state.lock();
        let jitter = state.rng.random();
        let now = self.started.elapsed();
        let outcome = call_result(&result);
        state.budget.record(purpose, outcome, now, jitter);
        result
    }
}

#[async_trait]
impl ObjectStore for BudgetedStore {
    async fn get(
        &self,
        key: &str,
        purpose: CallPurpose,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.admit(purpose).await?;
        self.record(purpose, self.inner.get(key, purpose).await)
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
        purpose: CallPurpose,
    ) -> Result<ObjectVersion, StoreError> {
        self.admit(purpose).await?;
        let result = self.inner.put(key, value, condition, purpose).await;
        self.record(purpose, result)
    }

    async fn delete(
        &self,
        key: &str,
        condition: PutCondition,
        purpose: CallPurpose,
    ) -> Result<(), StoreError> {
        self.admit(purpose).await?;
        self.record(purpose, self.inner.delete(key, condition, purpose).await)
    }

    async fn list(
        &self,
        prefix: &str,
        purpose: CallPurpose,
    ) -> Result<Vec<ObjectEntry>, StoreError> {
        self.admit(purpose).await?;
        self.record(purpose, self.inner.list(prefix, purpose).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        purpose: CallPurpose,
    ) -> Result<ChangeBatch, StoreError> {
        self.admit(purpose).await?;
        let result = self.inner.watch(prefix, after, wait, purpose).await;
        self.record(purpose, result)
    }
}

fn call_result<T>(result: &Result<T, StoreError>) -> CallResult {
    match result {
        Err(StoreError::Unavailable | StoreError::OutcomeUnknown) => CallResult::Failed,
        Err(StoreError::RateLimited) => CallResult::RateLimited,
        Ok(_) | Err(StoreError::Conflict { .. } | StoreError::TooLarge | StoreError::Malformed) => {
            CallResult::Responded
        }
    }
}

fn outcome_label<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::OutcomeUnknown) => "unknown",
        Err(StoreError::Unavailable) => "unavailable",
        Err(StoreError::RateLimited) => "rate_limited",
        Err(StoreError::TooLarge) => "too_large",
        Err(StoreError::Malformed) => "malformed",
    }
}

fn count(purpose: CallPurpose, outcome: &'static str) {
    counter!(CALLS_METRIC, "purpose" => purpose.as_str(), "outcome" => outcome).increment(1);
}
