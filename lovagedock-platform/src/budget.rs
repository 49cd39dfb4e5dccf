//! Rate budget of one process for its calls to the store.

use std::time::Duration;

use lovagedock::Timestamp;

use crate::{
    bucket::TokenBucket,
    store::{CallPurpose, StoreError},
};

/// Consecutive failed calls after which the store counts as unreachable.
const OUTAGE_FAILURES: u32 = 3;

/// Rate budget of one process for its calls to the store.
///
/// The store's rate limits apply to the whole fleet, and no process knows the usage of the others.
/// Each process therefore keeps to its own share, divided by purpose. Three moments at which all
/// processes would call at once are spread randomly: their start, the probes during an outage, and
/// the store's recovery.
#[derive(Debug)]
pub struct StoreBudget {
    limits: BudgetLimits,
    buckets: [TokenBucket; CallPurpose::ALL.len()],
    failures: u32,
    probe: Option<OutageProbe>,
    resume_at: Timestamp,
}

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Rate for the configuration.
    pub config: CallRate,
    /// Rate for claims and recorded answers.
    pub claim: CallRate,
    /// Rate for leases.
    pub lease: CallRate,
    /// Rate for status.
    pub status: CallRate,
    /// Rate for the host list.
    pub hosts: CallRate,
    /// Longest time that a call waits before it is refused.
    pub max_wait: Duration,
    /// The first call after the start is delayed by a random part of this.
    pub start_spread: Duration,
    /// The first calls after an outage are delayed by a random part of this.
    pub recovery_spread: Duration,
    /// First interval between two probes during an outage; each further interval is twice the
    /// previous one.
    pub first_probe_interval: Duration,
    /// Longest interval between two probes.
    pub max_probe_interval: Duration,
}

/// A steady rate and a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRate {
    /// Calls per second.
    pub per_second: f64,
    /// Calls that may be sent at once after an idle period.
    pub burst: f64,
}

impl CallRate {
    /// Creates a rate with a burst.
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst }
    }
}

impl Default for BudgetLimits {
    /// Sized for about 30 processes, whose steady rates add up to 30 x 55 = 1,650 calls per second.
    /// Only the few gateways write claims, so three of them write 90 times per second. If all load
    /// the configuration at once, they send 30 x (40 + 20) = 1,800 calls in one second.
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

/// Decision about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// Send it now.
    Proceed,
    /// Send it after this delay.
    Wait(Duration),
    /// Do not send it. The call fails with this error, which states that it had no effect.
    Refuse(StoreError),
}

/// Outcome of a call that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The store responded, possibly with a conflict.
    Responded,
    /// The store rejected the call because of its rate limit.
    RateLimited,
    /// No response arrived.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct OutageProbe {
    next_at: Timestamp,
    interval: Duration,
}

impl StoreBudget {
    /// Creates the budget of a process that starts at `now`; `jitter` is a random number from 0 to
    /// 1.
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
            // Retrying callers would all reach the store at the moment of its recovery. Only one
            // call at a time probes it. Refusing the others as without effect is correct, since
            // they were not sent.
            if now < probe.next_at {
                return BudgetDecision::Refuse(StoreError::Unavailable);
            }
            probe.next_at = now + probe.interval.mul_f64(0.5 + jitter);
            probe.interval = (probe.interval * 2).min(self.limits.max_probe_interval);
            return BudgetDecision::Proceed;
        }
        let max_wait = self.limits.max_wait;
        let Some(token_wait) = self.buckets[purpose as usize].reserve(now, max_wait) else {
            return BudgetDecision::Refuse(StoreError::RateLimited);
        };
        let wait = token_wait.max(self.resume_at.saturating_sub(now));
        match wait.is_zero() {
            true => BudgetDecision::Proceed,
            false => BudgetDecision::Wait(wait),
        }
    }

    /// Records the outcome of a call; `jitter` is a random number from 0 to 1.
    pub fn record(
        &mut self,
        purpose: CallPurpose,
        result: CallResult,
        now: Timestamp,
        jitter: f64,
    ) {
        match result {
            CallResult::Responded => self.record_response(now, jitter),
            CallResult::RateLimited => {
                self.record_response(now, jitter);
                self.buckets[purpose as usize].empty_until(now);
            }
            CallResult::Failed => self.record_failure(now, jitter),
        }
    }

    /// Whether the store counts as unreachable.
    pub fn in_outage(&self) -> bool {
        self.probe.is_some()
    }

    fn record_response(&mut self, now: Timestamp, jitter: f64) {
        self.failures = 0;
        if self.probe.take().is_none() {
            return;
        }
        // All processes detect the store's recovery within one probe interval. Discarding the
        // bursts accumulated during the outage and spreading the calls keeps them within the
        // store's rate limits.
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
