//! Tracks the era of the platform's store, which increases when the store is restored from an
//! earlier copy.

use lovagedock::prelude::*;
use slog::info;
use tokio::sync::futures::Notified;

use super::GatewayState;

impl GatewayState {
    /// Applies an era that the store or a peer reported.
    ///
    /// A gateway that does not watch the store, or cannot reach it, learns only from its peers that
    /// the store was restored, and has to write its own entries again in this case too.
    pub(crate) fn update_era(&self, era: StoreEra, source: &'static str) {
        let mut fleet = self.fleet.lock();
        let before = fleet.store_era;
        fleet.store_era = before.max(Some(era));
        drop(fleet);
        if let Some(before) = before.filter(|before| *before < era) {
            metrics::counter!("lovagedock_store_returns_total").increment(1);
            info!(self.log, "store came back from an older copy";
                "era" => era, "before" => before, "source" => source);
            self.store_restored.notify_waiters();
        }
    }

    /// Returns the latest known era of the store.
    pub(crate) fn store_era(&self) -> StoreEra {
        self.fleet.lock().store_era.unwrap_or_default()
    }

    /// Waits until the store was restored from an earlier copy.
    pub(crate) fn store_restored(&self) -> Notified<'_> {
        self.store_restored.notified()
    }
}
