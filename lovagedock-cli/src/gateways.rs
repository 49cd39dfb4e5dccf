//! Calls to one of the gateways in the settings.

use lovagedock::ResultCode;
use serde_json::{Value, json};

use crate::{
    client::{ProcessError, ProcessMethod},
    report::{CommandReport, ExitStatus},
    runner::{CommandRunner, report_settings_error},
    settings::ProcessAddress,
};

/// A gateway's document.
pub(crate) struct GatewayAnswer<'a> {
    pub(crate) gateway: &'a ProcessAddress,
    pub(crate) document: Value,
}

/// A gateway that returned no document.
pub(crate) struct GatewayFailure<'a> {
    pub(crate) gateway: &'a ProcessAddress,
    pub(crate) error: ProcessError,
}

impl GatewayFailure<'_> {
    pub(crate) fn describe(&self) -> String {
        format!("{} ({})", self.gateway.id, self.error)
    }
}

/// Calls gateways in turn until one answers with a document that is good enough. Returns the
/// documents in the order of the calls, and the failures.
pub(crate) async fn call_gateways<'a>(
    runner: &'a CommandRunner,
    method: ProcessMethod,
    path: &str,
    is_enough: impl Fn(&Value) -> bool,
) -> Result<(Vec<GatewayAnswer<'a>>, Vec<GatewayFailure<'a>>), CommandReport> {
    let client = runner.process_client()?;
    if runner.settings.gateways.is_empty() {
        return Err(report_settings_error("`gateways` is empty".to_owned()));
    }
    let (mut answers, mut failures) = (Vec::new(), Vec::new());
    for gateway in &runner.settings.gateways {
        match client.call(gateway.address, method, path).await {
            Ok(document) => {
                let is_last = is_enough(&document);
                answers.push(GatewayAnswer { gateway, document });
                if is_last {
                    break;
                }
            }
            Err(error) => failures.push(GatewayFailure { gateway, error }),
        }
    }
    Ok((answers, failures))
}

/// Reports that no gateway returned a document. A write without a response may have been executed.
pub(crate) fn report_failures(
    failures: &[GatewayFailure<'_>],
    method: ProcessMethod,
) -> CommandReport {
    let is_refused =
        |failure: &GatewayFailure<'_>| matches!(failure.error, ProcessError::Refused(_));
    let is_unknown =
        |failure: &GatewayFailure<'_>| matches!(failure.error, ProcessError::NoAnswer(_));
    let status = if method == ProcessMethod::Post && failures.iter().any(is_unknown) {
        ExitStatus::Unknown
    } else if failures.iter().any(is_refused) {
        ExitStatus::Refused
    } else {
        ExitStatus::Unreachable
    };
    let lines = failures.iter();
    let lines = lines.map(|failure| {
        format!(
            "{}: {}{}\n",
            failure.gateway.id,
            failure.error,
            hint(failure)
        )
    });
    let value = json!({
        "error": "no gateway answered",
        "gateways": failures.iter().map(GatewayFailure::describe).collect::<Vec<_>>(),
    });
    CommandReport::new(status, lines.collect::<String>(), value)
}

/// Gateways of fleets with sidecars do not have these calls.
fn hint(failure: &GatewayFailure<'_>) -> &'static str {
    match &failure.error {
        ProcessError::Refused(problem)
            if problem["code"] == ResultCode::UnknownService.number() =>
        {
            " (only gateways without sidecars have this call)"
        }
        ProcessError::Refused(_) | ProcessError::NoAnswer(_) | ProcessError::Unreachable(_) => "",
    }
}

/// Returns a field of a document as it is printed in a table; numbers have up to two decimals.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_u64() {
            Some(number) => number.to_string(),
            None => format!("{:.2}", number.as_f64().unwrap_or_default()),
        },
        value => value.to_string(),
    }
}

/// Returns the elements of an array, or none if the field has another type.
pub(crate) fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
