//! Errors of the predictions relative to the observed times.

use crate::length::LengthBucket;

/// Smoothed relative error of the prefill predictions of one length bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PredictionError {
    /// Number of predictions compared with an observation.
    pub count: u64,
    /// Mean of `|predicted - observed| / observed`.
    pub absolute: f64,
    /// Mean of `(predicted - observed) / observed`; positive if predictions are too long.
    pub bias: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct ErrorTable {
    buckets: [PredictionError; LengthBucket::ALL.len()],
}

impl ErrorTable {
    pub(super) fn record(&mut self, bucket: LengthBucket, predicted: f64, observed: f64) {
        let error = &mut self.buckets[bucket.index()];
        let relative = (predicted - observed) / observed;
        error.count += 1;
        let gain = ERROR_GAIN.max(1.0 / error.count as f64);
        error.absolute += gain * (relative.abs() - error.absolute);
        error.bias += gain * (relative - error.bias);
    }

    pub(super) fn get(&self, bucket: LengthBucket) -> PredictionError {
        self.buckets[bucket.index()]
    }
}

const ERROR_GAIN: f64 = 0.05;
