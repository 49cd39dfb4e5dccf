//! Executes the orders of lease holders and checks their fencing numbers, independently of
//! the engine's own checks.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    FenceAction, FenceEvent, FenceGate, FencedOrder, LoadOrder, LoadedArtifacts, LoadedReport,
    prelude::*,
};
use lovagedock_wire::{OrderMessage, OrderReply};
use parking_lot::Mutex;
use serde_json::{Value, json};
use slog::{info, warn};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    adapter::{EngineError, EngineLoad, EngineOrder, OrderKind},
    state::SidecarState,
};

/// Time limit for one order on the engine. An engine that never responds would block all later
/// orders. After this time the order counts as lost and the next one is passed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(15 * 60);
/// HTTP status of an engine that has seen a higher fencing number.
const CONFLICT_STATUS: u16 = 409;

/// Passes orders to the engine, one at a time; no order reaches the engine in another way.
///
/// Lock order: this lock is taken alone.
#[derive(Default)]
pub(crate) struct OrderExecutor {
    state: Mutex<ExecutorState>,
}

#[derive(Default)]
struct ExecutorState {
    gate: FenceGate,
    artifacts: LoadedArtifacts,
    waiting: Vec<WaitingOrder>,
}

struct WaitingOrder {
    fenced: FencedOrder,
    order: LoadOrder,
    reply: oneshot::Sender<OrderEnd>,
}

/// Result of an order.
struct OrderEnd {
    code: ResultCode,
    detail: String,
}

impl OrderEnd {
    fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

impl OrderExecutor {
    /// Records the model and the adapters that the engine reports.
    pub(crate) fn record_load(&self, now: Timestamp, load: &EngineLoad) {
        let mut state = self.state.lock();
        state.artifacts.report(now, &load.model, &load.adapters);
    }

    /// Records that the engine is down and has lost everything it had loaded.
    pub(crate) fn record_engine_down(&self) {
        self.state.lock().artifacts.forget();
    }

    /// What the engine has loaded, as far as known, and the pool's highest known fencing number.
    pub(crate) fn report(&self, pool: &str) -> LoadedReport {
        let state = self.state.lock();
        LoadedReport {
            loaded: state.artifacts.current(),
            busy: state.gate.passing().is_some(),
            unsettled: state.artifacts.is_unsettled(),
            highest: state.gate.highest(pool).unwrap_or_default(),
        }
    }

    /// State of the orders for a dump.
    pub(crate) fn dump(&self) -> Value {
        let state = self.state.lock();
        json!({
            "loaded": state.artifacts.current(),
            "unsettled": state.artifacts.is_unsettled(),
            "passing": state.gate.passing().map(|order| order.epoch),
            "waiting": state.waiting.len(),
        })
    }

    /// Refuses an order before its fencing number is checked.
    pub(crate) fn refuse(&self, pool: &str, detail: String) -> OrderReply {
        let code = ResultCode::ConfigConflict;
        self.reply(pool, OrderEnd { code, detail })
    }

    fn reply(&self, pool: &str, end: OrderEnd) -> OrderReply {
        OrderReply {
            code: end.code,
            detail: end.detail,
            report: self.report(pool),
        }
    }

    /// Records the fencing number of a lease holder.
    ///
    /// After a restart of the sidecar the first number that arrives becomes the highest known one.
    /// The sidecar does not compare it with the store, since sidecars have no access to the store.
    /// An order of a former holder cannot arrive first and be accepted: the former holder checked
    /// its lease after this incarnation of the sidecar had replied to it, so no successor held the
    /// lease before that. What a successor sends later arrives at this incarnation and raises the
    /// highest known number.
    fn check_fence(&self, message: &OrderMessage) -> OrderReply {
        let pool = message.pool.clone();
        let epoch = message.epoch;
        let highest = {
            let mut state = self.state.lock();
            state.gate.handle(FenceEvent::Seen { pool, epoch });
            state.gate.highest(&message.pool).unwrap_or_default()
        };
        let end = match epoch < highest {
            true => OrderEnd::new(
                ResultCode::FenceStale,
                format!("a lease holder with fencing number {highest} is known"),
            ),
            false => OrderEnd::new(ResultCode::Complete, ""),
        };
        self.reply(&message.pool, end)
    }

    /// Passes the order to the engine if the fence allows it. The receiver gets the result.
    fn submit(
        &self,
        sidecar: &Arc<SidecarState>,
        fenced: FencedOrder,
        order: LoadOrder,
    ) -> oneshot::Receiver<OrderEnd> {
        let (reply, end) = oneshot::channel();
        let mut state = self.state.lock();
        if state.waiting.iter().any(|waiting| waiting.fenced == fenced) {
            let _receiver_dropped = reply.send(repeated_order());
            return end;
        }
        state.waiting.push(WaitingOrder {
            fenced: fenced.clone(),
            order,
            reply,
        });
        let actions = state.gate.handle(FenceEvent::Order(fenced));
        state.execute(sidecar, actions);
        end
    }

