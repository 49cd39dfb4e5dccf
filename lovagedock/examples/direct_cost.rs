//! Processor time of a gateway's decisions beside many endpoints and peers.
//!
//! ```text
//! cargo run --release -p lovagedock --example direct_cost
//! ```

use std::time::{Duration, Instant};

use lovagedock::{
    DirectEndpoint, DirectPlacer, DirectRequest, EndpointLife, EndpointState, EngineProfile,
    PeerLoad, PlacerCandidate, WorkLedger, WriterGroup, prelude::*,
};

const PEERS: usize = 23;
const ROUNDS: usize = 4_000;
const SLOTS: u32 = 12;

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
    println!("endpoints,decision,us");
    for count in [25, 70, 400] {
        let endpoints: Vec<DirectEndpoint> = (0..count).map(endpoint).collect();
        let mut ledger = WorkLedger::new();
        fill(&mut ledger, &endpoints);
        let hear = micros(|round| {
            let peer = format!("gateway-{}", round % PEERS).into();
            let load = peer_load(round);
            let endpoint = endpoints[round % count].life.clone();
            ledger.hear(Timestamp::ZERO, &peer, [(endpoint, load)]);
        });
        println!("{count},hear of one endpoint,{hear:.2}");
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
            };
            let look = micros(|_| look(&ledger, &endpoints, &request));
            println!("{count},{name},{look:.2}");
        }
    }
}

fn micros(mut work: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut work);
    start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn endpoint(number: usize) -> DirectEndpoint {
    DirectEndpoint {
        life: EndpointLife::new(format!("i-{number:010}"), 1),
        service: "model".into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8_000).into(),
        domain: "a".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
    }
}

fn peer_load(round: usize) -> PeerLoad {
    PeerLoad {
        occupied: 1 + u32::from(round.is_multiple_of(3)),
        short: 1,
        unread: 0,
        context: 5_000,
        reading_total: Duration::from_millis(round as u64),
        pace: 1.0,
        writers: [WriterGroup::new(Duration::from_millis(200), 1.5)]
            .into_iter()
            .collect(),
    }
}

/// A third of the peers have something on each endpoint, as in a burst.
fn fill(ledger: &mut WorkLedger, endpoints: &[DirectEndpoint]) {
    for peer in 0..PEERS {
        let name: GatewayId = format!("gateway-{peer}").into();
        let loads = endpoints.iter().enumerate().map(|(index, endpoint)| {
            let load = match (index + peer) % 3 {
                0 => peer_load(1),
                _ => PeerLoad::default(),
            };
            (endpoint.life.clone(), load)
        });
        ledger.hear(Timestamp::ZERO, &name, loads);
    }
}

/// What a gateway does to find a place.
fn look(ledger: &WorkLedger, endpoints: &[DirectEndpoint], request: &DirectRequest) {
    let now = Duration::from_secs(100);
    let short: u32 = endpoints
        .iter()
        .map(|endpoint| ledger.short_count(&endpoint.life))
        .sum();
    let candidates: Vec<PlacerCandidate> = endpoints
        .iter()
        .enumerate()
        .map(|(position, endpoint)| PlacerCandidate {
            endpoint: endpoint.clone(),
            load: ledger.load(now, &endpoint.life),
            position,
            short_lane: position < short as usize / 20,
            draw: 0.0,
        })
        .collect();
    let choice = DirectPlacer::new(Some(&PROFILE)).place(request, &candidates);
    std::hint::black_box(choice);
}
