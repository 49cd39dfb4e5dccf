//! Responses that callers receive when endpoints fail, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    EndpointScript, ScriptedEndpoint, TestFeed, TestGateway, call, config, config_with_objective,
    engine_config, entry, open_call, open_call_with, wait_until,
};
use direct_support::{endpoint_scripts as script, read_response};
use tokio::time::sleep;

/// Starts a gateway with one endpoint for each list of scripts.
async fn fleet(scripts: Vec<Vec<EndpointScript>>) -> (TestGateway, Vec<ScriptedEndpoint>) {
    let mut endpoints = Vec::new();
    for script in scripts {
        endpoints.push(ScriptedEndpoint::start(script).await);
    }
    let entries = endpoints.iter().enumerate();
    let entries = entries.map(|(index, endpoint)| entry(&format!("i-{index}"), endpoint.address));
    let feed = TestFeed::new(config(1), entries.collect());
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    (gateway, endpoints)
}

struct ResponseCase {
    name: &'static str,
    path: &'static str,
    scripts: Vec<Vec<EndpointScript>>,
    status: u16,
    sends: usize,
    body: &'static str,
}

/// Guards against responses that hide a failure of an endpoint, and against requests that are sent
/// too often.
#[tokio::test]
async fn responses_reflect_endpoint_failures() {
    let cases = vec![
        ResponseCase {
            name: "a sealed response is delivered",
            path: "/once/x",
            scripts: vec![vec![script::sealed("200 OK", "whole")]],
            status: 200,
            sends: 1,
            body: "whole",
        },
        ResponseCase {
            name: "a response without a seal is rejected",
            path: "/once/x",
            scripts: vec![vec![script::unsealed()]],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "a response to another request is rejected",
            path: "/once/x",
            scripts: vec![vec![script::mismatched_request_id()]],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "a non-idempotent request is not repeated after a reset",
            path: "/once/x",
            scripts: vec![
                vec![EndpointScript::Reset; 3],
                vec![EndpointScript::Reset; 3],
            ],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "the statement that a request did not run is forwarded",
            path: "/once/x",
            scripts: vec![vec![script::not_run(); 3]],
            status: 503,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "an idempotent request is repeated at another endpoint",
            path: "/safe/x",
            scripts: vec![
                vec![EndpointScript::Reset],
                vec![script::sealed("200 OK", "second")],
            ],
            status: 200,
            sends: 2,
            body: "second",
        },
        ResponseCase {
            name: "a truncated response is rejected",
            path: "/once/x",
            scripts: vec![vec![script::truncated()]],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "an error response of an engine is delivered unchanged",
            path: "/once/x",
            scripts: vec![vec![script::sealed("500 Failed", "reason")]],
            status: 500,
            sends: 1,
            body: "reason",
        },
    ];
    for case in cases {
        let (gateway, endpoints) = fleet(case.scripts).await;
        let response = call(gateway.address(), case.path, "1").await;
        assert_eq!(
            response.status(),
            case.status,
            "{}: {}",
            case.name,
            response.text
        );
        assert!(
            response.text.ends_with(case.body),
            "{}: {}",
            case.name,
            response.text
        );
        let sends: usize = endpoints.iter().map(|e| e.requests().len()).sum();
        assert_eq!(sends, case.sends, "{}", case.name);
        assert_eq!(
            response.has_header("retry-after"),
            case.status == 503,
            "{}",
            case.name
        );
    }
}