    /// What the engine has to load for the order that is being passed; `None` if it is already
    /// loaded.
    ///
    /// A lease holder whose session broke while the engine was loading sends the same order again.
    /// Loading twice would take the engine out of service without need.
    fn start_load(&self, fenced: &FencedOrder) -> Option<LoadOrder> {
        let mut state = self.state.lock();
        let waiting = state
            .waiting
            .iter()
            .find(|waiting| waiting.fenced == *fenced)?;
        let order = waiting.order.clone();
        if state.artifacts.holds(&order) {
            return None;
        }
        state.artifacts.begin(&order);
        Some(order)
    }

    fn record_result(&self, now: Timestamp, order: LoadOrder, result: &Result<(), EngineError>) {
        let artifacts = &mut self.state.lock().artifacts;
        match result {
            Ok(()) => artifacts.confirm(now, order),
            Err(error) if error.ran() == RanState::No => artifacts.withdraw(),
            Err(_) => {}
        }
    }

    fn finish(&self, sidecar: &Arc<SidecarState>, fenced: FencedOrder, end: OrderEnd) {
        let mut state = self.state.lock();
        state.send_reply(&fenced, end);
        let actions = state.gate.handle(FenceEvent::Finished(fenced));
        state.execute(sidecar, actions);
    }
}

impl ExecutorState {
    fn execute(&mut self, sidecar: &Arc<SidecarState>, actions: Vec<FenceAction>) {
        for action in actions {
            match action {
                FenceAction::Pass(fenced) => {
                    // Runs in a separate task, so that the order continues when the lease
                    // holder's session breaks.
                    tokio::spawn(run(Arc::clone(sidecar), fenced));
                }
                FenceAction::Refuse {
                    order,
                    code,
                    highest,
                } => {
                    warn!(sidecar.log, "order refused"; "pool" => &*order.pool,
                        "epoch" => order.epoch, "highest" => highest, "code" => code.number());
                    let detail = format!("the highest known fencing number is {highest}");
                    self.send_reply(&order, OrderEnd { code, detail });
                }
                FenceAction::Repeated(order) => self.send_reply(&order, repeated_order()),
            }
        }
    }

    fn send_reply(&mut self, fenced: &FencedOrder, end: OrderEnd) {
        let Some(index) = self
            .waiting
            .iter()
            .position(|waiting| waiting.fenced == *fenced)
        else {
            return;
        };
        // The receiver is dropped when the lease holder has disconnected.
        let _receiver_dropped = self.waiting.swap_remove(index).reply.send(end);
    }
}

/// Handles one call of a lease holder.
pub(crate) async fn handle(sidecar: &Arc<SidecarState>, message: OrderMessage) -> OrderReply {
    let executor = &sidecar.orders;
    let Some(order) = message.order.clone() else {
        return executor.check_fence(&message);
    };
    let fenced = FencedOrder {
        pool: message.pool.clone(),
        epoch: message.epoch,
        sequence: message.sequence,
    };
    let end = executor.submit(sidecar, fenced, order).await;
    let end = end.unwrap_or_else(|_| OrderEnd::new(ResultCode::EndpointLost, ""));
    executor.reply(&message.pool, end)
}

/// Executes one order on the engine.
async fn run(sidecar: Arc<SidecarState>, fenced: FencedOrder) {
    let executor = &sidecar.orders;
    let Some(order) = executor.start_load(&fenced) else {
        let end = OrderEnd::new(ResultCode::Complete, "already loaded");
        return executor.finish(&sidecar, fenced, end);
    };
    let engine_order = EngineOrder {
        fence: fenced.epoch,
        kind: order_kind(&order),
    };
    let outcome = timeout(ORDER_TIMEOUT, sidecar.adapter.order(engine_order)).await;
    let result = outcome.unwrap_or_else(|_| {
        let detail = format!("the order did not end within {ORDER_TIMEOUT:?}");
        Err(EngineError::Lost { detail })
    });
    info!(sidecar.log, "order ended"; "pool" => &*fenced.pool, "epoch" => fenced.epoch,
        "order" => format!("{order:?}"), "result" => format!("{result:?}"));
    executor.record_result(sidecar.clock.now(), order, &result);
    executor.finish(&sidecar, fenced, order_end(result));
}

fn order_kind(order: &LoadOrder) -> OrderKind {
    match order.clone() {
        LoadOrder::Model(artifact) => OrderKind::LoadModel {
            model: artifact.id,
            version: artifact.version,
        },
        LoadOrder::Adapter(artifact) => OrderKind::LoadAdapter {
            adapter: artifact.id,
            version: artifact.version,
        },
    }
}

fn order_end(result: Result<(), EngineError>) -> OrderEnd {
    let Err(error) = result else {
        return OrderEnd::new(ResultCode::Complete, "");
    };
    let code = match &error {
        EngineError::Refused { status, .. } if *status == CONFLICT_STATUS => ResultCode::FenceStale,
        EngineError::Refused { .. } | EngineError::Unreachable { .. } => ResultCode::EngineRefused,
        EngineError::Lost { .. } => ResultCode::EndpointLost,
        EngineError::Failed { .. } => ResultCode::EngineFailed,
    };
    OrderEnd::new(code, error.to_string())
}

fn repeated_order() -> OrderEnd {
    OrderEnd::new(ResultCode::FenceStale, "the order was already received")
}
