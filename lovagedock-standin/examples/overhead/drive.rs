//! Sends requests and measures their time to first token.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use tokio::time::sleep;

/// Answer tokens per request.
const ANSWER_TOKENS: u64 = 16;
const WARM_UP_REQUESTS: usize = 50;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Text that is repeated [`PROMPT_REPEATS`] times. The prompt has about 250 tokens, so that the
/// engine's share of the latency is small.
const PROMPT: &str = "the log of the Sala, ";
const PROMPT_REPEATS: usize = 48;

/// Address and content of the requests.
#[derive(Clone)]
pub(crate) struct CallTarget {
    client: Client<HttpConnector, Full<Bytes>>,
    uri: String,
    key: String,
    body: Bytes,
}

/// Quantiles of the time to first token.
pub(crate) struct FirstTokenTimes {
    /// Median.
    pub(crate) p50: Duration,
    /// 95th percentile.
    pub(crate) p95: Duration,
}

/// Time to first token with and without gateway and sidecar, measured alternately.
pub(crate) struct LatencyResult {
    /// Requests through gateway and sidecar.
    pub(crate) via_gateway: FirstTokenTimes,
    /// Requests sent directly to the engine.
    pub(crate) direct: FirstTokenTimes,
}

/// Results of a load.
pub(crate) struct LoadResult {
    /// Number of complete responses.
    pub(crate) served: u64,
    /// Number of failed requests.
    pub(crate) failed: u64,
    /// Time from the first request to the last response.
    pub(crate) elapsed: Duration,
}

impl CallTarget {
    /// Creates a target for streamed completions of one prompt.
    pub(crate) fn new(address: SocketAddr, key: &str, model: &str) -> Self {
        let body = json!({
            "model": model,
            "prompt": PROMPT.repeat(PROMPT_REPEATS),
            "max_tokens": ANSWER_TOKENS,
            "stream": true,
        });
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            uri: format!("http://{address}/v1/completions"),
            key: format!("Bearer {key}"),
            body: Bytes::from(body.to_string()),
        }
    }

    /// Sends a request and returns the time to the first chunk; `None` if the response is
    /// incomplete.
    async fn call(&self) -> Option<Duration> {
        let request = Request::post(&self.uri)
            .header("authorization", &self.key)
            .header("content-type", "application/json")
            .body(Full::new(self.body.clone()))
            .ok()?;
        let sent = Instant::now();
        let mut response = self.client.request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let _first = response.body_mut().frame().await?.ok()?;
        let first_token = sent.elapsed();
        response.into_body().collect().await.ok()?;
        Some(first_token)
    }
}

/// Waits until the target returns a complete response.
pub(crate) async fn wait_until_served(target: &CallTarget) {
    while target.call().await.is_none() {
        sleep(READY_POLL_INTERVAL).await;
    }
}

/// Calls both targets alternately, so that other load on the machine affects both alike.
pub(crate) async fn compare_latency(
    via_gateway: &CallTarget,
    direct: &CallTarget,
    requests: usize,
) -> LatencyResult {
    let mut times = [Vec::new(), Vec::new()];
    for number in 0..WARM_UP_REQUESTS + requests {
        for (target, times) in [via_gateway, direct].into_iter().zip(&mut times) {
            let time = target.call().await;
            if number >= WARM_UP_REQUESTS {
                times.push(time.expect("an idle fleet serves every request"));
            }
        }
    }
    let [via_gateway, direct] = times.map(quantiles);
    LatencyResult {
        via_gateway,
        direct,
    }
}

/// Keeps `in_flight` requests in flight for `time`.
pub(crate) async fn load(target: &CallTarget, in_flight: usize, time: Duration) -> LoadResult {
    let target = Arc::new(target.clone());
    let started = Instant::now();
    let callers: Vec<_> = (0..in_flight)
        .map(|_| {
            let target = Arc::clone(&target);
            tokio::spawn(async move {
                let (mut served, mut failed) = (0, 0);
                while started.elapsed() < time {
                    match target.call().await {
                        Some(_) => served += 1,
                        None => failed += 1,
                    }
                }
                (served, failed)
            })
        })
        .collect();
    let mut result = LoadResult {
        served: 0,
        failed: 0,
        elapsed: Duration::ZERO,
    };
    for caller in callers {
        let (served, failed) = caller.await.expect("a caller does not panic");
        result.served += served;
        result.failed += failed;
    }
    result.elapsed = started.elapsed();
    result
}

fn quantiles(mut times: Vec<Duration>) -> FirstTokenTimes {
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    FirstTokenTimes {
        p50: at(50),
        p95: at(95),
    }
}
