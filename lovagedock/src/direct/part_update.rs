//! Evidence against parts of prompts, as gateways send it to each other and keep it in the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{
    refusals::RequestFingerprint,
    suspect_update::{EndEvidence, ProcessTag},
};

/// Identifies a part of a prompt that several requests may share.
pub type PromptPart = u64;

/// Parts of one prompt that other prompts may share, in order.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// Formats a part for logs and dumps.
pub fn format_part(part: PromptPart) -> String {
    format!("{part:08x}")
}

/// A process that ended before it had begun to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEnd {
    /// The process.
    pub process: ProcessTag,
    /// The request.
    pub request: RequestFingerprint,
    /// How certain it is that the request ended the process.
    pub evidence: EndEvidence,
    /// Time from sending the request to the process until the process ended.
    pub ran_for: Duration,
    /// Time since the process ended.
    pub age: Duration,
    /// Whether the request was sent as a trial, see
    /// [`PartLedger::try_start_trial`](super::PartLedger::try_start_trial).
    pub is_trial: bool,
}

/// Evidence against one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPart,
    /// Processes that ended, since a request with the part last began to be answered.
    pub ends: Vec<PartEnd>,
    /// Remaining time in quarantine; zero if the part is not in quarantine.
    pub quarantined_for: Duration,
}

impl PartReport {
    /// Returns the report as it is after some time.
    pub fn with_age(mut self, age: Duration) -> Self {
        for end in &mut self.ends {
            end.age += age;
        }
        self.quarantined_for = self.quarantined_for.saturating_sub(age);
        self
    }
}

/// Update about parts of prompts, sent between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartUpdate {
    /// A process ended before it had begun to answer a request with these parts.
    Ended {
        /// Parts of the request.
        parts: PromptParts,
        /// The end.
        end: PartEnd,
    },
    /// An engine answered a request with the part, so that earlier ends have another cause.
    Answered {
        /// The part.
        part: PromptPart,
        /// Time since the answer began.
        age: Duration,
    },
    /// The sender sends one request with these parts to an engine to find out whether they end it.
    Trial {
        /// Parts that no other request should have until the trial is decided.
        parts: PromptParts,
        /// The request.
        request: RequestFingerprint,
        /// Rank of the sender; of two trials at the same moment the lower one goes on.
        rank: u64,
        /// Remaining time of the trial.
        time_left: Duration,
    },
    /// The part is in quarantine.
    Quarantined(PartReport),
}
