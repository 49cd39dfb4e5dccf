//! The operators' interface that every daemon serves over HTTP.

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

/// Where and for whom a daemon serves operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Address to listen on; port 0 takes any free port.
    pub address: SocketAddr,
    /// Bearer token that writes need. Without one, writes are taken from loopback only.
    #[serde(default)]
    pub operator_token: Option<String>,
    /// TLS, or plain TCP where that is asked for.
    pub transport: TransportSettings,
}

/// What a daemon shows to operators beside health, metrics and dump.
#[async_trait]
pub trait AdminHandler: Send + Sync + 'static {
    /// Whether the daemon can take work; `/readyz` tells it.
    fn ready(&self) -> bool;

    /// State of the process for `/dump`.
    fn dump(&self) -> Value;

    /// Further paths.
    fn routes(&self) -> &'static [AdminRoute] {
        &[]
    }

    /// Answers a call of one of [`routes`](Self::routes).
    async fn call(&self, call: AdminCall) -> AdminReply {
        AdminReply::Problem {
            code: ResultCode::UnknownService,
            detail: format!("nothing answers {}", call.path),
        }
    }
}

/// Method of an operators' call.
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
    /// Whole path, or its beginning when it ends in `/`; the rest is then the argument.
    pub path: &'static str,
}

/// One operators' call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminCall {
    /// The route's path, as in [`AdminRoute::path`].
    pub path: &'static str,
    /// What follows a path that ends in `/`; empty otherwise.
    pub argument: String,
    /// Body of a POST; empty for a GET.
    pub body: Bytes,
}

/// Answer to an operators' call.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminReply {
    /// 200 with a JSON document.
    Json(Value),
    /// `application/problem+json` with the code's status.
    Problem {
        /// What went wrong.
        code: ResultCode,
        /// One line about this case.
        detail: String,
    },
}
