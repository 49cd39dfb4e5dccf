//! A gateway that is asked to stop while callers still come.

mod direct_support;

use std::time::Duration;

use direct_support::{
    LogLines, ScriptedEndpoint, TestFeed, TestGateway, config, endpoint_scripts as script, entry,
    open_call, read_answer, settings, until,
};
use lovagedock_daemon::DaemonContext;
use lovagedock_gateway::DirectSettings;

/// Settings of a gateway that is killed so long after it was asked to stop.
fn stop_settings(grace_s: f64) -> DirectSettings {
    let mut settings = settings("gateway");
    settings.bounds.stop_grace_s = grace_s;
    settings
}

/// Guards against a stop that cuts an answer of which the log says nothing.
#[tokio::test]
async fn an_answer_cut_by_a_stop_is_named_in_the_log() {
    let held = script::slow_events(Duration::ZERO, 1..3, Duration::from_secs(60));
    let endpoint = ScriptedEndpoint::start([held]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let lines = LogLines::default();
    let context = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(stop_settings(1.0), &feed, context).await;
    let gateway = gateway.ready().await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    until(|| endpoint.requests().len() == 1).await;
    gateway.daemon.shutdown.trigger();
    let answer = read_answer(stream).await;
    gateway.gateway.wait().await.expect("the gateway stops");
    assert!(!answer.is_complete(), "{}", answer.text);
    let cut = lines.with_message("cut by the stop");
    assert_eq!(cut.len(), 1, "{cut:?}");
    assert_eq!(cut[0]["request"], "1");
    assert_eq!(cut[0]["stage"], "answering");
    assert_eq!(cut[0]["endpoint"], "i-0@1");
    assert_eq!(cut[0]["events"], 1);
}

/// Guards against a stop of which the log does not tell why a request was taken.
#[tokio::test]
async fn a_request_taken_while_stopping_is_in_the_log_with_its_inputs() {
    let endpoint = ScriptedEndpoint::start([script::sealed("200 OK", "whole")]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let lines = LogLines::default();
    let context = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(stop_settings(8.0), &feed, context).await;
    let gateway = gateway.ready().await;
    gateway.daemon.shutdown.trigger();
    until(|| !gateway.gateway.is_ready()).await;
    let stream = open_call(gateway.address(), "/safe/x", "1", "secret").await;
    let answer = read_answer(stream).await;
    assert_eq!(answer.status(), 200, "{}", answer.text);
    let decided = lines.with_message("request while stopping");
    assert_eq!(decided.len(), 1, "{decided:?}");
    assert_eq!(decided[0]["outcome"], "taken");
    assert!(decided[0]["left_ms"].as_u64().is_some_and(|left| left > 0));
}
