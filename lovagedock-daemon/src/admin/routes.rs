//! Responses of the operators' paths.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use lovagedock::prelude::ResultCode;
use serde_json::json;
use warp::{
    http::{Method, Response, StatusCode, header},
    hyper::body::Bytes as BodyBytes,
};

use super::{AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute, DUMP_VERSION};
use crate::{MetricsHandle, ProcessClock};

const JSON: &str = "application/json";
const PROBLEM: &str = "application/problem+json";
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// State behind the operators' paths.
pub(super) struct AdminState {
    pub(super) process: &'static str,
    pub(super) handler: Arc<dyn AdminHandler>,
    pub(super) metrics: MetricsHandle,
    pub(super) clock: ProcessClock,
    /// Digest of the token, so that a comparison takes the same time for any guess.
    pub(super) token: Option<blake3::Hash>,
}

/// A request of an operator as received.
pub(super) struct AdminRequest {
    pub(super) peer: SocketAddr,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) authorization: Option<String>,
    pub(super) body: Bytes,
}

impl AdminState {
    /// Handles one request.
    pub(super) async fn handle(&self, request: AdminRequest) -> Response<BodyBytes> {
        if let Some(response) = self.handle_common(&request) {
            return response;
        }
        let Some((route, argument)) = self.find_route(&request) else {
            return problem(
                ResultCode::UnknownService,
                &format!("no {} {}", request.method, request.path),
            );
        };
        if route.method == AdminMethod::Post && !self.is_write_authorised(&request) {
            return problem(
                ResultCode::Unauthenticated,
                "this call needs the operators' token",
            );
        }
        let call = AdminCall {
            operator: request.peer,
            path: route.path,
            argument,
            body: request.body,
        };
        match self.handler.call(call).await {
            AdminReply::Json(value) => respond(StatusCode::OK, JSON, value.to_string()),
            AdminReply::Problem { code, detail } => problem(code, &detail),
        }
    }

    fn handle_common(&self, request: &AdminRequest) -> Option<Response<BodyBytes>> {
        if request.method != Method::GET {
            return None;
        }
        match request.path.as_str() {
            "/healthz" => Some(respond(
                StatusCode::OK,
                JSON,
                json!({ "healthy": true }).to_string(),
            )),
            "/readyz" => Some(self.readiness()),
            "/metrics" => Some(respond(StatusCode::OK, METRICS_TEXT, self.metrics.render())),
            "/dump" => Some(respond(StatusCode::OK, JSON, self.dump())),
            _ => None,
        }
    }

    fn readiness(&self) -> Response<BodyBytes> {
        let ready = self.handler.ready();
        let status = match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        respond(status, JSON, json!({ "ready": ready }).to_string())
    }

    fn dump(&self) -> String {
        let document = json!({
            "dump_version": DUMP_VERSION,
            "process": self.process,
            "version": env!("CARGO_PKG_VERSION"),
            "uptime_ms": self.clock.now().as_millis() as u64,
            "ready": self.handler.ready(),
            "state": self.handler.dump(),
        });
        document.to_string()
    }

    fn find_route(&self, request: &AdminRequest) -> Option<(AdminRoute, String)> {
        self.handler.routes().iter().find_map(|route| {
            let method = match route.method {
                AdminMethod::Get => Method::GET,
                AdminMethod::Post => Method::POST,
            };
            if method != request.method {
                return None;
            }
            let argument = match_path(route.path, &request.path)?;
            Some((*route, argument.to_owned()))
        })
    }

    // Without this check, anyone who can reach the port could drain the fleet. If no token is set,
    // only processes on the same host can write, which gives them no access that they do not
    // already have.
    fn is_write_authorised(&self, request: &AdminRequest) -> bool {
        let Some(expected) = &self.token else {
            return request.peer.ip().is_loopback();
        };
        request
            .authorization
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "))
            .is_some_and(|token| blake3::hash(token.trim().as_bytes()) == *expected)
    }
}

fn match_path<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    if !pattern.ends_with('/') {
        return (pattern == path).then_some("");
    }
    path.strip_prefix(pattern).filter(|rest| !rest.is_empty())
}

pub(super) fn problem(code: ResultCode, detail: &str) -> Response<BodyBytes> {
    let document = json!({
        "type": "about:blank",
        "title": code.title(),
        "status": code.http_status(),
        "code": code.number(),
        "detail": detail,
    });
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    respond(status, PROBLEM, document.to_string())
}

fn respond(status: StatusCode, content_type: &'static str, body: String) -> Response<BodyBytes> {
    let mut response = Response::new(BodyBytes::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}
