//! A sidecar's view of the model and adapters that its engine has loaded.

use std::time::Duration;

use lovagedock::{Artifact, LoadOrder, LoadedArtifacts};

const MODEL: &str = "reader";
const ADAPTER: &str = "tracing";

enum Step {
    Report(u64, &'static str, &'static [&'static str]),
    Begin(LoadOrder),
    Confirm(u64, LoadOrder),
    Withdraw,
    EngineDown,
}

struct ArtifactsCase {
    name: &'static str,
    steps: Vec<Step>,
    /// Model, adapters, and `?` if the outcome of a model load is unknown.
    expected: &'static str,
}

fn model(version: &str) -> LoadOrder {
    LoadOrder::Model(Artifact::new(MODEL, version))
}

fn adapter(version: &str) -> LoadOrder {
    LoadOrder::Adapter(Artifact::new(ADAPTER, version))
}

fn cases() -> Vec<ArtifactsCase> {
    use Step::{Begin, Confirm, EngineDown, Report, Withdraw};
    let case = |name, expected, steps| ArtifactsCase {
        name,
        steps,
        expected,
    };
    let loaded = || [Report(0, MODEL, &[]), Confirm(1, model("1"))];
    let with = |steps: Vec<Step>| loaded().into_iter().chain(steps).collect();
    vec![
        case("before a report", "nothing", vec![Confirm(1, model("1"))]),
        case(
            "only the name is reported",
            "reader=",
            vec![Report(0, MODEL, &[])],
        ),
        case("confirmed", "reader=1", with(vec![])),
        case(
            "a report within the permitted lag after the order",
            "reader=1 tracing=2",
            with(vec![Confirm(2, adapter("2")), Report(11, "other", &[])]),
        ),
        case(
            "a report that contradicts the order after the permitted lag",
            "other=",
            with(vec![Confirm(2, adapter("2")), Report(13, "other", &[])]),
        ),
        case(
            "a missing adapter",
            "reader=1",
            with(vec![Confirm(2, adapter("2")), Report(13, MODEL, &[])]),
        ),
        case(
            "an order with unknown outcome",
            "reader= ?",
            with(vec![Begin(model("2"))]),
        ),
        case(
            "an order that was not started",
            "reader=1",
            with(vec![Begin(model("2")), Withdraw]),
        ),
        case(
            "a new model drops the adapters of the previous one",
            "reader=2",
            with(vec![Confirm(2, adapter("2")), Confirm(3, model("2"))]),
        ),
        case(
            "an engine that ended during a load",
            "reader= ?",
            with(vec![Begin(model("2")), EngineDown, Report(9, MODEL, &[])]),
        ),
    ]
}

fn show(loaded: &LoadedArtifacts) -> String {
    let Some(set) = loaded.current() else {
        return "nothing".to_owned();
    };
    let artifacts = std::iter::once(&set.model).chain(&set.adapters);
    let mut shown: Vec<String> = artifacts
        .map(|artifact| format!("{}={}", artifact.id, artifact.version))
        .collect();
    if loaded.is_unsettled() {
        shown.push("?".to_owned());
    }
    shown.join(" ")
}

#[test]
fn loaded_artifacts_follow_orders_and_reports() {
    for case in cases() {
        let mut loaded = LoadedArtifacts::new();
        for step in case.steps {
            match step {
                Step::Report(at, model, adapters) => {
                    let adapters: Vec<String> = adapters.iter().map(ToString::to_string).collect();
                    loaded.report(Duration::from_secs(at), model, &adapters);
                }
                Step::Begin(order) => loaded.begin(&order),
                Step::Confirm(at, order) => loaded.confirm(Duration::from_secs(at), order),
                Step::Withdraw => loaded.withdraw(),
                Step::EngineDown => loaded.forget(),
            }
        }
        assert_eq!(show(&loaded), case.expected, "{}", case.name);
    }
}
