//! Scripted scenarios of orders to the engines of one pool.
//!
//! `steps` runs one step per line: `configure MODEL=VERSION ADAPTER=VERSION ... on ENDPOINT ...`,
//! `lease EPOCH MS` (holds the lease for MS milliseconds), `lease lost`, `wait MS`, and the result
//! of the call that an endpoint has in flight: `ENDPOINT ok`, `busy`, `blank` (its sidecar has no
//! report yet), `fails` (during the load), `refuses`, `gone` (unreachable), `lost` (the session
//! broke), `stale EPOCH`. `all WORD` ends the calls of all endpoints. `ENDPOINT restarts` unloads
//! everything from an engine.

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{
    Artifact, ArtifactSet, EndpointId, LoadOrder, LoadedReport, OrderAction, OrderAnswer,
    OrderEvent, OrderLimits, OrderPlanner, PoolId, ResultCode, Timestamp, pool_contenders,
};

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/orders", |file| {
        let mut state = ScenarioState::new();
        file.run(|case| match case.directive.as_str() {
            "steps" => {
                let shown = case.input.lines().map(|line| state.run_line(line));
                shown.collect::<String>()
            }
            other => panic!("unknown directive {other}"),
        });
    });
}

/// All gateways must select the same contenders, independently of their order. A new gateway may
/// replace at most one contender of a pool.
#[test]
fn contenders_are_few_and_stable() {
    let gateways: Vec<_> = (0..9).map(|n| format!("g{n}").into()).collect();
    let mut used = std::collections::BTreeSet::new();
    for number in 0..50 {
        let pool: PoolId = format!("pool-{number}").into();
        let before = pool_contenders(&pool, gateways[..8].iter(), 2);
        let after = pool_contenders(&pool, gateways.iter(), 2);
        let reversed = pool_contenders(&pool, gateways.iter().rev(), 2);
        assert_eq!(after, reversed, "{pool}");
        assert_eq!(after.len(), 2, "{pool}");
        let replaced = before.iter().filter(|it| !after.contains(it)).count();
        assert!(replaced <= 1, "{pool}: {before:?} became {after:?}");
        used.extend(after);
    }
    assert_eq!(used.len(), 9, "the pools are spread over all gateways");
}

struct ScenarioState {
    now: Timestamp,
    planner: OrderPlanner,
    wake_at: Option<Timestamp>,
    engines: BTreeMap<EndpointId, Engine>,
}

#[derive(Default)]
struct Engine {
    loaded: ArtifactSet,
    unsettled: bool,
    call: Option<(u64, Option<LoadOrder>)>,
}

impl Engine {
    fn carry_out(&mut self, order: Option<LoadOrder>) {
        match order {
            None => {}
            Some(LoadOrder::Model(model)) => {
                self.loaded = ArtifactSet {
                    model,
                    adapters: Vec::new(),
                };
                self.unsettled = false;
            }
            Some(LoadOrder::Adapter(adapter)) => self.loaded.adapters.push(adapter),
        }
    }

    fn report(&self) -> LoadedReport {
        LoadedReport {
            loaded: Some(self.loaded.clone()),
            unsettled: self.unsettled,
            ..LoadedReport::default()
        }
    }

    fn end_call(&mut self, order: Option<LoadOrder>, words: &[&str]) -> OrderAnswer {
        let replaces = order.as_ref().is_some_and(LoadOrder::replaces_model);
        let (code, report) = match words[0] {
            "ok" => {
                self.carry_out(order);
                (ResultCode::Complete, Some(self.report()))
            }
            "busy" => {
                let busy = true;
                let report = LoadedReport {
                    busy,
                    ..self.report()
                };
                (ResultCode::Complete, Some(report))
            }
            "blank" => (ResultCode::Complete, Some(LoadedReport::default())),
            "fails" => {
                if replaces {
                    self.unsettled = true;
                    // The sidecar no longer reports a version.
                    self.loaded.model.version.clear();
                }
                (ResultCode::EngineFailed, Some(self.report()))
            }
            "refuses" => (ResultCode::EngineRefused, Some(self.report())),
            "gone" => (ResultCode::EndpointUnreachable, None),
            "lost" => (ResultCode::EndpointLost, None),
            "stale" => {
                let highest = words[1].parse().expect("an epoch");
                let report = LoadedReport {
                    highest,
                    ..self.report()
                };
                (ResultCode::FenceStale, Some(report))
            }
            other => panic!("unknown end {other}"),
        };
        OrderAnswer { code, report }
    }
}

