//! Problem messages that operators see for an invalid configuration.

use expect_test::{Expect, expect};
use lovagedock::{ConfigProblem, SourceFile, parse_config, parse_files};

const VALID: &str = include_str!("../../examples/local/fleet.jsonc");

/// One change of a valid file and the problems that it causes.
struct ProblemCase {
    /// Text of the valid file that is replaced.
    from: &'static str,
    to: &'static str,
    problems: Expect,
}

fn list_problems(problems: &[ConfigProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("{problem}\n"))
        .collect()
}

fn check_cases(cases: &[ProblemCase]) {
    for case in cases {
        assert!(VALID.contains(case.from), "the file has no {:?}", case.from);
        let text = VALID.replacen(case.from, case.to, 1);
        let found = match parse_config("fleet.jsonc", &text) {
            Ok(_) => "none\n".to_owned(),
            Err(problems) => list_problems(&problems),
        };
        case.problems.assert_eq(&found);
    }
}

#[test]
fn structure_problems_are_reported_with_their_position() {
    check_cases(&[
        ProblemCase {
            from: "{",
            to: "",
            problems: expect![[r#"
                fleet.jsonc:4:12: found text that does not parse (Text cannot contain more than one JSON value), expected JSON with comments
            "#]],
        },
        ProblemCase {
            from: "\"version\": 1,",
            to: "\"version\": 1",
            problems: expect![[r#"
                fleet.jsonc:4:15: found text that does not parse (Expected comma), expected JSON with comments
            "#]],
        },
        ProblemCase {
            from: "\"version\": 1,",
            to: "",
            problems: expect![[r#"
                fleet.jsonc:3:1: version: found nothing, expected the field `version`
            "#]],
        },
        ProblemCase {
            from: "\"version\": 1,",
            to: "\"version\": 2, \"fleets\": [],",
            problems: expect![[r#"
                fleet.jsonc:4:14: version: found file format version 2, expected version 1; the file was written for a newer lovagedock
            "#]],
        },
        ProblemCase {
            from: "\"version\": 1,",
            to: "\"version\": 0,",
            problems: expect![[r#"
                fleet.jsonc:4:14: version: found file format version 0, expected version 1; the file was written for an older lovagedock
            "#]],
        },
        ProblemCase {
            from: "\"version\": 1,",
            to: "\"version\": 1, \"version\": 1,",
            problems: expect![[r#"
                fleet.jsonc:4:17: version: found a second `version`, expected each field once
            "#]],
        },
        ProblemCase {
            from: "\"sidecar\"",
            to: "\"sidecr\"",
            problems: expect![[r#"
                fleet.jsonc:25:76: pools[0].endpoints[0].sidecr: found the unknown field `sidecr`, expected one of `failure_domain`, `host`, `id`, `memory_tokens`, `order_check`, `sidecar`; did you mean `sidecar`?
            "#]],
        },
        ProblemCase {
            from: "\"127.0.0.1:7201\"",
            to: "\"localhost:7201\"",
            problems: expect![[r#"
                fleet.jsonc:25:87: pools[0].endpoints[0].sidecar: found the string "localhost:7201", expected an IP address and port, such as "10.0.0.1:7000"
            "#]],
        },
        ProblemCase {
            from: "\"fence\"",
            to: "\"fense\"",
            problems: expect![[r#"
                fleet.jsonc:25:145: pools[0].endpoints[0].order_check: found the string "fense", expected one of `fence`, `none`; did you mean `fence`?
            "#]],
        },
        ProblemCase {
            from: "\"engines\":",
            to: "\"engine\":",
            problems: expect![[r#"
                fleet.jsonc:22:15: pools[0].kind: found the field `engine`, expected one of `engines`, `plain`; did you mean `engines`?
            "#]],
        },
        ProblemCase {
            from: "\"priority\": \"interactive\"",
            to: "\"weight\": -1",
            problems: expect![[r#"
                fleet.jsonc:62:17: organisations[0].weight: found the number -1, expected a whole number from 0 to 4294967295
            "#]],
        },
        ProblemCase {
            from: "\"organisations\": [",
            to: "\"organisations\": 3, \"x\": [",
            problems: expect![[r#"
                fleet.jsonc:57:20: organisations: found the number 3, expected an array
                fleet.jsonc:57:23: x: found the unknown field `x`, expected one of `failure_domains`, `gateways`, `models`, `organisations`, `placement`, `pools`, `rules`, `services`, `version`
            "#]],
        },
    ]);
}

#[test]
fn value_problems_are_reported_with_their_position() {
    check_cases(&[
        ProblemCase {
            from: "\"id\": \"local-b\"",
            to: "\"id\": \"local-a\"",
            problems: expect![[r#"
                fleet.jsonc:8:13: failure_domains[1].id: found `local-a` a second time, expected each failure domain once; the first is at fleet.jsonc:7
                fleet.jsonc:26:65: pools[0].endpoints[1].failure_domain: found `local-b`, which is not in `failure_domains`, expected the id of a failure domain; did you mean `local-a`?
            "#]],
        },
        ProblemCase {
            from: "\"id\": \"engine-2\"",
            to: "\"id\": \"engine-1\"",
            problems: expect![[r#"
                fleet.jsonc:26:17: pools[0].endpoints[1].id: found `engine-1` a second time, expected each endpoint once; the first is at fleet.jsonc:25
            "#]],
        },
        ProblemCase {
            from: "127.0.0.1:7202",
            to: "127.0.0.1:7201",
            problems: expect![[r#"
                fleet.jsonc:26:87: pools[0].endpoints[1].sidecar: found `127.0.0.1:7201` a second time, expected each sidecar address once; the first is at fleet.jsonc:25
            "#]],
        },
        ProblemCase {
            from: "\"host\": \"host-b\"",
            to: "\"host\": \"host-a\"",
            problems: expect![[r#"
                fleet.jsonc:26:65: pools[0].endpoints[1].failure_domain: found host `host-a` in `local-b`, expected `local-a`, as in the first entry of this host
            "#]],
        },
        ProblemCase {
            from: "\"pool\": \"local-app\"",
            to: "\"pool\": \"local-ap\"",
            problems: expect![[r#"
                fleet.jsonc:47:15: services[1].pool: found `local-ap`, which is not in `pools`, expected the id of a pool; did you mean `local-app`?
            "#]],
        },
        ProblemCase {
            from: "\"pool\": \"local-app\"",
            to: "\"pool\": \"local-engines\"",
            problems: expect![[r#"
                fleet.jsonc:47:15: services[1].pool: found pool `local-engines` of engines, expected a pool of plain endpoints
            "#]],
        },
        ProblemCase {
            from: "\"/app/\"",
            to: "\"/v1/app/\"",
            problems: expect![[r#"
                fleet.jsonc:46:43: services[1].kind.plain.path_prefix: found "/v1/app/", which overlaps "/v1/", expected a prefix that gateways do not serve themselves
                fleet.jsonc:52:37: services[1].non_idempotent[0].path: found "/app/receipts", which no call of the service can match, expected a path under "/v1/app/"
            "#]],
        },
        ProblemCase {
            from: "\"/app/receipts\"",
            to: "\"/apps/receipts\"",
            problems: expect![[r#"
                fleet.jsonc:52:37: services[1].non_idempotent[0].path: found "/apps/receipts", which no call of the service can match, expected a path under "/app/"
            "#]],
        },
        ProblemCase {
            from: "\"default_deadline_ms\": 5000",
            to: "\"default_deadline_ms\": 50000",
            problems: expect![[r#"
                fleet.jsonc:48:30: services[1].default_deadline_ms: found 50000 ms, expected 1 ms to the service's max_deadline_ms, 30000 ms
            "#]],
        },
        ProblemCase {
            from: "\"memory_tokens\": 400000",
            to: "\"memory_tokens\": 0",
            problems: expect![[r#"
                fleet.jsonc:25:122: pools[0].endpoints[0].memory_tokens: found no memory, expected the engine's KV memory in tokens
            "#]],
        },
        ProblemCase {
            from: "\"key_hashes\": [\"",
            to: "\"key_hashes\": [\"local-key",
            problems: expect![[r#"
                fleet.jsonc:61:22: organisations[0].key_hashes[0]: found 73 characters that are not a SHA-256 hash, expected 64 lower-case hexadecimal digits, never the key itself
            "#]],
        },
        ProblemCase {
            from: "\"priority\": \"interactive\"",
            to: "\"weight\": 0, \"services\": [\"asistant\"]",
            problems: expect![[r#"
                fleet.jsonc:62:17: organisations[0].weight: found 0, expected 1 to 1000000
                fleet.jsonc:62:33: organisations[0].services[0]: found `asistant`, which is not in `services`, expected the id of a service; did you mean `assistant`?
            "#]],
        },
        ProblemCase {
            from: "\"id\": \"app\"",
            to: "\"id\": \"\"",
            problems: expect![[r#"
                fleet.jsonc:45:13: services[1].id: found the name "", expected 1 to 128 printable ASCII characters without spaces
            "#]],
        },
        ProblemCase {
            from: "\"services\": [",
            to: "\"rules\": [{ \"min_tokens\": 9, \"max_tokens\": 3, \"hours\": [8, 25] }], \"placement\": { \"long_share_percent\": 101, \"policy\": \"lenght-aware\" }, \"services\": [",
            problems: expect![[r#"
                fleet.jsonc:38:46: rules[0].max_tokens: found 3, expected 0, or at least min_tokens, 9
                fleet.jsonc:38:62: rules[0].hours[1]: found 25, expected an hour from 0 to 24
                fleet.jsonc:38:107: placement.long_share_percent: found 101, expected 1 to 100 percent
                fleet.jsonc:38:122: placement.policy: found the policy `lenght-aware`, expected one of least-outstanding, length-aware, random, round-robin, two-choices; did you mean `length-aware`?
            "#]],
        },
    ]);
}

/// All structure and value problems of a file are reported in one run.
#[test]
fn all_problems_are_reported_at_once() {
    let text = VALID
        .replace(
            "\"max_deadline_ms\": 30000",
            "\"max_deadline_ms\": \"30 s\"",
        )
        .replace("\"weights_version\"", "\"weight_version\"")
        .replace("\"pool\": \"local-engines\"", "\"pool\": \"engines\"");
    let problems = parse_config("fleet.jsonc", &text).expect_err("the file is wrong");
    expect![[r#"
        fleet.jsonc:16:28: models[0].weight_version: found the unknown field `weight_version`, expected one of `adapters`, `bytes_per_token`, `id`, `max_context_tokens`, `weights_version`; did you mean `weights_version`?
        fleet.jsonc:42:15: services[0].pool: found `engines`, which is not in `pools`, expected the id of a pool
        fleet.jsonc:49:26: services[1].max_deadline_ms: found the string "30 s", expected a whole number of at least 0
    "#]].assert_eq(&list_problems(&problems));
}

/// The files of a folder form one configuration: arrays are concatenated, any other value is given
/// once, and each problem names its file.
#[test]
fn files_are_merged() {
    let base = SourceFile::new("a.jsonc", VALID);
    let more = r#"{ "organisations": [{ "id": "more", "key_hashes": ["HASH"] }] }"#;
    let valid = SourceFile::new("b.jsonc", more.replace("HASH", &"0".repeat(64)));
    let document = parse_files(&[base.clone(), valid]).expect("both files are valid");
    assert_eq!(document.config.organisations.len(), 2);
    assert_eq!(document.sources.position("organisations[1].id").line, 1);

    let wrong = more.replace("\"id\": \"more\"", "\"id\": \"local\", \"weight\": 0");
    let twice = wrong.replacen('{', "{ \"placement\": {}, ", 1);
    let wrong = SourceFile::new("b.jsonc", wrong.replacen('{', "{ \"placement\": {}, ", 1));
    let twice = SourceFile::new("c.jsonc", twice);
    let problems = parse_files(&[base, wrong, twice]).expect_err("two files are wrong");
    expect![[r#"
        b.jsonc:1:47: organisations[1].id: found `local` a second time, expected each organisation once; the first is at a.jsonc:59
        b.jsonc:1:66: organisations[1].weight: found 0, expected 1 to 1000000
        b.jsonc:1:84: organisations[1].key_hashes[0]: found 4 characters that are not a SHA-256 hash, expected 64 lower-case hexadecimal digits, never the key itself
        c.jsonc:1:16: placement: found a second `placement`, expected at most one in all files; the first is at b.jsonc:1
        c.jsonc:1:47: organisations[2].id: found `local` a second time, expected each organisation once; the first is at a.jsonc:59
        c.jsonc:1:66: organisations[2].weight: found 0, expected 1 to 1000000
        c.jsonc:1:84: organisations[2].key_hashes[0]: found 4 characters that are not a SHA-256 hash, expected 64 lower-case hexadecimal digits, never the key itself
    "#]].assert_eq(&list_problems(&problems));
}
