//! Waits for a placement.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    DirectRequest, DirectStep, PartVerdict, QueueDecision, QueueKind, RELAXED_GAP, may_book_team,
    prelude::*,
};
use tokio::time::{sleep, sleep_until, timeout};

use super::{DirectCall, FIRST_EVENT_SLACK, RETURN_SLACK};
use crate::direct::state::{
    BookingGuard, GatewayState, PlacedRequest, PlacementResult, PlacementThreshold,
};

/// Maximum and minimum time between two placement attempts. Peers send updates up to 800 times a
/// second, and an attempt takes 19 us of a full core with 70 endpoints (`examples/direct_cost`).
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(20);
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(4);

/// Maximum delay before another placement attempt for a long prompt.
const MAX_LONG_PROMPT_DELAY: Duration = Duration::from_millis(100);

/// Waiting time that one priority rank is worth: in a queue, a request goes before one of the next
/// rank that is due at most this much sooner. Without this bound, a rank that always went first
/// would starve the ranks below it.
const PRIORITY_OFFSET: Duration = Duration::from_millis(20);

/// Time for which a request that an engine has worked on waits for another engine. Callers of
/// streams disconnect after two seconds without an event.
const RESUME_WAIT_LIMIT: Duration = Duration::from_millis(1200);

/// Time for which a request waits for the suspects in the store to be read. The store responds
/// within 10 ms.
const SUSPECTS_READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Minimum time for which a doubtful request waits for the trial of another one, which takes about
/// as long as a first event, and retry delay if the trial is not decided by then.
const MIN_TRIAL_WAIT: Duration = Duration::from_secs(1);
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

impl DirectCall {
    /// Waits until the request is placed or has to be refused.
    pub(super) async fn wait_for_placement(&mut self) -> Result<PlacedRequest, DirectStep> {
        let mut queued: Option<QueueEntry> = None;
        self.wait_for_suspects_read().await;
        while let Some(remaining) = self.state.placement_delay() {
            sleep(remaining).await;
        }
        self.check_share(self.state.clock.now())?;
        loop {
            let state = Arc::clone(&self.state);
            let mut changed = std::pin::pin!(state.capacity_changed());
            changed.as_mut().enable();
            let mut queue_advanced = std::pin::pin!(state.queue_advanced());
            queue_advanced.as_mut().enable();
            let now = self.state.clock.now();
            if now >= self.deadline {
                return Err(self.machine.expired_step());
            }
            if !self.may_send_before_stop(now) {
                self.log_refused("the gateway stops");
                return Err(DirectStep::Answer(self.machine.stopped_code()));
            }
            if let Some(remaining) = self.quarantined_for() {
                self.retry_after = Some(remaining);
                self.log_refused("engines end under it");
                return Err(self.machine.quarantined_step(now));
            }
            if !self.holds_trial() && self.state.awaits_trial(&self.parts.head.parts) {
                if let Some(entry) = queued.as_mut() {
                    entry.step_aside();
                }
                if now >= self.trial_wait_end() {
                    self.retry_after = Some(TRIAL_RETRY_DELAY);
                    self.log_refused("engines end under some of its parts");
                    return Err(self.machine.quarantined_step(now));
                }
                sleep(MAX_SEARCH_INTERVAL).await;
                continue;
            }
            let is_booked = self.booking.is_some();
            if let Some(entry) = queued.as_mut().filter(|_| is_booked) {
                entry.step_aside();
            }
            let wait_end = |entry: &QueueEntry| match is_booked {
                true => entry.wait_until.max(self.late_at.min(self.deadline)),
                false => entry.wait_until,
            };
            let is_last_search = queued.as_ref().is_some_and(|entry| now >= wait_end(entry));
            let may_search = queued.as_ref().is_none_or(QueueEntry::is_first) || is_last_search;
            let mut available_at = None;
            if may_search {
                let waited_fraction = queued
                    .as_ref()
                    .map_or(0.0, |entry| entry.waited_fraction(now));
                match self.search_placement(now, self.placement_threshold(waited_fraction)) {
                    PlacementResult::Placed(placed) => {
                        if !self.confirm_trial(&placed).await {
                            continue;
                        }
                        if self.confirm_claims(&placed).await {
                            return Ok(*placed);
                        }
                        self.lost_claims += 1;
                        continue;
                    }
                    PlacementResult::Full(rejected) => {
                        self.rejected = rejected;
                        if is_last_search {
                            return Err(self.refuse_after_wait(now));
                        }
                    }
                    PlacementResult::NoEndpoint if is_last_search => {
                        return Err(self.refuse_after_wait(now));
                    }
                    PlacementResult::NoEndpoint => {}
                    PlacementResult::Unavailable { until } => available_at = Some(until),
                    PlacementResult::Drained => return Err(self.refuse_drained(now)),
                }
            }
            if self.may_book(now) {
                self.booking = self.state.book_team(
                    &self.parts.config,
                    &self.parts.service,
                    &self.parts.route,
                    self.parts.head.prompt,
                );
                if let Some(booking) = &self.booking {
                    self.log_booked(booking.team());
                }
            }
            let until = match &queued {
                Some(entry) => wait_end(entry),
                None => {
                    let entry = self.join_queue(now)?;
                    queued.insert(entry).wait_until
                }
            };
            if let Some(available_at) = available_at.filter(|at| is_last_search || *at > until) {
                return Err(self.refuse_unavailable(now, available_at));
            }
            if !may_search {
                tokio::select! {
                    () = queue_advanced => {}
                    () = sleep_until(self.instant(until)) => {}
                }
                continue;
            }
            let pause = match self.queue.is_long() {
                true => MAX_LONG_PROMPT_DELAY.mul_f64(rand::random()),
                false => MIN_SEARCH_INTERVAL,
            };
            sleep_until(self.instant(until.min(now + pause))).await;
            tokio::select! {
                () = changed => {}
                () = sleep_until(self.instant(until.min(now + MAX_SEARCH_INTERVAL))) => {}
            }
        }
    }

