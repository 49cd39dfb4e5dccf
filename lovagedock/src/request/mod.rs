//! Decisions of a gateway about one caller's request: placement, retries, recovery and delivery.

mod answer;
mod attempt;
mod event;
mod finish;
mod machine;
mod phase;
mod recovery;
mod safeguards;
mod spec;

pub use event::{PlacementOutcome, RequestAction, RequestEvent, RequestOutcome, SpanPart};
pub use machine::RequestMachine;
pub use safeguards::RequestSafeguards;
pub use spec::{RequestSpec, RequestTiming};
