//! Collects the journals of stand-ins and converts their times to the clock of the run.

use std::{collections::HashMap, time::Duration};

use lovagedock::{EndpointId, RequestId, Timestamp, parse_request_id};

use super::journal::{ExecutionJournal, ExecutionRecord, LeakRecord};
use crate::{
    engine::{JournalEntry, JournalEvent, RunningEngine},
    service::{RunningService, ServiceEntry},
};

/// Relation between the clock of a stand-in and the clock of the run.
#[derive(Clone, Copy, Debug)]
pub struct ClockOrigin {
    /// Start of the stand-in, on the clock of the run.
    pub started_at: Timestamp,
    /// Time that passes at the stand-in per unit of the run's time.
    pub time_scale: f64,
}

impl ClockOrigin {
    /// Converts a time of the stand-in to the clock of the run.
    pub fn to_run_time(&self, local_time: Duration) -> Timestamp {
        self.started_at + local_time.div_f64(self.time_scale)
    }
}

impl ExecutionJournal {
    /// Adds the requests that an engine ran, and the blocks that it leaked.
    pub fn add_engine(
        &mut self,
        endpoint: &EndpointId,
        engine: &RunningEngine,
        origin: ClockOrigin,
    ) {
        self.add_engine_entries(endpoint, &engine.journal.entries(), origin);
        // The run is over and the engines had time to free memory. No caller waits for a request,
        // so blocks that are still allocated are leaked.
        let blocks = engine.handle.allocated_blocks();
        if blocks > 0 {
            self.leaks.push(LeakRecord {
                endpoint: endpoint.clone(),
                blocks,
            });
        }
    }

    /// Adds the entries of an engine's journal. Skips entries whose id is not a valid request id.
    pub fn add_engine_entries(
        &mut self,
        endpoint: &EndpointId,
        entries: &[JournalEntry],
        origin: ClockOrigin,
    ) {
        let mut open_starts: HashMap<RequestId, usize> = HashMap::new();
        for entry in entries {
            let Some(request) = parse_request_id(&entry.request_id) else {
                continue;
            };
            let at = origin.to_run_time(entry.model_time);
            match entry.event {
                JournalEvent::Started | JournalEvent::Prefilled => {
                    open_starts.insert(request, self.starts.len());
                    self.starts.push(ExecutionRecord {
                        request,
                        key: None,
                        endpoint: endpoint.clone(),
                        started_at: at,
                        ended_at: None,
                    });
                }
                // Continues work that started on another engine, so it does not count as a second
                // start.
                JournalEvent::Resumed => {}
                JournalEvent::Ended | JournalEvent::Cancelled | JournalEvent::Lost => {
                    if let Some(index) = open_starts.remove(&request) {
                        self.starts[index].ended_at = Some(at);
                    }
                }
            }
        }
    }

    /// Adds the calls that a plain service ran.
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
        started_at: origin.to_run_time(entry.started_at),
        ended_at: entry.ended_at.map(|ended| origin.to_run_time(ended)),
    }
}
