//! Rows of the platform's store and of the lease holders.

use super::{BudgetRow, BudgetUnit, RowGroup, ScaleView};
use crate::slope::short;

/// Readings of the host list a second by each gateway.
const HOST_READS: f64 = 0.5;
/// Reads of a process that watches when a change comes: root, chunk, and the next watch.
const CHANGE_READS: f64 = 3.0;
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
        let calls = self.slopes.relay.store_calls.largest();
        let hosts = HOST_READS * gateways;
        let changed = CHANGE_READS * watchers * changes;
        vec![
            group.today(
                "waiting watches, each counted as one",
                "`RelayPlan`, two watchers in each region",
                format!("{watchers} watchers"),
                watchers,
            ),
            group.today(
                "watches renewed and comparisons",
                "`AdoptionState`",
                format!("{watchers} watchers"),
                calls,
            ),
            group.today(
                "host list",
                "each gateway reads it every 2 s",
                format!("{HOST_READS}/s x {gateways}"),
                hosts,
            ),
            group.today(
                "changes: root, chunk and a new watch, mean",
                "watchers read for all",
                format!("{CHANGE_READS} x {watchers} x {}/s", short(changes)),
                changed,
            ),
            group.today(
                "all of these together",
                "-",
                "sum".to_owned(),
                watchers + calls + hosts + changed,
            ),
            group.arithmetic(
                "all of these together, if every gateway watched",
                "without the relay",
                format!(
                    "{gateways} x (1 + 1/20 s + {HOST_READS}/s + {CHANGE_READS} x {}/s)",
                    short(changes)
                ),
                gateways * (1.05 + HOST_READS + CHANGE_READS * changes),
            ),
        ]
    }

    fn store_storms(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::StoreReads);
        let gateways = self.scale.gateways;
        let watchers = self.slopes.relay.watchers() as f64;
        let store = &self.slopes.store;
        let domain = gateways / DOMAINS;
        vec![
            group.today(
                "the second after a change, with the host list",
                "watchers read for all",
                format!("{CHANGE_READS} x {watchers} + {HOST_READS}/s x {gateways}"),
                CHANGE_READS * watchers + HOST_READS * gateways,
            ),
            group.today(
                "start of a failure domain, if no peer answers, busiest second",
                "`StoreBudget`, each gateway reads all chunks",
                format!("{} x {domain}", short(store.start_busiest.fit().slope)),
                store.start_busiest.fit().at(domain),
            ),
            group.today(
                "start of a failure domain, if peers answer, with the host list",
                "root and host list at each gateway, chunks from peers",
                format!("2 x {domain} + {HOST_READS}/s x {}", gateways - domain),
                2.0 * domain + HOST_READS * (gateways - domain),
            ),
            group.today(
                "return after an outage, busiest second: watchers, and every host list",
                "`RelayPlan`, `StoreBudget`",
                format!(
                    "{} x {watchers} + {gateways}",
                    short(store.return_busiest.fit().slope)
                ),
                store.return_busiest.fit().at(watchers) + gateways,
            ),
            group.today(
                "return after an outage, if all gateways read a configuration",
                "`StoreBudget`",
                format!("{} x {gateways}", short(store.return_busiest.fit().slope)),
                store.return_busiest.fit().at(gateways),
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
