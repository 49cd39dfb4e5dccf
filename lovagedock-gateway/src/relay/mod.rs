//! Configuration relay: executes the decisions of [`AdoptionState`].

mod role;
mod store;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use lovagedock::{
    AdoptionAction, AdoptionEvent, AdoptionLimits, AdoptionState, ConfigBundle, ProcessId,
    PullAnswer, RelayRole, prelude::*,
};
use lovagedock_wire::PeerClient;
use slog::{Logger, debug, info, warn};
use tokio::{
    sync::{
        Notify,
        mpsc::{UnboundedReceiver, UnboundedSender},
    },
    task::spawn_local,
    time::sleep,
};

pub(crate) use role::seed_name;
pub(crate) use store::{StoreReader, StoreRequest};

use crate::{
    adopt::{AdoptError, ConfigAdopter},
    context::GatewayContext,
    peers::{CALL_TIMEOUT, PeerClients},
};
use role::relay_role;

/// Shortest sleep before a tick; timers have a resolution of a millisecond.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Dependencies of the relay.
pub(crate) struct RelayParts {
    /// Configuration and fleet.
    pub(crate) context: GatewayContext,
    /// Puts configurations in force.
    pub(crate) adopter: Arc<ConfigAdopter>,
    /// Sessions to other gateways.
    pub(crate) clients: Rc<PeerClients>,
    /// Gateways to ask while no configuration is in force.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Requests to the store; their results arrive as events.
    pub(crate) store_requests: UnboundedSender<StoreRequest>,
    /// Log.
    pub(crate) log: Logger,
}

/// The relay of one gateway; runs on the peer thread.
pub(crate) struct ConfigRelay {
    parts: RelayParts,
    state: RefCell<AdoptionState>,
    role: RefCell<RelayRole>,
    wake_at: Cell<Option<Timestamp>>,
    rescheduled: Notify,
}

impl ConfigRelay {
    /// Creates a relay without a configuration.
    pub(crate) fn new(parts: RelayParts) -> Self {
        let seed = parts.context.incarnation;
        Self {
            parts,
            state: RefCell::new(AdoptionState::new(AdoptionLimits::default(), seed)),
            role: RefCell::default(),
            wake_at: Cell::new(None),
            rescheduled: Notify::new(),
        }
    }

