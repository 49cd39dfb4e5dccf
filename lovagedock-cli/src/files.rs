//! Configuration files: listing, reading and `lovagedock check`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use lovagedock::{ConfigProblem, FleetConfig, SourceFile, parse_files};
use serde_json::{Value, json};

use crate::report::{CommandReport, ExitStatus};

const EXTENSIONS: &[&str] = &["json", "jsonc"];

/// Reads and checks files and folders as one configuration.
pub(crate) fn load_config(paths: &[PathBuf]) -> Result<FleetConfig, CommandReport> {
    let files = read_sources(paths)?;
    match parse_files(&files) {
        Ok(document) => Ok(document.config),
        Err(problems) => Err(report_problems(&problems)),
    }
}

pub(crate) fn check_files(paths: &[PathBuf]) -> CommandReport {
    match load_config(paths) {
        Ok(config) => report_valid(&config),
        Err(report) => report,
    }
}

/// Lists problems, one per line.
pub(crate) fn report_problems(problems: &[ConfigProblem]) -> CommandReport {
    let mut text = String::new();
    for problem in problems {
        text += &format!("{problem}\n");
    }
    let noun = if problems.len() == 1 {
        "problem"
    } else {
        "problems"
    };
    text += &format!("{} {noun}\n", problems.len());
    let value = json!({ "valid": false, "problems": problems });
    CommandReport::new(ExitStatus::Refused, text, value)
}

fn report_valid(config: &FleetConfig) -> CommandReport {
    let endpoints: usize = config.pools.iter().map(|pool| pool.endpoints.len()).sum();
    let text = format!(
        "valid: {} services, {} pools, {endpoints} endpoints, {} gateways, {} organisations\n",
        config.services.len(),
        config.pools.len(),
        config.gateways.len(),
        config.organisations.len(),
    );
    let value = json!({
        "valid": true,
        "services": config.services.len(),
        "pools": config.pools.len(),
        "endpoints": endpoints,
        "gateways": config.gateways.len(),
        "organisations": config.organisations.len(),
    });
    CommandReport::new(ExitStatus::Done, text, value)
}

fn read_sources(paths: &[PathBuf]) -> Result<Vec<SourceFile>, CommandReport> {
    let mut files = Vec::new();
    for path in paths {
        let names = list_files(path).map_err(|error| report_unreadable(path, &error))?;
        if names.is_empty() {
            let error = io::Error::other("the folder has no .json or .jsonc file");
            return Err(report_unreadable(path, &error));
        }
        for name in names {
            let text =
                fs::read_to_string(&name).map_err(|error| report_unreadable(&name, &error))?;
            files.push(SourceFile::new(name.to_string_lossy(), text));
        }
    }
    Ok(files)
}

/// The file itself, or the configuration files of a folder, sorted by name.
fn list_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut names = Vec::new();
    for entry in fs::read_dir(path)? {
        let name = entry?.path();
        let extension = name.extension().and_then(|extension| extension.to_str());
        if extension.is_some_and(|extension| EXTENSIONS.contains(&extension)) {
            names.push(name);
        }
    }
    names.sort();
    Ok(names)
}

fn report_unreadable(path: &Path, error: &io::Error) -> CommandReport {
    let path = path.display().to_string();
    let value: Value = json!({ "error": error.to_string(), "file": path });
    CommandReport::new(ExitStatus::Usage, format!("{path}: {error}\n"), value)
}
