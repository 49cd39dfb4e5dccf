//! One request, from its checks to the last byte of its answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request};
use lovagedock::{
    AttemptEnd, DirectMachine, DirectRequest, DirectStep, LineDecision, LineKind, OutlierEvent,
    RequestFingerprint, RouteRule, TrafficConfig, prelude::*,
};
use slog::info;
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::Xxh3Default;

use super::{
    answer::{CallerWay, WholeAnswer},
    board::{FleetBoard, PlaceResult, PlacedRequest},
    delivery::{HeadVerdict, StreamDelivery, StreamEnd, StreamPatience, collect_whole, judge_head},
    dialect::{CallerHead, HelperAddress, HttpDialect, OutgoingHead},
    exchange::EndpointConnection,
    liveness::LivenessWatch,
    tickets::{NotReserved, TicketDesk, TicketHold, WantedTicket},
};
use crate::front::RequestProblem;

/// Time before the caller's deadline at which we answer, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Longest time between two looks for a place.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Silence of an engine beyond the predicted time that means that it is gone. An engine that is
/// alive is late by a few passes of up to half a second.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1500);

/// Further silence of an engine that is there. One that takes connections and answers nobody is
/// given up after this.
const SLOW_PATIENCE: Duration = Duration::from_secs(4);

/// Silence between events after which another engine continues. Callers leave after two seconds.
const GAP_PATIENCE: Duration = Duration::from_millis(1400);

/// Reading time from which a request counts as long and waits apart from the short ones.
const LONG_READING: Duration = Duration::from_millis(120);

/// Longest time from a request to its answer when neither caller nor route say one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Time beyond its objective that a request which was refused before may wait for room. Callers of
/// streams leave after two seconds without an event.
const RETURN_PATIENCE: Duration = Duration::from_millis(900);

/// A request that passed all checks.
pub(crate) struct CallParts {
    /// Configuration that it was checked against.
    pub(crate) config: Arc<TrafficConfig>,
    /// Its route.
    pub(crate) route: RouteRule,
    /// Its service.
    pub(crate) service: ServiceId,
    /// Organisation that pays, unless callers need no key.
    pub(crate) organisation: Option<OrganisationId>,
    /// Rank among requests that wait; 0 goes first.
    pub(crate) priority: u8,
    /// What its headers say.
    pub(crate) head: CallerHead,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// All headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// When its head had been read.
    pub(crate) arrived: Timestamp,
}

