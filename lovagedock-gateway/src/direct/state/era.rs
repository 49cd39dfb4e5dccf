//! The era of the platform's store.

use lovagedock::prelude::*;
use slog::info;
use tokio::sync::futures::Notified;

use super::GatewayState;

impl GatewayState {
    /// Takes in the store's era, as the store or a peer told it.
    ///
    /// A gateway that does not watch the store, or whose path to it is cut, learns of the store's
    /// return by its peers alone, and has to write its own entries again all the same.
    pub(crate) fn update_era(&self, era: StoreEra, source: &'static str) {
        let mut fleet = self.fleet.lock();
        let before = fleet.store_era;
        fleet.store_era = before.max(Some(era));
        drop(fleet);
        if let Some(before) = before.filter(|before| *before < era) {
            metrics::counter!("lovagedock_store_returns_total").increment(1);
            info!(self.log, "store came back from an older copy";
                "era" => era, "before" => before, "source" => source);
            self.store_returned.notify_waiters();
        }
    }

    /// The latest era of the store that is known.
    pub(crate) fn store_era(&self) -> StoreEra {
        self.fleet.lock().store_era.unwrap_or_default()
    }

    /// Waits until the store has come back from an older copy.
    pub(crate) fn store_returned(&self) -> Notified<'_> {
        self.store_returned.notified()
    }
}
