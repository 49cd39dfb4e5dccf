//! Output and exit code of the commands that call gateways without sidecars.

use super::{
    commands::{CommandCase, GATEWAY_1, GATEWAY_2, check_cases, no_answer, refused},
    common::ScriptedClient,
};
use expect_test::{Expect, expect};
use lovagedock_cli::ProcessError;
use serde_json::{Value, json};

const PREVIEW: &str = "/drain-preview/a";
const RELEASE: &str = "/release-quarantine/5b0c00000000001f";

fn case(line: &'static str, client: ScriptedClient, expected: Expect) -> CommandCase {
    CommandCase {
        line,
        client,
        expected,
    }
}

type Response = Result<Value, ProcessError>;

/// Scripts the responses of both gateways to calls of a path; `None` is an unreachable gateway.
fn answers(path: &'static str, responses: [Option<Response>; 2]) -> ScriptedClient {
    let mut client = ScriptedClient::default();
    for (gateway, response) in [GATEWAY_1, GATEWAY_2].into_iter().zip(responses) {
        if let Some(response) = response {
            client = client.with_response(gateway, path, response);
        }
    }
    client
}

fn preview(heard: usize, state: &str, utilisation: Value, verdict: &str) -> Option<Response> {
    let organisations = match verdict {
        "short" => {
            json!([{ "service": "assistant", "organisation": "nablus-tax", "share": 0.413 }])
        }
        _ => json!([]),
    };
    Some(Ok(json!({
        "domain": "a", "state": state, "gateways_heard": heard, "gateways_known": 3,
        "services": [{
            "service": "assistant",
            "inside": { "endpoints": 4, "slots": 48 },
            "outside": { "endpoints": 8, "slots": 96 },
            "slots_in_use": 70, "prefill_per_second": 2.25,
            "utilisation": utilisation, "verdict": verdict, "organisations": organisations,
        }],
    })))
}

fn release(store_written: bool, reachable: usize) -> Option<Response> {
    Some(Ok(json!({
        "gateway": "gateway-1", "known": true, "quarantined": false,
        "store_written": store_written, "gateways_reachable": reachable, "gateways_known": 3,
    })))
}

fn lane(lane: &str, used: u32, waiting: u32) -> Value {
    json!({ "lane": lane, "slots_in_use": used, "waiting": waiting })
}

fn organisation(name: &str, demand: f64, exceeds: bool) -> Value {
    json!({ "organisation": name, "demand": demand, "served": 20.0, "exceeds_share": exceeds })
}

fn usage(gateway: &str, shares: Value, returns: Value) -> Option<Response> {
    Some(Ok(json!({
        "gateway": gateway, "gateways_heard": 2, "gateways_known": 2, "refused_recently": 7,
        "services": [{
            "service": "assistant",
            "lanes": [lane("short", 14, 2), lane("long", 3, 0)],
            "endpoints": [{ "slots": 12 }, { "slots": 12 }],
        }],
        "flows": null, "shares": shares, "returns": returns,
    })))
}

