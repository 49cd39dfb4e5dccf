//! The settings files of `examples/local`, and what the daemons refuse in them.

use std::path::{Path, PathBuf};

use lovagedock::parse_config;
use lovagedock_daemon::{DaemonSettings, load_settings, parse_settings};
use lovagedock_gateway::GatewaySettings;
use lovagedock_sidecar::SidecarSettings;

const FOLDER: &str = "../examples/local";
const TLS_ROOTS: &str = "\"peer_roots_file\": \"keys/roots.pem\",";

fn file(name: &str) -> PathBuf {
    Path::new(FOLDER).join("settings").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(file(name)).expect("the file is there")
}

fn problems<S: DaemonSettings>(text: &str) -> Vec<String> {
    let settings: S = parse_settings(Path::new("case"), text).expect("well formed");
    settings.problems()
}

/// The files go with the configuration beside them: names and addresses are the same, or the
/// gateway would never reach the sidecars.
#[test]
fn settings_go_with_the_configuration() {
    let text = std::fs::read_to_string(Path::new(FOLDER).join("fleet.jsonc")).expect("a file");
    let config = parse_config("fleet.jsonc", &text).expect("a valid configuration");
    for variant in ["", "tls/"] {
        let spec = &config.gateways[0];
        let name = format!("{variant}{}.jsonc", spec.id);
        let gateway: GatewaySettings = load_settings(&file(&name)).expect("a gateway's settings");
        assert_eq!(gateway.problems(), Vec::<String>::new(), "{name}");
        assert_eq!(gateway.name, spec.id);
        assert_eq!(gateway.failure_domain, spec.failure_domain);
        assert_eq!(gateway.peers.address, spec.peer_address);
        for spec in config.pools.iter().flat_map(|pool| &pool.endpoints) {
            let name = format!("{variant}sidecar-{}.jsonc", spec.id);
            let sidecar: SidecarSettings = load_settings(&file(&name)).expect("settings");
            assert_eq!(sidecar.problems(), Vec::<String>::new(), "{name}");
            assert_eq!(sidecar.endpoint, spec.id);
            assert_eq!(sidecar.gateways.address, spec.sidecar);
        }
    }
}

/// One change to a file that is valid, and what is then said about it.
struct ProblemCase {
    from: &'static str,
    to: &'static str,
    problem: &'static str,
}

#[test]
fn a_gateway_refuses_settings_that_cannot_work() {
    let cases = [
        ProblemCase {
            from: "\"heartbeat_ms\": 500",
            to: "\"heartbeat_ms\": 0",
            problem: "links.heartbeat_ms: found 0, expected at least 1",
        },
        ProblemCase {
            from: "\"silence_ms\": 2000",
            to: "\"silence_ms\": 500",
            problem: "links.silence_ms: found 500, expected more than links.heartbeat_ms (500)",
        },
        ProblemCase {
            from: "\"heartbeat_ms\": 500",
            to: "\"workers\": 0",
            problem: "links.workers: found 0, expected at least 1",
        },
    ];
    let valid = text("tls/gateway-1.jsonc");
    for case in cases {
        let text = valid.replace(case.from, case.to);
        assert_eq!(problems::<GatewaySettings>(&text), [case.problem]);
    }
    // Without the peers' roots, work and configurations would come from anybody.
    assert_eq!(
        problems::<GatewaySettings>(&valid.replace(TLS_ROOTS, "")),
        ["links", "peers"].map(missing_roots)
    );
}

#[test]
fn a_sidecar_refuses_settings_that_cannot_work() {
    let cases = [
        ProblemCase {
            from: "\"json-report\"",
            to: "\"json-reports\"",
            problem: "engine.adapter: found \"json-reports\", expected one of json-report, plain, prometheus-report",
        },
        ProblemCase {
            from: "\"adapter\"",
            to: "\"poll_ms\": 0, \"adapter\"",
            problem: "engine.poll_ms: found 0, expected at least 1",
        },
    ];
    let valid = text("tls/sidecar-engine-1.jsonc");
    for case in cases {
        let text = valid.replace(case.from, case.to);
        assert_eq!(problems::<SidecarSettings>(&text), [case.problem]);
    }
    assert_eq!(
        problems::<SidecarSettings>(&valid.replace(TLS_ROOTS, "")),
        [missing_roots("gateways")]
    );
}

fn missing_roots(field: &str) -> String {
    let expected = "expected the file with the roots of the peers";
    format!("{field}.transport.tls.peer_roots_file: missing, {expected}")
}
