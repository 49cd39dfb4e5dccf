//! Limits the number of log lines about decisions.

use std::time::Duration;

use lovagedock::prelude::*;
use parking_lot::Mutex;

/// Maximum number of lines per second that a process may write about requests. A gateway with a
/// fifth of a core serves about 30 requests a second with three lines each; the rest is for bursts.
const MAX_LINES_PER_SECOND: f64 = 200.0;

/// Maximum number of lines in a burst.
const MAX_LINE_BURST: f64 = 400.0;

/// Limits the log lines about requests.
///
/// Under overload, a process would otherwise spend its time on logging the overload. Suppressed
/// lines are counted, and the next written line carries the count.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    state: Mutex<LimiterState>,
}

#[derive(Debug)]
struct LimiterState {
    tokens: f64,
    filled_at: Timestamp,
    left_out: u64,
}

impl LogLimiter {
    /// Creates a limiter that allows a full burst.
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(LimiterState {
                tokens: MAX_LINE_BURST,
                filled_at: Duration::ZERO,
                left_out: 0,
            }),
        }
    }

    /// Returns whether a line may be written: the number of lines that were suppressed before it,
    /// or `None` if this one is suppressed.
    pub(crate) fn admit(&self, now: Timestamp) -> Option<u64> {
        let mut state = self.state.lock();
        let elapsed = now.saturating_sub(state.filled_at).as_secs_f64();
        state.filled_at = now;
        state.tokens = (state.tokens + elapsed * MAX_LINES_PER_SECOND).min(MAX_LINE_BURST);
        if state.tokens < 1.0 {
            state.left_out += 1;
            metrics::counter!("lovagedock_log_lines_left_out_total").increment(1);
            return None;
        }
        state.tokens -= 1.0;
        Some(std::mem::take(&mut state.left_out))
    }
}
