//! Sources of settings, and the messages for wrong or missing ones.

use std::{env, fs, path::PathBuf, process};

use super::common::show;
use clap::Parser;
use expect_test::{Expect, expect};
use lovagedock_cli::{CommandLine, run_line};

/// A settings file, a command line that uses it, and the expected output.
struct SettingsCase {
    name: &'static str,
    settings: &'static str,
    line: &'static str,
    expected: Expect,
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let file = env::temp_dir().join(format!("lovagedock-{}-{name}.jsonc", process::id()));
    fs::write(&file, text).expect("a writable folder");
    file
}

#[test]
fn settings_are_checked_before_the_command_runs() {
    let cases = [
        SettingsCase {
            name: "valid",
            settings: include_str!("../../../examples/local/settings/operator.jsonc"),
            line: "--check-settings",
            expected: expect![[r#"
                exit 0
                the settings are valid
            "#]],
        },
        SettingsCase {
            name: "misspelt",
            settings: "{\n  \"platfrom\": \"http://127.0.0.1:1\"\n}",
            line: "--check-settings",
            expected: expect![[r#"
                exit 2
                settings: FILE:2:3: platfrom: unknown field `platfrom`, expected one of `platform`, `gateways`, `sidecars`, `operator_token`, `transport`; did you mean `platform`?
            "#]],
        },
        SettingsCase {
            name: "without-platform",
            settings: "{}",
            line: "get",
            expected: expect![[r#"
                exit 2
                settings: `platform` is not set
            "#]],
        },
        SettingsCase {
            name: "without-transport",
            settings: "{}",
            line: "dump 127.0.0.1:1",
            expected: expect![[r#"
                exit 2
                settings: `transport` is not set
            "#]],
        },
        SettingsCase {
            name: "without-keys",
            settings: "{ \"transport\": { \"tls\": { \"certificate_file\": \"none.pem\", \
                       \"key_file\": \"none.key\" } } }",
            line: "status",
            expected: expect![[r#"
                exit 2
                settings: transport: a TLS file cannot be read
            "#]],
        },
        SettingsCase {
            name: "not-needed",
            settings: "{}",
            line: "code 1000",
            expected: expect![[r#"
                exit 0
                CODE  HTTP  RAN  TITLE
                1000  200   yes  complete
            "#]],
        },
    ];
    for case in cases {
        let file = write_settings(case.name, case.settings);
        let path = file.display().to_string();
        let words = ["lovagedock", "--settings", path.as_str()].into_iter();
        let line = CommandLine::try_parse_from(words.chain(case.line.split(' ')));
        let report = run_line(&line.expect(case.name));
        fs::remove_file(&file).expect("the file is there");
        case.expected
            .assert_eq(&show(&report).replace(&path, "FILE"));
    }
}
