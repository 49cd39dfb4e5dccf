//! Sends calls as callers behind the platform's load balancer do, and records the outcomes.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use lovagedock::{RanState, ResultCode, Timestamp, parse_request_id};
use lovagedock_daemon::ProcessClock;
use serde::Deserialize;
use tokio::time;

use super::{
    journal::{AnswerCheck, CallOutcome, CallRecord},
    message::{CallMessage, ModelResponse},
    mix::MixSpec,
    schedule::PlannedCall,
    sse::SseParser,
};

/// Response header with the id of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header with the deadline of the call in milliseconds.
const DEADLINE_HEADER: &str = "x-lovagedock-deadline-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const STREAM_END: &str = "[DONE]";
/// Time after the deadline for which a caller still waits, to distinguish a late outcome from no
/// outcome.
const OUTCOME_WAIT: Duration = Duration::from_secs(5);

/// Gateway that callers can send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayTarget {
    /// Name of the gateway in the callers' journal.
    pub name: String,
    /// Address on which the gateway listens for callers.
    pub address: SocketAddr,
}

/// Reason why a [`CallerClient`] cannot be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerError {
    /// The list of gateways is empty.
    NoGateways,
}

impl Display for CallerError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoGateways => f.write_str("the list of gateways is empty"),
        }
    }
}

impl std::error::Error for CallerError {}

/// State of a gateway in the simulated load balancer.
struct BalancedGateway {
    target: GatewayTarget,
    /// Whether the gateway reported that it is stopping. The balancer sends no more calls to it.
    is_removed: AtomicBool,
}

/// Sends calls to the gateways in turn. Skips gateways that refuse connections or reported that
/// they are stopping.
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    gateways: Vec<BalancedGateway>,
    next: AtomicUsize,
    clock: ProcessClock,
}

impl BalancedGateway {
    fn new(target: GatewayTarget) -> Self {
        Self {
            target,
            is_removed: AtomicBool::new(false),
        }
    }
}

impl CallerClient {
    /// Creates a client that records times of `clock`.
    pub fn new(gateways: Vec<GatewayTarget>, clock: ProcessClock) -> Result<Self, CallerError> {
        if gateways.is_empty() {
            return Err(CallerError::NoGateways);
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            gateways: gateways.into_iter().map(BalancedGateway::new).collect(),
            next: AtomicUsize::new(0),
            clock,
        })
    }

    /// Sends one call and waits for its outcome.
    pub(crate) async fn call(
        &self,
        mix: &MixSpec,
        call: &PlannedCall,
        message: CallMessage,
        intended_at: Timestamp,
    ) -> CallRecord {
        let organisation = &mix.organisations[call.organisation];
        let sent_at = self.clock.now();
        let mut record = CallRecord {
            number: call.number,
            request: None,
            organisation: organisation.id.clone(),
            service: message.service.clone(),
            bucket: message.bucket,
            key: call.key.clone(),
            non_idempotent: message.non_idempotent,
            gateway: String::new(),
            intended_at,
            sent_at,
            first_token_at: None,
            token_gaps: Vec::new(),
            ended_at: sent_at,
            deadline: call.deadline,
            outcome: CallOutcome::NoOutcome,
            answer: AnswerCheck::Prefix,
            answer_digest: None,
        };
        let limit = call.deadline + OUTCOME_WAIT;
        let exchange = self.exchange(call, &organisation.key, &message, &mut record);
        // After a timeout, the record keeps what was received so far and its outcome is
        // `NoOutcome`.
        let _ = time::timeout(limit, exchange).await;
        record.ended_at = self.clock.now();
        record
    }

    async fn exchange(
        &self,
        call: &PlannedCall,
        api_key: &str,
        message: &CallMessage,
        record: &mut CallRecord,
    ) {
        let response = match self.send(call, api_key, message, record).await {
            Ok(response) => response,
            Err(outcome) => {
                record.outcome = outcome;
                return;
            }
        };
        record.request = request_id(response.headers());
        if !response.status().is_success() {
            record.outcome = read_problem(response).await;
            self.remove_if_stopping(record);
            return;
        }
        let mut reader = ResponseReader {
            clock: &self.clock,
            content: Vec::new(),
            last_chunk_at: None,
        };
        record.outcome = match message.streamed {
            true => reader.read_stream(response, record).await,
            false => reader.read_body(response, message).await,
        };
        record.answer = message.expected_answer.check(&reader.content);
        if record.outcome == CallOutcome::Complete {
            record.answer_digest = Some(*blake3::hash(&reader.content).as_bytes());
        }
    }

    /// Removes a gateway that reported that it is stopping, as health checks of a balancer would
    /// do.
    fn remove_if_stopping(&self, record: &CallRecord) {
        let stopping = ResultCode::GatewayStopping.number();
        if !matches!(record.outcome, CallOutcome::Problem { code, .. } if code == stopping) {
            return;
        }
        let mut gateways = self.gateways.iter();
        if let Some(gateway) = gateways.find(|it| it.target.name == record.gateway) {
            gateway.is_removed.store(true, Ordering::Relaxed);
        }
    }

    async fn send(
        &self,
        call: &PlannedCall,
        api_key: &str,
        message: &CallMessage,
        record: &mut CallRecord,
    ) -> Result<Response<Incoming>, CallOutcome> {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for offset in 0..self.gateways.len() {
            let gateway = &self.gateways[(first + offset) % self.gateways.len()];
            if gateway.is_removed.load(Ordering::Relaxed) {
                continue;
            }
            record.gateway.clone_from(&gateway.target.name);
            let request = request_to(gateway.target.address, call, api_key, message);
            match self.client.request(request).await {
                Ok(response) => return Ok(response),
                // No request was sent, so the balancer may try the next gateway.
                Err(error) if error.is_connect() => continue,
                Err(_) => return Err(CallOutcome::Broken),
            }
        }
        Err(CallOutcome::Unsent)
    }
}

