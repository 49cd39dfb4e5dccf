//! Log lines and metrics of a request.

use std::time::Duration;

use lovagedock::{
    AttemptEnd, BookedTeam, DirectStep, EndEvidence, EndpointProcess, PromptPart,
    format_fingerprint, format_part, prelude::*,
};
use slog::info;

use super::DirectCall;
use crate::direct::state::PlacedRequest;

impl DirectCall {
    pub(super) fn log_placed(&self, placed: &PlacedRequest) {
        let now = self.state.clock.now();
        let Some(left_out) = self.state.log_limiter.admit(now) else {
            return;
        };
        info!(self.state.log, "placed";
            "request" => &self.parts.head.request,
            "fingerprint" => format_fingerprint(self.fingerprint),
            "route" => &self.parts.route.name,
            "endpoint" => %placed.lead.process,
            "helpers" => helper_names(placed),
            "prompt" => self.parts.head.prompt,
            "answer" => self.parts.head.expected_answer(),
            "answer_limit" => self.parts.head.answer_limit,
            "occupied" => placed.occupied,
            "is_claimed" => placed.slot_claim.is_some(),
            "backlog_ms" => placed.backlog.as_millis() as u64,
            "first_event_ms" => placed.first_event_delay.as_millis() as u64,
            "loss" => placed.loss,
            "waited_ms" => now.saturating_sub(self.parts.arrived).as_millis() as u64,
            "config" => self.parts.config.version,
            "left_out" => left_out);
    }

    pub(super) fn log_booked(&self, team: BookedTeam) {
        metrics::counter!("lovagedock_booked_teams_total").increment(1);
        let now = self.state.clock.now();
        if let Some(left_out) = self.state.log_limiter.admit(now) {
            info!(self.state.log, "team booked";
                "request" => &self.parts.head.request,
                "route" => &self.parts.route.name,
                "prompt" => self.parts.head.prompt,
                "endpoints" => team.width,
                "waited_ms" => now.saturating_sub(self.parts.arrived).as_millis() as u64,
                "left_out" => left_out);
        }
    }

