//! Rows of the platform's store and of the lease holders.

use super::{BudgetRow, BudgetUnit, RowGroup, ScaleView};
use crate::slope::short;

/// Readings of the host list a second by each gateway.
const HOST_READS: f64 = 0.5;
/// Time for which a waiting watch is kept, in seconds.
const WATCH_SECONDS: f64 = 20.0;
/// Time between two renewals of a lease, in seconds: 33% of 10 s.
const RENEW_SECONDS: f64 = 3.3;
/// Failure domains.
const DOMAINS: f64 = 16.0;

const fn group(unit: BudgetUnit) -> RowGroup {
    RowGroup {
        role: "platform store",
        unit,
    }
}

impl ScaleView<'_> {
    pub(super) fn store(&self) -> Vec<BudgetRow> {
        let mut rows = self.store_steady();
        rows.extend(self.store_storms());
        rows.extend(self.store_writes());
        rows
    }

    fn store_steady(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::StoreReads);
        let gateways = self.scale.gateways;
        let changes = self.scale.changes;
        let watchers = self.slopes.relay.watchers() as f64;
        let renewed = gateways / WATCH_SECONDS;
        let hosts = HOST_READS * gateways;
        let changed = 3.0 * gateways * changes;
        let with_relay = watchers + self.slopes.relay.store_calls.largest() + HOST_READS * watchers;
        vec![
            group.today(
                "waiting watches, each counted as one",
                "each gateway watches",
                format!("{gateways} gateways"),
                gateways,
            ),
            group.today(
                "watches renewed",
                "each gateway watches for 20 s",
                format!("{gateways} / {WATCH_SECONDS} s"),
                renewed,
            ),
            group.today(
                "host list",
                "each gateway reads it",
                format!("{HOST_READS}/s x {gateways}"),
                hosts,
            ),
            group.today(
                "changes: root, chunk and a new watch, mean",
                "each gateway reads",
                format!("3 x {gateways} x {}/s", short(changes)),
                changed,
            ),
            group.today(
                "all of these together",
                "-",
                "sum".to_owned(),
                gateways + renewed + hosts + changed,
            ),
            group.arithmetic(
                "all of these together",
                "`RelayPlan`'s watchers read for all",
                format!("{watchers} waiting + calls + host list"),
                with_relay,
            ),
        ]
    }

    fn store_storms(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::StoreReads);
        let gateways = self.scale.gateways;
        let watchers = self.slopes.relay.watchers() as f64;
        let store = &self.slopes.store;
        vec![
            group.today(
                "the second after a change",
                "each gateway reads root, chunk and watch",
                format!("3 x {gateways}"),
                3.0 * gateways,
            ),
            group.today(
                "start of a failure domain, if its gateways read the store, busiest second",
                "`StoreBudget`",
                format!(
                    "{} x {}",
                    short(store.start_busiest.fit().slope),
                    gateways / DOMAINS
                ),
                store.start_busiest.fit().at(gateways / DOMAINS),
            ),
            group.today(
                "return after an outage, if all read a configuration, busiest second",
                "`StoreBudget`",
                format!("{} x {gateways}", short(store.return_busiest.fit().slope)),
                store.return_busiest.fit().at(gateways),
            ),
            group.decision(
                "the same with the relay's watchers only",
                "`RelayPlan`, `StoreBudget`",
                format!("{} x {watchers}", short(store.return_busiest.fit().slope)),
                store.return_busiest.fit().at(watchers),
            ),
            group.today(
                "late in an outage, busiest second",
                "`StoreBudget`, probes with growing pauses",
                format!("{} x {gateways}", short(store.outage_probes.fit().slope)),
                store.outage_probes.fit().at(gateways),
            ),
        ]
    }

    fn store_writes(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::StoreWrites);
        let leases = RowGroup {
            role: "pool lease holder",
            unit: BudgetUnit::StoreWrites,
        };
        let changes = self.scale.changes;
        let pools = self.scale.pools;
        vec![
            group.today(
                "changes of configuration",
                "`ConfigStore`, chunk and root",
                format!("2 x {}/s", short(changes)),
                2.0 * changes,
            ),
            leases.arithmetic(
                "renewals, whole fleet",
                "`LeaseHolder`, a lease for each pool",
                format!("{pools} pools / {RENEW_SECONDS} s"),
                pools / RENEW_SECONDS,
            ),
        ]
    }
}
