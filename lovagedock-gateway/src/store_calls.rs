//! Executes store calls and converts their results into the outcome types of the state machines.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{ReadOutcome, WriteCondition, WriteOutcome};
use lovagedock_platform::{CallPurpose, ObjectStore, PutCondition, StoreError};
use tokio::time::timeout;

/// Timeout of one store call.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads an object.
pub(crate) async fn read(
    store: &dyn ObjectStore,
    object: &str,
    purpose: CallPurpose,
) -> ReadOutcome {
    match timeout(STORE_TIMEOUT, store.get(object, purpose)).await {
        Ok(Ok(Some(found))) => ReadOutcome::Found {
            version: found.version,
            bytes: found.value,
        },
        Ok(Ok(None)) => ReadOutcome::Absent,
        Ok(Err(StoreError::RateLimited)) => ReadOutcome::RateLimited,
        Ok(Err(_)) | Err(_) => ReadOutcome::Unavailable,
    }
}

/// Writes an object.
pub(crate) async fn write(
    store: &dyn ObjectStore,
    object: &str,
    bytes: Bytes,
    condition: WriteCondition,
    purpose: CallPurpose,
) -> WriteOutcome {
    let put = store.put(object, bytes, put_condition(condition), purpose);
    match timeout(STORE_TIMEOUT, put).await {
        Ok(Ok(version)) => WriteOutcome::Applied(version),
        Ok(Err(error)) => write_failure(&error),
        Err(_) => WriteOutcome::Unknown,
    }
}

/// Deletes an object.
pub(crate) async fn delete(
    store: &dyn ObjectStore,
    object: &str,
    purpose: CallPurpose,
) -> WriteOutcome {
    let delete = store.delete(object, PutCondition::Any, purpose);
    match timeout(STORE_TIMEOUT, delete).await {
        Ok(Ok(())) => WriteOutcome::Applied(0),
        Ok(Err(error)) => write_failure(&error),
        Err(_) => WriteOutcome::Unknown,
    }
}

fn put_condition(condition: WriteCondition) -> PutCondition {
    match condition {
        WriteCondition::Absent => PutCondition::Absent,
        WriteCondition::Version(version) => PutCondition::Version(version),
        WriteCondition::Always => PutCondition::Any,
    }
}

/// A failure counts as not applied only if the write certainly did not take effect; otherwise the
/// outcome is unknown.
fn write_failure(error: &StoreError) -> WriteOutcome {
    match error {
        StoreError::Conflict { .. } => WriteOutcome::Conflict,
        StoreError::RateLimited => WriteOutcome::RateLimited,
        StoreError::Unavailable | StoreError::TooLarge => WriteOutcome::Unavailable,
        StoreError::OutcomeUnknown | StoreError::Malformed => WriteOutcome::Unknown,
    }
}
