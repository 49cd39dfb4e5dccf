//! Request rate limits that endpoints advertise to gateways.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{decimal::parse_decimal, process::EndpointProcess};
use crate::ids::{GatewayId, Timestamp};

/// Requests per second.
pub type RequestRate = f64;

/// Upper bound of an advertised rate. Larger values are malformed.
const MAX_RATE: RequestRate = 1e6;

/// Lower bound applied to advertised rates. Only the response to a request shows that a limit has
/// ended.
const MIN_RATE: RequestRate = 0.1;

/// Minimum time for which a gateway keeps its share of an endpoint's limit after its latest request
/// for that endpoint.
const MIN_DEMAND_TIME: Duration = Duration::from_secs(5);

/// Time after which a peer's claim to send requests to an endpoint expires unless it is sent again.
/// Tolerates the loss of two messages.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2500);

/// Interval at which a limit is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that the gateway that observed a change sends it, to tolerate message loss.
const CHANGE_SENDS: u8 = 3;

/// Number of gateways that claim an endpoint in addition to its senders, so that a replacement is known
/// when a sender fails. Limits the claim traffic, which would otherwise grow with the square of the number
/// of gateways.
const STANDBY_CLAIMS: usize = 2;

/// Time for which a removed limit is retained, so that a peer that missed the removal does not restore it.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of entries per message. At about 35 bytes each, they fit into one packet with the loads.
const MAX_UPDATES_PER_MESSAGE: usize = 16;

/// Rate limit in the headers of an endpoint's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The response contains no limit.
    #[default]
    Unlimited,
    /// Maximum rate across all gateways.
    Limited(RequestRate),
    /// The value is not a valid rate. The previous limit is kept.
    Malformed,
}

impl AdvertisedLimit {
    /// Parses a rate in decimal notation, without sign or exponent.
    pub fn parse(text: &str) -> Self {
        match parse_decimal(text, MAX_RATE) {
            Some(rate) => Self::Limited(rate),
            None => Self::Malformed,
        }
    }
}

/// Result of recording an endpoint's advertised limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimitEvent {
    /// The limit was set, changed or removed.
    Changed {
        /// The previous limit.
        before: Option<RequestRate>,
        /// The new limit.
        rate: Option<RequestRate>,
    },
    /// The endpoint sent a malformed limit for the first time.
    Malformed,
}

/// Whether a request may be sent to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateVerdict {
    /// The endpoint has no limit.
    Unlimited,
    /// This gateway may send one request.
    Admitted,
    /// The limit does not allow a request now.
    RateLimited {
        /// When this gateway or another one may send the next request.
        until: Timestamp,
    },
}

impl RateVerdict {
    /// Returns when the next request may be sent, if none may be sent now.
    pub fn limited_until(&self) -> Option<Timestamp> {
        match self {
            Self::RateLimited { until } => Some(*until),
            Self::Unlimited | Self::Admitted => None,
        }
    }
}

/// State of one endpoint's limit, as sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The endpoint process that advertised the limit.
    pub endpoint: EndpointProcess,
    /// The limit, or `None` if it has been removed.
    pub rate: Option<RequestRate>,
    /// Time since the endpoint's response was received.
    pub age: Duration,
    /// Whether the reporting gateway has requests for the endpoint and is a sender or a standby.
    pub is_claimed: bool,
}

/// Number of gateways in the fleet, including this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayCount {
    /// Gateways whose messages are being received.
    pub reachable: usize,
    /// Gateways that may be serving requests, whether or not their messages arrive.
    pub known: usize,
}

/// Limits that endpoints have advertised, and this gateway's share of each.
///
/// A limit applies to all gateways together, and they do not coordinate individual requests. If it were
/// split evenly among all gateways, many small token buckets could fill up and be spent in one burst.
/// Instead, at most as many gateways send to an endpoint as it accepts requests per second. The gateways
/// that have requests for the endpoint select the senders by rendezvous hashing.
#[derive(Clone, Debug)]
pub struct RateLimits {
    gateway: GatewayId,
    count: GatewayCount,
    claim_time: Duration,
    limits: BTreeMap<EndpointProcess, RateLimitRecord>,
    malformed: HashSet<EndpointProcess>,
}

