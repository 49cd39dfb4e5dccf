//! How much of the store's rates one process may use, and when.

use std::time::Duration;

use lovagedock::Timestamp;

use crate::{
    bucket::TokenBucket,
    store::{CallPurpose, StoreError},
};

/// Calls that fail one after the other before the store counts as out of reach.
const OUTAGE_FAILURES: u32 = 3;

/// Budget of one process for its calls to the store.
///
/// The store's rates are for the whole fleet, and no process knows what the others do. Each keeps
/// to a share of its own by purpose, and three moments at which all would call together are
/// spread by chance: their start, the probes during an outage, and the store's return.
#[derive(Debug)]
pub struct StoreBudget {
    limits: BudgetLimits,
    buckets: [TokenBucket; CallPurpose::ALL.len()],
    failures: u32,
    probe: Option<OutageProbe>,
    resume_at: Timestamp,
}

/// What a process may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// For the configuration.
    pub config: CallRate,
    /// For claims and recorded answers.
    pub claim: CallRate,
    /// For leases.
    pub lease: CallRate,
    /// For status.
    pub status: CallRate,
    /// For the host list.
    pub hosts: CallRate,
    /// Longest time that a call waits for its turn before it is refused.
    pub max_wait: Duration,
    /// The first call after the start waits a random part of this.
    pub start_spread: Duration,
    /// After an outage the first calls wait a random part of this.
    pub recovery_spread: Duration,
    /// First pause between two probes during an outage; each is twice the one before.
    pub first_probe_interval: Duration,
    /// Longest pause between two probes.
    pub max_probe_interval: Duration,
}

/// A steady rate and a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRate {
    /// Calls a second.
    pub per_second: f64,
    /// Calls at once after a quiet time.
    pub burst: f64,
}

impl CallRate {
    /// A rate and a burst.
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst }
    }
}

impl Default for BudgetLimits {
    /// Meant for about 30 processes, whose steady rates add up to 30 x 55 = 1,650 calls a second.
    /// Only the few gateways write claims, so that three of them write 90 times a second. When
    /// all load the configuration at once they send 30 x (40 + 20) = 1,800 calls in a second.
    fn default() -> Self {
        Self {
            config: CallRate::new(20.0, 40.0),
            claim: CallRate::new(30.0, 60.0),
            lease: CallRate::new(2.0, 8.0),
            status: CallRate::new(2.0, 8.0),
            hosts: CallRate::new(1.0, 2.0),
            max_wait: Duration::from_secs(2),
            start_spread: Duration::from_millis(300),
            recovery_spread: Duration::from_secs(1),
            first_probe_interval: Duration::from_millis(250),
            max_probe_interval: Duration::from_secs(4),
        }
    }
}

impl BudgetLimits {
    fn rate(&self, purpose: CallPurpose) -> CallRate {
        match purpose {
            CallPurpose::Config => self.config,
            CallPurpose::Claim => self.claim,
            CallPurpose::Lease => self.lease,
            CallPurpose::Status => self.status,
            CallPurpose::Hosts => self.hosts,
        }
    }
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// Send it now.
    Proceed,
    /// Send it after this time.
    Wait(Duration),
    /// Do not send it; it fails with this error, which says that it had no effect.
    Refuse(StoreError),
}

/// How a call that was sent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The store answered, be it with a conflict.
    Answered,
    /// The store refused because of a rate.
    RateLimited,
    /// No answer came.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct OutageProbe {
    next_at: Timestamp,
    interval: Duration,
}

impl StoreBudget {
    /// A budget of a process that starts at `now`; `jitter` is a random number from 0 to 1.
    pub fn new(limits: BudgetLimits, now: Timestamp, jitter: f64) -> Self {
        let bucket = |purpose: CallPurpose| {
            let rate = limits.rate(purpose);
            TokenBucket::new(rate.per_second, rate.burst, now)
        };
        Self {
            limits,
            buckets: CallPurpose::ALL.map(bucket),
            failures: 0,
            probe: None,
            resume_at: now + limits.start_spread.mul_f64(jitter),
        }
    }

    /// Decides on a call; `jitter` is a random number from 0 to 1.
    pub fn admit(&mut self, purpose: CallPurpose, now: Timestamp, jitter: f64) -> BudgetDecision {
        if let Some(probe) = &mut self.probe {
            // Callers that retry would all hit the store in the moment of its return. One call
            // at a time finds out, and refusing the others is truthful: they had no effect.
            if now < probe.next_at {
                return BudgetDecision::Refuse(StoreError::Unavailable);
            }
            probe.next_at = now + probe.interval.mul_f64(0.5 + jitter);
            probe.interval = (probe.interval * 2).min(self.limits.max_probe_interval);
            return BudgetDecision::Proceed;
        }
        let max_wait = self.limits.max_wait;
        let Some(turn) = self.buckets[purpose as usize].reserve(now, max_wait) else {
            return BudgetDecision::Refuse(StoreError::RateLimited);
        };
        let wait = turn.max(self.resume_at.saturating_sub(now));
        match wait.is_zero() {
            true => BudgetDecision::Proceed,
            false => BudgetDecision::Wait(wait),
        }
    }

    /// Takes in how a call ended; `jitter` is a random number from 0 to 1.
    pub fn record(
        &mut self,
        purpose: CallPurpose,
        result: CallResult,
        now: Timestamp,
        jitter: f64,
    ) {
        match result {
            CallResult::Answered => self.record_answer(now, jitter),
            CallResult::RateLimited => {
                self.record_answer(now, jitter);
                self.buckets[purpose as usize].empty_until(now);
            }
            CallResult::Failed => self.record_failure(now, jitter),
        }
    }

    /// Whether the store counts as out of reach.
    pub fn in_outage(&self) -> bool {
        self.probe.is_some()
    }

    fn record_answer(&mut self, now: Timestamp, jitter: f64) {
        self.failures = 0;
        if self.probe.take().is_none() {
            return;
        }
        // All processes see the store's return within one probe. Without the bursts they saved
        // up during the outage, and spread over a while, they stay under the store's rates.
        self.resume_at = now + self.limits.recovery_spread.mul_f64(jitter);
        for bucket in &mut self.buckets {
            bucket.empty_until(self.resume_at);
        }
    }

    fn record_failure(&mut self, now: Timestamp, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < OUTAGE_FAILURES || self.probe.is_some() {
            return;
        }
        let interval = self.limits.first_probe_interval;
        self.probe = Some(OutageProbe {
            next_at: now + interval.mul_f64(0.5 + jitter),
            interval,
        });
    }
}
