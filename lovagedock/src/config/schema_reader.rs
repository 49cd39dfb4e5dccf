//! Checks the text of a file against the JSON Schema of the type that it is parsed into.
//!
//! The schema is generated from the types, so new fields are recognised here automatically. Reading
//! continues after a problem: an invalid value yields `None`, and its siblings are still read.

use jsonc_parser::{ast, common::Ranged};
use serde_json::{Map, Value};

use super::{
    position::{ConfigProblem, LineIndex, SourceMap, SourcePosition, name_hint, nearest_name},
    schema_nodes::{
        describe, join_path, name_list, plain_value, required_names, type_name, variant_name,
    },
};

pub(crate) struct SchemaReader<'a> {
    root: &'a Value,
    lines: &'a LineIndex<'a>,
    sources: &'a mut SourceMap,
    problems: &'a mut Vec<ConfigProblem>,
    invalid_paths: &'a mut Vec<String>,
}

impl<'a> SchemaReader<'a> {
    pub(crate) fn new(
        root: &'a Value,
        lines: &'a LineIndex<'a>,
        sources: &'a mut SourceMap,
        problems: &'a mut Vec<ConfigProblem>,
        invalid_paths: &'a mut Vec<String>,
    ) -> Self {
        Self {
            root,
            lines,
            sources,
            problems,
            invalid_paths,
        }
    }

    /// Reads one file and merges it with the earlier files; returns false if a required part could
    /// not be read.
    pub(crate) fn read_root(
        &mut self,
        node: &ast::Value<'_>,
        merged: &mut Map<String, Value>,
    ) -> bool {
        let position = self.position(node);
        self.sources.insert("", position);
        let ast::Value::Object(object) = node else {
            self.reject(node, "", "an object");
            return false;
        };
        let mut complete = true;
        for property in self.known_properties(self.root, object, "").0 {
            let name = property.name.as_str();
            let schema = &self.root["properties"][name];
            complete &= self.merge_property(schema, property, merged);
        }
        complete
    }

    /// Reports required fields that no file contains.
    pub(crate) fn check_required(&mut self, merged: &Map<String, Value>) -> bool {
        let missing: Vec<_> = required_names(self.root)
            .filter(|name| !merged.contains_key(*name))
            .collect();
        for name in &missing {
            let found = "nothing";
            let expected = format!("the field `{name}`");
            let position = self.sources.position("");
            self.problems
                .push(ConfigProblem::new(position, name, found, expected));
        }
        missing.is_empty()
    }

    fn merge_property(
        &mut self,
        schema: &'a Value,
        property: &ast::ObjectProp<'_>,
        merged: &mut Map<String, Value>,
    ) -> bool {
        let name = property.name.as_str();
        let earlier = merged.get(name);
        if let (Some(Value::Array(earlier)), ast::Value::Array(array)) = (earlier, &property.value)
        {
            let items = self.read_items(schema, array, name, earlier.len());
            return match (items, merged.get_mut(name)) {
                (Some(items), Some(Value::Array(earlier))) => {
                    earlier.extend(items);
                    true
                }
                _ => false,
            };
        }
        if earlier.is_some() && name != "version" {
            let first = self.sources.position(name);
            let expected = "at most one in all files";
            let found = format!("a second `{name}`");
            let hint = format!("the first is at {}:{}", first.file, first.line);
            self.report(&property.value, name, found, expected, Some(hint));
            return true;
        }
        match self.read(schema, &property.value, name) {
            Some(value) => {
                merged.insert(name.to_owned(), value);
                true
            }
            None => self.skip_invalid(schema, name, name),
        }
    }

