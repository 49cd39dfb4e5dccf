//! `diff`, `apply` and `get`: the accepted configuration in the platform's store.

use std::{path::PathBuf, time::Duration, time::SystemTime};

use lovagedock::{ConfigChange, FleetConfig, Generation, ResultCode, diff_config};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, ChunkCache, ConfigStore, LoadError, LoadedConfig,
    NotAcceptedReason, canonical_json,
};
use serde_json::{Value, json};

use crate::{
    arguments::ApplyArguments,
    files::load_config,
    report::{CommandReport, ExitStatus},
    runner::CommandRunner,
};

type CommandResult = Result<CommandReport, CommandReport>;

pub(crate) async fn diff_files(runner: &CommandRunner, files: &[PathBuf]) -> CommandResult {
    let config = load_config(files)?;
    let accepted = load_accepted(&runner.config_store()?).await?;
    let generation = accepted
        .as_ref()
        .map_or(0, |loaded| loaded.root.generation());
    let changes = changes_from(accepted.as_ref(), &config);
    let mut text = format!("against generation {generation}\n");
    text += &list_changes(&changes);
    if changes.is_empty() {
        text += "no difference\n";
    }
    let value = json!({ "generation": generation, "changes": changes });
    Ok(CommandReport::new(ExitStatus::Done, text, value))
}

pub(crate) async fn get_config(runner: &CommandRunner) -> CommandResult {
    let Some(loaded) = load_accepted(&runner.config_store()?).await? else {
        let text = "no configuration has been accepted; the generation is 0\n";
        let value = json!({ "generation": 0, "error": "no configuration has been accepted" });
        return Ok(CommandReport::new(ExitStatus::Refused, text, value));
    };
    let accepted = &loaded.root.accepted;
    let config = json!(loaded.config);
    let text = format!(
        "// generation {}, by {}, {}\n{config:#}\n",
        accepted.generation,
        strip_control_characters(&accepted.author),
        strip_control_characters(&loaded.root.accepted_at),
    );
    let value = json!({
        "generation": accepted.generation,
        "author": accepted.author,
        "accepted_at": loaded.root.accepted_at,
        "config": config,
    });
    Ok(CommandReport::new(ExitStatus::Done, text, value))
}

/// Maximum number of old chunks that one apply deletes; more than the number of chunks of a
/// configuration with 25,000 organisations.
const MAX_DELETED_CHUNKS: usize = 256;

pub(crate) async fn apply_files(
    runner: &CommandRunner,
    arguments: &ApplyArguments,
) -> CommandResult {
    let config = load_config(&arguments.files)?;
    let store = runner.config_store()?;
    let bytes = canonical_json(&config)
        .map_err(|error| report_outcome(ExitStatus::Refused, "not accepted", error.to_string()))?;
    let new_nonce = || format!("{:032x}", rand::random::<u128>());
    let nonce = arguments.nonce.clone().unwrap_or_else(new_nonce);
    let expected = arguments.expect_generation;
    let request = ApplyRequest::new(bytes, expected, &arguments.author, nonce.clone())
        .with_submitted_at(&httpdate::fmt_http_date(SystemTime::now()))
        .with_timeout(Duration::from_millis(arguments.timeout_ms));
    Ok(match store.apply(&request).await {
        ApplyOutcome::Accepted { generation } => {
            // Old chunks that could not be deleted because the store did not respond are deleted
            // after the next apply.
            let _retried_later = store.collect_chunks(MAX_DELETED_CHUNKS).await;
            report_accepted(generation)
        }
        ApplyOutcome::Conflict { winner, author } => {
            report_conflict(&store, &config, winner, &author).await
        }
        ApplyOutcome::NotAccepted { reason } => {
            report_not_accepted(&reason, expected, arguments.nonce.is_some())
        }
        ApplyOutcome::Unknown => report_unknown(&nonce),
    })
}

fn report_accepted(generation: Generation) -> CommandReport {
    let text = format!("accepted as generation {generation}\n");
    let value = json!({ "outcome": "accepted", "generation": generation });
    CommandReport::new(ExitStatus::Done, text, value)
}

