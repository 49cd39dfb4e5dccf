//! Delivers an endpoint's response to the caller.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    HeaderMap, Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_ENCODING, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
    http::response::Parts,
};
use lovagedock::{AttemptEnd, EventSplitter, OutputPhase};
use tokio::time::{Instant, timeout_at};

use super::{
    dialect::EndpointHead,
    liveness::LivenessWatch,
    output_memory::{OutputRead, ResponseOutput},
    response::{BufferedResponse, ResponseSender},
};

/// Maximum body size of a response that is not a stream, in bytes; the size of the
/// largest value in the store.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Classifies a response by its head. Returns how the attempt ended, or `None` if this is a valid
/// response to `request`.
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
    // A mismatched request id means that this is the response to another request, which the caller
    // must not read.
    let is_mismatched = head.request.as_deref().is_some_and(|id| id != request);
    let encoded = response.headers().contains_key(CONTENT_ENCODING);
    if is_mismatched || encoded || (status.is_success() && !head.sealed) {
        return Some(AttemptEnd::Lost);
    }
    None
}

/// Returns the headers to forward to the caller.
pub(crate) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Reads a response that is not a stream. Returns `None` if it is incomplete.
pub(crate) async fn collect_response(
    response: Response<Incoming>,
    until: Instant,
    output: &ResponseOutput,
) -> Option<BufferedResponse> {
    let (head, body) = response.into_parts();
    output.set_phase(OutputPhase::Collecting);
    let body = timeout_at(until, collect_body(body, output)).await;
    output.set_phase(OutputPhase::Waiting);
    Some(BufferedResponse {
        status: head.status,
        headers: response_headers(&head.headers),
        body: body.ok()??,
    })
}

/// Reads a body in pieces. Returns `None` if it is incomplete or too long.
async fn collect_body(mut body: Incoming, output: &ResponseOutput) -> Option<Vec<Bytes>> {
    let mut pieces = Vec::new();
    let mut length = 0;
    loop {
        match next_piece(&mut body, output).await {
            StreamPiece::Bytes(bytes) => {
                length += bytes.len();
                if length > MAX_RESPONSE_BYTES {
                    return None;
                }
                pieces.push(output.reserve(bytes.len()).attach(bytes));
            }
            StreamPiece::Paused => output.wait_until_readable().await,
            StreamPiece::End => return Some(pieces),
            StreamPiece::Broken => return None,
        }
    }
}

/// Delivers a stream from one or more endpoints to the caller.
pub(crate) struct StreamDelivery {
    splitter: EventSplitter,
    last_event_id: Option<String>,
    event_count: u64,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    longest_gap: Duration,
    /// When the first event of the current attempt arrived.
    attempt_first_event_at: Option<Instant>,
    /// Whether the current attempt has sent two events.
    is_answering: bool,
}

/// Result of reading from a stream.
enum StreamPiece {
    Bytes(Bytes),
    /// The response may not be read further now.
    Paused,
    End,
    Broken,
}

/// How the delivery of a stream from one endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The attempt ended.
    Attempt(AttemptEnd),
    /// The caller has disconnected.
    CallerDisconnected,
}

/// Limits on the silence of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTimeouts {
    /// Time of the first probe if no event arrives.
    pub(crate) first_probe_at: Instant,
    /// Silence between two events after which the endpoint is probed.
    pub(crate) probe_gap: Duration,
    /// Whether another endpoint may resume the response. If none may, abandoning a live endpoint
    /// only cuts the response.
    pub(crate) may_resume: bool,
    /// Time until which a live endpoint may stay silent.
    pub(crate) silent_until: Instant,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
}

impl StreamTimeouts {
    /// Returns until when a live endpoint may stay silent if it is probed at `probe_at`.
    fn limit_after(&self, probe_at: Instant) -> Instant {
        match self.may_resume {
            true => (probe_at + self.probe_gap * 2).min(self.deadline),
            false => self.deadline,
        }
    }
}

impl StreamDelivery {
    /// Creates a delivery. `resume_after` is the last event that the caller already has.
    pub(crate) fn new(resume_after: Option<String>) -> Self {
        Self {
            splitter: EventSplitter::new(),
            last_event_id: resume_after,
            event_count: 0,
            first_event_at: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            attempt_first_event_at: None,
            is_answering: false,
        }
    }

    /// Resets the state of the previous attempt.
    pub(crate) fn begin_attempt(&mut self) {
        self.attempt_first_event_at = None;
        self.is_answering = false;
    }

