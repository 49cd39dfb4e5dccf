//! Cost of work on an engine: the parameters sent in reports and the model that learns them.

mod decode;
mod error;
mod model;
mod parameters;
mod prefill;

pub use error::PredictionError;
pub use model::{CostModel, PrefillObservation};
pub use parameters::CostParameters;
