//! Orders to load a model or an adapter, or to change the role.

use hyper::{Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use lovagedock::prelude::Epoch;

use super::{
    journal::OrderEntry,
    routes::{RouteError, RouteResult, json_response, read_json},
    state::EngineState,
};

#[derive(Debug, Deserialize)]
struct OrderBody {
    fence: Epoch,
    #[serde(flatten)]
    kind: OrderKind,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum OrderKind {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String, version: String },
    SetRole { role: String },
}

#[derive(Debug, Serialize)]
struct OrderResponse {
    fence: Epoch,
}

pub(crate) async fn execute(state: &EngineState, request: Request<Incoming>) -> RouteResult {
    let order: OrderBody = read_json(request).await?;
    check_fence(state, order.fence)?;
    if !matches!(order.kind, OrderKind::SetRole { .. }) {
        let _load = state.options.weights.start_load();
        state.sleep(state.options.order_time).await;
    }
    apply(state, &order);
    Ok(json_response(&OrderResponse { fence: order.fence }))
}

fn check_fence(state: &EngineState, fence: Epoch) -> Result<(), RouteError> {
    let mut core = state.core.lock();
    if state.options.checks_fences && fence < core.fence {
        let message = format!("the fencing number is below {}", core.fence);
        return Err(RouteError::new(StatusCode::CONFLICT, &message));
    }
    core.fence = core.fence.max(fence);
    Ok(())
}

fn apply(state: &EngineState, order: &OrderBody) {
    let mut core = state.core.lock();
    let kind = match &order.kind {
        OrderKind::LoadModel { model, version } => {
            core.model = model.clone();
            format!("load_model {model} {version}")
        }
        OrderKind::LoadAdapter { adapter, version } => {
            core.adapters.retain(|loaded| loaded != adapter);
            core.adapters.push(adapter.clone());
            format!("load_adapter {adapter} {version}")
        }
        OrderKind::SetRole { role } => {
            core.role = role.clone();
            format!("set_role {role}")
        }
    };
    state.journal.record_order(OrderEntry {
        fence: order.fence,
        kind,
        model_time: core.batch.now(),
    });
}
