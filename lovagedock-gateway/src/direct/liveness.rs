//! Tells an endpoint that is gone from one that is slow.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use lovagedock::{DirectEndpoint, EndpointProcess, RequestFingerprint, prelude::*};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use super::{exchange::EndpointConnection, state::GatewayState};

/// An endpoint that sent anything to anybody within this time is there.
const RECENT_ACTIVITY: Duration = Duration::from_millis(600);

/// Time between two looks at an endpoint that is there but silent to this request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for a look at a process after a connection to it broke. One that has ended is known at once,
/// since its host refuses the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// What a look at an endpoint's address says of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// It takes connections.
    Running,
    /// Its host is there and nobody listens.
    Ended,
    /// Nobody answers: host or path may be at fault.
    Unreachable,
}

/// Looks whether the process at an address is there.
pub(crate) async fn probe_process(address: SocketAddr) -> ProcessState {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProcessState::Running,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProcessState::Ended,
        Ok(Err(_)) | Err(_) => ProcessState::Unreachable,
    }
}

/// Waits for endpoints' silence to mean something.
///
/// An engine under load is silent to one request for seconds while it reads prompts of others. Given
/// up, all that it has read is lost, and reading it again elsewhere makes the load worse. An engine
/// that is gone neither sends to others nor takes a connection.
#[derive(Clone)]
pub(crate) struct LivenessWatch {
    state: Arc<GatewayState>,
    service: ServiceId,
    endpoint: EndpointProcess,
    address: SocketAddr,
    fingerprint: RequestFingerprint,
}

impl LivenessWatch {
    /// A watch of an endpoint that has a request.
    pub(crate) fn new(
        state: Arc<GatewayState>,
        service: ServiceId,
        endpoint: DirectEndpoint,
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            state,
            service,
            endpoint: endpoint.process,
            address: endpoint.address,
            fingerprint,
        }
    }

    /// Records that the endpoint sent something.
    pub(crate) fn record_activity(&self) {
        self.state.record_activity(&self.service, &self.endpoint);
    }

    /// Records the gap between two events of the endpoint's answer.
    pub(crate) fn record_event_gap(&self, gap: Duration) {
        self.state
            .record_event_gap(&self.service, &self.endpoint, gap);
    }

    /// Ends when the endpoint, silent to this request until `patience`, is found to be gone, and at
    /// `limit` at the latest; at once when another process has taken its place.
    ///
    /// A process that lost power ends no connection, and the next one at its address takes new ones:
    /// asked whether it is there, it says yes, and the request would wait for nobody until `limit`.
    ///
    /// Ends as well when the request is put into quarantine: an engine that has not begun to run it is
    /// spared when its connection ends.
    pub(crate) async fn wait_until_unresponsive(&self, recheck_at: Instant, limit: Instant) {
        tokio::select! {
            () = self.wait_until_gone(recheck_at, limit) => {}
            () = self.wait_until_replaced() => {}
            () = self.wait_until_quarantined() => {}
        }
    }

    async fn wait_until_quarantined(&self) {
        loop {
            let mut quarantined = std::pin::pin!(self.state.quarantined());
            quarantined.as_mut().enable();
            if self.state.quarantined_for(self.fingerprint).is_some() {
                return;
            }
            quarantined.await;
        }
    }

    async fn wait_until_replaced(&self) {
        loop {
            let mut restarted = std::pin::pin!(self.state.restarted());
            restarted.as_mut().enable();
            if self.state.is_replaced(&self.endpoint) {
                return;
            }
            restarted.await;
        }
    }

    async fn wait_until_gone(&self, recheck_at: Instant, limit: Instant) {
        let mut until = recheck_at.min(limit);
        loop {
            sleep_until(until).await;
            if until >= limit || !self.is_alive().await {
                return;
            }
            until = (Instant::now() + RECHECK_INTERVAL).min(limit);
        }
    }

    /// The process that is watched.
    pub(crate) fn endpoint(&self) -> &EndpointProcess {
        &self.endpoint
    }

    /// The time by which [`heard_since`](Self::heard_since) goes.
    pub(crate) fn now(&self) -> Timestamp {
        self.state.clock.now()
    }

    /// Whether the process sent anything to this gateway after `since`.
    pub(crate) fn was_active_since(&self, since: Timestamp) -> bool {
        let last_activity = self.state.last_activity(&self.service, &self.endpoint.id);
        last_activity > since && !self.state.is_replaced(&self.endpoint)
    }

    /// Whether the process was heard a moment ago or somebody takes a connection at its address; not
    /// if another one is known to have its place.
    pub(crate) async fn is_alive(&self) -> bool {
        if self.state.is_replaced(&self.endpoint) {
            return false;
        }
        let now = self.state.clock.now();
        let last_activity = self.state.last_activity(&self.service, &self.endpoint.id);
        if last_activity > Timestamp::ZERO && now.saturating_sub(last_activity) < RECENT_ACTIVITY {
            return true;
        }
        EndpointConnection::open(self.address).await.is_ok()
    }
}
