//! The task that owns the session to one endpoint.
//!
//! It connects, introduces itself, sends heartbeats, feeds configuration to a sidecar that lacks
//! it, and carries commands of request drivers out. A session without a heartbeat's answer within
//! [`LinkTimes::silence`] is given up, and each request on it is told.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures::{FutureExt, future::LocalBoxFuture};
use lovagedock::{AnswerEnd, AttemptKey, RevokeVerdict, prelude::*};
use lovagedock_wire::{
    AnswerHead, AnswerReceiver, ConfigMessage, EndpointClient, PROTOCOL_VERSION, PeerIdentity,
    ReserveReply, SegmentRange, SegmentReply, SubmitReply, WireError, WorkMessage,
};
use slog::{Logger, debug, info};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{connect::PeerConnector, context::GatewayContext};

/// Times that a link keeps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkTimes {
    /// Between heartbeats.
    pub(crate) heartbeat: Duration,
    /// Without an answer for this long a session is lost.
    pub(crate) silence: Duration,
    /// Between attempts to connect.
    pub(crate) reconnect: Duration,
}

/// What a request driver asks of a link.
pub(crate) enum LinkCommand {
    /// Hand a request over; the link fills the incarnation in.
    Submit {
        /// The request.
        work: Box<WorkMessage>,
        /// Where its events go.
        events: AttemptSender,
    },
    /// Go on with an answer from an offset, on a new connection.
    Resume {
        /// The attempt.
        key: AttemptKey,
        /// Bytes that the driver already has.
        offset: u64,
        /// Where its events go.
        events: AttemptSender,
    },
    /// Ask on a new connection that an attempt never runs.
    Revoke {
        /// The attempt.
        key: AttemptKey,
        /// Where the verdict goes.
        reply: oneshot::Sender<Result<RevokeVerdict, WireError>>,
    },
    /// End an attempt that nobody waits for.
    Cancel {
        /// The attempt.
        key: AttemptKey,
    },
    /// Hold memory for one part of a span.
    Reserve {
        /// Names the reservation.
        key: AttemptKey,
        /// How much.
        tokens: TokenCount,
        /// How long it stays without being used.
        hold: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<ReserveReply, WireError>>,
    },
    /// Give a reservation back.
    Release {
        /// Names the reservation.
        key: AttemptKey,
    },
    /// Prefill one part of a span.
    Segment {
        /// The request.
        work: Box<WorkMessage>,
        /// Its part.
        range: SegmentRange,
        /// Time that the part may take.
        limit: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<SegmentReply, WireError>>,
    },
}

/// What a link tells a request driver about one attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The sidecar has queued or started it.
    Accepted {
        /// Life of the sidecar.
        incarnation: Incarnation,
    },
    /// The sidecar did not take it.
    Refused(AnswerEnd),
    /// The session went away while the sidecar may have had the request.
    Lost {
        /// Life of the sidecar.
        incarnation: Incarnation,
    },
    /// The sidecar answered a resume.
    Resumed {
        /// Whether it has the answer.
        found: bool,
    },
    /// The resume could not be delivered.
    ResumeFailed,
    /// Status and headers.
    Head(AnswerHead),
    /// Bytes of the answer.
    Chunk {
        /// Offset of the first byte.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// How it ended.
    Done(AnswerEnd),
}

/// Where the events of one attempt go, with the attempt's number.
///
/// Bounded, so that a slow caller holds back its own answer and no other.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSender {
    /// Number of the attempt.
    pub(crate) attempt: AttemptNumber,
    /// The driver's end.
    pub(crate) sender: mpsc::Sender<(AttemptNumber, AttemptEvent)>,
}

impl AttemptSender {
    async fn send(&self, event: AttemptEvent) {
        // A driver that is gone has finished its request; nobody needs the event.
        let _gone = self.sender.send((self.attempt, event)).await;
    }
}

