//! Accepts connections of callers and checks their requests.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::FutureExt;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use lovagedock::{ConnectionAdmission, MAX_READ_BYTES, StopPlan, prelude::*};
use lovagedock_daemon::ShutdownSignal;
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, yield_now},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};
use tokio_util::task::TaskTracker;

use super::{
    body_memory::BodyError,
    call::{CallParts, DEFAULT_RETRY_AFTER, DirectCall},
    caller_connections::{CallerConnection, CallerConnections, CallerStream},
    checked_head::CheckedHead,
    dialect::HttpDialect,
    guarded_body::with_guard,
    response::{ResponseSender, problem_response},
    state::GatewayState,
};
use crate::front::{RequestProblem, ResponseBody};

/// Delay after a failed accept. Such errors recur immediately until file descriptors are closed.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of connections that are accepted before other tasks run.
const MAX_ACCEPTED_AT_ONCE: usize = 64;

/// Time between the end of all requests and the time at which the process is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time after the end of all requests for their last bytes and log lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

const _: () = assert!(FLUSH_TIMEOUT.as_millis() < EXIT_MARGIN.as_millis());

/// Time limit for the request on a connection that is accepted while the gateway stops.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Added to the declared idle timeout, so that a caller that uses a connection just in time finds
/// it open.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Time between two checks for heads that are late.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts connections and serves the requests on them.
pub(crate) struct CallerServer {
    state: Arc<GatewayState>,
    dialect: Arc<dyn HttpDialect>,
    shutdown: ShutdownSignal,
    /// Lock order: this lock is a leaf.
    admission: Mutex<ConnectionAdmission>,
    connections: Arc<CallerConnections>,
    /// Number of requests whose response has not ended.
    in_flight: Arc<AtomicUsize>,
    log: Logger,
}

/// Aborts a request when its caller disconnects: hyper drops the response then.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Records the end of a response on its connection.
struct ResponseEnd(Arc<CallerConnection>);

impl Drop for ResponseEnd {
    fn drop(&mut self) {
        self.0.end_response();
    }
}

/// Counts a request as in flight until it is dropped.
struct FlightGuard(Arc<AtomicUsize>);

