//! Administration interface of a gateway: status, explanations, dumps and drain.

use async_trait::async_trait;
use lovagedock::{AdoptionStatus, prelude::*};
use lovagedock_daemon::{
    AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute, ShutdownSignal,
};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{orders::OrderStatusTable, shared::GatewayShared, trail::RequestTrail};

/// Maximum number of request trails in a dump.
const DUMPED_TRAILS: usize = 50;
const STATUS_PATH: &str = "/status";
const EXPLAIN_PATH: &str = "/explain/";
const DRAIN_PATH: &str = "/drain";

/// Handles the administration requests of a gateway.
pub(crate) struct GatewayAdmin {
    shared: GatewayShared,
    orders: OrderStatusTable,
    shutdown: ShutdownSignal,
}

/// One endpoint in a status or a dump.
#[derive(Serialize)]
struct EndpointStatus {
    endpoint: EndpointId,
    pool: PoolId,
    host: HostId,
    failure_domain: DomainId,
    connected: bool,
    usable: bool,
    ejected: bool,
    generation: Generation,
    incarnation: Option<Incarnation>,
    in_flight: u32,
    report_age_ms: u64,
    queued: u32,
    running: u32,
    memory_tokens: TokenCount,
    free_tokens: TokenCount,
}

/// Response of `GET /status`.
#[derive(Serialize)]
struct GatewayStatus {
    gateway: GatewayId,
    failure_domain: DomainId,
    generation: Generation,
    adoption: AdoptionStatus,
    endpoints: Vec<EndpointStatus>,
}

impl GatewayAdmin {
    /// Creates the handler of this gateway.
    pub(crate) fn new(
        shared: GatewayShared,
        orders: OrderStatusTable,
        shutdown: ShutdownSignal,
    ) -> Self {
        Self {
            shared,
            orders,
            shutdown,
        }
    }

    fn status(&self) -> GatewayStatus {
        let context = &self.shared.context;
        GatewayStatus {
            gateway: context.name.clone(),
            failure_domain: context.domain.clone(),
            generation: context.generation(),
            adoption: AdoptionStatus::clone(&context.adoption.load()),
            endpoints: self.endpoints(),
        }
    }

    fn endpoints(&self) -> Vec<EndpointStatus> {
        let context = &self.shared.context;
        let now = context.clock.now();
        let mut endpoints = Vec::new();
        for (endpoint, entry) in context.fleet.entries() {
            let Some(view) = context.fleet.view(&endpoint) else {
                continue;
            };
            let report = view.report.clone().unwrap_or_default();
            endpoints.push(EndpointStatus {
                endpoint,
                pool: entry.pool,
                host: entry.host,
                failure_domain: entry.domain,
                connected: entry.incarnation.is_some(),
                usable: view.usable,
                ejected: view.ejected,
                generation: entry.generation,
                incarnation: entry.incarnation,
                in_flight: entry.in_flight,
                report_age_ms: view.report_age(now).as_millis() as u64,
                queued: report.queued,
                running: report.running,
                memory_tokens: report.memory_tokens,
                free_tokens: report.free_tokens,
            });
        }
        endpoints
    }

    fn explain(&self, argument: &str) -> AdminReply {
        let trail = parse_request_id(argument).and_then(|id| self.shared.trails.get(id));
        match trail {
            Some(trail) => reply(&trail),
            None => AdminReply::Problem {
                code: ResultCode::UnknownService,
                detail: format!("this gateway has no record of request {argument}"),
            },
        }
    }
}

#[async_trait]
impl AdminHandler for GatewayAdmin {
    /// Ready if a configuration is in force and there is a session to at least one endpoint. A load
    /// balancer must not send callers to a gateway that is disconnected from all endpoints.
    fn ready(&self) -> bool {
        let context = &self.shared.context;
        let connected = || {
            let entries = context.fleet.entries();
            entries.iter().any(|(_, entry)| entry.incarnation.is_some())
        };
        !self.shutdown.is_triggered() && context.generation() > 0 && connected()
    }

    fn dump(&self) -> Value {
        let trails: Vec<RequestTrail> = self.shared.trails.newest(DUMPED_TRAILS);
        json!({
            "status": self.status(),
            "orders": self.orders.pools(),
            "recent_requests": trails,
        })
    }

    fn routes(&self) -> &'static [AdminRoute] {
        &[
            AdminRoute {
                method: AdminMethod::Get,
                path: STATUS_PATH,
            },
            AdminRoute {
                method: AdminMethod::Get,
                path: EXPLAIN_PATH,
            },
            AdminRoute {
                method: AdminMethod::Post,
                path: DRAIN_PATH,
            },
        ]
    }

    async fn call(&self, call: AdminCall) -> AdminReply {
        match call.path {
            STATUS_PATH => reply(&self.status()),
            EXPLAIN_PATH => self.explain(&call.argument),
            _ => {
                self.shutdown.trigger();
                AdminReply::Json(json!({ "draining": true }))
            }
        }
    }
}

fn reply<T: Serialize>(document: &T) -> AdminReply {
    match serde_json::to_value(document) {
        Ok(value) => AdminReply::Json(value),
        Err(error) => AdminReply::Problem {
            code: ResultCode::MalformedRequest,
            detail: error.to_string(),
        },
    }
}
