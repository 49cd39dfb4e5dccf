//! Accepts the connections of operators.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use futures::{Stream, StreamExt};
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use lovagedock::prelude::ResultCode;
use slog::{debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time,
};
use warp::{
    Filter, Rejection,
    http::{Method, Response},
    path::FullPath,
    reject::Reject,
};

use super::{
    AdminHandler, AdminSettings,
    routes::{AdminRequest, AdminState, problem},
};
use crate::{DaemonContext, Transport};

const MAX_CONNECTIONS: usize = 64;
const MAX_BODY_BYTES: u64 = 1024 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Serves operators until it is dropped.
///
/// It continues while the daemon drains, so that operators can observe the drain.
pub struct AdminServer {
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl AdminServer {
    /// Binds the listener and serves in the background.
    pub async fn start(
        process: &'static str,
        settings: &AdminSettings,
        handler: Arc<dyn AdminHandler>,
        context: &DaemonContext,
    ) -> Result<Self, Report<io::Error>> {
        let transport = Transport::new(&settings.transport)
            .map_err(|report| Report::new(io::Error::other(report.to_string())))
            .attach("the operators' TLS files")?;
        transport.watch_files(&context.logger, &context.shutdown);
        let listener = TcpListener::bind(settings.address)
            .await
            .map_err(Report::new)
            .attach_with(|| format!("operators' address {}", settings.address))?;
        let address = listener.local_addr().map_err(Report::new)?;
        let state = Arc::new(AdminState {
            process,
            handler,
            metrics: context.metrics.clone(),
            clock: context.clock,
            token: settings
                .operator_token
                .as_ref()
                .map(|token| blake3::hash(token.as_bytes())),
        });
        let metrics = context.metrics.clone();
        let tasks = vec![
            tokio::spawn(accept_connections(
                listener,
                transport,
                state,
                context.clone(),
            )),
            tokio::spawn(async move {
                let mut ticks = time::interval(UPKEEP_INTERVAL);
                loop {
                    ticks.tick().await;
                    metrics.run_upkeep();
                }
            }),
        ];
        Ok(Self { address, tasks })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    transport: Transport,
    state: Arc<AdminState>,
    context: DaemonContext,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            // When the process has no file descriptors left, the error repeats immediately until
            // some are closed. Without a delay the loop would use a whole core.
            Err(error) => {
                warn!(context.logger, "cannot accept an operator connection"; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let transport = transport.clone();
        let state = state.clone();
        let logger = context.logger.clone();
        tokio::spawn(async move {
            let served = serve_connection(stream, peer, &transport, state).await;
            if let Err(error) = served {
                debug!(logger, "operators' connection ended"; "peer" => %peer, "error" => %error);
            }
            drop(permit);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    transport: &Transport,
    state: Arc<AdminState>,
) -> io::Result<()> {
    let stream = transport.accept(stream).await?;
    let service = TowerToHyperService::new(warp::service(filter(state, peer)));
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await
        .map_err(io::Error::other)
}

fn filter(
    state: Arc<AdminState>,
    peer: SocketAddr,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Infallible> + Clone + Send + Sync + 'static {
    warp::method()
        .and(warp::path::full())
        .and(warp::header::optional::<String>("authorization"))
        .and(limited_body())
        .then(
            move |method: Method, path: FullPath, authorization: Option<String>, body: Bytes| {
                let state = state.clone();
                let request = AdminRequest {
                    peer,
                    method,
                    path: path.as_str().to_owned(),
                    authorization,
                    body,
                };
                async move { state.handle(request).await }
            },
        )
        .recover(|rejection: Rejection| async move {
            let response = match rejection.find::<BodyTooLarge>() {
                Some(BodyTooLarge) => {
                    problem(ResultCode::BodyTooLarge, "the body is larger than 1 MiB")
                }
                None => problem(ResultCode::MalformedRequest, &format!("{rejection:?}")),
            };
            Ok::<_, Infallible>(response)
        })
        .unify()
}

#[derive(Debug)]
struct BodyTooLarge;

impl Reject for BodyTooLarge {}

/// The body, with or without a `content-length` header. Operators' tools send a POST that needs no
/// body without a body and without a length.
fn limited_body() -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    warp::header::optional::<u64>("content-length")
        .and(warp::body::stream())
        .and_then(|length: Option<u64>, chunks| async move {
            if length.is_some_and(|length| length > MAX_BODY_BYTES) {
                return Err(warp::reject::custom(BodyTooLarge));
            }
            read_limited(chunks).await
        })
}

async fn read_limited<B: Buf>(
    chunks: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, Rejection> {
    let mut body = BytesMut::new();
    let mut chunks = pin!(chunks);
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_| warp::reject())?;
        if (body.len() + chunk.remaining()) as u64 > MAX_BODY_BYTES {
            return Err(warp::reject::custom(BodyTooLarge));
        }
        body.put(chunk);
    }
    Ok(body.freeze())
}
