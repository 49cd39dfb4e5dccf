//! Everything that a gateway decides about one caller's request.

mod answer;
mod attempt;
mod event;
mod finish;
mod machine;
mod phase;
mod recover;
mod safeguards;
mod spec;

pub use event::{Outcome, PlacedOn, RequestAction, RequestEvent, SpanPart};
pub use machine::RequestMachine;
pub use safeguards::Safeguards;
pub use spec::{RequestSpec, RequestTiming};
