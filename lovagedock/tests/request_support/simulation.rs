//! Runs one schedule: links, delayed messages, restarts, and the bytes that the caller reads.

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{
    EndpointEvent, RequestEvent, RequestMachine, RequestOutcome, RequestSafeguards, RequestSpec,
    prelude::*,
};

use super::{
    ENDPOINTS, Fault, FaultKind, FaultSchedule, Violation, core_sidecar::new_core,
    sidecar::SidecarModel,
};

const HEARTBEAT_TIMEOUT_MS: u64 = 120;
const RECONNECT_MS: u64 = 150;
const END_OF_SCHEDULE_MS: u64 = 30_000;

#[derive(Clone, Debug)]
pub(super) enum Message {
    Submit(AttemptNumber, Incarnation),
    Revoke(AttemptNumber, Incarnation),
    Resume(AttemptNumber, Incarnation, u64),
    Cancel(AttemptNumber, Incarnation),
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    Event(RequestEvent),
    ToSidecar(usize, Message),
    ToGateway(usize, RequestEvent, Vec<u8>),
    Begin(usize, Incarnation, AttemptNumber),
    Produce(usize, Incarnation, AttemptNumber),
    Wake(usize, Incarnation),
    InjectFault(Fault),
    LoseSession(usize, usize),
    Reconnect(usize),
}

pub(super) struct Link {
    pub(super) endpoint: usize,
    pub(super) incarnation: Incarnation,
    pub(super) silent_until: u64,
}

pub(super) struct RequestSimulation {
    pub(super) now: u64,
    pub(super) steps: BTreeMap<(u64, u64), Step>,
    pub(super) sequence: u64,
    pub(super) delays: Vec<u64>,
    pub(super) real_sidecars: bool,
    pub(super) non_idempotent: bool,
    pub(super) deadline_ms: u64,
    pub(super) sidecars: Vec<SidecarModel>,
    pub(super) links: Vec<Link>,
    pub(super) sessions: Vec<Option<usize>>,
    pub(super) partitioned_until: Vec<u64>,
    pub(super) next_frame: Option<FaultKind>,
    pub(super) corrupted: bool,
    pub(super) starts: Vec<AttemptNumber>,
    pub(super) frame: Vec<u8>,
    pub(super) read: Vec<u8>,
    pub(super) finishes: Vec<(u64, RequestOutcome)>,
}

/// Runs a schedule to its end and returns the violations.
pub(crate) fn run_schedule(
    schedule: &FaultSchedule,
    safeguards: RequestSafeguards,
) -> Vec<Violation> {
    let mut simulation = RequestSimulation::new(schedule);
    let deadline = Duration::from_millis(schedule.deadline_ms);
    let spec =
        RequestSpec::new(1, "registry", deadline).with_non_idempotent(schedule.non_idempotent);
    let mut machine = RequestMachine::new(Duration::ZERO, spec).with_safeguards(safeguards);
    let first = machine.start();
    simulation.carry_out(first);
    while let Some(((at, _), step)) = simulation.steps.pop_first() {
        if at > END_OF_SCHEDULE_MS {
            break;
        }
        simulation.now = at;
        if let Some(event) = simulation.process_step(step) {
            let actions = machine.handle(Duration::from_millis(at), event);
            simulation.carry_out(actions);
        }
    }
    simulation.violations(schedule)
}

impl RequestSimulation {
    pub(super) fn new(schedule: &FaultSchedule) -> Self {
        let mut simulation = Self {
            now: 0,
            steps: BTreeMap::new(),
            sequence: 0,
            delays: schedule.delays.clone(),
            real_sidecars: schedule.real_sidecars,
            non_idempotent: schedule.non_idempotent,
            deadline_ms: schedule.deadline_ms,
            sidecars: (0..ENDPOINTS)
                .map(|at| new_sidecar(100 * (at as u64 + 1), schedule.real_sidecars))
                .collect(),
            links: Vec::new(),
            sessions: vec![None; ENDPOINTS],
            partitioned_until: vec![0; ENDPOINTS],
            next_frame: None,
            corrupted: false,
            starts: Vec::new(),
            frame: Vec::new(),
            read: Vec::new(),
            finishes: Vec::new(),
        };
        for endpoint in 0..ENDPOINTS {
            simulation.sessions[endpoint] = Some(simulation.connect(endpoint));
        }
        for fault in &schedule.faults {
            simulation.after(fault.at_ms, Step::InjectFault(fault.clone()));
        }
        simulation
    }

    pub(super) fn connect(&mut self, endpoint: usize) -> usize {
        let incarnation = self.sidecars[endpoint].incarnation;
        self.links.push(Link {
            endpoint,
            incarnation,
            silent_until: 0,
        });
        self.links.len() - 1
    }

    pub(super) fn after(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.insert((self.now + delay, self.sequence), step);
    }

    pub(super) fn delay(&mut self) -> u64 {
        self.delays.rotate_left(1);
        self.delays[0]
    }

    pub(super) fn send(&mut self, link: usize, step: Step) {
        let delay = self.delay();
        self.after(delay, step);
        debug_assert!(link < self.links.len());
    }

