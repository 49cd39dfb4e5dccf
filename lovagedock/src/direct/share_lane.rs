//! Demand of organisations in one lane of a service, and their fair rate.

use std::{collections::HashMap, time::Duration};

use super::{organisation_shares::OrganisationTag, rate::EventRate};
use crate::ids::Timestamp;

/// Averaging window of demand and of what is served.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time after a refusal for lack of capacity during which a lane counts as overloaded.
const OVERLOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a lane is reported after a refusal for lack of capacity, here or at a peer.
pub(super) const REPORTING_TIME: Duration = Duration::from_secs(2);

/// Time between the first refusal of an overload and the first use of shares. Meanwhile the peers'
/// reports arrive; the rates of one of many gateways hold too few requests to tell organisations
/// apart.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time for which rates are measured before shares are used.
const MEASURING_TIME: Duration = Duration::from_secs(1);

/// Factor by which demand has to exceed what is served. A burst of arrivals reaches it only if it
/// lasts.
const OVERLOAD_RATIO: f64 = 1.1;

/// Minimum interval at which the fair rate is computed, and the same for each organisation. A
/// request uses the latest rate, so that its decision takes constant time.
const FAIR_RATE_INTERVAL: Duration = Duration::from_millis(100);
const FAIR_RATE_INTERVAL_PER_ORGANISATION: Duration = Duration::from_micros(25);

/// Rate below which an organisation is forgotten, in cost per second: one short request counts for
/// 8 s.
pub(super) const MIN_RATE: f64 = 0.01;

/// Cost per second of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ShareRates {
    /// Of the first attempts that arrive.
    pub(super) demand: f64,
    /// Of the requests that are placed.
    pub(super) served: f64,
}

impl ShareRates {
    fn add(&mut self, other: Self) {
        self.demand += other.demand;
        self.served += other.served;
    }

    fn subtract(&mut self, other: Self) {
        self.demand = (self.demand - other.demand).max(0.0);
        self.served = (self.served - other.served).max(0.0);
    }

    fn is_negligible(&self) -> bool {
        self.demand < MIN_RATE && self.served < MIN_RATE
    }
}

/// Measured rates of this gateway.
#[derive(Clone, Copy, Debug)]
struct MeasuredRates {
    demand: EventRate,
    served: EventRate,
}

impl MeasuredRates {
    fn new() -> Self {
        Self {
            demand: EventRate::new(RATE_WINDOW),
            served: EventRate::new(RATE_WINDOW),
        }
    }

    fn at(&self, now: Timestamp) -> ShareRates {
        ShareRates {
            demand: self.demand.per_second_at(now),
            served: self.served.per_second_at(now),
        }
    }
}

/// Rates whose contributions come from several peers.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedRates {
    sum: ShareRates,
    reporters: u32,
}

impl ReportedRates {
    fn add(&mut self, rates: ShareRates) {
        self.sum.add(rates);
        self.reporters += 1;
    }

    fn subtract(&mut self, rates: ShareRates) {
        self.reporters = self.reporters.saturating_sub(1);
        match self.reporters {
            // Discards what rounding has left.
            0 => self.sum = ShareRates::default(),
            _ => self.sum.subtract(rates),
        }
    }
}

/// Rates of one organisation at all gateways.
#[derive(Clone, Copy, Debug)]
struct OrganisationRates {
    own: MeasuredRates,
    reported: ReportedRates,
}

impl OrganisationRates {
    fn new() -> Self {
        Self {
            own: MeasuredRates::new(),
            reported: ReportedRates::default(),
        }
    }

    fn at(&self, now: Timestamp) -> ShareRates {
        let mut rates = self.own.at(now);
        rates.add(self.reported.sum);
        rates
    }

    fn is_negligible(&self, now: Timestamp) -> bool {
        self.reported.reporters == 0 && self.own.at(now).is_negligible()
    }
}

/// Organisations of one lane of a service.
#[derive(Clone, Debug)]
pub(super) struct ShareLane {
    organisations: HashMap<OrganisationTag, OrganisationRates>,
    total: OrganisationRates,
    /// When the first request arrived at this gateway.
    measured_since: Option<Timestamp>,
    /// Latest refusal for lack of capacity by this gateway.
    refused_at: Option<Timestamp>,
    /// Latest refusal for lack of capacity by this gateway or a peer.
    overloaded_at: Option<Timestamp>,
    /// First refusal of the current overload.
    overloaded_since: Timestamp,
    /// Latest fair rate and when it was computed.
    fair_rate: Option<(Timestamp, f64)>,
}

impl ShareLane {
    pub(super) fn new() -> Self {
        Self {
            organisations: HashMap::new(),
            total: OrganisationRates::new(),
            measured_since: None,
            refused_at: None,
            overloaded_at: None,
            overloaded_since: Timestamp::ZERO,
            fair_rate: None,
        }
    }

    pub(super) fn record_demand(
        &mut self,
        now: Timestamp,
        organisation: OrganisationTag,
        cost: f64,
    ) {
        self.measured_since.get_or_insert(now);
        self.total.own.demand.record_amount(now, cost);
        let rates = self.organisation(organisation);
        rates.own.demand.record_amount(now, cost);
    }

    pub(super) fn record_served(
        &mut self,
        now: Timestamp,
        organisation: OrganisationTag,
        cost: f64,
    ) {
        self.total.own.served.record_amount(now, cost);
        let rates = self.organisation(organisation);
        rates.own.served.record_amount(now, cost);
    }

    /// Records a refusal for lack of capacity by this gateway.
    pub(super) fn record_refusal(&mut self, now: Timestamp) {
        self.refused_at = Some(now);
        self.record_overload(now);
    }

