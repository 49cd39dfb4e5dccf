//! Calls over TCP to a real operators' port.

use std::{net::SocketAddr, sync::Arc};

use super::common::{run, show};
use async_trait::async_trait;
use expect_test::expect;
use lovagedock_cli::{CommandRunner, OperatorSettings};
use lovagedock_daemon::{
    AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute, AdminServer, AdminSettings,
    DaemonContext,
};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};

struct DrainHandler;

#[async_trait]
impl AdminHandler for DrainHandler {
    fn ready(&self) -> bool {
        true
    }

    fn dump(&self) -> Value {
        json!({ "queue": [] })
    }

    fn routes(&self) -> &'static [AdminRoute] {
        &[AdminRoute {
            method: AdminMethod::Post,
            path: "/drain",
        }]
    }

    async fn call(&self, _call: AdminCall) -> AdminReply {
        AdminReply::Json(json!({ "draining": true }))
    }
}

fn runner_with_token(address: SocketAddr, token: &str) -> CommandRunner {
    let settings = json!({
        "sidecars": [{ "id": "engine-1", "address": address }],
        "operator_token": token,
        "transport": { "plain_tcp": "demo" },
    });
    let settings: OperatorSettings = serde_json::from_value(settings).expect("valid settings");
    CommandRunner::new(settings).expect("no files to read")
}

/// The process accepts writes only with the token; reads need none.
#[tokio::test]
async fn writes_need_the_token() {
    let settings = json!({
        "address": "127.0.0.1:0",
        "operator_token": "right",
        "transport": { "plain_tcp": "demo" },
    });
    let settings: AdminSettings = serde_json::from_value(settings).expect("valid settings");
    let context = DaemonContext::new(Logger::root(Discard, o!()));
    let handler = Arc::new(DrainHandler);
    let server = AdminServer::start("test", &settings, handler, &context).await;
    let server = server.expect("it listens");
    let wrong = runner_with_token(server.address(), "wrong");
    let right = runner_with_token(server.address(), "right");

    expect![[r#"
        exit 1
        engine-1: refused with 1002, the API key is missing or unknown: this call needs the operators' token
    "#]].assert_eq(&show(&run(&wrong, "drain engine-1").await));
    expect![[r#"
        exit 0
        engine-1 is draining
    "#]]
    .assert_eq(&show(&run(&right, "drain engine-1").await));
    let dump = run(&wrong, "dump engine-1").await;
    assert_eq!(dump.value["state"], json!({ "queue": [] }));
}

/// Nothing listens on the port, so the call was not made. The exit code reports that the process is
/// unreachable.
#[tokio::test]
async fn a_closed_port_is_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let report = run(&runner_with_token(address, "right"), "drain engine-1").await;
    assert_eq!(report.status.number(), 5);
}
