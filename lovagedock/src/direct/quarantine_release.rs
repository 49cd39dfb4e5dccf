//! End of a quarantine by an operator.

use serde::{Deserialize, Serialize};

use super::{part_update::PromptPart, refusals::RequestFingerprint};

/// A quarantine that an operator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuarantineRelease {
    /// Quarantine of a request.
    Request(RequestFingerprint),
    /// Quarantine of a part of prompts.
    Part(PromptPart),
}
