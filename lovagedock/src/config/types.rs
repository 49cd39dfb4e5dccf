//! The types of the configuration; field names are the file's names.

use std::{net::SocketAddr, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{
    DomainId, EndpointId, GatewayId, HostId, ModelId, OrganisationId, PoolId, ServiceId, TokenCount,
};

/// Version of the file format that this build reads and writes.
pub const CONFIG_VERSION: u32 = 1;

/// The whole configuration: an accepted file replaces everything before it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Version of the file format; 1.
    pub version: u32,
    /// Failure domains and the regions they are in.
    #[serde(default)]
    pub failure_domains: Vec<DomainSpec>,
    /// Gateways, so that they can feed each other configuration.
    #[serde(default)]
    pub gateways: Vec<GatewaySpec>,
    /// Models that pools run.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// Pools of endpoints.
    #[serde(default)]
    pub pools: Vec<PoolSpec>,
    /// Services that callers address.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Organisations, their keys, priorities and limits.
    #[serde(default)]
    pub organisations: Vec<OrganisationSpec>,
    /// Rules by prompt length; the first that matches applies.
    #[serde(default)]
    pub rules: Vec<LengthRule>,
    /// How requests are placed.
    #[serde(default)]
    pub placement: PlacementSpec,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Unique name.
    pub id: DomainId,
    /// Region that the domain is in.
    #[serde(default)]
    pub region: String,
}

/// A gateway on an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySpec {
    /// Unique name.
    pub id: GatewayId,
    /// Host that it runs on.
    pub host: HostId,
    /// Failure domain that the host is in.
    pub failure_domain: DomainId,
    /// Where other gateways reach it.
    #[schemars(extend("format" = "ip-port"))]
    pub peer_address: SocketAddr,
}

/// A model and what a prompt of it costs in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name that callers put into `model`.
    pub id: ModelId,
    /// Version of the weights.
    #[serde(default)]
    pub weights_version: String,
    /// Longest prompt and answer together, in tokens.
    pub max_context_tokens: TokenCount,
    /// Bytes of text that make one token, for the first estimate of a prompt's length.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: f64,
    /// Adapters that can be loaded on top.
    #[serde(default)]
    pub adapters: Vec<AdapterSpec>,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Unique name within the model.
    pub id: String,
    /// Version of the adapter.
    #[serde(default)]
    pub version: String,
}

/// A pool of endpoints that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Unique name.
    pub id: PoolId,
    /// What the endpoints are.
    pub kind: PoolKind,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
}

/// What the endpoints of a pool are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PoolKind {
    /// Model engines.
    Engines {
        /// Model that the engines run.
        model: ModelId,
    },
    /// Replicas of a plain service.
    Plain {},
}

/// One endpoint and the sidecar beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Unique name in the whole configuration.
    pub id: EndpointId,
    /// Host that it runs on.
    pub host: HostId,
    /// Failure domain that the host is in.
    pub failure_domain: DomainId,
    /// Where gateways reach the sidecar.
    #[schemars(extend("format" = "ip-port"))]
    pub sidecar: SocketAddr,
    /// KV memory of the engine in tokens; 0 for a plain service.
    #[serde(default)]
    pub memory_tokens: TokenCount,
    /// Whether the engine itself refuses orders with an old fencing number.
    #[serde(default)]
    pub order_check: OrderCheck,
}

/// Whether an endpoint checks who gives it an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OrderCheck {
    /// It refuses an order with an old fencing number.
    Fence,
    /// It obeys anyone; the sidecar checks for it.
    #[default]
    None,
}

/// A service that callers address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name.
    pub id: ServiceId,
    /// How callers address it.
    pub kind: ServiceKind,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Time that a request gets when it asks for none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Longest time that a request may ask for, in milliseconds.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Calls that must not run twice.
    #[serde(default)]
    pub non_idempotent: Vec<CallRule>,
}

impl ServiceSpec {
    /// Time that a request gets when it asks for none.
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    /// Longest time that a request may ask for.
    pub fn max_deadline(&self) -> Duration {
        Duration::from_millis(self.max_deadline_ms)
    }
}

/// How callers address a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// By the `model` field of a chat or completion request.
    Model {
        /// Name that callers put into `model`: a model's, or `MODEL:ADAPTER` for one with an
        /// adapter.
        model: ModelId,
    },
    /// By the beginning of the path.
    Plain {
        /// Beginning of the path, such as `/registry/`.
        path_prefix: String,
    },
}

/// Names calls by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method; `*` for any.
    pub method: String,
    /// Path, whole, or its beginning when it ends in `*`.
    pub path: String,
}

/// Importance of an organisation's work; lower tiers are shed first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityTier {
    /// Work that can wait.
    Batch,
    /// Ordinary work.
    #[default]
    Standard,
    /// Somebody is waiting at the counter.
    Interactive,
}

/// An organisation that callers belong to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Unique name.
    pub id: OrganisationId,
    /// SHA-256 of each API key, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Highest tier that its requests may ask for, and the tier they get by default.
    #[serde(default)]
    pub priority: PriorityTier,
    /// Share of a busy pool, relative to other organisations of the same tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits over all gateways together.
    #[serde(default)]
    pub limits: OrganisationLimits,
    /// Services that it may use; empty means all.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// Limits of an organisation over all gateways together; 0 means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationLimits {
    /// Requests a second.
    pub requests_per_second: u32,
    /// Prompt and answer tokens a minute.
    pub tokens_per_minute: u64,
    /// Requests in flight.
    pub concurrency: u32,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: TokenCount,
}

/// What applies to requests of a range of lengths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LengthRule {
    /// Shortest prompt that the rule applies to, in tokens.
    #[serde(default)]
    pub min_tokens: TokenCount,
    /// Longest prompt that the rule applies to, in tokens; 0 means no end.
    #[serde(default)]
    pub max_tokens: TokenCount,
    /// Hours of the day (UTC) in which the rule applies, from and to; the same twice means always.
    #[serde(default)]
    pub hours: (u8, u8),
    /// Time that a request gets when it asks for none, in milliseconds; 0 keeps the service's.
    #[serde(default)]
    pub default_deadline_ms: u64,
    /// Highest tier that such requests get; absent keeps the organisation's.
    #[serde(default)]
    pub priority_cap: Option<PriorityTier>,
}

/// How requests are placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSpec {
    /// Name of the placement policy.
    pub policy: String,
    /// Prompts of at least this many tokens count as long.
    pub long_tokens: TokenCount,
    /// Largest share of a pool that long prompts may hold, in percent.
    pub long_share_percent: u8,
}

impl Default for PlacementSpec {
    fn default() -> Self {
        Self {
            policy: "length-aware".to_owned(),
            long_tokens: 32_000,
            long_share_percent: 100,
        }
    }
}

fn default_bytes_per_token() -> f64 {
    4.0
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_max_deadline_ms() -> u64 {
    600_000
}

fn default_weight() -> u32 {
    1
}
