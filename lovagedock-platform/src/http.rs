//! The platform's object store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use serde::de::DeserializeOwned;

use crate::{
    client::{CallFailure, StoreClient, StoreResponse, StoreTimeouts},
    hosts::{HostDirectory, HostList},
    store::{
        CallPurpose, ChangeBatch, MAX_VALUE_BYTES, ObjectEntry, ObjectStore, ObjectVersion,
        PutCondition, Revision, StoreError, StoredObject, is_valid_key, is_valid_prefix,
    },
};

const MAX_LIST_BYTES: usize = 64 << 20;

/// Client of the platform's HTTP object API.
pub struct HttpObjectStore {
    base: String,
    client: StoreClient,
}

impl HttpObjectStore {
    /// Creates a client of the store at `base`, such as `http://10.0.0.1:8300`.
    pub fn new(base: &str) -> Self {
        Self::with_timeouts(base, StoreTimeouts::default())
    }

    /// Creates a client with custom timeouts.
    pub fn with_timeouts(base: &str, timeouts: StoreTimeouts) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: StoreClient::new(timeouts),
        }
    }

    async fn read(&self, target: &str, limit: usize, wait: Duration) -> ReadResult {
        let request = self.request(Method::GET, target, Bytes::new())?;
        let response = match self.client.call(request, limit, wait).await {
            Ok(response) => response,
            Err(CallFailure::NotSent | CallFailure::MayHaveReached) => {
                return Err(StoreError::Unavailable);
            }
        };
        match response.status {
            StatusCode::OK => Ok(Some(response)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            status if status.is_server_error() => Err(StoreError::Unavailable),
            _ => Err(StoreError::Malformed),
        }
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        target: &str,
        wait: Duration,
    ) -> Result<T, StoreError> {
        let response = self.read(target, MAX_LIST_BYTES, wait).await?;
        let response = response.ok_or(StoreError::Malformed)?;
        serde_json::from_slice(&response.body).map_err(|_| StoreError::Malformed)
    }

    async fn write(
        &self,
        method: Method,
        key: &str,
        value: Bytes,
        condition: PutCondition,
    ) -> Result<StoreResponse, StoreError> {
        if !is_valid_key(key) {
            return Err(StoreError::Malformed);
        }
        let mut request = self.request(method, &format!("/v1/objects/{key}"), value)?;
        add_condition(&mut request, condition);
        let response = match self
            .client
            .call(request, MAX_VALUE_BYTES, Duration::ZERO)
            .await
        {
            Ok(response) => response,
            Err(CallFailure::NotSent) => return Err(StoreError::Unavailable),
            Err(CallFailure::MayHaveReached) => return Err(StoreError::OutcomeUnknown),
        };
        match response.status {
            status if status.is_success() => Ok(response),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict {
                current: read_version(&response),
            }),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
            // A proxy in front of the store also returns 502, 503 or 504 when the store was
            // disconnected after it had received the call. If this were treated as "not written", a
            // request with a claim could run twice.
            status if status.is_server_error() => Err(StoreError::OutcomeUnknown),
            _ => Err(StoreError::Malformed),
        }
    }

    fn request(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::builder()
            .method(method)
            .uri(format!("{}{target}", self.base))
            .body(Full::new(body))
            .map_err(|_| StoreError::Malformed)
    }
}

type ReadResult = Result<Option<StoreResponse>, StoreError>;

#[async_trait]
impl ObjectStore for HttpObjectStore {
    async fn get(
        &self,
        key: &str,
        _purpose: CallPurpose,
    ) -> Result<Option<StoredObject>, StoreError> {
        if !is_valid_key(key) {
            return Err(StoreError::Malformed);
        }
        let target = format!("/v1/objects/{key}");
        let Some(response) = self.read(&target, MAX_VALUE_BYTES, Duration::ZERO).await? else {
            return Ok(None);
        };
        Ok(Some(StoredObject {
            key: key.to_owned(),
            version: read_version(&response).ok_or(StoreError::Malformed)?,
            value: response.body,
        }))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
        _purpose: CallPurpose,
    ) -> Result<ObjectVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        let response = self.write(Method::PUT, key, value, condition).await?;
        // The write took effect, but its version is not known.
        read_version(&response).ok_or(StoreError::OutcomeUnknown)
    }

    async fn delete(
        &self,
        key: &str,
        condition: PutCondition,
        _purpose: CallPurpose,
    ) -> Result<(), StoreError> {
        self.write(Method::DELETE, key, Bytes::new(), condition)
            .await
            .map(|_| ())
    }

    async fn list(
        &self,
        prefix: &str,
        _purpose: CallPurpose,
    ) -> Result<Vec<ObjectEntry>, StoreError> {
        if !is_valid_prefix(prefix) {
            return Err(StoreError::Malformed);
        }
        let target = format!("/v1/objects?prefix={prefix}");
        self.read_json(&target, Duration::ZERO).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        _purpose: CallPurpose,
    ) -> Result<ChangeBatch, StoreError> {
        if !is_valid_prefix(prefix) {
            return Err(StoreError::Malformed);
        }
        let wait_ms = wait.as_millis();
        let target = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.read_json(&target, wait).await
    }
}

#[async_trait]
impl HostDirectory for HttpObjectStore {
    async fn hosts(&self) -> Result<HostList, StoreError> {
        self.read_json("/v1/hosts", Duration::ZERO).await
    }
}

fn add_condition(request: &mut Request<Full<Bytes>>, condition: PutCondition) {
    let (name, text) = match condition {
        PutCondition::Any => return,
        PutCondition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
        PutCondition::Version(version) => (header::IF_MATCH, format!("\"{version}\"")),
    };
    if let Ok(value) = text.try_into() {
        request.headers_mut().insert(name, value);
    }
}

fn read_version(response: &StoreResponse) -> Option<ObjectVersion> {
    let text = response.headers.get(header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}
