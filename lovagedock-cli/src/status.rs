//! `status`: the configuration generation that each process has in force.

use std::collections::BTreeMap;

use lovagedock::Generation;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    client::{ProcessError, ProcessMethod},
    config::report_load_error,
    report::{CommandReport, ExitStatus, format_table},
    runner::CommandRunner,
    settings::ProcessAddress,
};

const HEADER: &[&str] = &["PROCESS", "ROLE", "GENERATION", "IN FORCE"];

/// The part of a gateway's response that `status` uses; a newer gateway may return more fields.
#[derive(Deserialize)]
struct GatewayStatus {
    generation: Generation,
    #[serde(default)]
    endpoints: Vec<EndpointStatus>,
}

/// What one sidecar last reported to a gateway.
#[derive(Deserialize)]
struct EndpointStatus {
    endpoint: String,
    #[serde(default)]
    generation: Generation,
    #[serde(default)]
    connected: bool,
}

/// One line of the status.
#[derive(Serialize)]
struct ProcessLine {
    process: String,
    role: &'static str,
    /// `None` if it could not be determined.
    generation: Option<Generation>,
    error: Option<String>,
}

pub(crate) async fn show_status(runner: &CommandRunner) -> Result<CommandReport, CommandReport> {
    let accepted = load_generation(runner).await;
    let mut lines = Vec::new();
    let mut sidecars: BTreeMap<String, Option<Generation>> = BTreeMap::new();
    for gateway in &runner.settings.gateways {
        match query_gateway(runner, gateway).await? {
            Ok(response) => {
                record_sidecars(&mut sidecars, &response.endpoints);
                lines.push(gateway_line(gateway, Some(response.generation), None));
            }
            Err(error) => lines.push(gateway_line(gateway, None, Some(error.to_string()))),
        }
    }
    lines.extend(sidecars.into_iter().map(|(process, generation)| {
        ProcessLine {
            process,
            role: "sidecar",
            generation,
            error: generation
                .is_none()
                .then(|| "no gateway has a session to it".to_owned()),
        }
    }));
    Ok(report_status(accepted, &lines))
}

async fn load_generation(runner: &CommandRunner) -> Result<Generation, CommandReport> {
    let root = runner.config_store()?.load_root().await;
    match root {
        Ok(root) => Ok(root.map_or(0, |root| root.generation())),
        Err(error) => Err(report_load_error(&error)),
    }
}

async fn query_gateway(
    runner: &CommandRunner,
    gateway: &ProcessAddress,
) -> Result<Result<GatewayStatus, ProcessError>, CommandReport> {
    let client = runner.process_client()?;
    let response = client
        .call(gateway.address, ProcessMethod::Get, "/status")
        .await;
    Ok(response.and_then(|document| {
        serde_json::from_value(document).map_err(|error| ProcessError::NoAnswer(error.to_string()))
    }))
}

/// Merges the reports of several gateways. The newest generation that a gateway reports for a
/// sidecar is its current one, since the generation of a process never decreases.
fn record_sidecars(
    sidecars: &mut BTreeMap<String, Option<Generation>>,
    endpoints: &[EndpointStatus],
) {
    for endpoint in endpoints {
        let reported = endpoint.connected.then_some(endpoint.generation);
        let known = sidecars.entry(endpoint.endpoint.clone()).or_default();
        *known = (*known).max(reported);
    }
}

fn gateway_line(
    gateway: &ProcessAddress,
    generation: Option<Generation>,
    error: Option<String>,
) -> ProcessLine {
    ProcessLine {
        process: gateway.id.clone(),
        role: "gateway",
        generation,
        error,
    }
}

fn report_status(
    accepted: Result<Generation, CommandReport>,
    lines: &[ProcessLine],
) -> CommandReport {
    let generation = accepted.as_ref().ok().copied();
    let in_force = |line: &&ProcessLine| match (line.generation, generation) {
        (Some(own), Some(accepted)) => own >= accepted,
        _ => false,
    };
    let count = lines.iter().filter(in_force).count();
    let rows: Vec<_> = lines
        .iter()
        .map(|line| line_row(line, generation))
        .collect();
    let mut text = match &accepted {
        Ok(generation) => {
            format!(
                "accepted generation {generation}, in force at {count} of {}\n",
                lines.len()
            )
        }
        Err(report) => format!("the accepted generation is not known: {}", report.text),
    };
    text += &format_table(HEADER, &rows);
    let value = json!({
        "accepted_generation": generation,
        "in_force": generation.map(|_| count),
        "processes": lines,
        "store_error": accepted.as_ref().err().map_or(Value::Null, |report| report.value.clone()),
    });
    let status = match &accepted {
        Err(report) => report.status,
        Ok(_) if lines.iter().any(|line| line.generation.is_none()) => ExitStatus::Unreachable,
        Ok(_) => ExitStatus::Done,
    };
    CommandReport::new(status, text, value)
}

fn line_row(line: &ProcessLine, accepted: Option<Generation>) -> Vec<String> {
    let generation_text = line
        .generation
        .map_or("-".to_owned(), |generation| generation.to_string());
    let in_force = match (line.generation, accepted, &line.error) {
        (Some(own), Some(accepted), _) if own >= accepted => "yes".to_owned(),
        (Some(_), Some(_), _) => "no".to_owned(),
        (_, _, Some(error)) => error.clone(),
        _ => "unknown".to_owned(),
    };
    vec![
        line.process.clone(),
        line.role.to_owned(),
        generation_text,
        in_force,
    ]
}