    /// Returns whether a team may be booked for the request: a long prompt that can still be on time
    /// with a team that has to come together first.
    fn may_book(&self, now: Timestamp) -> bool {
        let waited = now.saturating_sub(self.parts.arrived);
        self.booking.is_none()
            && self.queue == QueueKind::Long
            && self.machine.sent_count() == 0
            && may_book_team(waited, self.parts.route.objective)
    }

    /// Waits until other gateways know of the placement of a prompt that several endpoints share or
    /// that takes one of the last slots, and returns whether it may be sent.
    ///
    /// Gateways that place long prompts at the same moment choose the same idle engines, and a prompt
    /// waits for the slowest engine of its team.
    async fn confirm_claims(&self, placed: &PlacedRequest) -> bool {
        if placed.claim_time.is_zero() {
            return true;
        }
        sleep(placed.claim_time).await;
        let is_confirmed = self.state.confirm_claims(placed);
        match &placed.slot_claim {
            Some(_) => {
                let outcome = if is_confirmed { "confirmed" } else { "lost" };
                metrics::counter!("lovagedock_slot_claims_total", "outcome" => outcome)
                    .increment(1);
            }
            None if !is_confirmed => {
                metrics::counter!("lovagedock_lost_claims_total").increment(1);
            }
            None => {}
        }
        is_confirmed
    }

    /// Returns whether a placed request may be sent in view of the parts of its prompt. A doubtful
    /// one may if no other gateway starts a trial of the same parts at the same moment.
    async fn confirm_trial(&mut self, placed: &PlacedRequest) -> bool {
        let parts = &self.parts.head.parts;
        if self.state.part_verdict(parts) != PartVerdict::Doubtful || self.holds_trial() {
            return true;
        }
        let time = placed.first_event_delay * 2 + FIRST_EVENT_SLACK;
        if !self.state.try_start_trial(self.fingerprint, parts, time) {
            return false;
        }
        sleep(self.state.trial_claim_time()).await;
        self.has_trial = self.state.holds_trial(parts);
        self.log_trial(&placed.lead.process, self.has_trial);
        self.has_trial
    }

    fn holds_trial(&self) -> bool {
        self.has_trial && self.state.holds_trial(&self.parts.head.parts)
    }

    /// Returns until when a doubtful request waits for the trial of another one.
    fn trial_wait_end(&self) -> Timestamp {
        let wait_end = self.late_at.max(self.parts.arrived + MIN_TRIAL_WAIT);
        wait_end.min(self.deadline)
    }

    /// Waits for a read of the suspects that silent peers have written to the store, before a
    /// request under which a process ended is sent again.
    ///
    /// Otherwise each gateway that cannot reach the others would lose three engines to the request.
    async fn wait_for_suspects_read(&self) {
        if !self.is_suspect() || !self.state.has_silent_peers() {
            return;
        }
        let mut read = std::pin::pin!(self.state.suspects_read.notified());
        read.as_mut().enable();
        self.state.suspects_read_requested.notify_one();
        // A store that does not respond must not delay the request any longer.
        let _ = timeout(SUSPECTS_READ_TIMEOUT, read).await;
    }

    /// Returns how good a placement has to be, given the fraction of the waiting time that has
    /// passed.
    fn placement_threshold(&self, waited_fraction: f64) -> PlacementThreshold {
        if self.machine.sent_count() > 0 {
            return PlacementThreshold::Any;
        }
        match waited_fraction < 1.0 {
            true => PlacementThreshold::Selective { waited_fraction },
            false => PlacementThreshold::WorthStarting,
        }
    }

    /// Returns whether the gateway runs for long enough to send the request if it is stopping. A
    /// response that has begun is always resumed.
    fn may_send_before_stop(&self, now: Timestamp) -> bool {
        if self.sender.has_begun() {
            return true;
        }
        let plan = self.state.stop_plan();
        plan.is_none_or(|plan| plan.may_send(now, &self.parts.outlook()))
    }

