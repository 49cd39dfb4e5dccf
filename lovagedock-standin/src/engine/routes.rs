//! HTTP routes of the stand-in engine.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    cache_feed, completion,
    fault::FaultCommand,
    memory::BLOCK_TOKENS,
    options::ReportStyle,
    order,
    protocol::{
        CancelResponse, ErrorBody, ErrorDetail, RequestAllocation, RequestAllocations,
        RequestIdBody, SequenceAllocation, SequenceAllocations,
    },
    segment,
    state::EngineState,
    transfer,
};

pub(crate) type EngineBody = BoxBody<Bytes, io::Error>;
pub(crate) type EngineResponse = Response<EngineBody>;
pub(crate) type RouteResult = Result<EngineResponse, RouteError>;

/// Error response of a route.
#[derive(Debug)]
pub(crate) struct RouteError {
    status: StatusCode,
    message: String,
}

impl RouteError {
    pub(crate) fn new(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            message: message.to_owned(),
        }
    }
}

pub(crate) async fn route(state: Arc<EngineState>, request: Request<Incoming>) -> EngineResponse {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path == "/faults" {
        return into_response(set_fault(state, request).await);
    }
    state.apply_faults().await;
    let result = match (&method, path.as_str()) {
        (&Method::POST, "/v1/completions") => completion::complete(state, request, false).await,
        (&Method::POST, "/v1/chat/completions") => completion::complete(state, request, true).await,
        (&Method::POST, "/v1/cancel") => cancel(&state, request).await,
        (&Method::POST, "/v1/segments") => segment::prefill(&state, request).await,
        (&Method::GET, "/v1/segments") => segment::held_token_count(&state, &query),
        (&Method::POST, "/kv/export") => transfer::export(&state, request).await,
        (&Method::POST, "/kv/import") => transfer::import(&state, request).await,
        (&Method::POST, "/orders") => order::execute(&state, request).await,
        (&Method::GET, "/cache/events") => cache_feed::events(&state, &query),
        (&Method::GET, "/cache/snapshot") => Ok(cache_feed::snapshot(&state)),
        (&Method::GET, "/v1/requests") => Ok(list_allocations(&state)),
        (&Method::GET, "/journal") => Ok(json_response(&state.journal.entries())),
        (&Method::GET, "/journal/orders") => Ok(json_response(&state.journal.orders())),
        (&Method::GET, "/load") if state.options.report_style == ReportStyle::JsonReport => {
            Ok(json_response(&state.core.lock().reported_load()))
        }
        (&Method::GET, "/metrics")
            if state.options.report_style == ReportStyle::PrometheusReport =>
        {
            let text = state.core.lock().reported_load().prometheus();
            Ok(text_response(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                text,
            ))
        }
        _ => Err(RouteError::new(StatusCode::NOT_FOUND, "no such path")),
    };
    into_response(result)
}

/// Reads and parses a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, RouteError> {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|error| RouteError::new(StatusCode::BAD_REQUEST, &error.to_string()))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| RouteError::new(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Value of the parameter `name` in a query string.
pub(crate) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

pub(crate) fn json_response<T: Serialize>(value: &T) -> EngineResponse {
    let text = serde_json::to_string(value).unwrap_or_default();
    text_response(StatusCode::OK, "application/json", text)
}

pub(crate) fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> EngineResponse {
    let body = Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed();
    response_with_body(status, content_type, body)
}

pub(crate) fn response_with_body(
    status: StatusCode,
    content_type: &'static str,
    body: EngineBody,
) -> EngineResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn into_response(result: RouteResult) -> EngineResponse {
    result.unwrap_or_else(error_response)
}

fn error_response(error: RouteError) -> EngineResponse {
    let body = ErrorBody {
        error: ErrorDetail {
            kind: "engine_error",
            message: error.message,
        },
    };
    let text = serde_json::to_string(&body).unwrap_or_default();
    text_response(error.status, "application/json", text)
}

async fn cancel(state: &EngineState, request: Request<Incoming>) -> RouteResult {
    let body: RequestIdBody = read_json(request).await?;
    let cancelled = state
        .core
        .lock()
        .fail_request(&body.request_id, "the request was cancelled");
    state.wake.notify_one();
    Ok(json_response(&CancelResponse { cancelled }))
}

fn list_allocations(state: &EngineState) -> EngineResponse {
    let allocations = state.core.lock().batch.allocations();
    match state.options.report_style {
        ReportStyle::JsonReport => json_response(&RequestAllocations {
            requests: allocations
                .into_iter()
                .map(|allocation| RequestAllocation {
                    request_id: allocation.request_id.to_string(),
                    blocks: allocation.blocks,
                    block_tokens: BLOCK_TOKENS,
                })
                .collect(),
        }),
        ReportStyle::PrometheusReport => json_response(&SequenceAllocations {
            sequences: allocations
                .into_iter()
                .map(|allocation| SequenceAllocation {
                    id: allocation.request_id.to_string(),
                    kv_tokens: allocation.blocks * BLOCK_TOKENS,
                })
                .collect(),
        }),
    }
}

async fn set_fault(state: Arc<EngineState>, request: Request<Incoming>) -> RouteResult {
    let command: FaultCommand = read_json(request).await?;
    state.set_fault(command.fault);
    if let Some(for_ms) = command.for_ms {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(for_ms)).await;
            state.set_fault(super::fault::EngineFault::None);
        });
    }
    Ok(json_response(&command.fault))
}
