//! Sessions between gateways: bytes of a usage report.

use std::{rc::Rc, time::Duration};

use lovagedock::{
    ConfigBundle, PullAnswer, ShareStage, UsageAck, UsageEntry, UsageReport, prelude::*,
};
use lovagedock_wire::{PeerClient, PeerHandler, PeerIdentity, serve_peer};

use crate::{
    slope::SlopeSeries,
    traffic::CountedPair,
    wire::{CALL_TIME, block_on, identity},
};

const REPEATS: usize = 3;

/// What a report between gateways costs, over its entries.
pub(crate) fn usage_bytes() -> SlopeSeries {
    SlopeSeries::new(
        "usage report and confirmation, both directions",
        "organisations in the report",
        "B",
    )
    .with_points(&[1, 13, 50, 200], REPEATS, run_report)
}

struct PeerFake;

impl PeerHandler for PeerFake {
    fn hello(&self, _identity: PeerIdentity) -> PeerIdentity {
        identity("gateway-0042")
    }

    fn push(&self, bundle: ConfigBundle) -> Generation {
        bundle.generation
    }

    fn offer(&self, _generation: Generation) {}

    fn pull(&self, above: Generation) -> PullAnswer {
        PullAnswer {
            generation: above,
            bundle: None,
        }
    }

    fn usage(&self, report: UsageReport) -> Option<UsageAck> {
        Some(UsageAck {
            sequence: report.sequence,
            stage: report.stage,
        })
    }
}

fn run_report(entries: usize) -> f64 {
    block_on(async move {
        let pair = CountedPair::new().await;
        let (near, far) = pair.streams().await;
        tokio::task::spawn_local(serve_peer(far, Rc::new(PeerFake)));
        let client = PeerClient::new(near);
        let own = identity("gateway-0731");
        client.hello(&own, CALL_TIME).await.expect("welcome");
        pair.reset();
        let rounds = 50;
        for sequence in 1..=rounds {
            let report = report(sequence, entries);
            client.usage(&report, CALL_TIME).await.expect("confirmed");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        pair.bytes() / rounds as f64
    })
}

fn report(sequence: u64, entries: usize) -> UsageReport {
    let entry = |number| UsageEntry {
        organisation: format!("organisation-{number:05}").into(),
        requests: 3,
        tokens: 4_200,
        in_flight: 2,
    };
    UsageReport {
        sequence,
        base: sequence - 1,
        stage: ShareStage::ByDemand,
        entries: (0..entries).map(entry).collect(),
    }
}