    fn search_placement(&self, now: Timestamp, threshold: PlacementThreshold) -> PlacementResult {
        let head = &self.parts.head;
        let is_return = self.queue.is_return();
        let gap = self.parts.route.gap_objective;
        let request = DirectRequest {
            prompt: head.prompt,
            answer: head.expected_answer(),
            objective_left: self.late_at.saturating_sub(now),
            gap: match is_return || now > self.late_at {
                true => gap.map(|gap| gap.max(RELAXED_GAP)),
                false => gap,
            },
            returned: is_return && self.machine.sent_count() == 0,
            suspect: self.is_suspect(),
            booked: self.booking.as_ref().map(BookingGuard::team),
        };
        self.state.place(
            &self.parts.config,
            &self.parts.service,
            &request,
            self.machine.excluded(),
            self.queue,
            threshold,
        )
    }

    fn join_queue(&mut self, now: Timestamp) -> Result<QueueEntry, DirectStep> {
        let time_left = self.deadline.saturating_sub(now);
        let due_at = self.queue_due_at() + PRIORITY_OFFSET * u32::from(self.parts.priority);
        let objective_at = self.late_at;
        let expected = self.state.expected_wait(&self.parts.service, self.queue);
        let (decision, position) =
            self.state
                .with_queue(&self.parts.service, self.queue, |queue| {
                    let decision =
                        queue.decide(now, objective_at, time_left, expected, rand::random());
                    (decision, queue.enqueue(due_at))
                });
        let mut entry = QueueEntry {
            state: Arc::clone(&self.state),
            service: self.parts.service.clone(),
            queue: self.queue,
            position: Some(position),
            joined_at: now,
            wait_until: now,
        };
        if self.machine.sent_count() > 0 {
            entry.wait_until = (now + RESUME_WAIT_LIMIT).min(self.deadline);
            return Ok(entry);
        }
        match decision {
            QueueDecision::Wait { until } => {
                self.count_wait();
                entry.wait_until = until;
                Ok(entry)
            }
            QueueDecision::Refuse { retry_after } => {
                self.count_overload();
                let step = self.refuse_with_delay(now, Duration::ZERO, retry_after);
                self.log_refused("it would wait too long");
                Err(step)
            }
        }
    }

    /// Returns by when the request is ordered in its queue. A scheduled return may wait for as long as
    /// any returning request, but not behind all new ones.
    fn queue_due_at(&self) -> Timestamp {
        match self.returning.is_on_time() {
            true => self.late_at.saturating_sub(RETURN_SLACK),
            false => self.late_at,
        }
    }

    /// Refuses a request because all endpoints are rate limited or in backoff, at least until
    /// `until`.
    fn refuse_unavailable(&mut self, now: Timestamp, until: Timestamp) -> DirectStep {
        let wait = until.saturating_sub(now);
        let time_left = self.deadline.saturating_sub(now);
        let retry_after = self
            .state
            .with_queue(&self.parts.service, self.queue, |queue| {
                queue.retry_after(wait, time_left, rand::random())
            });
        self.count_overload();
        let step = self.refuse_with_delay(now, wait, retry_after.max(wait));
        self.log_refused("all endpoints are rate limited or in backoff");
        step
    }

    fn refuse_after_wait(&mut self, now: Timestamp) -> DirectStep {
        self.count_overload();
        self.refuse(now, "no place came free in time")
    }

    /// Refuses a request whose service has no endpoint outside of drained failure domains.
    fn refuse_drained(&mut self, now: Timestamp) -> DirectStep {
        self.refuse(now, "all endpoints are in drained failure domains")
    }

    pub(super) fn refuse(&mut self, now: Timestamp, reason: &'static str) -> DirectStep {
        let time_left = self.deadline.saturating_sub(now);
        let retry_after = self
            .state
            .with_queue(&self.parts.service, self.queue, |queue| {
                queue.retry_after(Duration::ZERO, time_left, rand::random())
            });
        let step = self.refuse_with_delay(now, Duration::ZERO, retry_after);
        self.log_refused(reason);
        step
    }
}

/// Position in a waiting queue. Dropping it leaves the queue.
struct QueueEntry {
    state: Arc<GatewayState>,
    service: ServiceId,
    queue: QueueKind,
    /// `None` once the request searches beside the queue.
    position: Option<(Timestamp, u64)>,
    joined_at: Timestamp,
    wait_until: Timestamp,
}

impl QueueEntry {
    /// Returns the fraction of the waiting time that has passed; 1 at its end.
    fn waited_fraction(&self, now: Timestamp) -> f64 {
        let wait_limit = self.wait_until.saturating_sub(self.joined_at).as_secs_f64();
        let waited = now.saturating_sub(self.joined_at).as_secs_f64();
        (waited / wait_limit.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn is_first(&self) -> bool {
        self.position.is_none_or(|position| {
            let is_first = |queue: &mut lovagedock::WaitingQueue| queue.is_first(&position);
            self.state.with_queue(&self.service, self.queue, is_first)
        })
    }

    /// Leaves the queue, so that the requests behind do not wait until this one has its team.
    fn step_aside(&mut self) {
        let Some(position) = self.position.take() else {
            return;
        };
        let leave = |queue: &mut lovagedock::WaitingQueue| queue.remove(&position);
        self.state.with_queue(&self.service, self.queue, leave);
        self.state.notify_queue_advanced();
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.step_aside();
    }
}