impl CallParts {
    /// What the request asks, whatever id its attempt has.
    fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.target.as_bytes());
        hasher.update(self.head.key.as_deref().unwrap_or_default().as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }
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
    line: LineKind,
    fingerprint: RequestFingerprint,
    retry_after: Option<Duration>,
    failure: Option<WholeAnswer>,
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
        let wanted = parts.head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let allowed = wanted.saturating_sub(ANSWER_MARGIN).min(route.timeout);
        let deadline = parts.arrived + allowed;
        let late_at = parts.arrived + route.objective;
        let profile = parts.config.services.get(&parts.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let reading = engine.map(|engine| engine.read_time(parts.head.prompt));
        let fingerprint = parts.fingerprint();
        let line = match reading {
            Some(_) if board.is_return(fingerprint) => LineKind::Returned,
            Some(reading) if reading >= LONG_READING => LineKind::Long,
            _ => LineKind::Short,
        };
        let late_at = match line {
            LineKind::Returned => late_at + RETURN_PATIENCE,
            LineKind::Short | LineKind::Long => late_at,
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
            retry_after: None,
            failure: None,
        }
    }

    /// Runs it to the end.
    pub(crate) async fn run(mut self) {
        self.board.record_request(&self.parts.service);
        let mut step = DirectStep::Place { resume: false };
        let code = loop {
            step = match step {
                DirectStep::Place { resume } => self.attempt(resume).await,
                DirectStep::DeliverFailure => break self.deliver_failure(),
                DirectStep::Answer(code) => break self.answer(code),
                DirectStep::Cut => break ResultCode::EndpointLost,
                DirectStep::Done => break ResultCode::Complete,
            };
        };
        self.note_end(code);
    }

    async fn attempt(&mut self, resume: bool) -> DirectStep {
        let placed = match self.find_place().await {
            Ok(placed) => placed,
            Err(step) => return if resume { DirectStep::Cut } else { step },
        };
        self.note_placed(&placed);
        let endpoint = placed.lead.id.clone();
        let Some(end) = self.exchange(placed, resume).await else {
            // Nobody is left to answer.
            return DirectStep::Done;
        };
        let now = self.board.clock.now();
        if now >= self.deadline && end != AttemptEnd::Complete && end != AttemptEnd::Failed {
            return match self.way.has_begun() {
                true => DirectStep::Cut,
                false => self.machine.expired_after(end),
            };
        }
        let board = Arc::clone(&self.board);
        let service = self.parts.service.clone();
        let retry = move || board.take_retry(&service);
        let step = self.machine.attempt_ended(now, &endpoint, end, retry);
        self.note_attempt(&endpoint, end, step);
        step
    }

    /// Waits for a place.
    async fn find_place(&mut self) -> Result<PlacedRequest, DirectStep> {
        let mut waiting: Option<LineTicket> = None;
        loop {
            let board = Arc::clone(&self.board);
            let mut changed = std::pin::pin!(board.changed());
            changed.as_mut().enable();
            let now = self.board.clock.now();
            if now >= self.deadline {
                return Err(self.machine.expired());
            }
            let last_look = waiting.as_ref().is_some_and(|ticket| now >= ticket.until);
            let may_look = waiting.as_ref().is_none_or(LineTicket::is_first) || last_look;
            if may_look {
                match self.look(now, last_look) {
                    PlaceResult::Placed(placed) => return Ok(*placed),
                    PlaceResult::NoEndpoint if self.machine.sent() > 0 || last_look => {
                        return Err(self.refuse(now));
                    }
                    PlaceResult::Full | PlaceResult::NoEndpoint if last_look => {
                        return Err(self.refuse(now));
                    }
                    PlaceResult::Full | PlaceResult::NoEndpoint => {}
                }
            }
            let until = match &waiting {
                Some(ticket) => ticket.until,
                None => {
                    let ticket = self.join_line(now)?;
                    waiting.insert(ticket).until
                }
            };
            let wake = until.min(now + LOOK_AGAIN);
            tokio::select! {
                () = changed => {}
                () = sleep_until(self.instant(wake)) => {}
            }
        }
    }

    fn look(&self, now: Timestamp, last: bool) -> PlaceResult {
        let head = &self.parts.head;
        let request = DirectRequest {
            prompt: head.prompt,
            answer: head.expected_answer(),
            objective_left: self.late_at.saturating_sub(now),
            gap: self.parts.route.gap_objective,
            returned: self.line == LineKind::Returned,
        };
        self.board.place(
            &self.parts.config,
            &self.parts.service,
            &request,
            self.machine.excluded(),
            self.line,
            last,
        )
    }

    fn join_line(&mut self, now: Timestamp) -> Result<LineTicket, DirectStep> {
        let time_left = self.deadline.saturating_sub(now);
        let late_at = self.late_at + RANK_TIME * u32::from(self.parts.priority);
        let objective_at = self.late_at;
        let (decision, ticket) = self
            .board
            .with_line(&self.parts.service, self.line, |line| {
                let decision = line.arrive(now, objective_at, time_left, rand::random());
                (decision, line.join(late_at))
            });
        let mut ticket = LineTicket {
            board: Arc::clone(&self.board),
            service: self.parts.service.clone(),
            line: self.line,
            ticket,
            until: now,
        };
        match decision {
            LineDecision::Wait { until } => {
                ticket.until = until;
                Ok(ticket)
            }
            LineDecision::Refuse { retry_after } => {
                self.retry_after = Some(retry_after);
                self.note_refused("it would wait too long");
                Err(self.machine.no_place(now))
            }
        }
    }

    fn refuse(&mut self, now: Timestamp) -> DirectStep {
        let time_left = self.deadline.saturating_sub(now);
        let retry_after = self
            .board
            .with_line(&self.parts.service, self.line, |line| {
                line.retry_after(Duration::ZERO, time_left, rand::random())
            });
        self.retry_after = Some(retry_after);
        self.note_refused("no place came free in time");
        self.machine.no_place(now)
    }

    /// Sends the request to its place; `None` if the caller has gone.
    async fn exchange(&mut self, mut placed: PlacedRequest, resume: bool) -> Option<AttemptEnd> {
        let endpoint = placed.lead.id.clone();
        let tickets = match self.reserve(&placed).await {
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
                self.watch(OutlierEvent::Failed(endpoint));
                return Some(AttemptEnd::Unreachable);
            }
        };
        self.machine.begin_sending();
        let request = self.request(&placed, &tickets);
        let (first, limit) = self.patience(&placed);
        let watch = LivenessWatch::new(
            Arc::clone(&self.board),
            self.parts.service.clone(),
            endpoint.clone(),
            placed.lead.address,
        );
        let answer = match connection.send(request, watch.silent(first, limit)).await {
            Ok(answer) => answer,
            Err(error) => {
                self.note_failure(&endpoint, &error.detail);
                self.watch(OutlierEvent::Failed(endpoint));
                return Some(match resume || self.way.has_begun() {
                    true => AttemptEnd::Broken,
                    false => AttemptEnd::Lost,
                });
            }
        };
        let verdict = judge_head(&*self.dialect, &self.parts.head.request, &answer.response);
        if let HeadVerdict::End(end, head) = verdict {
            self.note_failure(&endpoint, &format!("{end:?} {:?}", head.at_fault));
            self.blame(&placed, end, head.at_fault);
            return Some(end);
        }
        let status = answer.response.status();
        let is_stream = self.parts.route.mode.is_stream() && status.is_success();
        if is_stream {
            let patience = StreamPatience {
                first,
                gap: GAP_PATIENCE,
                limit,
                cutoff: self.instant(self.deadline),
            };
            let hold = &mut placed.hold;
            let end = self
                .stream
                .run(answer.response, &mut self.way, patience, &watch, || {
                    hold.finish_reading();
                })
                .await;
            return match end {
                StreamEnd::CallerLost => None,
                StreamEnd::Attempt(end) => {
                    self.watch(match end {
                        AttemptEnd::Complete => OutlierEvent::Succeeded(endpoint),
                        _ => OutlierEvent::Failed(endpoint),
                    });
                    Some(end)
                }
            };
        }
        let Some(whole) = collect_whole(answer.response, limit).await else {
            self.note_failure(&endpoint, "the answer broke off");
            self.watch(OutlierEvent::Failed(endpoint));
            return Some(AttemptEnd::Lost);
        };
        if status.is_server_error() {
            self.note_failure(&endpoint, status.as_str());
            self.failure = Some(whole);
            return Some(AttemptEnd::Failed);
        }
        self.watch(OutlierEvent::Succeeded(endpoint));
        self.way.send_whole(whole).ok()?;
        Some(AttemptEnd::Complete)
    }

    /// Reserves memory on the helpers that keep parts of the prompt.
    async fn reserve(&self, placed: &PlacedRequest) -> Result<TicketHold, NotReserved> {
        let keepers = placed.helpers.iter().filter(|helper| helper.kept > 0);
        let wanted = keepers.map(|helper| WantedTicket {
            endpoint: helper.endpoint.id.clone(),
            address: helper.endpoint.address,
            tokens: helper.kept,
        });
        let desk = TicketDesk::new(Arc::clone(&self.dialect), self.board.log.clone());
        desk.reserve(wanted.collect()).await
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
            endpoint: &placed.lead.id,
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

    /// Until when an endpoint may be silent before it is looked at, and until when one that is
    /// there may stay silent.
    fn patience(&self, placed: &PlacedRequest) -> (Instant, Instant) {
        let now = self.board.clock.now();
        let deadline = self.instant(self.deadline);
        let may_repeat = self.parts.route.mode.may_repeat();
        if !may_repeat || self.machine.sent() >= self.parts.route.attempts {
            return (deadline, deadline);
        }
        if !self.parts.route.mode.is_stream() {
            let half = self.deadline.saturating_sub(now) / 2;
            let half = self.instant(now + half);
            return (half, half);
        }
        let patience = placed.first_event * 2 + FIRST_EVENT_PATIENCE;
        let first = self.instant(now + patience);
        let limit = self.instant(now + patience + SLOW_PATIENCE);
        (first.min(deadline), limit.min(deadline))
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

    /// Time from the request to the first event.
    fn first_event(&self) -> Option<Duration> {
        let first_at = self.stream.first_at()?;
        Some(first_at.saturating_duration_since(self.instant(self.parts.arrived)))
    }

    /// Records whose fault it is that a request did not run. A helper that is gone fails every
    /// prompt that it is asked to help with, whichever endpoint leads.
    fn blame(&mut self, placed: &PlacedRequest, end: AttemptEnd, at_fault: Option<SocketAddr>) {
        let helpers = placed.helpers.iter().map(|helper| &helper.endpoint);
        let helper = helpers
            .filter(|helper| Some(helper.address) == at_fault)
            .find(|helper| helper.address != placed.lead.address);
        if let Some(helper) = helper {
            self.machine.exclude(helper.id.clone());
            self.watch(OutlierEvent::Failed(helper.id.clone()));
        } else if end != AttemptEnd::NotRun {
            self.watch(OutlierEvent::Failed(placed.lead.id.clone()));
        }
    }

    fn watch(&self, event: OutlierEvent) {
        self.board.watch(&self.parts.service, event);
    }

    fn instant(&self, at: Timestamp) -> Instant {
        self.board.clock.instant_at(at).into()
    }

    fn note_placed(&self, placed: &PlacedRequest) {
        let now = self.board.clock.now();
        let Some(left_out) = self.board.lines.take(now) else {
            return;
        };
        info!(self.board.log, "placed";
            "request" => &self.parts.head.request,
            "route" => &self.parts.route.name,
            "endpoint" => &*placed.lead.id,
            "helpers" => helper_names(placed),
            "prompt" => self.parts.head.prompt,
            "occupied" => placed.occupied,
            "backlog_ms" => placed.backlog.as_millis() as u64,
            "first_event_ms" => placed.first_event.as_millis() as u64,
            "loss" => placed.loss,
            "waited_ms" => now.saturating_sub(self.parts.arrived).as_millis() as u64,
            "config" => self.parts.config.version,
            "left_out" => left_out);
    }

    fn note_refused(&self, reason: &'static str) {
        let now = self.board.clock.now();
        let Some(left_out) = self.board.lines.take(now) else {
            return;
        };
        let pool = self.board.summary(&self.parts.service);
        info!(self.board.log, "refused";
            "request" => &self.parts.head.request,
            "route" => &self.parts.route.name,
            "reason" => reason,
            "line" => ?self.line,
            "prompt" => self.parts.head.prompt,
            "waited_ms" => now.saturating_sub(self.parts.arrived).as_millis() as u64,
            "objective_ms" => self.parts.route.objective.as_millis() as u64,
            "endpoints" => pool.ready,
            "ejected" => pool.ejected,
            "free_slots" => pool.free_slots,
            "waiting" => pool.waiting,
            "peers" => pool.peers,
            "config" => self.parts.config.version,
            "left_out" => left_out);
    }

    fn note_failure(&self, endpoint: &EndpointId, detail: &str) {
        if let Some(left_out) = self.board.lines.take(self.board.clock.now()) {
            info!(self.board.log, "endpoint failed a request";
                "request" => &self.parts.head.request, "endpoint" => &**endpoint,
                "detail" => detail, "left_out" => left_out);
        }
    }

    fn note_attempt(&self, endpoint: &EndpointId, end: AttemptEnd, step: DirectStep) {
        if end == AttemptEnd::Complete {
            return;
        }
        if let Some(left_out) = self.board.lines.take(self.board.clock.now()) {
            info!(self.board.log, "attempt ended";
                "request" => &self.parts.head.request, "endpoint" => &**endpoint,
                "sent" => self.machine.sent(), "end" => ?end, "next" => ?step,
                "events" => self.stream.events(), "left_out" => left_out);
        }
    }

    fn note_end(&self, code: ResultCode) {
        let now = self.board.clock.now();
        let took = now.saturating_sub(self.parts.arrived);
        crate::call_task::count_outcome(code);
        metrics::histogram!("lovagedock_request_seconds", "route" => self.parts.route.name.clone())
            .record(took.as_secs_f64());
        if let Some(left_out) = self.board.lines.take(now) {
            info!(self.board.log, "request ended";
                "request" => &self.parts.head.request,
                "route" => &self.parts.route.name,
                "prompt" => self.parts.head.prompt,
                "code" => code.number(),
                "ran" => self.machine.ran().as_str(),
                "sent" => self.machine.sent(),
                "events" => self.stream.events(),
                "first_event_ms" => self.first_event().map(|first| first.as_millis() as u64),
                "longest_gap_ms" => self.stream.longest_gap().as_millis() as u64,
                "ms" => took.as_millis() as u64,
                "retry_after_ms" => self.retry_after.map(|delay| delay.as_millis() as u64),
                "left_out" => left_out);
        }
    }
}

/// Place in an engine's queue, the same for all requests. Placement decides who runs; engines that
/// then read the prompts of one priority first let a long prompt of another starve for seconds
/// while later ones overtake it.
const EVEN_URGENCY: u8 = 5;

/// When a refused request may come back if nothing better is known: about the time in which an
/// ejected endpoint is let back or a configuration arrives.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Helpers of a request for the log.
fn helper_names(placed: &PlacedRequest) -> String {
    let names = placed.helpers.iter().map(|helper| &*helper.endpoint.id);
    names.collect::<Vec<_>>().join(",")
}

/// Waiting time that a rank is worth: in a line, a request goes before one of the next rank that is
/// late this much sooner. A rank that went first without bound would starve the ranks below.
const RANK_TIME: Duration = Duration::from_millis(20);

/// A place in a waiting line; dropping it leaves the line.
struct LineTicket {
    board: Arc<FleetBoard>,
    service: ServiceId,
    line: LineKind,
    ticket: (Timestamp, u64),
    until: Timestamp,
}

impl LineTicket {
    fn is_first(&self) -> bool {
        let line = |line: &mut lovagedock::WaitingLine| line.is_first(&self.ticket);
        self.board.with_line(&self.service, self.line, line)
    }
}

impl Drop for LineTicket {
    fn drop(&mut self) {
        let leave = |line: &mut lovagedock::WaitingLine| line.leave(&self.ticket);
        self.board.with_line(&self.service, self.line, leave);
    }
}
