//! `usage`: who uses which service, as each gateway knows it.

use serde_json::{Map, Value, json};

use crate::{
    client::ProcessMethod,
    gateways::{GatewayAnswer, GatewayFailure, call_gateways, cell, elements, report_failures},
    report::{CommandReport, ExitStatus, format_table},
    runner::CommandRunner,
};

const HEADER: &[&str] = &[
    "GATEWAY",
    "HEARD",
    "SERVICE",
    "LANE",
    "ENDPOINTS",
    "SLOTS",
    "IN USE",
    "WAITING HERE",
];

/// Reports of decisions under overload in a gateway's document, with their titles.
const OVERLOAD_REPORTS: &[(&str, &str)] = &[
    ("flows", "rates across all gateways"),
    ("shares", "organisations"),
    ("returns", "scheduled returns"),
];

/// Asks all gateways, since each knows its own queue and may not hear the others.
pub(crate) async fn show_usage(runner: &CommandRunner) -> Result<CommandReport, CommandReport> {
    let (answers, failures) =
        call_gateways(runner, ProcessMethod::Get, "/usage", |_| false).await?;
    if answers.is_empty() {
        return Ok(report_failures(&failures, ProcessMethod::Get));
    }
    let rows: Vec<_> = answers.iter().flat_map(usage_rows).collect();
    let mut text = format_table(HEADER, &rows);
    for answer in &answers {
        let refused = cell(&answer.document["refused_recently"]);
        text += &format!(
            "{}: {refused} requests refused in the last 8 s\n",
            answer.gateway.id
        );
        for (field, title) in OVERLOAD_REPORTS {
            text += &report_table(title, &answer.gateway.id, &answer.document[field]);
        }
    }
    for failure in &failures {
        text += &format!("{}: {}\n", failure.gateway.id, failure.error);
    }
    let value = json!({
        "gateways": answers.iter().map(|answer| &answer.document).collect::<Vec<_>>(),
        "unheard": failures.iter().map(GatewayFailure::describe).collect::<Vec<_>>(),
    });
    let status = match failures.is_empty() {
        true => ExitStatus::Done,
        false => ExitStatus::Unreachable,
    };
    Ok(CommandReport::new(status, text, value))
}

fn usage_rows(answer: &GatewayAnswer<'_>) -> Vec<Vec<String>> {
    let document = &answer.document;
    let heard = format!(
        "{} of {}",
        cell(&document["gateways_heard"]),
        cell(&document["gateways_known"])
    );
    let lanes = elements(&document["services"])
        .flat_map(|service| elements(&service["lanes"]).map(move |lane| (service, lane)));
    let rows = lanes.map(|(service, lane)| {
        let endpoints = elements(&service["endpoints"]);
        let slots = endpoints.filter_map(|endpoint| endpoint["slots"].as_u64());
        let slots: Vec<u64> = slots.collect();
        vec![
            answer.gateway.id.clone(),
            heard.clone(),
            cell(&service["service"]),
            cell(&lane["lane"]),
            slots.len().to_string(),
            slots.iter().sum::<u64>().to_string(),
            cell(&lane["slots_in_use"]),
            cell(&lane["waiting"]),
        ]
    });
    rows.collect()
}

/// Fields that come first in a table, in this order.
const FIRST_FIELDS: &[&str] = &["service", "lane", "organisation"];

/// Formats a list of objects with the same fields as a table; empty for an empty list.
fn report_table(title: &str, gateway: &str, report: &Value) -> String {
    let rows: Vec<Map<String, Value>> = elements(report).flat_map(flat_rows).collect();
    let Some(first) = rows.first() else {
        return String::new();
    };
    let mut fields: Vec<&str> = first.keys().map(String::as_str).collect();
    fields.sort_by_key(|field| {
        let position = FIRST_FIELDS.iter().position(|first| first == field);
        position.unwrap_or(FIRST_FIELDS.len())
    });
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| fields.iter().map(|field| field_cell(row, field)).collect())
        .collect();
    format!("{title}, by {gateway}\n{}", format_table(&fields, &rows))
}

/// Returns a row for each object in a list within the row. Its fields replace those of the row with
/// the same name.
fn flat_rows(row: &Value) -> Vec<Map<String, Value>> {
    let mut outer = row.as_object().cloned().unwrap_or_default();
    let is_nested = |value: &Value| elements(value).any(Value::is_object);
    let nested = outer.iter().find(|(_, value)| is_nested(value));
    let Some(name) = nested.map(|(name, _)| name.clone()) else {
        return vec![outer];
    };
    let list = outer.remove(&name).unwrap_or_default();
    let inner = elements(&list).filter_map(Value::as_object);
    let rows = inner.map(|inner| {
        let mut row = outer.clone();
        row.extend(inner.clone());
        row
    });
    rows.collect()
}

fn field_cell(row: &Map<String, Value>, field: &str) -> String {
    match row.get(field) {
        Some(Value::Array(values)) => values.iter().map(cell).collect::<Vec<_>>().join(" "),
        Some(value) => cell(value),
        None => cell(&Value::Null),
    }
}
