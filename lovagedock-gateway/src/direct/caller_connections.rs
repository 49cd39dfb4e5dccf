//! Connections of callers, and how they end.

use std::{
    collections::HashMap,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use lovagedock::{ConnectionId, ConnectionPhase, ConnectionTable, ConnectionVerdict};
use lovagedock_daemon::ProcessClock;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{io::AsyncReadExt, net::TcpStream, sync::Notify, time::timeout};

use super::output_memory::ConnectionCut;

/// Bytes that are read, and the time for it, after a response that was sent before the request was
/// read. If the connection were closed over unread bytes, the caller might lose the response.
const CLOSING_READ_BYTES: usize = 256 << 10;
const CLOSING_TIMEOUT: Duration = Duration::from_secs(1);

/// All connections of callers.
pub(crate) struct CallerConnections {
    clock: ProcessClock,
    /// Lock order: this lock is a leaf.
    state: Mutex<ConnectionsState>,
}

struct ConnectionsState {
    table: ConnectionTable,
    /// Closes each connection.
    closers: HashMap<ConnectionId, Arc<Notify>>,
}

impl ConnectionsState {
    fn close(&self, id: ConnectionId) {
        if let Some(closer) = self.closers.get(&id) {
            closer.notify_one();
        }
    }
}

impl CallerConnections {
    /// Creates an empty table for `limit` connections.
    pub(crate) fn new(clock: ProcessClock, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(ConnectionsState {
                table: ConnectionTable::new(limit),
                closers: HashMap::new(),
            }),
        })
    }

    /// Adds a connection, or returns `None` if all others serve requests. Another one may be closed
    /// in its place.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Arc<CallerConnection>> {
        let mut state = self.state.lock();
        let ConnectionVerdict::Admitted { id, closed } = state.table.open(self.clock.now()) else {
            return None;
        };
        if let Some(closed) = closed {
            state.close(closed);
            metrics::counter!("lovagedock_connections_displaced_total").increment(1);
        }
        let closer = Arc::new(Notify::new());
        state.closers.insert(id, Arc::clone(&closer));
        metrics::gauge!("lovagedock_caller_connections").set(state.table.open_count() as f64);
        Some(Arc::new(CallerConnection {
            connections: Arc::clone(self),
            id,
            closer,
            cut: ConnectionCut::default(),
            is_idle: AtomicBool::new(true),
            is_answered: AtomicBool::new(false),
            is_unread: AtomicBool::new(false),
        }))
    }

    /// Closes connections whose head has been arriving for longer than `timeout`, and returns their
    /// number.
    pub(crate) fn close_late_heads(&self, timeout: Duration) -> usize {
        let mut state = self.state.lock();
        let late = state.table.take_late_heads(self.clock.now(), timeout);
        late.iter().for_each(|id| state.close(*id));
        metrics::counter!("lovagedock_late_heads_total").increment(late.len() as u64);
        late.len()
    }
}

/// A connection of a caller. Dropping it removes it from the table.
pub(crate) struct CallerConnection {
    connections: Arc<CallerConnections>,
    id: ConnectionId,
    closer: Arc<Notify>,
    cut: ConnectionCut,
    /// Whether the next byte begins a request.
    is_idle: AtomicBool,
    /// Whether a response was read from its source and not flushed yet.
    is_answered: AtomicBool,
    /// Whether a response was sent before its request was read.
    is_unread: AtomicBool,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state.lock();
        state.table.close(self.id);
        state.closers.remove(&self.id);
    }
}

impl CallerConnection {
    /// Resets the connection. The kernel would keep what the caller has not read.
    pub(crate) fn cut(&self) -> &ConnectionCut {
        &self.cut
    }

    /// Waits until the connection is to be closed in favour of others.
    pub(crate) async fn wait_for_close(&self) {
        self.closer.notified().await;
    }

    /// Records that the head of a request was read.
    pub(crate) fn begin_body(&self) {
        self.is_answered.store(false, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Body);
    }

    /// Records that a whole request was read. Returns whether it may be served; otherwise the
    /// connection is being closed.
    pub(crate) fn begin_serving(&self) -> bool {
        self.set_phase(ConnectionPhase::Serving)
    }

    /// Records that the response to a request was read as a whole from its source. The connection
    /// is idle once the caller's stream was flushed.
    pub(crate) fn end_response(&self) {
        self.is_answered.store(true, Ordering::Relaxed);
    }

    fn set_phase(&self, phase: ConnectionPhase) -> bool {
        let is_idle = phase == ConnectionPhase::Idle;
        self.is_idle.store(is_idle, Ordering::Relaxed);
        let now = self.connections.clock.now();
        let mut state = self.connections.state.lock();
        state.table.set_phase(now, self.id, phase)
    }

    /// Records that a response is sent before the whole request was read.
    pub(crate) fn set_unread(&self) {
        self.is_unread.store(true, Ordering::Relaxed);
    }

    /// Gives the caller time to read a response that was sent before its request was read. The
    /// sending side was shut down already.
    pub(crate) async fn finish(&self, mut stream: TcpStream) {
        if !self.is_unread.load(Ordering::Relaxed) {
            return;
        }
        self.set_phase(ConnectionPhase::Closing);
        let discard = async {
            let mut buffer = [0; 4 << 10];
            let mut left = CLOSING_READ_BYTES;
            while left > 0 {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(bytes) => left = left.saturating_sub(bytes),
                }
            }
        };
        tokio::select! {
            _ = timeout(CLOSING_TIMEOUT, discard) => {}
            () = self.wait_for_close() => {}
        }
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }

    fn record_read(&self) {
        if self.is_idle.load(Ordering::Relaxed) {
            self.set_phase(ConnectionPhase::Head);
        }
    }

    fn record_flush(&self) {
        if self.is_answered.swap(false, Ordering::Relaxed) {
            self.set_phase(ConnectionPhase::Idle);
        }
    }
}

/// A stream that records when a request begins and when a response was written.
pub(crate) struct CallerStream {
    stream: TokioIo<TcpStream>,
    connection: Arc<CallerConnection>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<CallerConnection>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            connection,
        }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.connection.record_read();
        }
        polled
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.connection.record_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