    /// Returns whether the endpoint went on after the first event of the current attempt. An engine
    /// that the request ends may send one event before.
    pub(crate) fn is_answering(&self) -> bool {
        self.is_answering
    }

    /// Returns the time since the first event of the current attempt.
    pub(crate) fn attempt_stream_time(&self) -> Duration {
        let first_event_at = self.attempt_first_event_at;
        first_event_at.map_or(Duration::ZERO, |first_event_at| first_event_at.elapsed())
    }

    /// Returns the id of the last event that the caller has.
    pub(crate) fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Returns the number of delivered events.
    pub(crate) fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns when the first event was delivered.
    pub(crate) fn first_event_at(&self) -> Option<Instant> {
        self.first_event_at
    }

    /// Returns when the last event was delivered.
    pub(crate) fn last_event_at(&self) -> Option<Instant> {
        self.last_event_at
    }

    /// Returns the longest time between two delivered events.
    pub(crate) fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    /// Delivers a response until it ends. Calls `on_event` for each event with the time of the
    /// first delivered event, or the current time if there is none, and the longest gap so far.
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
        let output = sender.output().clone();
        let mut unsplit = output.reserve(0);
        let mut until = timeouts.first_probe_at;
        let mut limit = timeouts.silent_until.min(timeouts.deadline);
        let mut read_at: Option<Instant> = None;
        loop {
            let piece = tokio::select! {
                biased;
                piece = next_piece(&mut body, &output) => piece,
                () = self.wait_until_unresponsive(watch, until, limit) => StreamPiece::Broken,
            };
            match piece {
                StreamPiece::Bytes(bytes) => {
                    watch.record_activity();
                    unsplit.merge(output.reserve(bytes.len()));
                    self.splitter.push(&bytes);
                }
                StreamPiece::Paused => {
                    output.wait_until_readable().await;
                    // The endpoint was not silent: nothing was read from it.
                    read_at = None;
                    until = until.max(Instant::now() + timeouts.probe_gap);
                    limit = limit.max(timeouts.limit_after(until));
                    continue;
                }
                StreamPiece::End if !self.splitter.has_partial() => {
                    return self.finish(sender, &head).await;
                }
                StreamPiece::End | StreamPiece::Broken => return self.broken_end(sender),
            }
            while let Some(event) = self.splitter.next_event() {
                let bytes = unsplit.attach(event.bytes);
                let now = Instant::now();
                if let Some(before) = read_at.replace(now) {
                    watch.record_event_gap(now - before);
                    if !std::mem::replace(&mut self.is_answering, true) {
                        watch.record_answering();
                    }
                }
                self.attempt_first_event_at.get_or_insert(now);
                on_event(self.first_event_at.unwrap_or(now), self.longest_gap);
                if self.is_repeated(event.id.as_deref()) {
                    continue;
                }
                if !sender.has_begun() {
                    let headers = response_headers(&head.headers);
                    if sender.begin_stream(head.status, headers).is_err() {
                        return StreamEnd::CallerDisconnected;
                    }
                }
                if sender.send_chunk(bytes).await.is_err() {
                    return StreamEnd::CallerDisconnected;
                }
                self.event_count += 1;
                self.record_delivery(Instant::now());
                if event.id.is_some() {
                    self.last_event_id = event.id;
                }
                until = Instant::now() + timeouts.probe_gap;
                limit = timeouts.limit_after(until);
            }
        }
    }

    async fn wait_until_unresponsive(&self, watch: &LivenessWatch, until: Instant, limit: Instant) {
        match self.is_answering {
            true => watch.wait_while_answering(until, limit).await,
            false => watch.wait_until_unresponsive(until, limit).await,
        }
    }

    fn record_delivery(&mut self, now: Instant) {
        self.first_event_at.get_or_insert(now);
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }

    /// Returns whether the caller already has the event. An engine that resumes a stream may repeat
    /// events.
    fn is_repeated(&self, id: Option<&str>) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let last = self.last_event_id.as_deref().and_then(number);
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

async fn next_piece(body: &mut Incoming, output: &ResponseOutput) -> StreamPiece {
    loop {
        match output.read(body).await {
            OutputRead::Frame(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return StreamPiece::Bytes(bytes);
                }
            }
            OutputRead::Frame(Some(Err(_))) => return StreamPiece::Broken,
            OutputRead::Frame(None) => return StreamPiece::End,
            OutputRead::Paused => return StreamPiece::Paused,
        }
    }
}