    /// Records a refusal for lack of capacity, here or at a peer.
    pub(super) fn record_overload(&mut self, now: Timestamp) {
        if !self.has_refused_within(now, REPORTING_TIME) {
            self.overloaded_since = now;
        }
        self.overloaded_at = Some(now);
    }

    /// Returns whether a request was refused for lack of capacity within `time`, here or at a peer.
    pub(super) fn has_refused_within(&self, now: Timestamp, time: Duration) -> bool {
        is_within(self.overloaded_at, now, time)
    }

    /// Returns whether this gateway refused a request for lack of capacity within `time`.
    pub(super) fn has_own_refusal_within(&self, now: Timestamp, time: Duration) -> bool {
        is_within(self.refused_at, now, time)
    }

    pub(super) fn add_reported(&mut self, organisation: OrganisationTag, rates: ShareRates) {
        self.total.reported.add(rates);
        self.organisation(organisation).reported.add(rates);
    }

    pub(super) fn subtract_reported(&mut self, organisation: OrganisationTag, rates: ShareRates) {
        self.total.reported.subtract(rates);
        if let Some(known) = self.organisations.get_mut(&organisation) {
            known.reported.subtract(rates);
        }
    }

    /// Returns the demand of an organisation at all gateways.
    pub(super) fn demand(&self, now: Timestamp, organisation: OrganisationTag) -> f64 {
        let rates = self.organisations.get(&organisation);
        rates.map_or(0.0, |rates| rates.at(now).demand)
    }

    /// Returns the rates of all organisations at all gateways.
    pub(super) fn totals(&self, now: Timestamp) -> ShareRates {
        self.total.at(now)
    }

    /// Returns the rates of each organisation at all gateways.
    pub(super) fn rates(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (OrganisationTag, ShareRates)> {
        let organisations = self.organisations.iter();
        organisations.map(move |(tag, rates)| (*tag, rates.at(now)))
    }

    /// Returns the rates of each organisation at this gateway, as far as they matter.
    pub(super) fn own_rates(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (OrganisationTag, ShareRates)> {
        let organisations = self.organisations.iter();
        let rates = organisations.map(move |(tag, rates)| (*tag, rates.own.at(now)));
        rates.filter(|(_, rates)| !rates.is_negligible())
    }

    /// Returns whether the lane is overloaded and its rates are known.
    pub(super) fn is_overloaded(&self, now: Timestamp) -> bool {
        let is_measured = self
            .measured_since
            .is_some_and(|since| now >= since + MEASURING_TIME);
        if !is_measured || !self.has_refused_within(now, OVERLOAD_TIMEOUT) {
            return false;
        }
        let totals = self.totals(now);
        now >= self.overloaded_since + SETTLE_TIME
            && totals.served >= MIN_RATE
            && totals.demand > totals.served * OVERLOAD_RATIO
    }

    /// Returns the fair rate, in cost per second, or `None` while the lane is not overloaded.
    pub(super) fn fair_rate(&mut self, now: Timestamp) -> Option<f64> {
        if !self.is_overloaded(now) {
            self.fair_rate = None;
            return None;
        }
        if let Some((at, rate)) = self.fair_rate
            && now < at + self.fair_rate_interval()
        {
            return Some(rate);
        }
        let demands = self.rates(now).map(|(_, rates)| rates.demand).collect();
        let rate = max_min_rate(demands, self.admissible(now));
        self.fair_rate = Some((now, rate));
        Some(rate)
    }

    fn fair_rate_interval(&self) -> Duration {
        let count = u32::try_from(self.organisations.len()).unwrap_or(u32::MAX);
        FAIR_RATE_INTERVAL.max(FAIR_RATE_INTERVAL_PER_ORGANISATION.saturating_mul(count))
    }

    /// Returns the cost per second that may be admitted: a tenth more than is served. In the second
    /// after the latest refusal for lack of capacity it rises to the whole demand.
    ///
    /// Without the tenth, requests that are refused while engines have room would lower what is
    /// served, and with it what is admitted: with 10% of such refusals to half of the capacity
    /// (simulation). Without the rise, shares would be switched off and on, since they prevent the
    /// refusals by which an overload is recognised. The cube keeps it small in the first half of
    /// the second: while refusals are that frequent, the lane is full.
    fn admissible(&self, now: Timestamp) -> f64 {
        let totals = self.totals(now);
        let Some(refused_at) = self.overloaded_at else {
            return totals.demand;
        };
        let since = now.saturating_sub(refused_at);
        let passed = since.div_duration_f64(OVERLOAD_TIMEOUT).min(1.0);
        let least = totals.served * OVERLOAD_RATIO;
        least + (totals.demand - least).max(0.0) * passed.powi(3)
    }

    /// Forgets organisations that no longer send requests.
    pub(super) fn forget_idle(&mut self, now: Timestamp) {
        self.organisations
            .retain(|_, rates| !rates.is_negligible(now));
    }

    fn organisation(&mut self, organisation: OrganisationTag) -> &mut OrganisationRates {
        let known = self.organisations.entry(organisation);
        known.or_insert_with(OrganisationRates::new)
    }
}

fn is_within(at: Option<Timestamp>, now: Timestamp, time: Duration) -> bool {
    at.is_some_and(|at| now < at + time)
}

/// Returns the rate at which the sum of `min(demand, rate)` equals `admissible`, or infinity if all
/// demands together are less.
fn max_min_rate(mut demands: Vec<f64>, admissible: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = admissible;
    let mut count = demands.len();
    for demand in demands {
        let rate = left / count as f64;
        if demand > rate {
            return rate;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
