//! Runs the engine's steps in real time, scaled by [`EngineOptions::time_scale`].
//!
//! [`EngineOptions::time_scale`]: super::options::EngineOptions::time_scale

use std::{sync::Arc, time::Duration};

use super::state::EngineState;

const IDLE_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run_steps(state: Arc<EngineState>) {
    loop {
        wait_until_running(&state).await;
        let slowdown = state.fault.borrow().slowdown();
        let stepped = {
            let mut core = state.core.lock();
            core.batch
                .step(slowdown)
                .map(|outputs| (outputs, core.batch.now()))
        };
        let Some((outputs, end)) = stepped else {
            wait_for_work(&state).await;
            continue;
        };
        tokio::time::sleep_until(state.real_instant(end)).await;
        wait_until_running(&state).await;
        state.core.lock().send_outputs(&outputs);
    }
}

async fn wait_until_running(state: &EngineState) {
    if !state.fault.borrow().stops_steps() {
        return;
    }
    let mut fault = state.fault.subscribe();
    let _ = fault.wait_for(|fault| !fault.stops_steps()).await;
    let now = state.model_now();
    state.core.lock().batch.advance_to(now);
}

async fn wait_for_work(state: &EngineState) {
    let tick = state.real_duration(IDLE_INTERVAL);
    let _ = tokio::time::timeout(tick, state.wake.notified()).await;
    let now = state.model_now();
    let mut core = state.core.lock();
    core.batch.advance_to(now);
    core.send_keep_alives();
    core.sample_load();
    core.publish_cache();
}
