//! Rows of the command line.

use super::{BudgetRow, BudgetUnit, RowGroup, ScaleView};
use crate::slope::short;

impl ScaleView<'_> {
    /// No budget applies to the command line, which runs on an operator's host.
    pub(super) fn command_line(&self) -> Vec<BudgetRow> {
        let config = &self.slopes.config;
        let cpu = RowGroup {
            role: "command line",
            unit: BudgetUnit::Microseconds,
        };
        let memory = RowGroup {
            role: "command line",
            unit: BudgetUnit::OperatorMemory,
        };
        let count = self.scale.organisations;
        let per = |slope: f64| format!("{} x {count}", short(slope));
        vec![
            cpu.today(
                "processor time of `check`",
                "`parse_config`",
                per(config.check_cpu.fit().slope),
                config.check_cpu.largest(),
            ),
            memory.today(
                "memory of `check`",
                "`parse_config`",
                per(config.check_peak.fit().slope),
                config.check_peak.largest(),
            ),
        ]
    }
}