/// Guards against API keys of callers that are forwarded to engines.
#[tokio::test]
async fn api_keys_are_not_forwarded() {
    let (gateway, endpoints) = fleet(vec![vec![script::sealed("200 OK", "whole")]]).await;
    call(gateway.address(), "/once/x?y=1", "1").await;
    let request = endpoints[0].requests().remove(0);
    assert!(
        request.starts_with("POST /once/x?y=1 HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("x-organisation: org\r\n"), "{request}");
    assert!(!request.contains("secret"), "{request}");
}

/// Guards against gaps and repeated events when the engine of a stream crashes.
///
/// The first engine sends three events and half of the fourth, and then resets the connection. The
/// second one resumes after the third event and repeats it.
#[tokio::test]
async fn a_broken_stream_resumes_at_another_endpoint() {
    let (gateway, endpoints) = fleet(vec![
        vec![EndpointScript::Write(
            script::events(1..4, false) + "9\r\nid: 4\nda",
        )],
        vec![EndpointScript::Write(script::events(3..6, true))],
    ])
    .await;
    let response = call(gateway.address(), "/stream/x", "1").await;
    assert_eq!(response.event_ids(), ["1", "2", "3", "4", "5"]);
    assert!(response.is_complete());
    let resumed = endpoints.iter().flat_map(ScriptedEndpoint::requests);
    let resumed = resumed.filter(|request| request.contains("x-resume-after: 3\r\n"));
    assert_eq!(resumed.count(), 1);
}

/// Guards against a stream that looks complete although no engine could resume it.
///
/// The first engine resets the connection after three events. The second one refuses. The gateway's
/// task for the request ends, and the connection must end without the final chunk.
#[tokio::test]
async fn a_stream_that_cannot_resume_has_no_final_chunk() {
    let (gateway, _endpoints) = fleet(vec![
        vec![
            EndpointScript::Write(script::events(1..4, false)),
            script::not_run(),
        ],
        vec![script::not_run(), script::not_run()],
    ])
    .await;
    let response = call(gateway.address(), "/stream/x", "1").await;
    assert!(!response.is_complete(), "{}", response.text);
}

/// Guards against an engine that keeps working for a caller that has disconnected.
///
/// The caller reads one event and disconnects. The gateway must close its connection to the engine.
#[tokio::test]
async fn a_caller_disconnect_closes_the_endpoint_connection() {
    let script = vec![EndpointScript::WriteAndHold(script::events(1..2, false))];
    let (gateway, endpoints) = fleet(vec![script]).await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    stream.readable().await.expect("the first event arrives");
    drop(stream);
    wait_until(|| endpoints[0].closed() == 1).await;
}

/// Guards against an engine that keeps working for a caller that disconnected before the response.
#[tokio::test]
async fn a_caller_disconnect_before_the_response_closes_the_endpoint_connection() {
    let script = vec![EndpointScript::WriteAndHold(String::new())];
    let (gateway, endpoints) = fleet(vec![script]).await;
    let stream = open_call(gateway.address(), "/once/x", "1", "secret").await;
    wait_until(|| endpoints[0].requests().len() == 1).await;
    drop(stream);
    wait_until(|| endpoints[0].closed() == 1).await;
}

/// Guards against requests without a valid route or key that reach an endpoint.
#[tokio::test]
async fn unknown_routes_and_keys_are_refused() {
    let (gateway, endpoints) = fleet(vec![vec![]]).await;
    let unknown = call(gateway.address(), "/nowhere/", "1").await;
    assert_eq!(unknown.status(), 404);
    let stream = open_call(gateway.address(), "/once/x", "1", "wrong").await;
    assert_eq!(read_response(stream).await.status(), 401);
    assert!(endpoints[0].requests().is_empty());
}

/// Guards against a broken stream that is cut, instead of waiting for another engine, because its
/// objective has passed.
///
/// The engine of the stream resets the connection after three events, and the only other engine is
/// full. A new request would be refused. This one waits until the caller of the other engine
/// disconnects.
#[tokio::test]
async fn a_broken_stream_waits_for_a_free_slot() {
    let full = ScriptedEndpoint::start(vec![
        EndpointScript::WriteAndHold(String::new()),
        EndpointScript::Write(script::events(4..6, true)),
    ])
    .await;
    let breaking =
        ScriptedEndpoint::start(vec![EndpointScript::Write(script::events(1..4, false))]).await;
    let mut entries = vec![entry("i-0", full.address), entry("i-1", breaking.address)];
    entries[0].slots = 1;
    let feed = TestFeed::new(config_with_objective(1, Duration::from_millis(1)), entries);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let occupant = open_call(gateway.address(), "/safe/x", "1", "secret").await;
    wait_until(|| full.requests().len() == 1).await;
    let stream = open_call(gateway.address(), "/stream/x", "2", "secret").await;
    wait_until(|| breaking.requests().len() == 1).await;
    // The engine may reset before or after the slot of the other engine is free.
    sleep(Duration::from_millis(50)).await;
    drop(occupant);
    let response = read_response(stream).await;
    assert_eq!(response.event_ids(), ["1", "2", "3", "4", "5"]);
    assert!(response.is_complete(), "{}", response.text);
}

/// Token counts that exceed the capacity of any engine.
struct TokenCountCase {
    name: &'static str,
    header_lines: String,
    status: u16,
}

/// Guards against token counts that cause a panic in the task that responds to the request.
#[tokio::test]
async fn out_of_range_token_counts_are_answered() {
    let max = u64::MAX;
    let cases = [
        TokenCountCase {
            name: "prompt",
            header_lines: format!("x-prompt: {max}\r\nx-answer-hint: 10\r\n"),
            status: 503,
        },
        TokenCountCase {
            name: "answer",
            header_lines: format!(
                "x-prompt: 10\r\nx-answer-hint: {max}\r\nx-answer-limit: {max}\r\n"
            ),
            status: 503,
        },
    ];
    for case in cases {
        let endpoint = ScriptedEndpoint::start([]).await;
        let feed = TestFeed::new(engine_config(), vec![entry("i-0", endpoint.address)]);
        let gateway = TestGateway::start("gateway", &feed).await.ready().await;
        let address = gateway.address();
        let stream = open_call_with(address, "/stream/x", "1", "secret", &case.header_lines).await;
        let response = read_response(stream).await;
        assert_eq!(
            response.status(),
            case.status,
            "{}: {}",
            case.name,
            response.text
        );
        assert_eq!(endpoint.requests().len(), 0, "{}", case.name);
    }
}
