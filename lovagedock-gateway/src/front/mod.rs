//! The callers' side: HTTP, checks, answers.

mod checks;
mod intake;
mod problem;
mod prompt;
mod reply;
mod router;
mod server;

pub(crate) use problem::RequestProblem;
pub(crate) use reply::{CallerEvent, CallerSink};
pub(crate) use server::FrontServer;
