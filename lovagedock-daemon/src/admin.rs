//! HTTP interface for operators, served by every daemon.

mod routes;
mod server;

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use lovagedock::prelude::ResultCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::TransportSettings;

pub use server::AdminServer;

/// Version of the document that `/dump` returns.
pub const DUMP_VERSION: u32 = 1;

/// Listener and access control of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Bearer token that writes need. Without a token, writes are accepted from loopback only.
    #[serde(default)]
    pub operator_token: Option<String>,
    /// TLS, or plain TCP if it is set explicitly.
    pub transport: TransportSettings,
}

/// What a daemon serves to operators in addition to health, metrics and the common part of the
/// dump.
#[async_trait]
pub trait AdminHandler: Send + Sync + 'static {
    /// Whether the daemon can accept work; reported by `/readyz`.
    fn ready(&self) -> bool;

    /// State of the process for `/dump`.
    fn dump(&self) -> Value;

    /// Paths that the daemon adds.
    fn routes(&self) -> &'static [AdminRoute] {
        &[]
    }

    /// Handles a call of one of [`routes`](Self::routes).
    async fn call(&self, call: AdminCall) -> AdminReply {
        AdminReply::Problem {
            code: ResultCode::UnknownService,
            detail: format!("no handler for {}", call.path),
        }
    }
}

/// Method of an operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminMethod {
    /// Reads.
    Get,
    /// Writes; needs the operators' token when one is set.
    Post,
}

/// A path that a daemon adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminRoute {
    /// Method.
    pub method: AdminMethod,
    /// Whole path, or a prefix if it ends in `/`; the rest of the path is then the argument.
    pub path: &'static str,
}

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminCall {
    /// Address from which the operator connected.
    pub operator: SocketAddr,
    /// The route's path, as in [`AdminRoute::path`].
    pub path: &'static str,
    /// The part of the path after a route that ends in `/`; empty otherwise.
    pub argument: String,
    /// Body of a POST; empty for a GET.
    pub body: Bytes,
}

/// Response to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminReply {
    /// 200 with a JSON document.
    Json(Value),
    /// `application/problem+json` with the code's status.
    Problem {
        /// What went wrong.
        code: ResultCode,
        /// One line of detail.
        detail: String,
    },
}
