//! Stand-in of a plain HTTP service: returns a digest of each call and records it in a journal.

mod routes;
mod running;

pub use running::{
    RunningService, ServiceEntry, ServiceJournal, ServiceOptions, ServiceRun, ServiceStandin,
};
