//! Checks that a request passes before it is placed. Each failure reports that it did not run.

use std::time::Duration;

use hyper::{HeaderMap, header};
use lovagedock::{CallRule, LengthRule, OrganisationSpec, ServiceSpec, prelude::*};
use lovagedock_wire::HeaderField;
use sha2::{Digest, Sha256};

use super::problem::RequestProblem;
use crate::active::ActiveConfig;

/// Header in which a caller requests a deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "x-lovagedock-deadline-ms";
/// Header in which a caller requests a priority tier.
const PRIORITY_HEADER: &str = "x-lovagedock-priority";
/// Header by which a caller marks retries of the same call.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const BEARER: &str = "Bearer ";

/// Headers that apply to one connection only, or that the gateway sets itself.
const NOT_FORWARDED: &[header::HeaderName] = &[
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

type CheckResult<T> = Result<T, RequestProblem>;

/// Finds the organisation that owns the API key.
pub(super) fn authenticate<'a>(
    headers: &HeaderMap,
    config: &'a ActiveConfig,
) -> CheckResult<&'a OrganisationSpec> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(BEARER));
    let Some(key) = key else {
        return Err(RequestProblem::new(ResultCode::Unauthenticated)
            .with_detail("send the API key as a bearer token"));
    };
    let hash = hex(&Sha256::digest(key.trim().as_bytes()));
    config
        .organisation_by_key_hash(&hash)
        .ok_or_else(|| RequestProblem::new(ResultCode::Unauthenticated))
}

/// Checks that the organisation may use the service.
pub(super) fn authorise(organisation: &OrganisationSpec, service: &ServiceSpec) -> CheckResult<()> {
    let services = &organisation.services;
    if services.is_empty() || services.contains(&service.id) {
        return Ok(());
    }
    Err(RequestProblem::new(ResultCode::Unauthorised)
        .with_detail(format!("{} may not use {}", organisation.id, service.id)))
}

/// Checks the total size of all headers.
pub(super) fn check_header_size(headers: &HeaderMap, limit: usize) -> CheckResult<()> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size <= limit {
        return Ok(());
    }
    Err(RequestProblem::new(ResultCode::HeadersTooLarge)
        .with_detail(format!("{size} bytes, at most {limit}")))
}

/// The first rule that applies to prompts of this length at this hour.
pub(super) fn length_rule(
    rules: &[LengthRule],
    tokens: TokenCount,
    hour: u8,
) -> Option<&LengthRule> {
    rules.iter().find(|rule| {
        let short_enough = rule.max_tokens == 0 || tokens <= rule.max_tokens;
        tokens >= rule.min_tokens && short_enough && covers_hour(rule.hours, hour)
    })
}

fn covers_hour((from, to): (u8, u8), hour: u8) -> bool {
    if from == to {
        return true;
    }
    if from < to {
        return (from..to).contains(&hour);
    }
    hour >= from || hour < to
}

/// The time limit of a request: the requested one, limited by the service's maximum, or the default
/// if none is requested.
pub(super) fn time_limit(
    headers: &HeaderMap,
    service: &ServiceSpec,
    rule: Option<&LengthRule>,
) -> CheckResult<Duration> {
    let rule_deadline_ms = rule.map_or(0, |rule| rule.default_deadline_ms);
    let default = match rule_deadline_ms {
        0 => service.default_deadline(),
        milliseconds => Duration::from_millis(milliseconds),
    };
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(default);
    };
    let requested = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match requested {
        Some(milliseconds) if milliseconds > 0 => {
            Ok(Duration::from_millis(milliseconds).min(service.max_deadline()))
        }
        _ => Err(malformed(DEADLINE_HEADER, "a whole number of milliseconds")),
    }
}

/// The tier of a request: the requested one, limited by the organisation's and the rule's cap.
pub(super) fn request_tier(
    headers: &HeaderMap,
    organisation: &OrganisationSpec,
    rule: Option<&LengthRule>,
) -> CheckResult<PriorityTier> {
    let cap = rule.and_then(|rule| rule.priority_cap);
    let highest = cap.map_or(organisation.priority, |cap| cap.min(organisation.priority));
    let Some(value) = headers.get(PRIORITY_HEADER) else {
        return Ok(highest);
    };
    let requested = match value.as_bytes() {
        b"batch" => PriorityTier::Batch,
        b"standard" => PriorityTier::Standard,
        b"interactive" => PriorityTier::Interactive,
        _ => return Err(malformed(PRIORITY_HEADER, "batch, standard or interactive")),
    };
    Ok(requested.min(highest))
}

/// The caller's idempotency key.
pub(super) fn idempotency_key(headers: &HeaderMap) -> CheckResult<Option<String>> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(key.to_owned()))
        }
        _ => Err(malformed(IDEMPOTENCY_HEADER, "1 to 255 visible characters")),
    }
}

/// Whether one of the rules matches the call.
pub(super) fn is_listed(rules: &[CallRule], method: &str, path: &str) -> bool {
    rules.iter().any(|rule| {
        let method_fits = rule.method == "*" || rule.method.eq_ignore_ascii_case(method);
        let path_fits = match rule.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => rule.path == path,
        };
        method_fits && path_fits
    })
}

/// Headers that are forwarded to the endpoint.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(name))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn malformed(header: &str, expected: &str) -> RequestProblem {
    RequestProblem::new(ResultCode::MalformedRequest)
        .with_detail(format!("header {header}: expected {expected}"))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