    /// Logs that a doubtful request is sent to find out whether its parts end engines, or is not
    /// because a peer sends one.
    pub(super) fn log_trial(&self, endpoint: &EndpointProcess, is_sent: bool) {
        if let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now()) {
            info!(self.state.log, "trial of doubtful parts";
                "request" => &self.parts.head.request,
                "parts" => part_names(&self.parts.head.parts),
                "endpoint" => %endpoint, "sent" => is_sent, "left_out" => left_out);
        }
    }

    pub(super) fn log_refused(&self, reason: &'static str) {
        let now = self.state.clock.now();
        let Some(left_out) = self.state.log_limiter.admit(now) else {
            return;
        };
        let pool = self.state.pool_summary(&self.parts.service);
        info!(self.state.log, "refused";
            "request" => &self.parts.head.request,
            "route" => &self.parts.route.name,
            "reason" => reason,
            "line" => ?self.queue,
            "parts" => part_names(&self.parts.head.parts),
            "prompt" => self.parts.head.prompt,
            "waited_ms" => now.saturating_sub(self.parts.arrived).as_millis() as u64,
            "retry_after_ms" => self.retry_after.map(|delay| delay.as_millis() as u64),
            "is_scheduled" => self.is_scheduled(),
            "expected_wait_ms" => self.expected_wait_ms(),
            "objective_ms" => self.parts.route.objective.as_millis() as u64,
            "endpoints" => pool.ready,
            "ejected" => pool.ejected,
            "limited" => pool.limited,
            "in_backoff" => pool.in_backoff,
            "free_slots" => pool.free_slots,
            "short_lane" => pool.short_lane,
            "prefilling" => pool.prefilling,
            "waiting" => pool.waiting,
            "lost_claims" => self.lost_claims,
            "booked" => self.booking.as_ref().map(|booking| booking.team().width),
            "idle" => self.rejected.map(|choice| choice.idle),
            "best_team" => self.rejected.map(|choice| choice.team),
            "best_first_event_ms" =>
                self.rejected.map(|choice| choice.first_event_delay.as_millis() as u64),
            "best_loss" => self.rejected.map(|choice| choice.loss),
            "organisation" => self.parts.organisation.as_deref(),
            "demand" => self.exceeded_share().map(|(demand, _)| demand),
            "fair_rate" => self.exceeded_share().map(|(_, fair_rate)| fair_rate),
            "peers" => pool.peers,
            "config" => self.parts.config.version,
            "left_out" => left_out);
    }

    pub(super) fn log_failure(&self, endpoint: &EndpointProcess, detail: &str) {
        if let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now()) {
            info!(self.state.log, "endpoint failed a request";
                "request" => &self.parts.head.request, "endpoint" => %endpoint,
                "detail" => detail, "left_out" => left_out);
        }
    }

    pub(super) fn log_process_end(&self, process: &EndpointProcess, evidence: EndEvidence) {
        if let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now()) {
            info!(self.state.log, "a process ended under a request";
                "request" => &self.parts.head.request,
                "fingerprint" => format_fingerprint(self.fingerprint),
                "parts" => part_names(&self.parts.head.parts),
                "endpoint" => %process, "evidence" => ?evidence,
                "sent_ms" => self.sent_at.elapsed().as_millis() as u64,
                "streamed_ms" => self.stream.attempt_stream_time().as_millis() as u64,
                "left_out" => left_out);
        }
    }

    pub(super) fn log_attempt_end(
        &self,
        endpoint: &EndpointProcess,
        end: AttemptEnd,
        step: DirectStep,
    ) {
        if end == AttemptEnd::Complete {
            return;
        }
        if let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now()) {
            info!(self.state.log, "attempt ended";
                "request" => &self.parts.head.request, "endpoint" => %endpoint,
                "fingerprint" => format_fingerprint(self.fingerprint),
                "sent" => self.machine.sent_count(), "end" => ?end, "next" => ?step,
                "events" => self.stream.event_count(), "left_out" => left_out);
        }
    }

    /// Logs that the stop of the gateway cuts the request, and how its time was spent until then.
    pub(super) fn log_cut_by_stop(&self) {
        let now = self.state.clock.now();
        let stage = match (self.sender.has_begun(), self.machine.is_in_flight()) {
            (true, _) => "answering",
            (false, true) => "sent",
            (false, false) => "waiting",
        };
        metrics::counter!("lovagedock_requests_cut_by_stop_total", "stage" => stage).increment(1);
        let (Some(plan), Some(left_out)) =
            (self.state.stop_plan(), self.state.log_limiter.admit(now))
        else {
            return;
        };
        let arrived = self.parts.arrived;
        let placement = self.placement.as_ref();
        info!(self.state.log, "cut by the stop";
            "request" => &self.parts.head.request,
            "fingerprint" => format_fingerprint(self.fingerprint),
            "route" => &self.parts.route.name,
            "stage" => stage,
            "endpoint" => placement.map(|placement| placement.endpoint.to_string()),
            "waited_ms" => placement.map(|placement| placement.waited.as_millis() as u64),
            "prompt" => self.parts.head.prompt,
            "answer" => self.parts.head.expected_answer(),
            "answer_limit" => self.parts.head.answer_limit,
            "sent" => self.machine.sent_count(),
            "events" => self.stream.event_count(),
            "first_event_ms" => self.first_event_time().map(|first| first.as_millis() as u64),
            "longest_gap_ms" => self.stream.longest_gap().as_millis() as u64,
            "silent_ms" => self.silent_time().as_millis() as u64,
            "stopping_ms" => arrived.as_millis() as i64 - plan.requested_at().as_millis() as i64,
            "left_ms" => plan.ends_at().saturating_sub(arrived).as_millis() as u64,
            "left_out" => left_out);
    }

    pub(super) fn log_request_end(&self, code: ResultCode) {
        let now = self.state.clock.now();
        let took = now.saturating_sub(self.parts.arrived);
        crate::call_task::count_outcome(code);
        metrics::histogram!("lovagedock_request_seconds", "route" => self.parts.route.name.clone())
            .record(took.as_secs_f64());
        if let Some(left_out) = self.state.log_limiter.admit(now) {
            info!(self.state.log, "request ended";
                "request" => &self.parts.head.request,
                "fingerprint" => format_fingerprint(self.fingerprint),
                "route" => &self.parts.route.name,
                "prompt" => self.parts.head.prompt,
                "parts" => part_names(&self.parts.head.parts),
                "code" => code.number(),
                "ran" => self.machine.ran().as_str(),
                "sent" => self.machine.sent_count(),
                "events" => self.stream.event_count(),
                "first_event_ms" => self.first_event_time().map(|first| first.as_millis() as u64),
                "longest_gap_ms" => self.stream.longest_gap().as_millis() as u64,
                "ms" => took.as_millis() as u64,
                "retry_after_ms" => self.retry_after.map(|delay| delay.as_millis() as u64),
                "left_out" => left_out);
        }
    }

    /// Returns the time from the arrival of the request to its first event.
    fn first_event_time(&self) -> Option<Duration> {
        let first_event_at = self.stream.first_event_at()?;
        Some(first_event_at.saturating_duration_since(self.instant(self.parts.arrived)))
    }
}

/// Returns the parts of a prompt for the log.
fn part_names(parts: &[PromptPart]) -> String {
    let names = parts.iter().map(|part| format_part(*part));
    names.collect::<Vec<_>>().join(",")
}

/// Returns the names of a request's helpers for the log.
fn helper_names(placed: &PlacedRequest) -> String {
    let names = placed
        .helpers
        .iter()
        .map(|helper| &*helper.endpoint.process.id);
    names.collect::<Vec<_>>().join(",")
}
