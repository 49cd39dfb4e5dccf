//! Simulation of several gateways' limiters, their messages and callers in virtual time.

use std::time::Duration;

use lovagedock::{
    LimitAction, LimitDecision, LimitEvent, LimitKind, LimitTiming, OrganisationLimits,
    UsageLimiter, prelude::*,
};

pub(crate) const STEP_MS: u64 = 50;
pub(crate) const LIMITS: OrganisationLimits = OrganisationLimits {
    requests_per_second: 100,
    tokens_per_minute: 900_000,
    concurrency: 40,
    max_prompt_tokens: 0,
};
pub(crate) const REQUEST_TOKENS: TokenCount = 150;

struct Message {
    due: u64,
    from: usize,
    from_incarnation: Incarnation,
    to: usize,
    to_incarnation: Incarnation,
    event: LimitEvent,
}

pub(crate) struct Gateway {
    pub(crate) limiter: UsageLimiter,
    incarnation: Incarnation,
    known_incarnations: Vec<Incarnation>,
    /// End time of each request in flight.
    ends: Vec<u64>,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

pub(crate) struct GatewayGroup {
    pub(crate) now: u64,
    pub(crate) gateways: Vec<Gateway>,
    /// Whether messages are lost, as `cut_links[from][to]`.
    pub(crate) cut_links: Vec<Vec<bool>>,
    messages: Vec<Message>,
    delays: Vec<u64>,
    pub(crate) admitted_in_step: u64,
}

impl GatewayGroup {
    pub(crate) fn new(count: usize, delays: Vec<u64>) -> Self {
        let mut group = Self {
            now: 0,
            gateways: Vec::new(),
            cut_links: vec![vec![false; count]; count],
            messages: Vec::new(),
            delays,
            admitted_in_step: 0,
        };
        for index in 0..count {
            let gateway = group.start_gateway(index, count, 1);
            group.gateways.push(gateway);
        }
        group
    }

    fn start_gateway(&self, index: usize, count: usize, incarnation: Incarnation) -> Gateway {
        let now = Duration::from_millis(self.now);
        let peers = (0..count).filter(|peer| *peer != index).map(name).collect();
        let mut limiter = UsageLimiter::new(now, peers, LimitTiming::default());
        limiter.set_limits(now, &organisation(), LIMITS);
        Gateway {
            limiter,
            incarnation,
            known_incarnations: vec![0; count],
            ends: Vec::new(),
            admitted: 0,
            refused: 0,
        }
    }

    /// Restarts a gateway. Its requests and its state are lost.
    pub(crate) fn restart(&mut self, index: usize) {
        let incarnation = self.gateways[index].incarnation + 1;
        self.gateways[index] = self.start_gateway(index, self.gateways.len(), incarnation);
    }

    /// Runs one step: delivers messages, ends requests, adds new requests and runs due exchanges.
    pub(crate) fn step(&mut self, arrivals: &[u64], request_duration_ms: u64) {
        self.now += STEP_MS;
        self.admitted_in_step = 0;
        self.deliver();
        let now = Duration::from_millis(self.now);
        for (index, arrivals) in arrivals.iter().enumerate().take(self.gateways.len()) {
            self.end_requests(index);
            for _ in 0..*arrivals {
                self.arrive(index, request_duration_ms);
            }
            // Gateways run their exchanges at different times.
            if (self.now / STEP_MS + 3 * index as u64).is_multiple_of(10) {
                let actions = self.gateways[index].limiter.handle(now, LimitEvent::Tick);
                self.send(index, actions);
            }
        }
    }

    fn arrive(&mut self, index: usize, request_duration_ms: u64) {
        let now = Duration::from_millis(self.now);
        let gateway = &mut self.gateways[index];
        match gateway.limiter.admit(now, &organisation(), REQUEST_TOKENS) {
            LimitDecision::Admitted => {
                gateway.admitted += 1;
                gateway.ends.push(self.now + request_duration_ms);
                self.admitted_in_step += 1;
            }
            LimitDecision::Refused { .. } => gateway.refused += 1,
        }
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let ended = gateway.ends.iter().filter(|end| **end <= now).count();
        gateway.ends.retain(|end| *end > now);
        for _ in 0..ended {
            gateway.limiter.finish(&organisation(), 0);
        }
    }

    fn deliver(&mut self) {
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |message| message.due <= self.now)
            .collect();
        for message in due {
            let now = Duration::from_millis(self.now);
            let receiver = &mut self.gateways[message.to];
            if receiver.incarnation != message.to_incarnation
                || message.from_incarnation < receiver.known_incarnations[message.from]
            {
                continue;
            }
            if receiver.known_incarnations[message.from] != message.from_incarnation {
                receiver.known_incarnations[message.from] = message.from_incarnation;
                let peer = name(message.from);
                let incarnation = message.from_incarnation;
                receiver
                    .limiter
                    .handle(now, LimitEvent::PeerConnected { peer, incarnation });
            }
            let actions = receiver.limiter.handle(now, message.event);
            self.send(message.to, actions);
        }
    }

    fn send(&mut self, from: usize, actions: Vec<LimitAction>) {
        for action in actions {
            let peer = name(from);
            let (to, event) = match action {
                LimitAction::Report { peer: to, report } => {
                    (to, LimitEvent::ReportReceived { peer, report })
                }
                LimitAction::Acknowledge { peer: to, ack } => {
                    (to, LimitEvent::AckReceived { peer, ack })
                }
            };
            let is_reply = matches!(event, LimitEvent::AckReceived { .. });
            let to: usize = to[1..].parse().expect("a gateway of this test");
            self.delays.rotate_left(1);
            if self.cut_links[from][to] {
                continue;
            }
            self.messages.push(Message {
                due: self.now + self.delays[0],
                from,
                from_incarnation: self.gateways[from].incarnation,
                to,
                // A reply reaches only the incarnation that sent the request.
                to_incarnation: match is_reply {
                    true => self.gateways[from].known_incarnations[to],
                    false => self.gateways[to].incarnation,
                },
                event,
            });
        }
    }

    pub(crate) fn share_sum(&mut self, kind: LimitKind) -> f64 {
        let now = Duration::from_millis(self.now);
        let shares = self.gateways.iter_mut();
        shares
            .map(|gateway| gateway.limiter.share(now, &organisation(), kind))
            .sum()
    }

    pub(crate) fn in_flight(&self) -> u32 {
        let gateways = self.gateways.iter();
        gateways
            .map(|gateway| gateway.limiter.in_flight(&organisation()))
            .sum()
    }
}

fn name(index: usize) -> GatewayId {
    GatewayId::from(format!("g{index}"))
}

pub(crate) fn organisation() -> OrganisationId {
    OrganisationId::from("franchise")
}
