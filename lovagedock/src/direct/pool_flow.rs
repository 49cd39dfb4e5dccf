//! Arrivals and starts of a service over all gateways.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{capacity_window::CapacityWindow, rate::EventRate};
use crate::ids::{GatewayId, Timestamp};

/// Short form of a service's name in messages between gateways.
pub type ServiceTag = u32;

/// Returns the short form of a service's name.
pub fn service_tag(name: &str) -> ServiceTag {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as ServiceTag
}

/// Requests of a service that compete for the same capacity: short prompts and plain requests for
/// slots, long prompts for prefill time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FlowLane {
    /// Short prompts and plain requests.
    Short,
    /// Long prompts.
    Long,
}

impl FlowLane {
    /// Returns the lane of a request.
    pub fn new(is_long: bool) -> Self {
        match is_long {
            false => Self::Short,
            true => Self::Long,
        }
    }

    /// Name in logs, metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// Flow of one service and lane at one gateway, as sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowUpdate {
    /// The service.
    pub service: ServiceTag,
    /// The lane.
    pub lane: FlowLane,
    /// First attempts that arrive, per second.
    pub arrivals: f32,
    /// Requests that are placed, per second.
    pub starts: f32,
    /// Requests that are refused for lack of capacity, per second.
    pub refusals: f32,
    /// Requests that wait at the gateway.
    pub waiting: u16,
}

/// A service and lane.
pub type FlowKey = (ServiceTag, FlowLane);

/// Averaging window of rates: about the time for which a response occupies a slot.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which rates are measured before they are used. They are corrected for the part of the
/// window that has passed.
const MIN_MEASURED: Duration = Duration::from_secs(1);

/// Time for which a lane counts as overloaded after a request was refused or queued.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);

/// Time after which a report of a peer no longer counts, and no longer makes this gateway report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Minimum and maximum time between two reports of a lane. With a longer time, one lost report would
/// make a gateway count as silent.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks for due reports. Messages are sent up to 125 times a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Encoded size of a report, and bytes per second that a gateway sends of reports to all receivers: half
/// of what it may send in all.
const REPORT_BYTES: f64 = 20.0;
const MAX_REPORT_BYTES_PER_SECOND: f64 = 3000.0;

/// Maximum number of lanes, and of reports in a message. A fleet has a few services.
const MAX_LANES: usize = 64;

/// Maximum number of peers whose reports are kept for a lane.
const MAX_PEERS: usize = 4096;

/// Time for which sums are reused, so that a request does not add up the reports of all gateways.
const SUM_TIME: Duration = Duration::from_millis(50);

/// Share of the capacity that is offered to returns at least. Without it, no caller would return while
/// a burst lasts, and all of them would return after it.
const MIN_SPARE_SHARE: f64 = 0.1;

/// Largest rate that a peer may report, per second.
const MAX_RATE: f64 = 1e6;

/// Flow of a lane, summed over this gateway and its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FlowTotals {
    /// Gateways whose flow is counted.
    pub gateways: usize,
    /// First attempts that arrive, per second.
    pub arrivals: f64,
    /// Requests that are placed, per second.
    pub starts: f64,
    /// Requests that are refused for lack of capacity, per second.
    pub refusals: f64,
    /// Requests that wait.
    pub waiting: f64,
    /// Highest rate of starts within the last seconds, per second.
    pub capacity: f64,
}

impl FlowTotals {
    /// Returns the rate of returns for which there is capacity, per second.
    pub fn spare(&self) -> f64 {
        (self.capacity - self.arrivals).max(self.capacity * MIN_SPARE_SHARE)
    }

    /// Returns the time that a new request is expected to wait, or `None` if no rate is known.
    ///
    /// `min_rate` is the rate of starts that is assumed for each gateway, per second.
    pub fn expected_wait(&self, min_rate: f64) -> Option<Duration> {
        let rate = self.starts.max(min_rate * self.gateways as f64);
        Duration::try_from_secs_f64(self.waiting / rate).ok()
    }

    fn add(&mut self, flow: &FlowUpdate) {
        self.gateways += 1;
        self.arrivals += f64::from(flow.arrivals);
        self.starts += f64::from(flow.starts);
        self.refusals += f64::from(flow.refusals);
        self.waiting += f64::from(flow.waiting);
    }
}

/// Flow of requests over all gateways, by service and lane.
///
/// Each gateway measures its own rates and adds the latest reports of its peers. A gateway that
/// hears no peer uses its own rates alone.
#[derive(Clone, Debug, Default)]
pub struct PoolFlow {
    lanes: HashMap<FlowKey, LaneFlow>,
    /// When the first request was recorded.
    measured_since: Option<Timestamp>,
    /// Shift of the times at which lanes are reported.
    phase: Duration,
    /// Time from which reports may be due again.
    next_report_at: Timestamp,
}

