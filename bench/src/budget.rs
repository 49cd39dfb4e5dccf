//! What the slopes give at the size to design for, beside the budgets.

use std::fmt;

use crate::{
    changes::ChangeSlopes,
    config::ConfigSlopes,
    kernel::KernelSlopes,
    limits::LimitSlopes,
    relay::RelaySlopes,
    scale::{
        CPU_SHARE_BUDGET, DESIGN_SCALE, FleetScale, MEMORY_BUDGET, STORE_READS, STORE_WRITES,
        TRAFFIC_BUDGET,
    },
    slope::{SlopeSeries, short},
    store::StoreSlopes,
    subset::SubsetSlopes,
    wire::{SEGMENT_HEADER_BYTES, WireSlopes},
};

/// Heartbeats a second of a session, as gateways' settings have it by default.
const BEATS: f64 = 2.0;
/// Sessions of an endpoint, as the subset planner's defaults have it.
const SESSIONS_PER_ENDPOINT: f64 = 16.0;
/// Segments of a heartbeat that carry headers: call, answer, and one acknowledgement.
const BEAT_SEGMENTS: f64 = 3.0;
/// Usage exchanges a second with each peer.
const EXCHANGES: f64 = 2.0;
/// Readings of the host list a second by each gateway.
const HOST_READS: f64 = 0.5;
/// Time for which a waiting watch is kept, in seconds.
const WATCH_SECONDS: f64 = 20.0;
/// Time between two renewals of a lease, in seconds: 33% of 10 s.
const RENEW_SECONDS: f64 = 3.3;
/// Longest life of a request at the letter's 73 ms between tokens, in seconds.
const REQUEST_SECONDS: f64 = 19_000_000.0 / 43_000.0 * 0.073 + 0.52;
/// Failure domains.
const DOMAINS: f64 = 16.0;
/// Organisations with requests at one gateway within one exchange.
const ACTIVE: f64 = 13.0;

/// All that was measured.
pub(crate) struct MeasuredSlopes {
    /// Sessions.
    pub(crate) wire: WireSlopes,
    /// Decisions.
    pub(crate) kernel: KernelSlopes,
    /// Configuration in memory.
    pub(crate) config: ConfigSlopes,
    /// Configuration that changes.
    pub(crate) changes: ChangeSlopes,
    /// Subsets.
    pub(crate) subset: SubsetSlopes,
    /// Limits.
    pub(crate) limits: LimitSlopes,
    /// Reports between gateways.
    pub(crate) usage_bytes: SlopeSeries,
    /// The relay.
    pub(crate) relay: RelaySlopes,
    /// The store's budget.
    pub(crate) store: StoreSlopes,
}

#[derive(Clone, Copy)]
enum BudgetUnit {
    CoreShare,
    Memory,
    Traffic,
    StoreReads,
    StoreWrites,
    Microseconds,
}

impl BudgetUnit {
    fn budget(self) -> Option<f64> {
        match self {
            Self::CoreShare => Some(CPU_SHARE_BUDGET),
            Self::Memory => Some(MEMORY_BUDGET),
            Self::Traffic => Some(TRAFFIC_BUDGET),
            Self::StoreReads => Some(STORE_READS),
            Self::StoreWrites => Some(STORE_WRITES),
            Self::Microseconds => None,
        }
    }

    fn show(self, value: f64) -> String {
        match self {
            Self::CoreShare => format!("{} % of a core", short(value * 100.0)),
            Self::Memory => format!("{} MB", short(value / 1e6)),
            Self::Traffic => format!("{} kB/s", short(value / 1e3)),
            Self::StoreReads => format!("{} reads/s", short(value)),
            Self::StoreWrites => format!("{} writes/s", short(value)),
            Self::Microseconds => format!("{} ms", short(value / 1e3)),
        }
    }
}

/// How a row came about.
#[derive(Clone, Copy)]
enum RowState {
    /// The product does this, and the slope is measured.
    Today,
    /// The decision exists and is measured; no daemon uses it yet.
    DecisionOnly,
    /// Worked out from measured slopes for something that is not built.
    Arithmetic,
}

impl fmt::Display for RowState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Today => "in the product",
            Self::DecisionOnly => "decision only",
            Self::Arithmetic => "not built, arithmetic",
        })
    }
}

/// One line of the page's table.
struct BudgetRow {
    role: &'static str,
    what: &'static str,
    formula: String,
    value: f64,
    unit: BudgetUnit,
    state: RowState,
}

