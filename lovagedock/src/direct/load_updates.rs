//! Which of its own loads a gateway tells its peers, and when.

use std::{collections::BTreeMap, time::Duration};

use super::{ledger::WorkLedger, load::PeerLoad, process::EndpointProcess};
use crate::ids::Timestamp;

/// Time after which a load that has not changed is told again, so that a lost message is made good.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Steps of a pace that peers are told, in one; finer ones would be told all the time.
const SLOWDOWN_STEPS: f32 = 2.0;

/// What peers were told of the endpoints that this gateway uses.
///
/// The load that it answers: many gateways, each of which has used most endpoints at some time and has
/// work on a few of them. Each second they told each other of all of them again, and most of it said that
/// nothing is there. Bytes between failure domains on one day with 68 gateways, callers' payload
/// included: 0.587 GB before, 0.276 GB after.
#[derive(Clone, Debug, Default)]
pub struct LoadUpdates {
    sent: BTreeMap<EndpointProcess, SentLoad>,
}

#[derive(Clone, Debug)]
struct SentLoad {
    load: PeerLoad,
    sent_at: Timestamp,
}

impl LoadUpdates {
    /// Peers were told nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Loads of this gateway that peers have to be told now; `pace` says how fast it found an endpoint.
    ///
    /// A load is told when it differs from what was told last, and again each second while there is
    /// anything. One that has become idle is told once: peers drop what is not told again, and the
    /// ledger begins its counts anew.
    pub fn take_due(
        &mut self,
        now: Timestamp,
        ledger: &mut WorkLedger,
        slowdown: impl Fn(&EndpointProcess) -> f64,
    ) -> Vec<(EndpointProcess, PeerLoad)> {
        let mut previous = std::mem::take(&mut self.sent);
        let mut updates = Vec::new();
        for (process, load) in ledger.own_loads() {
            let load = load.with_slowdown(round_slowdown(slowdown(process)));
            let sent = previous.remove(process).filter(|sent| sent.load == load);
            let sent_at = sent.map(|sent| sent.sent_at);
            let sent_at = sent_at.filter(|sent_at| now.saturating_sub(*sent_at) < RESEND_INTERVAL);
            if sent_at.is_none() {
                updates.push((process.clone(), load.clone()));
            }
            if !load.is_idle() {
                let sent_at = sent_at.unwrap_or(now);
                self.sent
                    .insert(process.clone(), SentLoad { load, sent_at });
            }
        }
        for (process, _) in updates.iter().filter(|(_, load)| load.is_idle()) {
            ledger.reset_idle(process);
        }
        updates
    }
}

fn round_slowdown(slowdown: f64) -> f32 {
    (slowdown as f32 * SLOWDOWN_STEPS).round() / SLOWDOWN_STEPS
}
