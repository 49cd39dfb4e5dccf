//! Scripted scenarios of a sidecar with gateway requests, engine events and faults.
//!
//! The scripts are in `scenarios/endpoint`. The directive `scenario` starts a sidecar. The
//! directive `run` applies one event per line, each with its time, and prints the resulting actions
//! of the sidecar with their times.

use std::{collections::HashMap, time::Duration};

use datadriven::{TestCase, walk};
use lovagedock::{
    AnswerEnd, AttemptKey, EndpointAction, EndpointCore, EndpointEvent, EndpointLimits,
    EngineAllocation, EngineAnswer, EngineReport, EngineResult, PriorityTier, RanState, Timestamp,
    WorkOrder,
};

const INCARNATION: u64 = 1;

struct Scenario {
    core: EndpointCore,
    now: Timestamp,
    wake: Option<Timestamp>,
    lines: Vec<String>,
}

struct Line<'a> {
    words: Vec<&'a str>,
    options: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn new(text: &'a str) -> Self {
        let (options, words): (Vec<_>, Vec<_>) =
            text.split_whitespace().partition(|word| word.contains('='));
        let options = options.into_iter().filter_map(|word| word.split_once('='));
        Self {
            words,
            options: options.collect(),
        }
    }

    fn number(&self, option: &str, default: u64) -> u64 {
        let value = self.options.get(option);
        value.map_or(default, |value| value.parse().expect(option))
    }

    fn time(&self, option: &str, default: &str) -> Duration {
        parse_time(self.options.get(option).copied().unwrap_or(default))
    }

    fn key(&self, word: usize) -> AttemptKey {
        AttemptKey {
            request: parse_request(self.words[word]),
            attempt: self.number("attempt", 1) as u32,
            incarnation: self.number("incarnation", INCARNATION),
        }
    }
}

impl Scenario {
    fn new(case: &mut TestCase) -> Self {
        let mut limits = EndpointLimits::default()
            .with_memory_tokens(case.try_take_arg("memory").unwrap().unwrap_or(0))
            .with_concurrency(case.try_take_arg("concurrency").unwrap().unwrap_or(4))
            .with_queue_length(case.try_take_arg("queue").unwrap().unwrap_or(100));
        if let Some(count) = case.try_take_arg("aged_interval").unwrap() {
            limits.aged_interval = count;
        }
        case.expect_empty().unwrap();
        Self {
            core: EndpointCore::new(INCARNATION, limits),
            now: Timestamp::ZERO,
            wake: None,
            lines: Vec::new(),
        }
    }

    fn run(&mut self, script: &str) -> String {
        for text in script.lines() {
            let mut line = Line::new(text);
            let time = parse_time(line.words.remove(0));
            self.advance(time);
            if line.words[0] == "wait" {
                continue;
            }
            let event = parse_event(&line);
            self.handle(event);
        }
        let mut output = self.lines.join("\n");
        self.lines.clear();
        output.push('\n');
        output
    }

    fn advance(&mut self, time: Timestamp) {
        while let Some(wake) = self.wake.filter(|wake| *wake <= time) {
            self.now = wake;
            self.handle(EndpointEvent::Tick);
        }
        self.now = time;
    }

    fn handle(&mut self, event: EndpointEvent) {
        self.wake = self.wake.filter(|wake| *wake > self.now);
        for action in self.core.handle(self.now, event) {
            if let EndpointAction::WakeAt(at) = action {
                self.wake = Some(at);
                continue;
            }
            let time = self.now.as_secs_f64();
            self.lines.push(format!("{time}s {}", describe(&action)));
        }
    }
}

fn parse_time(word: &str) -> Duration {
    let seconds: f64 = word.trim_end_matches('s').parse().expect(word);
    Duration::from_secs_f64(seconds)
}

fn parse_request(word: &str) -> u128 {
    word.trim_start_matches('r').parse().expect(word)
}

fn parse_event(line: &Line<'_>) -> EndpointEvent {
    match line.words[0] {
        "submit" => EndpointEvent::Submit(parse_order(line)),
        "revoke" => EndpointEvent::Revoke(line.key(1)),
        "cancel" => EndpointEvent::Cancel(line.key(1)),
        "resume" => EndpointEvent::Resume {
            key: line.key(1),
            offset: line.number("offset", 0),
        },
        "sink-lost" => EndpointEvent::SinkLost(line.key(1)),
        "reserve" => EndpointEvent::Reserve {
            key: line.key(1),
            tokens: line.number("tokens", 0),
            hold: line.time("hold", "10s"),
        },
        "renew" => EndpointEvent::Renew {
            key: line.key(1),
            hold: line.time("hold", "10s"),
        },
        "release" => EndpointEvent::Release(line.key(1)),
        "drain" => EndpointEvent::Drain(true),
        "undrain" => EndpointEvent::Drain(false),
        "engine" => parse_engine(line),
        other => panic!("unknown line: {other}"),
    }
}

