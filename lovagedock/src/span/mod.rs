//! Spans: prompts that are too large for any single engine and are distributed over several.

mod backoff;
mod coordinator;
mod event;
mod member;
mod plan;
mod prefill;
mod renewal;

pub use backoff::ReserveBackoff;
pub use coordinator::SpanCoordinator;
pub use event::{SpanAction, SpanEvent};
pub use plan::{SPAN_SHARE_PERCENT, SpanPlan, SpanSegment, SpanTiming};
