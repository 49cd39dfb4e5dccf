//! Rows of claims.

use super::{BudgetRow, BudgetUnit, RowGroup, ScaleView};
use crate::{scale::STORE_WRITES, slope::short};

/// Largest object of a partition, in bytes, as the claims' limits have it by default.
const PARTITION_BYTES: f64 = 900_000.0;
/// Partitions that all gateways use.
const PARTITIONS_TODAY: f64 = 16.0;
/// Time for which a claim is kept by default, in seconds.
const WINDOW_TODAY: f64 = 3_600.0;
/// Partitions whose objects can each be written twice a second.
const PARTITIONS_MORE: f64 = STORE_WRITES / 2.0;
/// A shorter time for which claims are kept, in seconds.
const WINDOW_SHORT: f64 = 60.0;
/// Least time between two writes of a partition by one gateway, in seconds.
const WRITE_INTERVAL: f64 = 0.05;

impl ScaleView<'_> {
    pub(super) fn claims(&self) -> Vec<BudgetRow> {
        let keyed = RowGroup {
            role: "platform store",
            unit: BudgetUnit::KeyedRequests,
        };
        let writes = RowGroup {
            role: "platform store",
            unit: BudgetUnit::StoreWrites,
        };
        let bytes = self.slopes.claims.object_bytes.fit().slope;
        let rate = |partitions: f64, window: f64| partitions * PARTITION_BYTES / bytes / window;
        let formula = |partitions: f64, window: f64| {
            format!(
                "{partitions} x {PARTITION_BYTES} B / {} B / {window} s",
                short(bytes)
            )
        };
        vec![
            writes.today(
                "writes of claims, if one gateway writes each partition",
                "group commit, at most one write in 50 ms",
                format!("{PARTITIONS_TODAY} / {WRITE_INTERVAL} s"),
                PARTITIONS_TODAY / WRITE_INTERVAL,
            ),
            keyed.today(
                "keyed requests that fit the window, 16 partitions, an hour",
                "`ClaimPartition`",
                formula(PARTITIONS_TODAY, WINDOW_TODAY),
                rate(PARTITIONS_TODAY, WINDOW_TODAY),
            ),
            keyed.arithmetic(
                "keyed requests that fit the window, 150 partitions, a minute",
                "`ClaimPartition`, each partition written by its home only",
                formula(PARTITIONS_MORE, WINDOW_SHORT),
                rate(PARTITIONS_MORE, WINDOW_SHORT),
            ),
        ]
    }
}
