//! Schedule by which refused requests return.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    lane_slots::{LaneSlots, MAX_AHEAD, MAX_JOINED, SLOT, SlotIndex, slot_of, slot_start},
    pool_flow::{FlowKey, FlowLane, FlowTotals, ServiceTag},
    refusals::RequestFingerprint,
};
use crate::ids::Timestamp;

/// Change of a scheduled return, as sent to peers. Times are relative to the sending of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnUpdate {
    /// A request was refused and told to return at this time.
    Scheduled {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Its service.
        service: ServiceTag,
        /// Its lane.
        lane: FlowLane,
        /// Time until the return, in milliseconds.
        due_in_ms: u32,
    },
    /// The request has returned and used its schedule.
    Used {
        /// The request.
        fingerprint: RequestFingerprint,
    },
}

/// Time before and after its schedule at which a return is on time. Callers add the time for a new
/// connection.
const MAX_EARLY: Duration = Duration::from_millis(100);
const MAX_LATE: Duration = Duration::from_millis(700);

/// Time after its schedule at which a return is forgotten.
const RETENTION: Duration = Duration::from_secs(1);

/// Maximum number of returns; gateways refuse some hundred requests per second together at worst.
const MAX_RETURNS: usize = 20_000;

/// Maximum number of lanes whose slots are counted.
const MAX_LANES: usize = 64;

/// Maximum number of updates in a message, and of those that wait to be sent. Beyond that the oldest
/// are dropped, and peers treat these returns like any returning request.
const MAX_PER_MESSAGE: usize = 64;
const MAX_UNSENT: usize = 1024;

/// Time after which an update is sent again. Datagrams are lost in series of a few.
const RESEND_DELAY: Duration = Duration::from_millis(200);

/// Difference by which a repeated report of a return must be earlier to replace the first one. Of
/// two reports, the one that says the earlier time was delayed less on its way.
const MIN_CORRECTION: Duration = Duration::from_millis(20);

/// A request that is refused and may be told when to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Its service and lane.
    pub key: FlowKey,
    /// Minimum time until its return.
    pub min_delay: Duration,
    /// Longest delay that its caller follows.
    pub max_delay: Duration,
}

/// When a refused request returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnDecision {
    /// After this delay. Its return is scheduled.
    Scheduled(Duration),
    /// No slot that its caller can wait for has room.
    NoRoom,
    /// The request has a schedule already, or there are too many returns.
    NotSchedulable,
}

/// How a request with a schedule returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnOutcome {
    /// At its time, for the first time.
    OnTime,
    /// Before its time.
    Early,
    /// After its time.
    Late,
    /// After it has returned before.
    Repeated,
}

impl ReturnOutcome {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Early => "early",
            Self::Late => "late",
            Self::Repeated => "repeated",
        }
    }
}

/// Returns that this gateway and its peers have scheduled.
///
/// A return is a place in capacity that is expected to be spare at its time. Nothing is held for it:
/// if the caller does not return, other requests use the capacity.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    returns: HashMap<RequestFingerprint, ScheduledReturn>,
    /// Returns by the slot in which they expire.
    expiries: BTreeMap<SlotIndex, Vec<RequestFingerprint>>,
    lanes: HashMap<FlowKey, LaneSlots>,
    unsent: VecDeque<ReturnNotice>,
    resent: VecDeque<(Timestamp, ReturnNotice)>,
}

#[derive(Clone, Copy, Debug)]
struct ScheduledReturn {
    /// `None` if only its use is known.
    key: Option<FlowKey>,
    due_at: Timestamp,
    is_used: bool,
}

#[derive(Clone, Copy, Debug)]
enum ReturnNotice {
    Scheduled(RequestFingerprint),
    Used(RequestFingerprint),
}

impl ReturnSchedule {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses when a refused request returns. `draw` is a random number in `0.0..1.0`.
    pub fn schedule(
        &mut self,
        now: Timestamp,
        request: &RefusedRequest,
        totals: &FlowTotals,
        draw: f64,
    ) -> ReturnDecision {
        self.expire(now);
        let is_known = self.returns.contains_key(&request.fingerprint);
        if is_known || self.returns.len() >= MAX_RETURNS {
            return ReturnDecision::NotSchedulable;
        }
        let Some(lane) = self.lane_slots(now, request.key) else {
            return ReturnDecision::NotSchedulable;
        };
        let earliest = now + request.min_delay;
        let latest = now + request.max_delay.min(MAX_AHEAD);
        let room = totals.spare() * SLOT.as_secs_f64();
        let Some((slot, draw)) = lane.first_with_room(earliest, latest, room, draw) else {
            return ReturnDecision::NoRoom;
        };
        let from = slot_start(slot).max(earliest);
        let until = slot_start(slot + 1).min(latest);
        let due_at = from + until.saturating_sub(from).mul_f64(draw);
        self.insert(request.fingerprint, request.key, due_at);
        self.push_notice(ReturnNotice::Scheduled(request.fingerprint));
        ReturnDecision::Scheduled(due_at.saturating_sub(now))
    }

