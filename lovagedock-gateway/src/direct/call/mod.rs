//! Runs one request from placement to the last byte of its response.

mod log;
mod parts;
mod placement;
mod process_end;
mod returns;
mod shares;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, StatusCode};
use lovagedock::{
    AttemptEnd, DirectEndpoint, DirectMachine, DirectPlacer, DirectStep, EndpointProcess,
    LengthBand, LengthOutcome, OutlierEvent, PartVerdict, QueueKind, RequestFingerprint,
    prelude::*, route_tag,
};
use tokio::time::Instant;

use super::{
    delivery::{StreamDelivery, StreamEnd, StreamTimeouts, classify_response, collect_response},
    dialect::{HelperAddress, HttpDialect, OutgoingHead},
    exchange::EndpointConnection,
    liveness::LivenessWatch,
    request_body::OutgoingBody,
    reservations::{ReservationClient, ReservationGuard, ReservationRefused, ReservationRequest},
    response::{BufferedResponse, ResponseSender},
    state::{BookingGuard, GatewayState, PlacedRequest, RejectedChoice, ReturnAdvice, TeamTiming},
};
use crate::front::RequestProblem;

use returns::RequestReturn;
use shares::ShareStage;

pub(crate) use parts::CallParts;

/// Time beyond the predicted first event after which a silent engine is probed. A live engine is
/// late by a few passes of up to half a second.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1500);

/// Further silence that is tolerated from an engine that still accepts connections. After this
/// time, an engine that accepts connections but sends no response is abandoned.
const SLOW_ENGINE_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence before the end of an attempt that indicates an engine that lost power or connectivity.
/// An engine that was crashed by this request, or by another request on it, breaks its connections
/// at once instead.
const SILENT_LOSS_THRESHOLD: Duration = Duration::from_millis(900);

/// Silence between events after which the request is resumed at another engine. Callers disconnect
/// after two seconds.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1400);

/// Time beyond its objective for which a returning request, the retry of a refused one, may wait
/// for capacity. Callers of streams disconnect after two seconds without an event.
const RETURN_SLACK: Duration = Duration::from_millis(900);

/// Where an attempt of a request was placed.
struct AttemptPlacement {
    endpoint: EndpointProcess,
    /// Time from the arrival of the request to its placement.
    waited: Duration,
}

/// State of a running request.
pub(crate) struct DirectCall {
    state: Arc<GatewayState>,
    dialect: Arc<dyn HttpDialect>,
    parts: CallParts,
    machine: DirectMachine,
    sender: ResponseSender,
    stream: StreamDelivery,
    deadline: Timestamp,
    /// Time from which the first event is late.
    late_at: Timestamp,
    /// When the current attempt was sent.
    sent_at: Instant,
    queue: QueueKind,
    fingerprint: RequestFingerprint,
    /// Whether the service has engines.
    has_engine: bool,
    /// What is known of earlier attempts.
    returning: RequestReturn,
    retry_after: Option<Duration>,
    /// What the caller was told about its return.
    advice: Option<ReturnAdvice>,
    failed_response: Option<BufferedResponse>,
    /// Placement of the latest attempt.
    placement: Option<AttemptPlacement>,
    /// Best choice of the latest search, if it was not good enough.
    rejected: Option<RejectedChoice>,
    /// Placements that were given up because another gateway had claimed one of the endpoints.
    lost_claims: u32,
    /// Endpoints that are booked for the request while it waits.
    booking: Option<BookingGuard>,
    /// Whether the request was counted by its length.
    is_counted: bool,
    /// Whether the request is sent to find out whether its parts end engines.
    has_trial: bool,
    /// What has been recorded of the request for the shares of organisations.
    share: ShareStage,
}

