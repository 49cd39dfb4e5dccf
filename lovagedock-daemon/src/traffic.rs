//! Counts the bytes that connections transfer.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that the process has sent and received.
static BYTES_TRANSFERRED: AtomicU64 = AtomicU64::new(0);

/// Bytes that all counted connections have sent and received so far.
pub(crate) fn bytes_transferred() -> u64 {
    BYTES_TRANSFERRED.load(Ordering::Relaxed)
}

/// A connection that counts the bytes on the wire.
pub(crate) struct CountedStream {
    stream: TcpStream,
    sent: metrics::Counter,
    received: metrics::Counter,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            sent: metrics::counter!("lovagedock_transport_sent_bytes_total"),
            received: metrics::counter!("lovagedock_transport_received_bytes_total"),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - before) as u64;
        self.received.increment(count);
        BYTES_TRANSFERRED.fetch_add(count, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = polled {
            self.sent.increment(count as u64);
            BYTES_TRANSFERRED.fetch_add(count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(count)) = polled {
            self.sent.increment(count as u64);
            BYTES_TRANSFERRED.fetch_add(count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
