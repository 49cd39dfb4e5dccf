//! Output and exit code of the commands that call gateways without sidecars.

use super::{
    commands::{CommandCase, GATEWAY_1, GATEWAY_2, check_cases, no_answer, refused},
    common::ScriptedClient,
};
use expect_test::expect;
use serde_json::{Value, json};

const PREVIEW: &str = "/drain-preview/a";
const RELEASE: &str = "/release-quarantine/5b0c00000000001f";

fn preview(heard: usize, state: &str, utilisation: Value, verdict: &str) -> Value {
    let organisations = match verdict {
        "short" => {
            json!([{ "service": "assistant", "organisation": "nablus-tax", "share": 0.413 }])
        }
        _ => json!([]),
    };
    json!({
        "domain": "a", "state": state, "gateways_heard": heard, "gateways_known": 3,
        "services": [{
            "service": "assistant",
            "inside": { "endpoints": 4, "slots": 48 },
            "outside": { "endpoints": 8, "slots": 96 },
            "slots_in_use": 70, "prefill_per_second": 2.25,
            "utilisation": utilisation, "verdict": verdict, "organisations": organisations,
        }],
    })
}

fn release(store_written: bool, reachable: usize) -> Value {
    json!({
        "gateway": "gateway-1", "known": true, "quarantined": false,
        "store_written": store_written, "gateways_reachable": reachable, "gateways_known": 3,
    })
}

fn usage(gateway: &str, returns: Value) -> Value {
    let lane = |lane: &str, slots_in_use: u32, waiting: u32| json!({ "lane": lane, "slots_in_use": slots_in_use, "waiting": waiting });
    json!({
        "gateway": gateway, "gateways_heard": 2, "gateways_known": 2, "refused_recently": 7,
        "services": [{
            "service": "assistant",
            "lanes": [lane("short", 14, 2), lane("long", 3, 0)],
            "endpoints": [{ "endpoint": "i-1@1", "slots": 12 }, { "endpoint": "i-2@1", "slots": 12 }],
        }],
        "flows": [], "shares": [], "returns": returns,
    })
}

