//! Runs command lines against fakes.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use clap::Parser;
use lovagedock_cli::{
    CommandLine, CommandReport, CommandRunner, OperatorSettings, ProcessClient, ProcessError,
    ProcessMethod,
};
use lovagedock_platform::MemoryStore;
use serde_json::Value;

/// Returns scripted responses; a call without a scripted response is unreachable.
#[derive(Default)]
pub(crate) struct ScriptedClient {
    responses: HashMap<(SocketAddr, &'static str), Result<Value, ProcessError>>,
}

impl ScriptedClient {
    /// Adds a response to calls of `path` at `address`.
    pub(crate) fn with_response(
        mut self,
        address: &str,
        path: &'static str,
        response: Result<Value, ProcessError>,
    ) -> Self {
        let address = address.parse().expect("an address");
        self.responses.insert((address, path), response);
        self
    }
}

#[async_trait]
impl ProcessClient for ScriptedClient {
    async fn call(
        &self,
        address: SocketAddr,
        _method: ProcessMethod,
        path: &str,
    ) -> Result<Value, ProcessError> {
        let mut responses = self.responses.iter();
        match responses.find(|((at, name), _)| *at == address && *name == path) {
            Some((_, response)) => response.clone(),
            None => Err(ProcessError::Unreachable("connection refused".to_owned())),
        }
    }
}

/// Creates a runner with two gateways and one sidecar in its settings.
pub(crate) fn new_runner(store: Arc<MemoryStore>, client: ScriptedClient) -> CommandRunner {
    let text = r#"{
        "gateways": [
            { "id": "gateway-1", "address": "127.0.0.1:7301" },
            { "id": "gateway-2", "address": "127.0.0.1:7302" }
        ],
        "sidecars": [{ "id": "engine-1", "address": "127.0.0.1:7401" }]
    }"#;
    let settings: OperatorSettings = serde_json::from_str(text).expect("valid settings");
    let runner = CommandRunner::new(settings).expect("no files to read");
    runner.with_store(store).with_client(Arc::new(client))
}

/// Runs a command line as it would be typed after `lovagedock`.
pub(crate) async fn run(runner: &CommandRunner, line: &str) -> CommandReport {
    let words = std::iter::once("lovagedock").chain(line.split_whitespace());
    let line = CommandLine::try_parse_from(words).expect("a valid command line");
    runner.run(&line.command.expect("a command")).await
}

/// Exit status and text, as an operator sees them.
pub(crate) fn show(report: &CommandReport) -> String {
    format!("exit {}\n{}", report.status.number(), report.text)
}
