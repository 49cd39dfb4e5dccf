//! Brings the stand-ins' journals onto the clock of the run.

use std::{collections::HashMap, time::Duration};

use lovagedock::{EndpointId, RequestId, Timestamp, parse_request_id};

use super::journal::{ExecutionJournal, ExecutionRecord, LeakRecord};
use crate::{
    engine::{JournalEntry, JournalEvent, RunningEngine},
    service::{RunningService, ServiceEntry},
};

/// How a stand-in's own clock lies on the clock of the run.
#[derive(Clone, Copy, Debug)]
pub struct ClockOrigin {
    /// When the stand-in started.
    pub started_at: Timestamp,
    /// Time of the stand-in that passes in one unit of the run's time.
    pub time_scale: f64,
}

impl ClockOrigin {
    /// The run's time at a time of the stand-in.
    pub fn run_time(&self, local_time: Duration) -> Timestamp {
        self.started_at + local_time.div_f64(self.time_scale)
    }
}

impl ExecutionJournal {
    /// Adds what an engine ran, and what it holds now for no request in flight.
    pub fn add_engine(
        &mut self,
        endpoint: &EndpointId,
        engine: &RunningEngine,
        origin: ClockOrigin,
    ) {
        self.add_engine_entries(endpoint, &engine.journal.entries(), origin);
        // The run is over and has settled, so no caller waits for any of these.
        let blocks = engine.handle.allocated_blocks();
        if blocks > 0 {
            self.leaks.push(LeakRecord {
                endpoint: endpoint.clone(),
                blocks,
            });
        }
    }

    /// Adds the lines of an engine's journal; a line with an id that is none of ours is left out.
    pub fn add_engine_entries(
        &mut self,
        endpoint: &EndpointId,
        entries: &[JournalEntry],
        origin: ClockOrigin,
    ) {
        let mut open: HashMap<RequestId, usize> = HashMap::new();
        for entry in entries {
            let Some(request) = parse_request_id(&entry.request_id) else {
                continue;
            };
            let at = origin.run_time(entry.model_time);
            match entry.event {
                JournalEvent::Started | JournalEvent::Prefilled => {
                    open.insert(request, self.starts.len());
                    self.starts.push(ExecutionRecord {
                        request,
                        key: None,
                        endpoint: endpoint.clone(),
                        started_at: at,
                        ended_at: None,
                    });
                }
                // The rest of work that began elsewhere; it is no second run of it.
                JournalEvent::Resumed => {}
                JournalEvent::Ended | JournalEvent::Cancelled | JournalEvent::Lost => {
                    if let Some(index) = open.remove(&request) {
                        self.starts[index].ended_at = Some(at);
                    }
                }
            }
        }
    }

    /// Adds what a plain service ran.
    pub fn add_service(
        &mut self,
        endpoint: &EndpointId,
        service: &RunningService,
        origin: ClockOrigin,
    ) {
        let entries = service.journal.entries();
        let records = entries
            .iter()
            .map(|entry| service_record(endpoint, entry, origin));
        self.starts.extend(records);
    }
}

fn service_record(
    endpoint: &EndpointId,
    entry: &ServiceEntry,
    origin: ClockOrigin,
) -> ExecutionRecord {
    ExecutionRecord {
        request: parse_request_id(&entry.run.request_id).unwrap_or_default(),
        key: entry.key.clone(),
        endpoint: endpoint.clone(),
        started_at: origin.run_time(entry.started_at),
        ended_at: entry.ended_at.map(|ended| origin.run_time(ended)),
    }
}
