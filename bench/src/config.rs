//! A configuration in force: memory, processor time, and bytes of a change.

use std::collections::HashMap;

use bytes::Bytes;
use lovagedock::{
    DomainSpec, EndpointCore, EndpointEvent, EndpointLimits, EndpointSpec, FleetConfig, ModelSpec,
    OrderCheck, OrganisationLimits, OrganisationShare, OrganisationSpec, PoolKind, PoolSpec,
    ServiceKind, ServiceSpec, parse_config, prelude::*,
};
use lovagedock_platform::canonical_json;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    meter::{cpu_micros, heap_of, heap_peak},
    slope::SlopeSeries,
};

const REPEATS: usize = 3;
const SEED: u64 = 7;
const DOMAINS: usize = 16;
const REGIONS: usize = 7;
const MODELS: usize = 9;
/// Sizes of organisations that are measured.
pub(crate) const ORGANISATIONS: [usize; 4] = [250, 2_500, 12_500, 25_000];
const ENDPOINTS: [usize; 4] = [100, 1_000, 5_000, 10_000];

/// What a configuration in force costs a process.
pub(crate) struct ConfigSlopes {
    /// Text, over organisations.
    pub(crate) text_bytes: SlopeSeries,
    /// Heap of a gateway's tables with the text, over organisations.
    pub(crate) gateway_heap: SlopeSeries,
    /// Most heap of a gateway while it takes a change, over organisations.
    pub(crate) gateway_peak: SlopeSeries,
    /// Heap of a sidecar's shares, over organisations.
    pub(crate) sidecar_heap: SlopeSeries,
    /// Most heap of a sidecar while it takes a change, over organisations.
    pub(crate) sidecar_peak: SlopeSeries,
    /// Processor time to read a text and build the tables, over organisations.
    pub(crate) read_cpu: SlopeSeries,
    /// Processor time to check a file, over organisations.
    pub(crate) check_cpu: SlopeSeries,
    /// Most heap while a file is checked, over organisations.
    pub(crate) check_peak: SlopeSeries,
    /// Text, over endpoints.
    pub(crate) endpoint_text: SlopeSeries,
    /// Heap with the text, over endpoints.
    pub(crate) endpoint_heap: SlopeSeries,
    /// Processor time to read a text, over endpoints.
    pub(crate) endpoint_cpu: SlopeSeries,
}

impl ConfigSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let of_organisations = |name, unit, measure: fn(&Bytes) -> f64| {
            SlopeSeries::new(name, "organisations", unit).with_points(
                &ORGANISATIONS,
                REPEATS,
                |count| measure(&text_of(&fleet(count, MODELS))),
            )
        };
        let of_endpoints = |name, unit, measure: fn(&Bytes) -> f64| {
            SlopeSeries::new(name, "endpoints", unit).with_points(&ENDPOINTS, REPEATS, |count| {
                measure(&text_of(&fleet(0, count)))
            })
        };
        let length: fn(&Bytes) -> f64 = |text| text.len() as f64;
        Self {
            text_bytes: of_organisations("configuration's text", "B", length),
            gateway_heap: of_organisations("heap of a gateway's configuration", "B", gateway_heap),
            gateway_peak: of_organisations("heap of a gateway during a change", "B", gateway_peak),
            sidecar_heap: of_organisations("heap of a sidecar's configuration", "B", sidecar_heap),
            sidecar_peak: of_organisations("heap of a sidecar during a change", "B", sidecar_peak),
            read_cpu: of_organisations("processor time to take a change", "µs", read_cpu),
            check_cpu: of_organisations("processor time of `check`", "µs", check_cpu),
            check_peak: of_organisations("heap of `check`", "B", check_peak),
            endpoint_text: of_endpoints("configuration's text", "B", length),
            endpoint_heap: of_endpoints("heap of a gateway's configuration", "B", gateway_heap),
            endpoint_cpu: of_endpoints("processor time to take a change", "µs", read_cpu),
        }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.text_bytes,
            &self.gateway_heap,
            &self.gateway_peak,
            &self.sidecar_heap,
            &self.sidecar_peak,
            &self.read_cpu,
            &self.check_cpu,
            &self.check_peak,
            &self.endpoint_text,
            &self.endpoint_heap,
            &self.endpoint_cpu,
        ]
    }
}

/// What a gateway keeps of a configuration: the same tables as its own.
struct GatewayTables {
    _fleet: FleetConfig,
    _text: Bytes,
    _organisations: HashMap<String, usize>,
}

impl GatewayTables {
    fn new(text: Bytes) -> Self {
        let fleet = parse(&text);
        let mut organisations = HashMap::new();
        for (index, organisation) in fleet.organisations.iter().enumerate() {
            for hash in &organisation.key_hashes {
                organisations.insert(hash.to_ascii_lowercase(), index);
            }
        }
        Self {
            _fleet: fleet,
            _text: text,
            _organisations: organisations,
        }
    }
}

fn gateway_heap(text: &Bytes) -> f64 {
    heap_of(|| GatewayTables::new(Bytes::copy_from_slice(text))).0
}

