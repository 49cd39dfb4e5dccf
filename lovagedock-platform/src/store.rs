//! The object store as the rest of lovagedock sees it.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
pub use lovagedock::Revision;
use serde::{Deserialize, Serialize};

/// Version of one object. The store draws versions from its [`Revision`] counter, so a later write
/// to any key has a higher version, and a version is never used twice.
pub type ObjectVersion = u64;

/// Largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The platform's object store: versions, conditional updates and watches.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object; `None` when there is none.
    async fn get(
        &self,
        key: &str,
        purpose: CallPurpose,
    ) -> Result<Option<StoredObject>, StoreError>;

    /// Writes one object if `condition` holds and returns its new version.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
        purpose: CallPurpose,
    ) -> Result<ObjectVersion, StoreError>;

    /// Deletes one object if `condition` holds. Under [`PutCondition::Any`], and only then,
    /// deleting what is not there succeeds.
    async fn delete(
        &self,
        key: &str,
        condition: PutCondition,
        purpose: CallPurpose,
    ) -> Result<(), StoreError>;

    /// Lists the objects whose keys begin with `prefix`, in the order of their keys.
    async fn list(
        &self,
        prefix: &str,
        purpose: CallPurpose,
    ) -> Result<Vec<ObjectEntry>, StoreError>;

    /// Waits up to `wait` for a change after revision `after` under `prefix`; a batch without keys
    /// says that there was none. The batch's revision is the `after` of the next call. A store that came
    /// back from an older copy may not have `after`; it then answers at once with its own revision.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        purpose: CallPurpose,
    ) -> Result<ChangeBatch, StoreError>;
}

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Key of the object.
    pub key: String,
    /// Version of the value.
    pub version: ObjectVersion,
    /// The value, at most [`MAX_VALUE_BYTES`].
    pub value: Bytes,
}

/// A line of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// Key of the object.
    pub key: String,
    /// Version of the value.
    pub version: ObjectVersion,
    /// Bytes of the value.
    pub size: u64,
}

/// What changed under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Everything up to this revision is covered.
    pub revision: Revision,
    /// Keys that were written or deleted, each once.
    pub keys: Vec<String>,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// Nothing.
    Any,
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    Conflict {
        /// Version that the object has, if it is there and the store told it.
        current: Option<ObjectVersion>,
    },
    /// The write may have taken effect, or may still take effect later.
    OutcomeUnknown,
    /// The store could not be reached; a write did certainly not take effect.
    Unavailable,
    /// Refused because of a rate; nothing was written.
    RateLimited,
    /// The value is larger than [`MAX_VALUE_BYTES`]; nothing was written.
    TooLarge,
    /// The key is not allowed, or the store's answer could not be read.
    Malformed,
}

impl StoreError {
    /// Whether a write that failed so may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, Self::OutcomeUnknown)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current: Some(v) } => write!(f, "the object has version {v}"),
            Self::Conflict { current: None } => f.write_str("the condition did not hold"),
            Self::OutcomeUnknown => f.write_str("it is not known whether the write took effect"),
            Self::Unavailable => f.write_str("the store is unavailable"),
            Self::RateLimited => f.write_str("the store's rate is used up"),
            Self::TooLarge => f.write_str("the value is too large"),
            Self::Malformed => f.write_str("malformed key or answer"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What a call is for; calls are budgeted and counted by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallPurpose {
    /// Configuration: root, chunks and their watch.
    Config,
    /// Claims of keyed requests and their recorded answers.
    Claim,
    /// Leases of pools.
    Lease,
    /// Status for operators.
    Status,
    /// The platform's list of hosts.
    Hosts,
}

impl CallPurpose {
    /// Every purpose.
    pub const ALL: [Self; 5] = [
        Self::Config,
        Self::Claim,
        Self::Lease,
        Self::Status,
        Self::Hosts,
    ];

    /// Label of the purpose in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Claim => "claim",
            Self::Lease => "lease",
            Self::Status => "status",
            Self::Hosts => "hosts",
        }
    }
}

/// Whether the store takes `key`: letters, digits and `. _ - /`, not empty, no `/` at either end.
pub fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && !key.ends_with('/') && is_valid_prefix(key)
}

/// Whether `prefix` can be listed or watched; like a key, but may be empty or end in `/`.
pub fn is_valid_prefix(prefix: &str) -> bool {
    prefix.len() <= MAX_KEY_BYTES && !prefix.starts_with('/') && prefix.bytes().all(is_key_byte)
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b'/')
}
