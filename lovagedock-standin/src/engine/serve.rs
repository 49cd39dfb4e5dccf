//! Accepts connections and breaks them when the engine crashes.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::{routes, state::EngineState};

const BACKLOG: u32 = 1_024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

pub(crate) async fn serve(state: Arc<EngineState>, mut listener: TcpListener) -> io::Result<()> {
    let address = listener.local_addr()?;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                match accepted {
                    Ok((stream, _)) => {
                        tokio::spawn(serve_connection(state.clone(), stream));
                    }
                    // The process is out of file descriptors. An immediate retry would only spin.
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
            () = state.crashed() => {
                drop(listener);
                // The bound socket reserves the port. Without `listen`, connections are refused.
                let socket = rebind(address)?;
                state.restarted().await;
                listener = socket.listen(BACKLOG)?;
            }
        }
    }
}

fn rebind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn serve_connection(state: Arc<EngineState>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let shared = state.clone();
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let state = shared.clone();
        async move { Ok::<_, Infallible>(routes::route(state, request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = state.crashed() => {}
        _ = connection => {}
    }
}
