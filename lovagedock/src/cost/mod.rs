//! What work costs on an engine: parameters for the wire and the model that learns them.

mod decode;
mod error;
mod model;
mod parameters;
mod prefill;

pub use error::PredictionError;
pub use model::{CostModel, PrefillObservation};
pub use parameters::CostParameters;
