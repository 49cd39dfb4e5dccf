//! Shares of organisations under load: the gateways of a fleet in virtual time, without a network.

use std::{collections::VecDeque, time::Duration};

use lovagedock::{
    FlowLane, OrganisationShares, ShareDecision, ShareRequest, Timestamp, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u32 = 25;

/// Time after which requests are counted.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Time from a refusal to the return of its caller, at any gateway.
const RETURN_DELAY: Duration = Duration::from_millis(1500);

/// Capacity that is available at once after a pause: requests wait that long.
const WAIT_TIME: Duration = Duration::from_millis(120);

/// Averaging window of demand, in seconds, as stated in the design.
const WINDOW: f64 = 2.0;

/// Part by which what is admitted exceeds what is served.
const ADMITTED_EXCESS: f64 = 0.1;

/// What happens to gateways and their messages.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Shares are not enforced.
    NoShares,
    /// This part of all messages is lost.
    LostMessages(f64),
    /// Nothing that the first gateway sends arrives.
    SilentPeer,
    /// Nothing arrives at the first gateway.
    DeafGateway,
    /// Nothing arrives anywhere.
    AllDeaf,
    /// All gateways restart when counting begins.
    RestartOfAll,
    /// This part of all requests is refused although the engines have room.
    RandomRefusals(f64),
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    gateways: usize,
    run_time: Duration,
    /// Numbers of organisations and the demand of each, in cost per second.
    demands: &'static [(usize, f64)],
    /// Cost of each request.
    cost: f64,
    /// Cost that the engines serve per second.
    capacity: f64,
    has_returns: bool,
    fault: Fault,
}

const LARGE: Case = Case {
    name: "one organisation at ten times its share",
    gateways: 48,
    run_time: Duration::from_secs(40),
    demands: &[(23, 4.0), (1, 40.0)],
    cost: 1.0,
    capacity: 96.0,
    has_returns: false,
    fault: Fault::None,
};

const SEVERAL: Case = Case {
    name: "several large organisations",
    demands: &[(20, 2.0), (3, 30.0), (1, 60.0)],
    ..LARGE
};

#[rustfmt::skip] // One line for each case.
const CASES: &[Case] = &[
    LARGE,
    Case { name: "without shares", fault: Fault::NoShares, ..LARGE },
    Case { name: "one gateway", gateways: 1, ..LARGE },
    Case { name: "27 gateways", gateways: 27, ..LARGE },
    Case { name: "371 gateways", gateways: 371, run_time: Duration::from_secs(9), ..LARGE },
    Case { name: "long prompts", cost: 1.7, ..LARGE },
    Case { name: "returning requests", has_returns: true, ..LARGE },
    Case { name: "small ones below", demands: &[(23, 3.0), (1, 270.0)], ..LARGE },
    SEVERAL,
    Case { name: "several large, returning", has_returns: true, ..SEVERAL },
    Case { name: "all above their shares", demands: &[(24, 8.0)], has_returns: true, ..LARGE },
    Case { name: "unused shares", demands: &[(12, 0.5), (12, 12.0)], ..LARGE },
    Case { name: "lost messages", fault: Fault::LostMessages(0.3), ..LARGE },
    Case { name: "a silent peer", fault: Fault::SilentPeer, ..LARGE },
    Case { name: "a silent peer of three", fault: Fault::SilentPeer, gateways: 3, ..LARGE },
    Case { name: "a gateway that hears nobody", fault: Fault::DeafGateway, gateways: 3, ..LARGE },
    Case { name: "gateways that hear nobody", fault: Fault::AllDeaf, gateways: 3, ..LARGE },
    Case { name: "a restart of all", fault: Fault::RestartOfAll, ..LARGE },
    Case { name: "random refusals", fault: Fault::RandomRefusals(0.05), ..LARGE },
    Case { name: "no overload", capacity: 160.0, ..LARGE },
    Case { name: "no overload, a silent peer", capacity: 160.0, fault: Fault::SilentPeer, ..LARGE },
    Case { name: "no overload, all deaf", capacity: 160.0, fault: Fault::AllDeaf, ..LARGE },
];

