//! Claims with stored objects that are damaged or have a newer format.

mod support;

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{
    ClaimAction, ClaimEvent, ClaimLimits, ClaimPartition, ClaimRequest, DurableSafeguards,
    ReadOutcome, RequestId, ResultCode, Timestamp, WriteOutcome,
};
use support::store::FakeStore;

const NOW: Timestamp = Duration::from_secs(5);
const KEY: [u8; 16] = [7; 16];

fn partition(owner: u64, safeguards: DurableSafeguards) -> ClaimPartition {
    let limits = ClaimLimits {
        inline_bytes: 4,
        ..ClaimLimits::default()
    };
    ClaimPartition::new(0, owner, limits).with_safeguards(safeguards)
}

fn claim(request: RequestId) -> ClaimEvent {
    ClaimEvent::Claim(ClaimRequest {
        key: KEY,
        request,
        body: KEY,
        deadline: NOW + Duration::from_secs(1),
    })
}

/// Handles an event and all resulting store calls. Returns the remaining actions.
fn run(store: &mut FakeStore, machine: &mut ClaimPartition, event: ClaimEvent) -> Vec<ClaimAction> {
    let mut events = vec![event];
    let mut ends = Vec::new();
    while let Some(event) = events.pop() {
        for action in machine.handle(NOW, event) {
            match action {
                ClaimAction::Read { object } => {
                    let outcome = store.read(&object);
                    events.push(ClaimEvent::StoreReadEnded { object, outcome });
                }
                ClaimAction::Write {
                    object,
                    condition,
                    bytes,
                    nonce,
                } => {
                    let outcome = store.write(&object, condition, bytes);
                    assert!(matches!(outcome, WriteOutcome::Applied(_)));
                    events.push(ClaimEvent::StoreWriteEnded { nonce, outcome });
                }
                ClaimAction::WakeAt(_) => {}
                other => ends.push(other),
            }
        }
    }
    ends
}

/// Returns a store with the recorded answer of request 1, and the name of the answer's object.
fn recorded() -> (FakeStore, lovagedock::ObjectName) {
    let mut store = FakeStore::default();
    let mut machine = partition(1, DurableSafeguards::default());
    let granted = run(&mut store, &mut machine, claim(1));
    assert_eq!(granted, [ClaimAction::Grant { request: 1 }]);
    let record = ClaimEvent::Record {
        key: KEY,
        request: 1,
        answer: Bytes::from_static(b"ownership trace"),
        deadline: NOW + Duration::from_secs(1),
    };
    let ends = run(&mut store, &mut machine, record);
    assert_eq!(ends, [ClaimAction::Recorded { request: 1 }]);
    let names = store.names();
    let part = names.iter().find(|name| name.contains("answers"));
    (store, part.expect("the answer has an object").clone())
}

struct DamageCase {
    name: &'static str,
    verified: bool,
    expected: ClaimAction,
}

// A request is repeated, and the object with its recorded answer was overwritten with other bytes
// of the same length. The caller gets an error with its own code instead of other bytes with a
// clean end. With the safeguard off, it gets the other bytes.
#[test]
fn damaged_answers_are_not_replayed() {
    let cases = [
        DamageCase {
            name: "verified",
            verified: true,
            expected: ClaimAction::Refuse {
                request: 2,
                code: ResultCode::AnswerDamaged,
            },
        },
        DamageCase {
            name: "safeguard off",
            verified: false,
            expected: ClaimAction::Replay {
                request: 2,
                answer: Bytes::from_static(b"other owner, no"),
            },
        },
    ];
    for case in cases {
        let (mut store, part) = recorded();
        let always = lovagedock::WriteCondition::Always;
        store.write(&part, always, Bytes::from_static(b"other owner, no"));
        let safeguards = DurableSafeguards {
            verified_replays: case.verified,
            ..DurableSafeguards::default()
        };
        let mut machine = partition(2, safeguards);
        let ends = run(&mut store, &mut machine, claim(2));
        assert_eq!(ends, [case.expected], "{}", case.name);
    }
}

// The partition's object has an unknown format or is truncated. Any key may be claimed in it, so no
// claim is granted. The request is refused as not run at its deadline.
#[test]
fn nothing_is_granted_from_an_unreadable_partition() {
    for bytes in [&b""[..], &b"\x02newer"[..], &b"\x01\x01"[..]] {
        let mut machine = partition(1, DurableSafeguards::default());
        machine.handle(NOW, claim(1));
        let object = machine.object().clone();
        let outcome = ReadOutcome::Found {
            version: 1,
            bytes: Bytes::copy_from_slice(bytes),
        };
        let actions = machine.handle(NOW, ClaimEvent::StoreReadEnded { object, outcome });
        let granted = |action: &ClaimAction| matches!(action, ClaimAction::Grant { .. });
        assert!(!actions.iter().any(granted), "{bytes:?}: {actions:?}");
        assert!(machine.status().damaged, "{bytes:?}");
        let end = machine.handle(NOW + Duration::from_secs(2), ClaimEvent::Tick);
        let refusal = ClaimAction::Refuse {
            request: 1,
            code: ResultCode::ClaimUnavailable,
        };
        assert!(end.contains(&refusal), "{bytes:?}: {end:?}");
    }
}
