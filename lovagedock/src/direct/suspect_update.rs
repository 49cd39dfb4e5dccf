//! What gateways tell each other of requests that end processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{process::EndpointProcess, refusals::RequestFingerprint};

/// Names a process that ended, in few bytes.
pub type ProcessTag = u64;

/// Weight of a process that ended for certain and soon after it had begun to run the request.
pub(super) const STRONG_WEIGHT: u32 = 2;

/// Weight of one that may only be out of reach, or had run the request well for a while.
const WEAK_WEIGHT: u32 = 1;

/// How sure it is that a request ended a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndEvidence {
    /// The process may only be out of reach, or had run the request well for a while.
    Weak,
    /// The process ended for certain, soon after it had begun to run the request.
    Strong,
}

/// A process that ended while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessEnd {
    /// The process.
    pub process: ProcessTag,
    /// How sure it is that the request ended it.
    pub evidence: EndEvidence,
}

/// What gateways tell each other of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectUpdate {
    /// A process ended under it.
    Ended(RequestFingerprint, ProcessEnd),
    /// It was served, so it is sound.
    Served(RequestFingerprint),
    /// It is not sent to engines for as long.
    Quarantined(RequestFingerprint, Duration),
}

/// What is known of one request, to be kept where it outlives gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Processes that ended under it.
    pub ends: Vec<ProcessEnd>,
    /// How much longer it is in quarantine; nothing if it is not.
    pub quarantined_for: Duration,
}

impl EndEvidence {
    /// What a lost process says, by how long it had streamed the answer to the request and by whether
    /// it surely ended.
    pub fn new(is_certain: bool, streamed: Duration) -> Self {
        match is_certain && streamed < HEALTHY_STREAM_TIME {
            true => Self::Strong,
            false => Self::Weak,
        }
    }

    pub(super) fn weight(self) -> u32 {
        match self {
            Self::Strong => STRONG_WEIGHT,
            Self::Weak => WEAK_WEIGHT,
        }
    }
}

/// Streaming for as long speaks for a request. In the logs of a wave of 160 ends the one that caused
/// them ended its engines within 0.45 s of its placement, before its first event; those who shared
/// the engines had streamed for 0.64 s on average.
const HEALTHY_STREAM_TIME: Duration = Duration::from_millis(500);

impl ProcessEnd {
    /// The end of one life of an endpoint.
    pub fn new(process: &EndpointProcess, evidence: EndEvidence) -> Self {
        Self {
            process: xxh3_64_with_seed(process.id.as_bytes(), process.started),
            evidence,
        }
    }
}

impl SuspectUpdate {
    /// The request that it is about.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Ended(fingerprint, _)
            | Self::Served(fingerprint)
            | Self::Quarantined(fingerprint, _) => *fingerprint,
        }
    }
}
