//! What the stand-in platform does beside keeping objects: rates, counters, hosts, weights.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, http};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock_platform::{
    CallPurpose, HostDirectory, HostState, HttpObjectStore, ObjectStore, PutCondition, StoreError,
};
use lovagedock_standin::{FaultCommand, FaultKind, PlatformOptions, PlatformStandin};

/// One token in the bucket, and the next comes after far longer than any test takes.
const ONE_CALL: f64 = 0.000_1;

async fn send(request: http::request::Builder, body: &'static str) -> u16 {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = request.body(Full::from(body)).expect("request");
    let response = client.request(request).await.expect("answer");
    response.status().as_u16()
}

async fn post(url: &str, path: &str, body: &'static str) -> u16 {
    send(Request::post(format!("{url}{path}")), body).await
}

async fn get(url: &str, path: &str) -> u16 {
    send(Request::get(format!("{url}{path}")), "").await
}

#[tokio::test]
async fn calls_beyond_the_rates_are_refused_and_counted() {
    let options = PlatformOptions {
        writes_per_second: ONE_CALL,
        reads_per_second: ONE_CALL,
        ..PlatformOptions::default()
    };
    let running = PlatformStandin::start(options).await.expect("loopback");
    let store = HttpObjectStore::new(&running.url());
    let put = || store.put("a", Bytes::from("1"), PutCondition::Any, CallPurpose::Claim);
    let version = put().await.expect("within the rate");
    assert_eq!(put().await, Err(StoreError::RateLimited));
    let object = store
        .get("a", CallPurpose::Claim)
        .await
        .expect("within the rate");
    assert_eq!(object.map(|object| object.version), Some(version));
    let list = store.list("", CallPurpose::Claim).await;
    assert_eq!(list, Err(StoreError::RateLimited));
    let counters = running.counters();
    assert_eq!((counters.writes, counters.reads, counters.lists), (2, 1, 1));
    assert_eq!(counters.rate_limited, 2);
    assert_eq!((counters.bytes_written, counters.bytes_read), (1, 1));
}

/// The platform counts a waiting watch: one that waits on takes reads from the rate, and is ended
/// when there are none left.
#[tokio::test]
async fn waiting_watch_uses_up_the_rate() {
    let options = PlatformOptions {
        reads_per_second: ONE_CALL,
        ..PlatformOptions::default()
    };
    let running = PlatformStandin::start(options).await.expect("loopback");
    let store = HttpObjectStore::new(&running.url());
    let watch = store.watch("", 0, Duration::from_secs(30), CallPurpose::Config);
    assert_eq!(watch.await, Err(StoreError::RateLimited));
    let counters = running.counters();
    assert_eq!((counters.watches, counters.waiting_watches), (1, 0));
}

#[tokio::test]
async fn host_list_tells_leaving_hosts_after_its_lag() {
    struct LagCase {
        lag: Duration,
        want: [(&'static str, HostState); 2],
    }
    let cases = [
        LagCase {
            lag: Duration::ZERO,
            want: [("a", HostState::Leaving), ("c", HostState::Live)],
        },
        LagCase {
            lag: Duration::from_secs(3600),
            want: [("a", HostState::Live), ("b", HostState::Live)],
        },
    ];
    for case in cases {
        let options = PlatformOptions {
            host_lag: case.lag,
            hosts: vec!["a".to_owned(), "b".to_owned()],
            ..PlatformOptions::default()
        };
        let running = PlatformStandin::start(options).await.expect("loopback");
        for path in [
            "/v1/hosts/a/leaving",
            "/v1/hosts/b/gone",
            "/v1/hosts/c/live",
        ] {
            assert_eq!(post(&running.url(), path, "").await, 204);
        }
        let list = HttpObjectStore::new(&running.url())
            .hosts()
            .await
            .expect("list");
        let seen: Vec<_> = list
            .hosts
            .iter()
            .map(|entry| (&*entry.host, entry.state))
            .collect();
        assert_eq!(seen, case.want);
    }
}

#[tokio::test]
async fn faults_come_by_share_and_end_by_order() {
    let running = PlatformStandin::start(PlatformOptions::default())
        .await
        .expect("loopback");
    let url = running.url();
    let store = HttpObjectStore::new(&url);
    assert_eq!(
        post(&url, "/v1/faults", r#"{"fault":"down","share":0.5}"#).await,
        204
    );
    let mut failed = 0;
    for _ in 0..10 {
        failed += u32::from(store.get("a", CallPurpose::Status).await.is_err());
    }
    assert_eq!(failed, 5);
    assert_eq!(post(&url, "/v1/faults", r#"{"fault":"none"}"#).await, 204);
    assert_eq!(store.get("a", CallPurpose::Status).await, Ok(None));
    assert_eq!(post(&url, "/v1/faults", r#"{"fault":"fire"}"#).await, 400);
    running.set_fault(FaultCommand {
        for_ms: Some(0),
        ..FaultCommand::new(FaultKind::Down)
    });
    assert_eq!(store.get("a", CallPurpose::Status).await, Ok(None));
}

#[tokio::test]
async fn weight_loads_keep_to_their_rate() {
    let options = PlatformOptions {
        weight_loads_per_second: ONE_CALL,
        ..PlatformOptions::default()
    };
    let running = PlatformStandin::start(options).await.expect("loopback");
    let url = running.url();
    assert_eq!(get(&url, "/v1/weights/a").await, 200);
    assert_eq!(get(&url, "/v1/weights/a").await, 429);
    assert_eq!(running.counters().weight_loads, 2);
}
