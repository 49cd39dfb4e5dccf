//! Distinguishes an endpoint that is gone from one that is slow.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use lovagedock::{
    DirectEndpoint, EndpointProcess, PartVerdict, PromptParts, RequestFingerprint, prelude::*,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use super::{exchange::EndpointConnection, state::GatewayState};

/// An endpoint that sent anything for any request within this time is alive.
const RECENT_ACTIVITY: Duration = Duration::from_millis(600);

/// Time between two probes of an endpoint that is alive but silent for this request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time limit for probing a process after a connection to it broke. A process that has ended is
/// detected immediately, since its host refuses the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// State of the process at an endpoint's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// The process accepts connections.
    Running,
    /// The endpoint's host responds, but no process listens at the address.
    Ended,
    /// There is no response; the host or the path may be at fault.
    Unreachable,
}

/// Probes the process at an address.
pub(crate) async fn probe_process(address: SocketAddr) -> ProcessState {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProcessState::Running,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProcessState::Ended,
        Ok(Err(_)) | Err(_) => ProcessState::Unreachable,
    }
}

/// Watches an endpoint that has a request and detects when it is gone.
///
/// An engine under load may be silent for one request for seconds while it prefills the prompts of
/// others. If it were abandoned, its work would be lost and repeating the prefill elsewhere would
/// increase the load. An engine that is gone neither sends events for other requests nor accepts
/// connections.
#[derive(Clone)]
pub(crate) struct LivenessWatch {
    state: Arc<GatewayState>,
    service: ServiceId,
    endpoint: EndpointProcess,
    address: SocketAddr,
    fingerprint: RequestFingerprint,
    parts: PromptParts,
}

impl LivenessWatch {
    /// Creates a watch of an endpoint that has a request.
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
            parts: PromptParts::new(),
        }
    }

    /// Sets the parts of the request's prompt.
    pub(crate) fn with_parts(mut self, parts: PromptParts) -> Self {
        self.parts = parts;
        self
    }

    /// Records that the endpoint writes the response, so that the parts do not end it.
    pub(crate) fn record_answering(&self) {
        self.state.record_answered(&self.parts);
    }

    /// Records that the endpoint sent something.
    pub(crate) fn record_activity(&self) {
        self.state.record_activity(&self.service, &self.endpoint);
    }

    /// Records the time between two events of the endpoint's response.
    pub(crate) fn record_event_gap(&self, gap: Duration) {
        self.state
            .record_event_gap(&self.service, &self.endpoint, gap);
    }

    /// Waits until the endpoint is found to be gone. It is probed from `recheck_at` on, and the
    /// wait ends at `limit` at the latest.
    ///
    /// Ends at once when another process has replaced the endpoint's process. A process that lost
    /// power closes no connection, and the next process at its address accepts new ones. Without
    /// this check the probe would succeed and the request would wait until `limit`.
    ///
    /// Ends as well when the request is put into quarantine. An engine that has not begun to run
    /// the request drops it when its connection is closed.
    pub(crate) async fn wait_until_unresponsive(&self, recheck_at: Instant, limit: Instant) {
        tokio::select! {
            () = self.wait_until_gone(recheck_at, limit) => {}
            () = self.wait_until_replaced() => {}
            () = self.wait_until_quarantined() => {}
        }
    }

    /// Waits like [`wait_until_unresponsive`](Self::wait_until_unresponsive) for an endpoint that
    /// writes the response. A part that is put into quarantine meanwhile does not concern it.
    pub(crate) async fn wait_while_answering(&self, recheck_at: Instant, limit: Instant) {
        let answering = Self {
            parts: PromptParts::new(),
            ..self.clone()
        };
        answering.wait_until_unresponsive(recheck_at, limit).await;
    }

    fn is_quarantined(&self) -> bool {
        let verdict = self.state.part_verdict(&self.parts);
        self.state.quarantined_for(self.fingerprint).is_some()
            || matches!(verdict, PartVerdict::Quarantined(_))
    }

    async fn wait_until_quarantined(&self) {
        loop {
            let mut quarantined = std::pin::pin!(self.state.request_quarantined());
            quarantined.as_mut().enable();
            if self.is_quarantined() {
                return;
            }
            quarantined.await;
        }
    }

    async fn wait_until_replaced(&self) {
        loop {
            let mut restarted = std::pin::pin!(self.state.endpoint_restarted());
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

    /// Returns the watched process.
    pub(crate) fn endpoint(&self) -> &EndpointProcess {
        &self.endpoint
    }

    /// Returns the current time of the clock that [`was_active_since`](Self::was_active_since)
    /// uses.
    pub(crate) fn now(&self) -> Timestamp {
        self.state.clock.now()
    }

    /// Returns whether the process sent anything to this gateway after `since`.
    pub(crate) fn was_active_since(&self, since: Timestamp) -> bool {
        let last_activity = self.state.last_activity(&self.service, &self.endpoint.id);
        last_activity > since && !self.state.is_replaced(&self.endpoint)
    }

    /// Returns whether the process was active recently or its address accepts connections. Returns
    /// false if another process is known to have replaced it.
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
