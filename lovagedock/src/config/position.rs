//! Positions in the text of a configuration, and the problems found there.

use std::{collections::HashMap, fmt, sync::Arc};

use serde::Serialize;

/// One file of a configuration with its whole text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// File name shown in problems.
    pub name: String,
    /// Text of the file.
    pub text: String,
}

impl SourceFile {
    /// Creates a file from its name and its text.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// A position in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourcePosition {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// Source position of each value of a configuration by its path, such as
/// `pools[0].endpoints[2].id`.
#[derive(Clone, Debug, Default)]
pub struct SourceMap {
    positions: HashMap<String, SourcePosition>,
}

impl SourceMap {
    /// Returns the position of a value, or of the nearest enclosing value if the value is not
    /// written in the text.
    pub fn position(&self, path: &str) -> SourcePosition {
        let mut path = path;
        loop {
            if let Some(position) = self.positions.get(path) {
                return position.clone();
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => break,
            }
        }
        self.positions
            .get("")
            .cloned()
            .unwrap_or_else(|| SourcePosition {
                file: "".into(),
                line: 1,
                column: 1,
            })
    }

    pub(crate) fn insert(&mut self, path: &str, position: SourcePosition) {
        self.positions.entry(path.to_owned()).or_insert(position);
    }

    pub(crate) fn contains(&self, path: &str) -> bool {
        self.positions.contains_key(path)
    }
}

/// One problem of a configuration or settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigProblem {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the value, such as `pools[0].endpoints[2].id`; empty for the whole file.
    pub path: String,
    /// What the file contains.
    pub found: String,
    /// What was expected instead.
    pub expected: String,
    /// Suggested correction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hint: Option<String>,
}

impl ConfigProblem {
    pub(crate) fn new(
        position: SourcePosition,
        path: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            file: position.file.to_string(),
            line: position.line,
            column: position.column,
            path: path.to_owned(),
            found: found.into(),
            expected: expected.into(),
            hint: None,
        }
    }

    pub(crate) fn with_hint(mut self, hint: Option<String>) -> Self {
        self.hint = hint;
        self
    }
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)?;
        match &self.hint {
            Some(hint) => write!(f, "; {hint}"),
            None => Ok(()),
        }
    }
}

/// Converts byte offsets of one file into lines and columns.
pub(crate) struct LineIndex<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(source: &'a SourceFile) -> Self {
        let newlines = source.text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            file: source.name.as_str().into(),
            text: &source.text,
            starts: std::iter::once(0).chain(newlines).collect(),
        }
    }

    pub(crate) fn position(&self, offset: usize) -> SourcePosition {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        SourcePosition {
            file: self.file.clone(),
            line,
            column: before.chars().count() + 1,
        }
    }
}

/// Returns the candidate most similar to a misspelt name, if any is similar enough.
pub(crate) fn nearest_name<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    const MIN_SIMILARITY: f64 = 0.75;
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// Formats the result of [`nearest_name`] as a hint.
pub(crate) fn name_hint(name: Option<&str>) -> Option<String> {
    name.map(|name| format!("did you mean `{name}`?"))
}
