//! The task that owns the session to one endpoint.
//!
//! The task connects, introduces itself, sends heartbeats, sends newer configurations to the
//! sidecar and executes the commands of request drivers. A session is closed if no response to a
//! heartbeat arrives within [`LinkTimes::silence`], and the driver of each request on it is
//! notified.

mod heartbeat;
mod message;
mod receive;
mod resume;

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use lovagedock::{AnswerEnd, AttemptKey, RevokeVerdict, prelude::*};
use lovagedock_wire::{
    EndpointClient, FleetName, PeerIdentity, SubmitReply, WireError, WorkMessage,
};
use slog::{Logger, debug, info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};

pub(crate) use self::message::{AttemptEvent, AttemptSender, LinkCommand};
use self::{heartbeat::HeartbeatSender, receive::AttemptReceiver, resume::ResumedAnswer};
use crate::{connect::Connector, context::GatewayContext};

/// Intervals and timeouts of a link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkTimes {
    /// Time between heartbeats.
    pub(crate) heartbeat: Duration,
    /// Time without a response after which a session is lost.
    pub(crate) silence: Duration,
    /// Time between attempts to connect.
    pub(crate) reconnect: Duration,
}

/// One endpoint's link.
pub(crate) struct EndpointLink {
    /// Endpoint at the other end.
    pub(crate) endpoint: EndpointId,
    /// Address of the endpoint's sidecar.
    pub(crate) address: SocketAddr,
    /// Shared state of the gateway.
    pub(crate) context: Rc<GatewayContext>,
    /// Opens connections.
    pub(crate) connector: Rc<dyn Connector>,
    /// Commands of request drivers.
    pub(crate) commands: mpsc::UnboundedReceiver<LinkCommand>,
    /// Intervals and timeouts.
    pub(crate) times: LinkTimes,
    /// Log.
    pub(crate) log: Logger,
}

struct LinkSession {
    client: EndpointClient,
    incarnation: Incarnation,
}

type InFlight = HashMap<AttemptKey, AttemptSender>;

enum SessionEnd {
    Lost(String),
    Closed,
}

impl EndpointLink {
    /// Runs until the gateway drops the link's command sender.
    pub(crate) async fn run(mut self) {
        let mut last_fleet: Option<FleetName> = None;
        loop {
            match self.open_session().await {
                Ok(session) => {
                    last_fleet = None;
                    if self.run_session(session).await {
                        return;
                    }
                }
                Err(error) => {
                    self.log_other_fleet(&error, &mut last_fleet);
                    debug!(self.log, "cannot open a session"; "endpoint" => &*self.endpoint, "error" => %error);
                    if self.run_without_session(self.times.reconnect).await {
                        return;
                    }
                }
            }
        }
    }

    /// Logs a refusal once until a session opens or the sidecar of a further fleet responds.
    /// Otherwise each attempt to connect would log a line.
    fn log_other_fleet(&self, error: &WireError, last_fleet: &mut Option<FleetName>) {
        let WireError::OtherFleet(other) = error else {
            return;
        };
        if last_fleet.replace(other.clone()).as_ref() != Some(other) {
            warn!(self.log, "session refused: endpoint belongs to another fleet";
                "endpoint" => &*self.endpoint, "address" => %self.address, "fleet" => &**other);
        }
    }

    async fn open_session(&self) -> Result<LinkSession, WireError> {
        let limit = self.times.silence;
        let client = open_client(&*self.connector, self.address, limit).await?;
        let welcome = client.hello(&self.identity(), limit).await?;
        if welcome.name != *self.endpoint {
            return Err(WireError::Malformed(format!(
                "sidecar of {} responded at the address of {}",
                welcome.name, self.endpoint
            )));
        }
        let load = client
            .heartbeat(0, self.context.generation(), limit)
            .await?;
        let fleet = &self.context.fleet;
        fleet.record_session_opened(&self.endpoint, welcome.incarnation);
        fleet.record_load_report(&self.endpoint, self.context.clock.now(), &load);
        info!(self.log, "session opened"; "endpoint" => &*self.endpoint, "incarnation" => welcome.incarnation);
        Ok(LinkSession {
            client,
            incarnation: welcome.incarnation,
        })
    }

