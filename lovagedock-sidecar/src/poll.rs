//! Polls the engine's load and its memory allocations.

use std::{sync::Arc, time::Duration};

use lovagedock::{EndpointEvent, EngineAllocation, EngineReport};
use slog::{info, warn};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{adapter::EngineError, state::SidecarState};

/// Consecutive failed polls after which the engine counts as down.
const FAILURES_UNTIL_DOWN: u32 = 3;
/// Time limit for one poll.
///
/// A hung engine keeps its connections open and sends nothing. For requests that wait for a whole
/// (not streamed) answer, these polls are the only way to detect that. Therefore the limit is
/// shorter than the time that an answer may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the engine repeatedly; never returns.
pub(crate) async fn run(state: Arc<SidecarState>, poll_interval: Duration) {
    let mut ticks = interval(poll_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    loop {
        ticks.tick().await;
        match poll_engine(&state).await {
            Ok(()) => {
                if failures >= FAILURES_UNTIL_DOWN {
                    info!(state.log, "engine is up");
                    state.decide(EndpointEvent::EngineUp);
                }
                failures = 0;
            }
            Err(error) => {
                failures += 1;
                if failures == FAILURES_UNTIL_DOWN {
                    warn!(state.log, "engine is down"; "error" => %error);
                    state.decide(EndpointEvent::EngineDown);
                    state.orders.record_engine_down();
                }
            }
        }
    }
}

async fn poll_engine(state: &Arc<SidecarState>) -> Result<(), EngineError> {
    let polled = timeout(POLL_TIMEOUT, record_report(state)).await;
    polled.unwrap_or_else(|_| {
        Err(EngineError::lost(format!(
            "no load report within {POLL_TIMEOUT:?}"
        )))
    })
}

async fn record_report(state: &Arc<SidecarState>) -> Result<(), EngineError> {
    let load = state.adapter.load().await?;
    state.orders.record_load(state.clock.now(), &load);
    state.decide(EndpointEvent::EngineReport(EngineReport {
        memory_tokens: load.memory_tokens,
        ..EngineReport::default()
    }));
    let allocations = state.adapter.allocations().await?;
    let engine_allocations = allocations
        .iter()
        .map(|allocation| EngineAllocation {
            request: allocation.request_id,
            tokens: allocation.tokens,
        })
        .collect();
    state.decide(EndpointEvent::EngineAllocations(engine_allocations));
    Ok(())
}
