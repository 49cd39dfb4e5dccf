//! The complete desired state of a fleet and the file format in which it is written.
//!
//! A configuration is one file, or a folder of files, of JSON with comments. It is read in two
//! stages: the structure of the text is checked against the schema of the types, and then the
//! values are checked against each other. Both stages report every problem with its position in the
//! text.

mod check;
mod check_fleet;
mod check_traffic;
mod diff;
mod document;
mod names;
mod position;
mod scalar;
mod schema;
mod schema_nodes;
mod schema_reader;
mod types;

pub use check::check_config;
pub use diff::{ChangeKind, ConfigChange, diff_config};
pub use document::{ConfigDocument, parse_config, parse_files};
pub use names::split_model_name;
pub use position::{ConfigProblem, SourceFile, SourceMap, SourcePosition};
pub use schema::{config_reference, config_schema};
pub use types::{
    AdapterSpec, CONFIG_VERSION, CallRule, DomainSpec, EndpointSpec, FleetConfig, GatewaySpec,
    LengthRule, ModelSpec, OrderCheck, OrganisationLimits, OrganisationSpec, PlacementSpec,
    PoolKind, PoolSpec, PriorityTier, ServiceKind, ServiceSpec,
};
