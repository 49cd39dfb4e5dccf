//! Experiments: compare placement policies over several seeds and write the results to files.

mod files;
mod markdown;
mod plot;
mod run;
mod spec;
mod summary;

pub use files::write_results;
pub use markdown::render_markdown;
pub use plot::{PlotError, render_plot};
pub use run::{ExperimentError, ExperimentRecord, run_experiment};
pub use spec::{ExperimentSpec, PlannedRun};
pub use summary::{BASELINES, ExperimentSummary, PolicySummary, SeedSpread};