#[derive(Clone, Debug)]
struct RateLimitRecord {
    rate: Option<RequestRate>,
    received_at: Timestamp,
    /// When this gateway last had a request for the endpoint, if any.
    last_demand_at: Option<Timestamp>,
    /// Since when this gateway has had requests for the endpoint without a longer break.
    demand_since: Timestamp,
    /// Peers that claim the endpoint, with the arrival time of each one's latest claim.
    claims: HashMap<GatewayId, Timestamp>,
    bucket: TokenBucket,
    last_sent: Option<SentLimit>,
    /// How many more times a change observed by this gateway is to be sent.
    change_sends_left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SentLimit {
    rate: Option<RequestRate>,
    is_claimed: bool,
    at: Timestamp,
}

/// A bucket with a capacity of one token. It starts empty, so that reassigning shares admits no extra
/// requests.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    rate: RequestRate,
    filled_at: Timestamp,
}

impl RateLimits {
    /// Creates the state of `gateway`, without any limits.
    pub fn new(gateway: GatewayId) -> Self {
        Self {
            gateway,
            count: GatewayCount {
                reachable: 1,
                known: 1,
            },
            claim_time: Duration::ZERO,
            limits: BTreeMap::new(),
            malformed: HashSet::new(),
        }
    }

    /// Sets how long a gateway that begins to have requests for an endpoint waits until the claims of
    /// all gateways have arrived. Needed for limits that all gateways learn at the same moment: before
    /// that, each of them would count itself as the only sender.
    pub fn with_claim_time(mut self, claim_time: Duration) -> Self {
        self.claim_time = claim_time;
        self
    }

