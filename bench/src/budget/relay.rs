//! Rows of the configuration relay.

use super::{BudgetRow, BudgetUnit, RowGroup, ScaleView};
use crate::slope::{SlopeSeries, short};

const fn group(unit: BudgetUnit) -> RowGroup {
    RowGroup {
        role: "configuration relay",
        unit,
    }
}

impl ScaleView<'_> {
    pub(super) fn relay(&self) -> Vec<BudgetRow> {
        let relay = &self.slopes.relay;
        let changes = self.scale.changes;
        let idle = relay.idle_bytes.largest();
        let rate = |series: &SlopeSeries| idle + series.largest() * changes;
        let formula = |series: &SlopeSeries| {
            format!(
                "{} B/s + {} B x {}/s",
                short(idle),
                short(series.largest()),
                short(changes)
            )
        };
        let levels = self.slopes.changes.levels();
        let today = levels.last().expect("measured");
        let small = &levels[1];
        let times = |bytes: f64| format!("{} B x {}/s", short(bytes), short(changes));
        let tree = "`RelayPlan`, trees of fanout 4";
        let traffic = group(BudgetUnit::Traffic);
        vec![
            traffic.decision(
                "sent, mean process, gateways and sidecars, chunk of 2 KiB",
                tree,
                formula(&relay.change_bytes),
                rate(&relay.change_bytes),
            ),
            traffic.decision(
                "sent, busiest process, gateways and sidecars, chunk of 2 KiB",
                tree,
                formula(&relay.change_most),
                rate(&relay.change_most),
            ),
            traffic.today(
                "received once, chunks as the store has them (32 KiB)",
                "`ConfigBundle`",
                times(today.changed),
                today.changed * changes,
            ),
            traffic.decision(
                "received once, chunks of 1 KiB on average",
                "`ConfigBundle`",
                times(small.changed),
                small.changed * changes,
            ),
            traffic.today(
                "read by a process that watches the store",
                "flat root, chunks of 32 KiB",
                times(today.changed + today.flat_root),
                (today.changed + today.flat_root) * changes,
            ),
            traffic.arithmetic(
                "read by a process that watches the store",
                "root in two levels, chunks of 1 KiB",
                times(small.changed + small.two_levels),
                (small.changed + small.two_levels) * changes,
            ),
            group(BudgetUnit::CoreShare).decision(
                "decisions, with the simulated network",
                "`AdoptionState`",
                format!("{} µs a second", short(relay.cpu.largest())),
                relay.cpu.largest() * 1e-6,
            ),
            group(BudgetUnit::StoreReads).today(
                "calls to the store, whole fleet",
                "two watchers in each region",
                format!("{} watchers", relay.watchers()),
                relay.store_calls.largest(),
            ),
        ]
    }
}
