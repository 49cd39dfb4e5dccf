//! Applies a configuration: writes the chunks first, then updates the root with one conditional
//! write.

use std::{fmt, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt, stream};
use lovagedock::Generation;
use tokio::time::{Instant, sleep};

use super::{
    ROOT_KEY,
    chunk_name::{chunk_key, name_of_bytes},
    chunks::{ConfigChunk, split_chunks},
    load::{ConfigStore, LoadError, PARALLEL_CALLS, VersionedRoot},
    root::{AcceptedRecord, ApplyNonce, ApplyStatus, ConfigRoot, apply_status},
};
use crate::store::{CallPurpose, MAX_VALUE_BYTES, PutCondition, StoreError};

const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// An operator's request to apply a configuration.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// Canonical JSON of the configuration.
    pub config: Bytes,
    /// Generation that the configuration replaces; 0 for the first.
    pub expected: Generation,
    /// Name of the operator.
    pub author: String,
    /// Random text that is unique to this apply.
    pub nonce: ApplyNonce,
    /// Time of submission as text for display.
    pub submitted_at: String,
    /// Time limit for retries before the outcome is returned.
    pub timeout: Duration,
    /// Whether chunks of the current configuration are assumed to be intact in the store.
    pub reuse_chunks: bool,
}

/// Outcome of an apply. Every outcome except `Unknown` is certain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration was accepted. It is in force, or was until another replaced it.
    Accepted {
        /// Generation of the accepted configuration.
        generation: Generation,
    },
    /// Another apply was accepted instead.
    Conflict {
        /// Generation of the other configuration.
        winner: Generation,
        /// Operator who applied the other configuration.
        author: String,
    },
    /// This call did not change the configuration and never will. This does not cover an earlier
    /// call with the same nonce that returned [`ApplyOutcome::Unknown`].
    NotAccepted {
        /// Reason.
        reason: NotAcceptedReason,
    },
    /// The configuration may have been accepted; applying it again with the same nonce determines
    /// the outcome.
    Unknown,
}

/// Reason why a configuration was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotAcceptedReason {
    /// The store was unreachable or its rate limit exceeded until the time limit of the apply.
    Unavailable(StoreError),
    /// The expected generation is not the store's, and the store no longer records which apply
    /// replaced it.
    WrongGeneration,
    /// The configuration is too large for its root to fit into one value.
    TooLarge,
    /// The root in the store cannot be read.
    CorruptRoot,
}

impl fmt::Display for NotAcceptedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(error) => error.fmt(f),
            Self::WrongGeneration => {
                f.write_str("the expected generation is not the current one in the store")
            }
            Self::TooLarge => f.write_str("the configuration is too large"),
            Self::CorruptRoot => f.write_str("the configuration's root cannot be read"),
        }
    }
}

impl ApplyRequest {
    /// Creates a request with the default time limit.
    pub fn new(config: Bytes, expected: Generation, author: &str, nonce: ApplyNonce) -> Self {
        Self {
            config,
            expected,
            author: author.to_owned(),
            nonce,
            submitted_at: String::new(),
            timeout: DEFAULT_TIMEOUT,
            reuse_chunks: true,
        }
    }

    /// Sets the time of submission for display.
    pub fn with_submitted_at(mut self, text: &str) -> Self {
        self.submitted_at = text.to_owned();
        self
    }

    /// Sets the time limit for retries.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Writes all chunks again, which repairs chunks that were damaged in the store.
    pub fn with_all_chunks(mut self) -> Self {
        self.reuse_chunks = false;
        self
    }

    fn next_root(&self, chunks: &[ConfigChunk], base: Option<&ConfigRoot>) -> ConfigRoot {
        let root = ConfigRoot {
            accepted: AcceptedRecord {
                generation: self.expected + 1,
                nonce: self.nonce.clone(),
                author: self.author.clone(),
            },
            accepted_at: self.submitted_at.clone(),
            length: self.config.len() as u64,
            digest: name_of_bytes(&self.config),
            chunks: chunks.iter().map(|chunk| chunk.hash.clone()).collect(),
            history: Vec::new(),
            retired: Vec::new(),
        };
        root.with_base(base)
    }

