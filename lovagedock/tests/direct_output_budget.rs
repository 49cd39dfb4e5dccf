//! Memory of a gateway for data that callers have not read, under their loads.

use std::time::Duration;

use lovagedock::{MAX_READ_BYTES, OutputBudget, OutputId, OutputPhase};

const LIMIT: usize = 10_000_000;
const STEP: Duration = Duration::from_millis(250);

#[derive(Clone, Copy)]
struct CallerGroup {
    count: usize,
    /// Bytes that an engine offers in a step.
    offered: usize,
    /// Bytes that the caller reads in a step.
    read: usize,
    /// Length of a response that is read as a whole first; 0 for a stream without an end.
    collected: usize,
}

const fn streams(count: usize, offered: usize, read: usize) -> CallerGroup {
    let collected = 0;
    CallerGroup {
        count,
        offered,
        read,
        collected,
    }
}

const PROMPT: CallerGroup = streams(20, 10_000, usize::MAX);
const STALLED: CallerGroup = streams(200, 10_000, 0);
const SLOW: CallerGroup = streams(200, 10_000, 500);
const ONE_STALLED: CallerGroup = streams(1, MAX_READ_BYTES, 0);
const WHOLE: CallerGroup = CallerGroup {
    collected: 400_000,
    ..streams(60, 50_000, usize::MAX)
};

struct BudgetCase {
    name: &'static str,
    /// Callers of the first group may be disconnected. The last group is looked at.
    groups: [CallerGroup; 2],
    disconnected: std::ops::RangeInclusive<usize>,
    /// Least part of the offers that each response of the last group gets.
    least_served: f64,
    admits_at_end: bool,
}

const BASE: BudgetCase = BudgetCase {
    name: "callers that read promptly",
    groups: [streams(300, 10_000, usize::MAX), PROMPT],
    disconnected: 0..=0,
    least_served: 1.0,
    admits_at_end: true,
};

#[rustfmt::skip]
fn cases() -> [BudgetCase; 5] {
    [
        BASE,
        BudgetCase { name: "many stalled", groups: [STALLED, PROMPT], disconnected: 1..=150, ..BASE },
        BudgetCase { name: "one stalled", groups: [ONE_STALLED, PROMPT], disconnected: 0..=1, ..BASE },
        BudgetCase { name: "many slow", groups: [SLOW, PROMPT], admits_at_end: false, ..BASE },
        BudgetCase { name: "whole responses", groups: [PROMPT, WHOLE], ..BASE },
    ]
}

struct Response {
    id: OutputId,
    group: CallerGroup,
    index: usize,
    held: usize,
    received: usize,
    is_open: bool,
}

fn play(case: &BudgetCase) {
    let mut budget = OutputBudget::new(LIMIT);
    let mut responses = Vec::new();
    for (index, group) in case.groups.iter().enumerate() {
        for _ in 0..group.count {
            let id = budget.open();
            budget.set_phase(
                Duration::ZERO,
                id,
                match group.collected {
                    0 => OutputPhase::Delivering,
                    _ => OutputPhase::Collecting,
                },
            );
            let group = *group;
            responses.push(Response {
                id,
                group,
                index,
                held: 0,
                received: 0,
                is_open: true,
            });
        }
    }
    let steps = 240;
    let mut disconnected = 0;
    for step in 1..=steps {
        let now = STEP * step;
        for response in responses.iter_mut().filter(|response| response.is_open) {
            let is_whole = response.received >= response.group.collected;
            let read = response.held.min(response.group.read);
            if is_whole && read > 0 {
                budget.release(now, response.id, read);
                response.held -= read;
            }
            if is_whole && response.group.collected > 0 {
                continue;
            }
            if budget.may_read(response.id) {
                budget.reserve(now, response.id, response.group.offered);
                response.held += response.group.offered;
                response.received += response.group.offered;
            }
            if response.group.collected > 0 && response.received >= response.group.collected {
                budget.set_phase(now, response.id, OutputPhase::Delivering);
            }
        }
        assert!(
            budget.used() <= LIMIT,
            "{}: {} used",
            case.name,
            budget.used()
        );
        for slow in budget.take_slow_callers(now) {
            let response = responses.iter_mut().find(|response| response.id == slow.id);
            let response = response.expect("it is open");
            assert_eq!(response.index, 0, "{}: a prompt caller", case.name);
            assert!(slow.unread_for >= Duration::from_secs(5) && slow.held == response.held);
            response.is_open = false;
            disconnected += 1;
            budget.close(now, slow.id);
        }
    }
    assert!(
        case.disconnected.contains(&disconnected),
        "{}: {disconnected}",
        case.name
    );
    assert_eq!(
        budget.admits_connections(),
        case.admits_at_end,
        "{}",
        case.name
    );
    let last = case.groups.len() - 1;
    for response in responses.iter().filter(|response| response.index == last) {
        let offered = match response.group.collected {
            0 => response.group.offered * steps as usize,
            length => length,
        };
        let served = response.received as f64 / offered as f64;
        assert!(served >= case.least_served, "{}: {served}", case.name);
    }
    for response in &responses {
        budget.close(STEP * steps, response.id);
    }
    assert_eq!(budget.used(), 0, "{}: tasks that end", case.name);
    let id = budget.open();
    assert!(budget.may_read(id) && budget.used() == 0, "{}", case.name);
}

/// Guards against a gateway that holds more than its memory, against callers that starve beside
/// others that do not read, and against a budget that stays used up.
#[test]
fn output_memory_is_bounded_and_shared() {
    for case in cases() {
        play(&case);
    }
}

/// Guards against disconnecting callers that could not be served while the process was paused.
#[test]
fn a_pause_of_the_process_disconnects_nobody() {
    let mut budget = OutputBudget::new(LIMIT);
    let id = budget.open();
    budget.set_phase(STEP, id, OutputPhase::Delivering);
    budget.reserve(STEP, id, LIMIT);
    assert_eq!(budget.take_slow_callers(STEP), []);
    let resumed = Duration::from_secs(8);
    assert_eq!(budget.take_slow_callers(resumed), []);
    for step in 1..20 {
        assert_eq!(budget.take_slow_callers(resumed + STEP * step), []);
    }
    let now = resumed + Duration::from_secs(5);
    assert_eq!(budget.take_slow_callers(now).len(), 1);
    assert_eq!(budget.take_slow_callers(now + STEP), [], "only once");
}
