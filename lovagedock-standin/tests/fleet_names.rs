//! Sessions between gateways and sidecars with and without the name of a fleet.

use std::time::Duration;

use lovagedock::parse_config;
use lovagedock_daemon::{DaemonContext, DaemonSettings};
use lovagedock_sidecar::{Sidecar, SidecarSettings};
use lovagedock_standin::fleet::{FleetPlan, LocalFleet};
use lovagedock_wire::{EndpointClient, FleetName, PROTOCOL_VERSION, PeerIdentity, WireError};
use slog::{Discard, Logger, o};
use tokio::{net::TcpStream, task::LocalSet};

const CONFIG: &str = include_str!("promise_support/fleet.jsonc");
const LIMIT: Duration = Duration::from_secs(10);

struct FleetCase {
    sidecar: Option<&'static str>,
    gateway: Option<&'static str>,
    /// Name in the welcome, or `None` if the session is refused.
    welcomed_as: Option<Option<&'static str>>,
}

// An older gateway compares the whole text of the field with the endpoint's name, so it gets no
// fleet.
#[rustfmt::skip]
const CASES: [FleetCase; 6] = [
    FleetCase { sidecar: Some("a"), gateway: Some("a"), welcomed_as: Some(Some("a")) },
    FleetCase { sidecar: Some("b"), gateway: Some("a"), welcomed_as: None },
    FleetCase { sidecar: Some("a-2"), gateway: Some("a"), welcomed_as: None },
    FleetCase { sidecar: Some("a"), gateway: None, welcomed_as: Some(None) },
    FleetCase { sidecar: None, gateway: Some("a"), welcomed_as: Some(None) },
    FleetCase { sidecar: None, gateway: None, welcomed_as: Some(None) },
];

async fn play(case: &FleetCase, mut settings: SidecarSettings) {
    let label = format!("{:?} to {:?}", case.gateway, case.sidecar);
    let log = Logger::root(Discard, o!());
    let daemon = DaemonContext::new(log);
    settings.fleet = case.sidecar.map(FleetName::from);
    settings.gateways.address.set_port(0);
    let sidecar = Sidecar::start(settings.clone(), daemon.clone()).await;
    let sidecar = sidecar.expect("it starts");
    let stream = TcpStream::connect(sidecar.gateways_address()).await;
    let client = EndpointClient::new(Box::new(stream.expect("a connection")));
    let identity = PeerIdentity {
        version: PROTOCOL_VERSION,
        name: "g1".to_owned(),
        incarnation: 1,
        generation: 0,
        fleet: case.gateway.map(FleetName::from),
    };
    let welcome = client.hello(&identity, LIMIT).await;
    let load = client.heartbeat(1, 0, LIMIT).await;
    match case.welcomed_as {
        Some(fleet) => {
            let welcome = welcome.expect("a welcome");
            assert_eq!(welcome.name, *settings.endpoint, "{label}");
            assert_eq!(welcome.fleet.as_deref(), fleet, "{label}");
            assert!(load.is_ok(), "{label}: {load:?}");
        }
        None => {
            let other = case.sidecar.expect("a name").into();
            assert_eq!(welcome, Err(WireError::OtherFleet(other)), "{label}");
            assert!(load.is_err(), "{label}: {load:?}");
        }
    }
    daemon.shutdown.trigger();
}

/// Guards against work for another fleet, and against an upgrade that splits a fleet in processes
/// with and without the name.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_needs_names_that_do_not_differ() {
    let config = parse_config("test", CONFIG).expect("the configuration is valid");
    let plan = FleetPlan::new(config, Logger::root(Discard, o!()));
    let fleet = LocalFleet::start(plan).await.expect("the fleet starts");
    let settings = &fleet.endpoints[0].settings;
    let plays = async {
        for case in &CASES {
            play(case, settings.clone()).await;
        }
    };
    LocalSet::new().run_until(plays).await;
    for (name, is_valid) in [("a", true), ("", false), ("a b", false), ("ä", false)] {
        let mut settings = settings.clone();
        settings.fleet = Some(name.into());
        assert_eq!(settings.problems().is_empty(), is_valid, "{name:?}");
    }
}
