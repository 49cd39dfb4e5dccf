//! Processor time of a gateway's decisions, by the number of gateways and of endpoints.
//!
//! ```text
//! cargo run --release -p lovagedock --example direct_cost
//! ```

use std::time::{Duration, Instant};

use lovagedock::{
    DirectEndpoint, DirectPlacer, DirectRequest, EndpointProcess, EndpointState, EngineProfile,
    PeerLoad, PlacerCandidate, WorkLedger, WriterGroup, prelude::*,
};

const ROUNDS: usize = 4_000;
const SLOTS: u32 = 12;

/// Gateways and endpoints: the smallest fleet, two larger ones, and the next size.
const SIZES: [(usize, usize); 4] = [(4, 16), (24, 72), (68, 172), (300, 1_000)];

const PROFILE: EngineProfile = EngineProfile {
    slots: SLOTS,
    memory_tokens: 400_000,
    steps_per_pass: 50,
    step_ms: 0.9,
    step_ms_per_writer: 0.005,
    step_ms_per_1k_context: 0.0025,
    read_tokens_per_ms: 256.0,
    read_ms_per_1m_pairs: 0.09,
};

fn main() {
    println!("gateways,endpoints,decision,us");
    for (gateways, count) in SIZES {
        let endpoints: Vec<DirectEndpoint> = (0..count).map(endpoint).collect();
        let mut ledger = WorkLedger::new();
        fill(&mut ledger, &endpoints, gateways - 1);
        let apply = micros(|round| {
            let load = peer_load(round);
            let endpoint = endpoints[round % count].process.clone();
            ledger.apply_peer_loads(
                Timestamp::ZERO,
                &peer(round % (gateways - 1)),
                [(endpoint, load)],
            );
        });
        println!("{gateways},{count},hear of one endpoint,{apply:.2}");
        for (name, prompt) in [
            ("look, short prompt", 5_000),
            ("look, long prompt", 300_000),
        ] {
            let request = DirectRequest {
                prompt,
                answer: 1_000,
                objective_left: Duration::from_millis(800),
                gap: Some(Duration::from_millis(200)),
                returned: false,
                suspect: false,
                booked: None,
            };
            let evaluation = micros(|_| evaluate(&ledger, &endpoints, &request));
            println!("{gateways},{count},{name},{evaluation:.2}");
        }
    }
}

fn micros(mut work: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut work);
    start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn peer(number: usize) -> GatewayId {
    format!("gateway-{number}").into()
}

fn endpoint(number: usize) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new(format!("i-{number:010}"), 1),
        service: "model".into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8_000).into(),
        domain: "a".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    }
}

fn peer_load(round: usize) -> PeerLoad {
    PeerLoad {
        occupied: 1 + u32::from(round.is_multiple_of(3)),
        short: 1,
        claimed: 0,
        pending_prefills: 0,
        context: 5_000,
        prefill_total: Duration::from_millis(round as u64),
        suspects: 0,
        slowdown: 1.0,
        writers: [WriterGroup::new(Duration::from_millis(200), 1.5)]
            .into_iter()
            .collect(),
    }
}

/// Number of peers that have work on one endpoint in a burst, independent of the number of peers.
const BUSY_PEERS: usize = 8;

/// Fills the ledger: every peer has used each endpoint once, and some have work there now.
fn fill(ledger: &mut WorkLedger, endpoints: &[DirectEndpoint], peers: usize) {
    for number in 0..peers {
        let loads = endpoints.iter().enumerate().map(|(index, endpoint)| {
            let load = match (index + number) % peers < BUSY_PEERS.min(peers) {
                true => peer_load(1),
                false => PeerLoad::default(),
            };
            (endpoint.process.clone(), load)
        });
        ledger.apply_peer_loads(Timestamp::ZERO, &peer(number), loads);
    }
}

/// Evaluates a placement like a gateway does.
fn evaluate(ledger: &WorkLedger, endpoints: &[DirectEndpoint], request: &DirectRequest) {
    let now = Duration::from_secs(100);
    let short: u32 = endpoints
        .iter()
        .map(|endpoint| ledger.short_count(&endpoint.process))
        .sum();
    let candidates: Vec<PlacerCandidate<'_>> = endpoints
        .iter()
        .enumerate()
        .map(|(position, endpoint)| PlacerCandidate {
            endpoint,
            load: ledger.load(now, &endpoint.process),
            rank: position as f64 / endpoints.len() as f64,
            short_lane: position < short as usize / 20,
            is_kept: false,
            may_help: true,
            draw: 0.0,
        })
        .collect();
    let choice = DirectPlacer::new(Some(&PROFILE)).place(request, &candidates);
    std::hint::black_box(choice);
}
