//! Scripted scenarios of claims: callers repeat keyed calls through gateways during failures.
//!
//! `steps` runs one step per line. `GATEWAY claim KEY request=N [body=TEXT] [within=MS]`,
//! `GATEWAY record KEY request=N answer=TEXT`, `GATEWAY abandon KEY request=N` and `GATEWAY
//! withdraw request=N` are events. `GATEWAY store ok|down|limited|lost|lost-applied` ends the calls
//! that the gateway has in flight. `GATEWAY settle` completes calls successfully until there are
//! none. `GATEWAY crash` restarts the gateway. `wait MS` advances the time. `limits` sets sizes for
//! the file.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use datadriven::TestCase;
use lovagedock::{
    ClaimAction, ClaimEvent, ClaimKey, ClaimLimits, ClaimPartition, ClaimRequest, KeyHash,
    ReadOutcome, Timestamp, WriteOutcome,
};
use support::store::FakeStore;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/claim", |file| {
        let mut state = ScenarioState::default();
        file.run(|case| match case.directive.as_str() {
            "limits" => state.set_limits(case),
            "steps" => case
                .input
                .lines()
                .map(|line| state.run_line(line))
                .collect(),
            other => panic!("unknown directive {other}"),
        });
    });
}

#[derive(Default)]
struct ScenarioState {
    now: Timestamp,
    limits: ClaimLimits,
    store: FakeStore,
    gateways: BTreeMap<String, Gateway>,
    incarnations: u64,
}

struct Gateway {
    machine: ClaimPartition,
    calls: Vec<ClaimAction>,
    wake_at: Option<Timestamp>,
}

impl ScenarioState {
    fn set_limits(&mut self, case: &TestCase) -> String {
        let number = |name: &str| -> Option<usize> {
            let values = case.args.get(name)?;
            values[0].parse().ok()
        };
        let limits = &mut self.limits;
        limits.inline_bytes = number("inline").unwrap_or(limits.inline_bytes);
        limits.part_bytes = number("part").unwrap_or(limits.part_bytes);
        limits.partition_bytes = number("partition").unwrap_or(limits.partition_bytes);
        if let Some(window) = number("window-s") {
            limits.window = Duration::from_secs(window as u64);
        }
        String::new()
    }

    fn run_line(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut shown = Vec::new();
        if words[0] == "wait" {
            let time = Duration::from_millis(words[1].parse().expect("milliseconds"));
            self.wait(time, &mut shown);
        } else {
            self.gateway_step(words[0], &words[1..], &mut shown);
        }
        let shown: String = shown.iter().map(|text| format!("    {text}\n")).collect();
        format!("{line}\n{shown}")
    }

    fn gateway_step(&mut self, name: &str, words: &[&str], shown: &mut Vec<String>) {
        self.start(name);
        match words[0] {
            "crash" => {
                self.gateways.remove(name);
                self.start(name);
            }
            "store" => self.end_calls(name, words[1], shown),
            "settle" => {
                while !self.gateways[name].calls.is_empty() {
                    self.end_calls(name, "ok", shown);
                }
            }
            _ => {
                let event = self.parse(words);
                self.handle(name, event, shown);
            }
        }
    }

    fn start(&mut self, name: &str) {
        if self.gateways.contains_key(name) {
            return;
        }
        self.incarnations += 1;
        let gateway = Gateway {
            machine: ClaimPartition::new(0, self.incarnations, self.limits.clone()),
            calls: Vec::new(),
            wake_at: None,
        };
        self.gateways.insert(name.to_owned(), gateway);
    }

    fn parse(&self, words: &[&str]) -> ClaimEvent {
        let request = field(words, "request").map_or(0, |n| n.parse().expect("a number"));
        let key = key_hash(words[1]);
        let within = |name, default: u64| {
            let ms = field(words, name).map_or(default, |n| n.parse().expect("milliseconds"));
            self.now + Duration::from_millis(ms)
        };
        match words[0] {
            "claim" => ClaimEvent::Claim(ClaimRequest {
                key,
                request,
                body: key_hash(field(words, "body").unwrap_or("body")),
                deadline: within("within", 5_000),
            }),
            "record" => ClaimEvent::Record {
                key,
                request,
                answer: Bytes::from(field(words, "answer").expect("an answer").to_owned()),
                deadline: within("within", 5_000),
            },
            "abandon" => ClaimEvent::Abandon { key, request },
            "withdraw" => ClaimEvent::Withdraw { request },
            other => panic!("unknown step {other}"),
        }
    }

