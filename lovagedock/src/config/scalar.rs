//! Checks of numbers and strings against the schema.

use std::net::SocketAddr;

use jsonc_parser::ast;
use serde_json::Value;

use super::schema_reader::SchemaReader;

const ADDRESS_FORMAT: &str = "ip-port";

impl<'a> SchemaReader<'a> {
    pub(super) fn read_integer(
        &mut self,
        schema: &'a Value,
        node: &ast::Value<'_>,
        path: &str,
    ) -> Option<Value> {
        let min = schema["minimum"].as_i64().unwrap_or(i64::MIN);
        let max = schema["maximum"]
            .as_u64()
            .unwrap_or(match schema["format"].as_str() {
                Some("uint32") => u64::from(u32::MAX),
                Some("uint16") => u64::from(u16::MAX),
                _ => u64::MAX,
            });
        let expected = match max {
            u64::MAX => format!("a whole number of at least {min}"),
            _ => format!("a whole number from {min} to {max}"),
        };
        let ast::Value::NumberLit(literal) = node else {
            return self.reject(node, path, expected);
        };
        match literal.value.parse::<i128>() {
            Ok(number) if number >= i128::from(min) && number <= i128::from(max) => {
                serde_json::from_str(&number.to_string()).ok()
            }
            _ => self.reject(node, path, expected),
        }
    }

    pub(super) fn read_number(&mut self, node: &ast::Value<'_>, path: &str) -> Option<Value> {
        let ast::Value::NumberLit(literal) = node else {
            return self.reject(node, path, "a number");
        };
        match serde_json::from_str::<serde_json::Number>(literal.value) {
            Ok(number) => Some(Value::Number(number)),
            Err(_) => self.reject(node, path, "a number"),
        }
    }

    pub(super) fn read_string(
        &mut self,
        schema: &'a Value,
        node: &ast::Value<'_>,
        path: &str,
    ) -> Option<Value> {
        let is_address = schema["format"] == ADDRESS_FORMAT;
        let expected = match is_address {
            true => "an IP address and port, such as \"10.0.0.1:7000\"",
            false => "a string",
        };
        match node {
            ast::Value::StringLit(literal)
                if !is_address || literal.value.parse::<SocketAddr>().is_ok() =>
            {
                Some(Value::String(literal.value.to_string()))
            }
            _ => self.reject(node, path, expected),
        }
    }
}
