//! Memory of a gateway for request bodies, under loads of callers.

use std::time::Duration;

use lovagedock::{BodyBudget, BodyGrowth, BodyId};

const LIMIT: usize = 20_000_000;
const LARGE: usize = 4 << 20;
const SMALL: usize = 800;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 600;
/// Steps for which a whole body is kept.
const REQUEST_STEPS: u32 = 5;

/// Callers that send one body after the other.
#[derive(Clone, Copy)]
struct BodyGroup {
    count: usize,
    organisation: &'static str,
    length: usize,
    /// Bytes that arrive in a step.
    rate: usize,
    /// Bytes after which nothing arrives any more.
    stops_after: usize,
}

struct BudgetCase {
    name: &'static str,
    crowd: BodyGroup,
    callers: BodyGroup,
    /// Whether the callers' bodies are never refused or displaced.
    are_callers_served: bool,
    /// Least number of the callers' bodies that become whole.
    least_whole: usize,
}

const fn group(count: usize, organisation: &'static str, length: usize, rate: usize) -> BodyGroup {
    BodyGroup {
        count,
        organisation,
        length,
        rate,
        stops_after: usize::MAX,
    }
}

const STALLED: BodyGroup = BodyGroup {
    stops_after: LARGE - 1,
    ..group(100, "crowd", LARGE, 1_000_000)
};
const TRICKLE: BodyGroup = group(100, "crowd", LARGE, 10_000);
const FAST: BodyGroup = group(100, "crowd", LARGE, 400_000);
const PROMPTS: BodyGroup = group(10, "caller", SMALL, SMALL);
const LARGE_PROMPTS: BodyGroup = group(1, "caller", LARGE, 400_000);

#[rustfmt::skip]
const CASES: &[BudgetCase] = &[
    BudgetCase { name: "calm", crowd: group(0, "crowd", LARGE, LARGE), callers: group(3, "caller", LARGE, LARGE), are_callers_served: true, least_whole: 300 },
    BudgetCase { name: "stalled", crowd: STALLED, callers: PROMPTS, are_callers_served: true, least_whole: 900 },
    BudgetCase { name: "trickle", crowd: TRICKLE, callers: PROMPTS, are_callers_served: true, least_whole: 900 },
    BudgetCase { name: "fast", crowd: FAST, callers: PROMPTS, are_callers_served: true, least_whole: 900 },
    BudgetCase { name: "large beside stalled", crowd: STALLED, callers: LARGE_PROMPTS, are_callers_served: false, least_whole: 10 },
    BudgetCase { name: "large beside trickle", crowd: TRICKLE, callers: LARGE_PROMPTS, are_callers_served: false, least_whole: 10 },
    BudgetCase { name: "large beside fast", crowd: FAST, callers: LARGE_PROMPTS, are_callers_served: false, least_whole: 10 },
    BudgetCase { name: "fast of one organisation", crowd: BodyGroup { organisation: "caller", ..FAST }, callers: FAST, are_callers_served: false, least_whole: 10 },
];

struct Sender {
    group: BodyGroup,
    is_caller: bool,
    body: Option<BodyId>,
    received: usize,
    whole_at: Option<u32>,
}

struct Play<'a> {
    case: &'a BudgetCase,
    budget: BodyBudget,
    senders: Vec<Sender>,
    whole: usize,
    lost: usize,
}

impl Play<'_> {
    fn close(&mut self, id: BodyId, was_lost: bool) {
        self.budget.close(id);
        let sender = self
            .senders
            .iter_mut()
            .find(|sender| sender.body == Some(id));
        let sender = sender.expect("it is open");
        (sender.body, sender.received, sender.whole_at) = (None, 0, None);
        self.lost += usize::from(was_lost && sender.is_caller);
    }

    fn advance(&mut self, step: u32, index: usize) {
        let now = STEP * step;
        let sender = &mut self.senders[index];
        let organisation = Some(sender.group.organisation.into());
        let budget = &mut self.budget;
        let id = *sender
            .body
            .get_or_insert_with(|| budget.open(now, organisation));
        if let Some(whole_at) = sender.whole_at {
            if step >= whole_at + REQUEST_STEPS {
                self.close(id, false);
            }
            return;
        }
        let end = sender.group.length.min(sender.group.stops_after);
        let bytes = sender.group.rate.min(end - sender.received);
        if bytes > 0 {
            loop {
                let growth = self.budget.grow(now, id, bytes);
                assert!(self.budget.used() <= LIMIT, "{}", self.case.name);
                match growth {
                    BodyGrowth::Granted => break,
                    BodyGrowth::Refused => return self.close(id, true),
                    BodyGrowth::Displaces(ids) => {
                        assert!(!ids.contains(&id), "{}", self.case.name);
                        ids.into_iter().for_each(|id| self.close(id, true));
                    }
                }
            }
        }
        let sender = &mut self.senders[index];
        sender.received += bytes;
        if sender.received == sender.group.length {
            sender.whole_at = Some(step);
            self.whole += usize::from(sender.is_caller);
            assert!(self.budget.complete(id), "{}", self.case.name);
        }
    }
}

/// Guards against a gateway that holds more than its memory, against bodies that are refused beside
/// others that make no progress, and against bodies that displace each other so that none becomes
/// whole.
#[test]
fn body_memory_is_bounded_and_bodies_become_whole() {
    for case in CASES {
        let groups = [(case.crowd, false), (case.callers, true)];
        let senders = groups.into_iter().flat_map(|(group, is_caller)| {
            (0..group.count).map(move |_| Sender {
                group,
                is_caller,
                body: None,
                received: 0,
                whole_at: None,
            })
        });
        let mut play = Play {
            case,
            budget: BodyBudget::new(LIMIT),
            senders: senders.collect(),
            whole: 0,
            lost: 0,
        };
        for step in 1..=STEPS {
            for index in 0..play.senders.len() {
                play.advance(step, index);
            }
        }
        let Play { whole, lost, .. } = play;
        assert!(whole >= case.least_whole, "{}: {whole} whole", case.name);
        assert!(
            lost == 0 || !case.are_callers_served,
            "{}: {lost} lost",
            case.name
        );
        let open: Vec<_> = play
            .senders
            .iter()
            .filter_map(|sender| sender.body)
            .collect();
        open.into_iter().for_each(|id| play.close(id, false));
        assert_eq!(
            (play.budget.used(), play.budget.body_count()),
            (0, 0),
            "{}",
            case.name
        );
    }
}

/// Guards against a displaced body that goes on, and against a whole one that is displaced.
#[test]
fn a_displaced_body_does_not_become_whole() {
    let mut budget = BodyBudget::new(1_000_000);
    let now = Duration::from_secs(1);
    let [whole, displaced, small] = [(); 3].map(|()| budget.open(now, None));
    assert_eq!(budget.grow(now, whole, 300_000), BodyGrowth::Granted);
    assert!(budget.complete(whole));
    assert_eq!(budget.grow(now, displaced, 400_000), BodyGrowth::Granted);
    for _ in 0..6 {
        let id = budget.open(now, None);
        assert_eq!(budget.grow(now, id, 50_000), BodyGrowth::Granted);
    }
    let growth = budget.grow(now, small, 60_000);
    assert_eq!(growth, BodyGrowth::Displaces(vec![displaced]));
    assert_eq!(budget.grow(now, displaced, 1), BodyGrowth::Refused);
    assert!(!budget.complete(displaced));
    budget.close(displaced);
    assert_eq!(budget.grow(now, small, 60_000), BodyGrowth::Granted);
}
