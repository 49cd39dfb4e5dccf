//! Interface of the object store.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
pub use lovagedock::Revision;
use serde::{Deserialize, Serialize};

/// Version of one object. The store takes versions from its [`Revision`] counter, so a later write
/// to any key has a higher version, and no version is used twice.
pub type ObjectVersion = u64;

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The platform's object store: versions, conditional updates and watches.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object; returns `None` if it does not exist.
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

    /// Deletes one object if `condition` holds. Deleting an object that does not exist succeeds
    /// only under [`PutCondition::Any`].
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
    /// means that there was none. The batch's revision is the `after` of the next call. A store
    /// restored from an older copy may not have reached `after`; it then returns at once with its
    /// own revision.
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

/// An entry of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// Key of the object.
    pub key: String,
    /// Version of the value.
    pub version: ObjectVersion,
    /// Size of the value in bytes.
    pub size: u64,
}

/// Changes under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// All changes up to this revision are covered.
    pub revision: Revision,
    /// Keys that were written or deleted, without duplicates.
    pub keys: Vec<String>,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// No condition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    Conflict {
        /// Current version of the object, if it exists and the store reported it.
        current: Option<ObjectVersion>,
    },
    /// The write may have taken effect, or may still take effect later.
    OutcomeUnknown,
    /// The store could not be reached; a write certainly did not take effect.
    Unavailable,
    /// The call exceeded a rate limit; nothing was written.
    RateLimited,
    /// The value is larger than [`MAX_VALUE_BYTES`]; nothing was written.
    TooLarge,
    /// The key is invalid, or the store's response could not be parsed.
    Malformed,
}

impl StoreError {
    /// Whether a write that failed with this error may have taken effect.
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
            Self::RateLimited => f.write_str("the store's rate limit is exceeded"),
            Self::TooLarge => f.write_str("the value is too large"),
            Self::Malformed => f.write_str("malformed key or response"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Purpose of a call; calls are budgeted and counted by purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallPurpose {
    /// Configuration: its root, its chunks and the watch on them.
    Config,
    /// Claims of requests with an idempotency key, and their recorded answers.
    Claim,
    /// Leases of pools.
    Lease,
    /// Status for operators.
    Status,
    /// The platform's list of hosts.
    Hosts,
}

impl CallPurpose {
    /// All purposes.
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

/// Whether `key` is valid: letters, digits and `. _ - /`, not empty, no `/` at either end.
pub fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && !key.ends_with('/') && is_valid_prefix(key)
}

/// Whether `prefix` can be listed or watched. The rules are those of a key, but a prefix may be
/// empty or end in `/`.
pub fn is_valid_prefix(prefix: &str) -> bool {
    prefix.len() <= MAX_KEY_BYTES && !prefix.starts_with('/') && prefix.bytes().all(is_key_byte)
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b'/')
}
