//! Waits for a place.

use std::{sync::Arc, time::Duration};

use lovagedock::{DirectRequest, DirectStep, QueueDecision, QueueKind, RELAXED_GAP, prelude::*};
use tokio::time::{sleep, sleep_until, timeout};

use super::DirectCall;
use crate::direct::board::{FleetBoard, PlaceEffort, PlaceResult, PlacedRequest};

/// Longest and shortest time between two looks for a place. Peers tell of something up to 800 times
/// a second, and a look takes 19 us of a full core beside 70 endpoints (`examples/direct_cost`).
const LOOK_AGAIN: Duration = Duration::from_millis(20);
const LOOK_PAUSE: Duration = Duration::from_millis(4);

/// Longest pause before a long prompt is looked at again.
const LONG_PAUSE: Duration = Duration::from_millis(100);

/// Waiting time that a rank is worth: in a line, a request goes before one of the next rank that is
/// late this much sooner. A rank that went first without bound would starve the ranks below.
const RANK_TIME: Duration = Duration::from_millis(20);

/// Time that a request which an engine has worked on waits for another one. Callers of streams leave
/// after two seconds without an event.
const AGAIN_PATIENCE: Duration = Duration::from_millis(1200);

/// Time for which a request waits for the store's word on it; the store answers within 10 ms.
const SUSPECTS_PATIENCE: Duration = Duration::from_millis(150);

impl DirectCall {
    /// Waits for a place.
    pub(super) async fn find_place(&mut self) -> Result<PlacedRequest, DirectStep> {
        let mut waiting: Option<LineTicket> = None;
        self.await_suspects().await;
        while let Some(left) = self.board.news_wait() {
            sleep(left).await;
        }
        loop {
            let board = Arc::clone(&self.board);
            let mut changed = std::pin::pin!(board.changed());
            changed.as_mut().enable();
            let mut line_moved = std::pin::pin!(board.line_moved());
            line_moved.as_mut().enable();
            let now = self.board.clock.now();
            if now >= self.deadline {
                return Err(self.machine.expired());
            }
            if !self.may_send(now) {
                self.note_refused("the gateway stops");
                return Err(DirectStep::Answer(self.machine.stopped()));
            }
            if let Some(left) = self.board.quarantined_for(self.fingerprint) {
                self.retry_after = Some(left);
                self.note_refused("engines end under it");
                return Err(self.machine.quarantined(now));
            }
            let last_look = waiting.as_ref().is_some_and(|ticket| now >= ticket.until);
            let may_look = waiting.as_ref().is_none_or(LineTicket::is_first) || last_look;
            let mut available_at = None;
            if may_look {
                let waited = waiting.as_ref().map_or(0.0, |ticket| ticket.waited(now));
                match self.look(now, self.effort(waited)) {
                    PlaceResult::Placed(placed) => return Ok(*placed),
                    PlaceResult::Full | PlaceResult::NoEndpoint if last_look => {
                        return Err(self.refuse(now));
                    }
                    PlaceResult::Full | PlaceResult::NoEndpoint => {}
                    PlaceResult::Unavailable { until } => available_at = Some(until),
                }
            }
            let until = match &waiting {
                Some(ticket) => ticket.until,
                None => {
                    let ticket = self.join_line(now)?;
                    waiting.insert(ticket).until
                }
            };
            if let Some(available_at) = available_at.filter(|at| last_look || *at > until) {
                return Err(self.refuse_unavailable(now, available_at));
            }
            if !may_look {
                tokio::select! {
                    () = line_moved => {}
                    () = sleep_until(self.instant(until)) => {}
                }
                continue;
            }
            let pause = match self.line.is_long() {
                true => LONG_PAUSE.mul_f64(rand::random()),
                false => LOOK_PAUSE,
            };
            sleep_until(self.instant(until.min(now + pause))).await;
            tokio::select! {
                () = changed => {}
                () = sleep_until(self.instant(until.min(now + LOOK_AGAIN))) => {}
            }
        }
    }

    /// Before a request under which a process ended is sent again, waits for what gateways that are
    /// out of sight have kept of it in the store.
    ///
    /// Otherwise each of the gateways that cannot hear each other would lose three engines to it.
    async fn await_suspects(&self) {
        if !self.board.is_suspect(self.fingerprint) || !self.board.misses_peers() {
            return;
        }
        let mut read = std::pin::pin!(self.board.suspects_read.notified());
        read.as_mut().enable();
        self.board.suspects_wanted.notify_one();
        // A store that does not answer must not hold the request up for longer.
        let _ = timeout(SUSPECTS_PATIENCE, read).await;
    }

