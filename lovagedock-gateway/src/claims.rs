//! Carries out what claim partitions decide about keyed requests.
//!
//! Each partition is a task of its own, which owns its machine and carries its store calls out one
//! after the other, so that a slow call of one partition holds up no other.

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

/// Partitions of all claims; the same at all gateways.
const CLAIM_PARTITIONS: u32 = 16;
/// Least time between two writes of a partition by one gateway: what arrives meanwhile shares one
/// write, and the store's rate is kept whatever the load.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// What becomes of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimAnswer {
    /// It may run, once.
    Granted,
    /// It ran before; this is the recorded answer.
    Replay(Bytes),
    /// It may not run.
    Refused(ResultCode),
}

/// Where keyed requests are claimed and their answers recorded; cheap to clone.
#[derive(Clone)]
pub(crate) struct ClaimDesk {
    map: PartitionMap,
    partitions: Arc<[mpsc::UnboundedSender<DeskCall>]>,
}

enum DeskCall {
    Claim {
        claim: ClaimRequest,
        reply: oneshot::Sender<ClaimAnswer>,
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

impl ClaimDesk {
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
                claims: HashMap::new(),
                records: HashMap::new(),
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

    /// Claims a key; waits for the store, or for the answer of another request with the key, until
    /// the claim's deadline.
    pub(crate) async fn claim(&self, claim: ClaimRequest) -> ClaimAnswer {
        let (reply, answer) = oneshot::channel();
        self.send(claim.key, DeskCall::Claim { claim, reply });
        let unavailable = ClaimAnswer::Refused(ResultCode::ClaimUnavailable);
        answer.await.unwrap_or(unavailable)
    }

    /// Records the answer of a granted request; whether it is in the store.
    pub(crate) async fn record(
        &self,
        key: KeyHash,
        request: RequestId,
        answer: Bytes,
        deadline: Timestamp,
    ) -> bool {
        let (reply, recorded) = oneshot::channel();
        let call = DeskCall::Record {
            key,
            request,
            answer,
            deadline,
            reply,
        };
        self.send(key, call);
        recorded.await.unwrap_or(false)
    }

    /// Gives a claim back whose request certainly did not run.
    pub(crate) fn abandon(&self, key: KeyHash, request: RequestId) {
        self.send(key, DeskCall::Abandon { key, request });
    }

    /// Forgets a claim that is not granted yet.
    pub(crate) fn withdraw(&self, key: KeyHash, request: RequestId) {
        self.send(key, DeskCall::Withdraw { request });
    }

    fn send(&self, key: KeyHash, call: DeskCall) {
        let partition = self.map.partition_of(&key) as usize;
        // The task lives as long as its sender.
        let _ended = self.partitions[partition].send(call);
    }
}

struct PartitionTask {
    machine: ClaimPartition,
    store: Arc<dyn ObjectStore>,
    clock: ProcessClock,
    claims: HashMap<RequestId, oneshot::Sender<ClaimAnswer>>,
    records: HashMap<RequestId, oneshot::Sender<bool>>,
    wake: WakeTimer,
}

enum StoreWork {
    Read(ObjectName),
    Write(ObjectName, WriteCondition, Bytes, WriteNonce),
    Delete(ObjectName, WriteNonce),
}

impl PartitionTask {
    async fn run(mut self, mut calls: mpsc::UnboundedReceiver<DeskCall>) {
        let (done, mut finished) = mpsc::unbounded_channel();
        loop {
            let wake = self.wake.next(self.clock.now(), LONGEST_SLEEP);
            let wake = self.clock.instant_at(wake);
            let event = tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.event(call),
                    None => return,
                },
                Some(event) = finished.recv() => event,
                () = sleep_until(wake.into()) => ClaimEvent::Tick,
            };
            for work in self.decide(event) {
                let store = Arc::clone(&self.store);
                let done = done.clone();
                tokio::spawn(async move {
                    // The partition has ended when nobody hears this.
                    let _ended = done.send(carry_out(&*store, work).await);
                });
            }
        }
    }

    fn event(&mut self, call: DeskCall) -> ClaimEvent {
        match call {
            DeskCall::Claim { claim, reply } => {
                self.claims.insert(claim.request, reply);
                ClaimEvent::Claim(claim)
            }
            DeskCall::Record {
                key,
                request,
                answer,
                deadline,
                reply,
            } => {
                self.records.insert(request, reply);
                ClaimEvent::Record {
                    key,
                    request,
                    answer,
                    deadline,
                }
            }
            DeskCall::Abandon { key, request } => ClaimEvent::Abandon { key, request },
            DeskCall::Withdraw { request } => {
                self.claims.remove(&request);
                ClaimEvent::Withdraw { request }
            }
        }
    }

    fn decide(&mut self, event: ClaimEvent) -> Vec<StoreWork> {
        let mut work = Vec::new();
        let now = self.clock.now();
        self.wake.clear_if_due(now);
        for action in self.machine.handle(now, event) {
            match action {
                ClaimAction::Read { object } => work.push(StoreWork::Read(object)),
                ClaimAction::Write {
                    object,
                    condition,
                    bytes,
                    nonce,
                } => work.push(StoreWork::Write(object, condition, bytes, nonce)),
                ClaimAction::Delete { object, nonce } => {
                    work.push(StoreWork::Delete(object, nonce));
                }
                ClaimAction::Grant { request } => self.answer(request, ClaimAnswer::Granted),
                ClaimAction::Replay { request, answer } => {
                    self.answer(request, ClaimAnswer::Replay(answer));
                }
                ClaimAction::InProgress { .. } => {}
                ClaimAction::Refuse { request, code } => {
                    self.answer(request, ClaimAnswer::Refused(code));
                }
                ClaimAction::Recorded { request } => self.recorded(request, true),
                ClaimAction::NotRecorded { request } => self.recorded(request, false),
                ClaimAction::WakeAt(at) => self.wake.set(at),
            }
        }
        work
    }

    fn answer(&mut self, request: RequestId, answer: ClaimAnswer) {
        if let Some(reply) = self.claims.remove(&request) {
            let _caller_gone = reply.send(answer);
        }
    }

    fn recorded(&mut self, request: RequestId, recorded: bool) {
        if let Some(reply) = self.records.remove(&request) {
            let _caller_gone = reply.send(recorded);
        }
    }
}

/// Longest sleep between looks at the wake time.
const LONGEST_SLEEP: Duration = Duration::from_secs(3_600);

async fn carry_out(store: &dyn ObjectStore, work: StoreWork) -> ClaimEvent {
    let purpose = CallPurpose::Claim;
    match work {
        StoreWork::Read(object) => {
            let outcome = store_calls::read(store, &object, purpose).await;
            ClaimEvent::StoreReadEnded { object, outcome }
        }
        StoreWork::Write(object, condition, bytes, nonce) => {
            let outcome = store_calls::write(store, &object, bytes, condition, purpose).await;
            ClaimEvent::StoreWriteEnded { nonce, outcome }
        }
        StoreWork::Delete(object, nonce) => {
            let outcome = store_calls::delete(store, &object, purpose).await;
            ClaimEvent::StoreWriteEnded { nonce, outcome }
        }
    }
}
