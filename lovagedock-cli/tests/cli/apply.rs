//! `apply`, `get` and `diff` against a store that fails in every way it can.

use std::sync::Arc;

use super::common::{ScriptedClient, new_runner, run, show};
use expect_test::{Expect, expect};
use lovagedock_cli::ExitStatus;
use lovagedock_platform::{
    CHUNK_PREFIX, CallKind, CallPurpose, MemoryFault, MemoryStore, ObjectStore,
};

const LOCAL: &str = "../examples/local/fleet.jsonc";
const MAFRAQ: &str = "../examples/mafraq";
const ROOT: &str = "config/root";
const ALWAYS: u32 = u32::MAX;

/// A fault that is on while one line of a case runs.
struct StoreFault {
    kind: CallKind,
    key_prefix: &'static str,
    times: u32,
    fault: MemoryFault,
}

/// One command line, the fault under it, and what the operator sees.
struct ApplyStep {
    fault: Option<StoreFault>,
    line: String,
    expected: Expect,
}

fn step(line: &str, expected: Expect) -> ApplyStep {
    ApplyStep {
        fault: None,
        line: line.to_owned(),
        expected,
    }
}

fn faulty_step(fault: StoreFault, line: &str, expected: Expect) -> ApplyStep {
    ApplyStep {
        fault: Some(fault),
        line: line.to_owned(),
        expected,
    }
}

fn apply(folder: &str, author: &str, expected: u64, nonce: &str) -> String {
    format!(
        "apply {folder} --author {author} --expect-generation {expected} --nonce {nonce} \
         --patience-ms 500"
    )
}

async fn check_steps(steps: Vec<ApplyStep>) {
    let store = Arc::new(MemoryStore::new());
    let runner = new_runner(store.clone(), ScriptedClient::default());
    for step in steps {
        if let Some(StoreFault {
            kind,
            key_prefix,
            times,
            fault,
        }) = step.fault
        {
            store.script_fault(kind, key_prefix, 0, times, fault);
        }
        let report = run(&runner, &step.line).await;
        store.clear_faults();
        step.expected.assert_eq(&show(&report));
    }
}

