//! Sends each planned call at its planned time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lovagedock::Timestamp;
use lovagedock_daemon::ProcessClock;
use tokio::{task::JoinSet, time};

use super::{
    caller::CallerClient,
    journal::{CallOutcome, CallRecord, CallerJournal},
    message::CallMessage,
    mix::MixSpec,
    schedule::PlannedCall,
};

/// Time before the planned time at which the message of a call is built, so that building a large
/// body does not delay the call.
const PREPARATION_LEAD: Duration = Duration::from_millis(300);

/// Counters of a run in progress, for display.
#[derive(Debug, Default)]
pub struct RunProgress {
    planned: AtomicU64,
    sent: AtomicU64,
    complete: AtomicU64,
    ended: AtomicU64,
}

impl RunProgress {
    /// Formats the counters as one line for a terminal.
    pub fn status_line(&self) -> String {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (sent, ended, complete) = (get(&self.sent), get(&self.ended), get(&self.complete));
        format!(
            "sent {sent}/{}  in flight {}  complete {complete}  other {}",
            get(&self.planned),
            sent.saturating_sub(ended),
            ended.saturating_sub(complete),
        )
    }

    fn record_outcome(&self, record: &CallRecord) {
        self.ended.fetch_add(1, Ordering::Relaxed);
        if record.outcome == CallOutcome::Complete {
            self.complete.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends the calls of a plan.
pub struct LoadRunner {
    mix: Arc<MixSpec>,
    client: Arc<CallerClient>,
    clock: ProcessClock,
    progress: Arc<RunProgress>,
}

impl LoadRunner {
    /// Creates a runner; `clock` must be the clock of the client.
    pub fn new(mix: MixSpec, client: CallerClient, clock: ProcessClock) -> Self {
        Self {
            mix: Arc::new(mix),
            client: Arc::new(client),
            clock,
            progress: Arc::new(RunProgress::default()),
        }
    }

    /// Counters of the run; they can be read while it is in progress.
    pub fn progress(&self) -> Arc<RunProgress> {
        self.progress.clone()
    }

    /// Sends all calls and waits for their outcomes. `start` is the time on the clock at which the
    /// plan starts.
    pub async fn run(&self, plan: Vec<PlannedCall>, start: Timestamp) -> CallerJournal {
        let planned = plan.len() as u64;
        self.progress.planned.store(planned, Ordering::Relaxed);
        let mut tasks = JoinSet::new();
        for call in plan {
            let intended_at = start + call.at;
            self.sleep_until(intended_at.saturating_sub(PREPARATION_LEAD))
                .await;
            tasks.spawn(self.run_call(call, intended_at));
        }
        let mut calls = tasks.join_all().await;
        calls.sort_by_key(|call| call.number);
        CallerJournal { calls }
    }

    fn run_call(
        &self,
        call: PlannedCall,
        intended_at: Timestamp,
    ) -> impl Future<Output = CallRecord> + Send + 'static {
        let mix = self.mix.clone();
        let client = self.client.clone();
        let progress = self.progress.clone();
        let clock = self.clock;
        async move {
            let prepared = {
                let mix = mix.clone();
                let call = call.clone();
                tokio::task::spawn_blocking(move || CallMessage::new(&mix, &call)).await
            };
            let message = prepared.expect("building the message of a call does not panic");
            sleep_until(&clock, intended_at).await;
            progress.sent.fetch_add(1, Ordering::Relaxed);
            let record = client.call(&mix, &call, message, intended_at).await;
            progress.record_outcome(&record);
            record
        }
    }

    async fn sleep_until(&self, at: Timestamp) {
        sleep_until(&self.clock, at).await;
    }
}

async fn sleep_until(clock: &ProcessClock, at: Timestamp) {
    time::sleep(at.saturating_sub(clock.now())).await;
}
