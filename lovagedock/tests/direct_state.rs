//! Tests of configuration, endpoints, watcher selection, retries and event streams of a gateway
//! without sidecars.

mod direct_support;

use std::time::Duration;

use lovagedock::{
    DirectEndpoint, EndpointProcess, EndpointState, EndpointTable, EntryChange, EventSplitter,
    PeerContact, RetryShare, RetryShareSettings, RouteMatch, RouteMode, RouteRule, RouteTarget,
    TrafficConfig, WatchRole, WatcherSelection, prelude::*,
};

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        mode: RouteMode::Idempotent,
        timeout: ms(1_000),
        objective: ms(100),
        gap_objective: None,
        priority: 1,
        targets: vec![RouteTarget {
            service: "service".into(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
    }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let config = TrafficConfig::new(1)
        .with_route(route("short", "a.example", "/x/"))
        .with_route(route("long", "a.example", "/x/y/"))
        .with_route(route("other", "b.example", "/"));
    let cases = [
        RouteCase {
            host: "a.example",
            path: "/x/1",
            expected: Some("short"),
        },
        RouteCase {
            host: "a.example",
            path: "/x/y/1",
            expected: Some("long"),
        },
        RouteCase {
            host: "A.Example:8080",
            path: "/x/y/",
            expected: Some("long"),
        },
        RouteCase {
            host: "b.example",
            path: "/x/y/",
            expected: Some("other"),
        },
        RouteCase {
            host: "a.example",
            path: "/z",
            expected: None,
        },
        RouteCase {
            host: "c.example",
            path: "/x/",
            expected: None,
        },
    ];
    for case in cases {
        let found = match config.route(case.host, case.path) {
            RouteMatch::Found(route) => Some(route.name.as_str()),
            RouteMatch::Unknown => None,
        };
        assert_eq!(found, case.expected, "{}{}", case.host, case.path);
    }
}

/// Guards against a share of a route that differs from its weight, and against requests to a target
/// with weight 0.
#[test]
fn weights_split_a_route() {
    let mut rule = route("split", "a.example", "/");
    rule.targets = vec![
        RouteTarget {
            service: "none".into(),
            weight: 0,
        },
        RouteTarget {
            service: "much".into(),
            weight: 9,
        },
        RouteTarget {
            service: "little".into(),
            weight: 1,
        },
    ];
    let picks = |draw| rule.pick_service(draw).map(|service| service.to_string());
    assert_eq!(picks(0.0).as_deref(), Some("much"));
    assert_eq!(picks(0.89).as_deref(), Some("much"));
    assert_eq!(picks(0.95).as_deref(), Some("little"));
    assert_eq!(picks(1.0).as_deref(), Some("little"));
}

#[test]
fn keys_are_needed_where_keys_are_used() {
    let mut public = route("public", "a.example", "/");
    public.public = true;
    let closed = route("closed", "a.example", "/x/");
    let open = TrafficConfig::new(1);
    let keyed = TrafficConfig::new(2).with_key("secret", "org".into(), Some(3));
    assert!(!open.needs_key(&closed));
    assert!(keyed.needs_key(&closed) && !keyed.needs_key(&public));
    let (organisation, priority) = keyed.key_holder("secret").expect("the key is known");
    assert_eq!((&**organisation, priority), ("org", Some(3)));
    assert!(keyed.key_holder("other").is_none());
}

fn endpoint(state: EndpointState) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new("i-1", 1),
        service: "service".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "a".into(),
        slots: 4,
        state,
        cold_left: Duration::ZERO,
    }
}

/// Guards against requests to an endpoint that announced that it is leaving.
///
/// An entry that was read late says "ready" after one that said "draining". If it were applied, the
/// endpoint would get work and exit before the work ends.
#[test]
fn a_draining_endpoint_stays_draining() {
    let mut table = EndpointTable::new();
    let mut insert = |state| table.insert(ms(0), endpoint(state));
    assert_eq!(insert(EndpointState::Ready), EntryChange::Changed);
    assert_eq!(insert(EndpointState::Draining), EntryChange::Changed);
    assert_eq!(insert(EndpointState::Ready), EntryChange::Unchanged);
    assert_eq!(table.ready(&"service".into()).count(), 0);
    assert_eq!(table.unlisted(&[]), vec![EndpointId::from("i-1")]);
    assert!(table.remove(&"i-1".into()).is_some());
    assert_eq!(table.all().count(), 0);
}