    /// Records that a request arrives, and returns how it returns if it has a schedule. A return that
    /// is on time uses its schedule.
    pub fn record_return(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> Option<ReturnOutcome> {
        self.expire(now);
        let known = self.returns.get_mut(&fingerprint)?;
        if known.is_used {
            return Some(ReturnOutcome::Repeated);
        }
        if now + MAX_EARLY < known.due_at {
            return Some(ReturnOutcome::Early);
        }
        if now > known.due_at + RETENTION {
            return None;
        }
        known.is_used = true;
        let is_late = now > known.due_at + MAX_LATE;
        self.push_notice(ReturnNotice::Used(fingerprint));
        Some(match is_late {
            true => ReturnOutcome::Late,
            false => ReturnOutcome::OnTime,
        })
    }

    /// Applies a change that a peer reported.
    pub fn apply_update(&mut self, now: Timestamp, update: &ReturnUpdate) {
        self.expire(now);
        match *update {
            ReturnUpdate::Scheduled {
                fingerprint,
                service,
                lane,
                due_in_ms,
            } => {
                let due_in = Duration::from_millis(u64::from(due_in_ms));
                if due_in <= MAX_AHEAD {
                    self.apply_scheduled(now, fingerprint, (service, lane), now + due_in);
                }
            }
            ReturnUpdate::Used { fingerprint } => self.apply_used(now, fingerprint),
        }
    }

    /// Returns the changes by this gateway that are due to be sent to peers.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<ReturnUpdate> {
        let mut updates = Vec::new();
        while updates.len() < MAX_PER_MESSAGE {
            let is_due = |(at, _): &(Timestamp, _)| *at <= now;
            let notice = match self.unsent.pop_front() {
                Some(notice) => {
                    self.resent.push_back((now + RESEND_DELAY, notice));
                    notice
                }
                None if self.resent.front().is_some_and(is_due) => match self.resent.pop_front() {
                    Some((_, notice)) => notice,
                    None => break,
                },
                None => break,
            };
            updates.extend(self.update(now, notice));
        }
        while self.resent.len() > MAX_UNSENT {
            self.resent.pop_front();
        }
        updates
    }

    /// Returns whether changes wait to be sent for the first time.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns the number of returns that are known, including those that were used.
    pub fn len(&self) -> usize {
        self.returns.len()
    }

    /// Returns whether no return is known.
    pub fn is_empty(&self) -> bool {
        self.returns.is_empty()
    }

    /// Returns the number of returns in each slot that has not ended, by lane. The first slot is the
    /// current one.
    pub fn slots(&self, now: Timestamp) -> impl Iterator<Item = (FlowKey, Vec<u32>)> {
        let lanes = self.lanes.iter();
        lanes.map(move |(key, lane)| (*key, lane.counts_from(slot_of(now))))
    }

    fn apply_scheduled(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        key: FlowKey,
        due_at: Timestamp,
    ) {
        match self.returns.get(&fingerprint).copied() {
            Some(known) => {
                let is_earlier = due_at + MIN_CORRECTION < known.due_at;
                if is_earlier && !known.is_used && known.key == Some(key) {
                    if let Some(lane) = self.lanes.get_mut(&key) {
                        lane.remove(slot_of(known.due_at));
                    }
                    self.insert(fingerprint, key, due_at);
                }
            }
            None => {
                let has_room = self.returns.len() < MAX_RETURNS;
                if has_room && self.lane_slots(now, key).is_some() {
                    self.insert(fingerprint, key, due_at);
                }
            }
        }
    }

    /// Records that a peer has seen the return. If its schedule arrives later, it is used already.
    fn apply_used(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        if let Some(known) = self.returns.get_mut(&fingerprint) {
            known.is_used = true;
            return;
        }
        if self.returns.len() < MAX_RETURNS {
            let known = ScheduledReturn {
                key: None,
                due_at: now,
                is_used: true,
            };
            self.insert_return(fingerprint, known);
        }
    }

    fn insert(&mut self, fingerprint: RequestFingerprint, key: FlowKey, due_at: Timestamp) {
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.add(slot_of(due_at));
        }
        let scheduled = ScheduledReturn {
            key: Some(key),
            due_at,
            is_used: false,
        };
        self.insert_return(fingerprint, scheduled);
    }

    fn insert_return(&mut self, fingerprint: RequestFingerprint, scheduled: ScheduledReturn) {
        let expiry = slot_of(scheduled.due_at + RETENTION);
        self.expiries.entry(expiry).or_default().push(fingerprint);
        self.returns.insert(fingerprint, scheduled);
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(slot) = self.expiries.first_entry() {
            if *slot.key() >= slot_of(now) {
                return;
            }
            for fingerprint in slot.remove() {
                let known = self.returns.get(&fingerprint);
                if known.is_some_and(|known| known.due_at + RETENTION < now) {
                    self.returns.remove(&fingerprint);
                }
            }
        }
    }

    fn lane_slots(&mut self, now: Timestamp, key: FlowKey) -> Option<&mut LaneSlots> {
        if self.lanes.len() >= MAX_LANES && !self.lanes.contains_key(&key) {
            self.lanes
                .retain(|_, lane| !lane.counts_from(slot_of(now)).is_empty());
            if self.lanes.len() >= MAX_LANES {
                return None;
            }
        }
        let lane = self.lanes.entry(key).or_default();
        lane.drop_before(slot_of(now).saturating_sub(MAX_JOINED));
        Some(lane)
    }

    fn push_notice(&mut self, notice: ReturnNotice) {
        if self.unsent.len() == MAX_UNSENT {
            self.unsent.pop_front();
        }
        self.unsent.push_back(notice);
    }

    /// Returns a change as it is sent now, or `None` if peers need not know it any more.
    fn update(&self, now: Timestamp, notice: ReturnNotice) -> Option<ReturnUpdate> {
        match notice {
            ReturnNotice::Used(fingerprint) => Some(ReturnUpdate::Used { fingerprint }),
            ReturnNotice::Scheduled(fingerprint) => {
                let known = self.returns.get(&fingerprint)?;
                let (service, lane) = known.key?;
                let due_in = known.due_at.checked_sub(now).filter(|_| !known.is_used)?;
                Some(ReturnUpdate::Scheduled {
                    fingerprint,
                    service,
                    lane,
                    due_in_ms: due_in.as_millis() as u32,
                })
            }
        }
    }
}
