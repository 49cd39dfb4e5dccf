//! Header names of the tests.

use std::time::Duration;

use hyper::{HeaderMap, header::HeaderValue};
use lovagedock::{AdvertisedLimit, PromptParts, RetryAfter, prelude::*};
use lovagedock_gateway::{
    CallerHead, CommandRequest, EndpointHead, HttpDialect, MemoryCommand, OutgoingHead,
};

/// Headers with plain names.
pub(crate) struct TestDialect;

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Returns the comma-separated decimal parts without the last one.
fn shared_parts(headers: &HeaderMap) -> PromptParts {
    let parts = text(headers, "x-parts").unwrap_or_default();
    let parts = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    parts
        .split(',')
        .filter_map(|part| part.parse().ok())
        .collect()
}

impl HttpDialect for TestDialect {
    fn read_caller(&self, headers: &HeaderMap) -> CallerHead {
        let number = |name| text(headers, name).and_then(|value| value.parse().ok());
        CallerHead {
            request: text(headers, "x-request").unwrap_or_default(),
            key: text(headers, "x-key"),
            deadline: number("x-deadline-ms").map(Duration::from_millis),
            prompt: number("x-prompt").unwrap_or(0),
            answer_limit: number("x-answer-limit"),
            answer_hint: number("x-answer-hint"),
            resume_after: None,
            parts: shared_parts(headers),
        }
    }

    fn write_request(&self, outgoing: &OutgoingHead<'_>) -> HeaderMap {
        let mut headers = outgoing.caller.clone();
        headers.remove("x-key");
        headers.remove("content-length");
        let mut set = |name: &'static str, value: &str| {
            let value = HeaderValue::from_str(value).expect("test values are plain");
            headers.insert(name, value);
        };
        set("x-endpoint", outgoing.endpoint);
        if let Some(organisation) = outgoing.organisation {
            set("x-organisation", organisation);
        }
        if !outgoing.helpers.is_empty() {
            let helpers = outgoing.helpers.iter();
            let helpers = helpers.map(|helper| helper.address.to_string());
            set("x-helpers", &helpers.collect::<Vec<_>>().join(","));
        }
        if let Some(event) = outgoing.resume_after {
            set("x-resume-after", event);
        }
        headers
    }

    fn read_endpoint(&self, headers: &HeaderMap) -> EndpointHead {
        EndpointHead {
            request: text(headers, "x-request"),
            sealed: headers.contains_key("x-seal"),
            not_run: headers.contains_key("x-not-run"),
            leaving: text(headers, "x-leaving").as_deref() == Some("1"),
            retry_after: match text(headers, "x-retry-after") {
                Some(delay) => RetryAfter::parse(&delay),
                None => RetryAfter::Absent,
            },
            at_fault: None,
            rate_limit: match text(headers, "x-limit") {
                Some(limit) => AdvertisedLimit::parse(&limit),
                None => AdvertisedLimit::Unlimited,
            },
            cold_left: text(headers, "x-cold-ms")
                .and_then(|value| value.parse().ok())
                .map_or(Duration::ZERO, Duration::from_millis),
        }
    }

    fn write_command(&self, endpoint: &EndpointId, command: &MemoryCommand<'_>) -> CommandRequest {
        let mut headers = HeaderMap::new();
        let name = HeaderValue::from_str(endpoint).expect("test values are plain");
        headers.insert("x-endpoint", name);
        CommandRequest {
            target: "/order",
            headers,
            body: format!("{command:?}").into(),
        }
    }
}
