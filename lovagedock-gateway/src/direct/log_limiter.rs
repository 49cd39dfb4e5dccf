//! Log lines about decisions, bounded in number.

use std::time::Duration;

use lovagedock::prelude::*;
use parking_lot::Mutex;

/// Lines a second that a process may write about requests. A gateway of a fifth of a core serves
/// about 30 requests a second with three lines each; the rest is for bursts.
const MAX_LINES_PER_SECOND: f64 = 200.0;

/// Lines that may come at once.
const MAX_LINE_BURST: f64 = 400.0;

/// Bounds the lines about requests.
///
/// Under overload a process would spend its time on telling that it is overloaded. What is left
/// out is counted, and the next line that is written carries the number.
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
    /// A full budget.
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(LimiterState {
                tokens: MAX_LINE_BURST,
                filled_at: Duration::ZERO,
                left_out: 0,
            }),
        }
    }

    /// Takes a line: the number of lines that were left out before it, or `None` to leave it out.
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
