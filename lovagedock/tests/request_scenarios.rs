//! Scripted scenarios of one request: events, actions of the gateway, and results for the caller.
//!
//! `request [deadline=MS] [non-idempotent]` admits a request. `steps` handles one event per line,
//! each with its time in milliseconds. The expected output repeats each event with the resulting
//! actions. Wake-up times are omitted unless `wakes` is given.

use std::time::Duration;

use datadriven::TestCase;
use lovagedock::{
    PlacementOutcome, RequestAction, RequestEvent, RequestMachine, RequestOutcome, RequestSpec,
    SpanPart, prelude::*,
};

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/request", |file| {
        let mut machine = None;
        file.run(|case| match case.directive.as_str() {
            "request" => admit(case, &mut machine),
            "steps" => run_steps(case, machine.as_mut().expect("`request` precedes `steps`")),
            other => panic!("unknown directive {other}"),
        });
    });
}

fn admit(case: &TestCase, machine: &mut Option<RequestMachine>) -> String {
    let deadline = case
        .args
        .get("deadline")
        .map_or(10_000, |values| number(&values[0]));
    let spec = RequestSpec::new(1, "registry", Duration::from_millis(deadline))
        .with_non_idempotent(case.args.contains_key("non-idempotent"));
    let machine = machine.insert(RequestMachine::new(Duration::ZERO, spec));
    let actions = machine.start();
    line("admitted", &actions, false)
}

fn run_steps(case: &TestCase, machine: &mut RequestMachine) -> String {
    let wakes = case.args.contains_key("wakes");
    case.input
        .lines()
        .map(|step| {
            let (at, event) = step.split_once(' ').expect("a time and an event");
            let now = Duration::from_millis(number(at));
            let actions = machine.handle(now, parse(event));
            line(step, &actions, wakes)
        })
        .collect()
}

fn line(step: &str, actions: &[RequestAction], wakes: bool) -> String {
    let shown: Vec<String> = actions
        .iter()
        .filter(|action| wakes || !matches!(action, RequestAction::WakeAt(_)))
        .map(show)
        .collect();
    if shown.is_empty() {
        return format!("{step}\n");
    }
    format!("{step}\n    => {}\n", shown.join("\n    => "))
}

fn parse(text: &str) -> RequestEvent {
    let words: Vec<&str> = text.split_whitespace().collect();
    let attempt = || number(words[1]) as AttemptNumber;
    let endpoint = || EndpointId::from(words[1]);
    let incarnation = || number(field(&words, "incarnation"));
    match words[0] {
        "placed" => RequestEvent::Placed(PlacementOutcome::One {
            endpoint: endpoint(),
            incarnation: incarnation(),
        }),
        "placed-span" => RequestEvent::Placed(PlacementOutcome::Span(parts(&words[1..]))),
        "placed-nowhere" => RequestEvent::Placed(PlacementOutcome::Refused {
            code: code(words[1]),
            retry_after: Duration::from_millis(number(field(&words, "retry-after"))),
        }),
        "retry-granted" => RequestEvent::RetryAnswered {
            granted: true,
            jitter_permille: 0,
        },
        "retry-denied" => RequestEvent::RetryAnswered {
            granted: false,
            jitter_permille: 0,
        },
        "span-ready" => RequestEvent::SpanReady { attempt: attempt() },
        "span-failed" => RequestEvent::SpanFailed {
            attempt: attempt(),
            end: end(&words),
        },
        "accepted" => RequestEvent::SubmitAccepted {
            attempt: attempt(),
            incarnation: incarnation(),
        },
        "refused" => RequestEvent::SubmitRefused {
            attempt: attempt(),
            end: end(&words),
        },
        "session-lost" => RequestEvent::SessionLost {
            endpoint: endpoint(),
            incarnation: incarnation(),
        },
        "session-reconnected" => RequestEvent::SessionReconnected {
            endpoint: endpoint(),
            incarnation: incarnation(),
        },
        "revoke-answered" => RequestEvent::RevokeAnswered {
            attempt: attempt(),
            incarnation: incarnation(),
            verdict: verdict(words[3]),
        },
        "revoke-failed" => RequestEvent::RevokeFailed { attempt: attempt() },
        "resume-found" => RequestEvent::ResumeAnswered {
            attempt: attempt(),
            found: true,
        },
        "resume-not-found" => RequestEvent::ResumeAnswered {
            attempt: attempt(),
            found: false,
        },
        "resume-failed" => RequestEvent::ResumeFailed { attempt: attempt() },
        "head" => RequestEvent::Head { attempt: attempt() },
        "chunk" => chunk(attempt(), words[2]),
        "end" => RequestEvent::End {
            attempt: attempt(),
            end: end(&words),
        },
        "digest-matches" => RequestEvent::DigestChecked { matches: true },
        "digest-differs" => RequestEvent::DigestChecked { matches: false },
        "caller-gone" => RequestEvent::CallerGone,
        "gateway-stops" => RequestEvent::Stopping {
            grace: Duration::from_millis(number(field(&words, "grace"))),
        },
        "tick" => RequestEvent::Tick,
        other => panic!("unknown event {other}"),
    }
}