    /// Returns the outcome if `root` determines it; `None` while the generation after the expected
    /// one does not exist.
    fn outcome(&self, root: Option<&ConfigRoot>, may_have_written: bool) -> Option<ApplyOutcome> {
        match apply_status(root, &self.nonce, self.expected) {
            ApplyStatus::Accepted(generation) => Some(ApplyOutcome::Accepted { generation }),
            ApplyStatus::Superseded(winner) => Some(ApplyOutcome::Conflict {
                winner: winner.generation,
                author: winner.author,
            }),
            ApplyStatus::Open => None,
            ApplyStatus::NotRecorded if may_have_written => Some(ApplyOutcome::Unknown),
            ApplyStatus::NotRecorded => Some(not_accepted(NotAcceptedReason::WrongGeneration)),
        }
    }
}

impl ConfigStore {
    /// Applies a complete configuration. The same request may be applied again at any time: it is
    /// accepted at most once.
    pub async fn apply(&self, request: &ApplyRequest) -> ApplyOutcome {
        let mut retry_timer = RetryTimer::new(request.timeout);
        let base = match self.read_base(&mut retry_timer).await {
            Ok(base) => base,
            Err(error) => return load_failure(error),
        };
        let base_root = base.as_ref().map(|versioned| &versioned.root);
        if let Some(outcome) = request.outcome(base_root, false) {
            return outcome;
        }
        let chunks = split_chunks(&request.config);
        let root = request.next_root(&chunks, base_root);
        let value = match serde_json::to_vec(&root) {
            Ok(value) if value.len() <= MAX_VALUE_BYTES => Bytes::from(value),
            _ => return not_accepted(NotAcceptedReason::TooLarge),
        };
        let reusable = base_root.filter(|_| request.reuse_chunks);
        if let Err(error) = self.write_chunks(&chunks, reusable, &retry_timer).await {
            return not_accepted(NotAcceptedReason::Unavailable(error));
        }
        let condition = match &base {
            Some(versioned) => PutCondition::Version(versioned.version),
            None => PutCondition::Absent,
        };
        self.write_root(request, value, condition, &mut retry_timer)
            .await
    }

    async fn read_base(
        &self,
        retry_timer: &mut RetryTimer,
    ) -> Result<Option<VersionedRoot>, LoadError> {
        loop {
            match self.read_root().await {
                Err(LoadError::Store(error)) if is_transient(&error) => {
                    if !retry_timer.wait().await {
                        return Err(LoadError::Store(error));
                    }
                }
                result => return result,
            }
        }
    }

    /// Writes the chunks that `reusable` does not name. Chunks left over from an older
    /// configuration are written again: their newer version protects them from collection.
    async fn write_chunks(
        &self,
        chunks: &[ConfigChunk],
        reusable: Option<&ConfigRoot>,
        retry_timer: &RetryTimer,
    ) -> Result<(), StoreError> {
        let is_reusable =
            |chunk: &&ConfigChunk| reusable.is_some_and(|root| root.chunks.contains(&chunk.hash));
        let writes: Vec<_> = chunks
            .iter()
            .filter(|chunk| !is_reusable(chunk))
            .map(|chunk| self.write_chunk(chunk, retry_timer.clone()))
            .collect();
        stream::iter(writes)
            .buffer_unordered(PARALLEL_CALLS)
            .try_collect()
            .await
    }

