//! One request, from its checks to the last byte of its answer.

mod ended;
mod log;
mod parts;
mod waiting;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use lovagedock::{
    AttemptEnd, DirectEndpoint, DirectMachine, DirectPlacer, DirectStep, EndpointProcess,
    OutlierEvent, QueueKind, RequestFingerprint, prelude::*,
};
use tokio::time::Instant;

use super::{
    answer::{CallerWay, WholeAnswer},
    board::{FleetBoard, PlacedRequest},
    delivery::{StreamDelivery, StreamEnd, StreamPatience, collect_whole, judge_head},
    dialect::{HelperAddress, HttpDialect, OutgoingHead},
    exchange::EndpointConnection,
    liveness::LivenessWatch,
    tickets::{NotReserved, TicketDesk, TicketHold, WantedTicket},
};
use crate::front::RequestProblem;

pub(crate) use parts::CallParts;

/// Silence of an engine beyond the predicted time that means that it is gone. An engine that is
/// alive is late by a few passes of up to half a second.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1500);

/// Further silence of an engine that is there. One that takes connections and answers nobody is
/// given up after this.
const SLOW_PATIENCE: Duration = Duration::from_secs(4);

/// Silence before an attempt's end that speaks for an engine which lost power or was cut off, and against
/// one that this request, or one beside it, has ended: that breaks connections at once.
const SILENT_END: Duration = Duration::from_millis(900);

/// Silence between events after which another engine continues. Callers leave after two seconds.
const GAP_PATIENCE: Duration = Duration::from_millis(1400);

/// Time beyond its objective that a request which was refused before may wait for room. Callers of
/// streams leave after two seconds without an event.
const RETURN_PATIENCE: Duration = Duration::from_millis(900);

/// Where an attempt of a request was placed.
struct AttemptPlace {
    endpoint: EndpointProcess,
    /// Time from the request to its place.
    waited: Duration,
}

/// Runs a request.
pub(crate) struct DirectCall {
    board: Arc<FleetBoard>,
    dialect: Arc<dyn HttpDialect>,
    parts: CallParts,
    machine: DirectMachine,
    way: CallerWay,
    stream: StreamDelivery,
    deadline: Timestamp,
    late_at: Timestamp,
    /// When the present attempt was sent.
    sent_at: Instant,
    line: QueueKind,
    fingerprint: RequestFingerprint,
    retry_after: Option<Duration>,
    failure: Option<WholeAnswer>,
    /// Where the latest attempt was placed.
    place: Option<AttemptPlace>,
}

