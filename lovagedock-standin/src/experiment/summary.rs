//! Summary of an experiment: medians over seeds, and ratios between policies.

use lovagedock::LengthBucket;
use serde::Serialize;

use crate::load::{LengthTable, LoadReport, OutcomeCounts, ViolationCounts};

/// Policies that serve as baselines. They ignore the prompt length.
pub const BASELINES: [&str; 4] = ["least-outstanding", "random", "round-robin", "two-choices"];

/// Distribution of a value over several seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SeedSpread {
    /// Number of seeds that have the value.
    pub n: usize,
    /// Median; the mean of the two middle values for an even number of seeds.
    pub median: f64,
    /// Lowest value.
    pub min: f64,
    /// Highest value.
    pub max: f64,
}

impl SeedSpread {
    /// Summarises one value per seed. Returns `None` if there are no values.
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

/// Results of one policy over all seeds. Times are milliseconds of model time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicySummary {
    /// Name of the policy.
    pub policy: String,
    /// Number of calls with a first token, over all seeds.
    pub first_tokens: LengthTable<u64>,
    /// Median time to first token.
    pub p50: LengthTable<Option<SeedSpread>>,
    /// 95th percentile of the time to first token.
    pub p95: LengthTable<Option<SeedSpread>>,
    /// `p95` divided by the `p95` of the best baseline with the same seed.
    pub ratio: LengthTable<Option<SeedSpread>>,
    /// p95 of the time to first token of short prompts while long prompts are sent, divided by the
    /// p95 before.
    pub short_slowdown: Option<SeedSpread>,
    /// Number of calls by outcome, over all seeds.
    pub outcomes: OutcomeCounts,
    /// Violated guarantees, over all seeds.
    pub violations: ViolationCounts,
}

/// Results of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentSummary {
    /// Baseline with the lowest median p95 in each bucket.
    pub best_baselines: LengthTable<Option<String>>,
    /// Results of the policies, in the order of the experiment.
    pub policies: Vec<PolicySummary>,
}

impl ExperimentSummary {
    /// Summarises the runs. A policy without a run has no values.
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
    // The value is 0 if one of the two parts of the run had no samples.
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

/// Returns the baseline with the lowest median p95 over seeds. A choice per seed would compare with
/// the best of several runs, which may be the best only by chance.
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
