//! What adapters make of malformed, split and foreign input from an endpoint.

mod support;

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use lovagedock::prelude::format_request_id;
use lovagedock_sidecar::adapter::{AdapterOptions, EngineAdapter, EngineError, build_adapter};
use support::{ID, PROMPT, answer, request};

/// Serves the same bytes to every connection, in pieces of `piece` bytes, then closes it.
async fn canned(response: Vec<u8>, piece: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head).await;
            for part in response.chunks(piece) {
                let _ = stream.write_all(part).await;
                tokio::task::yield_now().await;
            }
            let _ = stream.shutdown().await;
        }
    });
    address
}

async fn canned_adapter(name: &str, body: &str, piece: usize) -> Arc<dyn EngineAdapter> {
    let response = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}");
    let address = canned(response.into_bytes(), piece).await;
    build_adapter(name, &AdapterOptions::new(address)).unwrap()
}

fn chunk(text: &str) -> String {
    let id = format_request_id(ID);
    format!("{{\"id\":\"cmpl-{id}\",\"choices\":[{{\"text\":\"{text}\"}}]}}")
}

/// The network cuts a stream anywhere: the caller gets the same bytes however it was cut, and
/// comments of the engine never reach it.
#[tokio::test]
async fn a_stream_is_the_same_however_it_is_split() {
    struct Case {
        name: &'static str,
        line_end: &'static str,
    }
    let cases = [
        Case {
            name: "line feeds",
            line_end: "\n",
        },
        Case {
            name: "carriage returns and line feeds",
            line_end: "\r\n",
        },
    ];
    for case in cases {
        let events = ["one ", "two ", "three "].map(|text| format!("data: {}", chunk(text)));
        let blank = format!("{0}{0}", case.line_end);
        let whole = [&events[..], &["data: [DONE]".to_owned()]].concat();
        let expected: String = whole
            .iter()
            .map(|event| format!("{event}{blank}"))
            .collect();
        let sent = format!(": keep-alive{blank}{expected}");
        for piece in [1, 2, 3, 7, 64, 4_096] {
            let adapter = canned_adapter("json-report", &sent, piece).await;
            let answer = answer(&*adapter, request(PROMPT, 3, true)).await.unwrap();
            assert_eq!(answer.body, expected, "{} by {piece}", case.name);
        }
    }
}

/// Every stream that does not end with its end mark, or whose chunks cannot be read as this
/// request's, ends with an error and never cleanly.
#[tokio::test]
async fn damaged_streams_are_no_answers() {
    struct Case {
        name: &'static str,
        body: String,
        is_lost: bool,
    }
    let good = format!("data: {}\n\n", chunk("one "));
    let cases = [
        Case {
            name: "nothing",
            body: String::new(),
            is_lost: true,
        },
        Case {
            name: "no end mark",
            body: good.clone(),
            is_lost: true,
        },
        Case {
            name: "half an end mark",
            body: format!("{good}data: [DO"),
            is_lost: true,
        },
        Case {
            name: "an end mark without its empty line",
            body: format!("{good}data: [DONE]\n"),
            is_lost: true,
        },
        Case {
            name: "no JSON",
            body: format!("{good}data: {{\n\ndata: [DONE]\n\n"),
            is_lost: false,
        },
        Case {
            name: "no id",
            body: "data: {\"choices\":[]}\n\ndata: [DONE]\n\n".to_owned(),
            is_lost: false,
        },
        Case {
            name: "an event without end",
            body: "data: x".repeat(400_000),
            is_lost: false,
        },
    ];
    for case in cases {
        let adapter = canned_adapter("json-report", &case.body, 65_536).await;
        let error = answer(&*adapter, request(PROMPT, 3, true)).await;
        let error = error.expect_err(case.name);
        let is_lost = matches!(error, EngineError::Lost { .. });
        assert_eq!(is_lost, case.is_lost, "{}: {error}", case.name);
    }
}

#[tokio::test]
async fn reports_that_cannot_be_read_are_errors() {
    struct Case {
        adapter: &'static str,
        load: &'static str,
    }
    let cases = [
        Case {
            adapter: "json-report",
            load: "",
        },
        Case {
            adapter: "json-report",
            load: "{\"running\":1}",
        },
        Case {
            adapter: "json-report",
            load: "{\"running\":-1,\"waiting\":0,\"total_tokens\":1,\"free_tokens\":1}",
        },
        Case {
            adapter: "prometheus-report",
            load: "\u{fffd}",
        },
        Case {
            adapter: "prometheus-report",
            load: "engine_kv_tokens_capacity 10\nengine_kv_tokens_used NaN\n",
        },
        Case {
            adapter: "prometheus-report",
            load: "engine_kv_tokens_capacity 10\nengine_kv_tokens_used -3\n",
        },
        Case {
            adapter: "plain",
            load: "[",
        },
    ];
    for case in cases {
        let adapter = canned_adapter(case.adapter, case.load, 4_096).await;
        let error = adapter.load().await.expect_err(case.load);
        assert!(matches!(error, EngineError::Failed { .. }), "{error}");
    }
}

/// Somebody uses the engine beside the sidecar: its requests are in the account under ids that
/// are none of ours, and are left out.
#[tokio::test]
async fn foreign_requests_are_left_out_of_the_account() {
    struct Case {
        adapter: &'static str,
        account: String,
    }
    let id = format_request_id(ID);
    let cases = [
        Case {
            adapter: "json-report",
            account: format!(
                "{{\"requests\":[{{\"request_id\":\"theirs\",\"blocks\":9,\"block_tokens\":16}},\
                 {{\"request_id\":\"{id}\",\"blocks\":2,\"block_tokens\":16}}]}}"
            ),
        },
        Case {
            adapter: "prometheus-report",
            account: format!(
                "{{\"sequences\":[{{\"id\":\"{id}\",\"kv_tokens\":32}},\
                 {{\"id\":\"\",\"kv_tokens\":1}}]}}"
            ),
        },
    ];
    for case in cases {
        let adapter = canned_adapter(case.adapter, &case.account, 4_096).await;
        let account = adapter.allocations().await.unwrap();
        assert_eq!(account.len(), 1, "{}", case.adapter);
        assert_eq!((account[0].request_id, account[0].tokens), (ID, 32));
    }
}