impl Case {
    fn demands(&self) -> Vec<f64> {
        let groups = self.demands.iter();
        let demands = groups.flat_map(|(count, demand)| std::iter::repeat_n(*demand, *count));
        demands.collect()
    }

    /// Checks what each organisation was served against what it sent, in cost per second.
    ///
    /// A tenth more is admitted than is served. A sum of demands that is averaged over a window
    /// deviates by the root of the sum divided by two windows, and by more if each gateway knows
    /// only its own part. Those far above their share divide both among themselves, and the others
    /// lose it. Draws have an error of their own, of which four times the standard deviation is
    /// allowed.
    fn check(&self, sent: &[f64], served: &[f64]) -> Result<(), String> {
        let fair = fair_rate(sent, self.capacity);
        let is_above = |sent: &f64| *sent > fair * 1.5;
        let above = sent.iter().filter(|sent| is_above(sent)).count().max(1);
        let below: f64 = sent.iter().filter(|sent| !is_above(sent)).sum();
        let views = match self.fault {
            Fault::AllDeaf => self.gateways,
            _ => 1,
        };
        let deviation = (below * self.cost * views as f64 / (2.0 * WINDOW)).sqrt();
        let excess = ADMITTED_EXCESS * self.capacity + deviation;
        let min_part = 1.0 - excess / self.capacity;
        for (sent, served) in sent.iter().zip(served) {
            let share = sent.min(fair);
            let error = 4.0 * (share * self.cost / self.run_time.as_secs_f64()).sqrt();
            let max = fair + excess / above as f64 + error;
            if *served < share * min_part - error || *served > max {
                return Err(format!(
                    "{served:.2} of {sent:.2} served, fair rate {fair:.2}"
                ));
            }
        }
        let used = served.iter().sum::<f64>() / self.capacity.min(sent.iter().sum());
        match used < 0.9 {
            true => Err(format!("{used:.2} of the capacity used")),
            false => Ok(()),
        }
    }
}

/// Returns the rate at which the sum of `min(demand, rate)` equals the capacity.
fn fair_rate(demands: &[f64], capacity: f64) -> f64 {
    let admitted = |rate: f64| demands.iter().map(|demand| demand.min(rate)).sum::<f64>();
    let halves = (0..60).fold((0.0, capacity), |(low, high), _| {
        let middle = (low + high) / 2.0;
        let is_low = admitted(middle) < capacity;
        if is_low {
            (middle, high)
        } else {
            (low, middle)
        }
    });
    halves.0
}

struct Simulation {
    case: Case,
    rng: ChaCha8Rng,
    gateways: Vec<OrganisationShares>,
    returns: VecDeque<(Timestamp, usize)>,
    /// Cost that the engines can take now.
    available: f64,
    /// Cost of first attempts, and of what was served, by organisation.
    sent: Vec<f64>,
    served: Vec<f64>,
    /// Times of refusals because of shares.
    share_refusals: Vec<Timestamp>,
}

