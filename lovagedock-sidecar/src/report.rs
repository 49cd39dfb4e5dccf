//! The load report that a sidecar sends with each heartbeat.

use std::cell::Cell;

use lovagedock::EndpointCore;
use lovagedock_wire::LoadMessage;

use crate::{config::SidecarConfig, state::SidecarState};

/// Creates load reports with a sequence number that is unique within an incarnation.
#[derive(Default)]
pub(crate) struct LoadReporter {
    sequence: Cell<u64>,
}

impl LoadReporter {
    /// Creates the next report.
    pub(crate) fn report(&self, state: &SidecarState, config: &SidecarConfig) -> LoadMessage {
        self.sequence.set(self.sequence.get() + 1);
        let long_tokens = config.long_tokens();
        let now = state.clock.now();
        let (load, running_long, mut backlog, cost) = state.read(|core: &EndpointCore| {
            let long = match long_tokens {
                0 => 0,
                tokens => core.running_long(tokens),
            };
            (
                core.load(),
                long,
                core.backlog(now, long_tokens),
                core.cost_parameters(),
            )
        });
        backlog.all += state.segments.prefill_left(now, cost);
        let running_long = running_long + state.segments.count();
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
            backlog,
            cost,
            generation: config.generation(),
            cached_prefixes: Vec::new(),
        }
    }
}
