//! Requests of operators to running gateways.

mod direct_support;

use std::time::Duration;

use direct_support::{
    CRASHING, CRASHING_PART, CrashingFleet, TestGateway, call, call_with_parts, daemon, settings,
    wait_until,
};
use serde_json::json;
use tokio::time::{sleep, timeout};

const HOSTS: usize = 6;
const TOKEN: &str = "token";

/// Number of crashing requests, and the time between two of them, in which gateways receive each
/// other's updates.
const SUBMISSIONS: usize = 8;
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(60);

/// Time limit for a release to reach the other gateways.
const RELEASE_TIME: Duration = Duration::from_secs(3);

async fn start_gateways(fleet: &CrashingFleet) -> Vec<TestGateway> {
    let mut gateways = Vec::new();
    for number in 0..2 {
        let mut settings = settings(&format!("gateway-{number}"));
        settings.admin.operator_token = Some(TOKEN.to_owned());
        let gateway = TestGateway::start_with(settings, &fleet.feed, daemon()).await;
        gateways.push(gateway.ready().await);
    }
    gateways
}

struct ReleaseCase {
    name: &'static str,
    /// Whether a part of prompts crashes the engines, instead of a request.
    is_part: bool,
    has_store: bool,
}

const CASES: &[ReleaseCase] = &[
    ReleaseCase {
        name: "request",
        is_part: false,
        has_store: true,
    },
    ReleaseCase {
        name: "part",
        is_part: true,
        has_store: true,
    },
    ReleaseCase {
        name: "request, store unavailable",
        is_part: false,
        has_store: false,
    },
];

impl ReleaseCase {
    async fn send(&self, gateway: &TestGateway, number: usize) -> (u16, String) {
        let id = format!("{}", 100 + number);
        let response = match self.is_part {
            true => {
                let path = format!("/safe/{number}");
                call_with_parts(gateway.address(), &path, &id, &[CRASHING_PART]).await
            }
            false => call(gateway.address(), &format!("/safe/{CRASHING}"), &id).await,
        };
        (response.status(), response.text)
    }

    async fn quarantine(&self, gateways: &[TestGateway]) {
        for number in 0..SUBMISSIONS {
            self.send(&gateways[number % 2], number).await;
            sleep(SUBMISSION_INTERVAL).await;
        }
        for gateway in gateways {
            let (_, text) = self.send(gateway, SUBMISSIONS).await;
            assert!(text.contains("2014"), "{}: {text}", self.name);
        }
    }

    /// Returns the path that ends the quarantine, from the dump of a gateway with evidence.
    async fn release_path(&self, gateways: &[TestGateway]) -> String {
        if self.is_part {
            return format!("/release-quarantine/part-{CRASHING_PART:08x}");
        }
        for gateway in gateways {
            let (_, dump) = gateway.operate("GET", "/dump", "").await;
            if let Some(fingerprint) = dump["state"]["suspects"][0]["fingerprint"].as_str() {
                return format!("/release-quarantine/{fingerprint}");
            }
        }
        panic!("{}: no gateway has evidence", self.name);
    }
}

/// Guards against a quarantine that an operator ends at one gateway and that holds on at another,
/// comes back, or is ended by a caller without the token, and against a response that conceals that
/// the store still has it.
#[tokio::test]
async fn an_operator_ends_a_quarantine_on_all_gateways() {
    for case in CASES {
        let fleet = CrashingFleet::start(HOSTS).await;
        let gateways = start_gateways(&fleet).await;
        case.quarantine(&gateways).await;
        fleet.mend();
        wait_until(|| fleet.serving() == HOSTS).await;
        fleet.feed.set_suspects_available(case.has_store);
        let path = case.release_path(&gateways).await;

        for token in ["", "another"] {
            let (status, _) = gateways[0].operate("POST", &path, token).await;
            assert_eq!(status, 401, "{}: token {token:?}", case.name);
        }
        let (_, text) = case.send(&gateways[0], 0).await;
        assert!(text.contains("2014"), "{}: {text}", case.name);

        let (status, document) = gateways[0].operate("POST", &path, TOKEN).await;
        assert_eq!(status, 200, "{}: {document}", case.name);
        let expected = json!({
            "known": true, "quarantined": false, "store_written": case.has_store,
            "gateways_reachable": 2, "gateways_known": 2,
        });
        for (field, value) in expected.as_object().expect("an object") {
            assert_eq!(document[field], *value, "{}: {field}", case.name);
        }
        let (status, text) = case.send(&gateways[0], 1).await;
        assert_eq!(status, 200, "{}: {text}", case.name);
        let served = timeout(RELEASE_TIME, async {
            while case.send(&gateways[1], 2).await.0 != 200 {
                sleep(SUBMISSION_INTERVAL).await;
            }
        });
        served.await.expect("the other gateway serves the request");
        if case.has_store {
            let digits = path.rsplit(['/', '-']).next().expect("a target");
            let target = u64::from_str_radix(digits, 16).expect("hexadecimal digits");
            let cleared = wait_until(|| !fleet.feed.has_suspect(target));
            let cleared = timeout(RELEASE_TIME, cleared).await;
            cleared.expect("the sheets of both gateways are written without the entry");
        }
    }
}
