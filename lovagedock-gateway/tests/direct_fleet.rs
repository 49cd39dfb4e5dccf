//! Configuration, peers, reload and drain of a gateway without sidecars.

mod direct_support;

use std::fs;

use direct_support::{
    EndpointScript, ScriptedEndpoint, TestFeed, TestGateway, any_port, call, config, daemon,
    endpoint_scripts as script, entry, open_call, read_response, settings, wait_until,
};
use lovagedock_platform::GatewayEntry;

/// Guards against a gateway without a configuration that accepts connections or reports anything
/// but "not run".
#[tokio::test]
async fn nothing_is_served_without_a_configuration() {
    let gateway = TestGateway::start("gateway", &TestFeed::down()).await;
    assert!(!gateway.gateway.is_ready());
    let response = call(gateway.address(), "/once/x", "1").await;
    assert_eq!(response.status(), 503);
    assert!(response.has_header("retry-after"));
}

/// Guards against an older configuration that replaces the current one.
#[tokio::test]
async fn older_configurations_are_ignored() {
    let endpoint = ScriptedEndpoint::start(vec![script::sealed("200 OK", "whole")]).await;
    let feed = TestFeed::new(config(7), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    feed.set_config(lovagedock::TrafficConfig::new(5));
    feed.set_endpoints(vec![entry("i-1", endpoint.address)]);
    let response = call(gateway.address(), "/once/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
}

/// Guards against a gateway that cannot serve because the store is down when it starts.
///
/// The first gateway has read the configuration and the endpoints. The second one cannot reach the
/// store, but receives messages from a gateway that has them and requests both from it.
#[tokio::test]
async fn a_gateway_without_the_store_loads_its_peers_state() {
    let endpoint = ScriptedEndpoint::start(vec![script::sealed("200 OK", "whole")]).await;
    let feed = TestFeed::new(config(3), vec![entry("i-0", endpoint.address)]);
    let _first = TestGateway::start("first", &feed).await.ready().await;
    let second = TestGateway::start("second", &TestFeed::down()).await;
    feed.add_gateway(GatewayEntry {
        name: "second".into(),
        address: second.gateway.peers_address(),
        domain: "a".into(),
        capacity: 1_000,
    });
    // A gateway reads the list when it starts. The first one did so before the second one was
    // listed, so a third one is started, which sends messages to both.
    let third = TestGateway::start("third", &feed).await;
    let second = second.ready().await;
    let response = call(second.address(), "/once/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    drop(third);
}

/// Guards against a changed settings file with errors that stops the gateway.
#[tokio::test]
async fn an_invalid_reload_keeps_the_gateway_serving() {
    let endpoint = ScriptedEndpoint::start(vec![
        script::sealed("200 OK", "whole"),
        script::sealed("200 OK", "whole"),
    ])
    .await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let file = std::env::temp_dir().join(format!("lovagedock-reload-{}.jsonc", std::process::id()));
    let mut context = daemon();
    context.settings_file = Some(file.clone());
    let gateway = TestGateway::start_with(settings("gateway"), &feed, context).await;
    let gateway = gateway.ready().await;
    for text in ["{ not settings", "{}"] {
        fs::write(&file, text).expect("the temporary directory is writable");
        gateway.daemon.reload.trigger();
        let response = call(gateway.address(), "/once/x", "1").await;
        assert_eq!(response.status(), 200, "{}", response.text);
    }
    // A leftover file does not affect other tests.
    let _ = fs::remove_file(&file);
}

/// Guards against a planned stop that cuts requests.
///
/// A stream is running when the gateway is asked to stop. The gateway reports at once that it
/// accepts no new connections, and the stream completes.
#[tokio::test]
async fn a_stop_waits_for_running_requests() {
    let endpoint = ScriptedEndpoint::start(vec![EndpointScript::WriteAndHold(script::events(
        1..3,
        true,
    ))])
    .await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    wait_until(|| endpoint.requests().len() == 1).await;
    gateway.daemon.shutdown.trigger();
    wait_until(|| !gateway.gateway.is_ready()).await;
    let response = read_response(stream).await;
    assert!(response.is_complete(), "{}", response.text);
    gateway.gateway.wait().await.expect("the gateway stops");
}

/// Guards against a request that fails because one endpoint is unreachable.
#[tokio::test]
async fn an_unreachable_endpoint_is_skipped() {
    let endpoint = ScriptedEndpoint::start(vec![script::sealed("200 OK", "whole")]).await;
    let gone = tokio::net::TcpListener::bind(any_port())
        .await
        .expect("a port is free");
    let gone_address = gone.local_addr().expect("the listener has a local address");
    drop(gone);
    let entries = vec![entry("i-0", gone_address), entry("i-1", endpoint.address)];
    let feed = TestFeed::new(config(1), entries);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let response = call(gateway.address(), "/once/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
}