/// Reports the configuration that was accepted first, and what the operator's own file would change
/// now.
async fn report_conflict(
    store: &ConfigStore,
    config: &FleetConfig,
    winner: Generation,
    author: &str,
) -> CommandReport {
    let author = strip_control_characters(author);
    let mut text = format!(
        "not accepted: the file of {author} was accepted as generation {winner} in its place ({})\n",
        ResultCode::ConfigConflict.number(),
    );
    let mut value = json!({
        "outcome": "conflict",
        "code": ResultCode::ConfigConflict.number(),
        "winner": { "generation": winner, "author": author },
    });
    match load_accepted(store).await {
        Ok(accepted) => {
            let generation = accepted
                .as_ref()
                .map_or(0, |loaded| loaded.root.generation());
            let changes = changes_from(accepted.as_ref(), config);
            text += &format!("your file against generation {generation}:\n");
            text += &list_changes(&changes);
            value["generation"] = json!(generation);
            value["changes"] = json!(changes);
        }
        Err(report) => text += &format!("the difference is not known: {}", report.text),
    }
    CommandReport::new(ExitStatus::Conflict, text, value)
}

/// If the call repeats an earlier apply with its nonce, its failure does not show what happened to
/// the earlier one. If "not accepted" were reported, the operator would apply another file over a
/// configuration that is in force.
fn report_not_accepted(
    reason: &NotAcceptedReason,
    expected: Generation,
    is_repeat: bool,
) -> CommandReport {
    match reason {
        NotAcceptedReason::Unavailable(_)
        | NotAcceptedReason::WrongGeneration
        | NotAcceptedReason::CorruptRoot
            if is_repeat =>
        {
            let text = format!("still unknown: {reason}; see `get`, or apply again with --nonce");
            report_outcome(ExitStatus::Unknown, "unknown", text)
        }
        NotAcceptedReason::Unavailable(error) => {
            let text = format!("not accepted: {error}");
            report_outcome(ExitStatus::Unreachable, "not accepted", text)
        }
        NotAcceptedReason::WrongGeneration => {
            let text = format!("not accepted: generation {expected} is not the store's; see `get`");
            report_outcome(ExitStatus::Conflict, "conflict", text)
        }
        NotAcceptedReason::TooLarge | NotAcceptedReason::CorruptRoot => {
            let text = format!("not accepted: {reason}");
            report_outcome(ExitStatus::Refused, "not accepted", text)
        }
    }
}

fn report_unknown(nonce: &str) -> CommandReport {
    let code = ResultCode::ConfigUnknown;
    let text = format!(
        "unknown: it may have been accepted ({})\n\
         apply the same file again with --nonce {nonce} to find out; it is accepted at most once\n",
        code.number(),
    );
    let value = json!({ "outcome": "unknown", "code": code.number(), "nonce": nonce });
    CommandReport::new(ExitStatus::Unknown, text, value)
}

fn report_outcome(status: ExitStatus, outcome: &str, text: String) -> CommandReport {
    let code = match status {
        ExitStatus::Conflict => ResultCode::ConfigConflict,
        ExitStatus::Unknown => ResultCode::ConfigUnknown,
        ExitStatus::Unreachable => ResultCode::StoreUnavailable,
        ExitStatus::Done | ExitStatus::Refused | ExitStatus::Usage => ResultCode::ConfigInvalid,
    };
    let value = json!({ "outcome": outcome, "error": text, "code": code.number() });
    CommandReport::new(status, format!("{text} ({})\n", code.number()), value)
}

async fn load_accepted(store: &ConfigStore) -> Result<Option<LoadedConfig>, CommandReport> {
    let loaded = store.load_latest(&mut ChunkCache::new()).await;
    loaded.map_err(|error| report_load_error(&error))
}

/// Reports why the accepted configuration cannot be read.
pub(crate) fn report_load_error(error: &LoadError) -> CommandReport {
    let status = match error {
        LoadError::Store(_) => ExitStatus::Unreachable,
        LoadError::CorruptRoot
        | LoadError::MissingChunk(_)
        | LoadError::CorruptChunk(_)
        | LoadError::CorruptConfig => ExitStatus::Refused,
    };
    let code = ResultCode::StoreUnavailable.number();
    let value: Value = json!({ "error": error.to_string(), "code": code });
    CommandReport::new(status, format!("{error} ({code})\n"), value)
}

fn changes_from(accepted: Option<&LoadedConfig>, config: &FleetConfig) -> Vec<ConfigChange> {
    match accepted {
        Some(loaded) => diff_config(&loaded.config, config),
        None => diff_config(&FleetConfig::default(), config),
    }
}

fn list_changes(changes: &[ConfigChange]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

/// Removes control characters from another operator's text, since it is written to a terminal or
/// into a comment that ends with its line.
fn strip_control_characters(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).collect()
}
