//! End of a quarantine by an operator.

use serde::{Deserialize, Serialize};

use super::{
    part_update::{PromptPart, format_part},
    refusals::{RequestFingerprint, format_fingerprint},
};

/// A quarantine that an operator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuarantineRelease {
    /// Quarantine of a request.
    Request(RequestFingerprint),
    /// Quarantine of a part of prompts.
    Part(PromptPart),
}

/// Prefix of parts in the text form of a target.
const PART_PREFIX: &str = "part-";

/// Number of hexadecimal digits of a request, and the maximum number for a part.
const MAX_DIGITS: usize = 16;

/// Formats the target of a release as operators write it: the digits of a request as in the log, or
/// those of a part with the prefix `part-`.
pub fn format_release(release: QuarantineRelease) -> String {
    match release {
        QuarantineRelease::Request(fingerprint) => format_fingerprint(fingerprint),
        QuarantineRelease::Part(part) => format!("{PART_PREFIX}{}", format_part(part)),
    }
}

/// Reads the target of a release from its text form. Returns `None` if it has another form.
pub fn parse_release(text: &str) -> Option<QuarantineRelease> {
    match text.strip_prefix(PART_PREFIX) {
        Some(digits) => parse_digits(digits).map(QuarantineRelease::Part),
        None if text.len() == MAX_DIGITS => parse_digits(text).map(QuarantineRelease::Request),
        None => None,
    }
}

fn parse_digits(digits: &str) -> Option<u64> {
    let is_valid = digits.len() <= MAX_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_valid {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