    /// Records the limit in the response to a request that was sent at `sent_at`, and returns the
    /// resulting event, if any.
    ///
    /// A response without a limit does not remove one that was received after the request was sent.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        sent_at: Timestamp,
        advertised: AdvertisedLimit,
    ) -> Option<RateLimitEvent> {
        let rate = match advertised {
            AdvertisedLimit::Malformed => {
                let is_first = self.malformed.insert(endpoint.clone());
                return is_first.then_some(RateLimitEvent::Malformed);
            }
            AdvertisedLimit::Limited(rate) => Some(rate),
            AdvertisedLimit::Unlimited => {
                let record = self.limits.get(endpoint)?;
                if record.rate.is_none() || sent_at < record.received_at {
                    return None;
                }
                None
            }
        };
        let event = self.set(now, endpoint, now, rate);
        if event.is_some()
            && let Some(record) = self.limits.get_mut(endpoint)
        {
            record.change_sends_left = CHANGE_SENDS;
        }
        event
    }

    /// Sets or removes a limit that every gateway learns by itself, so that peers are not told of it.
    pub fn set_limit(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        rate: Option<RequestRate>,
    ) -> Option<RateLimitEvent> {
        if rate.is_none() && !self.limits.contains_key(endpoint) {
            return None;
        }
        self.set(now, endpoint, now, rate)
    }

    /// Applies an update from a peer and returns the resulting event, if any.
    pub fn apply_update(
        &mut self,
        now: Timestamp,
        peer: &GatewayId,
        update: RateUpdate,
    ) -> Option<RateLimitEvent> {
        let is_valid = update
            .rate
            .is_none_or(|rate| (0.0..=MAX_RATE).contains(&rate));
        if !is_valid || update.age > REMOVED_RETENTION {
            return None;
        }
        let received_at = now.saturating_sub(update.age);
        let known = self.limits.get(&update.endpoint);
        let is_newer = known.is_none_or(|known| known.received_at < received_at);
        let change = match is_newer {
            true => self.set(now, &update.endpoint, received_at, update.rate),
            false => None,
        };
        if let Some(record) = self.limits.get_mut(&update.endpoint) {
            match update.is_claimed {
                true => record.claims.insert(peer.clone(), now),
                false => record.claims.remove(peer),
            };
        }
        self.update_share(now, &update.endpoint);
        change
    }

    /// Records that this gateway has a request for an endpoint. Returns whether peers must be notified.
    pub fn record_demand(&mut self, now: Timestamp, endpoint: &EndpointProcess) -> bool {
        let Some(record) = self.limits.get_mut(endpoint) else {
            return false;
        };
        let had_demand = record.has_demand(now);
        record.last_demand_at = Some(now);
        if !had_demand {
            record.demand_since = now;
            self.update_share(now, endpoint);
        }
        !had_demand
    }

    /// Updates the number of gateways, expires claims, and removes processes that are no longer listed.
    pub fn tick(
        &mut self,
        now: Timestamp,
        count: GatewayCount,
        is_listed: impl Fn(&EndpointProcess) -> bool,
    ) {
        self.count = count;
        self.malformed.retain(&is_listed);
        self.limits.retain(|endpoint, record| {
            let is_recent = now.saturating_sub(record.received_at) <= REMOVED_RETENTION;
            is_recent || (record.rate.is_some() && is_listed(endpoint))
        });
        self.update_shares(now);
    }

    fn update_shares(&mut self, now: Timestamp) {
        let endpoints: Vec<EndpointProcess> = self.limits.keys().cloned().collect();
        for endpoint in &endpoints {
            self.update_share(now, endpoint);
        }
    }

    /// Removes all state of an endpoint process.
    pub fn forget(&mut self, endpoint: &EndpointProcess) {
        self.limits.remove(endpoint);
        self.malformed.remove(endpoint);
    }

    /// Removes the claims of a peer that has restarted or left.
    pub fn forget_peer(&mut self, now: Timestamp, peer: &GatewayId) {
        for record in self.limits.values_mut() {
            record.claims.remove(peer);
        }
        self.update_shares(now);
    }

    /// Returns the limit that an endpoint has advertised.
    pub fn rate(&self, endpoint: &EndpointProcess) -> Option<RequestRate> {
        self.limits.get(endpoint)?.rate
    }

    /// Returns the endpoints that have a limit, with their rates.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointProcess, RequestRate)> {
        let limits = self.limits.iter();
        limits.filter_map(|(endpoint, record)| Some((endpoint, record.rate?)))
    }

    /// Returns whether a request may be sent to an endpoint now, without consuming a token.
    pub fn verdict(&self, now: Timestamp, endpoint: &EndpointProcess) -> RateVerdict {
        let Some(record) = self.limits.get(endpoint) else {
            return RateVerdict::Unlimited;
        };
        let Some(rate) = record.rate else {
            return RateVerdict::Unlimited;
        };
        match record.bucket.ready_at(now) {
            Some(at) if at <= now => RateVerdict::Admitted,
            Some(until) => RateVerdict::RateLimited { until },
            None => RateVerdict::RateLimited {
                until: now + Duration::from_secs_f64(1.0 / rate.max(MIN_RATE)),
            },
        }
    }

    /// Like [`Self::verdict`], but consumes a token if the request is admitted.
    pub fn admit(&mut self, now: Timestamp, endpoint: &EndpointProcess) -> RateVerdict {
        let verdict = self.verdict(now, endpoint);
        if verdict == RateVerdict::Admitted
            && let Some(record) = self.limits.get_mut(endpoint)
        {
            record.bucket.consume(now);
        }
        verdict
    }

    /// Returns the updates that are due to be sent to peers, and marks them as sent.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<RateUpdate> {
        let gateway = &self.gateway;
        let due = self.limits.iter_mut().filter_map(|(endpoint, record)| {
            let is_claimed = record.is_claimed(now, endpoint, gateway);
            record
                .mark_sent_if_due(now, is_claimed)
                .then(|| RateUpdate {
                    endpoint: endpoint.clone(),
                    rate: record.rate,
                    age: now.saturating_sub(record.received_at),
                    is_claimed,
                })
        });
        due.take(MAX_UPDATES_PER_MESSAGE).collect()
    }

    fn set(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        received_at: Timestamp,
        rate: Option<RequestRate>,
    ) -> Option<RateLimitEvent> {
        let new = || RateLimitRecord::new(now);
        let record = self.limits.entry(endpoint.clone()).or_insert_with(new);
        let before = std::mem::replace(&mut record.rate, rate);
        record.received_at = received_at;
        if before == rate {
            return None;
        }
        self.update_share(now, endpoint);
        Some(RateLimitEvent::Changed { before, rate })
    }

    /// Recomputes this gateway's share of an endpoint's limit.
    fn update_share(&mut self, now: Timestamp, endpoint: &EndpointProcess) {
        let (gateway, count, claim_time) = (&self.gateway, self.count, self.claim_time);
        let Some(record) = self.limits.get_mut(endpoint) else {
            return;
        };
        let is_current = |at: &mut Timestamp| now.saturating_sub(*at) <= CLAIM_TIMEOUT;
        record.claims.retain(|_, at| is_current(at));
        let may_send =
            record.has_demand(now) && now.saturating_sub(record.demand_since) >= claim_time;
        let share = match record.rate {
            Some(rate) if may_send => record.share(endpoint, gateway, rate, count),
            _ => 0.0,
        };
        record.bucket.set_rate(now, share);
    }
}

