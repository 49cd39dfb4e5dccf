//! Scripted scenarios of the fence gate: former lease holders, two holders, and restarts.

use datadriven::walk;
use lovagedock::{FenceAction, FenceEvent, FenceGate, FencedOrder};

fn parse_order(words: &[&str]) -> FencedOrder {
    FencedOrder {
        pool: words[0].into(),
        epoch: words[1].parse().unwrap(),
        sequence: words[2].parse().unwrap(),
    }
}

fn parse_event(line: &str) -> FenceEvent {
    let words: Vec<_> = line.split_whitespace().collect();
    match words[0] {
        "seen" => FenceEvent::Seen {
            pool: words[1].into(),
            epoch: words[2].parse().unwrap(),
        },
        "order" => FenceEvent::Order(parse_order(&words[1..])),
        "finished" => FenceEvent::Finished(parse_order(&words[1..])),
        other => panic!("unknown line: {other}"),
    }
}

fn describe(action: FenceAction) -> String {
    let name = |order: &FencedOrder| format!("{} {} {}", order.pool, order.epoch, order.sequence);
    match action {
        FenceAction::Pass(order) => format!("PASS {}", name(&order)),
        FenceAction::Repeated(order) => format!("repeated {}", name(&order)),
        FenceAction::Refuse {
            order,
            code,
            highest,
        } => {
            format!("refuse {}: {code:?}, highest is {highest}", name(&order))
        }
    }
}

#[test]
fn scenarios() {
    walk("tests/scenarios/fence", |file| {
        let mut gate = FenceGate::new();
        file.run(|case| {
            if case.directive == "restart" {
                gate = FenceGate::new();
                return String::new();
            }
            let events = case.input.lines().map(parse_event);
            let actions = events.flat_map(|event| gate.handle(event)).map(describe);
            actions.map(|line| line + "\n").collect()
        });
    });
}
