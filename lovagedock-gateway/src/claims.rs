//! Executes the decisions of claim partitions about requests with idempotency keys.
//!
//! Each partition is its own task, which owns its state machine and starts the store calls that the
//! machine asks for, so that a slow call of one partition does not delay another.
//!
//! The state machine starts a read or write of the partition's object only after the previous one
//! has ended, with a time-out counted as an end. After a write with an unknown outcome it reads the
//! object before it writes again. Writes are conditional on the version that they replace, so two
//! concurrent writes of the same gateway would conflict; instead, operations that arrive during a
//! call share the next write. Reads, writes and deletions of the parts of large answers, which are
//! objects of their own, may run at the same time.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{
    ClaimAction, ClaimEvent, ClaimLimits, ClaimPartition, ClaimRequest, KeyHash, ObjectName,
    PartitionMap, WakeTimer, WriteCondition, WriteNonce, prelude::*,
};
use lovagedock_daemon::ProcessClock;
use lovagedock_platform::{CallPurpose, ObjectStore};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep_until,
};

use crate::store_calls;

/// Number of claim partitions; must be the same at all gateways.
const CLAIM_PARTITIONS: u32 = 16;
/// Minimum time between two writes of a partition by one gateway. Changes that arrive in between
/// share one write, so that the write rate stays bounded at any load.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// The request may run, once.
    Granted,
    /// A request with the key has run before; this is its recorded answer.
    Replay(Bytes),
    /// The request may not run.
    Refused(ResultCode),
}

/// Claims idempotency keys and records the answers of their requests; cheap to clone.
#[derive(Clone)]
pub(crate) struct ClaimCoordinator {
    map: PartitionMap,
    partitions: Arc<[mpsc::UnboundedSender<PartitionCommand>]>,
}

enum PartitionCommand {
    Claim {
        claim: ClaimRequest,
        reply: oneshot::Sender<ClaimOutcome>,
    },
    Record {
        key: KeyHash,
        request: RequestId,
        answer: Bytes,
        deadline: Timestamp,
        reply: oneshot::Sender<bool>,
    },
    Abandon {
        key: KeyHash,
        request: RequestId,
    },
    Withdraw {
        request: RequestId,
    },
}

impl ClaimCoordinator {
    /// Starts a task for each partition; they end when the last clone is dropped.
    pub(crate) fn start(
        owner: Incarnation,
        store: &Arc<dyn ObjectStore>,
        clock: ProcessClock,
    ) -> Self {
        let map = PartitionMap::new(CLAIM_PARTITIONS);
        let limits = ClaimLimits {
            write_interval: WRITE_INTERVAL,
            ..ClaimLimits::default()
        };
        let partitions = (0..map.count()).map(|index| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let task = PartitionTask {
                machine: ClaimPartition::new(index, owner, limits.clone()),
                store: Arc::clone(store),
                clock,
                claim_replies: HashMap::new(),
                record_replies: HashMap::new(),
                wake: WakeTimer::new(),
            };
            tokio::spawn(task.run(receiver));
            sender
        });
        Self {
            map,
            partitions: partitions.collect(),
        }
    }

    /// Claims a key. Waits for the store, or for the answer of another request with the same key,
    /// until the claim's deadline.
    pub(crate) async fn claim(&self, claim: ClaimRequest) -> ClaimOutcome {
        let (reply, outcome) = oneshot::channel();
        self.send(claim.key, PartitionCommand::Claim { claim, reply });
        let unavailable = ClaimOutcome::Refused(ResultCode::ClaimUnavailable);
        outcome.await.unwrap_or(unavailable)
    }

    /// Records the answer of a granted request; returns whether it was stored.
    pub(crate) async fn record_answer(
        &self,
        key: KeyHash,
        request: RequestId,
        answer: Bytes,
        deadline: Timestamp,
    ) -> bool {
        let (reply, recorded) = oneshot::channel();
        let command = PartitionCommand::Record {
            key,
            request,
            answer,
            deadline,
            reply,
        };
        self.send(key, command);
        recorded.await.unwrap_or(false)
    }

    /// Releases a claim whose request certainly did not run.
    pub(crate) fn abandon_claim(&self, key: KeyHash, request: RequestId) {
        self.send(key, PartitionCommand::Abandon { key, request });
    }

    /// Withdraws a claim that was not granted yet.
    pub(crate) fn withdraw_claim(&self, key: KeyHash, request: RequestId) {
        self.send(key, PartitionCommand::Withdraw { request });
    }

    fn send(&self, key: KeyHash, command: PartitionCommand) {
        let partition = self.map.partition_of(&key) as usize;
        // The task runs as long as its sender exists.
        let _ended = self.partitions[partition].send(command);
    }
}