fn parse_engine(line: &Line<'_>) -> EndpointEvent {
    let ended = |result| EndpointEvent::EngineEnded {
        key: line.key(2),
        result,
    };
    let detail = String::from("scripted");
    match line.words[1] {
        "down" => EndpointEvent::EngineDown,
        "up" => EndpointEvent::EngineUp,
        "started" => EndpointEvent::EngineStarted(line.key(2)),
        "bytes" => EndpointEvent::EngineBytes {
            key: line.key(2),
            length: line.words[3].parse().unwrap(),
        },
        "finished" => ended(EngineResult::Finished(EngineAnswer {
            length: line.words[3].parse().unwrap(),
            digest: [7; 32],
            prompt_tokens: 0,
            cached_tokens: 0,
            answer_tokens: 0,
        })),
        "refused" => ended(EngineResult::Refused { detail }),
        "invalid" => ended(EngineResult::Invalid { detail }),
        "failed" => ended(EngineResult::Failed { detail }),
        "lost" => ended(EngineResult::Lost { detail }),
        "ended" => ended(EngineResult::Ended { detail }),
        "cancelled" => ended(EngineResult::Cancelled),
        "holds" => EndpointEvent::EngineAllocations(parse_allocations(line)),
        "reports" => EndpointEvent::EngineReport(parse_report(line)),
        other => panic!("unknown engine line: {other}"),
    }
}

fn parse_allocations(line: &Line<'_>) -> Vec<EngineAllocation> {
    let mut allocations: Vec<_> = line
        .options
        .iter()
        .map(|(request, tokens)| EngineAllocation {
            request: parse_request(request),
            tokens: tokens.parse().unwrap(),
        })
        .collect();
    allocations.sort_by_key(|allocation| allocation.request);
    allocations
}

fn parse_report(line: &Line<'_>) -> EngineReport {
    let mut report = EngineReport {
        memory_tokens: line.number("memory", 0),
        batch_size: line.number("batch", 0) as usize,
        ..EngineReport::default()
    };
    report.cost.prefill_ns_per_token = line.number("prefill_us", 0) as f64 * 1e3;
    report.cost.decode_ns = line.number("decode_ms", 0) as f64 * 1e6;
    report
}

fn parse_order(line: &Line<'_>) -> WorkOrder {
    let tier = match line.options.get("tier").copied() {
        Some("batch") => PriorityTier::Batch,
        Some("interactive") => PriorityTier::Interactive,
        _ => PriorityTier::Standard,
    };
    let is_span = line.words.contains(&"span");
    WorkOrder {
        key: line.key(1),
        service: "service".into(),
        organisation: line
            .options
            .get("organisation")
            .copied()
            .unwrap_or("org")
            .into(),
        tier,
        weight: line.number("weight", 1) as u32,
        remaining: line.time("within", "30s"),
        prompt_tokens: line.number("prompt", 100),
        answer_tokens: line.number("answer", 0),
        non_idempotent: line.words.contains(&"non-idempotent"),
        predicted: Duration::ZERO,
        span: if is_span {
            vec!["a".into()]
        } else {
            Vec::new()
        },
    }
}

fn describe(action: &EndpointAction) -> String {
    match action {
        EndpointAction::Accept(key) => format!("accept {}", attempt_name(key)),
        EndpointAction::Refuse { key, end } => {
            format!("refuse {}: {}", attempt_name(key), describe_end(end))
        }
        EndpointAction::Start(key) => format!("START {} on the engine", attempt_name(key)),
        EndpointAction::CancelOnEngine(request) => format!("CANCEL r{request} on the engine"),
        EndpointAction::Deliver {
            key,
            offset,
            length,
        } => {
            format!(
                "deliver {}: {length} bytes from {offset}",
                attempt_name(key)
            )
        }
        EndpointAction::EndAnswer { key, end } => {
            format!("end {}: {}", attempt_name(key), describe_end(end))
        }
        EndpointAction::Verdict { key, verdict } => {
            format!("verdict {}: {verdict:?}", attempt_name(key))
        }
        EndpointAction::ResumeFrom { key, offset, end } => {
            let end = end
                .as_ref()
                .map(|end| format!(", then {}", describe_end(end)));
            let end = end.unwrap_or_default();
            format!("resume {} from {offset}{end}", attempt_name(key))
        }
        EndpointAction::NotFound(key) => format!("nothing to resume of {}", attempt_name(key)),
        EndpointAction::GrantReservation { key, free_tokens } => {
            format!("reserve {}: granted, {free_tokens} free", attempt_name(key))
        }
        EndpointAction::RefuseReservation { key, free_tokens } => {
            format!("reserve {}: refused, {free_tokens} free", attempt_name(key))
        }
        EndpointAction::ForgetAnswer(key) => format!("forget {}", attempt_name(key)),
        EndpointAction::WakeAt(at) => format!("wake at {at:?}"),
        EndpointAction::Drained => "DRAINED".to_owned(),
    }
}

fn attempt_name(key: &AttemptKey) -> String {
    format!("r{}/{}", key.request, key.attempt)
}

fn describe_end(end: &AnswerEnd) -> String {
    let ran = match end.ran {
        RanState::No => "not run",
        RanState::Yes => "ran",
        RanState::Unknown => "may have run",
    };
    let mut text = format!("{} {:?}, {ran}", end.code.number(), end.code);
    if end.length > 0 {
        text.push_str(&format!(", {} bytes", end.length));
    }
    if !end.retry_after.is_zero() {
        text.push_str(&format!(", retry after {:?}", end.retry_after));
    }
    text
}

#[test]
fn scenarios_produce_the_expected_output() {
    walk("tests/scenarios/endpoint", |file| {
        let mut scenario = None;
        file.run(|case| match case.directive.as_str() {
            "scenario" => {
                scenario = Some(Scenario::new(case));
                String::new()
            }
            "run" => scenario
                .as_mut()
                .expect("the directive `scenario` must come first")
                .run(&case.input),
            other => panic!("unknown directive: {other}"),
        });
    });
}
