//! Measured speed of engines that prefill parts of prompts.

use serde::{Deserialize, Serialize};

use super::process::EndpointProcess;

/// Slowdown of an engine as a helper, as measured by one gateway and sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HelperSpeed {
    /// The engine's process.
    pub endpoint: EndpointProcess,
    /// Ratio of measured to predicted prefill time; 1 for an engine that is as fast as predicted.
    pub slowdown: f32,
    /// Teams on which the figure rests.
    pub teams: u8,
}
