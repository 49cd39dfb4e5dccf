//! The process's metrics as Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of every histogram, in seconds.
const BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0,
];

static INSTALLED: OnceLock<PrometheusHandle> = OnceLock::new();

/// Renders what the process has counted.
///
/// The recorder is one for the whole process: when several daemons share a process, as in the
/// demo, each installs it, the first wins and all render the same figures.
#[derive(Clone)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Installs the recorder, or finds the one that is installed already.
    pub fn install() -> Self {
        let handle = INSTALLED.get_or_init(install_recorder).clone();
        Self { handle }
    }

    /// Everything counted so far, in Prometheus's text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Folds histogram samples into their buckets; has to be called now and then, or the samples
    /// pile up until somebody renders.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}

fn install_recorder() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets(BUCKETS_SECONDS)
        .expect("the list of buckets is not empty");
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Only an embedding program can have set another recorder. Its figures then go there, and
    // ours render empty; the daemon works all the same.
    let _ = metrics::set_global_recorder(recorder);
    handle
}