/// Guards against a preview that conceals that gateways were not heard, and against an unknown
/// domain that looks like one that can be drained.
#[tokio::test]
async fn drain_preview_shows_the_best_informed_gateway() {
    let client = ScriptedClient::default;
    check_cases(vec![
        CommandCase {
            line: "drain-preview a",
            client: client()
                .with_response(
                    GATEWAY_1,
                    PREVIEW,
                    Ok(preview(1, "serving", json!(0.5), "enough")),
                )
                .with_response(
                    GATEWAY_2,
                    PREVIEW,
                    Ok(preview(3, "serving", json!(1.2), "short")),
                ),
            expected: expect![[r#"
                exit 0
                domain a, by gateway gateway-2 with the load of 3 of 3 gateways in the last seconds
                SERVICE    INSIDE  SLOTS  OUTSIDE  SLOTS  IN USE  PREFILL/S  AFTER  VERDICT
                assistant  4       48     8        96     70      2.25       1.20   short
                assistant: nablus-tax demands 41%
            "#]],
        },
        CommandCase {
            line: "drain-preview a",
            client: client().with_response(
                GATEWAY_2,
                PREVIEW,
                Ok(preview(2, "drained", Value::Null, "tight")),
            ),
            expected: expect![[r#"
                exit 0
                domain a, by gateway gateway-2 with the load of 2 of 3 gateways in the last seconds
                the domain is drained already
                the load of the other gateways is not included
                SERVICE    INSIDE  SLOTS  OUTSIDE  SLOTS  IN USE  PREFILL/S  AFTER  VERDICT
                assistant  4       48     8        96     70      2.25       -      tight
            "#]],
        },
        CommandCase {
            line: "drain-preview a",
            client: client().with_response(
                GATEWAY_1,
                PREVIEW,
                Ok(preview(3, "unknown", json!(0.5), "enough")),
            ),
            expected: expect![[r#"
                exit 1
                no endpoint is in failure domain "a"
            "#]],
        },
        CommandCase {
            line: "drain-preview a",
            client: client().with_response(GATEWAY_1, PREVIEW, refused(1004)),
            expected: expect![[r#"
                exit 1
                gateway-1: refused with 1004, no such thing: not here (only gateways without sidecars have this call)
                gateway-2: unreachable: connection refused
            "#]],
        },
        CommandCase {
            line: "drain-preview a",
            client: client(),
            expected: expect![[r#"
                exit 5
                gateway-1: unreachable: connection refused
                gateway-2: unreachable: connection refused
            "#]],
        },
    ])
    .await;
}

/// Guards against a release that is reported as done although the quarantine may come back, or as
/// not done although it may have been.
#[tokio::test]
async fn release_says_when_the_quarantine_may_come_back() {
    let client = ScriptedClient::default;
    check_cases(vec![
        CommandCase {
            line: "release-quarantine 5b0c00000000001f",
            client: client().with_response(GATEWAY_1, RELEASE, Ok(release(true, 3))),
            expected: expect![[r#"
                exit 0
                5b0c00000000001f released by gateway gateway-1
            "#]],
        },
        CommandCase {
            line: "release-quarantine part-1f4",
            client: client().with_response(
                GATEWAY_2,
                "/release-quarantine/part-000001f4",
                Ok(release(false, 2)),
            ),
            expected: expect![[r#"
                exit 4
                part-000001f4 released by gateway gateway-2
                the store was not written: the quarantine may come back when gateways restart; repeat the command
                2 of 3 gateways were reachable: the quarantine may come back from the others; repeat the command
            "#]],
        },
        CommandCase {
            line: "release-quarantine 5b0c00000000001f",
            client: client().with_response(GATEWAY_1, RELEASE, no_answer()),
            expected: expect![[r#"
                exit 4
                gateway-1: no answer: timeout
                gateway-2: unreachable: connection refused
            "#]],
        },
        CommandCase {
            line: "release-quarantine 5b0c00000000001f",
            client: client()
                .with_response(GATEWAY_1, RELEASE, refused(1002))
                .with_response(GATEWAY_2, RELEASE, refused(1002)),
            expected: expect![[r#"
                exit 1
                gateway-1: refused with 1002, no such thing: not here
                gateway-2: refused with 1002, no such thing: not here
            "#]],
        },
        CommandCase {
            line: "release-quarantine 5b0c",
            client: client(),
            expected: expect![[r#"
                exit 2
                "5b0c" is not a quarantine; expected the 16 hexadecimal digits of a request, or `part-` and the digits of a part
            "#]],
        },
    ])
    .await;
}

/// Guards against a view that leaves out a gateway, or a report of decisions under overload.
#[tokio::test]
async fn usage_shows_what_each_gateway_knows() {
    let returns = json!([{ "in_ms": 700, "lane": "short", "share": 0.25 }]);
    let client = ScriptedClient::default;
    check_cases(vec![
        CommandCase {
            line: "usage",
            client: client()
                .with_response(GATEWAY_1, "/usage", Ok(usage("gateway-1", returns)))
                .with_response(GATEWAY_2, "/usage", Ok(usage("gateway-2", json!([])))),
            expected: expect![[r#"
                exit 0
                GATEWAY    HEARD   SERVICE    LANE   ENDPOINTS  SLOTS  IN USE  WAITING HERE
                gateway-1  2 of 2  assistant  short  2          24     14      2
                gateway-1  2 of 2  assistant  long   2          24     3       0
                gateway-2  2 of 2  assistant  short  2          24     14      2
                gateway-2  2 of 2  assistant  long   2          24     3       0
                gateway-1: 7 requests refused in the last 8 s
                scheduled returns, by gateway-1
                in_ms  lane   share
                700    short  0.25
                gateway-2: 7 requests refused in the last 8 s
            "#]],
        },
        CommandCase {
            line: "usage",
            client: client().with_response(GATEWAY_2, "/usage", Ok(usage("gateway-2", json!([])))),
            expected: expect![[r#"
                exit 5
                GATEWAY    HEARD   SERVICE    LANE   ENDPOINTS  SLOTS  IN USE  WAITING HERE
                gateway-2  2 of 2  assistant  short  2          24     14      2
                gateway-2  2 of 2  assistant  long   2          24     3       0
                gateway-2: 7 requests refused in the last 8 s
                gateway-1: unreachable: connection refused
            "#]],
        },
    ])
    .await;
}

/// Guards against a status of a fleet without sidecars that fails for lack of a store of
/// configurations, or lacks what only gateways know.
#[tokio::test]
async fn status_lists_drains_and_quarantines_of_a_fleet_without_sidecars() {
    let status = |generation: u64, cold: &[&str]| {
        Ok(json!({
            "gateway": "gateway", "generation": generation,
            "direct": {
                "ready": true, "drained_domains": ["a"], "cold_endpoints": cold,
                "slow_endpoints": [{ "endpoint": "i-7@1", "slowdown": 3.5 }],
                "quarantined_requests": 2, "quarantined_parts": 1,
            },
        }))
    };
    check_cases(vec![
        CommandCase {
            line: "status",
            client: ScriptedClient::default()
                .with_response(GATEWAY_1, "/status", status(4, &["i-1@1"]))
                .with_response(GATEWAY_2, "/status", status(5, &["i-2@1"])),
            expected: expect![[r#"
                exit 0
                newest generation 5, in force at 1 of 2
                PROCESS    ROLE     GENERATION  IN FORCE
                gateway-1  gateway  4           no
                gateway-2  gateway  5           yes
                drained domains: a
                cold endpoints: i-1@1, i-2@1
                slow endpoints: i-7@1
                quarantines: 2 requests, 1 parts
            "#]],
        },
        CommandCase {
            line: "status",
            client: ScriptedClient::default().with_response(GATEWAY_2, "/status", status(5, &[])),
            expected: expect![[r#"
                exit 5
                newest generation 5, in force at 1 of 2
                PROCESS    ROLE     GENERATION  IN FORCE
                gateway-1  gateway  -           unreachable: connection refused
                gateway-2  gateway  5           yes
                drained domains: a
                cold endpoints: none
                slow endpoints: i-7@1
                quarantines: 2 requests, 1 parts
            "#]],
        },
    ])
    .await;
}
