//! The published schema and reference of the configuration, generated from its types.

use std::collections::BTreeMap;

use schemars::schema_for;
use serde_json::Value;

use super::types::FleetConfig;

/// Returns the JSON Schema of a configuration file. The text depends only on the types.
pub fn config_schema() -> String {
    let mut text = format!("{:#}", sorted_value(&schema_for!(FleetConfig).to_value()));
    text.push('\n');
    text
}

/// Returns the fields of each type as Markdown tables for the documentation.
pub fn config_reference() -> String {
    let schema = schema_for!(FleetConfig).to_value();
    let mut text = type_section("FleetConfig", &schema);
    let types: BTreeMap<_, _> = schema["$defs"].as_object().into_iter().flatten().collect();
    for (name, schema) in types {
        text += &type_section(name, schema);
    }
    text
}

/// Sorts the fields of each object by name. Their order otherwise depends on a feature of
/// `serde_json` that any crate of a build may enable.
fn sorted_value(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let sorted: BTreeMap<_, _> = fields.iter().collect();
            let fields = sorted.into_iter();
            fields
                .map(|(name, value)| (name.clone(), sorted_value(value)))
                .collect()
        }
        Value::Array(items) => items.iter().map(sorted_value).collect(),
        _ => value.clone(),
    }
}

fn type_section(name: &str, schema: &Value) -> String {
    let mut text = format!("### {name}\n\n{}\n\n", description(schema));
    if let Some(variants) = schema["oneOf"].as_array() {
        text += "| value | meaning |\n|---|---|\n";
        for variant in variants {
            text += &format!("| {} | {} |\n", variant_text(variant), description(variant));
        }
        return text + "\n";
    }
    text += "| field | type | default | meaning |\n|---|---|---|---|\n";
    let fields: BTreeMap<_, _> = schema["properties"]
        .as_object()
        .into_iter()
        .flatten()
        .collect();
    for (name, field) in fields {
        let required = schema["required"].as_array().into_iter().flatten();
        let default = match required
            .into_iter()
            .any(|required| required == name.as_str())
        {
            true => "required".to_owned(),
            false => format!("`{}`", sorted_value(&field["default"])),
        };
        let (kind, meaning) = (type_text(field), description(field));
        text += &format!("| `{name}` | {kind} | {default} | {meaning} |\n");
    }
    text + "\n"
}

fn variant_text(variant: &Value) -> String {
    if let Some(name) = variant["const"].as_str() {
        return format!("`\"{name}\"`");
    }
    let payloads = variant["properties"].as_object().into_iter().flatten();
    let shown = payloads.map(|(name, payload)| {
        let fields: BTreeMap<_, _> = payload["properties"]
            .as_object()
            .into_iter()
            .flatten()
            .collect();
        let fields: Vec<_> = fields
            .into_iter()
            .map(|(name, field)| format!("\"{name}\": {}", type_text(field)))
            .collect();
        match fields.is_empty() {
            true => format!("`{{ \"{name}\": {{}} }}`"),
            false => format!("`{{ \"{name}\": {{ {} }} }}`", fields.join(", ")),
        }
    });
    shown.collect::<Vec<_>>().join(", ")
}

fn type_text(schema: &Value) -> String {
    if let Some(reference) = schema["$ref"].as_str() {
        let name = reference.rsplit('/').next().unwrap_or_default();
        return format!("[{name}](#{})", name.to_lowercase());
    }
    if let Some(variants) = schema["anyOf"].as_array() {
        let names: Vec<_> = variants.iter().map(type_text).collect();
        return names.join(" or ");
    }
    match schema["type"].as_str() {
        Some("array") if schema["prefixItems"].is_array() => {
            let items = schema["prefixItems"].as_array().into_iter().flatten();
            format!("[{}]", items.map(type_text).collect::<Vec<_>>().join(", "))
        }
        Some("array") => format!("list of {}", type_text(&schema["items"])),
        Some("integer") => "whole number".to_owned(),
        Some("string") if schema["format"] == "ip-port" => "IP address and port".to_owned(),
        Some(name) => name.to_owned(),
        None => "any".to_owned(),
    }
}

fn description(schema: &Value) -> String {
    let text = schema["description"].as_str().unwrap_or_default();
    text.replace('\n', " ")
}
