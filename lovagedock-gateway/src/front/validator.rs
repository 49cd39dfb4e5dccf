//! Validates a caller's HTTP request and converts it into a [`CallerCall`].

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Request, body::Incoming, http::request::Parts};
use lovagedock::{LengthRule, OrganisationSpec, ServiceSpec, prelude::*};
use tokio::time::timeout;

use super::{
    checks,
    problem::{REQUEST_ID_HEADER, RequestProblem},
    prompt::ModelBody,
};
use crate::{
    active::ActiveConfig,
    call::{CallerCall, PromptSummary},
    settings::CallerLimits,
};

/// Header that names the calling organisation to a plain service.
const ORGANISATION_HEADER: &str = "x-lovagedock-organisation";
const SECONDS_PER_HOUR: u64 = 3_600;
const HOURS_PER_DAY: u64 = 24;

/// Validates one request against one configuration.
pub(super) struct CallValidator<'a> {
    /// Id assigned to the request.
    pub(super) id: RequestId,
    /// Configuration that applies to the request.
    pub(super) config: &'a ActiveConfig,
    /// Limits of the gateway.
    pub(super) limits: &'a CallerLimits,
    /// Wall-clock time since the epoch, for rules that depend on the hour.
    pub(super) time_since_epoch: Duration,
}

impl CallValidator<'_> {
    /// Validates a request and reads its body.
    pub(super) async fn validate(
        &self,
        request: Request<Incoming>,
    ) -> Result<CallerCall, RequestProblem> {
        match is_model_path(request.method(), request.uri().path()) {
            true => self.model_call(request).await,
            false => self.plain_call(request).await,
        }
    }

    /// Validates a chat or completion request.
    async fn model_call(&self, request: Request<Incoming>) -> Result<CallerCall, RequestProblem> {
        let (parts, body) = request.into_parts();
        let organisation = self.check_caller(&parts.headers)?;
        let body = self.read_body(body).await?;
        let parsed: ModelBody<'_> = serde_json::from_slice(&body).map_err(|error| {
            RequestProblem::new(ResultCode::MalformedRequest).with_detail(error.to_string())
        })?;
        if !parsed.has_prompt() {
            return Err(RequestProblem::new(ResultCode::MalformedRequest)
                .with_detail("expected a prompt or messages"));
        }
        let unknown = || {
            RequestProblem::new(ResultCode::UnknownService)
                .with_detail(format!("no service has model {:?}", parsed.model))
        };
        let service = self
            .config
            .service_of_model(&parsed.model)
            .ok_or_else(unknown)?;
        let model = self.config.model(&parsed.model).ok_or_else(unknown)?;
        checks::authorise(organisation, service)?;
        let prompt = parsed.summary(model);
        check_length(&prompt, model.max_context_tokens, organisation)?;
        let rule = checks::length_rule(&self.config.fleet.rules, prompt.tokens, self.hour());
        self.assemble(&parts, body, organisation, service, prompt, rule)
    }

    /// Validates a call of a plain service.
    async fn plain_call(&self, request: Request<Incoming>) -> Result<CallerCall, RequestProblem> {
        let (parts, body) = request.into_parts();
        let organisation = self.check_caller(&parts.headers)?;
        let path = parts.uri.path();
        let service = self.config.service_of_path(path).ok_or_else(|| {
            RequestProblem::new(ResultCode::UnknownService)
                .with_detail(format!("no service has path {path:?}"))
        })?;
        checks::authorise(organisation, service)?;
        let body = self.read_body(body).await?;
        let prompt = PromptSummary::default();
        self.assemble(&parts, body, organisation, service, prompt, None)
    }

    /// Runs the checks that need no body and returns the organisation.
    pub(super) fn check_caller(
        &self,
        headers: &HeaderMap,
    ) -> Result<&OrganisationSpec, RequestProblem> {
        checks::check_header_size(headers, self.limits.header_bytes)?;
        checks::authenticate(headers, self.config)
    }

    fn assemble(
        &self,
        parts: &Parts,
        body: Bytes,
        organisation: &OrganisationSpec,
        service: &ServiceSpec,
        prompt: PromptSummary,
        rule: Option<&LengthRule>,
    ) -> Result<CallerCall, RequestProblem> {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let method = parts.method.as_str();
        let key = checks::idempotency_key(&parts.headers)?;
        let listed = checks::is_listed(&service.non_idempotent, method, parts.uri.path());
        Ok(CallerCall {
            id: self.id,
            organisation: organisation.id.clone(),
            tier: checks::request_tier(&parts.headers, organisation, rule)?,
            weight: organisation.weight,
            service: service.id.clone(),
            pool: service.pool.clone(),
            time_limit: checks::time_limit(&parts.headers, service, rule)?,
            // A caller that sends a key relies on a single execution, whatever the configuration
            // lists as non-idempotent.
            non_idempotent: listed || key.is_some(),
            idempotency_key: key,
            prompt,
            method: method.to_owned(),
            path: path.to_owned(),
            headers: self.headers(&parts.headers, organisation),
            body,
        })
    }

    fn headers(
        &self,
        headers: &HeaderMap,
        organisation: &OrganisationSpec,
    ) -> Vec<lovagedock_wire::HeaderField> {
        let mut forwarded = checks::forwarded_headers(headers);
        forwarded
            .retain(|field| field.name != REQUEST_ID_HEADER && field.name != ORGANISATION_HEADER);
        let mut add = |name: &str, value: &str| {
            forwarded.push(lovagedock_wire::HeaderField {
                name: name.to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            });
        };
        add(REQUEST_ID_HEADER, &format_request_id(self.id));
        add(ORGANISATION_HEADER, &organisation.id);
        forwarded
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, RequestProblem> {
        let limited = Limited::new(body, self.limits.body_bytes);
        let too_slow = || {
            RequestProblem::new(ResultCode::MalformedRequest)
                .with_detail("the body did not arrive in time")
        };
        let collected = timeout(self.limits.body_time(), limited.collect())
            .await
            .map_err(|_| too_slow())?;
        match collected {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(RequestProblem::new(ResultCode::BodyTooLarge)
                    .with_detail(format!("at most {} bytes", self.limits.body_bytes)))
            }
            Err(error) => {
                Err(RequestProblem::new(ResultCode::MalformedRequest)
                    .with_detail(error.to_string()))
            }
        }
    }

    fn hour(&self) -> u8 {
        (self.time_since_epoch.as_secs() / SECONDS_PER_HOUR % HOURS_PER_DAY) as u8
    }
}

/// Whether a request is a chat or completion request.
fn is_model_path(method: &Method, path: &str) -> bool {
    method == Method::POST && matches!(path, "/v1/chat/completions" | "/v1/completions")
}

fn check_length(
    prompt: &PromptSummary,
    max_context_tokens: TokenCount,
    organisation: &OrganisationSpec,
) -> Result<(), RequestProblem> {
    let max_prompt_tokens = organisation.limits.max_prompt_tokens;
    let too_long = |limit: TokenCount, owner: &str| {
        RequestProblem::new(ResultCode::PromptTooLong).with_detail(format!(
            "about {} tokens of prompt and {} of answer, {owner} limit is {limit}",
            prompt.tokens, prompt.answer_tokens
        ))
    };
    if prompt.total_tokens() > max_context_tokens {
        return Err(too_long(max_context_tokens, "the model's"));
    }
    if max_prompt_tokens > 0 && prompt.tokens > max_prompt_tokens {
        return Err(too_long(max_prompt_tokens, "the organisation's"));
    }
    Ok(())
}
