//! Report as a text table.

use std::fmt::Write;

use lovagedock::{LengthBucket, ResultCode};

use super::report::LoadReport;

/// Renders the report as a text table.
pub fn render_table(report: &LoadReport) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_table(&mut text, report);
    text
}

fn write_table(text: &mut String, report: &LoadReport) -> std::fmt::Result {
    writeln!(
        text,
        "mix {}, policy {}, seed {}, {:.0} s",
        report.mix, report.policy, report.seed, report.duration_s
    )?;
    writeln!(
        text,
        "\nfirst token (ms of the stand-in engines' model time, {} x real time)",
        report.time_scale
    )?;
    writeln!(
        text,
        "{:<8}{:>8}{:>12}{:>12}{:>12}",
        "prompt", "n", "p50", "p95", "p99"
    )?;
    for bucket in LengthBucket::ALL {
        let row = report.ttft_ms.get(bucket);
        writeln!(
            text,
            "{:<8}{:>8}{:>12.1}{:>12.1}{:>12.1}",
            bucket.as_str(),
            row.n,
            row.p50,
            row.p95,
            row.p99
        )?;
    }
    let itl = report.itl_ms;
    writeln!(
        text,
        "between tokens: p50 {:.1}, p95 {:.1}",
        itl.p50, itl.p95
    )?;
    writeln!(
        text,
        "p95 of short prompts with long prompts / without: {:.2}",
        report.short_slowdown_p95
    )?;
    write_outcomes(text, report)
}

fn write_outcomes(text: &mut String, report: &LoadReport) -> std::fmt::Result {
    let outcomes = report.outcomes;
    writeln!(text, "\noutcomes of {} calls", outcomes.total())?;
    let rows = [
        ("complete", outcomes.complete),
        ("refused, not run", outcomes.refused_not_run),
        ("failed", outcomes.failed),
        ("unknown", outcomes.unknown),
        ("timed out", outcomes.timed_out),
    ];
    for (name, count) in rows {
        writeln!(text, "  {name:<22}{count:>8}")?;
    }
    for problem in &report.problems {
        let title = ResultCode::from_number(problem.code).map_or("no response", ResultCode::title);
        writeln!(
            text,
            "    {:<8}{:>8}  {} {title}",
            problem.bucket, problem.n, problem.code
        )?;
    }
    writeln!(text, "violations: {}", report.violations.total())?;
    for (name, count) in report.violations.named() {
        writeln!(text, "  {name:<22}{count:>8}")?;
    }
    Ok(())
}
