//! Scripted scenarios of leases.
//!
//! `steps` runs one step per line. `NAME want|release|pause|resume` are events. `NAME store
//! ok|down|lost|lost-applied` ends the calls that the process has in flight. `NAME settle`
//! completes them successfully until there are none. `NAME order` sends an order with the fence
//! that the process has now or had when it was paused. `wait MS` advances the time.

mod support;

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{
    Epoch, FenceMark, LeaseAction, LeaseEvent, LeaseHolder, LeaseLimits, ReadOutcome, Timestamp,
    WriteOutcome,
};
use support::store::FakeStore;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/lease", |file| {
        let mut state = ScenarioState {
            now: Duration::ZERO,
            store: FakeStore::default(),
            receiver: FenceMark::new(0),
            contenders: BTreeMap::new(),
        };
        file.run(|case| match case.directive.as_str() {
            "steps" => {
                let shown = case.input.lines().map(|line| state.run_line(line));
                shown.collect::<String>()
            }
            other => panic!("unknown directive {other}"),
        });
    });
}

struct ScenarioState {
    now: Timestamp,
    store: FakeStore,
    receiver: FenceMark,
    contenders: BTreeMap<String, Contender>,
}

struct Contender {
    machine: LeaseHolder,
    calls: Vec<LeaseAction>,
    wake_at: Option<Timestamp>,
    paused: bool,
    /// The fence that it read immediately before it was paused.
    last_fence: Option<Epoch>,
}

impl ScenarioState {
    fn run_line(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut shown = Vec::new();
        if words[0] == "wait" {
            let time = Duration::from_millis(words[1].parse().expect("milliseconds"));
            self.wait(time, &mut shown);
        } else {
            self.step(words[0], &words[1..], &mut shown);
        }
        let shown: String = shown.iter().map(|text| format!("    {text}\n")).collect();
        format!("{line}\n{shown}")
    }

    fn step(&mut self, name: &str, words: &[&str], shown: &mut Vec<String>) {
        let incarnation = self.contenders.len() as u64 + 1;
        let contender = self.contenders.entry(name.to_owned());
        let contender = contender.or_insert_with(|| Contender {
            machine: LeaseHolder::new("leases/pool".into(), incarnation, LeaseLimits::default()),
            calls: Vec::new(),
            wake_at: None,
            paused: false,
            last_fence: None,
        });
        match words[0] {
            "want" => self.handle(name, LeaseEvent::Want, shown),
            "release" => self.handle(name, LeaseEvent::Release, shown),
            "pause" => {
                contender.last_fence = contender.machine.fence(self.now);
                contender.paused = true;
            }
            "resume" => {
                contender.paused = false;
                self.handle(name, LeaseEvent::Tick, shown);
            }
            "order" => self.order(name, shown),
            "store" => self.end_calls(name, words[1], shown),
            "settle" => {
                while !self.contenders[name].calls.is_empty() {
                    self.end_calls(name, "ok", shown);
                }
            }
            other => panic!("unknown step {other}"),
        }
    }

    fn order(&mut self, name: &str, shown: &mut Vec<String>) {
        let contender = &self.contenders[name];
        let fence = match contender.paused {
            true => contender.last_fence,
            false => contender.machine.fence(self.now),
        };
        let text = match fence {
            None => format!("{name} has no fence and sends nothing"),
            Some(epoch) if self.receiver.admit(epoch) => {
                format!("order of {name} with fence {epoch} takes effect")
            }
            Some(epoch) => format!(
                "order of {name} with fence {epoch} is refused: {} was seen",
                self.receiver.highest()
            ),
        };
        shown.push(text);
    }

    fn handle(&mut self, name: &str, event: LeaseEvent, shown: &mut Vec<String>) {
        let contender = self.contenders.get_mut(name).expect("contender is known");
        for action in contender.machine.handle(self.now, event) {
            if let LeaseAction::WakeAt(at) = action {
                contender.wake_at = Some(at);
                continue;
            }
            shown.push(format!("{name} {}", show(&action)));
            if matches!(action, LeaseAction::Read { .. } | LeaseAction::Write { .. }) {
                contender.calls.push(action);
            }
        }
    }

    fn end_calls(&mut self, name: &str, fault: &str, shown: &mut Vec<String>) {
        let contender = self.contenders.get_mut(name).expect("contender is known");
        for call in std::mem::take(&mut contender.calls) {
            let event = self.end_call(call, fault);
            self.handle(name, event, shown);
        }
    }

    fn end_call(&mut self, call: LeaseAction, fault: &str) -> LeaseEvent {
        let takes_effect = matches!(fault, "ok" | "lost-applied");
        match call {
            LeaseAction::Read { object } => LeaseEvent::StoreReadEnded(match takes_effect {
                true => self.store.read(&object),
                false => ReadOutcome::Unavailable,
            }),
            LeaseAction::Write {
                object,
                condition,
                bytes,
                nonce,
            } => {
                let applied = takes_effect.then(|| self.store.write(&object, condition, bytes));
                let outcome = match (fault, applied) {
                    ("ok", Some(outcome)) => outcome,
                    ("down", _) => WriteOutcome::Unavailable,
                    _ => WriteOutcome::Unknown,
                };
                LeaseEvent::StoreWriteEnded { nonce, outcome }
            }
            other => panic!("not a store call: {other:?}"),
        }
    }

    /// Advances the time from one wake-up to the next. Paused processes miss their wake-ups.
    fn wait(&mut self, time: Duration, shown: &mut Vec<String>) {
        let end = self.now + time;
        loop {
            let due = self.contenders.iter().filter_map(|(name, contender)| {
                let at = contender.wake_at.filter(|at| *at <= end)?;
                (!contender.paused).then_some((at, name.clone()))
            });
            let Some((at, name)) = due.min() else {
                break;
            };
            self.now = self.now.max(at);
            self.contenders.get_mut(&name).expect("known").wake_at = None;
            self.handle(&name, LeaseEvent::Tick, shown);
        }
        self.now = end;
    }
}

fn show(action: &LeaseAction) -> String {
    match action {
        LeaseAction::Read { .. } => "reads the lease".to_owned(),
        LeaseAction::Write { condition, .. } => format!("writes the lease if {condition:?}"),
        LeaseAction::Acquired { epoch, expires_at } => {
            format!("holds the lease with fence {epoch} until {expires_at:?}")
        }
        LeaseAction::Renewed { epoch, expires_at } => {
            format!("keeps the lease with fence {epoch} until {expires_at:?}")
        }
        LeaseAction::Lost { epoch } => format!("no longer holds fence {epoch}"),
        LeaseAction::WakeAt(at) => format!("wakes at {at:?}"),
    }
}