    fn identity(&self) -> PeerIdentity {
        self.context.identity(self.context.generation())
    }

    /// Serves one session; returns true when the gateway has dropped the link.
    async fn run_session(&mut self, session: LinkSession) -> bool {
        let session = Rc::new(session);
        let mut in_flight = InFlight::new();
        let end = self.serve(&session, &mut in_flight).await;
        // Pending calls keep the session alive. Without the close they would wait on a connection
        // that may never respond again.
        session.client.close();
        self.context.fleet.record_session_lost(&self.endpoint);
        for events in in_flight.into_values() {
            let incarnation = session.incarnation;
            // Each event is sent in its own task, so that a slow caller does not delay the others.
            tokio::task::spawn_local(async move {
                events.send(AttemptEvent::Lost { incarnation }).await;
            });
        }
        match end {
            SessionEnd::Closed => true,
            SessionEnd::Lost(reason) => {
                info!(self.log, "session lost"; "endpoint" => &*self.endpoint, "reason" => reason);
                false
            }
        }
    }

    async fn serve(&mut self, session: &Rc<LinkSession>, in_flight: &mut InFlight) -> SessionEnd {
        let mut ticks = interval(self.times.heartbeat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sequence = 0;
        let heartbeat_sender = Rc::new(self.heartbeat_sender());
        // Heartbeats are awaited concurrently with commands: a submit must not wait for the
        // response to a heartbeat.
        let mut pending_heartbeat: Option<LocalBoxFuture<'static, Result<(), WireError>>> = None;
        loop {
            tokio::select! {
                command = self.commands.recv() => {
                    let Some(command) = command else { return SessionEnd::Closed };
                    in_flight.retain(|_, events| !events.sender.is_closed());
                    self.execute(command, session, in_flight);
                }
                _ = ticks.tick(), if pending_heartbeat.is_none() => {
                    sequence += 1;
                    let heartbeat_sender = Rc::clone(&heartbeat_sender);
                    let session = Rc::clone(session);
                    pending_heartbeat = Some(
                        async move { heartbeat_sender.send(&session, sequence).await }.boxed_local()
                    );
                }
                ended = async {
                    pending_heartbeat.as_mut().expect("guarded by is_some").await
                }, if pending_heartbeat.is_some() => {
                    pending_heartbeat = None;
                    if let Err(error) = ended {
                        return SessionEnd::Lost(error.to_string());
                    }
                }
            }
        }
    }

    fn heartbeat_sender(&self) -> HeartbeatSender {
        HeartbeatSender {
            endpoint: self.endpoint.clone(),
            context: Rc::clone(&self.context),
            silence: self.times.silence,
        }
    }

    /// Executes a command in its own task, so that heartbeats are not delayed.
    fn execute(&self, command: LinkCommand, session: &Rc<LinkSession>, in_flight: &mut InFlight) {
        let session = Rc::clone(session);
        let limit = self.times.silence;
        match command {
            LinkCommand::Submit { work, events } => {
                if work.key.incarnation != session.incarnation {
                    reject_submit(events, ResultCode::StaleIncarnation);
                    return;
                }
                in_flight.insert(work.key, events.clone());
                tokio::task::spawn_local(submit(session, work, events, limit));
            }
            LinkCommand::Resume {
                key,
                offset,
                events,
            } => self.resume(key, offset, events),
            LinkCommand::Revoke { key, reply } => self.revoke(key, reply),
            LinkCommand::Cancel { key } => {
                in_flight.remove(&key);
                tokio::task::spawn_local(async move { session.client.cancel(key, limit).await });
            }
            LinkCommand::Reserve {
                key,
                tokens,
                hold,
                reply,
            } => {
                tokio::task::spawn_local(async move {
                    let _gone = reply.send(session.client.reserve(key, tokens, hold, limit).await);
                });
            }
            LinkCommand::Release { key } => {
                tokio::task::spawn_local(async move { session.client.release(key, limit).await });
            }
            LinkCommand::Segment {
                work,
                range,
                limit,
                reply,
            } => {
                tokio::task::spawn_local(async move {
                    let _gone = reply.send(session.client.segment(&work, range, limit).await);
                });
            }
        }
    }

    /// Revokes on a new connection: the old one may never respond again while new ones work.
    fn revoke(&self, key: AttemptKey, reply: oneshot::Sender<Result<RevokeVerdict, WireError>>) {
        let connector = Rc::clone(&self.connector);
        let identity = self.identity();
        let address = self.address;
        let limit = self.times.silence;
        tokio::task::spawn_local(async move {
            let verdict =
                revoke_on_new_connection(&*connector, address, &identity, key, limit).await;
            let _gone = reply.send(verdict);
        });
    }

    /// Resumes on a new connection, which stays open until the answer ends.
    fn resume(&self, key: AttemptKey, offset: u64, events: AttemptSender) {
        let answer = ResumedAnswer {
            connector: Rc::clone(&self.connector),
            identity: self.identity(),
            address: self.address,
            times: self.times,
            events,
        };
        tokio::task::spawn_local(answer.run(key, offset));
    }

    /// Handles commands for the time `wait` while there is no session. Commands that need the
    /// session are rejected; resumes and revokes use new connections. Returns true when the gateway
    /// has dropped the link.
    async fn run_without_session(&mut self, wait: Duration) -> bool {
        let pause = sleep(wait);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return false,
                command = self.commands.recv() => {
                    let Some(command) = command else { return true };
                    self.execute_without_session(command);
                }
            }
        }
    }

    fn execute_without_session(&self, command: LinkCommand) {
        let no_session = || WireError::Disconnected("no session".to_owned());
        match command {
            LinkCommand::Submit { events, .. } => {
                reject_submit(events, ResultCode::EndpointUnreachable);
            }
            LinkCommand::Resume {
                key,
                offset,
                events,
            } => self.resume(key, offset, events),
            LinkCommand::Revoke { key, reply } => self.revoke(key, reply),
            LinkCommand::Cancel { .. } | LinkCommand::Release { .. } => {}
            LinkCommand::Reserve { reply, .. } => {
                let _gone = reply.send(Err(no_session()));
            }
            LinkCommand::Segment { reply, .. } => {
                let _gone = reply.send(Err(no_session()));
            }
        }
    }
}

