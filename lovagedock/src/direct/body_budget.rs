//! Memory limit for the bodies of callers' requests.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use crate::ids::{OrganisationId, Timestamp};

/// Number of a body in the budget. Later bodies have higher numbers.
pub type BodyId = u64;

/// Largest body, in bytes, that may use the part of the budget that is kept for small bodies.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Share of the budget that is kept for small bodies.
const SMALL_SHARE: f64 = 0.25;

/// Time without progress after which any other body may displace a body.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Whether a body may grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyGrowth {
    /// The bytes are reserved.
    Granted,
    /// The bytes can be reserved once these bodies, and those that were displaced before, are
    /// closed.
    Displaces(Vec<BodyId>),
    /// There is no memory for the body.
    Refused,
}

#[derive(Clone, Debug)]
struct BodyState {
    organisation: Option<OrganisationId>,
    held: usize,
    /// When the body last asked for memory.
    progressed_at: Timestamp,
    is_whole: bool,
    is_displaced: bool,
}

/// Divides the memory of a gateway between the bodies that it receives.
///
/// A limit for each body would not bound their sum. When the budget is used up, bodies that make no
/// progress are displaced first. Otherwise the newest bodies of the organisation that holds the
/// most give way, so the oldest ones become whole: if the largest gave way, bodies that are nearly
/// whole would be displaced by new ones, and none would become whole. The oldest body of an
/// organisation is never displaced by another organisation while it makes progress.
///
/// Small bodies displace larger ones and have a part of the budget to themselves, so they find room
/// beside any number of large bodies. A whole body is kept until its request ends.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    limit: usize,
    used: usize,
    bodies: BTreeMap<BodyId, BodyState>,
    next_id: BodyId,
}

impl BodyBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            bodies: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of bodies, whole ones included.
    pub fn body_count(&self) -> usize {
        self.bodies.len()
    }

    /// Adds a body that holds nothing.
    pub fn open(&mut self, now: Timestamp, organisation: Option<OrganisationId>) -> BodyId {
        self.next_id += 1;
        let body = BodyState {
            organisation,
            held: 0,
            progressed_at: now,
            is_whole: false,
            is_displaced: false,
        };
        self.bodies.insert(self.next_id, body);
        self.next_id
    }

    /// Reserves further bytes for a body, if there is memory for it.
    pub fn grow(&mut self, now: Timestamp, id: BodyId, bytes: usize) -> BodyGrowth {
        let Some(body) = self.bodies.get_mut(&id) else {
            return BodyGrowth::Refused;
        };
        body.progressed_at = now;
        if body.is_displaced {
            return BodyGrowth::Refused;
        }
        let is_small = body.held + bytes <= SMALL_BODY_BYTES;
        let limit = match is_small {
            true => self.limit,
            false => (self.limit as f64 * (1.0 - SMALL_SHARE)) as usize,
        };
        if self.used + bytes <= limit {
            body.held += bytes;
            self.used += bytes;
            return BodyGrowth::Granted;
        }
        let excess = self.used + bytes - limit;
        match self.displaced_for(now, id, bytes, excess) {
            Some(displaced) => {
                for id in &displaced {
                    if let Some(body) = self.bodies.get_mut(id) {
                        body.is_displaced = true;
                    }
                }
                BodyGrowth::Displaces(displaced)
            }
            None => BodyGrowth::Refused,
        }
    }

    /// Records that a body was received as a whole. It is not displaced from then on. Returns
    /// whether it was not displaced before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else {
            return false;
        };
        body.is_whole = !body.is_displaced;
        body.is_whole
    }

    /// Removes a body and releases its bytes.
    pub fn close(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.held;
        }
    }

    /// Returns the bodies to displace so that `excess` bytes become free, besides those that were
    /// displaced already, or `None` if the body has to give way itself.
    fn displaced_for(
        &self,
        now: Timestamp,
        id: BodyId,
        bytes: usize,
        excess: usize,
    ) -> Option<Vec<BodyId>> {
        let displaced = self.bodies.values().filter(|body| body.is_displaced);
        let mut freed: usize = displaced.map(|body| body.held).sum();
        let ranks = BodyRanks::new(self, now, id, bytes);
        let mut candidates: Vec<_> = self
            .bodies
            .iter()
            .filter(|(_, body)| !body.is_whole && !body.is_displaced && body.held > 0)
            .filter_map(|(candidate, body)| Some((ranks.rank(*candidate, body)?, *candidate)))
            .collect();
        candidates.sort_unstable();
        let mut chosen = Vec::new();
        for (_, candidate) in candidates {
            if freed >= excess {
                break;
            }
            freed += self.bodies[&candidate].held;
            chosen.push(candidate);
        }
        (freed >= excess).then_some(chosen)
    }
}

/// Order in which bodies are displaced; lower ranks first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum BodyRank {
    /// Made no progress; the longest first.
    Stalled { since: Timestamp },
    /// Larger than small bodies; the newest of the organisation that holds the most first.
    Large {
        organisation_bytes: Reverse<usize>,
        id: Reverse<BodyId>,
    },
    /// The largest first.
    Small { held: Reverse<usize> },
}

/// Ranks bodies for one that grows.
struct BodyRanks<'a> {
    now: Timestamp,
    id: BodyId,
    organisation: Option<&'a OrganisationId>,
    /// Bytes that the growing body would hold, and those of its organisation.
    held: usize,
    organisation_bytes: usize,
    organisations: BTreeMap<Option<&'a OrganisationId>, OrganisationBodies>,
}

#[derive(Clone, Copy, Debug)]
struct OrganisationBodies {
    bytes: usize,
    /// Oldest body that is still being received.
    oldest: Option<BodyId>,
}

impl<'a> BodyRanks<'a> {
    fn new(budget: &'a BodyBudget, now: Timestamp, id: BodyId, bytes: usize) -> Self {
        let mut organisations = BTreeMap::new();
        for (body_id, body) in &budget.bodies {
            let entry = organisations.entry(body.organisation.as_ref());
            let bodies: &mut OrganisationBodies = entry.or_insert(OrganisationBodies {
                bytes: 0,
                oldest: None,
            });
            bodies.bytes += body.held;
            if !body.is_whole && !body.is_displaced {
                bodies.oldest.get_or_insert(*body_id);
            }
        }
        let body = &budget.bodies[&id];
        let organisation = body.organisation.as_ref();
        Self {
            now,
            id,
            organisation,
            held: body.held + bytes,
            organisation_bytes: organisations[&organisation].bytes + bytes,
            organisations,
        }
    }

    /// Returns the rank of a body, or `None` if it is not displaced by the growing one.
    fn rank(&self, id: BodyId, body: &BodyState) -> Option<BodyRank> {
        if id == self.id {
            return None;
        }
        if self.now.saturating_sub(body.progressed_at) >= STALL_TIME {
            let since = body.progressed_at;
            return Some(BodyRank::Stalled { since });
        }
        let is_small = self.held <= SMALL_BODY_BYTES;
        if body.held <= SMALL_BODY_BYTES {
            let is_displaced = is_small && body.held > self.held;
            let held = Reverse(body.held);
            return is_displaced.then_some(BodyRank::Small { held });
        }
        let organisation = body.organisation.as_ref();
        let bodies = self.organisations[&organisation];
        let is_displaced = match organisation == self.organisation {
            true => id > self.id,
            false => bodies.bytes > self.organisation_bytes && bodies.oldest != Some(id),
        };
        (is_small || is_displaced).then_some(BodyRank::Large {
            organisation_bytes: Reverse(bodies.bytes),
            id: Reverse(id),
        })
    }
}
