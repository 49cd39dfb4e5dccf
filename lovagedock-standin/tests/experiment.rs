//! The pure parts of experiments: order, medians, ratios, table, plot and files.

use std::{fs, path::Path, time::Duration};

use expect_test::expect;
use lovagedock_daemon::load_settings;
use lovagedock_standin::{
    demo::Deployment,
    experiment::{
        ExperimentRecord, ExperimentSpec, ExperimentSummary, SeedSpread, render_markdown,
        render_plot, write_results,
    },
    load::{CallerJournal, LoadReport, QuantileSummary, ReportMetadata, ViolationCounts},
};

fn spec(policies: &[&str], seeds: &[u64]) -> ExperimentSpec {
    ExperimentSpec {
        deployment: Deployment::Mafraq,
        policies: policies.iter().map(|&name| name.to_owned()).collect(),
        seeds: seeds.to_vec(),
        seconds: 12,
        faults: None,
    }
}

/// A run whose 1k and 64k prompts have these p95; 0 for no first token.
fn report(policy: &str, seed: u64, k1: f64, k64: f64) -> LoadReport {
    let tags = ReportMetadata {
        seed,
        policy: policy.to_owned(),
        mix: "sample".to_owned(),
        duration: Duration::from_secs(12),
        long_start: Duration::ZERO,
        time_scale: 8.0,
    };
    let journal = CallerJournal { calls: Vec::new() };
    let mut report = LoadReport::new(&tags, &journal, ViolationCounts::default(), None);
    report.ttft_ms.k1 = quantiles(k1);
    report.ttft_ms.k64 = quantiles(k64);
    report.short_slowdown_p95 = k1 / 100.0;
    report.outcomes.complete = 10;
    report.outcomes.refused_not_run = seed;
    report
}

fn quantiles(p95: f64) -> QuantileSummary {
    if p95 == 0.0 {
        return QuantileSummary::default();
    }
    QuantileSummary {
        n: 20,
        p50: p95 / 2.0,
        p95,
        p99: p95,
    }
}

fn record(spec: ExperimentSpec, runs: Vec<LoadReport>) -> ExperimentRecord {
    ExperimentRecord {
        name: "sample".to_owned(),
        command: "lovagedock-load experiment sample.jsonc".to_owned(),
        date: "Wed, 02 Dec 2026 12:00:00 GMT".to_owned(),
        spec,
        time_scale: 8.0,
        runs,
    }
}

/// Two baselines and the default policy over two seeds.
///
/// Round robin has the best 1k of any single run, with seed 1, but least outstanding has the best
/// median; only round robin has a first token of 64k, and that with one seed.
fn sample() -> ExperimentRecord {
    let mut crossed = report("round-robin", 2, 800.0, 900.0);
    crossed.violations.cut_answers = 2;
    crossed.violations.leaked_blocks = 1;
    let runs = vec![
        report("length-aware", 1, 100.0, 600.0),
        report("least-outstanding", 1, 200.0, 0.0),
        report("round-robin", 1, 150.0, 0.0),
        report("least-outstanding", 2, 300.0, 0.0),
        crossed,
        report("length-aware", 2, 90.0, 600.0),
    ];
    let policies = ["length-aware", "least-outstanding", "round-robin"];
    record(spec(&policies, &[1, 2]), runs)
}

fn summary(record: &ExperimentRecord) -> ExperimentSummary {
    ExperimentSummary::new(&record.spec.policies, &record.runs)
}

struct SpreadCase {
    name: &'static str,
    values: &'static [f64],
    expected: Option<(f64, f64, f64)>,
}

#[test]
fn a_spread_is_median_lowest_and_highest() {
    let cases = [
        SpreadCase {
            name: "no seed has the figure",
            values: &[],
            expected: None,
        },
        SpreadCase {
            name: "one seed",
            values: &[4.0],
            expected: Some((4.0, 4.0, 4.0)),
        },
        SpreadCase {
            name: "the mean of the middle two",
            values: &[9.0, 1.0, 3.0, 4.0],
            expected: Some((3.5, 1.0, 9.0)),
        },
        SpreadCase {
            name: "the order of the seeds does not count",
            values: &[5.0, 100.0, 2.0],
            expected: Some((5.0, 2.0, 100.0)),
        },
    ];
    for case in cases {
        let spread = SeedSpread::new(case.values.iter().copied());
        assert_eq!(
            spread.map(|it| (it.median, it.min, it.max)),
            case.expected,
            "{}",
            case.name
        );
        assert_eq!(
            spread.map_or(0, |it| it.n),
            case.values.len(),
            "{}",
            case.name
        );
    }
}

