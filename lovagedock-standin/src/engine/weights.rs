//! Counts the engines that load from the weight store at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Count that engines share; clones share one.
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
    /// Most loads at one moment so far.
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

/// A load; it ends when this is dropped.
pub(crate) struct WeightLoad {
    counts: Arc<WeightCounts>,
}

impl Drop for WeightLoad {
    fn drop(&mut self) {
        self.counts.loading.fetch_sub(1, Ordering::SeqCst);
    }
}
