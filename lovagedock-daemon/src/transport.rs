//! Connections over TLS, or over plain TCP if the settings allow it.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::Report;
use rustls::pki_types::ServerName;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time,
};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::{
    ReloadingTls, ShutdownSignal, TlsError, TlsSettings,
    traffic::{CountedStream, bytes_transferred},
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Transport of one of a process's ports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TransportSettings {
    /// TLS with these files.
    Tls(TlsSettings),
    /// No encryption and no authentication of the peer: `"plain_tcp": "demo"`.
    PlainTcp(PlainConsent),
}

impl TransportSettings {
    /// The error of a transport between lovagedock processes that does not authenticate the peer.
    ///
    /// A listener without the peers' roots accepts any client: anyone who can reach a sidecar's
    /// port could send work past the gateways' checks. A client without the peers' roots cannot
    /// connect at all, which would be visible only as endpoints that stay unconnected.
    pub fn mutual_tls_problem(&self, path: &str) -> Option<String> {
        match self {
            Self::Tls(settings) if settings.peer_roots_file.is_none() => Some(format!(
                "{path}.tls.peer_roots_file: missing, expected the file with the roots of the peers"
            )),
            Self::Tls(_) | Self::PlainTcp(_) => None,
        }
    }
}

/// Explicit consent to plain TCP; there is no default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlainConsent {
    /// For demonstrations on one host.
    Demo,
    /// On a network that only the operator's hosts can reach.
    TrustedNetwork,
}

/// A connection of any transport.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// A connection as a trait object.
pub type BoxedStream = Box<dyn ByteStream>;

/// Accepts and opens connections; clones share the keys.
#[derive(Clone)]
pub struct Transport {
    tls: Option<Arc<ReloadingTls>>,
}

impl Transport {
    /// Reads the files that the settings name.
    pub fn new(settings: &TransportSettings) -> Result<Self, Report<TlsError>> {
        let tls = match settings {
            TransportSettings::Tls(settings) => Some(ReloadingTls::new(settings.clone())?),
            TransportSettings::PlainTcp(_) => None,
        };
        Ok(Self {
            tls: tls.map(Arc::new),
        })
    }

    /// Plain TCP, for the demo and for tests.
    pub fn plain_for_demo() -> Self {
        Self { tls: None }
    }

    /// Checks for changed files at the interval of the settings until the shutdown; needs a Tokio
    /// runtime.
    pub fn watch_files(&self, logger: &Logger, shutdown: &ShutdownSignal) {
        let Some(tls) = self.tls.clone() else {
            return;
        };
        let logger = logger.clone();
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let mut ticks = time::interval(tls.settings().reload_interval());
            loop {
                tokio::select! {
                    _ = ticks.tick() => {}
                    _ = shutdown.wait() => return,
                }
                match tls.reload() {
                    Ok(true) => info!(logger, "TLS files reloaded"),
                    Ok(false) => {}
                    Err(report) => {
                        warn!(logger, "TLS files kept as they were"; "error" => format!("{report:?}"));
                    }
                }
            }
        });
    }

    /// The TLS configurations; `None` on plain TCP.
    pub fn tls(&self) -> Option<&ReloadingTls> {
        self.tls.as_deref()
    }

    /// Bytes that all transports of this process have sent and received so far.
    pub fn bytes_transferred() -> u64 {
        bytes_transferred()
    }

    /// Completes the server side of a connection that a listener accepted.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<BoxedStream> {
        stream.set_nodelay(true)?;
        let Some(tls) = &self.tls else {
            return Ok(count_traffic(stream));
        };
        let acceptor = TlsAcceptor::from(tls.configs().server.clone());
        let stream =
            with_timeout(HANDSHAKE_TIMEOUT, acceptor.accept(count_traffic(stream))).await?;
        Ok(Box::new(stream))
    }

    /// Opens a connection.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<BoxedStream> {
        let stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?;
        stream.set_nodelay(true)?;
        let Some(tls) = &self.tls else {
            return Ok(count_traffic(stream));
        };
        let Some(config) = tls.configs().client.clone() else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "opening a connection requires peer_roots_file",
            ));
        };
        let name = server_name(tls.settings(), address)?;
        let connector = TlsConnector::from(config);
        let stream = with_timeout(
            HANDSHAKE_TIMEOUT,
            connector.connect(name, count_traffic(stream)),
        )
        .await?;
        Ok(Box::new(stream))
    }
}

fn count_traffic(stream: TcpStream) -> BoxedStream {
    Box::new(CountedStream::new(stream))
}

fn server_name(settings: &TlsSettings, address: SocketAddr) -> io::Result<ServerName<'static>> {
    match &settings.server_name {
        Some(name) => ServerName::try_from(name.clone())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error)),
        None => Ok(ServerName::from(address.ip())),
    }
}

async fn with_timeout<T>(
    limit: Duration,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    match time::timeout(limit, future).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
