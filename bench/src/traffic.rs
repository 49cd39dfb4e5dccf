//! Connections whose bytes and writes are counted.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use lovagedock_wire::WireStream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};

#[derive(Default)]
struct TrafficCount {
    bytes: Cell<usize>,
    writes: Cell<usize>,
}

/// A connection whose bytes and writes are counted.
struct CountedStream {
    inner: TcpStream,
    count: Rc<TrafficCount>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = &written {
            self.count.bytes.set(self.count.bytes.get() + length);
            self.count.writes.set(self.count.writes.get() + 1);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Connections over loopback whose traffic is counted, both directions together.
pub(crate) struct CountedPair {
    listener: TcpListener,
    count: Rc<TrafficCount>,
}

impl CountedPair {
    /// Listens on a free port.
    pub(crate) async fn new() -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").await.expect("loopback"),
            count: Rc::default(),
        }
    }

    /// Both ends of a new connection.
    pub(crate) async fn streams(&self) -> (Box<dyn WireStream>, Box<dyn WireStream>) {
        let address = self.listener.local_addr().expect("bound");
        let (near, far) = tokio::join!(TcpStream::connect(address), self.listener.accept());
        let (near, far) = (near.expect("connects"), far.expect("accepts").0);
        (self.counted(near), self.counted(far))
    }

    /// Begins to count anew.
    pub(crate) fn reset(&self) {
        self.count.bytes.set(0);
        self.count.writes.set(0);
    }

    /// Bytes since the reset.
    pub(crate) fn bytes(&self) -> f64 {
        self.count.bytes.get() as f64
    }

    /// Writes since the reset.
    pub(crate) fn writes(&self) -> f64 {
        self.count.writes.get() as f64
    }

    fn counted(&self, inner: TcpStream) -> Box<dyn WireStream> {
        inner.set_nodelay(true).expect("nodelay");
        Box::new(CountedStream {
            inner,
            count: Rc::clone(&self.count),
        })
    }
}
