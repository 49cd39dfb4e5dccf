//! Simulation of a series of engine ends caused by parts of prompts, with several gateways, in
//! virtual time.

use std::{collections::HashSet, time::Duration};

use lovagedock::{
    EndEvidence, EndpointProcess, PartEnd, PartLedger, PartUpdate, PartVerdict, ProcessEnd,
    PromptPart, RequestFingerprint, Timestamp,
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 5;
const ENGINES: usize = 21;

/// Time until an engine's next process serves, and duration of a response.
const RESTART_TIME: Duration = Duration::from_secs(3);
const RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// Delay of messages between gateways, probability of a loss, and steps of the simulation.
const MESSAGE_DELAY: Duration = Duration::from_millis(10);
const MESSAGE_LOSS: f64 = 0.02;
const STEP: Duration = Duration::from_millis(5);

/// Time from the restart of a gateway until it takes requests.
const GATEWAY_START_TIME: Duration = Duration::from_millis(100);

/// Time for which a doubtful request waits for the trial of another one, and time of a trial.
const TRIAL_WAIT: Duration = Duration::from_millis(300);
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Attempts of a gateway, and submissions of a caller.
const ATTEMPTS: u32 = 2;
const SUBMISSIONS: u32 = 2;

/// Time from the fifth end after which sends count as late, and from which sound requests have to
/// be served as before.
const LATE_AFTER: Duration = Duration::from_secs(3);
const SERVED_AFTER: Duration = Duration::from_secs(6);

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestFlow {
    /// Requests per second.
    pub(crate) rate: f64,
    /// Values of each level of parts, from the first part on: a part is drawn from each range.
    pub(crate) levels: &'static [std::ops::Range<PromptPart>],
    /// When the flow starts.
    pub(crate) from: Duration,
}

/// Restarts of gateways during a series.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayRestarts {
    pub(crate) interval: Duration,
    /// Whether all gateways restart at once, or one of them.
    pub(crate) all: bool,
    /// Whether gateways keep their evidence in the store. Otherwise peers have to tell them.
    pub(crate) has_store: bool,
}

/// Load and faults of a series.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeriesPlan {
    pub(crate) seed: u64,
    pub(crate) flows: &'static [RequestFlow],
    /// Parts that end the engines that begin to answer them, from the given time on.
    pub(crate) crashing: &'static [(PromptPart, Duration)],
    /// Time between two losses of a quarter of the engines by another cause.
    pub(crate) losses: Option<Duration>,
    pub(crate) restarts: Option<GatewayRestarts>,
    pub(crate) length: Duration,
}

/// Result of a series.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SeriesOutcome {
    /// Ends of engines by crashing parts.
    pub(crate) ends: usize,
    /// Requests with a crashing part that were sent later than [`LATE_AFTER`] after its fifth end.
    pub(crate) late_sends: usize,
    /// Sound parts in quarantine at the end.
    pub(crate) sound_blamed: usize,
    /// Sound requests that were served at the first attempt, and all of them: before the first
    /// crashing request, and when they have to be served as before.
    pub(crate) before: (usize, usize),
    pub(crate) after: (usize, usize),
}

impl SeriesOutcome {
    /// Returns the fraction of sound requests that are served under the series, relative to before.
    pub(crate) fn served_ratio(&self) -> f64 {
        let fraction = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
        fraction(self.after) / fraction(self.before).max(f64::MIN_POSITIVE)
    }
}

#[derive(Clone, Debug)]
struct SimulatedRequest {
    id: RequestFingerprint,
    parts: Vec<PromptPart>,
    gateway: usize,
    arrived_at: Timestamp,
    attempts: u32,
    submissions: u32,
    /// When a trial that it started may be confirmed.
    confirms_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    request: SimulatedRequest,
    engine: usize,
    sent_at: Timestamp,
    answers_at: Timestamp,
    is_answering: bool,
    is_suspect: bool,
}