    /// Writes one chunk. Its key is its hash, so writing it twice changes nothing, and a write with
    /// an unknown outcome is repeated.
    async fn write_chunk(
        &self,
        chunk: &ConfigChunk,
        mut retry_timer: RetryTimer,
    ) -> Result<(), StoreError> {
        let key = chunk_key(&chunk.hash);
        loop {
            let bytes = chunk.bytes.clone();
            let put = self
                .store
                .put(&key, bytes, PutCondition::Any, CallPurpose::Config);
            match put.await {
                Ok(_) => return Ok(()),
                Err(error) if is_transient(&error) => {
                    if !retry_timer.wait().await {
                        return Err(error);
                    }
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes the root, with retries, until the outcome is known.
    ///
    /// If the response is lost, the root is read back and searched for the nonce. If the old root
    /// is still there, the write may yet take effect, so "not accepted" would not be certain; the
    /// same conditional write is sent again instead. Both writes carry the same condition, so at
    /// most one of them takes effect, and once any write has changed the version, neither can.
    async fn write_root(
        &self,
        request: &ApplyRequest,
        value: Bytes,
        condition: PutCondition,
        retry_timer: &mut RetryTimer,
    ) -> ApplyOutcome {
        let mut may_have_written = false;
        loop {
            let put = self
                .store
                .put(ROOT_KEY, value.clone(), condition, CallPurpose::Config);
            let error = match put.await {
                Ok(_) => {
                    return ApplyOutcome::Accepted {
                        generation: request.expected + 1,
                    };
                }
                Err(error) => error,
            };
            may_have_written |= error.may_have_written();
            let is_conflict = matches!(error, StoreError::Conflict { .. });
            if is_conflict || error.may_have_written() {
                let determined = self.read_back(request, may_have_written, is_conflict).await;
                if let Some(outcome) = determined {
                    return outcome;
                }
            }
            if is_permanent(&error) && !may_have_written {
                return not_accepted(NotAcceptedReason::Unavailable(error));
            }
            if !retry_timer.wait().await {
                return match may_have_written {
                    true => ApplyOutcome::Unknown,
                    false if is_conflict => not_accepted(NotAcceptedReason::WrongGeneration),
                    false => not_accepted(NotAcceptedReason::Unavailable(error)),
                };
            }
        }
    }

    /// Determines the outcome from the root in the store; `None` if the root could not be read or
    /// the outcome is still open.
    async fn read_back(
        &self,
        request: &ApplyRequest,
        may_have_written: bool,
        is_conflict: bool,
    ) -> Option<ApplyOutcome> {
        let versioned = self.read_root().await.ok()?;
        let root = versioned.as_ref().map(|versioned| &versioned.root);
        if let Some(outcome) = request.outcome(root, may_have_written) {
            return Some(outcome);
        }
        // Another writer restored the expected generation under another version. The condition can
        // never hold again, so waiting would not help.
        is_conflict.then(|| match may_have_written {
            true => ApplyOutcome::Unknown,
            false => not_accepted(NotAcceptedReason::WrongGeneration),
        })
    }
}

/// Retry delays that double up to a maximum, until a deadline.
#[derive(Clone)]
struct RetryTimer {
    deadline: Instant,
    next_delay: Duration,
}

impl RetryTimer {
    fn new(timeout: Duration) -> Self {
        Self {
            deadline: Instant::now() + timeout,
            next_delay: FIRST_RETRY_DELAY,
        }
    }

    /// Waits before a retry; returns false if the deadline leaves no time for one.
    async fn wait(&mut self) -> bool {
        // No jitter is needed here: there are few operators, and the store budget spreads the calls
        // of the many other processes.
        let delay = self.next_delay;
        if Instant::now() + delay >= self.deadline {
            return false;
        }
        sleep(delay).await;
        self.next_delay = (delay * 2).min(MAX_RETRY_DELAY);
        true
    }
}

fn is_transient(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Unavailable | StoreError::RateLimited | StoreError::OutcomeUnknown
    )
}

fn is_permanent(error: &StoreError) -> bool {
    matches!(error, StoreError::TooLarge | StoreError::Malformed)
}

fn not_accepted(reason: NotAcceptedReason) -> ApplyOutcome {
    ApplyOutcome::NotAccepted { reason }
}

fn load_failure(error: LoadError) -> ApplyOutcome {
    match error {
        LoadError::Store(error) => not_accepted(NotAcceptedReason::Unavailable(error)),
        _ => not_accepted(NotAcceptedReason::CorruptRoot),
    }
}
