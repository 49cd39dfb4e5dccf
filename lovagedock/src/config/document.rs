//! Parses files of JSON with comments into typed values.

use std::{cmp::Ordering, sync::LazyLock};

use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use schemars::schema_for;
use serde_json::{Map, Value};

use super::{
    check::check_config,
    position::{ConfigProblem, LineIndex, SourceFile, SourceMap},
    schema_reader::SchemaReader,
    types::{CONFIG_VERSION, FleetConfig},
};

static CONFIG_SCHEMA: LazyLock<Value> = LazyLock::new(|| schema_for!(FleetConfig).to_value());

/// A configuration and the source position of each of its values.
#[derive(Clone, Debug)]
pub struct ConfigDocument {
    /// The configuration.
    pub config: FleetConfig,
    /// Source positions by path.
    pub sources: SourceMap,
}

/// Parses and validates a configuration in a single file.
///
/// # Errors
///
/// Returns every problem of the file, in the order of the text.
pub fn parse_config(file_name: &str, text: &str) -> Result<FleetConfig, Vec<ConfigProblem>> {
    let file = SourceFile::new(file_name, text);
    parse_files(std::slice::from_ref(&file)).map(|document| document.config)
}

/// Parses and validates a configuration in several files. Arrays are concatenated in the order of
/// the files; any other value may be given only once.
///
/// # Errors
///
/// Returns every problem of all files, in the order of the text.
pub fn parse_files(files: &[SourceFile]) -> Result<ConfigDocument, Vec<ConfigProblem>> {
    let mut parsed = read_files(&CONFIG_SCHEMA, files);
    let config = to_typed(&mut parsed);
    if let Some(config) = &config {
        let found = check_config(config, &parsed.sources);
        let invalid_paths = &parsed.invalid_paths;
        parsed.problems.extend(found.into_iter().filter(|problem| {
            !invalid_paths
                .iter()
                .any(|path| problem.path.starts_with(path.as_str()))
        }));
    }
    finish(parsed, config, files)
}

/// Result of parsing the files, which may be incomplete.
struct ParsedDocument {
    value: Option<Value>,
    sources: SourceMap,
    problems: Vec<ConfigProblem>,
    invalid_paths: Vec<String>,
}

fn read_files(schema: &Value, files: &[SourceFile]) -> ParsedDocument {
    let mut sources = SourceMap::default();
    let mut problems = Vec::new();
    let mut invalid_paths = Vec::new();
    let mut merged = Map::new();
    let mut complete = !files.is_empty();
    for file in files {
        let lines = LineIndex::new(file);
        let Some(node) = parse_text(file, &lines, &mut problems) else {
            complete = false;
            continue;
        };
        if let Some(problem) = version_mismatch(&node, &lines) {
            problems.push(problem);
            complete = false;
            continue;
        }
        let mut reader = SchemaReader::new(
            schema,
            &lines,
            &mut sources,
            &mut problems,
            &mut invalid_paths,
        );
        complete &= reader.read_root(&node, &mut merged);
    }
    if complete {
        let lines = LineIndex::new(&files[0]);
        let mut reader = SchemaReader::new(
            schema,
            &lines,
            &mut sources,
            &mut problems,
            &mut invalid_paths,
        );
        complete = reader.check_required(&merged);
    }
    ParsedDocument {
        value: complete.then_some(Value::Object(merged)),
        sources,
        problems,
        invalid_paths,
    }
}

fn parse_text<'a>(
    file: &'a SourceFile,
    lines: &LineIndex<'_>,
    problems: &mut Vec<ConfigProblem>,
) -> Option<ast::Value<'a>> {
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    match parse_to_ast(&file.text, &CollectOptions::default(), &options) {
        Ok(result) if result.value.is_some() => result.value,
        Ok(_) => {
            let position = lines.position(0);
            problems.push(ConfigProblem::new(
                position,
                "",
                "an empty file",
                "an object",
            ));
            None
        }
        Err(error) => {
            let position = lines.position(error.range().start);
            let found = format!("text that does not parse ({})", error.kind());
            problems.push(ConfigProblem::new(
                position,
                "",
                found,
                "JSON with comments",
            ));
            None
        }
    }
}

/// Reports a file of another format version without checking it against this version's schema. Its
/// fields may have another meaning, and a list of unknown fields would hide the actual problem.
fn version_mismatch(node: &ast::Value<'_>, lines: &LineIndex<'_>) -> Option<ConfigProblem> {
    let literal = node.as_object()?.get_number("version")?;
    let found = literal.value.parse::<u64>().ok()?;
    let hint = match found.cmp(&u64::from(CONFIG_VERSION)) {
        Ordering::Equal => return None,
        Ordering::Greater => "the file was written for a newer lovagedock",
        Ordering::Less => "the file was written for an older lovagedock",
    };
    let position = lines.position(literal.range.start);
    let found = format!("file format version {found}");
    let expected = format!("version {CONFIG_VERSION}");
    let problem = ConfigProblem::new(position, "version", found, expected);
    Some(problem.with_hint(Some(hint.to_owned())))
}

fn to_typed(parsed: &mut ParsedDocument) -> Option<FleetConfig> {
    let value = parsed.value.take()?;
    match serde_json::from_value(value) {
        Ok(config) => Some(config),
        Err(error) => {
            let position = parsed.sources.position("");
            let problem = ConfigProblem::new(position, "", error.to_string(), "a valid file");
            parsed.problems.push(problem);
            None
        }
    }
}

fn finish(
    parsed: ParsedDocument,
    config: Option<FleetConfig>,
    files: &[SourceFile],
) -> Result<ConfigDocument, Vec<ConfigProblem>> {
    let ParsedDocument {
        sources,
        mut problems,
        ..
    } = parsed;
    if let Some(config) = config
        && problems.is_empty()
    {
        return Ok(ConfigDocument { config, sources });
    }
    let rank = |name: &str| files.iter().position(|file| file.name == name);
    problems.sort_by_key(|problem| (rank(&problem.file), problem.line, problem.column));
    Err(problems)
}
