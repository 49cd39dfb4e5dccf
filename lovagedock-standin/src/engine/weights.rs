//! Counts the engines that load from the weight store at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Count that engines share; clones share one.
#[derive(Clone, Debug, Default)]
pub struct WeightGauge {
    counts: Arc<WeightCounts>,
}

#[derive(Debug, Default)]
struct WeightCounts {
    loading: AtomicUsize,
    most: AtomicUsize,
}

impl WeightGauge {
    /// Most loads at one moment so far.
    pub fn most_at_once(&self) -> usize {
        self.counts.most.load(Ordering::SeqCst)
    }

    pub(crate) fn begin(&self) -> WeightLoad {
        let loading = self.counts.loading.fetch_add(1, Ordering::SeqCst) + 1;
        self.counts.most.fetch_max(loading, Ordering::SeqCst);
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
