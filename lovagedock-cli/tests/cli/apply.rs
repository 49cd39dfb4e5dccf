//! `apply`, `get` and `diff` against a store with every kind of fault.

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

/// A store fault that is active during one step.
struct StoreFault {
    kind: CallKind,
    key_prefix: &'static str,
    times: u32,
    fault: MemoryFault,
}

/// A command line, the fault that is active while it runs, and the expected output.
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

/// Two operators apply at the same time, both on generation 0. One file is accepted. The other
/// operator gets a conflict that names the accepted configuration and what the second file
/// would change now. The files are not merged.
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

/// The write of the root takes effect, but its response is lost. The store still serves reads, so
/// the nonce in the root shows the outcome. The operator sees "accepted", and nothing is applied
/// twice.
#[tokio::test(start_paused = true)]
async fn a_lost_confirmation_is_resolved_by_the_nonce() {
    let lost = StoreFault {
        kind: CallKind::Write,
        key_prefix: ROOT,
        times: 1,
        fault: MemoryFault::LoseResponse,
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

/// The response to the write of the root is lost, and every later write and read of the root fails.
/// The outcome cannot be determined, so the operator sees "unknown" and how to find out. Later, a
/// repeat with the same nonce shows the outcome.
#[tokio::test(start_paused = true)]
async fn an_outage_after_the_write_leaves_the_outcome_unknown() {
    let store = Arc::new(MemoryStore::new());
    let runner = new_runner(store.clone(), ScriptedClient::default());
    // The current root is read once before the write.
    store.script_fault(CallKind::Read, ROOT, 1, ALWAYS, MemoryFault::Down);
    store.script_fault(CallKind::Write, ROOT, 0, 1, MemoryFault::LoseResponse);
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

    // The store is still down. A repeat cannot determine the outcome either, and must not report
    // "not accepted".
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

/// The store is down before the write: nothing was written, and the operator sees "not
/// accepted".
#[tokio::test(start_paused = true)]
async fn an_outage_before_the_write_reports_not_accepted() {
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

/// The operator expects a generation that does not exist. The file is refused, and not applied on
/// top of the current generation.
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
        // A nonce means that there was an earlier apply, which the store may no longer have a
        // record of.
        step(&apply(LOCAL, "asha", 7, "n1"), expect![[r#"
            exit 4
            still unknown: the expected generation is not the current one in the store; see `get`, or apply again with --nonce (4003)
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

/// Each apply would leave its chunks in the platform's store forever if unused ones were not
/// deleted. The newest chunks, and those that slow readers may still need, are kept.
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