    fn read(&mut self, schema: &'a Value, node: &ast::Value<'_>, path: &str) -> Option<Value> {
        if !self.sources.contains(path) {
            let position = self.position(node);
            self.sources.insert(path, position);
        }
        let schema = self.resolve(schema);
        if let Some(variants) = schema["oneOf"].as_array() {
            return self.read_variant(variants, node, path);
        }
        if let Some(variants) = schema["anyOf"].as_array() {
            return self.read_nullable(variants, node, path);
        }
        if let Some(names) = schema["enum"].as_array() {
            let names: Vec<_> = names.iter().filter_map(Value::as_str).collect();
            return self.read_name(&names, node, path);
        }
        match type_name(schema, node) {
            "object" => self.read_object(schema, node, path),
            "array" => self.read_array(schema, node, path),
            "integer" => self.read_integer(schema, node, path),
            "number" => self.read_number(node, path),
            "boolean" => match node {
                ast::Value::BooleanLit(literal) => Some(Value::Bool(literal.value)),
                _ => self.reject(node, path, "true or false"),
            },
            "string" => self.read_string(schema, node, path),
            "null" => Some(Value::Null),
            _ => Some(plain_value(node)),
        }
    }

    fn resolve(&self, schema: &'a Value) -> &'a Value {
        match schema["$ref"]
            .as_str()
            .and_then(|name| name.strip_prefix("#/$defs/"))
        {
            Some(name) => &self.root["$defs"][name],
            None => schema,
        }
    }

    fn read_nullable(
        &mut self,
        variants: &'a [Value],
        node: &ast::Value<'_>,
        path: &str,
    ) -> Option<Value> {
        if matches!(node, ast::Value::NullKeyword(_)) {
            return Some(Value::Null);
        }
        let variant = variants.iter().find(|variant| variant["type"] != "null")?;
        self.read(variant, node, path)
    }

    /// Reads an enum: a plain name, or an object with one field that names the variant.
    fn read_variant(
        &mut self,
        variants: &'a [Value],
        node: &ast::Value<'_>,
        path: &str,
    ) -> Option<Value> {
        let names: Vec<&str> = variants.iter().filter_map(variant_name).collect();
        let ast::Value::Object(object) = node else {
            return self.read_name(&names, node, path);
        };
        let [property] = object.properties.as_slice() else {
            let expected = format!("an object with one field: {}", name_list(&names));
            return self.reject(node, path, expected);
        };
        let name = property.name.as_str();
        let Some(variant) = variants
            .iter()
            .find(|variant| variant["properties"].get(name).is_some())
        else {
            let found = format!("the field `{name}`");
            let expected = name_list(&names);
            let hint = name_hint(nearest_name(name, names));
            return self.report(node, path, found, expected, hint);
        };
        let path = join_path(path, name);
        let value = self.read(&variant["properties"][name], &property.value, &path)?;
        Some(Value::Object(Map::from_iter([(name.to_owned(), value)])))
    }

    fn read_name(&mut self, names: &[&str], node: &ast::Value<'_>, path: &str) -> Option<Value> {
        let expected = name_list(names);
        let ast::Value::StringLit(literal) = node else {
            return self.reject(node, path, expected);
        };
        if names.contains(&literal.value.as_ref()) {
            return Some(Value::String(literal.value.to_string()));
        }
        let hint = name_hint(nearest_name(&literal.value, names.iter().copied()));
        self.report(node, path, describe(node), expected, hint)
    }

    fn read_object(
        &mut self,
        schema: &'a Value,
        node: &ast::Value<'_>,
        path: &str,
    ) -> Option<Value> {
        let ast::Value::Object(object) = node else {
            return self.reject(node, path, "an object");
        };
        let mut complete = true;
        let mut fields = Map::new();
        let (properties, suggested) = self.known_properties(schema, object, path);
        for property in &properties {
            let name = property.name.as_str();
            let field_schema = schema["properties"]
                .get(name)
                .unwrap_or(&schema["additionalProperties"]);
            let field_path = join_path(path, name);
            match self.read(field_schema, &property.value, &field_path) {
                Some(value) => _ = fields.insert(name.to_owned(), value),
                None if required_names(schema).any(|required| required == name) => complete = false,
                None => complete &= self.skip_invalid(field_schema, name, &field_path),
            }
        }
        for name in required_names(schema) {
            if properties
                .iter()
                .any(|property| property.name.as_str() == name)
            {
                continue;
            }
            complete = false;
            // A misspelt required field was already reported with this name as its hint.
            if !suggested.contains(&name) {
                let expected = format!("the field `{name}`");
                let path = join_path(path, name);
                self.report(node, &path, "nothing", expected, None);
            }
        }
        complete.then_some(Value::Object(fields))
    }

    /// Returns the fields that the schema has, and the names suggested for unknown fields.
    fn known_properties<'n, 't>(
        &mut self,
        schema: &'a Value,
        object: &'n ast::Object<'t>,
        path: &str,
    ) -> (Vec<&'n ast::ObjectProp<'t>>, Vec<&'a str>) {
        let names: Vec<&'a str> = schema["properties"]
            .as_object()
            .map(|properties| properties.keys().map(String::as_str).collect())
            .unwrap_or_default();
        let allows_unknown = schema["additionalProperties"] != Value::Bool(false);
        let mut known: Vec<&ast::ObjectProp<'_>> = Vec::new();
        let mut suggested = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let field_path = join_path(path, name);
            let position = self.lines.position(property.range.start);
            if known.iter().any(|earlier| earlier.name.as_str() == name) {
                let found = format!("a second `{name}`");
                let problem = ConfigProblem::new(position, &field_path, found, "each field once");
                self.problems.push(problem);
                continue;
            }
            if allows_unknown || names.contains(&name) {
                known.push(property);
                continue;
            }
            let nearest = nearest_name(name, names.iter().copied());
            suggested.extend(nearest);
            let found = format!("the unknown field `{name}`");
            let expected = match names.is_empty() {
                true => "no field".to_owned(),
                false => name_list(&names),
            };
            let problem = ConfigProblem::new(position, &field_path, found, expected);
            self.problems.push(problem.with_hint(name_hint(nearest)));
        }
        (known, suggested)
    }

