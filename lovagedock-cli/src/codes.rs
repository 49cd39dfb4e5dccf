//! `lovagedock code`.

use lovagedock::ResultCode;
use serde_json::{Value, json};

use crate::report::{CommandReport, ExitStatus, format_table};

const HEADER: &[&str] = &["CODE", "HTTP", "RAN", "TITLE"];

pub(crate) fn show_code(number: Option<u16>) -> CommandReport {
    let Some(number) = number else {
        return list_codes(ResultCode::ALL);
    };
    match ResultCode::from_number(number) {
        Some(code) => list_codes(&[code]),
        None => CommandReport::new(
            ExitStatus::Refused,
            format!("no result code has the number {number}\n"),
            json!({ "error": "unknown code", "number": number }),
        ),
    }
}

fn list_codes(codes: &[ResultCode]) -> CommandReport {
    let rows: Vec<_> = codes.iter().map(|code| code_row(*code)).collect();
    let values: Vec<_> = codes.iter().map(|code| code_value(*code)).collect();
    let text = format_table(HEADER, &rows);
    CommandReport::new(ExitStatus::Done, text, json!({ "codes": values }))
}

fn code_row(code: ResultCode) -> Vec<String> {
    vec![
        code.number().to_string(),
        code.http_status().to_string(),
        code.ran().as_str().to_owned(),
        code.title().to_owned(),
    ]
}

fn code_value(code: ResultCode) -> Value {
    json!({
        "number": code.number(),
        "name": format!("{code:?}"),
        "http_status": code.http_status(),
        "ran": code.ran().as_str(),
        "title": code.title(),
    })
}

/// Text of the page `docs/CODES.md`.
pub fn codes_page() -> String {
    let mut text = PAGE_HEAD.to_owned();
    for code in ResultCode::ALL {
        let (number, status, ran) = (code.number(), code.http_status(), code.ran().as_str());
        text += &format!(
            "| {number} | `{code:?}` | {status} | {ran} | {} |\n",
            code.title()
        );
    }
    text
}

const PAGE_HEAD: &str = "\
# Result codes

Every request and every operator's command ends with one of these. The first digit tells who has to
act: 1 the caller, 2 nobody (try again later), 3 the operator of an endpoint, 4 the operator of the
configuration. `ran` tells whether the work of the request was ever started: after `no` it did not
run and never will under this request id; after `unknown` it may have run, and nobody who could tell
is left. `lovagedock code NUMBER` shows one of them. The page is generated from the code.

| code | name | HTTP status | ran | meaning |
|---|---|---|---|---|
";
