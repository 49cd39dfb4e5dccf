//! Which of its own loads a gateway tells its peers, and when.

use std::{collections::BTreeMap, time::Duration};

use super::{life::EndpointLife, load::PeerLoad};
use crate::ids::Timestamp;

/// Time after which a load that has not changed is told again, so that a lost message is made good.
pub(super) const REPEAT_TIME: Duration = Duration::from_secs(1);

/// What peers were told of the endpoints that this gateway uses.
///
/// The load that it answers: many gateways, each of which has used most endpoints at some time and has
/// work on a few of them. Told all of them again each second, two thirds of what gateways send each
/// other says that nothing is there.
#[derive(Clone, Debug, Default)]
pub struct LoadNews {
    told: BTreeMap<EndpointLife, ToldLoad>,
}

#[derive(Clone, Debug)]
struct ToldLoad {
    load: PeerLoad,
    at: Timestamp,
}

impl LoadNews {
    /// Peers were told nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Loads that peers have to be told now.
    ///
    /// A load is told when it differs from what was told last, and again each second while there is
    /// anything. One that has become idle is told once: peers drop what is not told again.
    pub fn take(
        &mut self,
        now: Timestamp,
        loads: impl IntoIterator<Item = (EndpointLife, PeerLoad)>,
    ) -> Vec<(EndpointLife, PeerLoad)> {
        let mut former = std::mem::take(&mut self.told);
        let mut news = Vec::new();
        for (life, load) in loads {
            let known = former.remove(&life);
            let is_told = known.as_ref().is_some_and(|known| known.load == load);
            let told_at = known.map(|known| known.at).filter(|_| is_told);
            let at = match told_at {
                Some(at) if now.saturating_sub(at) < REPEAT_TIME => at,
                _ => now,
            };
            if told_at != Some(at) {
                news.push((life.clone(), load.clone()));
            }
            if !load.is_idle() {
                self.told.insert(life, ToldLoad { load, at });
            }
        }
        news
    }
}