struct ResponseReader<'a> {
    clock: &'a ProcessClock,
    content: Vec<u8>,
    last_chunk_at: Option<Timestamp>,
}

impl ResponseReader<'_> {
    async fn read_stream(
        &mut self,
        mut response: Response<Incoming>,
        record: &mut CallRecord,
    ) -> CallOutcome {
        let mut parser = SseParser::new();
        let mut outcome = CallOutcome::Broken;
        while let Some(frame) = response.body_mut().frame().await {
            let Ok(frame) = frame else {
                return outcome;
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            for event in parser.push(&bytes) {
                if event.data == STREAM_END {
                    outcome = CallOutcome::Complete;
                } else if let Some(problem) = parse_problem(event.data.as_bytes()) {
                    outcome = problem;
                } else {
                    self.add_chunk(&event.data, record);
                }
            }
        }
        outcome
    }

    fn add_chunk(&mut self, data: &str, record: &mut CallRecord) {
        let Ok(chunk) = serde_json::from_str::<ModelResponse>(data) else {
            return;
        };
        if chunk.text().is_empty() {
            return;
        }
        let now = self.clock.now();
        match self.last_chunk_at {
            Some(last) => record.token_gaps.push(now.saturating_sub(last)),
            None => record.first_token_at = Some(now),
        }
        self.last_chunk_at = Some(now);
        self.content.extend_from_slice(chunk.text().as_bytes());
    }

    async fn read_body(
        &mut self,
        response: Response<Incoming>,
        message: &CallMessage,
    ) -> CallOutcome {
        let Ok(body) = response.into_body().collect().await else {
            return CallOutcome::Broken;
        };
        let bytes = body.to_bytes();
        if message.bucket.is_none() {
            self.content = bytes.to_vec();
            return CallOutcome::Complete;
        }
        if let Ok(parsed) = serde_json::from_slice::<ModelResponse>(&bytes) {
            self.content = parsed.text().as_bytes().to_vec();
        }
        CallOutcome::Complete
    }
}

fn request_to(
    address: SocketAddr,
    call: &PlannedCall,
    api_key: &str,
    message: &CallMessage,
) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(message.method.as_str())
        .uri(format!("http://{address}{}", message.path))
        .header(AUTHORIZATION, format!("Bearer {api_key}"))
        .header(CONTENT_TYPE, "application/json")
        .header(DEADLINE_HEADER, call.deadline.as_millis().to_string());
    if let Some(key) = &call.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    request
        .body(Full::new(message.body.clone()))
        .expect("the mix has valid methods and paths")
}

fn request_id(headers: &HeaderMap) -> Option<u128> {
    let value = headers.get(REQUEST_ID_HEADER)?;
    parse_request_id(value.to_str().ok()?)
}

async fn read_problem(response: Response<Incoming>) -> CallOutcome {
    let Ok(body) = response.into_body().collect().await else {
        return CallOutcome::Broken;
    };
    // If the body does not state whether the request ran, the caller cannot know it, as with a
    // broken connection.
    parse_problem(&body.to_bytes()).unwrap_or(CallOutcome::Broken)
}

#[derive(Deserialize)]
struct ProblemBody {
    code: u16,
    ran: RanState,
}

#[derive(Deserialize)]
struct WrappedProblem {
    error: ProblemBody,
}

/// Parses a problem document, either a plain one or the `error` field of a stream's last event.
fn parse_problem(bytes: &[u8]) -> Option<CallOutcome> {
    let problem = serde_json::from_slice::<ProblemBody>(bytes)
        .or_else(|_| serde_json::from_slice::<WrappedProblem>(bytes).map(|wrapped| wrapped.error))
        .ok()?;
    Some(CallOutcome::Problem {
        code: problem.code,
        ran: problem.ran,
    })
}
