//! HTTP routes of the stand-in platform.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use lovagedock_platform::{
    HostState, MAX_VALUE_BYTES, ObjectVersion, PutCondition, StoreError, is_valid_key,
    is_valid_prefix,
};
use serde::Serialize;

use super::{
    faults::{FaultCommand, FaultEffect},
    state::{CallClass, SharedPlatform},
};

const OBJECTS: &str = "/v1/objects/";
const WEIGHTS: &str = "/v1/weights/";
const HOSTS: &str = "/v1/hosts/";
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

type HttpResponse = Response<Full<Bytes>>;

/// Handles one call; an error closes the connection.
pub(crate) async fn handle_call(
    platform: Arc<SharedPlatform>,
    request: Request<Incoming>,
) -> io::Result<HttpResponse> {
    let Some(class) = classify(&request) else {
        return Ok(handle_control(&platform, request).await);
    };
    // The body is read completely even if the call will be rejected. After a response before the
    // end of the body, the caller would see a connection reset instead of the response.
    let call = match read_call(request).await {
        Ok(call) => call,
        Err(error) => return Ok(error_response(&error)),
    };
    let effect = match platform.admit(class) {
        Ok(effect) => effect,
        Err(error) => return Ok(error_response(&error)),
    };
    if effect == FaultEffect::Disconnect {
        return Err(disconnect_error());
    }
    let result = match class {
        CallClass::Write => write_detached(platform, call, effect).await?,
        _ => {
            let _delayed = platform.delay(effect).await;
            handle_read(&platform, class, call).await
        }
    };
    if effect == FaultEffect::ResponseLost {
        return Err(disconnect_error());
    }
    Ok(result.unwrap_or_else(|error| error_response(&error)))
}

/// Performs a write in a separate task, so that it is not cancelled when the caller disconnects.
/// A slow write can therefore take effect after its writer has stopped waiting.
async fn write_detached(
    platform: Arc<SharedPlatform>,
    call: ReceivedCall,
    effect: FaultEffect,
) -> io::Result<Result<HttpResponse, StoreError>> {
    let task = tokio::spawn(async move {
        let _delayed = platform.delay(effect).await;
        handle_write(&platform, &call)
    });
    task.await.map_err(io::Error::other)
}

/// Call whose body has been read completely.
struct ReceivedCall {
    method: Method,
    path: String,
    query: String,
    condition: PutCondition,
    body: Bytes,
}

fn classify(request: &Request<Incoming>) -> Option<CallClass> {
    let path = request.uri().path();
    match *request.method() {
        Method::PUT | Method::DELETE if path.starts_with(OBJECTS) => Some(CallClass::Write),
        Method::GET if path.starts_with(OBJECTS) => Some(CallClass::Read),
        Method::GET if path.starts_with(WEIGHTS) => Some(CallClass::Weights),
        Method::GET if path == "/v1/objects" => Some(CallClass::List),
        Method::GET if path == "/v1/watch" => Some(CallClass::Watch),
        Method::GET if path == "/v1/hosts" => Some(CallClass::Hosts),
        _ => None,
    }
}

async fn read_call(request: Request<Incoming>) -> Result<ReceivedCall, StoreError> {
    let condition = read_condition(request.headers())?;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = read_body(request.into_body()).await?;
    Ok(ReceivedCall {
        method,
        path,
        query,
        condition,
        body,
    })
}

async fn read_body(body: Incoming) -> Result<Bytes, StoreError> {
    let body = Limited::new(body, MAX_VALUE_BYTES).collect().await;
    Ok(body.map_err(|_| StoreError::TooLarge)?.to_bytes())
}

async fn handle_read(
    platform: &SharedPlatform,
    class: CallClass,
    call: ReceivedCall,
) -> Result<HttpResponse, StoreError> {
    match class {
        CallClass::Read => Ok(get(platform, object_key(&call)?)),
        CallClass::Write => Err(StoreError::Malformed),
        CallClass::List => {
            let prefix = query_prefix(&call)?;
            Ok(json_response(&platform.list(prefix)))
        }
        CallClass::Watch => {
            let prefix = query_prefix(&call)?;
            let after = query_number(&call, "after")?;
            let wait = Duration::from_millis(query_number(&call, "wait_ms")?).min(MAX_WATCH_WAIT);
            let batch = platform.watch(prefix, after, wait).await?;
            Ok(json_response(&batch))
        }
        CallClass::Hosts => Ok(json_response(&platform.hosts())),
        CallClass::Weights => Ok(Response::new(Full::new(platform.weights()))),
    }
}

