//! Common parts of the lovagedock daemons: settings, logs, metrics, health, dump, TLS and shutdown.
//!
//! The `main` of a daemon is a single call of [`run_daemon`]. The daemon then starts its own tasks
//! with the [`DaemonContext`] that it receives, and serves operators through an [`AdminServer`].

mod admin;
mod arguments;
mod clock;
mod line_queue;
mod logs;
mod metrics;
mod run;
mod settings;
mod shutdown;
mod tls;
mod traffic;
mod transport;

pub use admin::{
    AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute, AdminServer, AdminSettings,
    DUMP_VERSION,
};
pub use arguments::{DaemonArguments, ExitStatus};
pub use clock::ProcessClock;
pub use line_queue::LineQueue;
pub use logs::{LogFormat, LogLevel, LogSettings};
pub use metrics::MetricsHandle;
pub use run::{DaemonContext, DaemonSettings, load_checked_settings, run_daemon};
pub use settings::{SettingsError, load_settings, parse_settings};
pub use shutdown::{ReloadSignal, ShutdownSignal};
pub use tls::{ReloadingTls, TlsConfigs, TlsError, TlsSettings};
pub use transport::{BoxedStream, ByteStream, PlainConsent, Transport, TransportSettings};
