//! Adoption of the first accepted configuration, without a plan or a peer that has one.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{
    AdoptionAction, AdoptionEvent, AdoptionLimits, AdoptionState, ConfigManifest, RelayRole,
    RootOutcome, Timestamp, chunk_hash,
};

struct FirstCase {
    name: &'static str,
    role: fn() -> RelayRole,
}

const CASES: &[FirstCase] = &[
    FirstCase {
        name: "no peer is known and the role makes it a watcher",
        role: || RelayRole {
            watches: true,
            ..RelayRole::default()
        },
    },
    FirstCase {
        name: "peers are known from the settings",
        role: || RelayRole {
            peers: vec!["a".into(), "b".into()],
            ..RelayRole::default()
        },
    },
];

/// A process with its clock, which is advanced from one wake-up to the next.
struct ProcessDriver {
    state: AdoptionState,
    now: Timestamp,
    wake_at: Option<Timestamp>,
}

impl ProcessDriver {
    fn new() -> Self {
        Self {
            state: AdoptionState::new(AdoptionLimits::default(), 7),
            now: Timestamp::ZERO,
            wake_at: None,
        }
    }

    fn handle(&mut self, event: AdoptionEvent) -> Vec<AdoptionAction> {
        let actions = self.state.handle(self.now, event);
        for action in &actions {
            if let AdoptionAction::WakeAt(at) = action {
                self.wake_at = Some(*at);
            }
        }
        actions
    }

    /// Ticks until `limit` has passed and returns the first store call. Peers do not answer.
    fn next_store_call(
        &mut self,
        mut actions: Vec<AdoptionAction>,
        limit: Duration,
    ) -> Option<AdoptionAction> {
        let end = self.now + limit;
        loop {
            for action in actions {
                match action {
                    AdoptionAction::ReadRoot
                    | AdoptionAction::WatchRoot { .. }
                    | AdoptionAction::ReadChunk { .. } => return Some(action),
                    AdoptionAction::Pull { from, .. } => {
                        self.handle(AdoptionEvent::Pulled { from, answer: None });
                    }
                    _ => {}
                }
            }
            let wake_at = self.wake_at.filter(|at| *at <= end)?;
            self.now = wake_at.max(self.now + Duration::from_millis(1));
            actions = self.handle(AdoptionEvent::Tick);
        }
    }
}

/// The gateways of a new fleet run before the operator applies a configuration, and the store has
/// none. Each gateway must watch the store for the first one, since no peer can push it. With a
/// poll the first configuration would come into force minutes after it was accepted. Once a process
/// has a configuration, it stops watching unless the plan makes it a watcher.
#[test]
fn a_process_with_nothing_in_force_watches_an_empty_store() {
    for case in CASES {
        let mut driver = ProcessDriver::new();
        let actions = driver.handle(AdoptionEvent::Role((case.role)()));
        let soon = Duration::from_secs(1);
        let first = driver.next_store_call(actions, soon);
        assert_eq!(first, Some(AdoptionAction::ReadRoot), "{}", case.name);
        let actions = driver.handle(AdoptionEvent::RootRead(RootOutcome::Unchanged));
        let second = driver.next_store_call(actions, soon);
        let watch = AdoptionAction::WatchRoot { above: 0 };
        assert_eq!(second, Some(watch), "{}", case.name);

        let chunk = Bytes::from_static(b"{}");
        let manifest = ConfigManifest::new(1, std::slice::from_ref(&chunk));
        let actions = driver.handle(AdoptionEvent::RootRead(RootOutcome::Found(manifest)));
        let hash = chunk_hash(&chunk);
        let third = driver.next_store_call(actions, soon * 2);
        assert_eq!(
            third,
            Some(AdoptionAction::ReadChunk { hash }),
            "{}",
            case.name
        );
        let bytes = Some(chunk);
        driver.now += soon;
        let actions = driver.handle(AdoptionEvent::ChunkRead { hash, bytes });
        let is_call = |action: &AdoptionAction| {
            matches!(
                action,
                AdoptionAction::ReadRoot | AdoptionAction::WatchRoot { .. }
            )
        };
        assert!(!actions.iter().any(is_call), "{}: {actions:?}", case.name);
        assert_eq!(driver.state.generation(), 1, "{}", case.name);
        let actions = driver.handle(AdoptionEvent::Role(RelayRole::default()));
        let early = AdoptionLimits::default().poll_interval / 4;
        assert_eq!(
            driver.next_store_call(actions, early),
            None,
            "{}",
            case.name
        );
        let actions = driver.handle(AdoptionEvent::Tick);
        let fourth = driver.next_store_call(actions, early * 8);
        assert_eq!(fourth, Some(AdoptionAction::ReadRoot), "{}", case.name);
    }
}
