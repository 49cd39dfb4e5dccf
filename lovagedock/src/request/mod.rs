//! Everything that a gateway decides about one caller's request.

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
