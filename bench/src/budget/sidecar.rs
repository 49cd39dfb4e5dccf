//! Rows of a sidecar.

use super::{
    BEATS, BudgetRow, BudgetUnit, FEW_BEATS, FEW_GATEWAYS, REQUEST_SECONDS, RowGroup,
    SESSIONS_PER_ENDPOINT, ScaleView,
};
use crate::slope::short;

const fn group(unit: BudgetUnit) -> RowGroup {
    RowGroup {
        role: "sidecar",
        unit,
    }
}

impl ScaleView<'_> {
    pub(super) fn sidecar(&self) -> Vec<BudgetRow> {
        let mut rows = self.sidecar_traffic();
        rows.extend(self.sidecar_cpu());
        rows.extend(self.sidecar_memory());
        rows
    }

    fn sidecar_traffic(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::Traffic);
        let beat = self.beat_bytes();
        let changes = self.scale.changes;
        vec![
            group.today(
                "heartbeats and load reports",
                "`SubsetPlanner`, 16 gateways for each endpoint",
                format!(
                    "{} B x {BEATS}/s x {SESSIONS_PER_ENDPOINT} sessions",
                    short(beat)
                ),
                beat * BEATS * SESSIONS_PER_ENDPOINT,
            ),
            group.arithmetic(
                "heartbeats and load reports",
                "subsets of 4 gateways; a heartbeat in 3 s where no answer flows",
                format!(
                    "{} B x {}/s x {FEW_GATEWAYS} sessions",
                    short(beat),
                    short(FEW_BEATS)
                ),
                beat * FEW_BEATS * FEW_GATEWAYS,
            ),
            group.today(
                "configurations, if one gateway feeds it",
                "`configure` with the whole text",
                format!("{} B x {}/s", short(self.text_bytes()), short(changes)),
                self.text_bytes() * changes,
            ),
        ]
    }

    fn sidecar_cpu(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::CoreShare);
        let rate = self.scale.requests / self.scale.endpoints;
        let admission = self.slopes.kernel.admission_cpu.fit().slope;
        let change = self.change_cpu();
        vec![
            group.today(
                "heartbeats",
                "`capnp-rpc` sessions",
                format!(
                    "{} µs x {BEATS}/s x {SESSIONS_PER_ENDPOINT}",
                    short(self.beat_cpu())
                ),
                self.beat_cpu() * 1e-6 * BEATS * SESSIONS_PER_ENDPOINT,
            ),
            group.today(
                "decisions about requests",
                "`EndpointCore`",
                format!("{} µs x {} requests/s", short(admission), short(rate)),
                admission * 1e-6 * rate,
            ),
            group.today(
                "taking a change (upper bound: with a gateway's tables)",
                "whole text read, shares built anew",
                format!("{} µs x {}/s", short(change), short(self.scale.changes)),
                change * 1e-6 * self.scale.changes,
            ),
        ]
    }

    fn sidecar_memory(&self) -> Vec<BudgetRow> {
        let group = group(BudgetUnit::Memory);
        let config = &self.slopes.config;
        let flight = self.scale.requests / self.scale.endpoints * REQUEST_SECONDS;
        let queued = self.slopes.kernel.queued_heap.fit().slope;
        let session = self.slopes.wire.session_heap.fit().slope / 2.0;
        let work = session * SESSIONS_PER_ENDPOINT + queued * flight;
        vec![
            group.today(
                "configuration in force",
                "`OrganisationShare`",
                format!(
                    "{} B x {}",
                    short(config.sidecar_heap.fit().slope),
                    self.scale.organisations
                ),
                config.sidecar_heap.largest(),
            ),
            group.today(
                "sessions and requests, without payloads",
                "`SubsetPlanner`, `EndpointCore`",
                format!(
                    "{} B x {SESSIONS_PER_ENDPOINT} + {} B x {}",
                    short(session),
                    short(queued),
                    short(flight)
                ),
                work,
            ),
            group.today(
                "all together while a change comes into force",
                "the whole text and its tree beside the shares",
                "sum, with a text and a tree".to_owned(),
                config.sidecar_peak.largest() + config.endpoint_heap.largest() + work,
            ),
        ]
    }
}
