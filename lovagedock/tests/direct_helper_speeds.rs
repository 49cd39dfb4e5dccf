//! Tests how engines that are slow as helpers are found, over all gateways.

mod direct_support;

use std::{collections::HashSet, time::Duration};

use lovagedock::{
    DirectPlacer, EndpointProcess, HelperSpeed, HelperSpeeds, WriterGroup, prelude::*,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

use direct_support::{PROFILE, VirtualPool, long};

const ENGINES: usize = 60;

/// Time between two teams of the fleet.
const TEAM_INTERVAL: Duration = Duration::from_millis(100);

/// Slowdown of a slow engine.
const SLOWDOWN: f64 = 4.0;

/// Factor by which a prediction is off, either way.
const PREDICTION_ERROR: f64 = 1.5;

/// Time between two messages of a gateway.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(25);

struct SpeedCase {
    name: &'static str,
    gateways: usize,
    /// Engines that are four times slower.
    slow: usize,
    /// Teams after which they become slow.
    slow_from: usize,
    /// Ratio of measured to predicted time of all teams.
    prediction: f64,
    lost_share: f64,
    /// Least number of slow engines that are avoided at some time between 150 and 250 teams after they
    /// became slow.
    min_found: usize,
    /// Most sound engines that are avoided in this time, on average.
    max_blamed: f64,
}

const CASES: &[SpeedCase] = &[
    SpeedCase {
        name: "one gateway",
        gateways: 1,
        slow: 12,
        slow_from: 0,
        prediction: 1.0,
        lost_share: 0.0,
        min_found: 10,
        max_blamed: 0.2,
    },
    SpeedCase {
        name: "27 gateways",
        gateways: 27,
        slow: 12,
        slow_from: 0,
        prediction: 1.0,
        lost_share: 0.0,
        min_found: 10,
        max_blamed: 0.2,
    },
    SpeedCase {
        name: "48 gateways, a fifth of the messages lost",
        gateways: 48,
        slow: 12,
        slow_from: 0,
        prediction: 1.0,
        lost_share: 0.2,
        min_found: 10,
        max_blamed: 0.2,
    },
    SpeedCase {
        name: "27 gateways, engines become slow",
        gateways: 27,
        slow: 12,
        slow_from: 100,
        prediction: 1.0,
        lost_share: 0.0,
        min_found: 10,
        max_blamed: 0.2,
    },
    SpeedCase {
        name: "few slow engines",
        gateways: 1,
        slow: 3,
        slow_from: 0,
        prediction: 1.0,
        lost_share: 0.0,
        min_found: 3,
        max_blamed: 0.2,
    },
    SpeedCase {
        name: "all predictions too short",
        gateways: 1,
        slow: 0,
        slow_from: 0,
        prediction: 2.0,
        lost_share: 0.0,
        min_found: 0,
        max_blamed: 0.2,
    },
    SpeedCase {
        name: "all predictions too short, 48 gateways",
        gateways: 48,
        slow: 0,
        slow_from: 0,
        prediction: 3.0,
        lost_share: 0.0,
        min_found: 0,
        max_blamed: 0.2,
    },
];

struct SpeedFleet {
    rng: StdRng,
    now: Duration,
    gateways: Vec<HelperSpeeds>,
    slow: HashSet<usize>,
    starts: Vec<u64>,
    prediction: f64,
    lost_share: f64,
}

impl SpeedFleet {
    fn new(seed: u64, gateways: usize, slow: usize) -> Self {
        let mut state = HelperSpeeds::new();
        state.set_engine_count(ENGINES);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(10),
            gateways: vec![state; gateways],
            slow: (0..slow).collect(),
            starts: vec![1; ENGINES],
            prediction: 1.0,
            lost_share: 0.0,
        }
    }

    fn engine(&self, index: usize) -> EndpointProcess {
        EndpointProcess::new(format!("engine-{index:02}"), self.starts[index])
    }

    fn play_team(&mut self) {
        let mut indexes: Vec<usize> = (0..ENGINES).collect();
        indexes.shuffle(&mut self.rng);
        let size = self.rng.random_range(2..=16);
        self.play(&indexes[..size]);
    }

    fn play(&mut self, team: &[usize]) {
        let error = PREDICTION_ERROR.powf(self.rng.random_range(-1.0..=1.0));
        let is_slow = team.iter().any(|index| self.slow.contains(index));
        let ratio = self.prediction * error * if is_slow { SLOWDOWN } else { 1.0 };
        let members: Vec<EndpointProcess> = team.iter().map(|index| self.engine(*index)).collect();
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.gateways[gateway].record_team(self.now, &members, ratio);
        self.pass(TEAM_INTERVAL);
    }

    /// Lets gateways exchange messages for this time.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.exchange();
            self.now += EXCHANGE_INTERVAL;
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        let sent: Vec<Vec<HelperSpeed>> = self
            .gateways
            .iter_mut()
            .map(|state| state.take_due(now))
            .collect();
        for (sender, updates) in sent
            .iter()
            .enumerate()
            .filter(|(_, updates)| !updates.is_empty())
        {
            assert!(updates.len() <= 24);
            let peer = GatewayId::from(format!("gateway-{sender}"));
            for (receiver, state) in self.gateways.iter_mut().enumerate() {
                if receiver != sender && !self.rng.random_bool(self.lost_share) {
                    state.apply_reports(now, &peer, updates.clone(), |_| true);
                }
            }
        }
    }

    fn avoided(&self, gateway: usize) -> HashSet<usize> {
        let state = &self.gateways[gateway];
        (0..ENGINES)
            .filter(|index| state.slowdown(self.now, &self.engine(*index)) > 1.0)
            .collect()
    }
}

