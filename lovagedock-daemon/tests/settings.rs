//! Settings files: what is accepted, and which position an error reports.

use std::path::Path;

use lovagedock_daemon::{
    AdminSettings, LogFormat, LogLevel, LogSettings, PlainConsent, TransportSettings,
    load_settings, parse_settings,
};
use serde::Deserialize;

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct SampleSettings {
    name: String,
    #[serde(default)]
    log: LogSettings,
    admin: AdminSettings,
    #[serde(default)]
    peers: Vec<std::net::SocketAddr>,
}

struct ErrorCase {
    name: &'static str,
    text: &'static str,
    expected: &'static str,
}

const ERROR_CASES: &[ErrorCase] = &[
    ErrorCase {
        name: "syntax",
        text: "{\n  \"name\": \"a\"\n  \"log\": {}\n}",
        expected: "sample.jsonc:2:14: Expected comma",
    },
    ErrorCase {
        name: "a carriage return does not end a line",
        text: "\n\r{\"name\" 1}",
        expected: "sample.jsonc:2:10: Expected colon after the string or word in object property",
    },
    ErrorCase {
        name: "unknown field near a known one",
        text: "{\n  \"name\": \"a\",\n  \"peer\": []\n}",
        expected: "sample.jsonc:3:3: peer: unknown field `peer`, expected one of `name`, `log`, \
                   `admin`, `peers`; did you mean `peers`?",
    },
    ErrorCase {
        name: "nested unknown field without a similar name",
        text: "{\"name\": \"a\",\n \"log\": {\"zzzzzzzzzz\": 1}}",
        expected: "sample.jsonc:2:10: log.zzzzzzzzzz: unknown field `zzzzzzzzzz`, expected `format` \
                   or `level`",
    },
    ErrorCase {
        name: "unknown variant",
        text: "{\"name\": \"a\",\n \"log\": {\"format\": \"terminl\"}}",
        expected: "sample.jsonc:2:20: log.format: unknown variant `terminl`, expected `json` or \
                   `terminal`; did you mean `terminal`?",
    },
    ErrorCase {
        name: "wrong type in a list, after a character of two bytes",
        text: "{\"name\": \"é\", \"peers\": [\"127.0.0.1:1\", 7]}",
        expected: "sample.jsonc:1:40: peers[1]: invalid type: integer `7`, expected socket address",
    },
    ErrorCase {
        name: "a missing field is reported at its object",
        text: "{\"name\": \"a\",\n \"admin\": {\"address\": \"127.0.0.1:0\"}}",
        expected: "sample.jsonc:2:11: admin: missing field `transport`",
    },
    ErrorCase {
        name: "plain TCP has to be set explicitly",
        text: "{\"name\": \"a\", \"admin\": {\"address\": \"127.0.0.1:0\",\n\
               \"transport\": {\"plain_tcp\": true}}}",
        expected: "sample.jsonc:2:28: admin.transport.plain_tcp: invalid type: boolean `true`, \
                   expected string or map",
    },
];

#[test]
fn errors_report_line_and_column() {
    for case in ERROR_CASES {
        let error = parse_settings::<SampleSettings>(Path::new("sample.jsonc"), case.text)
            .expect_err(case.name);
        assert_eq!(error.to_string(), case.expected, "{}", case.name);
    }
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let text = r#"{
        // The name in logs.
        "name": "edge-1",
        "log": { "format": "terminal", "level": "debug" }, /* for people */
        "admin": {
            "address": "127.0.0.1:0",
            "transport": { "plain_tcp": "demo" },
        },
    }"#;
    let settings: SampleSettings = parse_settings(Path::new("sample.jsonc"), text).unwrap();
    assert_eq!(settings.name, "edge-1");
    assert_eq!(settings.log.format, LogFormat::Terminal);
    assert_eq!(settings.log.level, LogLevel::Debug);
    assert_eq!(
        settings.admin.transport,
        TransportSettings::PlainTcp(PlainConsent::Demo)
    );
}

#[test]
fn an_unreadable_file_is_named_in_the_error() {
    let file = Path::new("no/such/settings.jsonc");
    let error = load_settings::<SampleSettings>(file).expect_err("no such file");
    assert_eq!((error.line, error.column), (0, 0));
    assert!(
        error.to_string().starts_with("no/such/settings.jsonc: "),
        "{error}"
    );
}