impl DirectCall {
    /// Creates a call whose response is sent through `sender`.
    pub(crate) fn new(
        state: Arc<GatewayState>,
        dialect: Arc<dyn HttpDialect>,
        parts: CallParts,
        sender: ResponseSender,
    ) -> Self {
        let route = &parts.route;
        let deadline = parts.deadline();
        let late_at = parts.arrived + route.objective;
        let profile = parts.config.services.get(&parts.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let is_long = DirectPlacer::new(engine).is_long(parts.head.prompt);
        let fingerprint = parts.fingerprint();
        let has_engine = engine.is_some();
        let returning = match has_engine {
            true => RequestReturn::new(&state, fingerprint),
            false => RequestReturn::default(),
        };
        let queue = QueueKind::new(is_long, returning.gives_way());
        let late_at = match returning.was_refused {
            true => late_at + RETURN_SLACK,
            false => late_at,
        };
        Self {
            machine: DirectMachine::new(route.mode, route.attempts, deadline),
            stream: StreamDelivery::new(parts.head.resume_after.clone()),
            queue,
            fingerprint,
            state,
            dialect,
            parts,
            sender,
            deadline,
            late_at,
            sent_at: Instant::now(),
            has_engine,
            returning,
            retry_after: None,
            advice: None,
            failed_response: None,
            placement: None,
            rejected: None,
            lost_claims: 0,
            booking: None,
            is_counted: false,
            has_trial: false,
            share: ShareStage::default(),
        }
    }

    /// Runs the request until it ends or the gateway stops.
    pub(crate) async fn run(mut self) {
        self.state.record_request(&self.parts.service);
        if !self.returning.was_refused {
            self.state.record_arrival(&self.parts.service, self.queue);
        }
        self.log_return();
        let state = Arc::clone(&self.state);
        let ended = tokio::select! {
            biased;
            code = self.run_steps() => Some(code),
            () = state.wait_for_stop_end() => None,
        };
        let code = ended.unwrap_or_else(|| self.end_at_stop());
        self.log_request_end(code);
    }

    async fn run_steps(&mut self) -> ResultCode {
        let mut step = DirectStep::Place { resume: false };
        loop {
            step = match step {
                DirectStep::Place { resume } => self.place_and_send(resume).await,
                DirectStep::DeliverFailure => return self.deliver_failure(),
                DirectStep::Answer(code) => return self.respond(code),
                DirectStep::Cut => return ResultCode::EndpointLost,
                DirectStep::Done => return ResultCode::Complete,
            };
        }
    }

    async fn place_and_send(&mut self, resume: bool) -> DirectStep {
        let mut placed = match self.wait_for_placement().await {
            Ok(placed) => placed,
            Err(step) => return if resume { DirectStep::Cut } else { step },
        };
        if let Some(booking) = self.booking.take() {
            placed.work.keep_booking(booking);
        }
        self.count_length(true);
        self.count_share_served();
        self.log_placed(&placed);
        let lead = placed.lead.clone();
        let endpoint = lead.process.clone();
        let waited = self.state.clock.now().saturating_sub(self.parts.arrived);
        self.placement = Some(AttemptPlacement {
            endpoint: endpoint.clone(),
            waited,
        });
        let Some(end) = self.run_attempt(placed, resume).await else {
            // The caller has disconnected.
            return DirectStep::Done;
        };
        match end {
            AttemptEnd::Lost | AttemptEnd::Broken => {
                let is_silent = self.silent_time() >= SILENT_LOSS_THRESHOLD;
                if self.check_lead_process(&lead).await && is_silent {
                    self.machine.grant_extra_attempt();
                }
            }
            AttemptEnd::Complete => {
                self.state.record_served(self.fingerprint);
                self.state.record_answered(&self.parts.head.parts);
            }
            _ => {}
        }
        let now = self.state.clock.now();
        if now >= self.deadline && end != AttemptEnd::Complete && end != AttemptEnd::Failed {
            return match self.sender.has_begun() {
                true => DirectStep::Cut,
                false => self.machine.expired_attempt_step(end),
            };
        }
        let state = Arc::clone(&self.state);
        let service = self.parts.service.clone();
        let is_quarantined = self.quarantined_for().is_some();
        let retry = move || !is_quarantined && state.try_consume_retry(&service);
        let step = self.machine.attempt_ended(now, &endpoint, end, retry);
        self.log_attempt_end(&endpoint, end, step);
        step
    }

    /// Sends the request to its endpoint. Returns `None` if the caller has disconnected.
    async fn run_attempt(&mut self, mut placed: PlacedRequest, resume: bool) -> Option<AttemptEnd> {
        let endpoint = placed.lead.process.clone();
        self.stream.begin_attempt();
        let watch = LivenessWatch::new(
            Arc::clone(&self.state),
            self.parts.service.clone(),
            placed.lead.clone(),
            self.fingerprint,
        )
        .with_parts(self.parts.head.parts.clone());
        let reservations = match self.reserve(&placed, &watch).await {
            Ok(reservations) => reservations,
            Err(error) => {
                self.machine.exclude(error.endpoint);
                return Some(AttemptEnd::Unreachable);
            }
        };
        let max_read_bytes = self.state.output.max_read_bytes();
        let connection = EndpointConnection::open_with_limit(placed.lead.address, max_read_bytes);
        let connection = match connection.await {
            Ok(connection) => connection,
            Err(error) => {
                self.log_failure(&endpoint, &error.detail);
                self.record_outlier_event(&endpoint, OutlierEvent::Failed);
                return Some(AttemptEnd::Unreachable);
            }
        };
        if let Some(reason) = self.state.withheld_reason(&placed) {
            metrics::counter!("lovagedock_requests_withheld_total", "reason" => reason.as_str())
                .increment(1);
            return Some(AttemptEnd::Withheld);
        }
        if self.quarantined_for().is_some() {
            return Some(AttemptEnd::Withheld);
        }
        self.machine.begin_sending();
        self.sent_at = Instant::now();
        let sent_at = self.state.clock.now();
        let request = self.build_request(&placed, &reservations);
        let (first_probe_at, silent_until) = self.timeouts(&placed);
        let response = match connection
            .send(
                request,
                watch.wait_until_unresponsive(first_probe_at, silent_until),
            )
            .await
        {
            Ok(response) => response,
            Err(error) => {
                self.log_failure(&endpoint, &error.detail);
                self.record_outlier_event(&endpoint, OutlierEvent::Failed);
                return Some(match resume || self.sender.has_begun() {
                    true => AttemptEnd::Broken,
                    false => AttemptEnd::Lost,
                });
            }
        };
        let head = self.dialect.read_endpoint(response.message.headers());
        let end = classify_response(&head, &self.parts.head.request, &response.message);
        if end != Some(AttemptEnd::Misdirected) {
            self.state
                .record_rate_limit(&endpoint, sent_at, head.rate_limit);
            self.state.record_cold_notice(&endpoint, head.cold_left);
            if head.leaving {
                self.state.record_leaving(&endpoint);
            }
        }
        let status = response.message.status();
        if end == Some(AttemptEnd::NotRun) && status == StatusCode::SERVICE_UNAVAILABLE {
            self.state.record_backoff(&endpoint, head.retry_after);
        }
        if let Some(end) = end {
            self.log_failure(&endpoint, &format!("{end:?} {:?}", head.at_fault));
            if let Some(helper) = self.attribute_failure(&placed, end, head.at_fault) {
                self.check_helper_process(&helper).await;
            }
            return Some(end);
        }
        let is_stream = self.parts.route.mode.is_stream() && status.is_success();
        if is_stream {
            let timeouts = StreamTimeouts {
                first_probe_at,
                probe_gap: EVENT_GAP_TIMEOUT,
                may_resume: self.parts.route.mode.may_repeat() && self.machine.has_attempt_left(),
                silent_until,
                deadline: self.instant(self.deadline),
            };
            let mut timing = self.team_timing(&placed, resume);
            let work = &mut placed.work;
            let late_at = self.instant(self.late_at);
            let gap = self.parts.route.gap_objective.unwrap_or(Duration::MAX);
            let end = self
                .stream
                .run(
                    response.message,
                    &mut self.sender,
                    timeouts,
                    &watch,
                    |first_event_at, longest| {
                        work.finish_prefill();
                        if let Some(timing) = timing.take() {
                            timing.finish();
                        }
                        if longest > gap || first_event_at > late_at {
                            work.record_missed_objective();
                        }
                    },
                )
                .await;
            return match end {
                StreamEnd::CallerDisconnected => None,
                StreamEnd::Attempt(end) => {
                    match end {
                        AttemptEnd::Complete => {
                            self.record_outlier_event(&endpoint, OutlierEvent::Succeeded)
                        }
                        _ => self.record_outlier_event(&endpoint, OutlierEvent::Failed),
                    }
                    Some(end)
                }
            };
        }
        let output = self.sender.output();
        let buffered = collect_response(response.message, silent_until, output).await;
        let Some(buffered) = buffered else {
            self.log_failure(&endpoint, "incomplete response body");
            self.record_outlier_event(&endpoint, OutlierEvent::Failed);
            return Some(AttemptEnd::Lost);
        };
        if status.is_server_error() {
            self.log_failure(&endpoint, status.as_str());
            self.failed_response = Some(buffered);
            return Some(AttemptEnd::Failed);
        }
        self.record_outlier_event(&endpoint, OutlierEvent::Succeeded);
        self.sender.send_buffered(buffered).ok()?;
        Some(AttemptEnd::Complete)
    }

    /// Returns what is to be measured until the first event of a long prompt with helpers arrives. A
    /// resumed response is not measured: its prompt has grown.
    fn team_timing(&self, placed: &PlacedRequest, resume: bool) -> Option<TeamTiming> {
        let is_measured =
            self.state.overload.helper_speeds && !resume && !placed.helpers.is_empty();
        is_measured.then(|| {
            let request = &self.parts.head.request;
            TeamTiming::new(Arc::clone(&self.state), request, placed, self.sent_at)
        })
    }

    /// Reserves memory on the helpers that store parts of the prompt.
    async fn reserve(
        &self,
        placed: &PlacedRequest,
        lead: &LivenessWatch,
    ) -> Result<ReservationGuard, ReservationRefused> {
        let memory_helpers = placed
            .helpers
            .iter()
            .filter(|helper| helper.reserved_tokens > 0);
        let requests = memory_helpers.map(|helper| ReservationRequest {
            endpoint: helper.endpoint.process.clone(),
            address: helper.endpoint.address,
            tokens: helper.reserved_tokens,
        });
        let client = ReservationClient::new(Arc::clone(&self.dialect), self.state.log.clone());
        client.reserve(requests.collect(), lead.clone()).await
    }

    fn build_request(
        &self,
        placed: &PlacedRequest,
        reservations: &ReservationGuard,
    ) -> Request<OutgoingBody> {
        let now = self.state.clock.now();
        let mut names = reservations.names();
        let helpers = placed.helpers.iter().map(|helper| HelperAddress {
            address: helper.endpoint.address,
            reservation: match helper.reserved_tokens {
                0 => None,
                _ => names.next().map(str::to_owned),
            },
        });
        let helpers: Vec<_> = helpers.collect();
        let outgoing = OutgoingHead {
            caller: &self.parts.headers,
            deadline: self.deadline.saturating_sub(now),
            endpoint: &placed.lead.process.id,
            organisation: self.parts.organisation.as_ref(),
            resume_after: self.stream.last_event_id(),
            helpers: &helpers,
            urgency: UNIFORM_URGENCY,
        };
        let mut request = Request::new(self.parts.body.to_outgoing());
        *request.method_mut() = self.parts.method.clone();
        // The target was parsed from the caller's request, so parsing it again cannot fail.
        if let Ok(target) = self.parts.target.parse() {
            *request.uri_mut() = target;
        }
        *request.headers_mut() = self.dialect.write_request(&outgoing);
        request
    }

    /// Returns the time since the last byte of the current attempt arrived.
    fn silent_time(&self) -> Duration {
        let last_activity = self.stream.last_event_at().unwrap_or(self.sent_at);
        last_activity.max(self.sent_at).elapsed()
    }

    /// Returns the time until which an endpoint may be silent before it is probed, and the time
    /// until which a live endpoint may stay silent.
    fn timeouts(&self, placed: &PlacedRequest) -> (Instant, Instant) {
        let now = self.state.clock.now();
        let deadline = self.instant(self.deadline);
        let mode = self.parts.route.mode;
        if !mode.may_repeat() {
            return (deadline, deadline);
        }
        let is_last = !self.machine.has_attempt_left();
        if !mode.is_stream() && is_last {
            return (deadline, deadline);
        }
        if !mode.is_stream() {
            let half = self.deadline.saturating_sub(now) / 2;
            let half = self.instant(now + half);
            return (half, half);
        }
        let timeout = placed.first_event_delay * 2 + FIRST_EVENT_SLACK;
        let first_probe_at = self.instant(now + timeout).min(deadline);
        if is_last {
            // No further attempt is allowed, so a live engine may use the time up to the deadline.
            // An engine that is gone is abandoned at the first probe.
            return (first_probe_at, deadline);
        }
        let limit = self.instant(now + timeout + SLOW_ENGINE_TIMEOUT);
        (first_probe_at, limit.min(deadline))
    }

    /// Ends the request because the gateway stops. If the caller has received no part of the
    /// response, it gets one that states whether the request may have run.
    fn end_at_stop(&mut self) -> ResultCode {
        self.log_cut_by_stop();
        let code = self.machine.stopped_code();
        self.respond(code)
    }

    fn deliver_failure(&mut self) -> ResultCode {
        if let Some(response) = self.failed_response.take() {
            // Sending fails only if the caller has disconnected, and then no response is needed.
            let _ = self.sender.send_buffered(response);
        }
        ResultCode::EngineFailed
    }

    fn respond(&mut self, code: ResultCode) -> ResultCode {
        if self.sender.has_begun() {
            return code;
        }
        if let Some(response) = self.failed_response.take() {
            let _ = self.sender.send_buffered(response);
            return ResultCode::EngineFailed;
        }
        let problem = RequestProblem::new(code).with_ran(self.machine.ran());
        if code == ResultCode::NoCapacity {
            self.state.record_refusal(self.fingerprint);
            self.count_length(false);
        }
        let retry_after = match code.http_status() {
            429 | 503 => Some(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            _ => None,
        };
        let _ = self
            .sender
            .send_problem(&problem, &self.parts.head.request, retry_after);
        code
    }

    /// Counts a long prompt by its length, once, when it is started or refused.
    fn count_length(&mut self, is_started: bool) {
        if !self.queue.is_long() || std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        self.state.record_length(LengthOutcome {
            route: route_tag(&self.parts.route.name),
            band: LengthBand::new(self.parts.head.prompt),
            is_new: !self.returning.was_refused,
            is_started,
        });
    }

    /// Attributes the failure of an attempt to an endpoint, and returns the helper at fault, if
    /// any. A helper that is gone fails every prompt that it is asked to help with, whichever
    /// endpoint leads.
    fn attribute_failure(
        &mut self,
        placed: &PlacedRequest,
        end: AttemptEnd,
        at_fault: Option<SocketAddr>,
    ) -> Option<DirectEndpoint> {
        let helpers = placed.helpers.iter().map(|helper| &helper.endpoint);
        let helper = helpers
            .filter(|helper| Some(helper.address) == at_fault)
            .find(|helper| helper.address != placed.lead.address);
        if let Some(helper) = helper {
            self.machine.exclude(helper.process.clone());
            self.record_outlier_event(&helper.process, OutlierEvent::Failed);
        } else if end != AttemptEnd::NotRun {
            self.record_outlier_event(&placed.lead.process, OutlierEvent::Failed);
        }
        helper.cloned()
    }

    fn record_outlier_event(
        &self,
        endpoint: &EndpointProcess,
        event: impl FnOnce(EndpointId) -> OutlierEvent,
    ) {
        if self.quarantined_for().is_some() {
            // The gateway cancelled the request because of its quarantine, or the request crashes
            // every engine that runs it. Neither is the endpoint's fault.
            return;
        }
        self.state
            .record_outlier_event(&self.parts.service, endpoint, event);
    }

    /// Returns how much longer the request must not be sent to engines, as a whole or because of a
    /// part of its prompt.
    fn quarantined_for(&self) -> Option<Duration> {
        let by_part = match self.state.part_verdict(&self.parts.head.parts) {
            PartVerdict::Quarantined(remaining) => Some(remaining),
            PartVerdict::Clear | PartVerdict::Suspect | PartVerdict::Doubtful => None,
        };
        self.state.quarantined_for(self.fingerprint).max(by_part)
    }

    /// Returns whether processes ended under the request or under a part of its prompt.
    fn is_suspect(&self) -> bool {
        self.state.is_suspect(self.fingerprint)
            || self.state.part_verdict(&self.parts.head.parts) != PartVerdict::Clear
    }

    fn instant(&self, at: Timestamp) -> Instant {
        self.state.clock.instant_at(at).into()
    }
}

/// Priority in an engine's queue, the same for all requests. Placement decides which request runs.
/// If engines also prefilled the prompts of one priority first, a long prompt of another priority
/// would starve for seconds while later ones overtake it.
const UNIFORM_URGENCY: u8 = 5;

/// Retry delay that is sent to a refused caller if no better one is known. It is about the time in
/// which an ejected endpoint is readmitted or a configuration arrives.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
