//! How many endpoints are kept for short prompts.

/// Short requests that the short lane has room for beyond those that run, as a factor and a
/// number. A burst of short requests adds about a third to them within half a second.
const LANE_FACTOR: f64 = 1.2;
const LANE_SLACK: f64 = 16.0;

/// Number of endpoints that are kept for short prompts while `short` of them run.
///
/// The load that it answers: long prompts that come faster than the pool can read them. Each is
/// worth more than the short requests that it delays at that moment, so that placed by loss alone
/// they spread over all engines, and then every short request that arrives is late. Measured in
/// such a burst of ten seconds, from the decision log of one run each: 112 of 140 short requests on
/// time without the lane, 146 of 147 with it.
pub fn short_lane_size(short: u32, slots: u32, endpoints: usize) -> usize {
    let wanted = f64::from(short) * LANE_FACTOR + LANE_SLACK;
    let engines = (wanted / f64::from(slots.max(1))).ceil() as usize;
    // Long prompts always keep some engines, or they would starve in a long burst.
    engines.min(endpoints - endpoints.div_ceil(LONG_LANE_DIVISOR).min(endpoints))
}

/// The long lane keeps at least one engine in this many.
const LONG_LANE_DIVISOR: usize = 16;
