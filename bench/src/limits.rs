//! The exchange of organisations' use between gateways.

use std::time::Duration;

use lovagedock::{LimitAction, LimitEvent, OrganisationLimits, UsageAck, UsageLimiter, prelude::*};

use crate::{
    meter::{cpu_micros, heap_of},
    slope::SlopeSeries,
};

const REPEATS: usize = 3;
const PEERS: [usize; 4] = [3, 39, 399, 1_599];
/// Organisations with requests at one gateway within one exchange: about the requests of 0.5 s.
const ACTIVE: usize = 13;

/// What limits cost.
pub(crate) struct LimitSlopes {
    /// Processor time of an exchange: reports to all peers and their answers, over the square of peers.
    pub(crate) exchange_cpu: SlopeSeries,
    /// Processor time of one admission, over peers.
    pub(crate) admit_cpu: SlopeSeries,
    /// Heap of a limiter that heard all peers, over peers.
    pub(crate) peers_heap: SlopeSeries,
}

impl LimitSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        Self {
            exchange_cpu: squared_series(),
            admit_cpu: SlopeSeries::new("processor time of an admission", "peers", "µs")
                .with_points(&PEERS, REPEATS, admit_cpu),
            peers_heap: SlopeSeries::new("heap of a limiter", "peers", "B").with_points(
                &PEERS,
                REPEATS,
                |peers| heap_of(|| exchanged(peers)).0,
            ),
        }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![&self.exchange_cpu, &self.admit_cpu, &self.peers_heap]
    }
}

/// Over the square of the peers, since each of their messages is handled over all of them.
fn squared_series() -> SlopeSeries {
    let mut series = SlopeSeries::new("processor time of a usage exchange", "peers x peers", "µs");
    for peers in PEERS {
        let values = (0..REPEATS).map(|_| exchange_cpu(peers)).collect();
        series.push(peers * peers, values);
    }
    series
}

fn peer_id(number: usize) -> GatewayId {
    format!("gateway-{number:04}").into()
}

fn organisation_id(number: usize) -> OrganisationId {
    format!("organisation-{number:05}").into()
}

/// A limiter among its peers, after the first exchange with each.
fn exchanged(peers: usize) -> UsageLimiter {
    let names = (0..peers).map(peer_id).collect();
    let mut limiter = UsageLimiter::new(Timestamp::ZERO, names, Default::default());
    let limits = OrganisationLimits {
        requests_per_second: 5_000,
        ..OrganisationLimits::default()
    };
    for number in 0..ACTIVE {
        limiter.set_limits(Timestamp::ZERO, &organisation_id(number), limits);
    }
    for number in 0..peers {
        let connected = LimitEvent::PeerConnected {
            peer: peer_id(number),
            incarnation: 7,
        };
        limiter.handle(Timestamp::ZERO, connected);
    }
    exchange(&mut limiter, Timestamp::ZERO);
    limiter
}

/// Reports to all peers, each of which confirms and reports the same.
fn exchange(limiter: &mut UsageLimiter, now: Timestamp) -> usize {
    for number in 0..ACTIVE {
        limiter.admit(now, &organisation_id(number), 1_000);
    }
    let actions = limiter.handle(now, LimitEvent::Tick);
    let mut reports = 0;
    for action in actions {
        let LimitAction::Report { peer, report } = action else {
            continue;
        };
        reports += 1;
        let ack = UsageAck {
            sequence: report.sequence,
            stage: report.stage,
        };
        let received = LimitEvent::ReportReceived {
            peer: peer.clone(),
            report,
        };
        limiter.handle(now, received);
        limiter.handle(now, LimitEvent::AckReceived { peer, ack });
    }
    reports
}

fn exchange_cpu(peers: usize) -> f64 {
    let mut limiter = exchanged(peers);
    let rounds = (8_000 / peers).clamp(4, 400);
    cpu_micros(rounds, || {
        for round in 1..=rounds {
            let now = Duration::from_millis(500 * round as u64);
            assert_eq!(exchange(&mut limiter, now), peers);
        }
    })
}

fn admit_cpu(peers: usize) -> f64 {
    let mut limiter = exchanged(peers);
    let rounds = 2_000;
    cpu_micros(rounds, || {
        for round in 0..rounds {
            let organisation = organisation_id(round % ACTIVE);
            limiter.admit(Timestamp::ZERO, &organisation, 1_000);
            limiter.finish(&organisation, 0);
        }
    })
}
