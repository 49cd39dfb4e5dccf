//! Selection of the gateways that contend for the lease of a pool.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{GatewayId, PoolId};

/// Returns the gateways that rendezvous hashing ranks first for a pool.
///
/// Each contender reads the lease's object periodically. If all gateways contended, the number of
/// store calls would grow with the fleet. Two contenders are enough for one to take over when the
/// other is lost.
pub fn pool_contenders<'a>(
    pool: &PoolId,
    gateways: impl Iterator<Item = &'a GatewayId>,
    count: usize,
) -> Vec<&'a GatewayId> {
    let seed = xxh3_64_with_seed(pool.as_bytes(), 0);
    let mut ranked: Vec<&GatewayId> = gateways.collect();
    ranked.sort_by_key(|gateway| Reverse((xxh3_64_with_seed(gateway.as_bytes(), seed), *gateway)));
    ranked.truncate(count);
    ranked
}
