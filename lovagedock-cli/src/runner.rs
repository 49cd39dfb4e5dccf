//! Runs commands.

use std::sync::Arc;

use clap::CommandFactory;
use lovagedock::{ResultCode, config_schema};
use lovagedock_daemon::Transport;
use lovagedock_platform::{ConfigStore, HttpObjectStore, ObjectStore};
use serde_json::{Value, json};

use crate::{
    arguments::{CommandArguments, CommandLine},
    client::{HttpProcessClient, ProcessClient},
    codes::show_code,
    config, drain_preview, files, processes, quarantines,
    report::{CommandReport, ExitStatus},
    settings::OperatorSettings,
    status, usage,
};

/// Runs commands against a platform and processes.
pub struct CommandRunner {
    pub(crate) settings: OperatorSettings,
    store: Option<Arc<dyn ObjectStore>>,
    client: Option<Arc<dyn ProcessClient>>,
}

impl CommandRunner {
    /// Creates a runner for the platform and the processes of the settings.
    ///
    /// # Errors
    ///
    /// A report when the TLS files of the settings cannot be used.
    pub fn new(settings: OperatorSettings) -> Result<Self, CommandReport> {
        let store = settings.platform.as_deref().map(|url| {
            let store: Arc<dyn ObjectStore> = Arc::new(HttpObjectStore::new(url));
            store
        });
        let mut client: Option<Arc<dyn ProcessClient>> = None;
        if let Some(transport) = &settings.transport {
            let transport = Transport::new(transport)
                .map_err(|report| report_settings_error(format!("transport: {report}")))?;
            let token = settings.operator_token.clone();
            client = Some(Arc::new(HttpProcessClient::new(transport, token)));
        }
        Ok(Self {
            settings,
            store,
            client,
        })
    }

    /// Replaces the store.
    pub fn with_store(mut self, store: Arc<dyn ObjectStore>) -> Self {
        self.store = Some(store);
        self
    }

    /// Replaces the process client.
    pub fn with_client(mut self, client: Arc<dyn ProcessClient>) -> Self {
        self.client = Some(client);
        self
    }

    /// Runs one command.
    pub async fn run(&self, command: &CommandArguments) -> CommandReport {
        let report = match command {
            CommandArguments::Check { files } => Ok(files::check_files(files)),
            CommandArguments::Diff { files } => config::diff_files(self, files).await,
            CommandArguments::Apply(arguments) => config::apply_files(self, arguments).await,
            CommandArguments::Get => config::get_config(self).await,
            CommandArguments::Status => status::show_status(self).await,
            CommandArguments::Explain { request } => {
                processes::explain_request(self, request).await
            }
            CommandArguments::Dump { process } => processes::dump_process(self, process).await,
            CommandArguments::Drain { process, undo } => {
                processes::drain_process(self, process, *undo).await
            }
            CommandArguments::DrainPreview { domain } => {
                drain_preview::preview_drain(self, domain).await
            }
            CommandArguments::Usage => usage::show_usage(self).await,
            CommandArguments::ReleaseQuarantine { target } => {
                quarantines::release_quarantine(self, target).await
            }
            CommandArguments::Code { number } => Ok(show_code(*number)),
            CommandArguments::Schema => Ok(show_schema()),
            CommandArguments::Completions { shell } => Ok(show_completions(*shell)),
        };
        report.unwrap_or_else(|report| report)
    }

    pub(crate) fn config_store(&self) -> Result<ConfigStore, CommandReport> {
        match &self.store {
            Some(store) => Ok(ConfigStore::new(store.clone())),
            None => Err(report_settings_error("`platform` is not set".to_owned())),
        }
    }

    pub(crate) fn process_client(&self) -> Result<&dyn ProcessClient, CommandReport> {
        let missing = || report_settings_error("`transport` is not set".to_owned());
        self.client.as_deref().ok_or_else(missing)
    }
}

/// Reports an error in the settings.
pub(crate) fn report_settings_error(error: String) -> CommandReport {
    let code = ResultCode::SettingsInvalid;
    let value = json!({ "error": error, "code": code.number() });
    CommandReport::new(ExitStatus::Usage, format!("settings: {error}\n"), value)
}

fn show_schema() -> CommandReport {
    let text = config_schema();
    let value = serde_json::from_str(&text).unwrap_or(Value::Null);
    CommandReport::new(ExitStatus::Done, text, value)
}

fn show_completions(shell: clap_complete::Shell) -> CommandReport {
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut CommandLine::command(),
        "lovagedock",
        &mut script,
    );
    let script = String::from_utf8_lossy(&script).into_owned();
    let value = json!({ "shell": shell.to_string(), "script": script });
    CommandReport::new(ExitStatus::Done, script, value)
}
