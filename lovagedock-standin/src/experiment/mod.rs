//! Experiments: policies against each other over seeds, and the files with what came of them.

mod files;
mod plot;
mod run;
mod spec;
mod summary;
mod table;

pub use files::write_results;
pub use plot::{PlotError, render_plot};
pub use run::{ExperimentError, ExperimentRecord, run_experiment};
pub use spec::{ExperimentSpec, PlannedRun};
pub use summary::{BASELINES, ExperimentSummary, PolicySummary, SeedSpread};
pub use table::render_markdown;