    /// Whether a message passes now. If not, it is delayed on a silent link, or lost.
    pub(super) fn passes(&mut self, link: usize, step: Step) -> bool {
        let (endpoint, incarnation, until) = {
            let link = &self.links[link];
            (link.endpoint, link.incarnation, link.silent_until)
        };
        if incarnation != self.sidecars[endpoint].incarnation && matches!(step, Step::ToSidecar(..))
        {
            return false;
        }
        if until > self.now {
            self.after(until - self.now, step);
            return false;
        }
        true
    }

    pub(super) fn process_step(&mut self, step: Step) -> Option<RequestEvent> {
        match step.clone() {
            Step::Event(event) => return Some(event),
            Step::ToSidecar(link, message) => {
                if self.passes(link, step) {
                    self.receive(link, message);
                }
            }
            Step::ToGateway(link, event, bytes) => {
                if self.passes(link, step) {
                    self.frame = bytes;
                    return Some(event);
                }
            }
            Step::Begin(endpoint, incarnation, attempt) => {
                self.begin(endpoint, incarnation, attempt)
            }
            Step::Produce(endpoint, incarnation, attempt) => {
                self.produce(endpoint, incarnation, attempt)
            }
            Step::Wake(endpoint, incarnation) => {
                if self.sidecars[endpoint].incarnation == incarnation {
                    self.send_to_core(endpoint, 0, EndpointEvent::Tick);
                }
            }
            Step::InjectFault(fault) => return self.inject_fault(fault),
            Step::LoseSession(endpoint, link) => return self.lose_session(endpoint, link),
            Step::Reconnect(endpoint) => return self.reconnect(endpoint),
        }
        None
    }

    pub(super) fn inject_fault(&mut self, fault: Fault) -> Option<RequestEvent> {
        let endpoint = fault.endpoint;
        match fault.kind {
            FaultKind::Silence => self.silence_links(endpoint, fault.length_ms),
            FaultKind::Partition => {
                self.partitioned_until[endpoint] = self.now + fault.length_ms;
                self.silence_links(endpoint, fault.length_ms);
            }
            FaultKind::Restart => {
                let incarnation = self.sidecars[endpoint].incarnation + 1;
                self.sidecars[endpoint] = new_sidecar(incarnation, self.real_sidecars);
                if let Some(link) = self.sessions[endpoint] {
                    self.after(1, Step::LoseSession(endpoint, link));
                }
            }
            FaultKind::EngineFails => self.fail_running(endpoint),
            FaultKind::Drains => {
                self.sidecars[endpoint].draining = true;
                self.send_to_core(endpoint, 0, EndpointEvent::Drain(true));
            }
            FaultKind::CallerGone => return Some(RequestEvent::CallerGone),
            FaultKind::Stopping => {
                return Some(RequestEvent::Stopping {
                    grace: Duration::from_millis(500),
                });
            }
            FaultKind::DropFrame
            | FaultKind::RepeatFrame
            | FaultKind::DelayFrame
            | FaultKind::CorruptFrame => self.next_frame = Some(fault.kind),
        }
        None
    }

    pub(super) fn silence_links(&mut self, endpoint: usize, length: u64) {
        let until = self.now + length;
        for link in self
            .links
            .iter_mut()
            .filter(|link| link.endpoint == endpoint)
        {
            link.silent_until = until;
        }
        if let Some(link) = self.sessions[endpoint] {
            self.after(HEARTBEAT_TIMEOUT_MS, Step::LoseSession(endpoint, link));
        }
    }

    pub(super) fn lose_session(&mut self, endpoint: usize, link: usize) -> Option<RequestEvent> {
        if self.sessions[endpoint] != Some(link) {
            return None;
        }
        self.sessions[endpoint] = None;
        self.lose_sinks(endpoint, link);
        self.after(RECONNECT_MS, Step::Reconnect(endpoint));
        let incarnation = self.links[link].incarnation;
        Some(RequestEvent::SessionLost {
            endpoint: name(endpoint),
            incarnation,
        })
    }

    pub(super) fn reconnect(&mut self, endpoint: usize) -> Option<RequestEvent> {
        if self.partitioned_until[endpoint] > self.now {
            self.after(RECONNECT_MS, Step::Reconnect(endpoint));
            return None;
        }
        self.sessions[endpoint] = Some(self.connect(endpoint));
        let incarnation = self.sidecars[endpoint].incarnation;
        Some(RequestEvent::SessionReconnected {
            endpoint: name(endpoint),
            incarnation,
        })
    }
}

pub(super) fn name(endpoint: usize) -> EndpointId {
    EndpointId::from(format!("e{endpoint}"))
}

pub(super) fn index(endpoint: &EndpointId) -> usize {
    endpoint[1..].parse().expect("an endpoint of this model")
}

fn new_sidecar(incarnation: Incarnation, real: bool) -> SidecarModel {
    let mut sidecar = SidecarModel::new(incarnation);
    sidecar.core = real.then(|| new_core(incarnation));
    sidecar
}