impl Simulation {
    fn new(case: Case) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            gateways: vec![OrganisationShares::new(); case.gateways],
            returns: VecDeque::new(),
            available: 0.0,
            sent: vec![0.0; case.demands().len()],
            served: vec![0.0; case.demands().len()],
            share_refusals: Vec::new(),
            case,
        }
    }

    fn run(&mut self) {
        let mut now = Duration::ZERO;
        for step in 1.. {
            now += STEP;
            if now > SETTLE_TIME + self.case.run_time {
                return;
            }
            if now == SETTLE_TIME {
                self.sent.fill(0.0);
                self.served.fill(0.0);
                if self.case.fault == Fault::RestartOfAll {
                    self.gateways.fill(OrganisationShares::new());
                }
            }
            self.serve_arrivals(now);
            self.exchange(now);
            if step % STEPS_PER_TICK == 0 {
                let gateways = self.gateways.iter_mut();
                gateways.for_each(|gateway| gateway.tick(now));
            }
        }
    }

    fn serve_arrivals(&mut self, now: Timestamp) {
        let capacity = self.case.capacity;
        let most = (capacity * WAIT_TIME.as_secs_f64()).max(self.case.cost);
        self.available = (self.available + capacity * STEP.as_secs_f64()).min(most);
        for (organisation, demand) in self.case.demands().into_iter().enumerate() {
            let arrivals = demand / self.case.cost * STEP.as_secs_f64();
            if self.rng.random::<f64>() < arrivals {
                self.sent[organisation] += self.case.cost;
                self.serve(now, organisation, false);
            }
        }
        while let Some((_, organisation)) = self.returns.pop_front_if(|(at, _)| *at <= now) {
            self.serve(now, organisation, true);
        }
    }

    fn serve(&mut self, now: Timestamp, organisation: usize, is_return: bool) {
        let index = self.rng.random_range(0..self.gateways.len());
        let gateway = &mut self.gateways[index];
        let request = ShareRequest {
            service: 1,
            lane: FlowLane::Short,
            organisation: organisation as u32,
            cost: self.case.cost,
            is_return,
        };
        let decision = gateway.decide(now, &request, self.rng.random());
        let is_exceeded = decision != ShareDecision::Admitted;
        let needed = self.case.cost * if is_return { 4.0 } else { 1.0 };
        let is_unlucky = match self.case.fault {
            Fault::RandomRefusals(part) => self.rng.random::<f64>() < part,
            _ => false,
        };
        if is_exceeded && self.case.fault != Fault::NoShares {
            self.share_refusals.push(now);
        } else if self.available >= needed && !is_unlucky {
            // Returning requests leave a part of the capacity to others.
            self.available -= self.case.cost;
            self.served[organisation] += self.case.cost;
            gateway.record_served(now, &request);
            return;
        } else if !is_return {
            gateway.record_refusal(now, &request);
        }
        if self.case.has_returns && !is_return {
            self.returns.push_back((now + RETURN_DELAY, organisation));
        }
    }

    fn exchange(&mut self, now: Timestamp) {
        for sender in 0..self.gateways.len() {
            let updates = self.gateways[sender].take_updates(now);
            if updates.is_empty() {
                continue;
            }
            let name: GatewayId = format!("gateway-{sender}").into();
            let receivers = 0..self.gateways.len();
            for receiver in receivers.filter(|receiver| *receiver != sender) {
                let is_lost = match self.case.fault {
                    Fault::LostMessages(part) => self.rng.random::<f64>() < part,
                    Fault::SilentPeer => sender == 0,
                    Fault::DeafGateway => receiver == 0,
                    Fault::AllDeaf => true,
                    Fault::None
                    | Fault::NoShares
                    | Fault::RestartOfAll
                    | Fault::RandomRefusals(_) => false,
                };
                if !is_lost {
                    self.gateways[receiver].apply_peer(now, &name, updates.clone());
                }
            }
        }
    }
}

/// Guards against organisations below their share that lose requests to larger ones, against unused
/// capacity, and against refusals because of shares where nothing is overloaded or known.
#[test]
fn organisations_are_served_their_max_min_share() {
    for case in CASES {
        let mut simulation = Simulation::new(*case);
        simulation.run();
        let time = case.run_time.as_secs_f64();
        let per_second = |costs: &[f64]| costs.iter().map(|cost| cost / time).collect::<Vec<_>>();
        let checked = case.check(
            &per_second(&simulation.sent),
            &per_second(&simulation.served),
        );
        let is_expected = checked.is_ok() == (case.fault != Fault::NoShares);
        assert!(is_expected, "{}: {checked:?}", case.name);
        let refusals = &simulation.share_refusals;
        if case.demands().iter().sum::<f64>() < case.capacity {
            assert_eq!(refusals.len(), 0, "{}: nothing is overloaded", case.name);
        }
        if case.fault == Fault::RestartOfAll {
            let unknown = SETTLE_TIME..SETTLE_TIME + Duration::from_secs(1);
            let early = refusals.iter().any(|at| unknown.contains(at));
            assert!(!early, "{}: refused by unknown rates", case.name);
        }
    }
}
