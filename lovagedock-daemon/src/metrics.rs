//! The process's metrics as Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of every histogram, in seconds.
const BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0,
];

static INSTALLED: OnceLock<PrometheusHandle> = OnceLock::new();

/// Renders the metrics of the process.
///
/// There is one recorder per process. When several daemons share a process, as in the demo, each
/// calls `install`; the first call installs the recorder and all handles render the same metrics.
#[derive(Clone)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Installs the recorder, or returns a handle to the installed one.
    pub fn install() -> Self {
        let handle = INSTALLED.get_or_init(install_recorder).clone();
        Self { handle }
    }

    /// All metrics in Prometheus's text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves histogram samples into their buckets. It has to be called regularly, or the samples
    /// accumulate until the next render.
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
    // Only an embedding program can have set another recorder. In that case the metrics go to that
    // recorder, and this handle renders none; the daemon works as usual.
    let _ = metrics::set_global_recorder(recorder);
    handle
}