impl ScenarioState {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            planner: OrderPlanner::new(OrderLimits::default()),
            wake_at: None,
            engines: BTreeMap::new(),
        }
    }

    fn run_line(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut shown = Vec::new();
        match words[0] {
            "configure" => self.configure(&words[1..], &mut shown),
            "lease" if words[1] == "lost" => self.handle(OrderEvent::LeaseLost, &mut shown),
            "lease" => {
                let epoch = words[1].parse().expect("an epoch");
                let expires_at = self.now + millis(words[2]);
                self.handle(OrderEvent::Lease { epoch, expires_at }, &mut shown);
            }
            "wait" => self.wait(millis(words[1]), &mut shown),
            "all" => {
                let names: Vec<_> = self.engines.keys().cloned().collect();
                for name in names {
                    self.end_call(&name, &words[1..], &mut shown);
                }
            }
            name if words[1] == "restarts" => {
                *self.engines.get_mut(name).expect("an endpoint") = Engine::default();
            }
            name => self.end_call(&name.into(), &words[1..], &mut shown),
        }
        let shown: String = shown.iter().map(|text| format!("    {text}\n")).collect();
        format!("{line}\n{shown}")
    }

    fn configure(&mut self, words: &[&str], shown: &mut Vec<String>) {
        let on = words.iter().position(|word| *word == "on").expect("on");
        let mut artifacts = words[..on].iter().map(|word| artifact(word));
        let wanted = ArtifactSet {
            model: artifacts.next().expect("a model"),
            adapters: artifacts.collect(),
        };
        let endpoints: Vec<EndpointId> = words[on + 1..].iter().map(|it| (*it).into()).collect();
        for endpoint in &endpoints {
            self.engines.entry(endpoint.clone()).or_default();
        }
        self.handle(OrderEvent::Configure { wanted, endpoints }, shown);
    }

    fn end_call(&mut self, name: &EndpointId, words: &[&str], shown: &mut Vec<String>) {
        let engine = self.engines.get_mut(name).expect("an endpoint");
        let Some((sequence, order)) = engine.call.take() else {
            return;
        };
        let answer = engine.end_call(order, words);
        let endpoint = name.clone();
        let event = OrderEvent::Answered {
            endpoint,
            sequence,
            answer,
        };
        self.handle(event, shown);
    }

    fn handle(&mut self, event: OrderEvent, shown: &mut Vec<String>) {
        for action in self.planner.handle(self.now, event) {
            match action {
                OrderAction::WakeAt(at) => self.wake_at = Some(at),
                OrderAction::Send {
                    endpoint,
                    epoch,
                    sequence,
                    order,
                } => {
                    shown.push(format!("{endpoint} {} with fence {epoch}", show(&order)));
                    let engine = self.engines.get_mut(&endpoint).expect("an endpoint");
                    assert!(engine.call.is_none(), "one call at a time at {endpoint}");
                    engine.call = Some((sequence, order));
                }
            }
        }
    }

    fn wait(&mut self, time: Duration, shown: &mut Vec<String>) {
        let end = self.now + time;
        while let Some(at) = self.wake_at.take_if(|at| *at <= end) {
            self.now = self.now.max(at);
            let sent = shown.len();
            self.handle(OrderEvent::Tick, shown);
            if shown.len() > sent {
                shown.insert(sent, format!("at {:?}", self.now));
            }
        }
        self.now = end;
    }
}

fn millis(word: &str) -> Duration {
    Duration::from_millis(word.parse().expect("milliseconds"))
}

fn artifact(word: &str) -> Artifact {
    let (id, version) = word.split_once('=').expect("NAME=VERSION");
    Artifact::new(id, version)
}

fn show(order: &Option<LoadOrder>) -> String {
    let name = |it: &Artifact| format!("{}={}", it.id, it.version);
    match order {
        None => "is polled".to_owned(),
        Some(LoadOrder::Model(model)) => format!("loads model {}", name(model)),
        Some(LoadOrder::Adapter(adapter)) => format!("loads adapter {}", name(adapter)),
    }
}
