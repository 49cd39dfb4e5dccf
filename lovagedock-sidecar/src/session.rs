//! Handles the calls of one gateway's session.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use lovagedock::{AttemptKey, EndpointEvent, RevokeVerdict, WorkOrder, prelude::*};
use lovagedock_wire::{
    AnswerSender, ConfigMessage, EndpointHandler, LoadMessage, OrderMessage, OrderReply,
    PROTOCOL_VERSION, PeerIdentity, ReserveReply, SegmentRange, SegmentReply, SubmitReply,
    WireError, WorkMessage,
};
use tokio::{sync::watch, task::spawn_local};

use crate::{
    answers::{SinkPosition, SinkStep},
    config::SidecarConfig,
    orders,
    report::LoadReporter,
    segment,
    state::{CoreReply, SidecarState},
};

/// Session of one gateway.
pub(crate) struct GatewaySession {
    state: Arc<SidecarState>,
    config: Arc<SidecarConfig>,
    reporter: Rc<LoadReporter>,
    last_activity_at: Cell<Timestamp>,
    sinks: Rc<RefCell<Vec<SinkPosition>>>,
}

impl GatewaySession {
    /// Creates a session for a connection that was just accepted.
    pub(crate) fn new(
        state: Arc<SidecarState>,
        config: Arc<SidecarConfig>,
        reporter: Rc<LoadReporter>,
    ) -> Self {
        Self {
            last_activity_at: Cell::new(state.clock.now()),
            state,
            config,
            reporter,
            sinks: Rc::default(),
        }
    }

    /// Returns when no message has arrived for `idle_timeout`.
    ///
    /// A gateway whose host vanished does not close its connection. Its requests would continue to
    /// use engine time and their answers would continue to use memory although nobody reads them.
    /// The missing messages are the only sign.
    pub(crate) async fn wait_until_idle(&self, idle_timeout: Duration) {
        loop {
            let idle_time = self
                .state
                .clock
                .now()
                .saturating_sub(self.last_activity_at.get());
            if idle_time >= idle_timeout {
                return;
            }
            tokio::time::sleep(idle_timeout - idle_time).await;
        }
    }

    /// Reports to the core that no connection receives the answers of this session any more.
    pub(crate) fn close(&self) {
        for position in self.sinks.borrow_mut().drain(..) {
            report_lost_sink(&self.state, &position);
        }
    }

    fn record_activity(&self) {
        self.last_activity_at.set(self.state.clock.now());
    }

    fn attach(&self, key: AttemptKey, offset: u64, sender: AnswerSender) {
        let attached = self.state.answers().attach(key, offset);
        let Some((position, changes)) = attached else {
            return;
        };
        self.sinks.borrow_mut().push(position.clone());
        let pump = SinkPump {
            state: Arc::clone(&self.state),
            sinks: Rc::clone(&self.sinks),
            sender,
            changes,
        };
        spawn_local(pump.run(position));
    }
}

impl EndpointHandler for GatewaySession {
    fn hello(&self, _gateway: PeerIdentity) -> PeerIdentity {
        self.record_activity();
        PeerIdentity {
            version: PROTOCOL_VERSION,
            name: self.state.endpoint.to_string(),
            incarnation: self.state.incarnation,
            generation: self.config.generation(),
            fleet: self.state.fleet.clone(),
        }
    }