struct RoleCase {
    name: &'static str,
    own: &'static str,
    /// Name, time since the latest message, and whether the store is reachable.
    peers: &'static [(&'static str, u64, bool)],
    role: WatchRole,
}

/// Three gateways watch. The others rely on them while at least two are reachable and reach the
/// store.
const ROLE_CASES: &[RoleCase] = &[
    RoleCase {
        name: "alone",
        own: "a1",
        peers: &[],
        role: WatchRole::Watcher,
    },
    RoleCase {
        name: "one of three",
        own: "a2",
        peers: &[("a1", 100, true), ("b1", 100, true)],
        role: WatchRole::Watcher,
    },
    RoleCase {
        name: "three other watchers",
        own: "a2",
        peers: &[
            ("a1", 100, true),
            ("b1", 100, true),
            ("b2", 100, true),
            ("c1", 100, true),
            ("c2", 100, true),
        ],
        role: WatchRole::Follower,
    },
    RoleCase {
        name: "three other watchers, one reaches the store",
        own: "a2",
        peers: &[
            ("a1", 100, true),
            ("b1", 100, false),
            ("b2", 100, true),
            ("c1", 100, false),
            ("c2", 100, true),
        ],
        role: WatchRole::Fallback,
    },
    RoleCase {
        name: "the other watchers are silent",
        own: "a2",
        peers: &[
            ("a1", 2_000, true),
            ("b1", 2_000, true),
            ("b2", 2_000, true),
            ("c1", 2_000, true),
        ],
        role: WatchRole::Watcher,
    },
];

#[test]
fn few_gateways_watch_and_all_learn_of_changes() {
    for case in ROLE_CASES {
        let now = ms(10_000);
        let mut selection = WatcherSelection::new();
        for (name, silent_ms, store_reachable) in case.peers {
            let contact = PeerContact {
                received_at: now - ms(*silent_ms),
                store_reachable: *store_reachable,
            };
            selection.record_peer((*name).into(), contact);
        }
        assert_eq!(
            selection.role(now, &case.own.into()),
            case.role,
            "{}",
            case.name
        );
    }
}

/// Guards against retries that exceed the operator's limit for all gateways together.
///
/// Eight gateways reach each other. Each gets requests for a failing service and retries as often
/// as its share allows, for two windows. In any window, the sum stays within the ratio and the
/// slack.
#[test]
fn retries_of_all_gateways_stay_within_the_limit() {
    let settings = RetryShareSettings {
        ratio: 0.2,
        slack: 104.0,
        window: Duration::from_secs(10),
    };
    let gateways = 8;
    let mut shares: Vec<RetryShare> = (0..gateways)
        .map(|_| RetryShare::new(ms(0), settings, gateways))
        .collect();
    let mut retries = vec![0.0_f64; 200];
    let requests_per_tick = 1.0;
    for (tick, retried) in retries.iter_mut().enumerate() {
        let now = ms(tick as u64 * 100);
        for share in &mut shares {
            share.record_request(now);
            while share.try_consume(now) {
                *retried += 1.0;
            }
        }
    }
    let allowed = 0.2 * requests_per_tick * gateways as f64 * 100.0 + 104.0;
    for window in retries.windows(100) {
        let sum: f64 = window.iter().sum();
        assert!(sum <= allowed, "{sum} of {allowed}");
    }
}

/// Guards against partial events, however the stream is split in transit.
#[test]
fn only_whole_events_are_returned() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for step in 1..stream.len() {
        let mut splitter = EventSplitter::new();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for piece in stream.chunks(step) {
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                ids.extend(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, ["1", "2"], "pieces of {step}");
        assert!(stream.starts_with(&bytes) && splitter.has_partial());
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