impl DirectCall {
    /// A request on its way; `way` leads to its caller.
    pub(crate) fn new(
        board: Arc<FleetBoard>,
        dialect: Arc<dyn HttpDialect>,
        parts: CallParts,
        way: CallerWay,
    ) -> Self {
        let route = &parts.route;
        let deadline = parts.deadline();
        let late_at = parts.arrived + route.objective;
        let profile = parts.config.services.get(&parts.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let is_long = DirectPlacer::new(engine).is_long(parts.head.prompt);
        let fingerprint = parts.fingerprint();
        let is_return = engine.is_some() && board.is_return(fingerprint);
        let line = QueueKind::new(is_long, is_return);
        let late_at = match is_return {
            true => late_at + RETURN_PATIENCE,
            false => late_at,
        };
        Self {
            machine: DirectMachine::new(route.mode, route.attempts, deadline),
            stream: StreamDelivery::new(parts.head.resume_after.clone()),
            line,
            fingerprint,
            board,
            dialect,
            parts,
            way,
            deadline,
            late_at,
            sent_at: Instant::now(),
            retry_after: None,
            failure: None,
            place: None,
        }
    }

    /// Runs it to its end or to that of the gateway.
    pub(crate) async fn run(mut self) {
        self.board.record_request(&self.parts.service);
        let board = Arc::clone(&self.board);
        let ended = tokio::select! {
            biased;
            code = self.run_steps() => Some(code),
            () = board.stop_ended() => None,
        };
        let code = ended.unwrap_or_else(|| self.end_with_gateway());
        self.note_end(code);
    }

    async fn run_steps(&mut self) -> ResultCode {
        let mut step = DirectStep::Place { resume: false };
        loop {
            step = match step {
                DirectStep::Place { resume } => self.attempt(resume).await,
                DirectStep::DeliverFailure => return self.deliver_failure(),
                DirectStep::Answer(code) => return self.answer(code),
                DirectStep::Cut => return ResultCode::EndpointLost,
                DirectStep::Done => return ResultCode::Complete,
            };
        }
    }

    async fn attempt(&mut self, resume: bool) -> DirectStep {
        let placed = match self.find_place().await {
            Ok(placed) => placed,
            Err(step) => return if resume { DirectStep::Cut } else { step },
        };
        self.note_placed(&placed);
        let lead = placed.lead.clone();
        let endpoint = lead.process.clone();
        let waited = self.board.clock.now().saturating_sub(self.parts.arrived);
        self.place = Some(AttemptPlace {
            endpoint: endpoint.clone(),
            waited,
        });
        let Some(end) = self.exchange(placed, resume).await else {
            // Nobody is left to answer.
            return DirectStep::Done;
        };
        match end {
            AttemptEnd::Lost | AttemptEnd::Broken => {
                let is_silent = self.silence() >= SILENT_END;
                if self.examine_lead(&lead).await && is_silent {
                    self.machine.grant_extra_attempt();
                }
            }
            AttemptEnd::Complete => self.board.record_served(self.fingerprint),
            _ => {}
        }
        let now = self.board.clock.now();
        if now >= self.deadline && end != AttemptEnd::Complete && end != AttemptEnd::Failed {
            return match self.way.has_begun() {
                true => DirectStep::Cut,
                false => self.machine.expired_after(end),
            };
        }
        let board = Arc::clone(&self.board);
        let service = self.parts.service.clone();
        let fingerprint = self.fingerprint;
        let retry =
            move || board.quarantined_for(fingerprint).is_none() && board.take_retry(&service);
        let step = self.machine.attempt_ended(now, &endpoint, end, retry);
        self.note_attempt(&endpoint, end, step);
        step
    }

    /// Sends the request to its place; `None` if the caller has gone.
    async fn exchange(&mut self, mut placed: PlacedRequest, resume: bool) -> Option<AttemptEnd> {
        let endpoint = placed.lead.process.clone();
        self.stream.begin_attempt();
        let watch = LivenessWatch::new(
            Arc::clone(&self.board),
            self.parts.service.clone(),
            placed.lead.clone(),
            self.fingerprint,
        );
        let tickets = match self.reserve(&placed, &watch).await {
            Ok(tickets) => tickets,
            Err(error) => {
                self.machine.exclude(error.endpoint);
                return Some(AttemptEnd::Unreachable);
            }
        };
        let connection = match EndpointConnection::open(placed.lead.address).await {
            Ok(connection) => connection,
            Err(error) => {
                self.note_failure(&endpoint, &error.detail);
                self.watch(&endpoint, OutlierEvent::Failed);
                return Some(AttemptEnd::Unreachable);
            }
        };
        if let Some(reason) = self.board.withheld_reason(&placed) {
            metrics::counter!("lovagedock_requests_withheld_total", "reason" => reason.as_str())
                .increment(1);
            return Some(AttemptEnd::Withheld);
        }
        self.machine.begin_sending();
        self.sent_at = Instant::now();
        let sent_at = self.board.clock.now();
        let request = self.request(&placed, &tickets);
        let (first, limit) = self.patience(&placed);
        let answer = match connection.send(request, watch.silent(first, limit)).await {
            Ok(answer) => answer,
            Err(error) => {
                self.note_failure(&endpoint, &error.detail);
                self.watch(&endpoint, OutlierEvent::Failed);
                return Some(match resume || self.way.has_begun() {
                    true => AttemptEnd::Broken,
                    false => AttemptEnd::Lost,
                });
            }
        };
        let head = self.dialect.read_endpoint(answer.response.headers());
        let end = judge_head(&head, &self.parts.head.request, &answer.response);
        if end != Some(AttemptEnd::Misdirected) {
            self.board
                .note_rate_limit(&endpoint, sent_at, head.rate_limit);
            if head.leaving {
                self.board.note_leaving(&endpoint);
            }
        }
        let status = answer.response.status();
        if end == Some(AttemptEnd::NotRun) && status == StatusCode::SERVICE_UNAVAILABLE {
            self.board.note_backoff(&endpoint, head.retry_after);
        }
        if let Some(end) = end {
            self.note_failure(&endpoint, &format!("{end:?} {:?}", head.at_fault));
            if let Some(helper) = self.blame(&placed, end, head.at_fault) {
                self.examine_helper(&helper).await;
            }
            return Some(end);
        }
        let is_stream = self.parts.route.mode.is_stream() && status.is_success();
        if is_stream {
            let patience = StreamPatience {
                first,
                gap: GAP_PATIENCE,
                may_resume: self.parts.route.mode.may_repeat() && self.machine.has_attempt_left(),
                limit,
                cutoff: self.instant(self.deadline),
            };
            let hold = &mut placed.hold;
            let late_at = self.instant(self.late_at);
            let gap = self.parts.route.gap_objective.unwrap_or(Duration::MAX);
            let end = self
                .stream
                .run(
                    answer.response,
                    &mut self.way,
                    patience,
                    &watch,
                    |first_at, longest| {
                        hold.finish_reading();
                        if longest > gap || first_at > late_at {
                            hold.note_missed();
                        }
                    },
                )
                .await;
            return match end {
                StreamEnd::CallerLost => None,
                StreamEnd::Attempt(end) => {
                    match end {
                        AttemptEnd::Complete => self.watch(&endpoint, OutlierEvent::Succeeded),
                        _ => self.watch(&endpoint, OutlierEvent::Failed),
                    }
                    Some(end)
                }
            };
        }
        let Some(whole) = collect_whole(answer.response, limit).await else {
            self.note_failure(&endpoint, "the answer broke off");
            self.watch(&endpoint, OutlierEvent::Failed);
            return Some(AttemptEnd::Lost);
        };
        if status.is_server_error() {
            self.note_failure(&endpoint, status.as_str());
            self.failure = Some(whole);
            return Some(AttemptEnd::Failed);
        }
        self.watch(&endpoint, OutlierEvent::Succeeded);
        self.way.send_whole(whole).ok()?;
        Some(AttemptEnd::Complete)
    }

    /// Reserves memory on the helpers that keep parts of the prompt.
    async fn reserve(
        &self,
        placed: &PlacedRequest,
        lead: &LivenessWatch,
    ) -> Result<TicketHold, NotReserved> {
        let keepers = placed.helpers.iter().filter(|helper| helper.kept > 0);
        let wanted = keepers.map(|helper| WantedTicket {
            endpoint: helper.endpoint.process.clone(),
            address: helper.endpoint.address,
            tokens: helper.kept,
        });
        let desk = TicketDesk::new(Arc::clone(&self.dialect), self.board.log.clone());
        desk.reserve(wanted.collect(), lead.clone()).await
    }

    fn request(&self, placed: &PlacedRequest, tickets: &TicketHold) -> Request<Full<Bytes>> {
        let now = self.board.clock.now();
        let mut names = tickets.names();
        let helpers = placed.helpers.iter().map(|helper| HelperAddress {
            address: helper.endpoint.address,
            ticket: match helper.kept {
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
            resume_after: self.stream.last_id(),
            helpers: &helpers,
            urgency: EVEN_URGENCY,
        };
        let mut request = Request::new(Full::new(self.parts.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        // The target came in a request that was parsed.
        if let Ok(target) = self.parts.target.parse() {
            *request.uri_mut() = target;
        }
        *request.headers_mut() = self.dialect.write_request(&outgoing);
        request
    }

    /// Time since anything came in the present attempt.
    fn silence(&self) -> Duration {
        let heard_at = self.stream.last_at().unwrap_or(self.sent_at);
        heard_at.max(self.sent_at).elapsed()
    }

    /// Until when an endpoint may be silent before it is looked at, and until when one that is
    /// there may stay silent.
    fn patience(&self, placed: &PlacedRequest) -> (Instant, Instant) {
        let now = self.board.clock.now();
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
        let patience = placed.first_event * 2 + FIRST_EVENT_PATIENCE;
        let first = self.instant(now + patience).min(deadline);
        if is_last {
            // Nobody else is asked while the engine is there; one that is gone is not waited for.
            return (first, deadline);
        }
        let limit = self.instant(now + patience + SLOW_PATIENCE);
        (first, limit.min(deadline))
    }

    /// Ends the request with the gateway: a caller without any part of the answer is told whether it
    /// may have run.
    fn end_with_gateway(&mut self) -> ResultCode {
        self.note_cut();
        let code = self.machine.stopped();
        self.answer(code)
    }

    fn deliver_failure(&mut self) -> ResultCode {
        if let Some(failure) = self.failure.take() {
            // A caller that has gone needs no answer.
            let _ = self.way.send_whole(failure);
        }
        ResultCode::EngineFailed
    }

    fn answer(&mut self, code: ResultCode) -> ResultCode {
        if self.way.has_begun() {
            return code;
        }
        if let Some(failure) = self.failure.take() {
            let _ = self.way.send_whole(failure);
            return ResultCode::EngineFailed;
        }
        let problem = RequestProblem::new(code).with_ran(self.machine.ran());
        if code == ResultCode::NoCapacity {
            self.board.record_refusal(self.fingerprint);
        }
        let retry_after = match code.http_status() {
            429 | 503 => Some(self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            _ => None,
        };
        let _ = self
            .way
            .send_problem(&problem, &self.parts.head.request, retry_after);
        code
    }

    /// Records whose fault it is that a request did not run. A helper that is gone fails every
    /// prompt that it is asked to help with, whichever endpoint leads. Returns the helper at fault.
    fn blame(
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
            self.watch(&helper.process, OutlierEvent::Failed);
        } else if end != AttemptEnd::NotRun {
            self.watch(&placed.lead.process, OutlierEvent::Failed);
        }
        helper.cloned()
    }

    fn watch(&self, endpoint: &EndpointProcess, event: impl FnOnce(EndpointId) -> OutlierEvent) {
        if self.board.quarantined_for(self.fingerprint).is_some() {
            // It was withdrawn, or it ends whatever runs it; neither is the endpoint's fault.
            return;
        }
        self.board.watch(&self.parts.service, endpoint, event);
    }

    fn instant(&self, at: Timestamp) -> Instant {
        self.board.clock.instant_at(at).into()
    }
}

/// Place in an engine's queue, the same for all requests. Placement decides who runs; engines that
/// then read the prompts of one priority first let a long prompt of another starve for seconds
/// while later ones overtake it.
const EVEN_URGENCY: u8 = 5;

/// When a refused request may come back if nothing better is known: about the time in which an
/// ejected endpoint is let back or a configuration arrives.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