/// The tables in force stay until those of the next are complete.
fn gateway_peak(text: &Bytes) -> f64 {
    heap_peak(|| {
        let in_force = GatewayTables::new(Bytes::copy_from_slice(text));
        let next = GatewayTables::new(Bytes::copy_from_slice(text));
        drop((in_force, next));
    })
}

fn sidecar_heap(text: &Bytes) -> f64 {
    heap_of(|| configured_core(text)).0
}

fn sidecar_peak(text: &Bytes) -> f64 {
    heap_peak(|| {
        let mut core = configured_core(text);
        let received = Bytes::copy_from_slice(text);
        configure(&mut core, &received);
    })
}

fn configured_core(text: &Bytes) -> EndpointCore {
    let mut core = EndpointCore::new(7, EndpointLimits::default());
    configure(&mut core, text);
    core
}

fn configure(core: &mut EndpointCore, text: &Bytes) {
    let fleet = parse(text);
    let shares = fleet
        .organisations
        .iter()
        .map(|organisation| OrganisationShare {
            organisation: organisation.id.clone(),
            highest_tier: organisation.priority,
            weight: organisation.weight,
        })
        .collect();
    let limits = EndpointLimits::default();
    core.handle(Timestamp::ZERO, EndpointEvent::Configure { limits, shares });
}

fn read_cpu(text: &Bytes) -> f64 {
    let rounds = (400_000 / text.len()).clamp(1, 50);
    cpu_micros(rounds, || {
        for _ in 0..rounds {
            drop(GatewayTables::new(text.clone()));
        }
    })
}

fn check_cpu(text: &Bytes) -> f64 {
    let file = file_of(text);
    cpu_micros(1, || check(&file))
}

fn check_peak(text: &Bytes) -> f64 {
    let file = file_of(text);
    heap_peak(|| check(&file))
}

/// The configuration as operators write it, a field a line.
fn file_of(text: &Bytes) -> String {
    serde_json::to_string_pretty(&parse(text)).expect("serialisable")
}

fn check(file: &str) {
    let checked = parse_config("fleet.json", file);
    assert!(checked.is_ok(), "{:?}", checked.err());
}

fn parse(text: &Bytes) -> FleetConfig {
    serde_json::from_slice(text).expect("canonical text")
}

/// The text that is applied and relayed.
pub(crate) fn text_of(fleet: &FleetConfig) -> Bytes {
    canonical_json(fleet).expect("serialisable")
}

/// A configuration of this many organisations and endpoints.
pub(crate) fn fleet(organisations: usize, endpoints: usize) -> FleetConfig {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    FleetConfig {
        version: 1,
        failure_domains: (0..DOMAINS).map(domain).collect(),
        models: (0..MODELS).map(model).collect(),
        pools: (0..MODELS).map(|pool| pool_spec(pool, endpoints)).collect(),
        services: (0..MODELS).map(service).collect(),
        organisations: (0..organisations)
            .map(|number| organisation(number, &mut rng))
            .collect(),
        ..FleetConfig::default()
    }
}

fn domain(number: usize) -> DomainSpec {
    DomainSpec {
        id: format!("domain-{number}").into(),
        region: format!("region-{}", number % REGIONS),
    }
}

fn service(number: usize) -> ServiceSpec {
    ServiceSpec {
        id: format!("service-{number}").into(),
        kind: ServiceKind::Model {
            model: format!("model-{number}").into(),
        },
        pool: format!("pool-{number}").into(),
        default_deadline_ms: 60_000,
        max_deadline_ms: 600_000,
        non_idempotent: Vec::new(),
    }
}

fn model(number: usize) -> ModelSpec {
    ModelSpec {
        id: format!("model-{number}").into(),
        weights_version: "2026-11-01".to_owned(),
        max_context_tokens: 1_000_000,
        bytes_per_token: 4.0,
        adapters: Vec::new(),
    }
}

fn pool_spec(pool: usize, endpoints: usize) -> PoolSpec {
    let numbers = (0..endpoints).filter(|number| number % MODELS == pool);
    PoolSpec {
        id: format!("pool-{pool}").into(),
        kind: PoolKind::Engines {
            model: format!("model-{pool}").into(),
        },
        endpoints: numbers.map(endpoint).collect(),
    }
}

fn endpoint(number: usize) -> EndpointSpec {
    EndpointSpec {
        id: format!("engine-{number:05}").into(),
        host: format!("host-{number:05}").into(),
        failure_domain: format!("domain-{}", number % DOMAINS).into(),
        sidecar: (
            [10, (number >> 16) as u8, (number >> 8) as u8, number as u8],
            7_100,
        )
            .into(),
        memory_tokens: 2_000_000,
        order_check: OrderCheck::None,
    }
}

fn organisation(number: usize, rng: &mut ChaCha8Rng) -> OrganisationSpec {
    OrganisationSpec {
        id: format!("organisation-{number:05}").into(),
        key_hashes: (0..2).map(|_| key_hash(rng)).collect(),
        priority: PriorityTier::default(),
        weight: 1,
        limits: OrganisationLimits {
            requests_per_second: 50,
            ..OrganisationLimits::default()
        },
        services: vec!["service-0".into()],
    }
}

fn key_hash(rng: &mut ChaCha8Rng) -> String {
    format!("{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>())
}