    fn handle(&mut self, name: &str, event: ClaimEvent, shown: &mut Vec<String>) {
        let gateway = self.gateways.get_mut(name).expect("gateway was started");
        for action in gateway.machine.handle(self.now, event) {
            match &action {
                ClaimAction::WakeAt(at) => gateway.wake_at = Some(*at),
                ClaimAction::Read { .. }
                | ClaimAction::Write { .. }
                | ClaimAction::Delete { .. } => {
                    shown.push(format!("{name} {}", show(&action)));
                    gateway.calls.push(action);
                }
                _ => shown.push(format!("{name} {}", show(&action))),
            }
        }
    }

    fn end_calls(&mut self, name: &str, fault: &str, shown: &mut Vec<String>) {
        let gateway = self.gateways.get_mut(name).expect("gateway was started");
        for call in std::mem::take(&mut gateway.calls) {
            let event = self.end_call(call, fault);
            self.handle(name, event, shown);
        }
    }

    fn end_call(&mut self, call: ClaimAction, fault: &str) -> ClaimEvent {
        let refused = match fault {
            "ok" | "lost-applied" => None,
            "down" => Some(WriteOutcome::Unavailable),
            "limited" => Some(WriteOutcome::RateLimited),
            "lost" => Some(WriteOutcome::Unknown),
            other => panic!("unknown fault {other}"),
        };
        match call {
            ClaimAction::Read { object } => {
                let outcome = match refused {
                    None => self.store.read(&object),
                    Some(_) => ReadOutcome::Unavailable,
                };
                ClaimEvent::StoreReadEnded { object, outcome }
            }
            ClaimAction::Write {
                object,
                condition,
                bytes,
                nonce,
            } => {
                let outcome =
                    refused.unwrap_or_else(|| self.store.write(&object, condition, bytes));
                let outcome = match fault {
                    "lost-applied" => WriteOutcome::Unknown,
                    _ => outcome,
                };
                ClaimEvent::StoreWriteEnded { nonce, outcome }
            }
            ClaimAction::Delete { object, nonce } => {
                let outcome = refused.unwrap_or_else(|| self.store.delete(&object));
                ClaimEvent::StoreWriteEnded { nonce, outcome }
            }
            other => panic!("not a store call: {other:?}"),
        }
    }

    /// Advances the time from one wake-up to the next. Calls stay in flight.
    fn wait(&mut self, time: Duration, shown: &mut Vec<String>) {
        let end = self.now + time;
        loop {
            let due = self.gateways.iter().filter_map(|(name, gateway)| {
                let at = gateway.wake_at.filter(|at| *at <= end)?;
                Some((at, name.clone()))
            });
            let Some((at, name)) = due.min() else {
                break;
            };
            self.now = self.now.max(at);
            self.gateways.get_mut(&name).expect("known").wake_at = None;
            self.handle(&name, ClaimEvent::Tick, shown);
        }
        self.now = end;
    }
}

fn key_hash(text: &str) -> KeyHash {
    let key = ClaimKey {
        organisation: "co-operative".into(),
        service: "registry".into(),
        key: text.to_owned(),
    };
    key.hash()
}

fn field<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    let mut fields = words.iter().filter_map(|word| word.split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn show(action: &ClaimAction) -> String {
    match action {
        ClaimAction::Read { object } => format!("reads {object}"),
        ClaimAction::Write {
            object, condition, ..
        } => format!("writes {object} if {condition:?}"),
        ClaimAction::Delete { object, .. } => format!("deletes {object}"),
        ClaimAction::Grant { request } => format!("request {request} may run"),
        ClaimAction::Replay { request, answer } => {
            let text = String::from_utf8_lossy(answer);
            format!("request {request} is answered again: {text}")
        }
        ClaimAction::InProgress {
            request, running, ..
        } => format!("request {request} waits for request {running}"),
        ClaimAction::Refuse { request, code } => format!(
            "request {request} is refused: {code:?} ({}), ran {}",
            code.number(),
            code.ran().as_str()
        ),
        ClaimAction::Recorded { request } => format!("request {request} may end cleanly"),
        ClaimAction::NotRecorded { request } => {
            format!("request {request} must not end cleanly")
        }
        ClaimAction::WakeAt(at) => format!("wakes at {at:?}"),
    }
}
