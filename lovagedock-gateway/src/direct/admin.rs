//! Requests of operators to a gateway without sidecars.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use lovagedock::{format_fingerprint, format_part, format_release, parse_release, prelude::*};
use lovagedock_daemon::{AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute};
use serde::Serialize;
use serde_json::{Value, json};

use super::state::GatewayState;

const STATUS_PATH: &str = "/status";
const USAGE_PATH: &str = "/usage";
const PREVIEW_PATH: &str = "/drain-preview/";
const RELEASE_PATH: &str = "/release-quarantine/";

const ROUTES: &[AdminRoute] = &[
    AdminRoute {
        method: AdminMethod::Get,
        path: STATUS_PATH,
    },
    AdminRoute {
        method: AdminMethod::Get,
        path: USAGE_PATH,
    },
    AdminRoute {
        method: AdminMethod::Get,
        path: PREVIEW_PATH,
    },
    AdminRoute {
        method: AdminMethod::Post,
        path: RELEASE_PATH,
    },
];

/// Handles the requests of operators.
pub(crate) struct GatewayAdmin {
    state: Arc<GatewayState>,
}

impl GatewayAdmin {
    /// Creates a handler for a gateway.
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    fn status(&self) -> Value {
        let state = &self.state;
        let (requests, parts) = state.quarantine_counts();
        let slow = state.slow_endpoints().into_iter();
        json!({
            "gateway": &*state.name,
            "generation": state.config().map_or(0, |config| config.version),
            "direct": {
                "ready": state.is_ready(),
                "drained_domains": self.drained_domains(),
                "cold_endpoints": self.cold_endpoints(),
                "slow_endpoints": slow.map(|(endpoint, slowdown)| json!({
                    "endpoint": endpoint, "slowdown": slowdown,
                })).collect::<Vec<_>>(),
                "quarantined_requests": requests,
                "quarantined_parts": parts,
            },
        })
    }

    /// Predicts a drain. A gateway that does not know the endpoints yet cannot tell whether the
    /// domain exists.
    fn preview_drain(&self, domain: &str) -> AdminReply {
        if !self.state.knows_fleet() {
            return AdminReply::Problem {
                code: ResultCode::NotConfigured,
                detail: "this gateway does not know the endpoints yet".to_owned(),
            };
        }
        let demands = self.state.overload_reports().demands;
        reply(&self.state.preview_drain(&domain.into(), &demands))
    }

    /// Ends a quarantine. The call returns after this gateway's evidence in the store was replaced,
    /// or could not be.
    async fn release_quarantine(&self, target: &str, operator: SocketAddr) -> AdminReply {
        let Some(release) = parse_release(target) else {
            return AdminReply::Problem {
                code: ResultCode::MalformedRequest,
                detail: format!(
                    "{target:?} is not a quarantine; expected the 16 hexadecimal digits of a \
                     request, or `part-` and the digits of a part"
                ),
            };
        };
        let outcome = self.state.release_quarantine(release, operator);
        let store_written = self.state.sheet_writes.request().await;
        AdminReply::Json(json!({
            "gateway": &*self.state.name,
            "target": format_release(release),
            "known": outcome.is_known,
            "quarantined": outcome.is_quarantined,
            "store_written": store_written,
            "gateways_reachable": outcome.gateways_reachable,
            "gateways_known": outcome.gateways_known,
        }))
    }

    fn drained_domains(&self) -> Vec<DomainId> {
        self.state.drained_domains()
    }

    fn cold_endpoints(&self) -> Vec<String> {
        let cold = self.state.cold_endpoints();
        cold.iter().map(|process| process.to_string()).collect()
    }
}

#[async_trait]
impl AdminHandler for GatewayAdmin {
    fn ready(&self) -> bool {
        self.state.is_ready()
    }

    fn dump(&self) -> Value {
        let loads = self.state.own_loads();
        let peers = self.state.peers();
        let listing = self.state.listing_version();
        json!({
            "config": self.state.config().map(|config| config.version),
            "store": {
                "era": listing.position.era,
                "revision": listing.position.revision,
                "settled": listing.settled,
            },
            "output_memory_bytes": self.state.output.used(),
            "request_body_bytes": self.state.bodies.used(),
            "placed": loads.iter().map(|(process, load)| json!({
                "endpoint": process.to_string(), "occupied": load.occupied, "context": load.context,
            })).collect::<Vec<_>>(),
            "peers": peers.iter().map(|peer| json!({
                "name": &*peer.name, "address": peer.address,
            })).collect::<Vec<_>>(),
            "drained_domains": self.drained_domains(),
            "cold_endpoints": self.cold_endpoints(),
            "flows": self.state.flow_report(),
            "returns": self.state.return_report(),
            "shares": self.state.share_report(),
            "suspects": self.state.suspect_reports().iter().map(|report| json!({
                "fingerprint": format_fingerprint(report.fingerprint),
                "ended_processes": report.ends.len(),
                "quarantined_for_s": report.quarantined_for.as_secs(),
            })).collect::<Vec<_>>(),
            "suspect_parts": self.state.part_reports().iter().map(|report| json!({
                "part": format_part(report.part),
                "ended_processes": report.ends.len(),
                "quarantined_for_s": report.quarantined_for.as_secs(),
            })).collect::<Vec<_>>(),
        })
    }

    fn routes(&self) -> &'static [AdminRoute] {
        ROUTES
    }

    async fn call(&self, call: AdminCall) -> AdminReply {
        match call.path {
            STATUS_PATH => AdminReply::Json(self.status()),
            USAGE_PATH => reply(&self.state.usage()),
            PREVIEW_PATH => self.preview_drain(&call.argument),
            _ => self.release_quarantine(&call.argument, call.operator).await,
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
