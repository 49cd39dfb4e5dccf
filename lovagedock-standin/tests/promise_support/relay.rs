//! A TCP relay between a gateway and a sidecar whose connections can go silent or break.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

const BUFFER_BYTES: usize = 16 * 1024;

/// What the relay does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Passage {
    Open,
    /// Both ends stay connected and nothing gets through, for good.
    Silent,
    Cut,
}

/// A fault of the connections that are open when it begins; later ones work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    Silent,
    Cut,
}

/// A running relay.
pub(crate) struct TcpRelay {
    pub(crate) address: SocketAddr,
    shared: Arc<RelayState>,
}

struct RelayState {
    target: SocketAddr,
    /// What befalls the connections that were opened since the last fault.
    present: parking_lot::Mutex<watch::Sender<Passage>>,
    refuses: AtomicBool,
    accepted: AtomicUsize,
}

impl TcpRelay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(RelayState {
            target,
            present: parking_lot::Mutex::new(watch::Sender::new(Passage::Open)),
            refuses: AtomicBool::new(false),
            accepted: AtomicUsize::new(0),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Self { address, shared }
    }

    /// Lets a fault befall all connections that are open now.
    pub(crate) fn strike(&self, fault: LinkFault) {
        let passage = match fault {
            LinkFault::Silent => Passage::Silent,
            LinkFault::Cut => Passage::Cut,
        };
        let mut present = self.shared.present.lock();
        let before = std::mem::replace(&mut *present, watch::Sender::new(Passage::Open));
        before.send_replace(passage);
    }

    /// Breaks new connections at once, too.
    pub(crate) fn refuse_new(&self) {
        self.shared.refuses.store(true, Ordering::SeqCst);
    }

    /// Connections so far.
    pub(crate) fn accepted(&self) -> usize {
        self.shared.accepted.load(Ordering::SeqCst)
    }
}

async fn accept(listener: TcpListener, shared: Arc<RelayState>) {
    loop {
        let (near, _) = listener.accept().await.unwrap();
        if shared.refuses.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(far) = TcpStream::connect(shared.target).await else {
            continue;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        shared.accepted.fetch_add(1, Ordering::SeqCst);
        let passage = shared.present.lock().subscribe();
        tokio::spawn(relay(near, far, passage));
    }
}

async fn relay(near: TcpStream, far: TcpStream, passage: watch::Receiver<Passage>) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, passage.clone());
    let back = copy(far_read, near_write, passage);
    // A broken direction breaks the other.
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

/// Copies until an end closes or the connection is cut; a silent one reads on and drops all.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut passage: watch::Receiver<Passage>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let now = *passage.borrow_and_update();
        match now {
            Passage::Open => {}
            Passage::Cut => return,
            Passage::Silent => std::future::pending().await,
        }
        tokio::select! {
            biased;
            // An error says that the sender is gone, which happens only after its last word.
            _ = passage.changed() => {}
            read = from.read(&mut buffer) => match read {
                Ok(0) | Err(_) => return,
                Ok(length) => {
                    if to.write_all(&buffer[..length]).await.is_err() {
                        return;
                    }
                }
            },
        }
    }
}
