//! Model of engines that grant, expire and lose the reservations of one span.

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{SpanAction, SpanEvent, SpanPart, prelude::*};

pub(crate) const ENGINES: usize = 4;
pub(crate) const PROMPT: TokenCount = 100_000;
pub(crate) const STEP_MS: u64 = 50;
pub(crate) const REMAINING: Duration = Duration::from_secs(60);
pub(crate) const HOLD: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The engine has no free memory for a while.
    Busy,
    /// The connection goes silent. Reservations stay until they expire.
    Silent,
    /// A new session to the same incarnation is established.
    Reconnected,
    /// The sidecar restarts and loses its reservations.
    Restart,
    /// The prefill of the current segment fails.
    SegmentFails,
    Released,
}

/// Engines that grant, expire and lose reservations, and answer at once.
pub(crate) struct Engines {
    pub(crate) now: Duration,
    pub(crate) incarnations: [Incarnation; ENGINES],
    pub(crate) busy_until: [Duration; ENGINES],
    pub(crate) reachable: [bool; ENGINES],
    pub(crate) held_until: BTreeMap<usize, Duration>,
    pub(crate) segment_fails: bool,
    pub(crate) answers: Vec<SpanEvent>,
    pub(crate) wake_at: Option<Duration>,
    pub(crate) prefilled: TokenCount,
    /// The lead, once the request runs on it and has taken over the reservation.
    pub(crate) runs_on: Option<usize>,
    pub(crate) decoded: u32,
    pub(crate) failed: Vec<AnswerEnd>,
}

impl Engines {
    pub(crate) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            incarnations: [7; ENGINES],
            busy_until: [Duration::ZERO; ENGINES],
            reachable: [true; ENGINES],
            held_until: BTreeMap::new(),
            segment_fails: false,
            answers: Vec::new(),
            wake_at: None,
            prefilled: 0,
            runs_on: None,
            decoded: 0,
            failed: Vec::new(),
        }
    }

    pub(crate) fn parts(&self) -> Vec<SpanPart> {
        let part = |at: usize| SpanPart {
            endpoint: name(at),
            incarnation: self.incarnations[at],
            tokens: PROMPT / 3 + 1,
        };
        (0..ENGINES)
            .filter(|at| self.reachable[*at])
            .take(3)
            .map(part)
            .collect()
    }

    pub(crate) fn expire_reservations(&mut self) {
        let now = self.now;
        self.held_until.retain(|_, until| *until > now);
    }

    pub(crate) fn inject_fault(&mut self, at: usize, fault: Fault) -> Option<SpanEvent> {
        let (endpoint, incarnation) = (name(at), self.incarnations[at]);
        match fault {
            Fault::Busy => self.busy_until[at] = self.now + Duration::from_secs(2),
            Fault::Silent if self.reachable[at] => {
                self.reachable[at] = false;
                self.answers.retain(|answer| !is_from(answer, &endpoint));
                return Some(SpanEvent::MemberLost {
                    endpoint,
                    incarnation,
                });
            }
            Fault::Reconnected if !self.reachable[at] => {
                self.reachable[at] = true;
                return Some(SpanEvent::MemberReconnected {
                    endpoint,
                    incarnation,
                });
            }
            Fault::Restart => {
                self.incarnations[at] += 1;
                self.held_until.remove(&at);
                self.reachable[at] = true;
                self.answers.retain(|answer| !is_from(answer, &endpoint));
                let incarnation = self.incarnations[at];
                return Some(SpanEvent::MemberReconnected {
                    endpoint,
                    incarnation,
                });
            }
            Fault::SegmentFails => self.segment_fails = true,
            Fault::Released => return Some(SpanEvent::Released),
            Fault::Silent | Fault::Reconnected => {}
        }
        None
    }

    pub(crate) fn carry_out(&mut self, actions: Vec<SpanAction>) {
        for action in actions {
            match action {
                SpanAction::ChooseEngines => {
                    self.answers.push(SpanEvent::EnginesChosen(self.parts()))
                }
                SpanAction::Reserve {
                    endpoint,
                    incarnation,
                    round,
                    hold,
                    ..
                } => {
                    self.reserve(endpoint, incarnation, round, hold);
                }
                SpanAction::Release {
                    endpoint,
                    incarnation,
                } => {
                    let at = index(&endpoint);
                    if self.reachable[at] && self.incarnations[at] == incarnation {
                        self.held_until.remove(&at);
                    }
                }
                SpanAction::Segment(segment) => {
                    let at = index(&segment.endpoint);
                    if !self.reachable[at] || self.incarnations[at] != segment.incarnation {
                        continue;
                    }
                    assert!(
                        self.held_until.contains_key(&at),
                        "prefill without a reservation"
                    );
                    let code = match self.segment_fails {
                        true => ResultCode::EngineFailed,
                        false => ResultCode::Complete,
                    };
                    if code == ResultCode::Complete && segment.start == self.prefilled {
                        self.prefilled += segment.tokens;
                    }
                    self.answers.push(SpanEvent::SegmentDone {
                        endpoint: segment.endpoint,
                        start: segment.start,
                        end: AnswerEnd::new(code),
                    });
                }
                SpanAction::Decode { members } => {
                    self.decoded += 1;
                    assert_eq!(self.prefilled, PROMPT, "decode before the whole prompt");
                    assert_eq!(members.len(), 3);
                    let lead = index(&members[0].endpoint);
                    self.held_until.remove(&lead);
                    self.runs_on = Some(lead);
                }
                SpanAction::Fail(end) => self.failed.push(end),
                SpanAction::WakeAt(at) => self.wake_at = Some(at),
            }
        }
    }

    pub(crate) fn reserve(
        &mut self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        round: u32,
        hold: Duration,
    ) {
        let at = index(&endpoint);
        if !self.reachable[at] || self.incarnations[at] != incarnation {
            return;
        }
        let held = self.held_until.contains_key(&at);
        // A reservation that the running request has taken over is not renewed.
        let granted = (held || self.busy_until[at] <= self.now) && self.runs_on != Some(at);
        if granted {
            self.held_until.insert(at, self.now + hold);
        }
        self.answers.push(SpanEvent::ReserveAnswered {
            endpoint,
            round,
            granted,
        });
    }
}

fn name(at: usize) -> EndpointId {
    EndpointId::from(format!("e{at}"))
}

fn index(endpoint: &EndpointId) -> usize {
    endpoint[1..].parse().expect("an endpoint of this test")
}

fn is_from(answer: &SpanEvent, from: &EndpointId) -> bool {
    match answer {
        SpanEvent::ReserveAnswered { endpoint, .. } | SpanEvent::SegmentDone { endpoint, .. } => {
            endpoint == from
        }
        _ => false,
    }
}