/// Guards against slow engines that nobody finds because they only help, and against sound ones that
/// are blamed for the teams of slow ones or for wrong predictions.
#[test]
fn slow_helpers_are_found_and_sound_ones_are_not_blamed() {
    for (case, seed) in CASES.iter().flat_map(|case| [(case, 1), (case, 2)]) {
        let mut fleet = SpeedFleet::new(seed, case.gateways, 0);
        fleet.prediction = case.prediction;
        fleet.lost_share = case.lost_share;
        let mut found = HashSet::new();
        let mut blamed = 0;
        (0..case.slow_from).for_each(|_| fleet.play_team());
        fleet.slow = (0..case.slow).collect();
        for team in 0..250 {
            fleet.play_team();
            if team >= 150 {
                let (slow, sound): (Vec<_>, Vec<_>) = fleet
                    .avoided(0)
                    .into_iter()
                    .partition(|index| fleet.slow.contains(index));
                found.extend(slow);
                blamed += sound.len();
            }
        }
        let blamed = blamed as f64 / 100.0;
        let name = case.name;
        println!(
            "{name}, seed {seed}: found {}, blamed {blamed}",
            found.len()
        );
        assert!(found.len() >= case.min_found, "{name}: {}", found.len());
        assert!(blamed <= case.max_blamed, "{name}: {blamed}");
    }
}

/// Guards against an engine that is avoided although it has been fast since, also by gateways that did
/// not place the team.
#[test]
fn an_engine_that_is_fast_again_is_cleared_everywhere() {
    let mut fleet = SpeedFleet::new(1, 27, 3);
    (0..100).for_each(|_| fleet.play_team());
    assert!(fleet.avoided(5).contains(&0));
    fleet.slow.clear();
    fleet.play(&[0, 30, 31, 32]);
    for gateway in 0..27 {
        assert!(!fleet.avoided(gateway).contains(&0), "{gateway}");
    }
}

/// Guards against an engine that is blamed although any member of its team may be the slow one.
#[test]
fn engines_that_always_come_together_are_not_blamed() {
    let mut fleet = SpeedFleet::new(1, 1, 1);
    for team in 0..200 {
        let first = team % 15 * 4;
        fleet.play(&[first, first + 1, first + 2, first + 3]);
        assert!(fleet.avoided(0).is_empty());
    }
}

/// Guards against a gateway that uses slow helpers until it has measured them itself.
#[test]
fn a_restarted_gateway_adopts_what_peers_report() {
    let mut fleet = SpeedFleet::new(1, 27, 3);
    (0..100).for_each(|_| fleet.play_team());
    fleet.gateways[0] = HelperSpeeds::new();
    fleet.pass(Duration::from_secs(1));
    assert_eq!(fleet.avoided(0), fleet.slow);
}

/// Guards against a new process that is blamed for the former one, and an engine that is avoided
/// forever.
#[test]
fn a_replaced_process_starts_anew_and_others_are_tried_again() {
    let mut fleet = SpeedFleet::new(1, 1, 3);
    (0..100).for_each(|_| fleet.play_team());
    assert!(fleet.avoided(0).contains(&1));
    let former = fleet.engine(0);
    fleet.gateways[0].forget(&former);
    fleet.starts[0] += 1;
    assert_eq!(fleet.gateways[0].slowdown(fleet.now, &former), 1.0);
    assert!(!fleet.avoided(0).contains(&0));
    fleet.pass(Duration::from_secs(6));
    assert!(fleet.avoided(0).is_empty());
}

/// Guards against messages of a fleet in which no team is late.
#[test]
fn nothing_is_sent_while_all_teams_are_on_time() {
    let mut fleet = SpeedFleet::new(1, 1, 0);
    for _ in 0..100 {
        fleet.play_team();
        let now = fleet.now;
        assert!(fleet.gateways[0].take_due(now).is_empty());
    }
}

/// Guards against a prompt that waits four times as long because a slow engine prefills a part of it,
/// while other engines are idle.
#[test]
fn a_slow_helper_gets_no_part_while_others_are_idle() {
    let pool = VirtualPool::new(12);
    for (prompt, writers) in [(45_000, 0), (45_000, 2), (220_000, 0), (220_000, 2)] {
        for round in 0..50 {
            let mut rng = StdRng::seed_from_u64(round);
            let mut candidates = pool.candidates();
            for candidate in &mut candidates {
                candidate.draw = rng.random();
                let group = WriterGroup::new(Duration::from_secs(1), 1.0);
                candidate.load.writers = (0..writers).map(|_| group).collect();
            }
            candidates[5].load.slowdown = SLOWDOWN as f32;
            candidates[5].load.writers = Default::default();
            let placer = DirectPlacer::new(Some(&PROFILE));
            let choice = placer.place(&long(prompt), &candidates);
            let choice = choice.expect("slots are free");
            let mut team = choice.helpers.iter().map(|helper| helper.index);
            assert!(choice.lead != 5, "{prompt} {writers}");
            assert!(team.all(|index| index != 5), "{prompt} {writers}");
        }
    }
}
