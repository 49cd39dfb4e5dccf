//! `drain-preview`: what a drain of a failure domain would do.

use serde_json::{Value, json};

use crate::{
    client::ProcessMethod,
    gateways::{call_gateways, cell, elements, report_failures},
    report::{CommandReport, ExitStatus, format_table},
    runner::CommandRunner,
};

const HEADER: &[&str] = &[
    "SERVICE",
    "INSIDE",
    "SLOTS",
    "OUTSIDE",
    "SLOTS",
    "IN USE",
    "PREFILL/S",
    "AFTER",
    "VERDICT",
];

/// Shows the preview of the gateway that has heard most others.
pub(crate) async fn preview_drain(
    runner: &CommandRunner,
    domain: &str,
) -> Result<CommandReport, CommandReport> {
    let path = format!("/drain-preview/{domain}");
    let is_complete = |document: &Value| heard(document) >= known(document);
    let (answers, failures) = call_gateways(runner, ProcessMethod::Get, &path, is_complete).await?;
    let best = answers.iter().max_by_key(|answer| heard(&answer.document));
    let Some(best) = best else {
        return Ok(report_failures(&failures, ProcessMethod::Get));
    };
    let document = &best.document;
    if document["state"] == "unknown" {
        let text = format!("no endpoint is in failure domain {domain:?}\n");
        let value = json!({ "error": "unknown domain", "preview": document });
        return Ok(CommandReport::new(ExitStatus::Refused, text, value));
    }
    let mut text = format!(
        "domain {domain}, by gateway {} with the load of {} of {} gateways in the last seconds\n",
        best.gateway.id,
        heard(document),
        known(document),
    );
    if document["state"] == "drained" {
        text += "the domain is drained already\n";
    }
    if heard(document) < known(document) {
        text += "the load of the other gateways is not included\n";
    }
    let rows: Vec<_> = elements(&document["services"]).map(service_row).collect();
    text += &format_table(HEADER, &rows);
    for service in elements(&document["services"]) {
        for demand in elements(&service["organisations"]) {
            let share = demand["share"].as_f64().unwrap_or_default() * 100.0;
            text += &format!(
                "{}: {} demands {share:.0}%\n",
                cell(&service["service"]),
                cell(&demand["organisation"]),
            );
        }
    }
    let value = json!({ "gateway": best.gateway.id, "preview": document });
    Ok(CommandReport::new(ExitStatus::Done, text, value))
}

fn heard(document: &Value) -> u64 {
    document["gateways_heard"].as_u64().unwrap_or_default()
}

fn known(document: &Value) -> u64 {
    document["gateways_known"].as_u64().unwrap_or_default()
}

fn service_row(service: &Value) -> Vec<String> {
    let fields = [
        &service["service"],
        &service["inside"]["endpoints"],
        &service["inside"]["slots"],
        &service["outside"]["endpoints"],
        &service["outside"]["slots"],
        &service["slots_in_use"],
        &service["prefill_per_second"],
        &service["utilisation"],
        &service["verdict"],
    ];
    fields.into_iter().map(cell).collect()
}
