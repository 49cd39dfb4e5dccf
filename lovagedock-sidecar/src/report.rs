//! The load report that a sidecar sends with each heartbeat.

use std::{cell::Cell, time::Duration};

use lovagedock::{CostParameters, EndpointCore};
use lovagedock_wire::LoadMessage;

use crate::{config::SidecarConfig, state::SidecarState};

/// Makes reports, numbered for the life of the process.
#[derive(Default)]
pub(crate) struct LoadReporter {
    sequence: Cell<u64>,
}

impl LoadReporter {
    /// One report.
    pub(crate) fn report(&self, state: &SidecarState, config: &SidecarConfig) -> LoadMessage {
        self.sequence.set(self.sequence.get() + 1);
        let long_tokens = config.long_tokens();
        let (load, running_long) = state.read(|core: &EndpointCore| {
            let long = if long_tokens > 0 {
                core.running_long(long_tokens)
            } else {
                0
            };
            (core.load(), long)
        });
        LoadMessage {
            sequence: self.sequence.get(),
            leaving: load.draining,
            engine_down: !load.engine_up,
            memory_tokens: load.memory_tokens,
            free_tokens: load.free_tokens,
            queued: load.queued as u32,
            queued_tokens: load.queued_tokens,
            running: load.running as u32,
            running_long: running_long as u32,
            prefill_tokens_left: load.prefill_tokens_left,
            backlog: Duration::ZERO,
            cost: CostParameters::default(),
            generation: config.generation(),
            cached_prefixes: Vec::new(),
        }
    }
}
