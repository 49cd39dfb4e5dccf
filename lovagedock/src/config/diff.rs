//! Differences between two configurations, such as the accepted one and an operator's file.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use super::types::FleetConfig;

const MAX_VALUE_CHARS: usize = 80;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConfigChange {
    /// How the value changed.
    pub kind: ChangeKind,
    /// Path of the value. Elements of a list are identified by their id, such as
    /// `pools[a].endpoints[e-1]`.
    pub path: String,
    /// The old value; `None` if the value was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The new value; `None` if the value was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// How a value changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The value was added.
    Added,
    /// The value was removed.
    Removed,
    /// The value was replaced by another.
    Changed,
    /// The list has the same elements in another order.
    Reordered,
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        let before = self.before.as_ref().map(abbreviate).unwrap_or_default();
        let after = self.after.as_ref().map(abbreviate).unwrap_or_default();
        match self.kind {
            ChangeKind::Added => write!(f, "+ {path}: {after}"),
            ChangeKind::Removed => write!(f, "- {path}: {before}"),
            ChangeKind::Changed => write!(f, "~ {path}: {before} -> {after}"),
            ChangeKind::Reordered => write!(f, "~ {path}: in another order"),
        }
    }
}

/// Lists the differences; empty when the two configurations are equal.
pub fn diff_config(old: &FleetConfig, new: &FleetConfig) -> Vec<ConfigChange> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    diff_values("", &old, &new, &mut changes);
    changes
}

fn diff_values(path: &str, old: &Value, new: &Value, changes: &mut Vec<ConfigChange>) {
    match (old, new) {
        _ if old == new => {}
        (Value::Object(old), Value::Object(new)) => diff_objects(path, old, new, changes),
        (Value::Array(old), Value::Array(new)) => diff_arrays(path, old, new, changes),
        _ => push_change(ChangeKind::Changed, path, Some(old), Some(new), changes),
    }
}

fn diff_objects(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<ConfigChange>,
) {
    let join = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    for (name, value) in old {
        match new.get(name) {
            Some(other) => diff_values(&join(name), value, other, changes),
            None => push_change(ChangeKind::Removed, &join(name), Some(value), None, changes),
        }
    }
    for (name, value) in new {
        if !old.contains_key(name) {
            push_change(ChangeKind::Added, &join(name), None, Some(value), changes);
        }
    }
}

/// Compares elements that have an id with the element of the same id. Other elements are compared
/// as whole values that are either in the list or not.
fn diff_arrays(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<ConfigChange>) {
    let mut unmatched: Vec<(String, &Value)> = new.iter().map(|it| (label(it), it)).collect();
    let mut kept = Vec::new();
    for value in old {
        let label = label(value);
        let path = format!("{path}[{label}]");
        match unmatched.iter().position(|(other, _)| *other == label) {
            Some(index) => {
                diff_values(&path, value, unmatched.remove(index).1, changes);
                kept.push(label);
            }
            None => push_change(ChangeKind::Removed, &path, Some(value), None, changes),
        }
    }
    for (label, value) in &unmatched {
        let path = format!("{path}[{label}]");
        push_change(ChangeKind::Added, &path, None, Some(value), changes);
    }
    let mut order = new.iter().map(label).filter(|label| kept.contains(label));
    if !kept
        .iter()
        .all(|label| order.next().as_ref() == Some(label))
    {
        push_change(ChangeKind::Reordered, path, None, None, changes);
    }
}

fn label(value: &Value) -> String {
    match value.get("id").and_then(Value::as_str) {
        Some(id) => id.to_owned(),
        None => match value {
            Value::String(text) => text.clone(),
            _ => value.to_string(),
        },
    }
}

fn push_change(
    kind: ChangeKind,
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<ConfigChange>,
) {
    changes.push(ConfigChange {
        kind,
        path: path.to_owned(),
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    text.chars()
        .take(MAX_VALUE_CHARS)
        .chain("...".chars())
        .collect()
}