struct SeriesSimulation<'a> {
    plan: &'a SeriesPlan,
    random: ChaCha8Rng,
    ledgers: Vec<PartLedger>,
    /// When each gateway takes requests again.
    starting_until: Vec<Timestamp>,
    messages: Vec<(Timestamp, usize, PartUpdate)>,
    waiting: Vec<SimulatedRequest>,
    runs: Vec<RunningRequest>,
    down_until: Vec<Timestamp>,
    processes: u64,
    requests: RequestFingerprint,
    /// Times of the ends of each crashing part.
    ends: Vec<Vec<Timestamp>>,
    first_crashing_at: Duration,
    outcome: SeriesOutcome,
}

/// Simulates a series.
pub(crate) fn simulate_part_series(plan: &SeriesPlan) -> SeriesOutcome {
    let crashing_flows = plan.flows.iter().filter(|flow| {
        let mut parts = plan.crashing.iter();
        parts.any(|(part, _)| flow.levels.iter().any(|level| level.contains(part)))
    });
    let starts = crashing_flows.map(|flow| flow.from);
    let turns = plan.crashing.iter().map(|(_, from)| *from);
    let first_crashing_at = starts.max().max(turns.min()).unwrap_or(plan.length / 2);
    let mut simulation = SeriesSimulation {
        plan,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        ledgers: (0..GATEWAYS as u64)
            .map(|rank| PartLedger::new().with_rank(rank))
            .collect(),
        starting_until: vec![Duration::ZERO; GATEWAYS],
        messages: Vec::new(),
        waiting: Vec::new(),
        runs: Vec::new(),
        down_until: vec![Duration::ZERO; ENGINES],
        processes: 0,
        requests: 0,
        ends: vec![Vec::new(); plan.crashing.len()],
        first_crashing_at,
        outcome: SeriesOutcome::default(),
    };
    let mut now = Duration::ZERO;
    while now < plan.length {
        simulation.step(now);
        now += STEP;
    }
    simulation.finish(now)
}

