//! Routes callers' requests by method and path.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, body::Incoming, header};
use lovagedock::{LimitDecision, LimitKind, ServiceKind, prelude::*};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::{
    body::{ResponseBody, full_body},
    in_flight::{InFlightRequest, InFlightTable, in_flight_body},
    problem::{RequestProblem, set_request_id},
    reply::{CallerSink, response},
    validator::CallValidator,
};
use crate::{
    call::CallerCall,
    call_task::{CallTask, count_outcome},
    cuts::{CutNotice, count_cut},
    settings::CallerLimits,
    shared::GatewayShared,
    trail::RequestTrail,
};

const MODELS_PATH: &str = "/v1/models";

/// Responds to callers' requests.
pub(super) struct CallRouter {
    shared: GatewayShared,
    limits: CallerLimits,
    streams: Arc<Semaphore>,
    in_flight: InFlightTable,
    log: Logger,
}

impl CallRouter {
    /// Creates a router without requests in flight.
    pub(super) fn new(shared: GatewayShared, limits: CallerLimits, log: Logger) -> Self {
        Self {
            streams: Arc::new(Semaphore::new(limits.streams)),
            in_flight: InFlightTable::default(),
            shared,
            limits,
            log,
        }
    }

    /// The table of requests in flight.
    pub(super) fn in_flight(&self) -> &InFlightTable {
        &self.in_flight
    }

    /// Time since the process started.
    pub(super) fn now(&self) -> Timestamp {
        self.shared.context.clock.now()
    }

    /// Remaining time of the drain for requests in flight.
    pub(super) fn remaining_drain_time(&self) -> Duration {
        self.shared.remaining_drain_time()
    }

    /// Responds to one request.
    pub(super) async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let id: RequestId = rand::random();
        // The request is counted before it is checked. Otherwise a request whose body is still
        // being received when the gateway stops would not be in the table, and the process would
        // exit without waiting for it.
        let in_flight = self.in_flight.begin(id, self.now());
        let response = match self.route(id, request, &in_flight).await {
            Ok(response) => response,
            Err(problem) => {
                info!(self.log, "request refused";
                    "request" => format_request_id(id),
                    "code" => problem.code.number(),
                    "detail" => &problem.detail);
                count_outcome(problem.code);
                problem.response(id)
            }
        };
        response.map(|body| in_flight_body(body, in_flight))
    }

    async fn route(
        &self,
        id: RequestId,
        request: Request<Incoming>,
        in_flight: &Arc<InFlightRequest>,
    ) -> Result<Response<ResponseBody>, RequestProblem> {
        let config = self.shared.context.config.load_full();
        if config.generation == 0 {
            return Err(RequestProblem::new(ResultCode::NotConfigured)
                .with_retry_after(Duration::from_secs(1)));
        }
        let validator = CallValidator {
            id,
            config: &config,
            limits: &self.limits,
            time_since_epoch: time_since_epoch(),
        };
        if request.method() == Method::GET && is_models_path(request.uri().path()) {
            return models_response(&validator, &request);
        }
        if self.in_flight.is_closed() {
            return Err(stopping_problem());
        }
        let permit = self.acquire_stream()?;
        let call = tokio::select! {
            call = validator.validate(request) => call?,
            () = self.shared.wait_for_drain_end() => {
                self.log_body_cut(id);
                return Err(stopping_problem());
            }
        };
        self.check_limits(&call)?;
        Ok(self.drive(Arc::new(call), permit, in_flight).await)
    }

    fn log_body_cut(&self, id: RequestId) {
        count_cut(CutNotice::Sent);
        warn!(self.log, "request cut by the shutdown";
            "request" => format_request_id(id),
            "code" => ResultCode::GatewayStopping.number(),
            "ran" => RanState::No.as_str(),
            "detail" => "the request body was not received completely");
    }

    fn check_limits(&self, call: &CallerCall) -> Result<(), RequestProblem> {
        let now = self.now();
        let tokens = call.prompt.total_tokens();
        match self
            .shared
            .limits
            .admit_request(now, &call.organisation, tokens)
        {
            LimitDecision::Admitted => Ok(()),
            LimitDecision::Refused { limit, retry_after } => {
                let limit_name = match limit {
                    LimitKind::Requests => "requests a second",
                    LimitKind::Tokens => "tokens a minute",
                    LimitKind::Concurrency => "requests in flight",
                };
                Err(RequestProblem::new(ResultCode::OverLimit)
                    .with_retry_after(retry_after)
                    .with_detail(format!(
                        "the limit of {} for {limit_name}",
                        call.organisation
                    )))
            }
        }
    }

    fn acquire_stream(&self) -> Result<OwnedSemaphorePermit, RequestProblem> {
        let permit = Arc::clone(&self.streams).try_acquire_owned();
        permit.map_err(|_| {
            RequestProblem::new(ResultCode::TooManyStreams).with_retry_after(Duration::from_secs(1))
        })
    }

    async fn drive(
        &self,
        call: Arc<CallerCall>,
        permit: OwnedSemaphorePermit,
        in_flight: &Arc<InFlightRequest>,
    ) -> Response<ResponseBody> {
        self.shared.trails.begin(call.id, new_trail(&call));
        let (caller, events) = CallerSink::channel();
        let shared = self.shared.clone();
        let task = CallTask::new(shared, Arc::clone(&call), caller, self.log.clone());
        let in_flight = Arc::clone(in_flight);
        tokio::spawn(async move {
            task.run().await;
            drop((permit, in_flight));
        });
        response(call.id, call.prompt.stream, events).await
    }
}

fn stopping_problem() -> RequestProblem {
    RequestProblem::new(ResultCode::GatewayStopping).with_retry_after(Duration::from_secs(1))
}

fn new_trail(call: &CallerCall) -> RequestTrail {
    RequestTrail {
        request_id: format_request_id(call.id),
        service: call.service.clone(),
        organisation: call.organisation.clone(),
        prompt_tokens: call.prompt.tokens,
        steps: Vec::new(),
    }
}

fn time_since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

fn is_models_path(path: &str) -> bool {
    let rest = path.strip_prefix(MODELS_PATH);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The list of models that the organisation may use, or the entry of one of them.
fn models_response(
    validator: &CallValidator<'_>,
    request: &Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let organisation = validator.check_caller(request.headers())?;
    let allowed = |service: &ServiceId| {
        organisation.services.is_empty() || organisation.services.contains(service)
    };
    let entries: Vec<ModelEntry<'_>> = validator
        .config
        .fleet
        .services
        .iter()
        .filter(|service| allowed(&service.id))
        .filter_map(|service| match &service.kind {
            ServiceKind::Model { model } => Some(model_entry(model)),
            ServiceKind::Plain { .. } => None,
        })
        .collect();
    let requested_model = request.uri().path().strip_prefix("/v1/models/");
    let document = match requested_model {
        None => serde_json::to_vec(&ModelList {
            object: "list",
            data: entries,
        }),
        Some(name) => {
            let entry = entries.into_iter().find(|entry| entry.id == name);
            let entry = entry.ok_or_else(|| RequestProblem::new(ResultCode::UnknownService))?;
            serde_json::to_vec(&entry)
        }
    };
    let mut response = Response::new(full_body(Bytes::from(document.unwrap_or_default())));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    set_request_id(&mut response, validator.id);
    Ok(response)
}

fn model_entry(model: &str) -> ModelEntry<'_> {
    ModelEntry {
        id: model,
        object: "model",
        created: 0,
        owned_by: "lovagedock",
    }
}
