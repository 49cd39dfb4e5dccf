//! Medians over seeds, and ratios between policies.

use lovagedock::LengthBucket;
use serde::Serialize;

use crate::load::{LengthTable, LoadReport, OutcomeCounts, ViolationCounts};

/// Policies that others are compared with; they ignore length.
pub const BASELINES: [&str; 4] = ["least-outstanding", "random", "round-robin", "two-choices"];

/// A figure over several seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SeedSpread {
    /// Number of seeds that have the figure.
    pub n: usize,
    /// Median; the mean of the middle two for an even number.
    pub median: f64,
    /// Lowest.
    pub min: f64,
    /// Highest.
    pub max: f64,
}

impl SeedSpread {
    /// Summarises one value for each seed; `None` without values.
    pub fn new(values: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        let upper = *values.get(middle)?;
        let median = match values.len() % 2 {
            0 => f64::midpoint(values[middle - 1], upper),
            _ => upper,
        };
        Some(Self {
            n: values.len(),
            median,
            min: values[0],
            max: values[values.len() - 1],
        })
    }
}

/// What one policy did over all seeds. Times are milliseconds of model time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicySummary {
    /// Name of the policy.
    pub policy: String,
    /// Number of first tokens over all seeds.
    pub first_tokens: LengthTable<u64>,
    /// Median first-token time.
    pub p50: LengthTable<Option<SeedSpread>>,
    /// First-token time that 95 in 100 stay within.
    pub p95: LengthTable<Option<SeedSpread>>,
    /// `p95` divided by the best baseline's with the same seed.
    pub ratio: LengthTable<Option<SeedSpread>>,
    /// Short prompts' p95 with long prompts, divided by that without.
    pub short_slowdown: Option<SeedSpread>,
    /// What became of the calls over all seeds.
    pub outcomes: OutcomeCounts,
    /// Broken promises over all seeds.
    pub violations: ViolationCounts,
}

/// What an experiment found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentSummary {
    /// The baseline with the lowest median p95 in each bucket.
    pub best_baselines: LengthTable<Option<String>>,
    /// The policies in the order of the experiment.
    pub policies: Vec<PolicySummary>,
}

impl ExperimentSummary {
    /// Summarises the runs; a policy without a run has no figures.
    pub fn new(policies: &[String], reports: &[LoadReport]) -> Self {
        let best_baselines =
            LengthTable::from_buckets(|bucket| best_baseline(policies, reports, bucket));
        let policies = policies
            .iter()
            .map(|policy| summarise(policy, reports, &best_baselines))
            .collect();
        Self {
            best_baselines,
            policies,
        }
    }
}

fn summarise(
    policy: &str,
    reports: &[LoadReport],
    best_baselines: &LengthTable<Option<String>>,
) -> PolicySummary {
    let mut outcomes = OutcomeCounts::default();
    let mut violations = ViolationCounts::default();
    for report in reports_of(reports, policy) {
        outcomes += report.outcomes;
        violations += report.violations;
    }
    // The report has 0 where one of the two parts of the run had no sample.
    let slowdowns = reports_of(reports, policy).map(|report| report.short_slowdown_p95);
    PolicySummary {
        policy: policy.to_owned(),
        first_tokens: LengthTable::from_buckets(|bucket| {
            reports_of(reports, policy)
                .map(|report| report.ttft_ms.get(bucket).n)
                .sum()
        }),
        p50: LengthTable::from_buckets(|bucket| {
            let sampled = reports_of(reports, policy).map(|report| report.ttft_ms.get(bucket));
            SeedSpread::new(sampled.filter(|row| row.n > 0).map(|row| row.p50))
        }),
        p95: LengthTable::from_buckets(|bucket| p95_spread(reports, policy, bucket)),
        ratio: LengthTable::from_buckets(|bucket| {
            let best_baseline = best_baselines.get(bucket).as_deref()?;
            ratio_spread(reports, policy, best_baseline, bucket)
        }),
        short_slowdown: SeedSpread::new(slowdowns.filter(|slowdown| *slowdown > 0.0)),
        outcomes,
        violations,
    }
}

fn reports_of<'a>(reports: &'a [LoadReport], policy: &str) -> impl Iterator<Item = &'a LoadReport> {
    reports.iter().filter(move |report| report.policy == policy)
}

fn p95(report: &LoadReport, bucket: LengthBucket) -> Option<f64> {
    let row = report.ttft_ms.get(bucket);
    (row.n > 0).then_some(row.p95)
}

fn p95_spread(reports: &[LoadReport], policy: &str, bucket: LengthBucket) -> Option<SeedSpread> {
    SeedSpread::new(reports_of(reports, policy).filter_map(|report| p95(report, bucket)))
}

/// The choice is by the median over seeds: a choice for each seed would compare with the luckiest
/// run of several.
fn best_baseline(
    policies: &[String],
    reports: &[LoadReport],
    bucket: LengthBucket,
) -> Option<String> {
    policies
        .iter()
        .filter(|policy| BASELINES.contains(&policy.as_str()))
        .filter_map(|policy| Some((policy, p95_spread(reports, policy, bucket)?.median)))
        .min_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(policy, _)| policy.clone())
}

fn ratio_spread(
    reports: &[LoadReport],
    policy: &str,
    baseline: &str,
    bucket: LengthBucket,
) -> Option<SeedSpread> {
    let ratios = reports_of(reports, policy).filter_map(|report| {
        let same_seed = reports_of(reports, baseline).find(|other| other.seed == report.seed)?;
        Some(p95(report, bucket)? / p95(same_seed, bucket)?)
    });
    SeedSpread::new(ratios)
}
