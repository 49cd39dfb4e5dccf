//! Requests of operators to running gateways.

mod direct_support;

use std::time::Duration;

use direct_support::{
    CRASHING, CRASHING_PART, CrashingFleet, EVENTS, LogLines, TestFeed, TestGateway, call,
    call_with_parts, daemon, open_call, read_response, settings, wait_until,
};
use lovagedock_daemon::DaemonContext;
use serde_json::{Value, json};
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
    start_gateways_with(fleet, &daemon()).await
}

async fn start_gateways_with(fleet: &CrashingFleet, daemon: &DaemonContext) -> Vec<TestGateway> {
    let mut gateways = Vec::new();
    for number in 0..2 {
        let mut settings = settings(&format!("gateway-{number}"));
        settings.admin.operator_token = Some(TOKEN.to_owned());
        let gateway = TestGateway::start_with(settings, &fleet.feed, daemon.clone()).await;
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

#[rustfmt::skip]
const CASES: &[ReleaseCase] = &[
    ReleaseCase { name: "request", is_part: false, has_store: true },
    ReleaseCase { name: "part", is_part: true, has_store: true },
    ReleaseCase { name: "request, store unavailable", is_part: false, has_store: false },
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
        let lines = LogLines::default();
        let daemon = DaemonContext::new(lines.logger());
        let gateways = start_gateways_with(&fleet, &daemon).await;
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
        let released = lines.with_message("quarantine released");
        let of_operator = released.iter().find(|line| line["source"] == "operator");
        let operator = of_operator.and_then(|line| line["operator"].as_str());
        let operator = operator.unwrap_or_default();
        assert!(
            operator.starts_with("127.0.0.1:"),
            "{}: {released:?}",
            case.name
        );
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

/// Guards against a target that is no quarantine and is reported as released.
#[tokio::test]
async fn a_target_that_is_no_quarantine_is_refused() {
    let fleet = CrashingFleet::start(1).await;
    let gateways = start_gateways(&fleet).await;
    for target in ["7", "part-", "part-xyz", "000000000000000g"] {
        let path = format!("/release-quarantine/{target}");
        let (status, document) = gateways[0].operate("POST", &path, TOKEN).await;
        assert_eq!((status, &document["code"]), (400, &json!(1001)), "{target}");
    }
    let path = "/release-quarantine/0000000000000007";
    let (status, document) = gateways[0].operate("POST", path, TOKEN).await;
    assert_eq!((status, &document["known"]), (200, &json!(false)));
}

/// Guards against reports that lack the load of another gateway, the quarantines or the drained
/// domains.
#[tokio::test]
async fn gateways_report_the_load_of_all_gateways() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet).await;
    let get = async |path: &str| gateways[0].operate("GET", path, "").await.1;

    let streams = [1, 2, 3].map(|number| {
        let (address, path) = (gateways[1].address(), format!("/stream/{number}"));
        tokio::spawn(async move {
            read_response(open_call(address, &path, &format!("{}", 700 + number), "secret").await)
                .await
        })
    });
    let reported = timeout(RELEASE_TIME, async {
        while get("/usage").await["services"][0]["lanes"][0]["slots_in_use"] != 3 {
            sleep(Duration::from_millis(5)).await;
        }
        get("/usage").await
    });
    let usage = reported.await.expect("the load of the other gateway");
    assert_eq!(usage["gateways_heard"], 2, "{usage}");
    let service = &usage["services"][0];
    assert_eq!(service["endpoints"].as_array().map(Vec::len), Some(HOSTS));
    let by_gateway = service["gateways"].as_array().expect("a list");
    let other = by_gateway.iter().find(|row| row["gateway"] == "gateway-1");
    assert_eq!(other.map(|row| &row["slots_in_use"]), Some(&json!(3)));

    let preview = get("/drain-preview/a").await;
    let service = &preview["services"][0];
    let expected = json!({ "endpoints": HOSTS, "slots": 4 * HOSTS });
    assert_eq!(service["inside"], expected, "{preview}");
    assert_eq!(service["verdict"], "short", "{preview}");
    assert_eq!(service["utilisation"], Value::Null, "{preview}");
    assert_eq!(get("/drain-preview/b").await["state"], "unknown");
    let uninformed = TestGateway::start("gateway-2", &TestFeed::down()).await;
    let (status, document) = uninformed.operate("GET", "/drain-preview/a", "").await;
    assert_eq!(status, 503, "{document}");
    for stream in streams {
        let response = stream.await.expect("no caller panics");
        assert_eq!(response.event_ids().len(), EVENTS as usize);
    }

    CASES[0].quarantine(&gateways).await;
    fleet.feed.set_drained(&["a"]);
    let drained = timeout(RELEASE_TIME, async {
        while get("/status").await["direct"]["drained_domains"] != json!(["a"]) {
            sleep(Duration::from_millis(5)).await;
        }
    });
    drained.await.expect("the drained domain is reported");
    let status = get("/status").await;
    assert_eq!(status["generation"], 1, "{status}");
    assert_eq!(status["direct"]["quarantined_requests"], 1, "{status}");
    assert_eq!(get("/drain-preview/a").await["state"], "drained");
}