fn get(platform: &SharedPlatform, key: &str) -> HttpResponse {
    match platform.get(key) {
        Some(object) => with_version(Response::new(Full::new(object.value)), object.version),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn handle_write(
    platform: &SharedPlatform,
    call: &ReceivedCall,
) -> Result<HttpResponse, StoreError> {
    let key = object_key(call)?;
    if call.method == Method::DELETE {
        platform.delete(key, call.condition)?;
        return Ok(empty_response(StatusCode::NO_CONTENT));
    }
    let version = platform.put(key, call.body.clone(), call.condition)?;
    Ok(with_version(empty_response(StatusCode::OK), version))
}

/// Handles calls that control the stand-in itself. Faults do not affect them.
async fn handle_control(platform: &SharedPlatform, request: Request<Incoming>) -> HttpResponse {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET && path == "/v1/counters" {
        return json_response(&platform.counters());
    }
    if request.method() != Method::POST {
        return empty_response(StatusCode::NOT_FOUND);
    }
    if path == "/v1/faults" {
        return set_fault(platform, request).await;
    }
    let Some((host, state_name)) = path
        .strip_prefix(HOSTS)
        .and_then(|rest| rest.split_once('/'))
    else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let state = match state_name {
        "live" => Some(HostState::Live),
        "leaving" => Some(HostState::Leaving),
        "gone" => None,
        _ => return empty_response(StatusCode::NOT_FOUND),
    };
    platform.set_host(host, state);
    empty_response(StatusCode::NO_CONTENT)
}

async fn set_fault(platform: &SharedPlatform, request: Request<Incoming>) -> HttpResponse {
    let Ok(body) = read_body(request.into_body()).await else {
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    };
    match serde_json::from_slice::<FaultCommand>(&body) {
        Ok(command) => {
            platform.set_fault(command);
            empty_response(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            let mut response = Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

fn object_key(call: &ReceivedCall) -> Result<&str, StoreError> {
    let key = call.path.strip_prefix(OBJECTS).unwrap_or_default();
    if is_valid_key(key) {
        return Ok(key);
    }
    Err(StoreError::Malformed)
}

fn query_value<'a>(call: &'a ReceivedCall, name: &str) -> Result<&'a str, StoreError> {
    call.query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .ok_or(StoreError::Malformed)
}

fn query_prefix(call: &ReceivedCall) -> Result<&str, StoreError> {
    let prefix = query_value(call, "prefix")?;
    if is_valid_prefix(prefix) {
        return Ok(prefix);
    }
    Err(StoreError::Malformed)
}

fn query_number(call: &ReceivedCall, name: &str) -> Result<u64, StoreError> {
    let text = query_value(call, name)?;
    text.parse().map_err(|_| StoreError::Malformed)
}

fn read_condition(headers: &HeaderMap) -> Result<PutCondition, StoreError> {
    if let Some(value) = headers.get(header::IF_MATCH) {
        let text = value.to_str().map_err(|_| StoreError::Malformed)?;
        let version = text.trim_matches('"').parse();
        return Ok(PutCondition::Version(
            version.map_err(|_| StoreError::Malformed)?,
        ));
    }
    match headers.get(header::IF_NONE_MATCH) {
        None => Ok(PutCondition::Any),
        Some(value) if value == "*" => Ok(PutCondition::Absent),
        Some(_) => Err(StoreError::Malformed),
    }
}

fn error_response(error: &StoreError) -> HttpResponse {
    match error {
        StoreError::Conflict { current } => {
            let response = empty_response(StatusCode::PRECONDITION_FAILED);
            match current {
                Some(version) => with_version(response, *version),
                None => response,
            }
        }
        StoreError::RateLimited => empty_response(StatusCode::TOO_MANY_REQUESTS),
        StoreError::TooLarge => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
        StoreError::Malformed => empty_response(StatusCode::BAD_REQUEST),
        StoreError::Unavailable | StoreError::OutcomeUnknown => {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn with_version(mut response: HttpResponse, version: ObjectVersion) -> HttpResponse {
    if let Ok(value) = format!("\"{version}\"").try_into() {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

fn json_response<T: Serialize>(body: &T) -> HttpResponse {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn disconnect_error() -> io::Error {
    io::Error::other("connection closed by an injected fault")
}
