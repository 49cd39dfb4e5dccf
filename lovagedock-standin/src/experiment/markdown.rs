//! Results as Markdown.

use std::fmt::{self, Write};

use lovagedock::LengthBucket;

use super::{
    run::ExperimentRecord,
    summary::{ExperimentSummary, PolicySummary, SeedSpread},
};
use crate::load::{LengthTable, ViolationCounts};

const NO_VALUE: &str = "-";

/// Renders the Markdown page of an experiment.
pub fn render_markdown(record: &ExperimentRecord, summary: &ExperimentSummary) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_page(&mut text, record, summary);
    text
}

fn write_page(
    text: &mut String,
    record: &ExperimentRecord,
    summary: &ExperimentSummary,
) -> fmt::Result {
    write_head(text, record)?;
    let policies = &summary.policies;
    let buckets = LengthBucket::ALL.map(LengthBucket::as_str);

    writeln!(text, "\n## First token, p95 (ms of model time)\n")?;
    write_length_table(text, &buckets, policies, |policy| &policy.p95, milliseconds)?;
    writeln!(
        text,
        "\n![p95 of the first token by prompt length]({}.svg)",
        record.name
    )?;
    writeln!(text, "\n## First token, p50 (ms of model time)\n")?;
    write_length_table(text, &buckets, policies, |policy| &policy.p50, milliseconds)?;

    writeln!(text, "\n## Ratio of p95 to the best baseline\n")?;
    writeln!(
        text,
        "The best baseline of a length is the one with the lowest median p95; each ratio is of two\n\
         runs with the same seed.\n"
    )?;
    let titles = LengthBucket::ALL.map(|bucket| {
        let best_baseline = summary.best_baselines.get(bucket).as_deref();
        format!(
            "{} / {}",
            bucket.as_str(),
            best_baseline.unwrap_or(NO_VALUE)
        )
    });
    let titles = titles.each_ref().map(String::as_str);
    write_length_table(text, &titles, policies, |policy| &policy.ratio, ratio)?;

    writeln!(text, "\n## First tokens counted, all seeds\n")?;
    writeln!(
        text,
        "The times include only calls that received a first token; compare the counts before the times.\n"
    )?;
    write_length_table(
        text,
        &buckets,
        policies,
        |policy| &policy.first_tokens,
        u64::to_string,
    )?;
    write_outcomes(text, policies)
}

fn write_head(text: &mut String, record: &ExperimentRecord) -> fmt::Result {
    let spec = &record.spec;
    let seeds: Vec<_> = spec.seeds.iter().map(u64::to_string).collect();
    let faults = match &spec.faults {
        None => "no faults".to_owned(),
        Some(file) => format!("faults of `{}`", file.display()),
    };
    writeln!(text, "# Experiment {}\n", record.name)?;
    writeln!(text, "Made by `{}` on {}.\n", record.command, record.date)?;
    writeln!(
        text,
        "Deployment {}; seeds {}; {} s of calls a run; {faults}. All times are the stand-in engines'\n\
         model time, of which {} s pass in one second of real time; they say nothing about real\n\
         engines. A cell is the median over the seeds (lowest..highest).",
        spec.deployment,
        seeds.join(", "),
        spec.seconds,
        record.time_scale,
    )
}

fn write_length_table<T>(
    text: &mut String,
    titles: &[&str],
    policies: &[PolicySummary],
    table: impl Fn(&PolicySummary) -> &LengthTable<T>,
    cell: impl Fn(&T) -> String,
) -> fmt::Result {
    writeln!(text, "| policy | {} |", titles.join(" | "))?;
    writeln!(text, "|---|{}", "---|".repeat(titles.len()))?;
    for policy in policies {
        let row = table(policy);
        let cells = LengthBucket::ALL.map(|bucket| cell(row.get(bucket)));
        writeln!(text, "| {} | {} |", policy.policy, cells.join(" | "))?;
    }
    Ok(())
}

fn write_outcomes(text: &mut String, policies: &[PolicySummary]) -> fmt::Result {
    writeln!(
        text,
        "\n## Short slowdown, outcomes and violations, all seeds\n"
    )?;
    writeln!(
        text,
        "The slowdown is the p95 of the 1k and 4k prompts while long prompts are sent, divided by the p95 before.\n"
    )?;
    writeln!(
        text,
        "| policy | short slowdown | complete | refused, not run | failed | unknown | timed out | violations |"
    )?;
    writeln!(text, "|---|---|---|---|---|---|---|---|")?;
    for policy in policies {
        let outcomes = policy.outcomes;
        writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} |",
            policy.policy,
            ratio(&policy.short_slowdown),
            outcomes.complete,
            outcomes.refused_not_run,
            outcomes.failed,
            outcomes.unknown,
            outcomes.timed_out,
            violations(&policy.violations),
        )?;
    }
    Ok(())
}

fn violations(counts: &ViolationCounts) -> String {
    let named = counts.named();
    let violated = named.iter().filter(|(_, count)| *count > 0);
    let violated: Vec<_> = violated
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    match violated.len() {
        0 => "0".to_owned(),
        _ => violated.join(", "),
    }
}

fn milliseconds(spread: &Option<SeedSpread>) -> String {
    spread.map_or(NO_VALUE.to_owned(), |it| {
        format!("{:.0} ({:.0}..{:.0})", it.median, it.min, it.max)
    })
}

fn ratio(spread: &Option<SeedSpread>) -> String {
    spread.map_or(NO_VALUE.to_owned(), |it| {
        format!("{:.2} ({:.2}..{:.2})", it.median, it.min, it.max)
    })
}