impl FlightGuard {
    fn new(in_flight: &Arc<AtomicUsize>) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(in_flight))
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerServer {
    /// Creates a server; it starts with [`run`](Self::run).
    pub(crate) fn new(
        state: Arc<GatewayState>,
        dialect: Arc<dyn HttpDialect>,
        max_connections: usize,
        shutdown: ShutdownSignal,
        log: Logger,
    ) -> Self {
        Self {
            connections: CallerConnections::new(state.clock, max_connections),
            state,
            dialect,
            shutdown,
            admission: Mutex::default(),
            in_flight: Arc::default(),
            log,
        }
    }

    /// Serves until the shutdown signal, and then until all connections have ended or `grace` has
    /// passed.
    pub(crate) async fn run(self, listener: TcpListener, grace: Duration) {
        let server = Arc::new(self);
        let connections = TaskTracker::new();
        let stop = async {
            server.shutdown.wait().await;
            let plan = StopPlan::new(server.state.clock.now(), grace - EXIT_MARGIN.min(grace));
            server.state.set_stopping(plan);
            info!(server.log, "draining"; "connections" => connections.len());
            sleep_until(server.instant(plan.notice_ends_at())).await;
            connections.close();
            // A `DirectCall` that is still running then ends its request, which is awaited below.
            let _ = timeout_at(server.instant(plan.ends_at()), connections.wait()).await;
        };
        tokio::select! {
            () = server.accept(&listener, &connections) => {}
            () = server.close_late_heads() => {}
            () = stop => {}
        }
        drop(listener);
        // The time limit starts here. Otherwise a process that was stalled at the end of the stop
        // would have no time left.
        if timeout(FLUSH_TIMEOUT, connections.wait()).await.is_err() {
            warn!(server.log, "stopping with open connections"; "connections" => connections.len());
        }
    }

    fn instant(&self, at: Timestamp) -> Instant {
        self.state.clock.instant_at(at).into()
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, connections: &TaskTracker) {
        loop {
            let mut accepted = listener.accept().await;
            let ready_at = Instant::now();
            let mut admitted = 0;
            // All connections that wait are accepted, so that those that are not admitted are closed
            // at once.
            for _ in 0..MAX_ACCEPTED_AT_ONCE {
                match accepted {
                    Ok((stream, _)) => {
                        admitted += usize::from(self.admit(stream, connections, admitted));
                    }
                    Err(error) => {
                        warn!(self.log, "cannot accept a caller"; "error" => %error);
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
                match listener.accept().now_or_never() {
                    Some(next) => accepted = next,
                    None => break,
                }
            }
            yield_now().await;
            let lag = ready_at.elapsed();
            let in_flight = self.in_flight.load(Ordering::Relaxed);
            let now = self.state.clock.now();
            self.admission.lock().record_lag(now, lag, in_flight);
        }
    }

    /// Serves a new connection, or closes it unread if the gateway is behind, so that its caller goes
    /// to another gateway. The same if output memory is scarce. `unread` connections were admitted whose requests are not read yet. Returns
    /// whether this one was admitted.
    fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        connections: &TaskTracker,
        unread: usize,
    ) -> bool {
        let now = self.state.clock.now();
        let in_flight = self.in_flight.load(Ordering::Relaxed) + unread;
        let has_memory = self.state.output.admits_connections();
        let admits = || has_memory && self.admission.lock().admit(now, in_flight);
        let is_admitted = self.state.is_stopping() || admits();
        if is_admitted && let Some(connection) = self.connections.open() {
            let server = Arc::clone(self);
            connections.spawn(async move { server.serve(stream, connection).await });
            return true;
        }
        metrics::counter!("lovagedock_connections_closed_unread_total").increment(1);
        if let Some(left_out) = self.state.log_limiter.admit(now) {
            let reason = match (is_admitted, has_memory) {
                (true, _) => "connection closed unread, all others serve requests",
                (false, true) => "connection closed unread, the gateway is behind",
                (false, false) => "connection closed unread, output memory is scarce",
            };
            info!(self.log, "{}", reason;
                "in_flight" => in_flight, "limit" => self.admission.lock().limit(), "left_out" => left_out);
        }
        false
    }

    /// Closes connections whose requests begin and do not go on.
    async fn close_late_heads(&self) {
        loop {
            sleep(HEAD_CHECK_INTERVAL).await;
            let bounds = self.state.config().map(|config| config.bounds);
            let timeout = bounds.unwrap_or_default().header_timeout + IDLE_SLACK;
            let closed = self.connections.close_late_heads(timeout);
            if closed > 0
                && let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now())
            {
                info!(self.log, "connections closed, the heads of their requests are late";
                    "connections" => closed, "timeout_ms" => timeout.as_millis() as u64,
                    "left_out" => left_out);
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, caller: Arc<CallerConnection>) {
        // A failure only makes the connection slower.
        let _ = stream.set_nodelay(true);
        let bounds = self.state.config().map(|config| config.bounds);
        let is_late = self.is_past_notice();
        let idle = match is_late {
            true => LATE_REQUEST_TIMEOUT,
            false => bounds.unwrap_or_default().idle_timeout + IDLE_SLACK,
        };
        let server = Arc::clone(&self);
        let service_caller = Arc::clone(&caller);
        let service = service_fn(move |request| {
            let (server, caller) = (Arc::clone(&server), Arc::clone(&service_caller));
            async move { Ok::<_, Infallible>(server.respond(request, &caller).await) }
        });
        let max_header_bytes = bounds.unwrap_or_default().max_header_bytes;
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_header_size(max_header_bytes)
            .max_buf_size(max_header_bytes.max(MAX_READ_BYTES))
            .serve_connection(CallerStream::new(stream, Arc::clone(&caller)), service);
        let stop = async {
            if is_late {
                // The response to its only request carries `Connection: close`. If the connection
                // were closed earlier, the request would get no response.
                std::future::pending::<()>().await;
            }
            let plan = self.state.wait_for_stop_request().await;
            sleep_until(self.instant(plan.notice_ends_at())).await;
        };
        let serving = async {
            let mut connection = Pin::new(&mut connection);
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = stop => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        };
        let is_broken = tokio::select! {
            ended = serving => {
                caller.finish(connection.into_parts().io.into_inner()).await;
                ended.is_err()
            }
            () = caller.wait_for_close() => false,
            () = caller.cut().notified() => {
                // The kernel would keep what the caller has not read.
                let stream = connection.into_parts().io.into_inner();
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                true
            }
        };
        if is_broken {
            metrics::counter!("lovagedock_caller_connections_broken_total").increment(1);
        }
    }

    /// Returns whether the notice period of a stop has ended. After it, idle connections are
    /// closed.
    fn is_past_notice(&self) -> bool {
        let now = self.state.clock.now();
        let plan = self.state.stop_plan();
        plan.is_some_and(|plan| now >= plan.notice_ends_at())
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Arc<CallerConnection>,
    ) -> Response<ResponseBody> {
        connection.begin_body();
        let response = self.handle_request(request, connection).await;
        let end_guard = ResponseEnd(Arc::clone(connection));
        let mut response = response.map(|body| with_guard(body, end_guard));
        // The caller's next connection may go to a gateway that is not behind.
        let is_behind = self.admission.lock().is_behind();
        if self.state.is_stopping() || is_behind || !self.state.output.admits_connections() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        let arrived = self.state.clock.now();
        let head = self
            .dialect
            .read_caller(request.headers())
            .with_bounded_tokens();
        let id = head.request.clone();
        self.state.wait_for_start().await;
        let Some(config) = self.state.trusted_config() else {
            return self.reject(&id, ResultCode::NotConfigured);
        };
        let (parts, body) = request.into_parts();
        // What can't be served is rejected before its body is received.
        let checked = match CheckedHead::new(&config, &head, &parts) {
            Ok(checked) => checked,
            Err(code) => return self.reject_unread(&id, code, &body, connection),
        };
        let max_bytes = config.bounds.max_body_bytes;
        if body.size_hint().lower() > max_bytes as u64 {
            return self.reject_unread(&id, ResultCode::BodyTooLarge, &body, connection);
        }
        let expires_at = arrived + head.time_limit(checked.route.timeout);
        let organisation = checked.organisation.cloned();
        let received = tokio::select! {
            received = self.state.bodies.receive(body, max_bytes, organisation) => received,
            () = sleep_until(self.instant(expires_at)) => Err(BodyError::Late),
            () = self.state.wait_for_stop_end() => {
                metrics::counter!("lovagedock_requests_cut_by_stop_total", "stage" => "body")
                    .increment(1);
                return self.reject(&id, ResultCode::GatewayStopping);
            }
        };
        let body = match received {
            Ok(body) => body,
            Err(error) => {
                error.count();
                connection.set_unread();
                return self.reject(&id, error.code());
            }
        };
        if !connection.begin_serving() {
            return self.reject(&id, ResultCode::TooManyStreams);
        }
        // A body may take seconds to arrive, and the configuration may have changed meanwhile.
        let config = self.state.config().unwrap_or(config);
        let checked = CheckedHead::new(&config, &head, &parts);
        let call = match checked.and_then(|checked| checked.into_call(&parts, body, arrived)) {
            Ok(call) => call,
            Err(code) => return self.reject(&id, code),
        };
        if !self.admits_while_stopping(&call) {
            return self.reject(&id, ResultCode::GatewayStopping);
        }
        let (sender, response) =
            ResponseSender::channel(self.state.output.open(&id, connection.cut()));
        let call = DirectCall::new(
            Arc::clone(&self.state),
            Arc::clone(&self.dialect),
            call,
            sender,
        );
        let flight = FlightGuard::new(&self.in_flight);
        let guard = AbortOnDrop(tokio::spawn(async move {
            call.run().await;
            drop(flight);
        }));
        match response.await {
            Ok(response) => response.map(|body| with_guard(body, guard)),
            Err(_) => self.reject(&id, ResultCode::EndpointLost),
        }
    }

    /// Returns whether a request is admitted. While the gateway stops, some are not, and each
    /// decision is logged.
    fn admits_while_stopping(&self, call: &CallParts) -> bool {
        let Some(plan) = self.state.stop_plan() else {
            return true;
        };
        let now = self.state.clock.now();
        let outlook = call.outlook();
        let is_admitted = plan.admits(now, &outlook);
        let outcome = if is_admitted { "taken" } else { "refused" };
        metrics::counter!("lovagedock_requests_while_stopping_total", "outcome" => outcome)
            .increment(1);
        if let Some(left_out) = self.state.log_limiter.admit(now) {
            info!(self.log, "request while stopping";
                "request" => &call.head.request,
                "route" => &call.route.name,
                "outcome" => outcome,
                "stopping_ms" => now.saturating_sub(plan.requested_at()).as_millis() as u64,
                "left_ms" => plan.ends_at().saturating_sub(now).as_millis() as u64,
                "deadline_ms" => outlook.deadline.saturating_sub(now).as_millis() as u64,
                "expected_ms" => outlook.expected.as_millis() as u64,
                "prompt" => call.head.prompt,
                "answer" => call.head.expected_answer(),
                "answer_limit" => call.head.answer_limit,
                "config" => call.config.version,
                "left_out" => left_out);
        }
        is_admitted
    }

    /// Rejects a request whose body was not received.
    fn reject_unread(
        &self,
        request: &str,
        code: ResultCode,
        body: &Incoming,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        let mut response = self.reject(request, code);
        if !body.is_end_stream() {
            connection.set_unread();
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn reject(&self, request: &str, code: ResultCode) -> Response<ResponseBody> {
        crate::call_task::count_outcome(code);
        if let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now()) {
            info!(self.log, "rejected";
                "request" => request, "code" => code.number(),
                "config" => self.state.config().map(|config| config.version),
                "left_out" => left_out);
        }
        let retry_after = (code.http_status() == 503).then_some(DEFAULT_RETRY_AFTER);
        problem_response(&RequestProblem::new(code), request, retry_after)
    }
}