fn chunk(attempt: AttemptNumber, range: &str) -> RequestEvent {
    let (from, to) = range.split_once("..").expect("a range of bytes");
    let (offset, to) = (number(from), number(to));
    RequestEvent::Chunk {
        attempt,
        offset,
        length: to - offset,
    }
}

fn end(words: &[&str]) -> AnswerEnd {
    let code = code(words[2]);
    if code == ResultCode::Complete {
        return AnswerEnd::complete(number(field(words, "length")), [7; 32]);
    }
    let ran = words.iter().find_map(|word| word.strip_prefix("ran="));
    match ran {
        Some("no") => AnswerEnd::new(code).with_ran(RanState::No),
        Some("yes") => AnswerEnd::new(code).with_ran(RanState::Yes),
        Some("unknown") => AnswerEnd::new(code).with_ran(RanState::Unknown),
        _ => AnswerEnd::new(code),
    }
}

fn parts(words: &[&str]) -> Vec<SpanPart> {
    let part = |word: &&str| SpanPart {
        endpoint: EndpointId::from(*word),
        incarnation: 7,
        tokens: 400_000,
    };
    words.iter().map(part).collect()
}

fn code(name: &str) -> ResultCode {
    let found = ResultCode::ALL
        .iter()
        .find(|code| format!("{code:?}") == name);
    *found.unwrap_or_else(|| panic!("unknown code {name}"))
}

fn verdict(name: &str) -> RevokeVerdict {
    match name {
        "revoked" => RevokeVerdict::Revoked,
        "running" => RevokeVerdict::Running,
        "ended" => RevokeVerdict::Ended,
        "other-incarnation" => RevokeVerdict::OtherIncarnation,
        other => panic!("unknown verdict {other}"),
    }
}

fn field<'a>(words: &[&'a str], name: &str) -> &'a str {
    let found = words
        .iter()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_else(|| panic!("{name} is missing"))
}

fn number(text: &str) -> u64 {
    let digits = text.strip_suffix("ms").unwrap_or(text);
    digits
        .parse()
        .unwrap_or_else(|_| panic!("not a number: {text}"))
}

fn show(action: &RequestAction) -> String {
    match action {
        RequestAction::Place { excluded } if excluded.is_empty() => "place".to_owned(),
        RequestAction::Place { excluded } => format!("place, not on {}", excluded.join(" ")),
        RequestAction::AskRetry => "ask the retry budget".to_owned(),
        RequestAction::StartSpan {
            attempt, members, ..
        } => {
            let names: Vec<&str> = members.iter().map(|part| &*part.endpoint).collect();
            format!("start span {attempt} on {}", names.join(" "))
        }
        RequestAction::ReleaseSpan { attempt } => format!("release span {attempt}"),
        RequestAction::Submit {
            endpoint,
            incarnation,
            attempt,
            remaining,
            ..
        } => format!(
            "submit {attempt} to {endpoint} incarnation={incarnation} remaining={}ms",
            remaining.as_millis()
        ),
        RequestAction::Revoke {
            endpoint,
            attempt,
            incarnation,
        } => {
            format!("revoke {attempt} at {endpoint} incarnation={incarnation}, new connection")
        }
        RequestAction::Resume {
            endpoint,
            attempt,
            incarnation,
            offset,
        } => format!(
            "resume {attempt} at {endpoint} incarnation={incarnation} from {offset}, new connection"
        ),
        RequestAction::Cancel {
            endpoint, attempt, ..
        } => {
            format!("cancel {attempt} at {endpoint}")
        }
        RequestAction::DeliverHead { .. } => "caller gets the head".to_owned(),
        RequestAction::Deliver { offset, skip, .. } => {
            format!("caller gets the frame at {offset} without its first {skip} bytes")
        }
        RequestAction::CheckDigest { .. } => "check the digest".to_owned(),
        RequestAction::Finish(outcome) => finish(outcome),
        RequestAction::WakeAt(at) => format!("wake at {}ms", at.as_millis()),
    }
}

fn finish(outcome: &RequestOutcome) -> String {
    format!(
        "FINAL {} {:?} ran={} retry-after={}ms attempts={}",
        outcome.code.number(),
        outcome.code,
        outcome.ran.as_str(),
        outcome.retry_after.as_millis(),
        outcome.attempts
    )
}