    /// How good a place has to be for this request, which has used a part of its patience.
    fn effort(&self, waited: f64) -> PlaceEffort {
        if self.machine.sent() > 0 {
            return PlaceEffort::Any;
        }
        match waited < 1.0 {
            true => PlaceEffort::Choosy { waited },
            false => PlaceEffort::Last,
        }
    }

    /// Whether the gateway goes on for long enough, if it stops. What is left of an answer that has
    /// begun is tried in any case.
    fn may_send(&self, now: Timestamp) -> bool {
        if self.way.has_begun() {
            return true;
        }
        let plan = self.board.stop_plan();
        plan.is_none_or(|plan| plan.may_send(now, &self.parts.outlook()))
    }

    fn look(&self, now: Timestamp, effort: PlaceEffort) -> PlaceResult {
        let head = &self.parts.head;
        let is_return = self.line.is_return();
        let gap = self.parts.route.gap_objective;
        let request = DirectRequest {
            prompt: head.prompt,
            answer: head.expected_answer(),
            objective_left: self.late_at.saturating_sub(now),
            gap: match is_return || now > self.late_at {
                true => gap.map(|gap| gap.max(RELAXED_GAP)),
                false => gap,
            },
            returned: is_return && self.machine.sent() == 0,
            suspect: self.board.is_suspect(self.fingerprint),
        };
        self.board.place(
            &self.parts.config,
            &self.parts.service,
            &request,
            self.machine.excluded(),
            self.line,
            effort,
        )
    }

    fn join_line(&mut self, now: Timestamp) -> Result<LineTicket, DirectStep> {
        let time_left = self.deadline.saturating_sub(now);
        let late_at = self.late_at + RANK_TIME * u32::from(self.parts.priority);
        let objective_at = self.late_at;
        let (decision, ticket) = self
            .board
            .with_line(&self.parts.service, self.line, |line| {
                let decision = line.decide(now, objective_at, time_left, rand::random());
                (decision, line.enqueue(late_at))
            });
        let mut ticket = LineTicket {
            board: Arc::clone(&self.board),
            service: self.parts.service.clone(),
            line: self.line,
            ticket,
            joined: now,
            until: now,
        };
        if self.machine.sent() > 0 {
            ticket.until = (now + AGAIN_PATIENCE).min(self.deadline);
            return Ok(ticket);
        }
        match decision {
            QueueDecision::Wait { until } => {
                ticket.until = until;
                Ok(ticket)
            }
            QueueDecision::Refuse { retry_after } => {
                self.retry_after = Some(retry_after);
                self.note_refused("it would wait too long");
                Err(self.machine.no_place(now))
            }
        }
    }

    /// Refuses a request because all endpoints are rate limited or in backoff, at least until `until`.
    fn refuse_unavailable(&mut self, now: Timestamp, until: Timestamp) -> DirectStep {
        let wait = until.saturating_sub(now);
        let time_left = self.deadline.saturating_sub(now);
        let retry_after = self
            .board
            .with_line(&self.parts.service, self.line, |line| {
                line.retry_after(wait, time_left, rand::random())
            });
        self.retry_after = Some(retry_after.max(wait));
        self.note_refused("all endpoints are rate limited or in backoff");
        self.machine.no_place(now)
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
}

/// A place in a waiting line; dropping it leaves the line.
struct LineTicket {
    board: Arc<FleetBoard>,
    service: ServiceId,
    line: QueueKind,
    ticket: (Timestamp, u64),
    joined: Timestamp,
    until: Timestamp,
}

impl LineTicket {
    /// Part of the patience that is used up; 1 at its end.
    fn waited(&self, now: Timestamp) -> f64 {
        let patience = self.until.saturating_sub(self.joined).as_secs_f64();
        let waited = now.saturating_sub(self.joined).as_secs_f64();
        (waited / patience.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn is_first(&self) -> bool {
        let line = |line: &mut lovagedock::WaitingQueue| line.is_first(&self.ticket);
        self.board.with_line(&self.service, self.line, line)
    }
}

impl Drop for LineTicket {
    fn drop(&mut self) {
        let leave = |line: &mut lovagedock::WaitingQueue| line.remove(&self.ticket);
        self.board.with_line(&self.service, self.line, leave);
        self.board.note_line_moved();
    }
}
