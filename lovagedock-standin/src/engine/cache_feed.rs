//! Feed of prefix cache events, published with a delay and with gaps.

use std::{collections::VecDeque, time::Duration};

use hyper::StatusCode;
use serde::Serialize;

use super::{
    memory::CacheChange,
    options::EngineOptions,
    routes::{EngineResponse, RouteError, RouteResult, json_response, query_value},
    state::EngineState,
};

const MAX_EVENTS: usize = 10_000;

/// Latest cache events, up to [`MAX_EVENTS`].
#[derive(Debug, Default)]
pub(crate) struct CacheFeed {
    sequence: u64,
    events: VecDeque<FeedEvent>,
}

#[derive(Clone, Copy, Debug)]
struct FeedEvent {
    visible_at: Duration,
    cache_event: CacheEvent,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct CacheEvent {
    seq: u64,
    hash: u64,
    stored: bool,
}

#[derive(Debug, Serialize)]
struct EventsResponse {
    /// Sequence number of the newest visible event.
    last: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Serialize)]
struct SnapshotResponse {
    seq: u64,
    hashes: Vec<u64>,
}

impl CacheFeed {
    pub(crate) fn push(&mut self, changes: &[CacheChange], now: Duration, options: &EngineOptions) {
        for change in changes {
            self.sequence += 1;
            let gap = options.cache_event_gap;
            if gap > 0 && self.sequence.is_multiple_of(gap) {
                continue;
            }
            let (hash, stored) = match *change {
                CacheChange::Stored(hash) => (hash, true),
                CacheChange::Removed(hash) => (hash, false),
            };
            let seq = self.sequence;
            self.events.push_back(FeedEvent {
                visible_at: now + options.cache_event_delay,
                cache_event: CacheEvent { seq, hash, stored },
            });
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn events_after(&self, after: u64, now: Duration) -> EventsResponse {
        let visible: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|event| event.visible_at <= now)
            .map(|event| event.cache_event)
            .collect();
        EventsResponse {
            last: visible.last().map_or(0, |cache_event| cache_event.seq),
            events: visible
                .into_iter()
                .filter(|cache_event| cache_event.seq > after)
                .collect(),
        }
    }
}

pub(crate) fn events(state: &EngineState, query: &str) -> RouteResult {
    let after = query_value(query, "after").and_then(|value| value.parse().ok());
    let Some(after) = after else {
        let message = "the query parameter `after` must be a number";
        return Err(RouteError::new(StatusCode::BAD_REQUEST, message));
    };
    let core = state.core.lock();
    Ok(json_response(
        &core.feed.events_after(after, core.batch.now()),
    ))
}

pub(crate) fn snapshot(state: &EngineState) -> EngineResponse {
    let mut core = state.core.lock();
    core.publish_cache();
    json_response(&SnapshotResponse {
        seq: core.feed.sequence,
        hashes: core.batch.memory().cached_hashes(),
    })
}