struct ProblemCase {
    name: &'static str,
    spec: ExperimentSpec,
    expected: &'static str,
}

#[test]
fn wrong_values_are_named() {
    let good = spec(&["random"], &[1]);
    let cases = [
        ProblemCase {
            name: "good",
            spec: good.clone(),
            expected: "",
        },
        ProblemCase {
            name: "no policy",
            spec: spec(&[], &[1]),
            expected: "policies: must have at least one value and no duplicates",
        },
        ProblemCase {
            name: "a policy twice",
            spec: spec(&["random", "random"], &[1]),
            expected: "policies: must have at least one value and no duplicates",
        },
        ProblemCase {
            name: "a seed twice",
            spec: spec(&["random"], &[1, 2, 1]),
            expected: "seeds: must have at least one value and no duplicates",
        },
        ProblemCase {
            name: "no time",
            spec: ExperimentSpec { seconds: 0, ..good },
            expected: "seconds: must be at least 1",
        },
        ProblemCase {
            name: "an unknown policy",
            spec: spec(&["best"], &[1]),
            expected: "policies: unknown policy \"best\"; known policies: \
                       least-outstanding, length-aware, random, round-robin, two-choices",
        },
    ];
    for case in cases {
        assert_eq!(
            case.spec.problems().join("\n"),
            case.expected,
            "{}",
            case.name
        );
    }
}

// Load from elsewhere on the machine that comes and goes would favour the policy that ran in a
// quiet time, if one policy ran with all seeds before the next; and the first place within a seed
// would always be the same policy's.
#[test]
fn the_policies_take_turns_within_a_seed() {
    let runs = spec(&["random", "round-robin", "two-choices"], &[5, 6]).runs();
    let runs: Vec<_> = runs
        .iter()
        .map(|it| (it.seed, it.policy.as_str()))
        .collect();
    assert_eq!(
        runs,
        [
            (5, "random"),
            (5, "round-robin"),
            (5, "two-choices"),
            (6, "round-robin"),
            (6, "two-choices"),
            (6, "random"),
        ]
    );
}

