//! Settings files: JSON with comments and trailing commas.

use std::{
    error::Error,
    fmt::{self, Display, Formatter},
    fs,
    path::{Path, PathBuf},
};

use jsonc_parser::{
    ParseOptions,
    ast::Value,
    common::{Range, Ranged},
    errors::ParseError,
    parse_to_ast, parse_to_serde_value,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path as FieldPath, Segment};

/// Maximum edit distance at which a known name is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Error in a settings file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// Line, starting at 1; 0 if the file could not be read.
    pub line: usize,
    /// Column in characters, starting at 1; 0 if the file could not be read.
    pub column: usize,
    /// Path of the field, such as `admin.address`; empty for a syntax error.
    pub path: String,
    /// What was found and what was expected.
    pub message: String,
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl Error for SettingsError {}

/// Reads a settings file.
pub fn load_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(file).map_err(|error| SettingsError {
        file: file.to_owned(),
        line: 0,
        column: 0,
        path: String::new(),
        message: error.to_string(),
    })?;
    parse_settings(file, &text)
}

/// Parses settings from the text of a file; `file` is used only in error messages.
pub fn parse_settings<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    let options = parse_options();
    let syntax_error = |error: ParseError| {
        // The position is computed here because the parser also counts a carriage return as the end
        // of a line.
        let (line, column) = line_column(text, error.range().start);
        SettingsError {
            file: file.to_owned(),
            line,
            column,
            path: String::new(),
            message: error.kind().to_string(),
        }
    };
    let tree = parse_to_ast(text, &Default::default(), &options).map_err(syntax_error)?;
    let value: serde_json::Value = parse_to_serde_value(text, &options).map_err(syntax_error)?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let message = error.inner().to_string();
        let range = tree
            .value
            .as_ref()
            .map(|root| locate(root, error.path(), unknown_name(&message)));
        let (line, column) = line_column(text, range.map_or(0, |range| range.start));
        SettingsError {
            file: file.to_owned(),
            line,
            column,
            path: field_path(error.path()),
            message: with_suggestion(message),
        }
    })
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn field_path(path: &FieldPath) -> String {
    let text = path.to_string();
    if text == "." { String::new() } else { text }
}

/// Finds the innermost element on the path, or the name of an unknown field inside it.
fn locate(root: &Value<'_>, path: &FieldPath, unknown: Option<&str>) -> Range {
    let mut value = root;
    for segment in path.iter() {
        let next = match (segment, value) {
            (Segment::Map { key }, Value::Object(object)) => {
                let Some(property) = object.get(key) else {
                    return value.range();
                };
                if unknown == Some(key) {
                    return property.name.range();
                }
                &property.value
            }
            (Segment::Seq { index }, Value::Array(array)) => match array.elements.get(*index) {
                Some(element) => element,
                None => return value.range(),
            },
            // An enum's variant is a property of an object, or the string itself.
            (Segment::Enum { variant }, Value::Object(object)) => match object.get(variant) {
                Some(property) => &property.value,
                None => return value.range(),
            },
            _ => return value.range(),
        };
        value = next;
    }
    match (unknown, value) {
        (Some(name), Value::Object(object)) => object
            .get(name)
            .map_or(value.range(), |property| property.name.range()),
        _ => value.range(),
    }
}

fn line_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

/// The name in serde's message about an unknown field or variant.
fn unknown_name(message: &str) -> Option<&str> {
    let rest = message
        .strip_prefix("unknown field `")
        .or_else(|| message.strip_prefix("unknown variant `"))?;
    rest.split('`').next()
}

fn with_suggestion(message: String) -> String {
    let Some(unknown) = unknown_name(&message) else {
        return message;
    };
    // After the unknown name, every second part between backquotes is a known name.
    let nearest = message
        .split('`')
        .skip(3)
        .step_by(2)
        .map(|name| (strsim::damerau_levenshtein(unknown, name), name))
        .min()
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE);
    match nearest {
        Some((_, name)) => format!("{message}; did you mean `{name}`?"),
        None => message,
    }
}