struct PartitionTask {
    machine: ClaimPartition,
    store: Arc<dyn ObjectStore>,
    clock: ProcessClock,
    claim_replies: HashMap<RequestId, oneshot::Sender<ClaimOutcome>>,
    record_replies: HashMap<RequestId, oneshot::Sender<bool>>,
    wake: WakeTimer,
}

enum StoreCall {
    Read(ObjectName),
    Write(ObjectName, WriteCondition, Bytes, WriteNonce),
    Delete(ObjectName, WriteNonce),
}

impl PartitionTask {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<PartitionCommand>) {
        let (event_sender, mut store_events) = mpsc::unbounded_channel();
        loop {
            let wake = self.wake.next(self.clock.now(), MAX_SLEEP);
            let wake = self.clock.instant_at(wake);
            let event = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.claim_event(command),
                    None => return,
                },
                Some(event) = store_events.recv() => event,
                () = sleep_until(wake.into()) => ClaimEvent::Tick,
            };
            for call in self.handle_event(event) {
                let store = Arc::clone(&self.store);
                let event_sender = event_sender.clone();
                tokio::spawn(async move {
                    // The send fails only if the partition task has ended.
                    let _ended = event_sender.send(execute(&*store, call).await);
                });
            }
        }
    }

    fn claim_event(&mut self, command: PartitionCommand) -> ClaimEvent {
        match command {
            PartitionCommand::Claim { claim, reply } => {
                self.claim_replies.insert(claim.request, reply);
                ClaimEvent::Claim(claim)
            }
            PartitionCommand::Record {
                key,
                request,
                answer,
                deadline,
                reply,
            } => {
                self.record_replies.insert(request, reply);
                ClaimEvent::Record {
                    key,
                    request,
                    answer,
                    deadline,
                }
            }
            PartitionCommand::Abandon { key, request } => ClaimEvent::Abandon { key, request },
            PartitionCommand::Withdraw { request } => {
                self.claim_replies.remove(&request);
                ClaimEvent::Withdraw { request }
            }
        }
    }

    fn handle_event(&mut self, event: ClaimEvent) -> Vec<StoreCall> {
        let mut calls = Vec::new();
        let now = self.clock.now();
        self.wake.clear_if_due(now);
        for action in self.machine.handle(now, event) {
            match action {
                ClaimAction::Read { object } => calls.push(StoreCall::Read(object)),
                ClaimAction::Write {
                    object,
                    condition,
                    bytes,
                    nonce,
                } => calls.push(StoreCall::Write(object, condition, bytes, nonce)),
                ClaimAction::Delete { object, nonce } => {
                    calls.push(StoreCall::Delete(object, nonce));
                }
                ClaimAction::Grant { request } => {
                    self.reply_to_claim(request, ClaimOutcome::Granted)
                }
                ClaimAction::Replay { request, answer } => {
                    self.reply_to_claim(request, ClaimOutcome::Replay(answer));
                }
                ClaimAction::InProgress { .. } => {}
                ClaimAction::Refuse { request, code } => {
                    self.reply_to_claim(request, ClaimOutcome::Refused(code));
                }
                ClaimAction::Recorded { request } => self.reply_to_record(request, true),
                ClaimAction::NotRecorded { request } => self.reply_to_record(request, false),
                ClaimAction::WakeAt(at) => self.wake.set(at),
            }
        }
        calls
    }

    fn reply_to_claim(&mut self, request: RequestId, outcome: ClaimOutcome) {
        if let Some(reply) = self.claim_replies.remove(&request) {
            let _caller_gone = reply.send(outcome);
        }
    }

    fn reply_to_record(&mut self, request: RequestId, recorded: bool) {
        if let Some(reply) = self.record_replies.remove(&request) {
            let _caller_gone = reply.send(recorded);
        }
    }
}

/// Maximum sleep before the wake time is checked again.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

async fn execute(store: &dyn ObjectStore, call: StoreCall) -> ClaimEvent {
    let purpose = CallPurpose::Claim;
    match call {
        StoreCall::Read(object) => {
            let outcome = store_calls::read(store, &object, purpose).await;
            ClaimEvent::StoreReadEnded { object, outcome }
        }
        StoreCall::Write(object, condition, bytes, nonce) => {
            let outcome = store_calls::write(store, &object, bytes, condition, purpose).await;
            ClaimEvent::StoreWriteEnded { nonce, outcome }
        }
        StoreCall::Delete(object, nonce) => {
            let outcome = store_calls::delete(store, &object, purpose).await;
            ClaimEvent::StoreWriteEnded { nonce, outcome }
        }
    }
}
