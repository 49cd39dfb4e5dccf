//! The types of the configuration. Field names are the names in the file.

use std::{net::SocketAddr, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{
    DomainId, EndpointId, GatewayId, HostId, ModelId, OrganisationId, PoolId, ServiceId, TokenCount,
};

/// Version of the file format that this build reads and writes.
pub const CONFIG_VERSION: u32 = 1;

/// The whole configuration. An accepted file replaces the previous configuration completely.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Version of the file format; 1.
    pub version: u32,
    /// Failure domains and the regions they are in.
    #[serde(default)]
    pub failure_domains: Vec<DomainSpec>,
    /// Gateways, listed so that they can pass the configuration on to each other.
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
    /// Rules by prompt length; the first matching rule applies.
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

/// A gateway on an entry host, a host that callers connect to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySpec {
    /// Unique name.
    pub id: GatewayId,
    /// Host that it runs on.
    pub host: HostId,
    /// Failure domain that the host is in.
    pub failure_domain: DomainId,
    /// Address at which other gateways reach it.
    #[schemars(extend("format" = "ip-port"))]
    pub peer_address: SocketAddr,
}

/// A model with its context limit, its average bytes of text per token and its adapters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name that callers send in the `model` field.
    pub id: ModelId,
    /// Version of the weights.
    #[serde(default)]
    pub weights_version: String,
    /// Maximum length of prompt and answer together, in tokens.
    pub max_context_tokens: TokenCount,
    /// Average bytes of text per token, for the first estimate of a prompt's length.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: f64,
    /// Adapters that can be loaded for the model.
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

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Unique name.
    pub id: PoolId,
    /// Kind of the endpoints.
    pub kind: PoolKind,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
}

/// Kind of the endpoints of a pool.
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

/// One endpoint and its sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Name that is unique in the whole configuration.
    pub id: EndpointId,
    /// Host that it runs on.
    pub host: HostId,
    /// Failure domain that the host is in.
    pub failure_domain: DomainId,
    /// Address at which gateways reach the sidecar.
    #[schemars(extend("format" = "ip-port"))]
    pub sidecar: SocketAddr,
    /// KV memory of the engine in tokens; 0 for a plain service.
    #[serde(default)]
    pub memory_tokens: TokenCount,
    /// Whether the engine itself rejects orders with an outdated fencing number.
    #[serde(default)]
    pub order_check: OrderCheck,
}

/// Whether an endpoint checks the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OrderCheck {
    /// It rejects an order with an outdated fencing number.
    Fence,
    /// It executes any order; the sidecar checks the fencing number instead.
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
    /// Deadline of a request that sets none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Longest deadline that a request may set, in milliseconds.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Calls that must not be executed twice.
    #[serde(default)]
    pub non_idempotent: Vec<CallRule>,
}

impl ServiceSpec {
    /// Deadline of a request that sets none.
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    /// Longest deadline that a request may set.
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
        /// Name that callers send in the `model` field: the name of a model, or `MODEL:ADAPTER` for
        /// a model with an adapter.
        model: ModelId,
    },
    /// By the prefix of the path.
    Plain {
        /// Prefix of the path, such as `/registry/`.
        path_prefix: String,
    },
}

/// Selects calls by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method; `*` for any.
    pub method: String,
    /// Exact path, or a path prefix if it ends in `*`.
    pub path: String,
}

/// Priority of an organisation's work; lower tiers are shed first.
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
    /// A user is waiting for the answer.
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
    /// Highest tier that its requests may ask for, and their default tier.
    #[serde(default)]
    pub priority: PriorityTier,
    /// Weight of its share of a busy pool, relative to other organisations of the same tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits, enforced over all gateways together.
    #[serde(default)]
    pub limits: OrganisationLimits,
    /// Services that it may use; empty means all.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// Limits of an organisation, enforced over all gateways together; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationLimits {
    /// Requests per second.
    pub requests_per_second: u32,
    /// Prompt and answer tokens per minute.
    pub tokens_per_minute: u64,
    /// Requests in flight.
    pub concurrency: u32,
    /// Maximum prompt length, in tokens.
    pub max_prompt_tokens: TokenCount,
}

/// Settings for requests whose prompt length is in a range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LengthRule {
    /// Shortest prompt that the rule applies to, in tokens.
    #[serde(default)]
    pub min_tokens: TokenCount,
    /// Longest prompt that the rule applies to, in tokens; 0 means no upper bound.
    #[serde(default)]
    pub max_tokens: TokenCount,
    /// Hours of the day (UTC) in which the rule applies, as start and end; equal values mean
    /// always.
    #[serde(default)]
    pub hours: (u8, u8),
    /// Deadline of a request that sets none, in milliseconds; 0 keeps the deadline of the service.
    #[serde(default)]
    pub default_deadline_ms: u64,
    /// Highest tier of requests that match the rule; without a value the tier of the organisation
    /// applies.
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
    /// Largest share of a pool that long prompts may occupy, in percent.
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