    fn read_array(
        &mut self,
        schema: &'a Value,
        node: &ast::Value<'_>,
        path: &str,
    ) -> Option<Value> {
        let ast::Value::Array(array) = node else {
            return self.reject(node, path, "an array");
        };
        let min = schema["minItems"].as_u64().unwrap_or(0);
        let max = schema["maxItems"].as_u64().unwrap_or(u64::MAX);
        let count = array.elements.len() as u64;
        if count < min || count > max {
            let found = format!("an array of {count}");
            return self.report(node, path, found, format!("an array of {min}"), None);
        }
        self.read_items(schema, array, path, 0).map(Value::Array)
    }

    fn read_items(
        &mut self,
        schema: &'a Value,
        array: &ast::Array<'_>,
        path: &str,
        offset: usize,
    ) -> Option<Vec<Value>> {
        let mut items = Vec::with_capacity(array.elements.len());
        for (index, element) in array.elements.iter().enumerate() {
            let item_schema = schema["prefixItems"].get(index).unwrap_or(&schema["items"]);
            let item_path = format!("{path}[{}]", offset + index);
            items.push(self.read(item_schema, element, &item_path));
        }
        items.into_iter().collect()
    }

    /// Skips an invalid optional value and records its path; returns whether the rest of the object
    /// can still be used. An array cannot be skipped, since other values may refer to its elements;
    /// neither can `version`.
    fn skip_invalid(&mut self, schema: &'a Value, name: &str, path: &str) -> bool {
        self.invalid_paths.push(path.to_owned());
        name != "version" && self.resolve(schema)["type"] != "array"
    }

    fn position(&self, node: &ast::Value<'_>) -> SourcePosition {
        self.lines.position(node.range().start)
    }

    pub(super) fn reject(
        &mut self,
        node: &ast::Value<'_>,
        path: &str,
        expected: impl Into<String>,
    ) -> Option<Value> {
        self.report(node, path, describe(node), expected, None)
    }

    fn report(
        &mut self,
        node: &ast::Value<'_>,
        path: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
        hint: Option<String>,
    ) -> Option<Value> {
        let problem = ConfigProblem::new(self.position(node), path, found, expected);
        self.problems.push(problem.with_hint(hint));
        None
    }
}
