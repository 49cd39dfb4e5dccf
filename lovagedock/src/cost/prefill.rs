//! Prefill time against length, by recursive least squares.

use super::parameters::{CostParameters, NS_PER_SECOND};

/// Learns `seconds = a * linear + b * squared`.
///
/// Each observation is divided by its own duration, so that the error is relative: a prompt of a
/// thousand tokens counts as much as one of a million, and an observation that is late by a factor
/// pulls the less, the later it is. Observations that are too fast for the model (a cache hit that
/// nobody reported) are limited by a Huber weight.
#[derive(Clone, Debug)]
pub(super) struct PrefillEstimator {
    theta: [f64; 2],
    covariance: [[f64; 2]; 2],
    residual_scale: f64,
    observations: u64,
}

impl PrefillEstimator {
    pub(super) fn new(prior: &CostParameters) -> Self {
        Self {
            theta: [
                prior.prefill_ns_per_token / NS_PER_SECOND * LINEAR_UNIT,
                prior.prefill_ns_per_token_squared / NS_PER_SECOND * SQUARED_UNIT,
            ],
            covariance: [[0.0; 2]; 2],
            residual_scale: INITIAL_RESIDUAL,
            observations: 0,
        }
    }

    pub(super) fn observations(&self) -> u64 {
        self.observations
    }

    /// Nanoseconds for each token and each squared token.
    pub(super) fn coefficients(&self) -> (f64, f64) {
        (
            self.theta[0] / LINEAR_UNIT * NS_PER_SECOND,
            self.theta[1] / SQUARED_UNIT * NS_PER_SECOND,
        )
    }

    pub(super) fn observe(&mut self, linear: f64, squared: f64, seconds: f64) {
        let features = [linear / LINEAR_UNIT, squared / SQUARED_UNIT];
        if self.observations == 0 {
            self.start(features, seconds);
        }
        self.observations += 1;
        let scaled = [features[0] / seconds, features[1] / seconds];
        let residual = 1.0 - dot(scaled, self.theta);
        let weight = self.huber_weight(residual);
        self.update(scaled, residual, weight);
    }

    /// Scales the prior to the first observation: engines differ by far more in speed than in the
    /// ratio of the two coefficients, which short prompts alone cannot tell.
    fn start(&mut self, features: [f64; 2], seconds: f64) {
        let ratio = seconds / dot(features, self.theta);
        self.theta = [self.theta[0] * ratio, self.theta[1] * ratio];
        self.covariance = self.prior_covariance();
    }

    fn prior_covariance(&self) -> [[f64; 2]; 2] {
        let variance = |theta: f64| (theta * PRIOR_SPREAD).powi(2);
        [
            [variance(self.theta[0]), 0.0],
            [0.0, variance(self.theta[1])],
        ]
    }

    fn huber_weight(&mut self, residual: f64) -> f64 {
        let size = residual.abs();
        let limit = HUBER_SCALES * self.residual_scale;
        let clipped = size.min(limit);
        self.residual_scale += RESIDUAL_GAIN * (clipped - self.residual_scale);
        self.residual_scale = self.residual_scale.max(MIN_RESIDUAL);
        if size <= limit { 1.0 } else { limit / size }
    }

    fn update(&mut self, x: [f64; 2], residual: f64, weight: f64) {
        let p = self.covariance;
        let px = [dot(p[0], x), dot(p[1], x)];
        let gain_divisor = FORGETTING * NOISE_VARIANCE / weight + dot(x, px);
        let gain = [px[0] / gain_divisor, px[1] / gain_divisor];
        for i in 0..2 {
            // Neither more tokens nor a longer context can save time.
            self.theta[i] = (self.theta[i] + gain[i] * residual).max(0.0);
            for (j, pxj) in px.iter().enumerate() {
                self.covariance[i][j] = (p[i][j] - gain[i] * pxj) / FORGETTING;
            }
        }
        self.limit_covariance();
    }

    /// Forgetting lets the variance grow without end where nothing is observed, for instance that
    /// of the squared term while there are only short prompts; the first long one would then throw
    /// the estimate far off.
    fn limit_covariance(&mut self) {
        let floor = self.theta[0] * MIN_RATIO;
        let limits = [self.theta[0], self.theta[1].max(floor)].map(|t| (t * PRIOR_SPREAD).powi(2));
        for (i, limit) in limits.into_iter().enumerate() {
            let variance = self.covariance[i][i];
            if variance > limit {
                let scale = (limit / variance).sqrt();
                self.covariance[i][i] = limit;
                self.covariance[0][1] *= scale;
                self.covariance[1][0] *= scale;
            }
        }
    }
}

fn dot(a: [f64; 2], b: [f64; 2]) -> f64 {
    a[0] * b[0] + a[1] * b[1]
}

/// Units that keep both features near one for typical prompts.
const LINEAR_UNIT: f64 = 1e4;
const SQUARED_UNIT: f64 = 1e8;
/// Share of its weight that an observation keeps at each further one.
const FORGETTING: f64 = 0.99;
/// Variance of the relative error of one observation.
const NOISE_VARIANCE: f64 = 0.01;
/// Spread of the prior relative to its mean.
const PRIOR_SPREAD: f64 = 1.0;
/// Least ratio of the squared coefficient's spread to the linear coefficient, in feature units.
const MIN_RATIO: f64 = 0.001;
/// Residuals beyond this many typical residuals are limited.
const HUBER_SCALES: f64 = 2.5;
const INITIAL_RESIDUAL: f64 = 0.5;
const MIN_RESIDUAL: f64 = 0.02;
const RESIDUAL_GAIN: f64 = 0.1;
