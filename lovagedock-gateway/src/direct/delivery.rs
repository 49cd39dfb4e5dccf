//! Takes an endpoint's answer and hands it to the caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_ENCODING, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
    http::response::Parts,
};
use lovagedock::{AttemptEnd, EventSplitter};
use tokio::time::{Instant, timeout_at};

use super::{
    dialect::EndpointHead,
    liveness::LivenessWatch,
    response::{BufferedResponse, ResponseSender},
};

/// Largest body of an answer that is not a stream, in bytes; the store's largest value.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Returns how the attempt ended, or `None` if the head is that of a valid answer to `request`.
pub(crate) fn classify_response(
    head: &EndpointHead,
    request: &str,
    response: &Response<Incoming>,
) -> Option<AttemptEnd> {
    let status = response.status();
    if status.as_u16() == 421 {
        return Some(AttemptEnd::Misdirected);
    }
    if head.not_run {
        return Some(AttemptEnd::NotRun);
    }
    // A crossed answer bears another request's id. Delivered, a caller would read what belongs to
    // another.
    let crossed = head.request.as_deref().is_some_and(|id| id != request);
    let encoded = response.headers().contains_key(CONTENT_ENCODING);
    if crossed || encoded || (status.is_success() && !head.sealed) {
        return Some(AttemptEnd::Lost);
    }
    None
}

/// Headers for the caller.
pub(crate) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Collects an answer that is not a stream; `None` if it did not come whole.
pub(crate) async fn collect_response(
    response: Response<Incoming>,
    until: Instant,
) -> Option<BufferedResponse> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    let body = timeout_at(until, body).await.ok()?.ok()?.to_bytes();
    Some(BufferedResponse {
        status: head.status,
        headers: response_headers(&head.headers),
        body,
    })
}

/// A stream on its way from an endpoint to the caller.
pub(crate) struct StreamDelivery {
    splitter: EventSplitter,
    last_id: Option<String>,
    events: u64,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    longest_gap: Duration,
    /// First event of the present attempt.
    attempt_first_at: Option<Instant>,
}

/// What reading the next piece of a stream gave.
enum StreamPiece {
    Bytes(Bytes),
    End,
    Broken,
}

/// How the delivery of a stream from one endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The attempt ended.
    Attempt(AttemptEnd),
    /// The caller has gone.
    CallerDisconnected,
}

/// How long a stream may stay silent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTimeouts {
    /// Until the first event.
    pub(crate) first_event: Instant,
    /// Between events.
    pub(crate) gap: Duration,
    /// Whether another endpoint may continue the answer. If none may, giving up one that is there
    /// only cuts it.
    pub(crate) may_resume: bool,
    /// Until when a silent endpoint that is there may go on.
    pub(crate) limit: Instant,
    /// End of the request's time.
    pub(crate) deadline: Instant,
}

impl StreamDelivery {
    /// A stream that has not begun; `resume_after` is the event that the caller has already.
    pub(crate) fn new(resume_after: Option<String>) -> Self {
        Self {
            splitter: EventSplitter::new(),
            last_id: resume_after,
            events: 0,
            first_at: None,
            last_at: None,
            longest_gap: Duration::ZERO,
            attempt_first_at: None,
        }
    }

    /// Says that another endpoint is about to answer.
    pub(crate) fn begin_attempt(&mut self) {
        self.attempt_first_at = None;
    }

    /// Time since the first event of the present attempt.
    pub(crate) fn attempt_stream_time(&self) -> Duration {
        let first_at = self.attempt_first_at;
        first_at.map_or(Duration::ZERO, |first_at| first_at.elapsed())
    }

    /// The last event that the caller has.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Events that were delivered.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// When the first event was delivered.
    pub(crate) fn first_at(&self) -> Option<Instant> {
        self.first_at
    }

    /// When the last event was delivered.
    pub(crate) fn last_at(&self) -> Option<Instant> {
        self.last_at
    }

    /// Longest pause between two events that were delivered.
    pub(crate) fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    /// Delivers an answer until it ends; `on_event` is called for each event of this answer with the
    /// first one's time, if an earlier one was delivered, and the longest pause so far.
    pub(crate) async fn run(
        &mut self,
        response: Response<Incoming>,
        sender: &mut ResponseSender,
        timeouts: StreamTimeouts,
        watch: &LivenessWatch,
        mut on_event: impl FnMut(Instant, Duration),
    ) -> StreamEnd {
        let (head, mut body) = response.into_parts();
        self.splitter = EventSplitter::new();
        let mut until = timeouts.first_event;
        let mut limit = timeouts.limit.min(timeouts.deadline);
        let mut read_at: Option<Instant> = None;
        loop {
            let piece = tokio::select! {
                biased;
                piece = next_piece(&mut body) => piece,
                () = watch.wait_until_unresponsive(until, limit) => StreamPiece::Broken,
            };
            match piece {
                StreamPiece::Bytes(bytes) => {
                    watch.record_activity();
                    self.splitter.push(&bytes);
                }
                StreamPiece::End if !self.splitter.has_partial() => {
                    return self.finish(sender, &head).await;
                }
                StreamPiece::End | StreamPiece::Broken => return self.broken_end(sender),
            }
            while let Some(event) = self.splitter.next_event() {
                let now = Instant::now();
                if let Some(before) = read_at.replace(now) {
                    watch.record_event_gap(now - before);
                }
                self.attempt_first_at.get_or_insert(now);
                on_event(self.first_at.unwrap_or(now), self.longest_gap);
                if self.is_repeated(event.id.as_deref()) {
                    continue;
                }
                if !sender.has_begun() {
                    let headers = response_headers(&head.headers);
                    if sender.begin_stream(head.status, headers).is_err() {
                        return StreamEnd::CallerDisconnected;
                    }
                }
                if sender.send_chunk(event.bytes).await.is_err() {
                    return StreamEnd::CallerDisconnected;
                }
                self.events += 1;
                self.record_delivery(Instant::now());
                if event.id.is_some() {
                    self.last_id = event.id;
                }
                until = Instant::now() + timeouts.gap;
                limit = match timeouts.may_resume {
                    true => (until + timeouts.gap * 2).min(timeouts.deadline),
                    false => timeouts.deadline,
                };
            }
        }
    }

    fn record_delivery(&mut self, now: Instant) {
        self.first_at.get_or_insert(now);
        if let Some(last) = self.last_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }

    /// An engine that continues a stream may begin with events that the caller has.
    fn is_repeated(&self, id: Option<&str>) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let last = self.last_id.as_deref().and_then(number);
        match (last, id.and_then(number)) {
            (Some(last), Some(id)) => id <= last,
            _ => false,
        }
    }

    async fn finish(&self, sender: &mut ResponseSender, head: &Parts) -> StreamEnd {
        if !sender.has_begun() {
            let headers = response_headers(&head.headers);
            if sender.begin_stream(head.status, headers).is_err() {
                return StreamEnd::CallerDisconnected;
            }
        }
        sender.finish().await;
        StreamEnd::Attempt(AttemptEnd::Complete)
    }

    fn broken_end(&self, sender: &ResponseSender) -> StreamEnd {
        StreamEnd::Attempt(match sender.has_begun() {
            true => AttemptEnd::Broken,
            false => AttemptEnd::Lost,
        })
    }
}

async fn next_piece(body: &mut Incoming) -> StreamPiece {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return StreamPiece::Bytes(bytes);
                }
            }
            None => return StreamPiece::End,
            Some(Err(_)) => return StreamPiece::Broken,
        }
    }
}