async fn open_client(
    connector: &dyn Connector,
    address: SocketAddr,
    limit: Duration,
) -> Result<EndpointClient, WireError> {
    let stream = connector.connect(address, limit).await?;
    Ok(EndpointClient::new(stream))
}

async fn revoke_on_new_connection(
    connector: &dyn Connector,
    address: SocketAddr,
    identity: &PeerIdentity,
    key: AttemptKey,
    limit: Duration,
) -> Result<RevokeVerdict, WireError> {
    let client = open_client(connector, address, limit).await?;
    client.hello(identity, limit).await?;
    client.revoke(key, limit).await
}

/// Notifies a driver that its submit was never sent, so that the request certainly did not run.
fn reject_submit(events: AttemptSender, code: ResultCode) {
    tokio::task::spawn_local(async move {
        events
            .send(AttemptEvent::Refused(AnswerEnd::new(code)))
            .await;
    });
}

async fn submit(
    session: Rc<LinkSession>,
    work: Box<WorkMessage>,
    events: AttemptSender,
    limit: Duration,
) {
    let receiver = AttemptReceiver::new(events.clone());
    let incarnation = session.incarnation;
    match session.client.submit(&work, receiver, limit).await {
        Ok(SubmitReply::Accepted) => events.send(AttemptEvent::Accepted { incarnation }).await,
        Ok(SubmitReply::Refused(end)) => events.send(AttemptEvent::Refused(end)).await,
        Err(_) => events.send(AttemptEvent::Lost { incarnation }).await,
    }
}
