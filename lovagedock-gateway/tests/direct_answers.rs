//! What callers get when endpoints fail, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    EndpointScript, ScriptedEndpoint, TestFeed, TestGateway, call, config, config_with_objective,
    engine_config, entry, open_call, open_call_with, wait_until,
};
use direct_support::{endpoint_scripts as script, read_response};
use tokio::time::sleep;

/// A gateway in front of endpoints with these scripts.
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

/// Each request goes through endpoints that fail in one way; the caller's answer and the number of
/// times that it was sent must be right.
#[tokio::test]
async fn responses_reflect_endpoint_failures() {
    let cases = vec![
        ResponseCase {
            name: "a sealed answer passes",
            path: "/once/x",
            scripts: vec![vec![script::sealed("200 OK", "whole")]],
            status: 200,
            sends: 1,
            body: "whole",
        },
        ResponseCase {
            name: "an answer without a seal is no answer",
            path: "/once/x",
            scripts: vec![vec![script::unsealed()]],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "another request's answer is not delivered",
            path: "/once/x",
            scripts: vec![vec![script::mismatched_request_id()]],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "a request that must not run twice is not sent again after a reset",
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
            name: "a promise that it did not run is passed on as one",
            path: "/once/x",
            scripts: vec![vec![script::not_run(); 3]],
            status: 503,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "an idempotent request is answered by another endpoint",
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
            name: "a short answer is not delivered as a whole one",
            path: "/once/x",
            scripts: vec![vec![script::truncated()]],
            status: 502,
            sends: 1,
            body: "",
        },
        ResponseCase {
            name: "an engine's own failure is delivered unchanged",
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

/// Engines see what they need and nothing that is not theirs.
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

/// The caller of a stream whose engine dies reads on without a gap.
///
/// The first engine sends three events and half of the fourth and resets. The second continues after
/// the third; what it repeats is left out.
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

/// A stream that nobody can continue does not look complete to its caller.
///
/// The first engine resets after three events. The second refuses. The gateway's task for the
/// request ends, and the connection must end without the mark of a complete answer.
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

/// The engine stops working for a caller that has gone.
///
/// The caller reads one event and closes. The gateway closes its connection to the engine, which
/// would otherwise write to the end for nobody.
#[tokio::test]
async fn a_caller_disconnect_closes_the_endpoint_connection() {
    let script = vec![EndpointScript::WriteAndHold(script::events(1..2, false))];
    let (gateway, endpoints) = fleet(vec![script]).await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    stream.readable().await.expect("the first event comes");
    drop(stream);
    wait_until(|| endpoints[0].closed() == 1).await;
}

/// A caller whose request waits for an engine's answer and leaves also ends the work.
#[tokio::test]
async fn a_caller_disconnect_before_the_response_closes_the_endpoint_connection() {
    let script = vec![EndpointScript::WriteAndHold(String::new())];
    let (gateway, endpoints) = fleet(vec![script]).await;
    let stream = open_call(gateway.address(), "/once/x", "1", "secret").await;
    wait_until(|| endpoints[0].requests().len() == 1).await;
    drop(stream);
    wait_until(|| endpoints[0].closed() == 1).await;
}

/// Callers are told what is wrong with their request, and nothing reaches an endpoint.
#[tokio::test]
async fn unknown_routes_and_keys_are_refused() {
    let (gateway, endpoints) = fleet(vec![vec![]]).await;
    let unknown = call(gateway.address(), "/nowhere/", "1").await;
    assert_eq!(unknown.status(), 404);
    let stream = open_call(gateway.address(), "/once/x", "1", "wrong").await;
    assert_eq!(read_response(stream).await.status(), 401);
    assert!(endpoints[0].requests().is_empty());
}

/// A stream that breaks off after its objective waits for an engine instead of being cut.
///
/// The stream's engine resets after three events. The only other engine is full. Its objective is
/// over, so that a new request would be refused; this one has been worked on, and continues when the
/// other engine's caller leaves.
#[tokio::test]
async fn a_broken_stream_waits_for_a_free_slot() {
    let full = ScriptedEndpoint::start(vec![
        EndpointScript::WriteAndHold(String::new()),
        EndpointScript::Write(script::events(4..6, true)),
    ])
    .await;
    let breaks =
        ScriptedEndpoint::start(vec![EndpointScript::Write(script::events(1..4, false))]).await;
    let mut entries = vec![entry("i-0", full.address), entry("i-1", breaks.address)];
    entries[0].slots = 1;
    let feed = TestFeed::new(config_with_objective(1, Duration::from_millis(1)), entries);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let holder = open_call(gateway.address(), "/safe/x", "1", "secret").await;
    wait_until(|| full.requests().len() == 1).await;
    let stream = open_call(gateway.address(), "/stream/x", "2", "secret").await;
    wait_until(|| breaks.requests().len() == 1).await;
    // The engine has reset by now, or does while the other place is free already.
    sleep(Duration::from_millis(50)).await;
    drop(holder);
    let response = read_response(stream).await;
    assert_eq!(response.event_ids(), ["1", "2", "3", "4", "5"]);
    assert!(response.is_complete(), "{}", response.text);
}

/// Figures of a request that no engine could have.
struct TokenCountCase {
    name: &'static str,
    header_lines: String,
    status: u16,
}

/// Guards against a request whose figures end the task that should answer it.
#[tokio::test]
async fn out_of_range_token_counts_are_answered() {
    let most = u64::MAX;
    let cases = [
        TokenCountCase {
            name: "a prompt",
            header_lines: format!("x-prompt: {most}\r\nx-answer-hint: 10\r\n"),
            status: 503,
        },
        TokenCountCase {
            name: "an answer",
            header_lines: format!(
                "x-prompt: 10\r\nx-answer-hint: {most}\r\nx-answer-limit: {most}\r\n"
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
