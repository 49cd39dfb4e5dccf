//! Output and exit code of each command.

use std::{fs, sync::Arc};

use super::common::{ScriptedClient, new_runner, run, show};
use clap::Parser;
use expect_test::{Expect, expect, expect_file};
use lovagedock_cli::{CommandLine, ProcessError, codes_page};
use lovagedock_platform::{CallKind, MemoryFault, MemoryStore};
use serde_json::json;

const REQUEST: &str = "000000000000000000000000000000ab";
const EXPLAIN: &str = "/explain/000000000000000000000000000000ab";
pub(crate) const GATEWAY_1: &str = "127.0.0.1:7301";
pub(crate) const GATEWAY_2: &str = "127.0.0.1:7302";
const SIDECAR: &str = "127.0.0.1:7401";

/// A command line, the responses of the processes, and the expected output.
pub(crate) struct CommandCase {
    pub(crate) line: &'static str,
    pub(crate) client: ScriptedClient,
    pub(crate) expected: Expect,
}

pub(crate) async fn check_cases(cases: Vec<CommandCase>) {
    for case in cases {
        let runner = new_runner(Arc::new(MemoryStore::new()), case.client);
        let report = run(&runner, case.line).await;
        case.expected.assert_eq(&show(&report));
    }
}

pub(crate) fn refused(code: u16) -> Result<serde_json::Value, ProcessError> {
    let problem = json!({ "code": code, "title": "no such thing", "detail": "not here" });
    Err(ProcessError::Refused(problem))
}

pub(crate) fn no_answer() -> Result<serde_json::Value, ProcessError> {
    Err(ProcessError::NoAnswer("timeout".to_owned()))
}

fn explain_document() -> serde_json::Value {
    json!({
        "request_id": REQUEST,
        "service": "assistant",
        "prompt_tokens": 1200,
        "steps": [
            { "at_ms": 5, "step": "sent to engine-2, least predicted first token" },
            { "at_ms": 41, "step": "complete" },
        ],
    })
}

