//! The callers' side: HTTP, checks, answers.

mod checks;
mod intake;
mod problem;
mod prompt;
mod reply;
mod router;
mod server;

pub(crate) use problem::{PROBLEM_TYPE, RequestProblem};
pub(crate) use reply::{AnswerBody, CallerEvent, CallerSink, whole_body};
pub(crate) use server::FrontServer;
