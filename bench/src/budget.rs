//! What the slopes give at the size to design for, beside the budgets.

mod claims;
mod command_line;
mod gateway;
mod relay;
mod sidecar;
mod store;

use std::fmt;

use crate::{
    changes::ChangeSlopes,
    claims::ClaimSlopes,
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
pub(crate) const BEATS: f64 = 2.0;
/// Sessions of an endpoint, as the subset planner's defaults have it.
pub(crate) const SESSIONS_PER_ENDPOINT: f64 = 16.0;
/// Segments of a call that carry headers: call, answer, and one acknowledgement.
const CALL_SEGMENTS: f64 = 3.0;
/// Longest life of a request at 73 ms between tokens, in seconds.
pub(crate) const REQUEST_SECONDS: f64 = 19_000_000.0 / 43_000.0 * 0.073 + 0.52;
/// Gateways of an endpoint and heartbeats a second of a session that would fit.
const FEW_GATEWAYS: f64 = 4.0;
const FEW_BEATS: f64 = 1.0 / 3.0;

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
    /// Claims.
    pub(crate) claims: ClaimSlopes,
    /// The store's budget.
    pub(crate) store: StoreSlopes,
}

/// What a row counts.
#[derive(Clone, Copy)]
pub(crate) enum BudgetUnit {
    /// Share of a core.
    CoreShare,
    /// Bytes of memory.
    Memory,
    /// Bytes a second, both directions together.
    Traffic,
    /// Reads a second of the store.
    StoreReads,
    /// Writes a second of the store.
    StoreWrites,
    /// Keyed requests a second that can be carried, beside all requests; no budget applies.
    KeyedRequests,
    /// Microseconds; no budget applies.
    Microseconds,
    /// Bytes of memory on an operator's host; no budget applies.
    OperatorMemory,
}

impl BudgetUnit {
    fn budget(self) -> Option<f64> {
        match self {
            Self::CoreShare => Some(CPU_SHARE_BUDGET),
            Self::Memory => Some(MEMORY_BUDGET),
            Self::Traffic => Some(TRAFFIC_BUDGET),
            Self::StoreReads => Some(STORE_READS),
            Self::StoreWrites => Some(STORE_WRITES),
            Self::KeyedRequests | Self::Microseconds | Self::OperatorMemory => None,
        }
    }

    fn show(self, value: f64) -> String {
        match self {
            Self::CoreShare => format!("{} % of a core", short(value * 100.0)),
            Self::Memory | Self::OperatorMemory => format!("{} MB", short(value / 1e6)),
            Self::Traffic => format!("{} kB/s", short(value / 1e3)),
            Self::StoreReads => format!("{} reads/s", short(value)),
            Self::StoreWrites => format!("{} writes/s", short(value)),
            Self::KeyedRequests => format!(
                "{}/s, {} % of all",
                short(value),
                short(100.0 * value / DESIGN_SCALE.requests)
            ),
            Self::Microseconds => format!("{} ms", short(value / 1e3)),
        }
    }
}

/// How a row came about.
#[derive(Clone, Copy)]
pub(crate) enum RowState {
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
pub(crate) struct BudgetRow {
    role: &'static str,
    what: &'static str,
    mechanism: &'static str,
    formula: String,
    value: f64,
    unit: BudgetUnit,
    state: RowState,
}

impl BudgetRow {
    fn text(&self) -> String {
        let (budget, verdict) = match self.unit.budget() {
            None => ("-".to_owned(), "-".to_owned()),
            Some(budget) => (self.unit.show(budget), verdict(self.value / budget)),
        };
        format!(
            "| {} | {} | {} | {} | {budget} | {verdict} | {} | {} |\n",
            self.role,
            self.what,
            self.formula,
            self.unit.show(self.value),
            self.mechanism,
            self.state,
        )
    }
}

fn verdict(used: f64) -> String {
    if used > 1.0 {
        return format!("**over: {} times**", short(used));
    }
    format!("{} % left", short((1.0 - used) * 100.0))
}

/// Rows of one role in one unit.
struct RowGroup {
    role: &'static str,
    unit: BudgetUnit,
}

impl RowGroup {
    fn today(
        &self,
        what: &'static str,
        mechanism: &'static str,
        formula: String,
        value: f64,
    ) -> BudgetRow {
        BudgetRow {
            role: self.role,
            what,
            mechanism,
            formula,
            value,
            unit: self.unit,
            state: RowState::Today,
        }
    }

    fn decision(
        &self,
        what: &'static str,
        mechanism: &'static str,
        formula: String,
        value: f64,
    ) -> BudgetRow {
        BudgetRow {
            state: RowState::DecisionOnly,
            ..self.today(what, mechanism, formula, value)
        }
    }

    fn arithmetic(
        &self,
        what: &'static str,
        mechanism: &'static str,
        formula: String,
        value: f64,
    ) -> BudgetRow {
        BudgetRow {
            state: RowState::Arithmetic,
            ..self.today(what, mechanism, formula, value)
        }
    }
}

/// The table, as Markdown.
pub(crate) fn table(slopes: &MeasuredSlopes) -> String {
    let header = "| role | what | slope x count | at that size | budget | margin | mechanism | \
                  state |\n|---|---|---|---|---|---|---|---|\n";
    let view = ScaleView {
        slopes,
        scale: DESIGN_SCALE,
    };
    let mut rows = view.gateway();
    rows.extend(view.sidecar());
    rows.extend(view.relay());
    rows.extend(view.command_line());
    rows.extend(view.store());
    rows.extend(view.claims());
    let rows: Vec<String> = rows.iter().map(BudgetRow::text).collect();
    format!("{header}{}", rows.concat())
}

/// The slopes at a size.
pub(crate) struct ScaleView<'a> {
    pub(crate) slopes: &'a MeasuredSlopes,
    pub(crate) scale: FleetScale,
}

impl ScaleView<'_> {
    fn gateway_sessions(&self) -> f64 {
        SESSIONS_PER_ENDPOINT * self.scale.endpoints / self.scale.gateways
    }

    fn beat_bytes(&self) -> f64 {
        self.slopes.wire.beat_bytes.fit().slope + CALL_SEGMENTS * SEGMENT_HEADER_BYTES
    }

    /// Processor time of one end; both ends are measured together.
    fn beat_cpu(&self) -> f64 {
        self.slopes.wire.beat_cpu.fit().slope / 2.0
    }

    /// Text of the whole configuration; both parts are measured at this size.
    fn text_bytes(&self) -> f64 {
        let config = &self.slopes.config;
        config.text_bytes.largest() + config.endpoint_text.largest()
    }

    fn change_cpu(&self) -> f64 {
        let config = &self.slopes.config;
        config.read_cpu.largest() + config.endpoint_cpu.largest()
    }
}