#[tokio::test]
async fn commands_report_process_responses() {
    let client = ScriptedClient::default;
    let dump = json!({ "dump_version": 1 });
    check_cases(vec![
        CommandCase {
            line: "explain 000000000000000000000000000000ab",
            client: client()
                .with_response(GATEWAY_1, EXPLAIN, refused(1004))
                .with_response(GATEWAY_2, EXPLAIN, Ok(explain_document())),
            expected: expect![[r#"
                exit 0
                gateway gateway-2
                prompt_tokens: 1200
                request_id: 000000000000000000000000000000ab
                service: assistant
                         5 ms  sent to engine-2, least predicted first token
                        41 ms  complete
            "#]],
        },
        CommandCase {
            line: "explain 000000000000000000000000000000ab",
            client: client()
                .with_response(GATEWAY_1, EXPLAIN, refused(1004))
                .with_response(GATEWAY_2, EXPLAIN, refused(1004)),
            expected: expect![[r#"
                exit 1
                no gateway in the settings has a record of request 000000000000000000000000000000ab
            "#]],
        },
        CommandCase {
            line: "explain 000000000000000000000000000000ab",
            client: client().with_response(GATEWAY_1, EXPLAIN, refused(1004)),
            expected: expect![[r#"
                exit 5
                not found, but not all gateways could be asked: gateway-2 (unreachable: connection refused)
            "#]],
        },
        CommandCase {
            line: "explain 12",
            client: client(),
            expected: expect![[r#"
                exit 2
                "12" is not a request id; expected 32 hexadecimal digits
            "#]],
        },
        CommandCase {
            line: "dump engine-1",
            client: client().with_response(SIDECAR, "/dump", Ok(dump.clone())),
            expected: expect![[r#"
                exit 0
                {
                  "dump_version": 1
                }
            "#]],
        },
        CommandCase {
            line: "dump 127.0.0.1:9",
            client: client().with_response("127.0.0.1:9", "/dump", Ok(dump)),
            expected: expect![[r#"
                exit 0
                {
                  "dump_version": 1
                }
            "#]],
        },
        CommandCase {
            line: "dump engine-9",
            client: client(),
            expected: expect![[r#"
                exit 2
                settings: "engine-9" is neither an address nor a process in the settings
            "#]],
        },
        CommandCase {
            line: "dump gateway-1",
            client: client(),
            expected: expect![[r#"
                exit 5
                gateway-1: unreachable: connection refused
            "#]],
        },
        CommandCase {
            line: "dump gateway-1",
            client: client().with_response(GATEWAY_1, "/dump", no_answer()),
            expected: expect![[r#"
                exit 5
                gateway-1: no answer: timeout
            "#]],
        },
        CommandCase {
            line: "drain engine-1",
            client: client().with_response(SIDECAR, "/drain", Ok(json!({ "draining": true }))),
            expected: expect![[r#"
                exit 0
                engine-1 is draining
            "#]],
        },
        CommandCase {
            line: "drain engine-1 --undo",
            client: client().with_response(SIDECAR, "/undrain", Ok(json!({ "draining": false }))),
            expected: expect![[r#"
                exit 0
                engine-1 accepts work
            "#]],
        },
        // The call may have been executed, so a drain without a response is not reported as "not
        // done".
        CommandCase {
            line: "drain engine-1",
            client: client().with_response(SIDECAR, "/drain", no_answer()),
            expected: expect![[r#"
                exit 4
                engine-1: no answer: timeout
            "#]],
        },
        CommandCase {
            line: "drain engine-1",
            client: client().with_response(SIDECAR, "/drain", refused(1002)),
            expected: expect![[r#"
                exit 1
                engine-1: refused with 1002, no such thing: not here
            "#]],
        },
    ])
    .await;
}

/// Generation 1 is accepted. One gateway has it and reports a sidecar that is behind. The other
/// gateway is unreachable. A sidecar without a session to any gateway is not counted as having
/// generation 1.
#[tokio::test(start_paused = true)]
async fn status_counts_processes_with_the_accepted_generation() {
    let response = json!({
        "gateway": "gateway-1",
        "generation": 1,
        "a_field_of_a_newer_gateway": [],
        "endpoints": [
            { "endpoint": "engine-1", "connected": true, "generation": 0 },
            { "endpoint": "engine-2", "connected": true, "generation": 1 },
            { "endpoint": "engine-3", "connected": false, "generation": 0 },
        ],
    });
    let store = Arc::new(MemoryStore::new());
    let client = ScriptedClient::default().with_response(GATEWAY_1, "/status", Ok(response));
    let runner = new_runner(store.clone(), client);
    run(
        &runner,
        "apply ../examples/local/fleet.jsonc --author asha --expect-generation 0",
    )
    .await;
    let report = run(&runner, "status").await;
    expect![[r#"
        exit 5
        accepted generation 1, in force at 2 of 5
        PROCESS    ROLE     GENERATION  IN FORCE
        gateway-1  gateway  1           yes
        gateway-2  gateway  -           unreachable: connection refused
        engine-1   sidecar  0           no
        engine-2   sidecar  1           yes
        engine-3   sidecar  -           no gateway has a session to it
    "#]]
    .assert_eq(&show(&report));
    assert_eq!(report.value["in_force"], 2);

    // With the store down, the generations of the processes are still shown.
    store.script_fault(CallKind::Read, "", 0, u32::MAX, MemoryFault::Down);
    let report = run(&runner, "status").await;
    expect![[r#"
        exit 5
        the accepted generation is not known: the configuration could not be read: the store is unavailable (4004)
        PROCESS    ROLE     GENERATION  IN FORCE
        gateway-1  gateway  1           unknown
        gateway-2  gateway  -           unreachable: connection refused
        engine-1   sidecar  0           unknown
        engine-2   sidecar  1           unknown
        engine-3   sidecar  -           no gateway has a session to it
    "#]].assert_eq(&show(&report));
}

#[tokio::test]
async fn check_and_code_need_no_network() {
    check_cases(vec![
        CommandCase {
            line: "check ../examples/mafraq",
            client: ScriptedClient::default(),
            expected: expect![[r#"
                exit 0
                valid: 3 services, 2 pools, 23 endpoints, 3 gateways, 10 organisations
            "#]],
        },
        CommandCase {
            line: "check ../examples/none.jsonc",
            client: ScriptedClient::default(),
            expected: expect![[r#"
                exit 2
                ../examples/none.jsonc: No such file or directory (os error 2)
            "#]],
        },
        CommandCase {
            line: "check Cargo.toml",
            client: ScriptedClient::default(),
            expected: expect![[r#"
                exit 1
                Cargo.toml:1:2: found text that does not parse (Unexpected token), expected JSON with comments
                1 problem
            "#]],
        },
        CommandCase {
            line: "code 2001",
            client: ScriptedClient::default(),
            expected: expect![[r#"
                exit 0
                CODE  HTTP  RAN  TITLE
                2001  503   no   no endpoint can finish the request in time
            "#]],
        },
        CommandCase {
            line: "code 9",
            client: ScriptedClient::default(),
            expected: expect![[r#"
                exit 1
                no result code has the number 9
            "#]],
        },
    ])
    .await;
}

#[test]
fn wrong_usage_exits_with_2() {
    for line in [
        "lovagedock nonsense",
        "lovagedock check",
        "lovagedock apply fleet.jsonc --author asha",
        "lovagedock apply fleet.jsonc --expect-generation 1",
        "lovagedock apply fleet.jsonc --author asha --expect-generation last",
        "lovagedock get --output yaml",
        "lovagedock code many",
    ] {
        let error = CommandLine::try_parse_from(line.split(' ')).expect_err(line);
        assert_eq!(error.exit_code(), 2, "{line}");
    }
}

#[test]
fn page_of_codes_is_current() {
    expect_file!["../../../docs/CODES.md"].assert_eq(&codes_page());
}

#[tokio::test]
async fn schema_is_the_published_one() {
    let runner = new_runner(Arc::new(MemoryStore::new()), ScriptedClient::default());
    let report = run(&runner, "schema").await;
    let published = fs::read_to_string("../docs/schema/config.schema.json").expect("the schema");
    assert_eq!(report.text, published);
    let script = run(&runner, "completions bash").await;
    assert!(script.text.contains("explain"));
}
