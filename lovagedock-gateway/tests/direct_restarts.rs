//! Endpoints that restart under the same name, and gateways of other fleets, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    EndpointScript, ScriptedEndpoint, TestFeed, TestGateway, call, config, daemon,
    endpoint_scripts as script, entry, open_call, read_response, settings, wait_until,
};
use lovagedock::{DirectEndpoint, EndpointProcess, EndpointState};
use lovagedock_platform::GatewayEntry;
use tokio::{net::UdpSocket, time::sleep};

/// Returns the entry of the same endpoint after a restart.
fn restarted(endpoint: DirectEndpoint) -> DirectEndpoint {
    let started = endpoint.process.started + 1;
    DirectEndpoint {
        process: EndpointProcess::new(endpoint.process.id.clone(), started),
        ..endpoint
    }
}

/// Guards against a stream that waits for an engine that has been replaced by another process.
///
/// The engine sends two events and loses power, and its connection stays open and silent. Another
/// process listens at its address a moment later, so a probe succeeds. The entry of the new process
/// ends the wait, and the new process sends the rest.
#[tokio::test]
async fn a_stream_resumes_when_its_process_is_replaced() {
    let endpoint = ScriptedEndpoint::start(vec![
        EndpointScript::WriteAndHold(script::events(1..3, false)),
        EndpointScript::Write(script::events(3..5, true)),
    ])
    .await;
    let first = entry("i-0", endpoint.address);
    let feed = TestFeed::new(config(1), vec![first.clone()]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    wait_until(|| endpoint.requests().len() == 1).await;
    feed.set_endpoints(vec![restarted(first)]);
    let response = read_response(stream).await;
    assert!(response.is_complete(), "{}", response.text);
    assert_eq!(response.event_ids(), ["1", "2", "3", "4"]);
}

/// Guards against a non-idempotent request that is sent to the replacement process.
///
/// The engine reads the request and loses power. Whether the request ran is unknown, and the new
/// process does not know either, so the caller gets status 502 for a lost response.
#[tokio::test]
async fn a_non_idempotent_request_is_not_sent_to_the_replacement_process() {
    let silent = ScriptedEndpoint::start(vec![EndpointScript::WriteAndHold(String::new())]).await;
    let first = entry("i-0", silent.address);
    let feed = TestFeed::new(config(1), vec![first.clone()]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let stream = open_call(gateway.address(), "/once/x", "1", "secret").await;
    wait_until(|| silent.requests().len() == 1).await;
    feed.set_endpoints(vec![restarted(first)]);
    let response = read_response(stream).await;
    assert_eq!(response.status(), 502, "{}", response.text);
    assert_eq!(silent.requests().len(), 1);
}

/// Guards against an endpoint that drained and restarted under its name and gets no requests.
#[tokio::test]
async fn a_drained_endpoint_serves_after_a_restart() {
    let endpoint = ScriptedEndpoint::start(vec![script::sealed("200 OK", "whole")]).await;
    let first = entry("i-0", endpoint.address);
    let draining = DirectEndpoint {
        state: EndpointState::Draining,
        ..first.clone()
    };
    let feed = TestFeed::new(config(1), vec![draining]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let refused = call(gateway.address(), "/safe/x", "1").await;
    assert_eq!(refused.status(), 503, "{}", refused.text);
    feed.set_endpoints(vec![restarted(first)]);
    let mut response = call(gateway.address(), "/safe/x", "2").await;
    while response.status() == 503 {
        response = call(gateway.address(), "/safe/x", "2").await;
    }
    assert_eq!(response.status(), 200, "{}", response.text);
}

/// Guards against a configuration of another fleet that removes the routes of this one.
///
/// An address of this fleet is reassigned to a gateway of another fleet, whose configuration is
/// newer and has none of the routes. It sends messages to a gateway of this fleet. If it were
/// accepted as a peer, its configuration would be applied and every caller would get 404. Its
/// messages must be ignored, and it must not receive state of this fleet.
#[tokio::test]
async fn a_gateway_of_another_fleet_is_ignored() {
    let endpoint = ScriptedEndpoint::start(vec![
        script::sealed("200 OK", "whole"),
        script::sealed("200 OK", "whole"),
    ])
    .await;
    let feed = TestFeed::new(config(3), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start("ours", &feed).await.ready().await;
    let foreign_feed = TestFeed::new(lovagedock::TrafficConfig::new(90), Vec::new());
    foreign_feed.add_gateway(GatewayEntry {
        name: "ours".into(),
        address: gateway.gateway.peers_address(),
        domain: "a".into(),
        capacity: 1_000,
    });
    let mut foreign_settings = settings("theirs");
    foreign_settings.fleet = Some("another fleet".to_owned());
    let foreign = TestGateway::start_with(foreign_settings, &foreign_feed, daemon()).await;
    let foreign = foreign.ready().await;
    // A gateway of this fleet becomes known in the same way. Once it is accepted, the messages of
    // the other one have been received too.
    let second = TestGateway::start("second", &TestFeed::down()).await;
    for feed in [&feed, &foreign_feed] {
        feed.add_gateway(GatewayEntry {
            name: "second".into(),
            address: second.gateway.peers_address(),
            domain: "a".into(),
            capacity: 1_000,
        });
    }
    let third = TestGateway::start("third", &feed).await;
    let second = second.ready().await;
    for address in [gateway.address(), second.address()] {
        let response = call(address, "/once/x", "1").await;
        assert_eq!(response.status(), 200, "{}", response.text);
    }
    drop((foreign, third));
}

/// Guards against malformed datagrams that stop a gateway.
#[tokio::test]
async fn malformed_datagrams_are_ignored() {
    let endpoint = ScriptedEndpoint::start(vec![script::sealed("200 OK", "whole")]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    let socket = UdpSocket::bind(direct_support::any_port()).await;
    let socket = socket.expect("a port is free");
    for length in 0..64_usize {
        let bytes: Vec<u8> = (0..length).map(|at| (at * 37 + length) as u8).collect();
        let sent = socket.send_to(&bytes, gateway.gateway.peers_address());
        sent.await.expect("loopback accepts the datagram");
    }
    sleep(Duration::from_millis(1)).await;
    let response = call(gateway.address(), "/once/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
}
