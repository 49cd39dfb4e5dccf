//! Counts concurrent loads from the weight store.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Gauge of concurrent loads. Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct WeightLoadGauge {
    counts: Arc<WeightCounts>,
}

#[derive(Debug, Default)]
struct WeightCounts {
    loading: AtomicUsize,
    max_loading: AtomicUsize,
}

impl WeightLoadGauge {
    /// Maximum number of concurrent loads so far.
    pub fn max_concurrent_loads(&self) -> usize {
        self.counts.max_loading.load(Ordering::SeqCst)
    }

    pub(crate) fn start_load(&self) -> WeightLoad {
        let loading = self.counts.loading.fetch_add(1, Ordering::SeqCst) + 1;
        self.counts.max_loading.fetch_max(loading, Ordering::SeqCst);
        WeightLoad {
            counts: Arc::clone(&self.counts),
        }
    }
}

/// Load in progress. It ends when this guard is dropped.
pub(crate) struct WeightLoad {
    counts: Arc<WeightCounts>,
}

impl Drop for WeightLoad {
    fn drop(&mut self) {
        self.counts.loading.fetch_sub(1, Ordering::SeqCst);
    }
}
