//! The HTTP interface to callers: connections, request checks and responses.

mod body;
mod checks;
mod in_flight;
mod problem;
mod prompt;
mod reply;
mod router;
mod server;
mod validator;

pub(crate) use body::ResponseBody;
pub(crate) use problem::{PROBLEM_TYPE, RequestProblem};
pub(crate) use reply::{CallerEvent, CallerSink};
pub(crate) use server::FrontServer;
