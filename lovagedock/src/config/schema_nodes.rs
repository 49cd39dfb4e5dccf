//! Helpers of the schema check that read schema nodes and syntax tree nodes.

use jsonc_parser::ast;
use serde_json::Value;

const MAX_STRING_CHARS: usize = 60;

pub(super) fn required_names(schema: &Value) -> impl Iterator<Item = &str> {
    let names = schema["required"].as_array();
    names.into_iter().flatten().filter_map(Value::as_str)
}

/// Returns the type that the schema requires. If the schema allows a type or null, returns the one
/// that matches the value.
pub(super) fn type_name<'s>(schema: &'s Value, node: &ast::Value<'_>) -> &'s str {
    let Some(names) = schema["type"].as_array() else {
        return schema["type"].as_str().unwrap_or_default();
    };
    let is_null = matches!(node, ast::Value::NullKeyword(_));
    let names = names.iter().filter_map(Value::as_str);
    let mut matching = names.filter(|name| (*name == "null") == is_null);
    matching.next().unwrap_or_default()
}

pub(super) fn variant_name(variant: &Value) -> Option<&str> {
    let unit_name = variant["const"].as_str();
    unit_name.or_else(|| required_names(variant).next())
}

pub(super) fn join_path(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

pub(super) fn name_list(names: &[&str]) -> String {
    let quoted: Vec<_> = names.iter().map(|name| format!("`{name}`")).collect();
    match quoted.as_slice() {
        [one] => one.clone(),
        _ => format!("one of {}", quoted.join(", ")),
    }
}

pub(super) fn describe(node: &ast::Value<'_>) -> String {
    match node {
        ast::Value::StringLit(literal) => {
            let shown: String = literal.value.chars().take(MAX_STRING_CHARS).collect();
            format!("the string {shown:?}")
        }
        ast::Value::NumberLit(literal) => format!("the number {}", literal.value),
        ast::Value::BooleanLit(literal) => literal.value.to_string(),
        ast::Value::Object(_) => "an object".to_owned(),
        ast::Value::Array(_) => "an array".to_owned(),
        ast::Value::NullKeyword(_) => "null".to_owned(),
    }
}

pub(super) fn plain_value(node: &ast::Value<'_>) -> Value {
    match node {
        ast::Value::StringLit(literal) => Value::String(literal.value.to_string()),
        ast::Value::NumberLit(literal) => {
            serde_json::from_str(literal.value).unwrap_or(Value::Null)
        }
        ast::Value::BooleanLit(literal) => Value::Bool(literal.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(array) => array.elements.iter().map(plain_value).collect(),
        ast::Value::Object(object) => {
            let fields = object.properties.iter();
            fields
                .map(|field| (field.name.as_str().to_owned(), plain_value(&field.value)))
                .collect()
        }
    }
}