    /// Handles events and ticks; never returns.
    pub(crate) async fn run(self: Rc<Self>, mut events: UnboundedReceiver<AdoptionEvent>) {
        self.update_role();
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle_event(event),
                () = self.sleep_until_wake() => self.tick(),
                () = self.rescheduled.notified() => {}
            }
        }
    }

    /// Handles a configuration that a peer pushed; returns the generation that this gateway has
    /// afterwards.
    pub(crate) fn handle_push(
        self: &Rc<Self>,
        from: ProcessId,
        bundle: ConfigBundle,
    ) -> Generation {
        self.handle_event(AdoptionEvent::Pushed { from, bundle });
        self.state.borrow().generation()
    }

    /// Records the generation that a peer has.
    pub(crate) fn record_peer_generation(self: &Rc<Self>, from: ProcessId, generation: Generation) {
        self.handle_event(AdoptionEvent::PeerReported { from, generation });
    }

    /// Answers the pull of a peer that has generation `above`.
    pub(crate) fn answer_pull(&self, above: Generation) -> PullAnswer {
        self.state.borrow().answer_pull(above)
    }

    fn handle_event(self: &Rc<Self>, event: AdoptionEvent) {
        let now = self.parts.context.clock.now();
        let actions = self.state.borrow_mut().handle(now, event);
        let mut has_adopted = false;
        for action in actions {
            has_adopted |= matches!(action, AdoptionAction::Adopt { .. });
            self.execute(action);
        }
        self.publish_status();
        if has_adopted {
            self.update_role();
        }
    }

    fn execute(self: &Rc<Self>, action: AdoptionAction) {
        match action {
            AdoptionAction::ReadRoot => self.send_store_request(StoreRequest::ReadRoot),
            AdoptionAction::WatchRoot { above } => {
                self.send_store_request(StoreRequest::WatchRoot { above })
            }
            AdoptionAction::ReadChunk { hash } => {
                self.send_store_request(StoreRequest::ReadChunk { hash })
            }
            AdoptionAction::Push { to, bundle } => {
                spawn_local(Rc::clone(self).push(to, bundle));
            }
            AdoptionAction::Offer { to, generation } => {
                spawn_local(Rc::clone(self).offer(to, generation));
            }
            AdoptionAction::Pull { from, above } => {
                spawn_local(Rc::clone(self).pull(from, above));
            }
            AdoptionAction::Adopt {
                generation, source, ..
            } => {
                info!(self.parts.log, "newer configuration received";
                    "generation" => generation, "source" => format!("{source:?}"));
                self.apply_config(generation);
            }
            AdoptionAction::Rejected { from, error } => {
                warn!(self.parts.log, "configuration from a peer rejected";
                    "peer" => &*from, "error" => format!("{error:?}"));
            }
            AdoptionAction::WakeAt(at) => {
                self.wake_at.set(Some(at));
                self.rescheduled.notify_one();
            }
        }
    }

    fn send_store_request(&self, request: StoreRequest) {
        // The send fails only if the gateway is stopping.
        let _gone = self.parts.store_requests.send(request);
    }

    /// Puts the received configuration in force.
    ///
    /// A configuration that this gateway is too old to parse is still kept for the peers, since
    /// newer gateways below it in the relay tree depend on it. Requests continue under the
    /// configuration in force.
    fn apply_config(&self, generation: Generation) {
        let Some(text) = self.state.borrow().text() else {
            return;
        };
        match self.parts.adopter.adopt(generation, text) {
            Ok(()) | Err(AdoptError::NotNewer) => {}
            Err(AdoptError::Malformed(detail)) => self.parts.adopter.log_rejected(&detail),
        }
    }

    fn update_role(self: &Rc<Self>) {
        let context = &self.parts.context;
        let active = context.config.load_full();
        let role = relay_role(&active.fleet, &context.name, &self.parts.seeds);
        if *self.role.borrow() != role {
            self.role.replace(role.clone());
            self.handle_event(AdoptionEvent::Role(role));
        }
    }

    fn publish_status(&self) {
        let status = self.state.borrow().status();
        let adoption = &self.parts.context.adoption;
        if **adoption.load() != status {
            adoption.store(Arc::new(status));
        }
    }

    async fn sleep_until_wake(&self) {
        let Some(wake_at) = self.wake_at.get() else {
            return std::future::pending().await;
        };
        let now = self.parts.context.clock.now();
        sleep(wake_at.saturating_sub(now).max(MIN_SLEEP)).await;
    }

    fn tick(self: &Rc<Self>) {
        let now = self.parts.context.clock.now();
        if self.wake_at.get().is_some_and(|at| at <= now) {
            self.wake_at.set(None);
        }
        self.handle_event(AdoptionEvent::Tick);
    }

    async fn push(self: Rc<Self>, to: ProcessId, bundle: ConfigBundle) {
        let call = async |client: &PeerClient| client.push(&bundle, CALL_TIMEOUT).await;
        let event = match self.parts.clients.call(&to, call).await {
            Ok(generation) => AdoptionEvent::PushAnswered { to, generation },
            Err(error) => {
                debug!(self.parts.log, "push to a peer failed"; "peer" => &*to, "error" => %error);
                AdoptionEvent::PushFailed { to }
            }
        };
        self.handle_event(event);
    }

    async fn offer(self: Rc<Self>, to: ProcessId, generation: Generation) {
        let call = async |client: &PeerClient| client.offer(generation, CALL_TIMEOUT).await;
        if let Err(error) = self.parts.clients.call(&to, call).await {
            debug!(self.parts.log, "offer to a peer failed"; "peer" => &*to, "error" => %error);
        }
    }

    async fn pull(self: Rc<Self>, from: ProcessId, above: Generation) {
        let call = async |client: &PeerClient| client.pull(above, CALL_TIMEOUT).await;
        let answer = self.parts.clients.call(&from, call).await;
        if let Err(error) = &answer {
            debug!(self.parts.log, "pull from a peer failed"; "peer" => &*from, "error" => %error);
        }
        let answer = answer.ok();
        self.handle_event(AdoptionEvent::Pulled { from, answer });
    }
}