/// One endpoint's link.
pub(crate) struct EndpointLink {
    /// Endpoint at the other end.
    pub(crate) endpoint: EndpointId,
    /// Address of its sidecar.
    pub(crate) address: SocketAddr,
    /// What all parts of the gateway share.
    pub(crate) context: Rc<GatewayContext>,
    /// How to connect.
    pub(crate) connector: Rc<dyn PeerConnector>,
    /// Commands of request drivers.
    pub(crate) commands: mpsc::UnboundedReceiver<LinkCommand>,
    /// Times to keep.
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
        loop {
            match self.open().await {
                Ok(session) => {
                    if self.run_session(session).await {
                        return;
                    }
                }
                Err(error) => {
                    debug!(self.log, "no session"; "endpoint" => &*self.endpoint, "error" => %error);
                    if self.refuse_for(self.times.reconnect).await {
                        return;
                    }
                }
            }
        }
    }

    async fn open(&self) -> Result<LinkSession, WireError> {
        let limit = self.times.silence;
        let client = open_client(&*self.connector, self.address, limit).await?;
        let welcome = client.hello(&self.identity(), limit).await?;
        if welcome.name != *self.endpoint {
            return Err(WireError::Malformed(format!(
                "{} answers at the address of {}",
                welcome.name, self.endpoint
            )));
        }
        let load = client
            .heartbeat(0, self.context.generation(), limit)
            .await?;
        let fleet = &self.context.fleet;
        fleet.session_opened(&self.endpoint, welcome.incarnation);
        fleet.report(&self.endpoint, self.context.clock.now(), &load);
        info!(self.log, "session open"; "endpoint" => &*self.endpoint, "incarnation" => welcome.incarnation);
        Ok(LinkSession {
            client,
            incarnation: welcome.incarnation,
        })
    }

    fn identity(&self) -> PeerIdentity {
        PeerIdentity {
            version: PROTOCOL_VERSION,
            name: self.context.name.to_string(),
            incarnation: self.context.incarnation,
            generation: self.context.generation(),
        }
    }

    /// Serves one session; true when the gateway has dropped the link.
    async fn run_session(&mut self, session: LinkSession) -> bool {
        let session = Rc::new(session);
        let mut in_flight = InFlight::new();
        let end = self.serve(&session, &mut in_flight).await;
        // Calls under way hold the session; without the close they would wait on a connection
        // that may be silent for good.
        session.client.close();
        self.context.fleet.session_lost(&self.endpoint);
        for events in in_flight.into_values() {
            let incarnation = session.incarnation;
            // Its own task, so that one slow caller does not keep the others from the news.
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
        let beater = Rc::new(self.beater());
        // Beside the commands, not before them: a submit must not wait for a heartbeat's answer.
        let mut beat: Option<LocalBoxFuture<'static, Result<(), WireError>>> = None;
        loop {
            tokio::select! {
                command = self.commands.recv() => {
                    let Some(command) = command else { return SessionEnd::Closed };
                    in_flight.retain(|_, events| !events.sender.is_closed());
                    self.carry_out(command, session, in_flight);
                }
                _ = ticks.tick(), if beat.is_none() => {
                    sequence += 1;
                    let beater = Rc::clone(&beater);
                    let session = Rc::clone(session);
                    beat = Some(async move { beater.beat(&session, sequence).await }.boxed_local());
                }
                ended = async { beat.as_mut().expect("guarded by is_some").await }, if beat.is_some() => {
                    beat = None;
                    if let Err(error) = ended {
                        return SessionEnd::Lost(error.to_string());
                    }
                }
            }
        }
    }

    fn beater(&self) -> SessionBeater {
        SessionBeater {
            endpoint: self.endpoint.clone(),
            context: Rc::clone(&self.context),
            silence: self.times.silence,
        }
    }

    /// Carries a command out in a task of its own, so that heartbeats are not held up.
    fn carry_out(&self, command: LinkCommand, session: &Rc<LinkSession>, in_flight: &mut InFlight) {
        let session = Rc::clone(session);
        let limit = self.times.silence;
        match command {
            LinkCommand::Submit { work, events } => {
                if work.key.incarnation != session.incarnation {
                    refuse_submit(events, ResultCode::StaleIncarnation);
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

    /// Revokes on a new connection: the old one may be silent for good while new ones work.
    fn revoke(&self, key: AttemptKey, reply: oneshot::Sender<Result<RevokeVerdict, WireError>>) {
        let connector = Rc::clone(&self.connector);
        let identity = self.identity();
        let address = self.address;
        let limit = self.times.silence;
        tokio::task::spawn_local(async move {
            let verdict = revoke_anew(&*connector, address, &identity, key, limit).await;
            let _gone = reply.send(verdict);
        });
    }

    /// Resumes on a new connection, which lives until the answer ends.
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

    /// Answers commands while there is no session; true when the gateway has dropped the link.
    async fn refuse_for(&mut self, wait: Duration) -> bool {
        let pause = sleep(wait);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return false,
                command = self.commands.recv() => {
                    let Some(command) = command else { return true };
                    self.refuse(command);
                }
            }
        }
    }

    fn refuse(&self, command: LinkCommand) {
        let gone = || WireError::Disconnected("no session".to_owned());
        match command {
            LinkCommand::Submit { events, .. } => {
                refuse_submit(events, ResultCode::EndpointUnreachable);
            }
            LinkCommand::Resume {
                key,
                offset,
                events,
            } => self.resume(key, offset, events),
            LinkCommand::Revoke { key, reply } => self.revoke(key, reply),
            LinkCommand::Cancel { .. } | LinkCommand::Release { .. } => {}
            LinkCommand::Reserve { reply, .. } => {
                let _gone = reply.send(Err(gone()));
            }
            LinkCommand::Segment { reply, .. } => {
                let _gone = reply.send(Err(gone()));
            }
        }
    }
}

/// Sends heartbeats and feeds configuration on one session.
struct SessionBeater {
    endpoint: EndpointId,
    context: Rc<GatewayContext>,
    silence: Duration,
}

impl SessionBeater {
    async fn beat(&self, session: &LinkSession, sequence: u64) -> Result<(), WireError> {
        let generation = self.context.generation();
        let limit = self.silence;
        let fleet = &self.context.fleet;
        fleet.heartbeat_sent(&self.endpoint);
        let load = session
            .client
            .heartbeat(sequence, generation, limit)
            .await?;
        let lacking = load.generation < generation;
        fleet.report(&self.endpoint, self.context.clock.now(), &load);
        if lacking {
            self.feed(session).await?;
        }
        Ok(())
    }

    /// Hands the configuration in force to a sidecar that has an older one.
    async fn feed(&self, session: &LinkSession) -> Result<(), WireError> {
        let active = self.context.config.load_full();
        let message = ConfigMessage {
            generation: active.generation,
            config: active.text.clone(),
        };
        session.client.configure(&message, self.silence).await?;
        Ok(())
    }
}

async fn open_client(
    connector: &dyn PeerConnector,
    address: SocketAddr,
    limit: Duration,
) -> Result<EndpointClient, WireError> {
    let stream = connector.connect(address, limit).await?;
    Ok(EndpointClient::new(stream))
}

async fn revoke_anew(
    connector: &dyn PeerConnector,
    address: SocketAddr,
    identity: &PeerIdentity,
    key: AttemptKey,
    limit: Duration,
) -> Result<RevokeVerdict, WireError> {
    let client = open_client(connector, address, limit).await?;
    client.hello(identity, limit).await?;
    client.revoke(key, limit).await
}

/// Tells a driver that its submit was never sent, so that it certainly did not run.
fn refuse_submit(events: AttemptSender, code: ResultCode) {
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

/// The rest of one answer, on a connection of its own.
struct ResumedAnswer {
    connector: Rc<dyn PeerConnector>,
    identity: PeerIdentity,
    address: SocketAddr,
    times: LinkTimes,
    events: AttemptSender,
}

impl ResumedAnswer {
    async fn run(self, key: AttemptKey, offset: u64) {
        let receiver = AttemptReceiver::new(self.events.clone());
        let ended = Rc::clone(&receiver.ended);
        match self.open(key, offset, receiver).await {
            Ok(None) => {
                self.events
                    .send(AttemptEvent::Resumed { found: false })
                    .await
            }
            Ok(Some(client)) => {
                self.events
                    .send(AttemptEvent::Resumed { found: true })
                    .await;
                self.watch(&client, key, &ended).await;
            }
            Err(_) => self.events.send(AttemptEvent::ResumeFailed).await,
        }
    }

    async fn open(
        &self,
        key: AttemptKey,
        offset: u64,
        receiver: AttemptReceiver,
    ) -> Result<Option<EndpointClient>, WireError> {
        let limit = self.times.silence;
        let client = open_client(&*self.connector, self.address, limit).await?;
        let welcome = client.hello(&self.identity, limit).await?;
        if welcome.incarnation != key.incarnation {
            return Ok(None);
        }
        let found = client.resume(key, offset, receiver, limit).await?;
        Ok(found.then_some(client))
    }

    /// Sends heartbeats until the answer ends: this connection may go silent like any other.
    async fn watch(&self, client: &EndpointClient, key: AttemptKey, ended: &Cell<bool>) {
        let mut sequence = 0;
        while !ended.get() && !self.events.sender.is_closed() {
            sleep(self.times.heartbeat).await;
            sequence += 1;
            let beat = client.heartbeat(sequence, self.identity.generation, self.times.silence);
            if beat.await.is_err() && !ended.get() {
                let incarnation = key.incarnation;
                self.events.send(AttemptEvent::Lost { incarnation }).await;
                return;
            }
        }
    }
}

struct AttemptReceiver {
    events: AttemptSender,
    ended: Rc<Cell<bool>>,
}

impl AttemptReceiver {
    fn new(events: AttemptSender) -> Self {
        Self {
            events,
            ended: Rc::default(),
        }
    }
}

impl AnswerReceiver for AttemptReceiver {
    fn head(&self, head: AnswerHead) -> impl Future<Output = ()> + 'static {
        let events = self.events.clone();
        async move { events.send(AttemptEvent::Head(head)).await }
    }

    fn chunk(&self, offset: u64, bytes: Bytes) -> impl Future<Output = ()> + 'static {
        let events = self.events.clone();
        async move { events.send(AttemptEvent::Chunk { offset, bytes }).await }
    }

    fn done(&self, end: AnswerEnd) -> impl Future<Output = ()> + 'static {
        let events = self.events.clone();
        self.ended.set(true);
        async move { events.send(AttemptEvent::Done(end)).await }
    }
}