impl BudgetRow {
    fn print(&self) {
        let (budget, verdict) = match self.unit.budget() {
            None => ("-".to_owned(), "-".to_owned()),
            Some(budget) => (self.unit.show(budget), verdict(self.value / budget)),
        };
        println!(
            "| {} | {} | {} | {} | {budget} | {verdict} | {} |",
            self.role,
            self.what,
            self.formula,
            self.unit.show(self.value),
            self.state,
        );
    }
}

fn verdict(used: f64) -> String {
    if used > 1.0 {
        return format!("**over: {} times**", short(used));
    }
    format!("{} % left", short((1.0 - used) * 100.0))
}

/// Prints the table.
pub(crate) fn print_budget(slopes: &MeasuredSlopes) {
    println!(
        "| role | what | slope x count | at that size | budget | margin | state |\n\
         |---|---|---|---|---|---|---|"
    );
    let table = BudgetTable {
        slopes,
        scale: DESIGN_SCALE,
    };
    for row in table.rows() {
        row.print();
    }
}

struct BudgetTable<'a> {
    slopes: &'a MeasuredSlopes,
    scale: FleetScale,
}

impl BudgetTable<'_> {
    fn rows(&self) -> Vec<BudgetRow> {
        let mut rows = self.gateway_traffic();
        rows.extend(self.gateway_cpu());
        rows.extend(self.gateway_memory());
        rows.extend(self.sidecar());
        rows.extend(self.relay());
        rows.extend(self.command_line());
        rows.extend(self.store());
        rows
    }

    fn gateway_sessions(&self) -> f64 {
        SESSIONS_PER_ENDPOINT * self.scale.endpoints / self.scale.gateways
    }

    fn beat_bytes(&self) -> f64 {
        self.slopes.wire.beat_bytes.fit().slope + BEAT_SEGMENTS * SEGMENT_HEADER_BYTES
    }

    /// Processor time of one end; both ends are measured together.
    fn beat_cpu(&self) -> f64 {
        self.slopes.wire.beat_cpu.fit().slope / 2.0
    }

    fn text_bytes(&self) -> f64 {
        let config = &self.slopes.config;
        config.text_bytes.fit().at(self.scale.organisations)
            + config.endpoint_text.fit().slope * self.scale.endpoints
    }

    fn change_cpu(&self) -> f64 {
        let config = &self.slopes.config;
        config.read_cpu.fit().at(self.scale.organisations)
            + config.endpoint_cpu.fit().slope * self.scale.endpoints
    }

    fn gateway_traffic(&self) -> Vec<BudgetRow> {
        let sessions = self.gateway_sessions();
        let beat = self.beat_bytes();
        let usage = self.slopes.usage_bytes.fit().at(ACTIVE) + BEAT_SEGMENTS * SEGMENT_HEADER_BYTES;
        let peers = self.scale.gateways - 1.0;
        let few = 4.0 * self.scale.endpoints / self.scale.gateways;
        let row = |what, formula, value, state| BudgetRow {
            role: "gateway",
            what,
            formula,
            value,
            unit: BudgetUnit::Traffic,
            state,
        };
        vec![
            row(
                "heartbeats and load reports of its subset",
                format!("{} B x {BEATS}/s x {sessions} sessions", short(beat)),
                beat * BEATS * sessions,
                RowState::Today,
            ),
            row(
                "the same with 4 gateways for each endpoint and a heartbeat in 2 s",
                format!("{} B x 0.5/s x {few} sessions", short(beat)),
                beat * 0.5 * few,
                RowState::Arithmetic,
            ),
            row(
                "usage of organisations, to all other gateways",
                format!("{} B x {EXCHANGES}/s x {peers} peers x 2", short(usage)),
                usage * EXCHANGES * peers * 2.0,
                RowState::Today,
            ),
            row(
                "usage of organisations, through 3 summing gateways, every 2 s",
                format!("{} B x 0.5/s x 3", short(usage)),
                usage * 0.5 * 3.0,
                RowState::Arithmetic,
            ),
            row(
                "whole configurations pushed to sidecars that lack them",
                format!(
                    "{} B x {} changes/s x {sessions} sessions / {SESSIONS_PER_ENDPOINT} feeders",
                    short(self.text_bytes()),
                    short(self.scale.changes)
                ),
                self.text_bytes() * self.scale.changes * sessions / SESSIONS_PER_ENDPOINT,
                RowState::Today,
            ),
        ]
    }

    fn gateway_cpu(&self) -> Vec<BudgetRow> {
        let sessions = self.gateway_sessions();
        let rate = self.scale.requests / self.scale.gateways;
        let view = sessions / self.scale.pools;
        let kernel = &self.slopes.kernel;
        let placement = kernel.placement_cpu.fit().at(view);
        let admit = self.slopes.limits.admit_cpu.fit().at(self.scale.gateways);
        let exchange = self
            .slopes
            .limits
            .exchange_cpu
            .fit()
            .at(self.scale.gateways);
        let plan = self.slopes.subset.plan_cpu.largest();
        let change = self.change_cpu();
        let changes = self.scale.changes;
        let row = |what, formula, micros: f64, state| BudgetRow {
            role: "gateway",
            what,
            formula,
            value: micros * 1e-6,
            unit: BudgetUnit::CoreShare,
            state,
        };
        vec![
            row(
                "heartbeats of its subset",
                format!(
                    "{} µs x {BEATS}/s x {sessions} sessions",
                    short(self.beat_cpu())
                ),
                self.beat_cpu() * BEATS * sessions,
                RowState::Today,
            ),
            row(
                "placement in a pool's part of the subset",
                format!("{} µs x {} requests/s", short(placement), short(rate)),
                placement * rate,
                RowState::Today,
            ),
            row(
                "admission by organisations' limits",
                format!("{} µs x {} requests/s", short(admit), short(rate)),
                admit * rate,
                RowState::Today,
            ),
            row(
                "exchange of usage with all gateways, without the sessions",
                format!("{} µs x {EXCHANGES}/s", short(exchange)),
                exchange * EXCHANGES,
                RowState::Today,
            ),
            row(
                "taking a change: reading the text, building the tables",
                format!("{} µs x {} changes/s", short(change), short(changes)),
                change * changes,
                RowState::Today,
            ),
            row(
                "planning the subset anew with each change",
                format!("{} µs x {} changes/s", short(plan), short(changes)),
                plan * changes,
                RowState::Today,
            ),
            row(
                "planning only when hosts change: 150 + 870 a day",
                format!("{} µs x 1,020 / 86,400 s", short(plan)),
                plan * 1_020.0 / 86_400.0,
                RowState::Arithmetic,
            ),
        ]
    }

    fn gateway_memory(&self) -> Vec<BudgetRow> {
        let config = &self.slopes.config;
        let kernel = &self.slopes.kernel;
        let scale = &self.scale;
        let endpoints = config.endpoint_heap.fit().slope * scale.endpoints;
        let in_force = config.gateway_heap.fit().at(scale.organisations) + endpoints;
        let peak = config.gateway_peak.fit().at(scale.organisations) + 2.0 * endpoints;
        let session = self.slopes.wire.session_heap.fit().slope / 2.0;
        let flight = scale.requests / scale.gateways * REQUEST_SECONDS;
        let machine = kernel.request_heap.fit().slope;
        let limiter = kernel.limiter_heap.fit().at(scale.organisations);
        let peers = self.slopes.limits.peers_heap.fit().at(scale.gateways);
        let sessions = self.gateway_sessions();
        let row = |what, formula, value, state| BudgetRow {
            role: "gateway",
            what,
            formula,
            value,
            unit: BudgetUnit::Memory,
            state,
        };
        let state = RowState::Today;
        vec![
            row(
                "configuration in force",
                format!(
                    "{} B x {} organisations + {} B x {} endpoints",
                    short(config.gateway_heap.fit().slope),
                    scale.organisations,
                    short(config.endpoint_heap.fit().slope),
                    scale.endpoints,
                ),
                in_force,
                state,
            ),
            row(
                "configuration while a change comes into force",
                "both generations, each with its text".to_owned(),
                peak,
                state,
            ),
            row(
                "limits of organisations",
                format!(
                    "{} B x {}",
                    short(kernel.limiter_heap.fit().slope),
                    scale.organisations
                ),
                limiter,
                state,
            ),
            row(
                "limits: what peers reported",
                format!(
                    "{} B x {} peers",
                    short(self.slopes.limits.peers_heap.fit().slope),
                    scale.gateways
                ),
                peers,
                state,
            ),
            row(
                "sessions to its subset",
                format!("{} B x {sessions} sessions", short(session)),
                session * sessions,
                state,
            ),
            row(
                "pool states of its subset",
                format!(
                    "{} B x {sessions} endpoints",
                    short(kernel.endpoint_heap.fit().slope)
                ),
                kernel.endpoint_heap.fit().slope * sessions,
                state,
            ),
            row(
                "machines of requests in flight, without payloads",
                format!("{} B x {} in flight", short(machine), short(flight)),
                machine * flight,
                state,
            ),
        ]
    }

    fn sidecar(&self) -> Vec<BudgetRow> {
        let scale = &self.scale;
        let config = &self.slopes.config;
        let beat = self.beat_bytes();
        let session = self.slopes.wire.session_heap.fit().slope / 2.0;
        let rate = scale.requests / scale.endpoints;
        let flight = rate * REQUEST_SECONDS;
        let queued = self.slopes.kernel.queued_heap.fit().slope;
        let endpoints = config.endpoint_heap.fit().slope * scale.endpoints;
        let admission = self.slopes.kernel.admission_cpu.fit().slope;
        let row = |what, formula, value, unit, state| BudgetRow {
            role: "sidecar",
            what,
            formula,
            value,
            unit,
            state,
        };
        vec![
            row(
                "heartbeats and load reports of its gateways",
                format!(
                    "{} B x {BEATS}/s x {SESSIONS_PER_ENDPOINT} sessions",
                    short(beat)
                ),
                beat * BEATS * SESSIONS_PER_ENDPOINT,
                BudgetUnit::Traffic,
                RowState::Today,
            ),
            row(
                "the same with 4 gateways and a heartbeat in 2 s",
                format!("{} B x 0.5/s x 4 sessions", short(beat)),
                beat * 0.5 * 4.0,
                BudgetUnit::Traffic,
                RowState::Arithmetic,
            ),
            row(
                "whole configurations, from the first gateway that sees it lacks one",
                format!(
                    "{} B x {} changes/s",
                    short(self.text_bytes()),
                    short(scale.changes)
                ),
                self.text_bytes() * scale.changes,
                BudgetUnit::Traffic,
                RowState::Today,
            ),
            row(
                "heartbeats",
                format!(
                    "{} µs x {BEATS}/s x {SESSIONS_PER_ENDPOINT}",
                    short(self.beat_cpu())
                ),
                self.beat_cpu() * 1e-6 * BEATS * SESSIONS_PER_ENDPOINT,
                BudgetUnit::CoreShare,
                RowState::Today,
            ),
            row(
                "decisions about requests",
                format!("{} µs x {} requests/s", short(admission), short(rate)),
                admission * 1e-6 * rate,
                BudgetUnit::CoreShare,
                RowState::Today,
            ),
            row(
                "taking a change (upper bound: with a gateway's tables)",
                format!(
                    "{} µs x {} changes/s",
                    short(self.change_cpu()),
                    short(scale.changes)
                ),
                self.change_cpu() * 1e-6 * scale.changes,
                BudgetUnit::CoreShare,
                RowState::Today,
            ),
            row(
                "configuration in force: shares of organisations",
                format!(
                    "{} B x {}",
                    short(config.sidecar_heap.fit().slope),
                    scale.organisations
                ),
                config.sidecar_heap.fit().at(scale.organisations),
                BudgetUnit::Memory,
                RowState::Today,
            ),
            row(
                "configuration while a change comes into force",
                "the whole text and its tree, beside the shares".to_owned(),
                config.sidecar_peak.fit().at(scale.organisations) + endpoints,
                BudgetUnit::Memory,
                RowState::Today,
            ),
            row(
                "sessions and requests, without payloads",
                format!(
                    "{} B x {SESSIONS_PER_ENDPOINT} + {} B x {}",
                    short(session),
                    short(queued),
                    short(flight)
                ),
                session * SESSIONS_PER_ENDPOINT + queued * flight,
                BudgetUnit::Memory,
                RowState::Today,
            ),
        ]
    }

    fn relay(&self) -> Vec<BudgetRow> {
        let relay = &self.slopes.relay;
        let changes = self.scale.changes;
        let rate = |series: &SlopeSeries| relay.idle_bytes.largest() + series.largest() * changes;
        let bundle = &self.slopes.changes.bundle_by_average;
        let row = |what, formula, value, unit| BudgetRow {
            role: "configuration relay",
            what,
            formula,
            value,
            unit,
            state: RowState::DecisionOnly,
        };
        vec![
            row(
                "a change of 2 KiB, mean process",
                format!(
                    "{} B/s + {} B x {}/s",
                    short(relay.idle_bytes.largest()),
                    short(relay.change_bytes.largest()),
                    short(changes)
                ),
                rate(&relay.change_bytes),
                BudgetUnit::Traffic,
            ),
            row(
                "a change of 2 KiB, busiest process",
                format!(
                    "{} B/s + {} B x {}/s",
                    short(relay.idle_bytes.largest()),
                    short(relay.change_most.largest()),
                    short(changes)
                ),
                rate(&relay.change_most),
                BudgetUnit::Traffic,
            ),
            row(
                "a change with the store's chunks, received once",
                format!("{} B x {}/s", short(bundle.largest()), short(changes)),
                bundle.largest() * changes,
                BudgetUnit::Traffic,
            ),
            row(
                "decisions, with the simulated network (upper bound)",
                format!("{} µs a second", short(relay.cpu.largest())),
                relay.cpu.largest() * 1e-6,
                BudgetUnit::CoreShare,
            ),
            row(
                "calls to the store, whole fleet",
                format!("{} watchers", relay.watchers()),
                relay.store_calls.largest(),
                BudgetUnit::StoreReads,
            ),
        ]
    }

    fn command_line(&self) -> Vec<BudgetRow> {
        let config = &self.slopes.config;
        let row = |what, series: &SlopeSeries, value, unit| BudgetRow {
            role: "command line",
            what,
            formula: format!(
                "{} x {}",
                short(series.fit().slope),
                self.scale.organisations
            ),
            value,
            unit,
            state: RowState::Today,
        };
        let cpu = config.check_cpu.fit().at(self.scale.organisations);
        let mut rows = vec![row(
            "processor time of `check`",
            &config.check_cpu,
            cpu,
            BudgetUnit::Microseconds,
        )];
        let peak = config.check_peak.fit().at(self.scale.organisations);
        let mut memory = row(
            "memory of `check`; no budget applies to the command line",
            &config.check_peak,
            peak,
            BudgetUnit::Memory,
        );
        memory.formula = format!(
            "{} B x {}",
            short(config.check_peak.fit().slope),
            self.scale.organisations
        );
        rows.push(memory);
        rows
    }

    fn store(&self) -> Vec<BudgetRow> {
        let scale = &self.scale;
        let changes = scale.changes;
        let chunks = self.slopes.changes.chunks.fit().at(scale.organisations);
        let gateways = scale.gateways;
        let row = |what, formula, value, unit, state| BudgetRow {
            role: "platform store",
            what,
            formula,
            value,
            unit,
            state,
        };
        let reads = BudgetUnit::StoreReads;
        vec![
            row(
                "idle: a waiting watch in each gateway, counted as one",
                format!("{gateways} gateways"),
                gateways,
                reads,
                RowState::Today,
            ),
            row(
                "idle: watches renewed",
                format!("{gateways} / {WATCH_SECONDS} s"),
                gateways / WATCH_SECONDS,
                reads,
                RowState::Today,
            ),
            row(
                "idle: host list, read by each gateway",
                format!("{HOST_READS}/s x {gateways}"),
                HOST_READS * gateways,
                reads,
                RowState::Today,
            ),
            row(
                "changes: root, chunk and a new watch in each gateway",
                format!("3 x {gateways} x {}/s", short(changes)),
                3.0 * gateways * changes,
                reads,
                RowState::Today,
            ),
            row(
                "the second after a change",
                format!("3 x {gateways}"),
                3.0 * gateways,
                reads,
                RowState::Today,
            ),
            row(
                "restart of a failure domain, if its gateways read the store, busiest second",
                format!("{} gateways, {} chunks", gateways / DOMAINS, short(chunks)),
                self.slopes.store.start_busiest.fit().at(gateways / DOMAINS),
                reads,
                RowState::Today,
            ),
            row(
                "return after an outage, if all gateways read the store, busiest second",
                format!(
                    "{} x {gateways}",
                    short(self.slopes.store.return_busiest.fit().slope)
                ),
                self.slopes.store.return_busiest.fit().at(gateways),
                reads,
                RowState::Today,
            ),
            row(
                "return after an outage with the relay, busiest second",
                format!("{} watchers", self.slopes.relay.watchers()),
                self.slopes
                    .store
                    .return_busiest
                    .fit()
                    .at(self.slopes.relay.watchers() as f64),
                reads,
                RowState::DecisionOnly,
            ),
            row(
                "host list, read by the relay's watchers and passed on",
                format!("{HOST_READS}/s x {}", self.slopes.relay.watchers()),
                HOST_READS * self.slopes.relay.watchers() as f64,
                reads,
                RowState::Arithmetic,
            ),
            row(
                "changes of configuration",
                format!("2 writes x {}/s", short(changes)),
                2.0 * changes,
                BudgetUnit::StoreWrites,
                RowState::Today,
            ),
            row(
                "lease of each pool",
                format!("{} pools / {RENEW_SECONDS} s", scale.pools),
                scale.pools / RENEW_SECONDS,
                BudgetUnit::StoreWrites,
                RowState::DecisionOnly,
            ),
        ]
    }
}
