//! Checks of services, organisations, length rules and placement.

use crate::registry::{build_policy, policy_names};

use super::{
    check::{ConfigChecker, KnownNames, UniqueNames},
    position::name_hint,
    types::{CallRule, FleetConfig, OrganisationSpec, PoolKind, ServiceKind, ServiceSpec},
};

const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
const KEY_HASH_DIGITS: usize = 64;
const MAX_WEIGHT: u32 = 1_000_000;
const HOURS_OF_DAY: u8 = 24;
const METHODS: &[&str] = &[
    "*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT",
];
/// Paths that gateways serve themselves.
const RESERVED_PREFIXES: &[&str] = &["/v1/", "/healthz/", "/readyz/"];

pub(crate) fn check_services(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let mut names = UniqueNames::new("service");
    let mut models = UniqueNames::new("model of a service");
    for (index, service) in config.services.iter().enumerate() {
        let path = format!("services[{index}]");
        checker.check_name(&mut names, &service.id, format!("{path}.id"));
        check_pool(config, service, &path, checker);
        check_deadlines(service, &path, checker);
        if let ServiceKind::Model { model } = &service.kind {
            let path = format!("{path}.kind.model.model");
            checker.check_reference(&known_model_names(config), model, &path);
            checker.check_unique(&mut models, model, path);
        }
        for (index, rule) in service.non_idempotent.iter().enumerate() {
            let path = format!("{path}.non_idempotent[{index}]");
            check_call_rule(service, rule, &path, checker);
        }
    }
    check_prefixes(config, checker);
}

/// Values of the `model` field that a service can accept: models, and models with an adapter.
fn known_model_names(config: &FleetConfig) -> KnownNames<'_> {
    let plain = config.models.iter().map(|model| model.id.to_string());
    let adapted = config.models.iter().flat_map(|model| {
        let adapters = model.adapters.iter();
        adapters.map(|adapter| format!("{}:{}", model.id, adapter.id))
    });
    KnownNames::new("model, or model:adapter", "models", plain.chain(adapted))
}

fn check_pool(
    config: &FleetConfig,
    service: &ServiceSpec,
    path: &str,
    checker: &mut ConfigChecker<'_>,
) {
    let names = config.pools.iter().map(|pool| &*pool.id);
    let path = format!("{path}.pool");
    checker.check_reference(
        &KnownNames::new("pool", "pools", names),
        &service.pool,
        &path,
    );
    let Some(pool) = config.pools.iter().find(|pool| pool.id == service.pool) else {
        return;
    };
    match (&service.kind, &pool.kind) {
        (ServiceKind::Model { model }, PoolKind::Engines { model: of_pool }) => checker.require(
            config
                .find_model(model)
                .is_none_or(|model| model.id == *of_pool),
            &path,
            format!("pool `{}`, whose engines run `{of_pool}`", pool.id),
            &format!("a pool that runs `{model}`"),
        ),
        (ServiceKind::Plain { .. }, PoolKind::Plain {}) => {}
        (ServiceKind::Model { .. }, PoolKind::Plain {}) => {
            let found = format!("pool `{}` of plain endpoints", pool.id);
            checker.reject(&path, found, "a pool of engines");
        }
        (ServiceKind::Plain { .. }, PoolKind::Engines { .. }) => {
            let found = format!("pool `{}` of engines", pool.id);
            checker.reject(&path, found, "a pool of plain endpoints");
        }
    }
}

fn check_deadlines(service: &ServiceSpec, path: &str, checker: &mut ConfigChecker<'_>) {
    checker.require(
        (1..=MAX_DEADLINE_MS).contains(&service.max_deadline_ms),
        &format!("{path}.max_deadline_ms"),
        format!("{} ms", service.max_deadline_ms),
        "1 ms to 24 hours",
    );
    checker.require(
        (1..=service.max_deadline_ms).contains(&service.default_deadline_ms),
        &format!("{path}.default_deadline_ms"),
        format!("{} ms", service.default_deadline_ms),
        &format!(
            "1 ms to the service's max_deadline_ms, {} ms",
            service.max_deadline_ms
        ),
    );
}

fn check_call_rule(
    service: &ServiceSpec,
    rule: &CallRule,
    path: &str,
    checker: &mut ConfigChecker<'_>,
) {
    checker.require(
        METHODS.contains(&rule.method.as_str()),
        &format!("{path}.method"),
        format!("{:?}", rule.method),
        &format!("one of {}", METHODS.join(", ")),
    );
    let prefix = match &service.kind {
        ServiceKind::Model { .. } => "/v1/",
        ServiceKind::Plain { path_prefix } => path_prefix,
    };
    let start = rule.path.trim_end_matches('*');
    let reaches =
        start.starts_with(prefix) || (rule.path.ends_with('*') && prefix.starts_with(start));
    checker.require(
        reaches,
        &format!("{path}.path"),
        format!("{:?}, which no call of the service can match", rule.path),
        &format!("a path under {prefix:?}"),
    );
}

