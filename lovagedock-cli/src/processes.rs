//! `explain`, `dump` and `drain`: calls to one process, or to each gateway in turn.

use lovagedock::{ResultCode, format_request_id, parse_request_id};
use serde_json::{Value, json};

use crate::{
    client::{ProcessError, ProcessMethod},
    report::{CommandReport, ExitStatus},
    runner::{CommandRunner, report_settings_error},
};

type CommandResult = Result<CommandReport, CommandReport>;

pub(crate) async fn explain_request(runner: &CommandRunner, request: &str) -> CommandResult {
    let Some(id) = parse_request_id(request) else {
        let text = format!("{request:?} is not a request id; expected 32 hexadecimal digits\n");
        let value = json!({ "error": "not a request id" });
        return Ok(CommandReport::new(ExitStatus::Usage, text, value));
    };
    let client = runner.process_client()?;
    let path = format!("/explain/{}", format_request_id(id));
    let mut failed_gateways = Vec::new();
    for gateway in &runner.settings.gateways {
        match client
            .call(gateway.address, ProcessMethod::Get, &path)
            .await
        {
            Ok(document) => {
                let text = format!("gateway {}\n{}", gateway.id, explain_text(&document));
                let value = json!({ "gateway": gateway.id, "request": document });
                return Ok(CommandReport::new(ExitStatus::Done, text, value));
            }
            Err(ProcessError::Refused(problem)) if is_unknown_request(&problem) => {}
            Err(error) => failed_gateways.push(format!("{} ({error})", gateway.id)),
        }
    }
    let id = format_request_id(id);
    if failed_gateways.is_empty() {
        let text = format!("no gateway in the settings has a record of request {id}\n");
        let value = json!({ "error": "unknown request" });
        return Ok(CommandReport::new(ExitStatus::Refused, text, value));
    }
    let text = format!(
        "not found, but not all gateways could be asked: {}\n",
        failed_gateways.join(", ")
    );
    let value = json!({ "error": "not all gateways could be asked", "unheard": failed_gateways });
    Ok(CommandReport::new(ExitStatus::Unreachable, text, value))
}

fn is_unknown_request(problem: &Value) -> bool {
    problem["code"] == ResultCode::UnknownService.number()
}

/// One line per step if the document has steps, otherwise the whole document.
fn explain_text(document: &Value) -> String {
    let Some(steps) = document["steps"].as_array() else {
        return format!("{document:#}\n");
    };
    let mut text = String::new();
    for (name, value) in document.as_object().into_iter().flatten() {
        match value {
            Value::Array(_) | Value::Object(_) => {}
            Value::String(value) => text += &format!("{name}: {value}\n"),
            value => text += &format!("{name}: {value}\n"),
        }
    }
    for step in steps {
        let at = step["at_ms"].as_u64().unwrap_or_default();
        let description = step["step"].as_str().unwrap_or_default();
        text += &format!("{at:>10} ms  {description}\n");
    }
    text
}

pub(crate) async fn dump_process(runner: &CommandRunner, process: &str) -> CommandResult {
    let document = call_process(runner, process, ProcessMethod::Get, "/dump").await?;
    let text = format!("{document:#}\n");
    Ok(CommandReport::new(ExitStatus::Done, text, document))
}

pub(crate) async fn drain_process(
    runner: &CommandRunner,
    process: &str,
    undo: bool,
) -> CommandResult {
    let (path, state) = match undo {
        false => ("/drain", "is draining"),
        true => ("/undrain", "accepts work"),
    };
    let document = call_process(runner, process, ProcessMethod::Post, path).await?;
    let text = format!("{process} {state}\n");
    Ok(CommandReport::new(ExitStatus::Done, text, document))
}

async fn call_process(
    runner: &CommandRunner,
    process: &str,
    method: ProcessMethod,
    path: &str,
) -> Result<Value, CommandReport> {
    let Some(address) = runner.settings.find_process(process) else {
        let error = format!("{process:?} is neither an address nor a process in the settings");
        return Err(report_settings_error(error));
    };
    let result = runner.process_client()?.call(address, method, path).await;
    result.map_err(|error| report_call(process, method, &error))
}

/// A write without a response may have been executed; a read without a response had no effect.
fn report_call(process: &str, method: ProcessMethod, error: &ProcessError) -> CommandReport {
    let status = match (error, method) {
        (ProcessError::Refused(_), _) => ExitStatus::Refused,
        (ProcessError::NoAnswer(_), ProcessMethod::Post) => ExitStatus::Unknown,
        (ProcessError::NoAnswer(_), ProcessMethod::Get) => ExitStatus::Unreachable,
        (ProcessError::Unreachable(_), _) => ExitStatus::Unreachable,
    };
    let value = match error {
        ProcessError::Refused(problem) => json!({ "process": process, "problem": problem }),
        _ => json!({ "process": process, "error": error.to_string() }),
    };
    CommandReport::new(status, format!("{process}: {error}\n"), value)
}