impl RateLimitRecord {
    fn new(now: Timestamp) -> Self {
        Self {
            rate: None,
            received_at: now,
            last_demand_at: None,
            demand_since: now,
            claims: HashMap::new(),
            bucket: TokenBucket::new(now),
            last_sent: None,
            change_sends_left: 0,
        }
    }

    fn has_demand(&self, now: Timestamp) -> bool {
        // At low rates, a shorter time would end before the empty bucket has filled, and no request would
        // ever be sent.
        let rate = self.rate.unwrap_or_default().max(MIN_RATE);
        let demand_time = Duration::from_secs_f64(2.0 / rate).max(MIN_DEMAND_TIME);
        let last_demand_at = self.last_demand_at;
        last_demand_at.is_some_and(|at| now.saturating_sub(at) <= demand_time)
    }

    /// Returns the rate at which `gateway` may send.
    ///
    /// In a network partition, each side selects its own senders and takes a share of the limit in
    /// proportion to its size.
    fn share(
        &self,
        endpoint: &EndpointProcess,
        gateway: &GatewayId,
        rate: RequestRate,
        count: GatewayCount,
    ) -> RequestRate {
        let rate = rate.max(MIN_RATE);
        let senders = max_senders(rate).min(self.claims.len() + 1);
        if self.rank(endpoint, gateway) >= senders {
            return 0.0;
        }
        let part = count.reachable as f64 / count.known.max(count.reachable).max(1) as f64;
        rate * part / senders as f64
    }

    /// Returns the number of peers with a claim whose hash is lower than that of `gateway`.
    fn rank(&self, endpoint: &EndpointProcess, gateway: &GatewayId) -> usize {
        let seed = xxh3_64(endpoint.id.as_bytes());
        let key = |name: &GatewayId| (xxh3_64_with_seed(name.as_bytes(), seed), name.clone());
        let own = key(gateway);
        let peers = self.claims.keys();
        peers.filter(|peer| key(peer) < own).count()
    }

    /// Returns whether `gateway` has requests for the endpoint and is a sender or a standby.
    fn is_claimed(&self, now: Timestamp, endpoint: &EndpointProcess, gateway: &GatewayId) -> bool {
        let senders = self.rate.map_or(0, max_senders);
        senders > 0
            && self.has_demand(now)
            && self.rank(endpoint, gateway) < senders + STANDBY_CLAIMS
    }

    /// Returns whether the state is due to be sent to peers, and if so marks it as sent.
    fn mark_sent_if_due(&mut self, now: Timestamp, is_claimed: bool) -> bool {
        let last_sent = self.last_sent.unwrap_or(SentLimit {
            rate: None,
            is_claimed: false,
            at: Timestamp::ZERO,
        });
        let is_due = now.saturating_sub(last_sent.at) >= RESEND_INTERVAL;
        let is_changed = self.change_sends_left > 0 && (is_due || last_sent.rate != self.rate);
        if !is_changed && last_sent.is_claimed == is_claimed && !(is_claimed && is_due) {
            return false;
        }
        self.change_sends_left = self.change_sends_left.saturating_sub(1);
        self.last_sent = Some(SentLimit {
            rate: self.rate,
            is_claimed,
            at: now,
        });
        true
    }
}

/// Returns the maximum number of gateways that send to an endpoint with this limit. Each bucket holds up to
/// one token, so this bounds a burst to the requests that the endpoint accepts per second.
fn max_senders(rate: RequestRate) -> usize {
    (rate as usize).max(1)
}

impl TokenBucket {
    fn new(now: Timestamp) -> Self {
        Self {
            tokens: 0.0,
            rate: 0.0,
            filled_at: now,
        }
    }

    fn set_rate(&mut self, now: Timestamp, rate: RequestRate) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
        self.rate = rate;
        if rate == 0.0 {
            self.tokens = 0.0;
        }
    }

    fn tokens_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        (self.tokens + elapsed * self.rate).min(1.0)
    }

    /// Returns the time from which a token is available, or `None` if the rate is zero.
    fn ready_at(&self, now: Timestamp) -> Option<Timestamp> {
        if self.rate == 0.0 {
            return None;
        }
        let missing = 1.0 - self.tokens_at(now);
        Some(now + Duration::from_secs_f64((missing / self.rate).max(0.0)))
    }

    fn consume(&mut self, now: Timestamp) {
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.filled_at = now;
    }
}