/// Rejects overlapping prefixes: the service that a call reaches would depend on their order.
fn check_prefixes(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let mut earlier: Vec<(&str, &str)> = Vec::new();
    for (index, service) in config.services.iter().enumerate() {
        let ServiceKind::Plain { path_prefix } = &service.kind else {
            continue;
        };
        let path = format!("services[{index}].kind.plain.path_prefix");
        let is_valid = path_prefix.len() > 2
            && path_prefix.starts_with('/')
            && path_prefix.ends_with('/')
            && path_prefix
                .chars()
                .all(|c| c.is_ascii_graphic() && c != '*');
        if !is_valid {
            let found = format!("{path_prefix:?}");
            checker.reject(
                &path,
                found,
                "a path that begins and ends with `/`, such as \"/app/\"",
            );
            continue;
        }
        let overlaps =
            |other: &str| other.starts_with(&**path_prefix) || path_prefix.starts_with(other);
        if let Some(reserved) = RESERVED_PREFIXES.iter().find(|reserved| overlaps(reserved)) {
            let found = format!("{path_prefix:?}, which overlaps {reserved:?}");
            checker.reject(
                &path,
                found,
                "a prefix that gateways do not serve themselves",
            );
        }
        if let Some((other, id)) = earlier.iter().find(|(other, _)| overlaps(other)) {
            let found = format!("{path_prefix:?}, which overlaps {other:?} of service `{id}`");
            checker.reject(&path, found, "a prefix that overlaps no other service");
        }
        earlier.push((path_prefix, &service.id));
    }
}

pub(crate) fn check_organisations(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let mut names = UniqueNames::new("organisation");
    let mut hashes = UniqueNames::new("key hash");
    let service_names = config.services.iter().map(|service| &*service.id);
    let services = KnownNames::new("service", "services", service_names);
    for (index, organisation) in config.organisations.iter().enumerate() {
        let path = format!("organisations[{index}]");
        checker.check_name(&mut names, &organisation.id, format!("{path}.id"));
        check_keys(organisation, &path, &mut hashes, checker);
        check_shares(organisation, &path, checker);
        for (index, service) in organisation.services.iter().enumerate() {
            let path = format!("{path}.services[{index}]");
            checker.check_reference(&services, service, &path);
        }
    }
}

fn check_keys(
    organisation: &OrganisationSpec,
    path: &str,
    hashes: &mut UniqueNames,
    checker: &mut ConfigChecker<'_>,
) {
    let path = format!("{path}.key_hashes");
    let has_key = !organisation.key_hashes.is_empty();
    checker.require(
        has_key,
        &path,
        "no key hash",
        "the hash of at least one API key",
    );
    for (index, hash) in organisation.key_hashes.iter().enumerate() {
        let path = format!("{path}[{index}]");
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if hash.len() == KEY_HASH_DIGITS && hash.chars().all(is_digit) {
            checker.check_unique(hashes, hash, path);
            continue;
        }
        // The invalid value may be the key itself, so the problem does not repeat it.
        let found = format!(
            "{} characters that are not a SHA-256 hash",
            hash.chars().count()
        );
        checker.reject(
            &path,
            found,
            "64 lower-case hexadecimal digits, never the key itself",
        );
    }
}

fn check_shares(organisation: &OrganisationSpec, path: &str, checker: &mut ConfigChecker<'_>) {
    checker.require(
        (1..=MAX_WEIGHT).contains(&organisation.weight),
        &format!("{path}.weight"),
        organisation.weight,
        "1 to 1000000",
    );
    let limits = organisation.limits;
    let minute = limits.tokens_per_minute;
    checker.require(
        minute == 0 || limits.max_prompt_tokens <= minute,
        &format!("{path}.limits.max_prompt_tokens"),
        format!("{} tokens", limits.max_prompt_tokens),
        &format!("at most tokens_per_minute, {minute}; longer prompts would always be rejected"),
    );
}

pub(crate) fn check_rules(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    for (index, rule) in config.rules.iter().enumerate() {
        let path = format!("rules[{index}]");
        checker.require(
            rule.max_tokens == 0 || rule.min_tokens <= rule.max_tokens,
            &format!("{path}.max_tokens"),
            rule.max_tokens,
            &format!("0, or at least min_tokens, {}", rule.min_tokens),
        );
        for (side, hour) in [rule.hours.0, rule.hours.1].into_iter().enumerate() {
            let path = format!("{path}.hours[{side}]");
            checker.require(hour <= HOURS_OF_DAY, &path, hour, "an hour from 0 to 24");
        }
        checker.require(
            rule.default_deadline_ms <= MAX_DEADLINE_MS,
            &format!("{path}.default_deadline_ms"),
            format!("{} ms", rule.default_deadline_ms),
            "at most 24 hours",
        );
    }
}

pub(crate) fn check_placement(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let placement = &config.placement;
    if let Err(unknown) = build_policy(placement) {
        let hint = name_hint(unknown.nearest);
        let found = format!("the policy `{}`", unknown.name);
        let expected = format!("one of {}", policy_names().join(", "));
        checker.reject_with_hint("placement.policy", found, expected, hint);
    }
    checker.require(
        placement.long_tokens > 0,
        "placement.long_tokens",
        placement.long_tokens,
        "at least 1 token",
    );
    checker.require(
        (1..=100).contains(&placement.long_share_percent),
        "placement.long_share_percent",
        placement.long_share_percent,
        "1 to 100 percent",
    );
}