#[test]
fn the_table_compares_with_the_best_baseline_of_each_length() {
    let record = sample();
    expect![[r#"
        # Experiment sample

        Made by `lovagedock-load experiment sample.jsonc` on Wed, 02 Dec 2026 12:00:00 GMT.

        Deployment mafraq; seeds 1, 2; 12 s of calls a run; no faults. All times are the stand-in engines'
        model time, of which 8 s pass in one second of real time; they say nothing about real
        engines. A cell is the median over the seeds (lowest..highest).

        ## First token, p95 (ms of model time)

        | policy | 1k | 4k | 16k | 64k | 256k | 1m |
        |---|---|---|---|---|---|---|
        | length-aware | 95 (90..100) | - | - | 600 (600..600) | - | - |
        | least-outstanding | 250 (200..300) | - | - | - | - | - |
        | round-robin | 475 (150..800) | - | - | 900 (900..900) | - | - |

        ![p95 of the first token by prompt length](sample.svg)

        ## First token, p50 (ms of model time)

        | policy | 1k | 4k | 16k | 64k | 256k | 1m |
        |---|---|---|---|---|---|---|
        | length-aware | 48 (45..50) | - | - | 300 (300..300) | - | - |
        | least-outstanding | 125 (100..150) | - | - | - | - | - |
        | round-robin | 238 (75..400) | - | - | 450 (450..450) | - | - |

        ## Ratio of p95 to the best baseline

        The best baseline of a length is the one with the lowest median p95; each ratio is of two
        runs with the same seed.

        | policy | 1k / least-outstanding | 4k / - | 16k / - | 64k / round-robin | 256k / - | 1m / - |
        |---|---|---|---|---|---|---|
        | length-aware | 0.40 (0.30..0.50) | - | - | 0.67 (0.67..0.67) | - | - |
        | least-outstanding | 1.00 (1.00..1.00) | - | - | - | - | - |
        | round-robin | 1.71 (0.75..2.67) | - | - | 1.00 (1.00..1.00) | - | - |

        ## First tokens counted, all seeds

        The times include only calls that received a first token; compare the counts before the times.

        | policy | 1k | 4k | 16k | 64k | 256k | 1m |
        |---|---|---|---|---|---|---|
        | length-aware | 40 | 0 | 0 | 40 | 0 | 0 |
        | least-outstanding | 40 | 0 | 0 | 0 | 0 | 0 |
        | round-robin | 40 | 0 | 0 | 20 | 0 | 0 |

        ## Short slowdown, outcomes and violations, all seeds

        The slowdown is the p95 of the 1k and 4k prompts while long prompts are sent, divided by the p95 before.

        | policy | short slowdown | complete | refused, not run | failed | unknown | timed out | violations |
        |---|---|---|---|---|---|---|---|
        | length-aware | 0.95 (0.90..1.00) | 20 | 3 | 0 | 0 | 0 | 0 |
        | least-outstanding | 2.50 (2.00..3.00) | 20 | 3 | 0 | 0 | 0 | 0 |
        | round-robin | 4.75 (1.50..8.00) | 20 | 3 | 0 | 0 | 0 | cut_answers 2, leaked_blocks 1 |
    "#]].assert_eq(&render_markdown(&record, &summary(&record)));
}

#[test]
fn without_a_baseline_there_is_no_ratio() {
    let record = record(
        spec(&["length-aware"], &[1]),
        vec![report("length-aware", 1, 100.0, 600.0)],
    );
    let summary = summary(&record);
    assert_eq!(summary.best_baselines.k1, None);
    assert_eq!(summary.policies[0].ratio.k1, None);
    assert_eq!(summary.policies[0].p95.k1.unwrap().median, 100.0);
}

#[test]
fn the_plot_has_a_line_for_each_policy() {
    let record = sample();
    let svg = render_plot("sample", &summary(&record)).unwrap();
    let policies = &record.spec.policies;
    for text in policies
        .iter()
        .map(String::as_str)
        .chain(["1k", "64k", "1m"])
    {
        assert!(svg.lines().any(|line| line == text), "{text} in {svg}");
    }
    // Two lengths for two of the policies and one for the third: a point each.
    assert_eq!(svg.matches("<circle").count(), 5, "{svg}");
}

#[test]
fn the_plot_of_nothing_is_empty_axes() {
    let summary = ExperimentSummary::new(&["random".to_owned()], &[]);
    let svg = render_plot("nothing", &summary).unwrap();
    assert_eq!(svg.matches("<circle").count(), 0, "{svg}");
}

#[test]
fn the_results_are_three_files_with_the_raw_figures() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("experiment/results");
    let record = sample();
    let files = write_results(&directory, &record).unwrap();
    let names = files.each_ref().map(|file| file.file_name().unwrap());
    assert_eq!(names, ["sample.md", "sample.svg", "sample.json"]);
    assert!(
        fs::read_to_string(&files[0])
            .unwrap()
            .contains("(sample.svg)")
    );
    assert!(fs::read_to_string(&files[1]).unwrap().starts_with("<svg"));
    let figures: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(&files[2]).unwrap()).unwrap();
    assert_eq!(figures["spec"]["deployment"], "mafraq");
    assert_eq!(figures["runs"].as_array().unwrap().len(), 6);
    assert_eq!(figures["runs"][4]["violations"]["cut_answers"], 2);
    assert_eq!(figures["runs"][3]["ttft_ms"]["1k"]["p95"], 300.0);
}

#[test]
fn the_example_files_are_valid() {
    let mut files = 0;
    for entry in fs::read_dir("../examples/experiments").unwrap() {
        let path = entry.unwrap().path();
        let spec: ExperimentSpec = load_settings(&path).unwrap();
        assert_eq!(spec.problems(), Vec::<String>::new(), "{}", path.display());
        files += 1;
    }
    assert_eq!(files, 3);
}
