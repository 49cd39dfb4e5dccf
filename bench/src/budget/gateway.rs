//! Rows of a gateway.

use super::{
    BEATS, BudgetRow, BudgetUnit, CALL_SEGMENTS, FEW_BEATS, FEW_GATEWAYS, REQUEST_SECONDS,
    RowGroup, ScaleView,
};
use crate::{slope::short, wire::SEGMENT_HEADER_BYTES};

/// Usage exchanges a second with each peer.
const EXCHANGES: f64 = 2.0;
/// Organisations with requests at one gateway within one exchange.
const ACTIVE: f64 = 13.0;
/// Hosts that fail or are replaced, a second.
const HOST_CHANGES: f64 = (150.0 + 870.0) / 86_400.0;

const fn group(unit: BudgetUnit) -> RowGroup {
    RowGroup {
        role: "gateway",
        unit,
    }
}

impl ScaleView<'_> {
    pub(super) fn gateway(&self) -> Vec<BudgetRow> {
        let mut rows = self.gateway_traffic();
        rows.extend(self.gateway_cpu());
        rows.extend(self.gateway_memory());
        rows
    }

    fn gateway_traffic(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::Traffic);
        let sessions = self.gateway_sessions();
        let beat = self.beat_bytes();
        let usage = self.slopes.usage_bytes.fit().at(ACTIVE) + CALL_SEGMENTS * SEGMENT_HEADER_BYTES;
        let peers = self.scale.gateways - 1.0;
        let few = FEW_GATEWAYS * self.scale.endpoints / self.scale.gateways;
        let changes = self.scale.changes;
        vec![
            group.today(
                "heartbeats and load reports",
                "`SubsetPlanner`, 16 gateways for each endpoint",
                format!("{} B x {BEATS}/s x {sessions} sessions", short(beat)),
                beat * BEATS * sessions,
            ),
            group.arithmetic(
                "heartbeats and load reports",
                "subsets of 4 gateways; a heartbeat in 3 s where no answer flows",
                format!(
                    "{} B x {}/s x {few} sessions",
                    short(beat),
                    short(FEW_BEATS)
                ),
                beat * FEW_BEATS * few,
            ),
            group.today(
                "usage of organisations",
                "`UsageLimiter`, reports to every gateway",
                format!("{} B x {EXCHANGES}/s x {peers} peers x 2", short(usage)),
                usage * EXCHANGES * peers * 2.0,
            ),
            group.arithmetic(
                "usage of organisations",
                "3 summing gateways for each organisation, every 2 s",
                format!("{} B x 0.5/s x 3", short(usage)),
                usage * 0.5 * 3.0,
            ),
            group.today(
                "whole configurations for sidecars, if one gateway of 16 feeds each",
                "`configure` with the whole text",
                format!(
                    "{} B x {}/s x {sessions} sessions / 16",
                    short(self.text_bytes()),
                    short(changes)
                ),
                self.text_bytes() * changes * self.scale.endpoints / self.scale.gateways,
            ),
        ]
    }

    fn gateway_cpu(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::CoreShare);
        let sessions = self.gateway_sessions();
        let rate = self.scale.requests / self.scale.gateways;
        let view = sessions / self.scale.pools;
        let placement = self.slopes.kernel.placement_cpu.fit().at(view);
        let admit = self.slopes.limits.admit_cpu.largest();
        let exchange = self.slopes.limits.exchange_cpu.largest();
        let plan = self.slopes.subset.plan_cpu.largest();
        let change = self.change_cpu();
        let changes = self.scale.changes;
        let share = |micros: f64| micros * 1e-6;
        vec![
            group.today(
                "heartbeats",
                "`capnp-rpc` sessions",
                format!(
                    "{} µs x {BEATS}/s x {sessions} sessions",
                    short(self.beat_cpu())
                ),
                share(self.beat_cpu() * BEATS * sessions),
            ),
            group.today(
                "placement",
                "`PlacementPolicy` over the pool's part of the subset",
                format!("{} µs x {} requests/s", short(placement), short(rate)),
                share(placement * rate),
            ),
            group.today(
                "admission by limits",
                "`UsageLimiter::admit`, over all peers",
                format!("{} µs x {} requests/s", short(admit), short(rate)),
                share(admit * rate),
            ),
            group.today(
                "usage exchange, without its sessions",
                "`UsageLimiter`, each message over all peers",
                format!("{} µs x {EXCHANGES}/s", short(exchange)),
                share(exchange * EXCHANGES),
            ),
            group.today(
                "taking a change",
                "whole text read, tables built anew",
                format!("{} µs x {}/s", short(change), short(changes)),
                share(change * changes),
            ),
            group.today(
                "planning the subset",
                "`SubsetPlanner`, with each change",
                format!("{} µs x {}/s", short(plan), short(changes)),
                share(plan * changes),
            ),
            group.arithmetic(
                "planning the subset",
                "`SubsetPlanner`, only when hosts change",
                format!("{} µs x 1,020 / 86,400 s", short(plan)),
                share(plan * HOST_CHANGES),
            ),
        ]
    }

    fn gateway_memory(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::Memory);
        let config = &self.slopes.config;
        let kernel = &self.slopes.kernel;
        let scale = &self.scale;
        let in_force = config.gateway_heap.largest() + config.endpoint_heap.largest();
        let peak = config.gateway_peak.largest() + 2.0 * config.endpoint_heap.largest();
        let session = self.slopes.wire.session_heap.fit().slope / 2.0;
        let flight = scale.requests / scale.gateways * REQUEST_SECONDS;
        let machine = kernel.request_heap.fit().slope;
        let limiter = kernel.limiter_heap.largest();
        let peers = self.slopes.limits.peers_heap.largest();
        let sessions = self.gateway_sessions();
        let endpoint = kernel.endpoint_heap.fit().slope;
        let chunks = self.text_bytes();
        let rest = chunks + limiter + peers + (session + endpoint) * sessions + machine * flight;
        vec![
            group.today(
                "configuration in force",
                "`FleetConfig`, its text, and keys by hash",
                format!(
                    "{} B x {} organisations + {} B x {} endpoints",
                    short(config.gateway_heap.fit().slope),
                    scale.organisations,
                    short(config.endpoint_heap.fit().slope),
                    scale.endpoints,
                ),
                in_force,
            ),
            group.today(
                "chunks for other processes",
                "`AdoptionState`, beside the text",
                "as long as the text".to_owned(),
                chunks,
            ),
            group.today(
                "limits of organisations",
                "`UsageLimiter`",
                format!(
                    "{} B x {}",
                    short(kernel.limiter_heap.fit().slope),
                    scale.organisations
                ),
                limiter,
            ),
            group.today(
                "what peers reported of usage",
                "`UsageLimiter`, 13 organisations in each report",
                format!(
                    "{} B x {} peers",
                    short(self.slopes.limits.peers_heap.fit().slope),
                    scale.gateways
                ),
                peers,
            ),
            group.today(
                "sessions and pool states",
                "`SubsetPlanner`",
                format!(
                    "({} + {}) B x {sessions} sessions",
                    short(session),
                    short(endpoint)
                ),
                (session + endpoint) * sessions,
            ),
            group.today(
                "requests in flight, without payloads",
                "`RequestMachine`",
                format!("{} B x {}", short(machine), short(flight)),
                machine * flight,
            ),
            group.today(
                "all of these together",
                "-",
                "sum".to_owned(),
                in_force + rest,
            ),
            group.today(
                "all together while a change comes into force",
                "both generations, each with its text",
                "sum, with the configuration twice".to_owned(),
                peak + rest,
            ),
        ]
    }
}
