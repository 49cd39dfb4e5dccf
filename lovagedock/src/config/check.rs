//! Validates the values of a configuration against each other.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet},
    fmt::Display,
};

use super::{
    check_fleet, check_traffic,
    position::{ConfigProblem, SourceMap, name_hint, nearest_name},
    types::{CONFIG_VERSION, FleetConfig},
};

const MAX_NAME_BYTES: usize = 128;

/// Validates the values of a configuration that matches the schema and returns every problem.
pub fn check_config(config: &FleetConfig, sources: &SourceMap) -> Vec<ConfigProblem> {
    let mut checker = ConfigChecker::new(sources);
    if config.version != CONFIG_VERSION {
        let found = format!("file format version {}", config.version);
        checker.reject("version", found, format!("version {CONFIG_VERSION}"));
    }
    check_fleet::check_domains(config, &mut checker);
    check_fleet::check_gateways(config, &mut checker);
    check_fleet::check_models(config, &mut checker);
    check_fleet::check_pools(config, &mut checker);
    check_traffic::check_services(config, &mut checker);
    check_traffic::check_organisations(config, &mut checker);
    check_traffic::check_rules(config, &mut checker);
    check_traffic::check_placement(config, &mut checker);
    checker.problems
}

/// Collects problems and resolves the position of each value in the source text.
pub(crate) struct ConfigChecker<'a> {
    sources: &'a SourceMap,
    problems: Vec<ConfigProblem>,
}

impl<'a> ConfigChecker<'a> {
    fn new(sources: &'a SourceMap) -> Self {
        Self {
            sources,
            problems: Vec::new(),
        }
    }

    pub(crate) fn reject(
        &mut self,
        path: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.reject_with_hint(path, found, expected, None);
    }

    pub(crate) fn reject_with_hint(
        &mut self,
        path: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
        hint: Option<String>,
    ) {
        let position = self.sources.position(path);
        let problem = ConfigProblem::new(position, path, found, expected);
        self.problems.push(problem.with_hint(hint));
    }

    pub(crate) fn require(&mut self, holds: bool, path: &str, found: impl Display, expected: &str) {
        if !holds {
            self.reject(path, found.to_string(), expected);
        }
    }

    /// Checks that a name is well-formed and unique within its list.
    pub(crate) fn check_name(&mut self, names: &mut UniqueNames, name: &str, path: String) {
        let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '\\' | '`');
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_plain);
        if !is_valid {
            let expected =
                format!("1 to {MAX_NAME_BYTES} printable ASCII characters without spaces");
            self.reject(&path, format!("the name {name:?}"), expected);
            return;
        }
        self.check_unique(names, name, path);
    }

    /// Checks that no earlier entry uses the same value.
    pub(crate) fn check_unique(&mut self, names: &mut UniqueNames, name: &str, path: String) {
        if let Some(first_path) = names.first_paths.get(name) {
            let position = self.sources.position(first_path);
            let hint = format!("the first is at {}:{}", position.file, position.line);
            let found = format!("`{name}` a second time");
            let expected = format!("each {} once", names.kind);
            self.reject_with_hint(&path, found, expected, Some(hint));
            return;
        }
        names.first_paths.insert(name.to_owned(), path);
    }

    /// Checks that a reference names an entry that the configuration defines.
    pub(crate) fn check_reference(&mut self, known: &KnownNames<'_>, name: &str, path: &str) {
        if known.names.contains(name) {
            return;
        }
        let hint = name_hint(nearest_name(name, known.names.iter().map(|name| &**name)));
        let found = format!("`{name}`, which is not in `{}`", known.list);
        let expected = format!("the id of a {}", known.kind);
        self.reject_with_hint(path, found, expected, hint);
    }
}

/// Names used so far, each with the path of its first use.
pub(crate) struct UniqueNames {
    kind: &'static str,
    first_paths: HashMap<String, String>,
}

impl UniqueNames {
    pub(crate) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            first_paths: HashMap::new(),
        }
    }
}

/// Names that one list of the configuration defines.
pub(crate) struct KnownNames<'a> {
    kind: &'static str,
    list: &'static str,
    names: HashSet<Cow<'a, str>>,
}

impl<'a> KnownNames<'a> {
    pub(crate) fn new<N: Into<Cow<'a, str>>>(
        kind: &'static str,
        list: &'static str,
        names: impl Iterator<Item = N>,
    ) -> Self {
        Self {
            kind,
            list,
            names: names.map(Into::into).collect(),
        }
    }
}

pub(crate) fn known_domains(config: &FleetConfig) -> KnownNames<'_> {
    let names = config.failure_domains.iter().map(|domain| &*domain.id);
    KnownNames::new("failure domain", "failure_domains", names)
}

pub(crate) fn known_models(config: &FleetConfig) -> KnownNames<'_> {
    let names = config.models.iter().map(|model| &*model.id);
    KnownNames::new("model", "models", names)
}
