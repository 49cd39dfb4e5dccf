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
