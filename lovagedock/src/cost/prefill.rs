//! Estimates prefill time as a function of prompt length by recursive least squares.

use super::parameters::{CostParameters, NS_PER_SECOND};

/// Learns `seconds = a * linear + b * squared`.
///
/// Errors are relative, so a prompt of a thousand tokens counts as much as one of a million. Each
/// observation is divided by its own duration, so the weight of a delayed observation decreases
/// with its delay. An observation that is far too fast for the model, such as an unreported cache
/// hit, is divided by part of the prediction instead. A Huber weight limits the remaining effect of
/// both kinds of outlier.
#[derive(Clone, Debug)]
pub(super) struct PrefillEstimator {
    theta: [f64; 2],
    covariance: [[f64; 2]; 2],
    residual_scale: f64,
    /// Number of consecutive clipped residuals of the same sign; negative if the engine was faster
    /// than predicted.
    streak: i32,
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
            streak: 0,
            observations: 0,
        }
    }

    pub(super) fn observations(&self) -> u64 {
        self.observations
    }

    /// Returns the nanoseconds per token and per squared token.
    pub(super) fn coefficients(&self) -> (f64, f64) {
        (
            self.theta[0] / LINEAR_UNIT * NS_PER_SECOND,
            self.theta[1] / SQUARED_UNIT * NS_PER_SECOND,
        )
    }

    pub(super) fn observe(&mut self, linear: f64, squared: f64, seconds: f64) {
        let features = [linear / LINEAR_UNIT, squared / SQUARED_UNIT];
        if self.observations == 0 {
            self.scale_prior(features, seconds);
        }
        self.observations += 1;
        let predicted = dot(features, self.theta);
        let scale = seconds.max(predicted * MIN_OBSERVED_RATIO);
        let scaled = [features[0] / scale, features[1] / scale];
        let residual = (seconds - predicted) / scale;
        let weight = self.huber_weight(residual);
        self.update_coefficients(scaled, residual, weight);
    }

    /// Scales the prior to the first observation. Engines differ far more in speed than in the
    /// ratio of the two coefficients, and short prompts alone do not determine that ratio.
    fn scale_prior(&mut self, features: [f64; 2], seconds: f64) {
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
        if size <= limit {
            self.streak = 0;
            return 1.0;
        }
        self.track_streak(residual);
        limit / size
    }

    /// Resets the estimate after several consecutive outliers on the same side. Ordinary outliers
    /// are rare and occur on both sides. A series on one side means that the engine's speed has
    /// changed and that earlier observations no longer apply.
    fn track_streak(&mut self, residual: f64) {
        let sign = if residual > 0.0 { 1 } else { -1 };
        let continued = self.streak.signum() == sign;
        self.streak = if continued { self.streak + sign } else { sign };
        if self.streak.abs() >= CHANGE_STREAK {
            self.streak = 0;
            self.residual_scale = INITIAL_RESIDUAL;
            self.covariance = self.prior_covariance();
        }
    }

    /// Performs a least-squares step with directional forgetting.
    ///
    /// Exponential forgetting lets the variance grow without bound in a direction that is not
    /// observed, such as that of the squared term while there are only short prompts. Noise then
    /// moves the coefficient far from its true value, and the first long prompt is mispredicted.
    /// Directional forgetting maintains the variance only in the direction of the observation.
    fn update_coefficients(&mut self, x: [f64; 2], residual: f64, weight: f64) {
        let p = self.covariance;
        let px = [dot(p[0], x), dot(p[1], x)];
        let spread = dot(x, px);
        if spread <= 0.0 {
            return;
        }
        let noise = NOISE_VARIANCE / weight;
        let remaining = (spread * noise / (noise + spread)).max(NOISE_VARIANCE * STEADY_GAIN);
        let shrink = (1.0 - remaining / spread) / spread;
        for i in 0..2 {
            let gain = px[i] / (noise + spread);
            // Coefficients are never negative: more tokens or a longer context cannot save time.
            self.theta[i] = (self.theta[i] + gain * residual).max(0.0);
            for (j, pxj) in px.iter().enumerate() {
                self.covariance[i][j] = p[i][j] - shrink * px[i] * pxj;
            }
        }
    }
}

fn dot(a: [f64; 2], b: [f64; 2]) -> f64 {
    a[0] * b[0] + a[1] * b[1]
}

/// Units that scale both features to about one for typical prompts.
const LINEAR_UNIT: f64 = 1e4;
const SQUARED_UNIT: f64 = 1e8;
/// Share of its error that an observation still corrects after many earlier observations.
const STEADY_GAIN: f64 = 0.01;
/// An observation is divided by at least this share of the prediction.
const MIN_OBSERVED_RATIO: f64 = 0.5;
/// Number of consecutive clipped residuals of the same sign after which the speed of the engine
/// counts as changed.
const CHANGE_STREAK: i32 = 6;
/// Variance of the relative error of one observation.
const NOISE_VARIANCE: f64 = 0.01;
/// Spread of the prior relative to its mean.
const PRIOR_SPREAD: f64 = 1.0;
/// Residuals larger than this multiple of the typical residual are clipped.
const HUBER_SCALES: f64 = 2.5;
const INITIAL_RESIDUAL: f64 = 0.5;
const MIN_RESIDUAL: f64 = 0.02;
const RESIDUAL_GAIN: f64 = 0.1;