    fn submit(
        &self,
        work: WorkMessage,
        sender: AnswerSender,
    ) -> impl Future<Output = SubmitReply> + 'static {
        self.record_activity();
        let key = work.key;
        let order = work_order(&work);
        let known = self.state.answers().contains(key.request);
        self.state.answers().insert(work);
        let reply = match self.state.decide(EndpointEvent::Submit(order)) {
            Some(CoreReply::Refused(end)) => {
                if !known {
                    self.state.answers().remove(key.request);
                }
                SubmitReply::Refused(end)
            }
            _ => {
                self.attach(key, 0, sender);
                SubmitReply::Accepted
            }
        };
        async move { reply }
    }

    fn resume(&self, key: AttemptKey, offset: u64, sender: AnswerSender) -> bool {
        self.record_activity();
        match self.state.decide(EndpointEvent::Resume { key, offset }) {
            Some(CoreReply::ResumeFrom(offset)) => {
                self.attach(key, offset, sender);
                true
            }
            _ => false,
        }
    }

    fn revoke(&self, key: AttemptKey) -> RevokeVerdict {
        self.record_activity();
        match self.state.decide(EndpointEvent::Revoke(key)) {
            Some(CoreReply::Verdict(verdict)) => verdict,
            // The core returns a verdict for every revoke. If there were none, it would be unknown
            // whether the attempt ran.
            _ => RevokeVerdict::OtherIncarnation,
        }
    }

    fn cancel(&self, key: AttemptKey) {
        self.record_activity();
        self.state.decide(EndpointEvent::Cancel(key));
    }

    fn heartbeat(&self, _sequence: u64, _generation: Generation) -> LoadMessage {
        self.record_activity();
        self.reporter.report(&self.state, &self.config)
    }

    fn configure(&self, message: ConfigMessage) -> Generation {
        self.record_activity();
        self.config.apply(&self.state, message)
    }

    fn reserve(&self, key: AttemptKey, tokens: TokenCount, hold: Duration) -> ReserveReply {
        self.record_activity();
        let event = EndpointEvent::Reserve { key, tokens, hold };
        match self.state.decide(event) {
            Some(CoreReply::Granted(free_tokens)) => ReserveReply {
                granted: true,
                free_tokens,
            },
            Some(CoreReply::NotGranted(free_tokens)) => ReserveReply {
                granted: false,
                free_tokens,
            },
            _ => ReserveReply {
                granted: false,
                free_tokens: 0,
            },
        }
    }

    fn release(&self, key: AttemptKey) {
        self.record_activity();
        self.state.decide(EndpointEvent::Release(key));
    }

    fn segment(
        &self,
        work: WorkMessage,
        range: SegmentRange,
    ) -> impl Future<Output = SegmentReply> + 'static {
        self.record_activity();
        let state = Arc::clone(&self.state);
        let bytes_per_token = self.config.bytes_per_token();
        async move { segment::prefill(&state, &work, range, bytes_per_token).await }
    }

    fn drain(&self, draining: bool) -> u32 {
        self.record_activity();
        self.state.decide(EndpointEvent::Drain(draining));
        let load = self.state.read(lovagedock::EndpointCore::load);
        (load.queued + load.running) as u32
    }

    fn order(&self, message: OrderMessage) -> impl Future<Output = OrderReply> + 'static {
        self.record_activity();
        let state = Arc::clone(&self.state);
        let rejection = self.config.rejection(&message);
        async move {
            match rejection {
                Some(detail) => state.orders.refuse(&message.pool, detail),
                None => orders::handle(&state, message).await,
            }
        }
    }
}

/// Task that sends one answer to one gateway.
struct SinkPump {
    state: Arc<SidecarState>,
    sinks: Rc<RefCell<Vec<SinkPosition>>>,
    sender: AnswerSender,
    changes: watch::Receiver<()>,
}

impl SinkPump {
    async fn run(mut self, mut position: SinkPosition) {
        let sent = self.send_all(&mut position).await;
        self.sinks
            .borrow_mut()
            .retain(|other| other.request != position.request || other.sink_id != position.sink_id);
        if sent.is_err() {
            report_lost_sink(&self.state, &position);
        }
        self.state.answers().detach(&position);
    }

    async fn send_all(&mut self, position: &mut SinkPosition) -> Result<(), WireError> {
        loop {
            // Marked before the state is read, so that a change between the read and the wait is
            // not missed.
            self.changes.mark_unchanged();
            let step = self.state.answers().next_step(position);
            match step {
                SinkStep::Stop => return Ok(()),
                SinkStep::Head(head) => {
                    self.sender.head(&head).await?;
                    position.head_sent = true;
                }
                SinkStep::Bytes(bytes) => {
                    self.sender.chunk(position.offset, &bytes).await?;
                    position.offset += bytes.len() as u64;
                }
                SinkStep::End(end) => {
                    self.sender.done(&end).await?;
                    self.state.answers().set_delivered(position);
                    return Ok(());
                }
                SinkStep::Wait => {
                    // An error means that the request was removed. The next call of `next_step`
                    // then returns `Stop`.
                    let _request_forgotten = self.changes.changed().await;
                }
            }
        }
    }
}

fn report_lost_sink(state: &Arc<SidecarState>, position: &SinkPosition) {
    if !state.answers().is_current(position) {
        return;
    }
    let key = state.read(|core| core.current_attempt(position.request));
    if let Some(key) = key {
        state.decide(EndpointEvent::SinkLost(key));
    }
}

fn work_order(work: &WorkMessage) -> WorkOrder {
    WorkOrder {
        key: work.key,
        service: work.service.clone(),
        organisation: work.organisation.clone(),
        tier: work.tier,
        weight: work.weight,
        remaining: work.remaining,
        prompt_tokens: work.prompt_tokens,
        answer_tokens: work.answer_tokens,
        non_idempotent: work.non_idempotent,
        predicted: work.predicted,
        span: work
            .span
            .iter()
            .map(|holder| holder.locator.as_str().into())
            .collect(),
    }
}
