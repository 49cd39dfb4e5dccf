//! `status`: the configuration generation that each process has in force.

use std::collections::{BTreeMap, BTreeSet};

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
    /// Only in the response of a gateway without sidecars.
    direct: Option<DirectStatus>,
}

/// What a gateway without sidecars reports about its fleet.
#[derive(Clone, Deserialize, Serialize)]
struct DirectStatus {
    drained_domains: Vec<String>,
    cold_endpoints: Vec<String>,
    slow_endpoints: Vec<SlowEndpoint>,
    quarantined_requests: usize,
    quarantined_parts: usize,
}

/// An endpoint that is slower than declared.
#[derive(Clone, Deserialize, Serialize)]
struct SlowEndpoint {
    endpoint: String,
    /// Ratio of measured to declared time.
    slowdown: f64,
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
    #[serde(skip_serializing_if = "Option::is_none")]
    direct: Option<DirectStatus>,
}

/// The generation that all processes should have.
enum ExpectedGeneration {
    /// The accepted one, as read from the platform's store.
    Accepted(Result<Generation, CommandReport>),
    /// The newest one that a gateway without sidecars has in force; the store of such a fleet is
    /// read by its gateways only.
    Newest(Option<Generation>),
}

pub(crate) async fn show_status(runner: &CommandRunner) -> Result<CommandReport, CommandReport> {
    let mut lines = Vec::new();
    let mut sidecars: BTreeMap<String, Option<Generation>> = BTreeMap::new();
    for gateway in &runner.settings.gateways {
        match query_gateway(runner, gateway).await? {
            Ok(response) => {
                record_sidecars(&mut sidecars, &response.endpoints);
                let mut line = gateway_line(gateway, Some(response.generation), None);
                line.direct = response.direct;
                lines.push(line);
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
            direct: None,
        }
    }));
    let expected = match lines.iter().any(|line| line.direct.is_some()) {
        true => {
            let generations = lines.iter().map(|line| line.generation);
            ExpectedGeneration::Newest(generations.max().flatten())
        }
        false => ExpectedGeneration::Accepted(load_generation(runner).await),
    };
    Ok(report_status(expected, &lines))
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
        direct: None,
    }
}

fn report_status(expected: ExpectedGeneration, lines: &[ProcessLine]) -> CommandReport {
    let (label, field, accepted) = match expected {
        ExpectedGeneration::Accepted(accepted) => ("accepted", "accepted_generation", accepted),
        ExpectedGeneration::Newest(newest) => {
            let newest = Ok(newest.unwrap_or_default());
            ("newest", "newest_generation", newest)
        }
    };
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
                "{label} generation {generation}, in force at {count} of {}\n",
                lines.len()
            )
        }
        Err(report) => format!("the accepted generation is not known: {}", report.text),
    };
    text += &format_table(HEADER, &rows);
    text += &direct_text(lines);
    let value = json!({
        field: generation,
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

/// Lists what gateways without sidecars report about their fleet. Gateways learn of changes at
/// slightly different times, so the lists of all of them are merged.
fn direct_text(lines: &[ProcessLine]) -> String {
    let reports: Vec<&DirectStatus> = lines
        .iter()
        .filter_map(|line| line.direct.as_ref())
        .collect();
    if reports.is_empty() {
        return String::new();
    }
    let all = |names: fn(&DirectStatus) -> Vec<String>| {
        let names = reports.iter().flat_map(|report| names(report));
        names.collect::<BTreeSet<String>>()
    };
    let most = |count: fn(&DirectStatus) -> usize| {
        let counts = reports.iter().map(|report| count(report));
        counts.max().unwrap_or_default()
    };
    let slow = |report: &DirectStatus| {
        let slow = report.slow_endpoints.iter();
        slow.map(|slow| slow.endpoint.clone()).collect()
    };
    format!(
        "drained domains: {}\ncold endpoints: {}\nslow endpoints: {}\n\
         quarantines: {} requests, {} parts\n",
        name_list(&all(|report| report.drained_domains.clone())),
        name_list(&all(|report| report.cold_endpoints.clone())),
        name_list(&all(slow)),
        most(|report| report.quarantined_requests),
        most(|report| report.quarantined_parts),
    )
}

fn name_list(names: &BTreeSet<String>) -> String {
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.iter().cloned().collect::<Vec<_>>().join(", "),
    }
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