#[derive(Clone, Debug)]
struct LaneFlow {
    arrivals: EventRate,
    starts: EventRate,
    refusals: EventRate,
    waiting: usize,
    overloaded_at: Option<Timestamp>,
    peer_overloaded_at: Option<Timestamp>,
    reported_at: Option<Timestamp>,
    peers: HashMap<GatewayId, PeerFlow>,
    peer_sum: FlowTotals,
    summed_at: Option<Timestamp>,
    capacity: CapacityWindow,
}

#[derive(Clone, Copy, Debug)]
struct PeerFlow {
    flow: FlowUpdate,
    received_at: Timestamp,
    /// When its first report was received.
    since: Timestamp,
}

impl PoolFlow {
    /// Creates a state without measured rates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Shifts the times at which lanes are reported. `draw` is a random number in `0.0..1.0`.
    ///
    /// A burst reaches all gateways at the same moment. If they also reported at the same moments, all
    /// would see an empty queue at once and fill it.
    pub fn with_phase(mut self, draw: f64) -> Self {
        self.phase = MAX_REPORT_INTERVAL.mul_f64(draw.clamp(0.0, 1.0));
        self
    }

    /// Records the first attempt of a request.
    pub fn record_arrival(&mut self, now: Timestamp, key: FlowKey) {
        if let Some(lane) = self.measured_lane(now, key) {
            lane.arrivals.record(now);
        }
    }

    /// Records that a request was placed.
    pub fn record_start(&mut self, now: Timestamp, key: FlowKey) {
        if let Some(lane) = self.measured_lane(now, key) {
            lane.starts.record(now);
        }
    }

    /// Records that a request was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Timestamp, key: FlowKey) {
        if let Some(lane) = self.measured_lane(now, key) {
            lane.refusals.record(now);
            lane.overloaded_at = Some(now);
        }
    }

    /// Records that a request could not be placed at once.
    pub fn record_queued(&mut self, now: Timestamp, key: FlowKey) {
        if let Some(lane) = self.measured_lane(now, key) {
            lane.overloaded_at = Some(now);
        }
    }

    /// Sets the number of requests that wait at this gateway.
    pub fn set_waiting(&mut self, key: FlowKey, waiting: usize) {
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.waiting = waiting;
        }
    }

    /// Applies the flow that a peer reported.
    pub fn apply_report(&mut self, now: Timestamp, peer: &GatewayId, report: &FlowUpdate) {
        let Some(lane) = self.lane(now, (report.service, report.lane)) else {
            return;
        };
        if lane.peers.len() >= MAX_PEERS && !lane.peers.contains_key(peer) {
            return;
        }
        let flow = FlowUpdate {
            arrivals: plausible_rate(report.arrivals),
            starts: plausible_rate(report.starts),
            refusals: plausible_rate(report.refusals),
            ..*report
        };
        if flow.refusals > 0.0 || flow.waiting > 0 {
            lane.peer_overloaded_at = Some(now);
        }
        match lane.peers.get_mut(peer) {
            Some(known) => {
                known.flow = flow;
                known.received_at = now;
            }
            None => {
                let first = PeerFlow {
                    flow,
                    received_at: now,
                    since: now,
                };
                lane.peers.insert(peer.clone(), first);
            }
        }
    }

    /// Discards the reports of a peer that has restarted.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        for lane in self.lanes.values_mut() {
            if let Some(known) = lane.peers.remove(peer) {
                lane.capacity
                    .subtract(known.since, f64::from(known.flow.starts));
                lane.summed_at = None;
            }
        }
    }

    /// Returns the flow of a lane over all gateways, or `None` if it has not been measured for long
    /// enough.
    pub fn totals(&mut self, now: Timestamp, key: FlowKey) -> Option<FlowTotals> {
        let measured = measured_time(now, self.measured_since)?;
        let lane = self.lanes.get_mut(&key)?;
        Some(lane.totals(now, measured))
    }

    /// Returns the flows of all lanes over all gateways.
    pub fn all_totals(&mut self, now: Timestamp) -> Vec<(FlowKey, FlowTotals)> {
        let Some(measured) = measured_time(now, self.measured_since) else {
            return Vec::new();
        };
        let lanes = self.lanes.iter_mut();
        let totals = lanes.map(|(key, lane)| (*key, lane.totals(now, measured)));
        let mut totals: Vec<_> = totals.collect();
        totals.sort_unstable_by_key(|(key, _)| *key);
        totals
    }

    /// Returns whether it is time to look for reports that are due. It is in vain more often than once
    /// in each of these intervals.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_report_at
    }

    /// Returns the flows of this gateway that are due to be sent to `receivers` gateways: those of lanes
    /// that are overloaded here or at a peer.
    pub fn take_reports(&mut self, now: Timestamp, receivers: usize) -> Vec<FlowUpdate> {
        let Some(measured) = measured_time(now, self.measured_since) else {
            return Vec::new();
        };
        let active = self.lanes.values().filter(|lane| lane.is_active(now));
        let interval = report_interval(active.count(), receivers);
        let round = |at: Timestamp| at.as_millis() / interval.as_millis();
        self.next_report_at = now + CHECK_INTERVAL;
        let mut reports = Vec::new();
        for (key, lane) in &mut self.lanes {
            let is_due = lane
                .reported_at
                .is_none_or(|at| round(at + self.phase) < round(now + self.phase));
            if is_due && lane.is_active(now) {
                lane.reported_at = Some(now);
                reports.push(lane.own_flow(now, *key, measured));
            }
        }
        reports
    }

    fn measured_lane(&mut self, now: Timestamp, key: FlowKey) -> Option<&mut LaneFlow> {
        self.measured_since.get_or_insert(now);
        self.lane(now, key)
    }

    fn lane(&mut self, now: Timestamp, key: FlowKey) -> Option<&mut LaneFlow> {
        if self.lanes.len() >= MAX_LANES && !self.lanes.contains_key(&key) {
            self.lanes.retain(|_, lane| !lane.is_idle(now));
            if self.lanes.len() >= MAX_LANES {
                return None;
            }
        }
        Some(self.lanes.entry(key).or_insert_with(LaneFlow::new))
    }
}

