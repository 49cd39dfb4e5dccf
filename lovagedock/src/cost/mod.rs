//! What work costs on an engine: parameters for the wire and the model that learns them.

mod parameters;

pub use parameters::CostParameters;