#[tokio::test(start_paused = true)]
async fn get_and_diff_show_the_accepted_file() {
    check_steps(vec![
        step(
            "get",
            expect![[r#"
            exit 1
            no configuration has been accepted; the generation is 0
        "#]],
        ),
        step(
            &apply(LOCAL, "asha", 0, "n1"),
            expect![[r#"
            exit 0
            accepted as generation 1
        "#]],
        ),
        step(
            &format!("diff {LOCAL}"),
            expect![[r#"
            exit 0
            against generation 1
            no difference
        "#]],
        ),
        step(
            &apply(MAFRAQ, "asha", 1, "n2"),
            expect![[r#"
            exit 0
            accepted as generation 2
        "#]],
        ),
        step(
            "diff ../examples/mafraq/fleet.jsonc",
            expect![[r#"
            exit 0
            against generation 2
            no difference
        "#]],
        ),
    ])
    .await;
}

/// Two operators apply at the same moment, both on generation 0. One is accepted; the other gets
/// a conflict that names the winner and what the own file would change now. Nothing is merged.
#[tokio::test(start_paused = true)]
async fn the_second_of_two_concurrent_applies_gets_a_conflict() {
    let store = Arc::new(MemoryStore::new());
    let runner = new_runner(store.clone(), ScriptedClient::default());
    let first = run(&runner, &apply(LOCAL, "asha", 0, "n1")).await;
    assert_eq!(first.status.number(), 0);
    let second = run(&runner, &apply(MAFRAQ, "biju", 0, "n2")).await;
    assert_eq!(second.status.number(), 3);
    assert_eq!(second.value["outcome"], "conflict");
    assert_eq!(second.value["code"], 4002);
    assert_eq!(second.value["winner"]["author"], "asha");
    assert_eq!(second.value["winner"]["generation"], 1);
    assert!(
        second.value["changes"]
            .as_array()
            .is_some_and(|changes| changes.len() > 10)
    );
    let third = run(&runner, "get").await;
    assert_eq!(third.value["generation"], 1);
    assert_eq!(third.value["author"], "asha");
}

/// The write of the root takes effect and its answer is lost. The store answers reads, so the
/// nonce in the root settles it: the operator reads "accepted", and nothing is applied twice.
#[tokio::test(start_paused = true)]
async fn a_lost_confirmation_is_resolved_by_the_nonce() {
    let lost = StoreFault {
        kind: CallKind::Write,
        key_prefix: ROOT,
        times: 1,
        fault: MemoryFault::LoseAnswer,
    };
    check_steps(vec![
        faulty_step(
            lost,
            &apply(LOCAL, "asha", 0, "n1"),
            expect![[r#"
            exit 0
            accepted as generation 1
        "#]],
        ),
        step(
            &apply(LOCAL, "asha", 0, "n1"),
            expect![[r#"
            exit 0
            accepted as generation 1
        "#]],
        ),
    ])
    .await;
}

/// The answer to the write of the root is lost and the store stays silent to every further write
/// and read. Nobody can tell what happened, so the operator reads "unknown" and how to find out;
/// later, the same nonce gives the truth.
#[tokio::test(start_paused = true)]
async fn an_outage_after_the_write_leaves_the_outcome_unknown() {
    let store = Arc::new(MemoryStore::new());
    let runner = new_runner(store.clone(), ScriptedClient::default());
    // The base is read once before the write.
    store.script_fault(CallKind::Read, ROOT, 1, ALWAYS, MemoryFault::Down);
    store.script_fault(CallKind::Write, ROOT, 0, 1, MemoryFault::LoseAnswer);
    store.script_fault(CallKind::Write, ROOT, 0, ALWAYS, MemoryFault::Down);
    let line = apply(LOCAL, "asha", 0, "n1");
    let report = run(&runner, &line).await;
    expect![[r#"
        exit 4
        unknown: it may have been accepted (4003)
        apply the same file again with --nonce n1 to find out; it is accepted at most once
    "#]]
    .assert_eq(&show(&report));
    assert_eq!(report.value["code"], 4003);

    // Still down: a repeat knows no more than before, and does not say "not accepted".
    store.clear_faults();
    store.script_fault(CallKind::Read, "", 0, ALWAYS, MemoryFault::Down);
    expect![[r#"
        exit 4
        still unknown: the store is unavailable; see `get`, or apply again with --nonce (4003)
    "#]]
    .assert_eq(&show(&run(&runner, &line).await));

    store.clear_faults();
    expect![[r#"
        exit 0
        accepted as generation 1
    "#]]
    .assert_eq(&show(&run(&runner, &line).await));
}

/// The store is down from the start: nothing was written, and the operator reads just that.
#[tokio::test(start_paused = true)]
async fn an_outage_before_the_write_is_not_accepted() {
    let down = || StoreFault {
        kind: CallKind::Read,
        key_prefix: "",
        times: ALWAYS,
        fault: MemoryFault::Down,
    };
    let apply_line = format!("apply {LOCAL} --author asha --expect-generation 0 --patience-ms 500");
    check_steps(vec![
        faulty_step(
            down(),
            &apply_line,
            expect![[r#"
            exit 5
            not accepted: the store is unavailable (4004)
        "#]],
        ),
        faulty_step(
            down(),
            "get",
            expect![[r#"
            exit 5
            the configuration could not be read: the store is unavailable (4004)
        "#]],
        ),
        faulty_step(
            down(),
            &format!("diff {LOCAL}"),
            expect![[r#"
            exit 5
            the configuration could not be read: the store is unavailable (4004)
        "#]],
        ),
        step(
            &apply_line,
            expect![[r#"
            exit 0
            accepted as generation 1
        "#]],
        ),
    ])
    .await;
}

/// The operator expects a generation that never was: the file is refused, and not applied on
/// whatever is there.
#[tokio::test(start_paused = true)]
async fn a_wrong_generation_is_refused() {
    check_steps(vec![
        step(
            "apply ../examples/local/fleet.jsonc --author asha --expect-generation 7",
            expect![[r#"
                exit 3
                not accepted: generation 7 is not the store's; see `get` (4002)
            "#]],
        ),
        // A nonce says that there was an earlier apply, of which the store may have forgotten.
        step(&apply(LOCAL, "asha", 7, "n1"), expect![[r#"
            exit 4
            still unknown: the expected generation is not the store's; see `get`, or apply again with --nonce (4003)
        "#]]),
        step(
            "get",
            expect![[r#"
            exit 1
            no configuration has been accepted; the generation is 0
        "#]],
        ),
    ])
    .await;
}

/// Operators apply file after file. Without collection each leaves its chunks in the platform's
/// store for good; the newest and those that slow readers may still need stay.
#[tokio::test(start_paused = true)]
async fn applies_delete_unused_chunks() {
    let store = Arc::new(MemoryStore::new());
    let runner = new_runner(store.clone(), ScriptedClient::default());
    let text = std::fs::read_to_string(LOCAL).expect("the example");
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("collected.jsonc");
    let mut sizes = Vec::new();
    for generation in 0..24 {
        let context = format!("\"max_context_tokens\": {}", 1_500_000 + generation);
        let edited = text.replacen("\"max_context_tokens\": 1000000", &context, 1);
        assert_ne!(edited, text);
        std::fs::write(&file, edited).expect("a file");
        let file = file.to_str().expect("a path");
        let line = apply(file, "asha", generation, &format!("n{generation}"));
        assert_eq!(run(&runner, &line).await.status, ExitStatus::Done);
        let chunks = store.list(CHUNK_PREFIX, CallPurpose::Config).await;
        sizes.push(chunks.expect("a list").len());
    }
    assert!(sizes[23] <= sizes[11], "{sizes:?}");
}
