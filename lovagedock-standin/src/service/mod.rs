//! Stand-in of a plain HTTP service: echoes a digest of each call and journals what it ran.

mod routes;
mod running;

pub use running::{
    RunningService, ServiceEntry, ServiceJournal, ServiceOptions, ServiceRun, ServiceStandin,
};
