//! Responses of endpoints that have neither a length nor chunks and end with their connection.

mod direct_support;

use direct_support::{
    EndpointScript, ScriptedEndpoint, TestFeed, TestGateway, call, config, endpoint_scripts, entry,
};
use endpoint_scripts::{close_delimited, close_delimited_events, events};

struct CloseCase {
    name: &'static str,
    path: &'static str,
    /// Scripts in the order of the attempts.
    scripts: Vec<EndpointScript>,
    status: u16,
    /// Ids of the events that the caller gets, for a stream.
    event_ids: &'static [&'static str],
    is_complete: bool,
}

fn cases() -> Vec<CloseCase> {
    let write = |text: String| EndpointScript::Write(text);
    let reset = |text: String| EndpointScript::WriteAndReset(text);
    let rest = || write(events(3..4, true));
    vec![
        CloseCase {
            name: "a response that ends with its connection",
            path: "/once/x",
            scripts: vec![write(close_delimited("whole"))],
            status: 200,
            event_ids: &[],
            is_complete: true,
        },
        CloseCase {
            name: "a response whose connection is reset",
            path: "/once/x",
            scripts: vec![reset(close_delimited("who"))],
            status: 502,
            event_ids: &[],
            is_complete: false,
        },
        CloseCase {
            name: "the same, and another endpoint answers",
            path: "/safe/x",
            scripts: vec![
                reset(close_delimited("who")),
                write(close_delimited("whole")),
            ],
            status: 200,
            event_ids: &[],
            is_complete: true,
        },
        CloseCase {
            name: "a stream that ends with its connection",
            path: "/stream/x",
            scripts: vec![write(close_delimited_events(1..4, ""))],
            status: 200,
            event_ids: &["1", "2", "3"],
            is_complete: true,
        },
        CloseCase {
            name: "a stream that ends in an event and is resumed",
            path: "/stream/x",
            scripts: vec![write(close_delimited_events(1..3, "id: 3\nda")), rest()],
            status: 200,
            event_ids: &["1", "2", "3"],
            is_complete: true,
        },
        CloseCase {
            name: "a stream that is reset between two events and is resumed",
            path: "/stream/x",
            scripts: vec![reset(close_delimited_events(1..3, "")), rest()],
            status: 200,
            event_ids: &["1", "2", "3"],
            is_complete: true,
        },
        CloseCase {
            name: "a stream that ends in an event at the last attempt",
            path: "/stream/x",
            scripts: vec![
                write(close_delimited_events(1..2, "id: 2\nda")),
                write(close_delimited_events(2..3, "id: 3\ndata: wo")),
            ],
            status: 200,
            event_ids: &["1", "2"],
            is_complete: false,
        },
        CloseCase {
            name: "a stream that is reset between two events at the last attempt",
            path: "/stream/x",
            scripts: vec![
                reset(close_delimited_events(1..2, "")),
                reset(close_delimited_events(2..3, "")),
            ],
            status: 200,
            event_ids: &["1", "2"],
            is_complete: false,
        },
        CloseCase {
            name: "an event without its last line at the last attempt",
            path: "/stream/x",
            scripts: vec![
                write(close_delimited_events(1..2, "").replace("\n\n", "\n\nid: 2\ndata: word\n")),
                write(close_delimited_events(2..2, "id: 2\ndata: word\n")),
            ],
            status: 200,
            event_ids: &["1"],
            is_complete: false,
        },
    ]
}

/// Guards against responses that look complete although their connection broke, and against whole
/// ones that are rejected because nothing but the end of the connection marks their end.
#[tokio::test]
async fn responses_end_with_their_connection() {
    for case in cases() {
        let endpoints = ScriptedEndpoint::start_pool(2, case.scripts).await;
        let entries = endpoints.iter().enumerate();
        let entries =
            entries.map(|(index, endpoint)| entry(&format!("i-{index}"), endpoint.address));
        let feed = TestFeed::new(config(1), entries.collect());
        let gateway = TestGateway::start("gateway", &feed).await.ready().await;
        let response = call(gateway.address(), case.path, "1").await;
        let (name, text) = (case.name, &response.text);
        assert_eq!(response.status(), case.status, "{name}: {text}");
        assert_eq!(response.event_ids(), case.event_ids, "{name}: {text}");
        let is_complete = match case.path.starts_with("/stream/") {
            true => response.is_complete(),
            false => response.status() == 200 && text.ends_with("\r\n\r\nwhole"),
        };
        assert_eq!(is_complete, case.is_complete, "{name}: {text}");
    }
}
