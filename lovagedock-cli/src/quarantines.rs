//! `release-quarantine`: ends a quarantine on all gateways.

use lovagedock::{format_release, parse_release};
use serde_json::{Value, json};

use crate::{
    client::ProcessMethod,
    gateways::{call_gateways, report_failures},
    report::{CommandReport, ExitStatus},
    runner::CommandRunner,
};

/// Calls the gateways in turn until one has executed the release; it notifies the others. A second
/// execution does no harm, so the next gateway is called if one does not answer.
pub(crate) async fn release_quarantine(
    runner: &CommandRunner,
    target: &str,
) -> Result<CommandReport, CommandReport> {
    let Some(release) = parse_release(target) else {
        let text = format!(
            "{target:?} is not a quarantine; expected the 16 hexadecimal digits of a request, or \
             `part-` and the digits of a part\n"
        );
        let value = json!({ "error": "not a quarantine" });
        return Ok(CommandReport::new(ExitStatus::Usage, text, value));
    };
    let target = format_release(release);
    let path = format!("/release-quarantine/{target}");
    let (answers, failures) = call_gateways(runner, ProcessMethod::Post, &path, |_| true).await?;
    let Some(answer) = answers.first() else {
        return Ok(report_failures(&failures, ProcessMethod::Post));
    };
    let document = &answer.document;
    let mut text = format!("{target} released by gateway {}\n", answer.gateway.id);
    if document["known"] == false {
        text += "this gateway had no evidence against it\n";
    }
    let warnings = warnings(document);
    text += &warnings;
    let status = match warnings.is_empty() {
        true => ExitStatus::Done,
        false => ExitStatus::Unknown,
    };
    let value = json!({ "gateway": answer.gateway.id, "release": document });
    Ok(CommandReport::new(status, text, value))
}

/// Returns why the quarantine may come back, one line for each reason.
fn warnings(document: &Value) -> String {
    let mut text = String::new();
    if document["quarantined"] == true {
        text += "it is in quarantine again, by processes that ended since a release in the last \
                 10 s\n";
    }
    if document["store_written"] != true {
        text += "the store was not written: the quarantine may come back when gateways restart; \
                 repeat the command\n";
    }
    let reachable = document["gateways_reachable"].as_u64().unwrap_or_default();
    let known = document["gateways_known"].as_u64().unwrap_or_default();
    if reachable < known {
        text += &format!(
            "{reachable} of {known} gateways were reachable: the quarantine may come back from the \
             others; repeat the command\n"
        );
    }
    text
}
