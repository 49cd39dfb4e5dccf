//! What engines tell and take besides requests: load, cache events and orders, for every vendor with its
//! stand-in.

mod support;

use std::time::Duration;

use lovagedock::prelude::RanState;
use lovagedock_sidecar::adapter::{CacheChange, EngineError, EngineOrder, OrderKind};
use lovagedock_standin::engine::{EngineOptions, PREFIX_CHUNK_TOKENS, prefix_hashes};
use support::{
    MODEL, VENDORS, answer, bench, bench_with, endless_request, first_bytes, request, until,
};

const ANSWER_TOKENS: u64 = 12;
/// Longer than any test lasts, even in model time.
const FOREVER: Duration = Duration::from_secs(1_000_000);

#[tokio::test]
async fn the_reported_load_lags() {
    for vendor in &VENDORS {
        let lagging = EngineOptions {
            load_lag: FOREVER,
            ..EngineOptions::default()
        };
        let current = EngineOptions {
            load_lag: Duration::ZERO,
            ..EngineOptions::default()
        };
        let lagging = bench_with(vendor, lagging).await;
        let current = bench_with(vendor, current).await;
        let idle = lagging.adapter.load().await.unwrap();
        assert_eq!((idle.running, idle.free_tokens), (0, 400_000));
        assert_eq!((idle.model.as_str(), idle.role.as_str()), (MODEL, "any"));

        let mut streams = Vec::new();
        for bench in [&lagging, &current] {
            let mut stream = bench.adapter.start(endless_request()).await.unwrap();
            first_bytes(&mut stream).await;
            streams.push(stream);
        }
        until(async || current.adapter.load().await.unwrap().running == 1).await;
        let busy = current.adapter.load().await.unwrap();
        assert_eq!(busy.free_tokens, 400_000 - 300_016);
        assert_eq!(lagging.adapter.load().await.unwrap(), idle);
    }
}

/// Cache events come late and some never. The adapter tells of the gap, and a snapshot holds
/// what the missing events would have told.
#[tokio::test]
async fn cache_events_are_late_and_have_gaps() {
    let pieces = 8;
    let prompt = "p".repeat((pieces * PREFIX_CHUNK_TOKENS * 4) as usize);
    for vendor in &VENDORS {
        let gappy = EngineOptions {
            cache_event_delay: Duration::ZERO,
            cache_event_gap: 3,
            ..EngineOptions::default()
        };
        let late = EngineOptions {
            cache_event_delay: FOREVER,
            ..EngineOptions::default()
        };
        let gappy = bench_with(vendor, gappy).await;
        let late = bench_with(vendor, late).await;
        for bench in [&gappy, &late] {
            answer(&*bench.adapter, request(&prompt, 1, true))
                .await
                .unwrap();
        }
        until(async || gappy.adapter.cache_events(7).await.unwrap().events.len() == 1).await;

        let report = gappy.adapter.cache_events(0).await.unwrap();
        let sequences: Vec<_> = report.events.iter().map(|event| event.sequence).collect();
        assert_eq!(sequences, [1, 2, 4, 5, 7, 8]);
        assert!(report.has_gap);
        let stored = CacheChange::Stored(prefix_hashes(&prompt)[0]);
        assert_eq!(report.events[0].change, stored);
        assert!(!gappy.adapter.cache_events(7).await.unwrap().has_gap);

        let mut hashes = prefix_hashes(&prompt);
        hashes.sort_unstable();
        let snapshot = gappy.adapter.cache_snapshot().await.unwrap();
        assert_eq!((snapshot.sequence, snapshot.hashes), (pieces, hashes));

        let report = late.adapter.cache_events(0).await.unwrap();
        assert!(report.events.is_empty() && !report.has_gap);
        // An engine that began anew is behind the number that was seen before.
        assert!(late.adapter.cache_events(7).await.unwrap().has_gap);
    }
}

#[tokio::test]
async fn a_known_prefix_is_reported_as_cached() {
    let prompt = "p".repeat((2 * PREFIX_CHUNK_TOKENS * 4) as usize);
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut cached = Vec::new();
        for tail in ["first tail", "second tail"] {
            let request = request(&format!("{prompt}{tail}"), ANSWER_TOKENS, true);
            let answer = answer(&*bench.adapter, request).await.unwrap();
            cached.push(answer.end.cached_tokens);
        }
        assert_eq!(cached, [0, 2 * PREFIX_CHUNK_TOKENS]);
    }
}

/// A former lease holder gives an order with its old fencing number. An engine that checks
/// refuses it; one that does not carries it out, which is why the sidecar has to check.
#[tokio::test]
async fn orders_with_an_old_fencing_number() {
    struct Case {
        checks_fences: bool,
        status: Option<u16>,
        role: &'static str,
    }
    let cases = [
        Case {
            checks_fences: true,
            status: Some(409),
            role: "long",
        },
        Case {
            checks_fences: false,
            status: None,
            role: "short",
        },
    ];
    let role_order = |fence, role: &str| EngineOrder {
        fence,
        kind: OrderKind::SetRole {
            role: role.to_owned(),
        },
    };
    for vendor in &VENDORS {
        for case in &cases {
            let options = EngineOptions {
                checks_fences: case.checks_fences,
                load_lag: Duration::ZERO,
                ..EngineOptions::default()
            };
            let bench = bench_with(vendor, options).await;
            let adapter = &bench.adapter;
            adapter.order(role_order(5, "long")).await.unwrap();
            let status = match adapter.order(role_order(4, "short")).await {
                Err(EngineError::Refused { status, .. }) => Some(status),
                _ => None,
            };
            assert_eq!(status, case.status);
            until(async || adapter.load().await.unwrap().role == case.role).await;
        }
    }
}

#[tokio::test]
async fn loading_shows_in_the_load() {
    for vendor in &VENDORS {
        let options = EngineOptions {
            load_lag: Duration::ZERO,
            ..EngineOptions::default()
        };
        let bench = bench_with(vendor, options).await;
        let kinds = [
            OrderKind::LoadAdapter {
                adapter: "kerala".to_owned(),
                version: "2".to_owned(),
            },
            OrderKind::LoadModel {
                model: "profile-drafter".to_owned(),
                version: "7".to_owned(),
            },
        ];
        for kind in kinds {
            bench
                .adapter
                .order(EngineOrder { fence: 1, kind })
                .await
                .unwrap();
        }
        until(async || bench.adapter.load().await.unwrap().model == "profile-drafter").await;
        assert_eq!(bench.adapter.load().await.unwrap().adapters, ["kerala"]);
        let orders = bench.engine.journal.orders();
        let kinds: Vec<_> = orders.iter().map(|order| order.kind.as_str()).collect();
        assert_eq!(
            kinds,
            ["load_adapter kerala 2", "load_model profile-drafter 7"]
        );
        let refused = bench.adapter.start(endless_request()).await.err().unwrap();
        assert_eq!(refused.ran(), RanState::No);
    }
}