/// Guards against a preview that conceals that gateways were not heard, and against an unknown
/// domain that looks like one that can be drained.
#[tokio::test]
async fn drain_preview_shows_the_best_informed_gateway() {
    check_cases(vec![
        case(
            "drain-preview a",
            answers(
                PREVIEW,
                [
                    preview(1, "serving", json!(0.5), "enough"),
                    preview(3, "serving", json!(1.2), "short"),
                ],
            ),
            expect![[r#"
                exit 0
                domain a, by gateway gateway-2 with the load of 3 of 3 gateways in the last seconds
                SERVICE    INSIDE  SLOTS  OUTSIDE  SLOTS  IN USE  PREFILL/S  AFTER  VERDICT
                assistant  4       48     8        96     70      2.25       1.20   short
                assistant: nablus-tax demands 41%
            "#]],
        ),
        case(
            "drain-preview a",
            answers(PREVIEW, [None, preview(2, "drained", Value::Null, "tight")]),
            expect![[r#"
                exit 0
                domain a, by gateway gateway-2 with the load of 2 of 3 gateways in the last seconds
                the domain is drained already
                the load of the other gateways is not included
                SERVICE    INSIDE  SLOTS  OUTSIDE  SLOTS  IN USE  PREFILL/S  AFTER  VERDICT
                assistant  4       48     8        96     70      2.25       -      tight
            "#]],
        ),
        case(
            "drain-preview a",
            answers(PREVIEW, [preview(3, "unknown", json!(0.5), "enough"), None]),
            expect![[r#"
                exit 1
                no endpoint is in failure domain "a"
            "#]],
        ),
        case(
            "drain-preview a",
            answers(PREVIEW, [Some(refused(1004)), None]),
            expect![[r#"
                exit 1
                gateway-1: refused with 1004, no such thing: not here (only gateways without sidecars have this call)
                gateway-2: unreachable: connection refused
            "#]],
        ),
    ])
    .await;
}

/// Guards against a release that is reported as done although the quarantine may come back, or as
/// not done although it may have been.
#[tokio::test]
async fn release_says_when_the_quarantine_may_come_back() {
    check_cases(vec![
        case(
            "release-quarantine 5b0c00000000001f",
            answers(RELEASE, [release(true, 3), None]),
            expect![[r#"
                exit 0
                5b0c00000000001f released by gateway gateway-1
            "#]],
        ),
        case(
            "release-quarantine part-1f4",
            answers("/release-quarantine/part-000001f4", [None, release(false, 2)]),
            expect![[r#"
                exit 4
                part-000001f4 released by gateway gateway-2
                the store was not written: the quarantine may come back when gateways restart; repeat the command
                2 of 3 gateways were reachable: the quarantine may come back from the others; repeat the command
            "#]],
        ),
        case(
            "release-quarantine 5b0c00000000001f",
            answers(RELEASE, [Some(no_answer()), None]),
            expect![[r#"
                exit 4
                gateway-1: no answer: timeout
                gateway-2: unreachable: connection refused
            "#]],
        ),
        case(
            "release-quarantine 5b0c00000000001f",
            answers(RELEASE, [Some(refused(1002)), Some(refused(1002))]),
            expect![[r#"
                exit 1
                gateway-1: refused with 1002, no such thing: not here
                gateway-2: refused with 1002, no such thing: not here
            "#]],
        ),
        case(
            "release-quarantine 5b0c",
            ScriptedClient::default(),
            expect![[r#"
                exit 2
                "5b0c" is not a quarantine; expected the 16 hexadecimal digits of a request, or `part-` and the digits of a part
            "#]],
        ),
    ])
    .await;
}

/// Guards against a view that leaves out a gateway, or a report of decisions under overload.
#[tokio::test]
async fn usage_shows_what_each_gateway_knows() {
    let returns = json!([{ "lane": "short", "service": "assistant", "slots": [0, 3, 1] }]);
    let shares = json!([{
        "service": "assistant", "lane": "short", "demand": 80.5, "served": 40.0, "fair_rate": 20.0,
        "organisations": [organisation("nablus-tax", 60.5, true), organisation("", 20.0, false)],
    }]);
    let none = || json!([]);
    check_cases(vec![
        case(
            "usage",
            answers(
                "/usage",
                [
                    usage("gateway-1", shares, returns),
                    usage("gateway-2", none(), none()),
                ],
            ),
            expect![[r#"
                exit 0
                GATEWAY    HEARD   SERVICE    LANE   ENDPOINTS  SLOTS  IN USE  WAITING HERE
                gateway-1  2 of 2  assistant  short  2          24     14      2
                gateway-1  2 of 2  assistant  long   2          24     3       0
                gateway-2  2 of 2  assistant  short  2          24     14      2
                gateway-2  2 of 2  assistant  long   2          24     3       0
                gateway-1: 7 requests refused in the last 8 s
                organisations, by gateway-1
                service    lane   organisation  demand  exceeds_share  fair_rate  served
                assistant  short  nablus-tax    60.50   true           20.00      20.00
                assistant  short                20.00   false          20.00      20.00
                scheduled returns, by gateway-1
                service    lane   slots
                assistant  short  0 3 1
                gateway-2: 7 requests refused in the last 8 s
            "#]],
        ),
        case(
            "usage",
            answers("/usage", [None, usage("gateway-2", none(), none())]),
            expect![[r#"
                exit 5
                GATEWAY    HEARD   SERVICE    LANE   ENDPOINTS  SLOTS  IN USE  WAITING HERE
                gateway-2  2 of 2  assistant  short  2          24     14      2
                gateway-2  2 of 2  assistant  long   2          24     3       0
                gateway-2: 7 requests refused in the last 8 s
                gateway-1: unreachable: connection refused
            "#]],
        ),
    ])
    .await;
}

/// Guards against a status of a fleet without sidecars that fails for lack of a store of
/// configurations, or lacks what only gateways know.
#[tokio::test]
async fn status_lists_drains_and_quarantines_of_a_fleet_without_sidecars() {
    let status = |generation: u64, cold: &[&str]| {
        Some(Ok(json!({
            "gateway": "gateway", "generation": generation,
            "direct": {
                "ready": true, "drained_domains": ["a"], "cold_endpoints": cold,
                "slow_endpoints": [{ "endpoint": "i-7@1", "slowdown": 3.5 }],
                "quarantined_requests": 2, "quarantined_parts": 1,
            },
        })))
    };
    check_cases(vec![case(
        "status",
        answers("/status", [status(4, &["i-1@1"]), status(5, &["i-2@1"])]),
        expect![[r#"
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
    )])
    .await;
}
