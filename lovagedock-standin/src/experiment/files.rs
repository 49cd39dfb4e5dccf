//! Result files of an experiment.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use super::{
    markdown::render_markdown, plot::render_plot, run::ExperimentRecord, summary::ExperimentSummary,
};

/// Writes the Markdown page, the plot and the raw results into a directory, which is created if
/// needed.
///
/// Returns the paths of the files, which are named after the experiment.
pub fn write_results(directory: &Path, record: &ExperimentRecord) -> io::Result<[PathBuf; 3]> {
    let summary = ExperimentSummary::new(&record.spec.policies, &record.runs);
    let plot = render_plot(&record.name, &summary).map_err(io::Error::other)?;
    let results = serde_json::to_string_pretty(record).map_err(io::Error::other)?;
    let page = render_markdown(record, &summary);
    fs::create_dir_all(directory)?;
    let file = |extension: &str| directory.join(format!("{}.{extension}", record.name));
    let files = [file("md"), file("svg"), file("json")];
    for (path, text) in files.iter().zip([page, plot, results]) {
        fs::write(path, text)?;
    }
    Ok(files)
}