impl LaneFlow {
    fn new() -> Self {
        Self {
            arrivals: EventRate::new(RATE_WINDOW),
            starts: EventRate::new(RATE_WINDOW),
            refusals: EventRate::new(RATE_WINDOW),
            waiting: 0,
            overloaded_at: None,
            peer_overloaded_at: None,
            reported_at: None,
            peers: HashMap::new(),
            peer_sum: FlowTotals::default(),
            summed_at: None,
            capacity: CapacityWindow::default(),
        }
    }

    fn is_overloaded(&self, now: Timestamp) -> bool {
        is_within(now, self.overloaded_at, OVERLOAD_TIME)
    }

    fn is_active(&self, now: Timestamp) -> bool {
        self.is_overloaded(now) || is_within(now, self.peer_overloaded_at, REPORT_TIMEOUT)
    }

    /// Returns whether nothing is lost if the lane is removed.
    fn is_idle(&self, now: Timestamp) -> bool {
        let mut peers = self.peers.values();
        !self.is_active(now)
            && self.arrivals.per_second_at(now) < MIN_RATE
            && self.starts.per_second_at(now) < MIN_RATE
            && !peers.any(|peer| is_within(now, Some(peer.received_at), REPORT_TIMEOUT))
    }

    fn own_flow(&self, now: Timestamp, key: FlowKey, measured: Duration) -> FlowUpdate {
        let part = 1.0 - (-measured.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        let rate = |rate: &EventRate| (rate.per_second_at(now) / part) as f32;
        let refusals = match self.is_overloaded(now) {
            true => rate(&self.refusals),
            // Otherwise peers would report for as long as the average decays.
            false => 0.0,
        };
        FlowUpdate {
            service: key.0,
            lane: key.1,
            arrivals: rate(&self.arrivals),
            starts: rate(&self.starts),
            refusals,
            waiting: self.waiting.min(usize::from(u16::MAX)) as u16,
        }
    }

    fn totals(&mut self, now: Timestamp, measured: Duration) -> FlowTotals {
        let is_summed = is_within(now, self.summed_at, SUM_TIME);
        if !is_summed {
            self.sum_peers(now);
        }
        let own = self.own_flow(now, (0, FlowLane::Short), measured);
        let mut totals = self.peer_sum;
        totals.add(&own);
        if !is_summed {
            self.capacity.record(now, totals.starts);
        }
        totals.capacity = self.capacity.highest(now).max(totals.starts);
        totals
    }

    fn sum_peers(&mut self, now: Timestamp) {
        self.summed_at = Some(now);
        self.peer_sum = FlowTotals::default();
        let (sum, capacity) = (&mut self.peer_sum, &mut self.capacity);
        self.peers.retain(|_, peer| {
            let is_current = is_within(now, Some(peer.received_at), REPORT_TIMEOUT);
            match is_current {
                true => sum.add(&peer.flow),
                // Its demand is not counted any more either.
                false => capacity.subtract(peer.since, f64::from(peer.flow.starts)),
            }
            is_current
        });
    }
}

/// Rate below which a lane counts as idle, per second.
const MIN_RATE: f64 = 0.01;

fn is_within(now: Timestamp, at: Option<Timestamp>, time: Duration) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) <= time)
}

/// Returns for how long rates have been measured, or `None` if it is too short.
fn measured_time(now: Timestamp, since: Option<Timestamp>) -> Option<Duration> {
    let measured = now.saturating_sub(since?);
    (measured >= MIN_MEASURED).then_some(measured)
}

/// Returns the time between two reports of a lane, so that the reports of `lanes` lanes to
/// `receivers` gateways stay within their part of the traffic.
fn report_interval(lanes: usize, receivers: usize) -> Duration {
    let bytes = REPORT_BYTES * lanes as f64 * receivers as f64;
    Duration::from_secs_f64(bytes / MAX_REPORT_BYTES_PER_SECOND)
        .clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
}

fn plausible_rate(rate: f32) -> f32 {
    match rate.is_finite() {
        true => rate.clamp(0.0, MAX_RATE as f32),
        false => 0.0,
    }
}
