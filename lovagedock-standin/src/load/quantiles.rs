//! Latency quantiles and tables by prompt length, as they appear in the report.

use std::time::Duration;

use hdrhistogram::Histogram;
use lovagedock::LengthBucket;
use serde::Serialize;

const MAX_MICROSECONDS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Quantiles of a latency in milliseconds; all 0 if there are no samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct QuantileSummary {
    /// Number of samples.
    pub n: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl QuantileSummary {
    /// Summarises samples with a precision of three significant digits.
    pub fn new(samples: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid");
        for sample in samples {
            let microseconds = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(microseconds.max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let quantile = |quantile: f64| {
            histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND
        };
        Self {
            n: histogram.len(),
            p50: quantile(0.5),
            p95: quantile(0.95),
            p99: quantile(0.99),
        }
    }
}

/// One value per bucket of prompt length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LengthTable<T> {
    /// Up to 2,000 tokens.
    #[serde(rename = "1k")]
    pub k1: T,
    /// Up to 8,000 tokens.
    #[serde(rename = "4k")]
    pub k4: T,
    /// Up to 32,000 tokens.
    #[serde(rename = "16k")]
    pub k16: T,
    /// Up to 128,000 tokens.
    #[serde(rename = "64k")]
    pub k64: T,
    /// Up to 512,000 tokens.
    #[serde(rename = "256k")]
    pub k256: T,
    /// More than 512,000 tokens.
    #[serde(rename = "1m")]
    pub m1: T,
}

impl<T> LengthTable<T> {
    /// Creates a table by calling `value` for each bucket.
    pub fn from_buckets(mut value: impl FnMut(LengthBucket) -> T) -> Self {
        Self {
            k1: value(LengthBucket::K1),
            k4: value(LengthBucket::K4),
            k16: value(LengthBucket::K16),
            k64: value(LengthBucket::K64),
            k256: value(LengthBucket::K256),
            m1: value(LengthBucket::M1),
        }
    }

    /// Value of one bucket.
    pub fn get(&self, bucket: LengthBucket) -> &T {
        match bucket {
            LengthBucket::K1 => &self.k1,
            LengthBucket::K4 => &self.k4,
            LengthBucket::K16 => &self.k16,
            LengthBucket::K64 => &self.k64,
            LengthBucket::K256 => &self.k256,
            LengthBucket::M1 => &self.m1,
        }
    }
}