impl SeriesSimulation<'_> {
    fn step(&mut self, now: Timestamp) {
        for flow in self.plan.flows {
            let chance = flow.rate * STEP.as_secs_f64();
            let count =
                chance.floor() as usize + usize::from(self.random.random_bool(chance.fract()));
            for _ in 0..count * usize::from(now >= flow.from) {
                let levels = flow.levels.iter().cloned();
                self.requests += 1;
                let request = SimulatedRequest {
                    id: self.requests,
                    parts: levels
                        .map(|level| self.random.random_range(level))
                        .collect(),
                    gateway: self.random.random_range(0..GATEWAYS),
                    arrived_at: now,
                    attempts: 0,
                    submissions: 1,
                    confirms_at: None,
                };
                self.waiting.push(request);
            }
        }
        if let Some(interval) = self.plan.losses
            && now.as_millis().is_multiple_of(interval.as_millis())
        {
            for _ in 0..ENGINES / 4 {
                let engine = self.random.random_range(0..ENGINES);
                self.end_engine(now, engine);
            }
        }
        if let Some(restarts) = self.plan.restarts
            && now > self.first_crashing_at
            && now
                .as_millis()
                .is_multiple_of(restarts.interval.as_millis())
        {
            self.restart_gateways(now, restarts);
        }
        self.deliver(now);
        for mut request in std::mem::take(&mut self.waiting) {
            let gateways = (0..GATEWAYS).map(|offset| (request.gateway + offset) % GATEWAYS);
            let mut running = gateways.filter(|gateway| self.starting_until[*gateway] <= now);
            match running.next() {
                Some(gateway) => {
                    request.gateway = gateway;
                    self.place(now, request);
                }
                None => self.waiting.push(request),
            }
        }
        self.run(now);
        self.withdraw(now);
        for sender in 0..GATEWAYS {
            for update in self.ledgers[sender].take_due(now) {
                for receiver in (0..GATEWAYS).filter(|receiver| *receiver != sender) {
                    if !self.random.random_bool(MESSAGE_LOSS) {
                        self.messages
                            .push((now + MESSAGE_DELAY, receiver, update.clone()));
                    }
                }
            }
        }
    }

    /// Restarts gateways. Their evidence is in the store, or their peers send it again.
    fn restart_gateways(&mut self, now: Timestamp, restarts: GatewayRestarts) {
        let only = self.random.random_range(0..GATEWAYS);
        let reports = self.ledgers.iter().map(|ledger| ledger.reports(now, false));
        let reports: Vec<_> = reports.collect();
        for gateway in (0..GATEWAYS).filter(|gateway| restarts.all || *gateway == only) {
            self.ledgers[gateway] = PartLedger::new().with_rank(gateway as u64);
            self.starting_until[gateway] = now + GATEWAY_START_TIME;
            self.messages
                .retain(|(_, receiver, _)| *receiver != gateway);
            self.runs.retain(|run| run.request.gateway != gateway);
            for (sender, reports) in reports.iter().enumerate() {
                if restarts.has_store {
                    self.ledgers[gateway].restore(now, reports.clone(), sender == gateway);
                }
            }
        }
        for ledger in &mut self.ledgers {
            ledger.resend_quarantines();
        }
    }

    fn deliver(&mut self, now: Timestamp) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<(Timestamp, usize, PartUpdate)> = due;
        for (_, receiver, update) in due {
            self.ledgers[receiver].apply_update(now, update);
        }
    }

    /// Returns the index of the crashing part of a request, if it has one.
    fn crashing_part(&self, now: Timestamp, parts: &[PromptPart]) -> Option<usize> {
        let mut crashing = self.plan.crashing.iter();
        crashing.position(|(part, from)| *from <= now && parts.contains(part))
    }

    /// Counts a sound request that is served or not at its first attempt.
    fn count_sound(&mut self, now: Timestamp, request: &SimulatedRequest, is_served: bool) {
        if request.submissions > 1 || request.attempts > 1 {
            return;
        }
        if self
            .crashing_part(self.plan.length, &request.parts)
            .is_some()
        {
            return;
        }
        let fifth_end = self
            .ends
            .iter()
            .filter_map(|ends| ends.get(4).or(ends.last()))
            .max();
        let window = match fifth_end {
            _ if request.arrived_at < self.first_crashing_at => &mut self.outcome.before,
            Some(end) if now > *end + SERVED_AFTER => &mut self.outcome.after,
            None => &mut self.outcome.after,
            Some(_) => return,
        };
        window.0 += usize::from(is_served);
        window.1 += 1;
    }

    fn place(&mut self, now: Timestamp, mut request: SimulatedRequest) {
        let verdict = self.ledgers[request.gateway].verdict(now, &request.parts);
        if verdict == PartVerdict::Doubtful && !self.try_confirm_trial(now, &mut request) {
            match now < request.arrived_at + TRIAL_WAIT {
                true => self.waiting.push(request),
                false => self.count_sound(now, &request, false),
            }
            return;
        }
        if let PartVerdict::Quarantined(_) = verdict {
            request.attempts = request.attempts.max(1);
            self.count_sound(now, &request, false);
            return;
        }
        let is_suspect = verdict != PartVerdict::Clear;
        let mut engines: Vec<usize> = (0..ENGINES)
            .filter(|e| self.down_until[*e] <= now)
            .collect();
        if is_suspect {
            let suspects = self.runs.iter().filter(|run| run.is_suspect);
            let occupied: HashSet<usize> = suspects.map(|run| run.engine).collect();
            if engines.iter().any(|engine| !occupied.contains(engine)) {
                engines.retain(|engine| !occupied.contains(engine));
            }
        }
        let Some(engine) = engines.choose(&mut self.random).copied() else {
            self.count_sound(now, &request, false);
            return;
        };
        if let Some(crashing) = self.crashing_part(now, &request.parts) {
            let fifth_end = self.ends[crashing].get(4);
            let is_late = fifth_end.is_some_and(|end| now > *end + LATE_AFTER);
            self.outcome.late_sends += usize::from(is_late);
        }
        request.attempts += 1;
        let prefill_time = Duration::from_millis(self.random.random_range(20..80));
        self.runs.push(RunningRequest {
            request,
            engine,
            sent_at: now,
            answers_at: now + prefill_time,
            is_answering: false,
            is_suspect,
        });
    }

    /// Returns whether a doubtful request may be sent as a trial.
    fn try_confirm_trial(&mut self, now: Timestamp, request: &mut SimulatedRequest) -> bool {
        let ledger = &mut self.ledgers[request.gateway];
        match request.confirms_at {
            None => {
                if ledger.try_start_trial(now, request.id, &request.parts, TRIAL_TIME) {
                    request.confirms_at = Some(now + MESSAGE_DELAY * 2);
                }
                false
            }
            Some(confirms_at) if now < confirms_at => false,
            Some(_) => {
                request.confirms_at = None;
                ledger.holds_trial(now, &request.parts)
            }
        }
    }

    fn run(&mut self, now: Timestamp) {
        let mut index = 0;
        while index < self.runs.len() {
            let run = &self.runs[index];
            if !run.is_answering && run.answers_at <= now {
                if let Some(crashing) = self.crashing_part(now, &run.request.parts) {
                    self.ends[crashing].push(now);
                    self.outcome.ends += 1;
                    let engine = run.engine;
                    self.end_engine(now, engine);
                    index = 0;
                    continue;
                }
                let run = &mut self.runs[index];
                run.is_answering = true;
                let request = run.request.clone();
                self.ledgers[request.gateway].record_answered(now, &request.parts);
                self.count_sound(now, &request, true);
            }
            index += 1;
        }
        self.runs
            .retain(|run| !run.is_answering || run.answers_at + RESPONSE_TIME > now);
    }

    /// Withdraws requests that are in quarantine since they were sent.
    fn withdraw(&mut self, now: Timestamp) {
        if self.ledgers.iter().all(PartLedger::is_empty) {
            return;
        }
        let runs = std::mem::take(&mut self.runs);
        for run in runs {
            let verdict = self.ledgers[run.request.gateway].verdict(now, &run.request.parts);
            let is_quarantined = matches!(verdict, PartVerdict::Quarantined(_));
            match is_quarantined && !run.is_answering {
                true => self.count_sound(now, &run.request, false),
                false => self.runs.push(run),
            }
        }
    }

    fn end_engine(&mut self, now: Timestamp, engine: usize) {
        self.processes += 1;
        self.down_until[engine] = now + RESTART_TIME;
        let process = EndpointProcess::new(format!("i-{}", self.processes).as_str(), 1);
        let runs = std::mem::take(&mut self.runs);
        let (lost, kept): (Vec<_>, Vec<_>) = runs.into_iter().partition(|run| run.engine == engine);
        self.runs = kept;
        for run in lost {
            let mut request = run.request;
            if !run.is_answering {
                let end = PartEnd {
                    request: request.id,
                    process: ProcessEnd::new(&process, EndEvidence::Strong).process,
                    evidence: EndEvidence::Strong,
                    ran_for: now.saturating_sub(run.sent_at),
                    age: Duration::ZERO,
                    is_trial: false,
                };
                self.ledgers[request.gateway].record_end(now, &request.parts, end);
                self.count_sound(now, &request, false);
            }
            if request.attempts >= ATTEMPTS {
                if request.submissions >= SUBMISSIONS {
                    continue;
                }
                request.submissions += 1;
                request.attempts = 0;
                request.gateway = self.random.random_range(0..GATEWAYS);
            }
            self.waiting.push(request);
        }
    }

    fn finish(mut self, now: Timestamp) -> SeriesOutcome {
        let ledgers = self.ledgers.iter();
        let blamed: HashSet<PromptPart> =
            ledgers.flat_map(|ledger| ledger.quarantines(now)).collect();
        let is_sound = |part: &&PromptPart| {
            let mut crashing = self.plan.crashing.iter();
            !crashing.any(|(crashing, _)| crashing == *part)
        };
        self.outcome.sound_blamed = blamed.iter().filter(is_sound).count();
        self.outcome
    }
}
