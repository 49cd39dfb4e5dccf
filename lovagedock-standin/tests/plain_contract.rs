//! Contract of the adapter to plain services, faults included.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use lovagedock::prelude::format_request_id;
use lovagedock_sidecar::adapter::{
    AdapterCapabilities, AdapterOptions, EngineAdapter, EngineError, EngineHeader, EngineOrder,
    EngineRequest, OrderKind, SegmentRequest, build_adapter,
};
use lovagedock_standin::service::{RunningService, ServiceOptions, ServiceStandin};
use support::{ID, MODEL, Verdict, answer, request, until, verdict};

struct ServiceBench {
    service: RunningService,
    adapter: Arc<dyn EngineAdapter>,
}

async fn service_bench(service_time: Duration) -> ServiceBench {
    let service = ServiceStandin::start(ServiceOptions { service_time })
        .await
        .unwrap();
    let options = AdapterOptions::new(service.address);
    let adapter = build_adapter("plain", &options).unwrap();
    ServiceBench { service, adapter }
}

fn receipt() -> EngineRequest {
    EngineRequest {
        method: "PUT".to_owned(),
        path: "/receipts/7?outlet=kochi".to_owned(),
        body: Bytes::from_static(b"{\"commission\":12}"),
        ..request(MODEL, 1, false)
    }
}

#[tokio::test]
async fn a_plain_call_goes_through_as_it_is() {
    let bench = service_bench(Duration::ZERO).await;
    let answer = answer(&*bench.adapter, receipt()).await.unwrap();
    assert_eq!(answer.status, 200);
    let runs = bench.service.journal.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].request_id, format_request_id(ID));
    assert_eq!(runs[0].method, "PUT");
    assert_eq!(runs[0].path, "/receipts/7?outlet=kochi");
    assert_eq!(answer.body, serde_json::to_string(&runs[0]).unwrap());
    assert!(bench.adapter.allocations().await.unwrap().is_empty());
    assert_eq!(bench.adapter.load().await.unwrap().running, 0);
}

/// A plain service dies before a call, or while it runs. The first call certainly did not run;
/// the second did, but nobody on this side can tell, so its fate is unknown.
#[tokio::test]
async fn a_plain_service_that_dies() {
    let bench = service_bench(Duration::from_secs(600)).await;
    let adapter = bench.adapter.clone();
    let call = tokio::spawn(async move { answer(&*adapter, receipt()).await });
    until(async || !bench.service.journal.runs().is_empty()).await;
    assert_eq!(bench.adapter.load().await.unwrap().running, 1);
    bench.service.kill();
    let error = call.await.unwrap().unwrap_err();
    assert_eq!(verdict(&error), Verdict::Lost);

    until(async || {
        let error = answer(&*bench.adapter, receipt()).await.unwrap_err();
        verdict(&error) == Verdict::Unreachable
    })
    .await;
    assert_eq!(bench.service.journal.runs().len(), 1);
}

/// Headers of the caller's own connection must not reach the service, where they would end its
/// connection or change its framing; nor may a caller choose the request id that is journaled.
#[tokio::test]
async fn headers_of_the_callers_connection_stay_behind() {
    let headers = [
        ("content-type", "application/json"),
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("content-length", "99"),
        ("host", "example.org"),
        ("x-request-id", "mine"),
        ("x-outlet", "kochi"),
    ];
    let address = support::echo_head(receipt().body.len()).await;
    let adapter = build_adapter("plain", &AdapterOptions::new(address)).unwrap();
    let request = EngineRequest {
        headers: headers
            .map(|(name, value)| EngineHeader {
                name: name.to_owned(),
                value: Bytes::from_static(value.as_bytes()),
            })
            .to_vec(),
        ..receipt()
    };
    let head = answer(&*adapter, request).await.unwrap().body;
    let mut lines: Vec<_> = head.lines().filter(|line| !line.is_empty()).collect();
    lines.sort_unstable();
    let host = format!("host: {address}");
    let id = format!("x-request-id: {}", format_request_id(ID));
    let expected = [
        "PUT /receipts/7?outlet=kochi HTTP/1.1",
        "content-length: 17",
        "content-type: application/json",
        &host,
        "x-outlet: kochi",
        &id,
    ];
    assert_eq!(lines, expected);
}

#[tokio::test]
async fn what_an_endpoint_cannot_do_is_refused() {
    let bench = service_bench(Duration::ZERO).await;
    assert_eq!(bench.adapter.capabilities(), AdapterCapabilities::default());
    let segment = SegmentRequest {
        request_id: ID,
        priority: 0,
        start: 0,
        tokens: 1,
        prompt_part: "part".to_owned(),
    };
    let order = EngineOrder {
        fence: 1,
        kind: OrderKind::SetRole {
            role: "long".to_owned(),
        },
    };
    let errors = [
        bench.adapter.export(ID).await.err(),
        bench.adapter.import(Bytes::new()).await.err(),
        bench.adapter.segment(segment).await.err(),
        bench.adapter.order(order).await.err(),
    ];
    for error in errors {
        let is_refused = matches!(error, Some(EngineError::Refused { status: 501, .. }));
        assert!(is_refused, "{error:?}");
    }
}
