//! Byte stream of a session and the RPC system on top of it.

use capnp::{capability::FromClientHook, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{
    AsyncReadExt,
    io::{BufReader, BufWriter},
};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::compat::TokioAsyncReadCompatExt;

/// A connection that a session can use: plain TCP, TLS, or a pipe in tests.
pub trait WireStream: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Unpin + 'static> WireStream for T {}

/// Largest message in words of 8 bytes. 64 MiB is several times the size of a prompt of a million
/// tokens.
const MAX_MESSAGE_WORDS: usize = 8 * 1024 * 1024;

pub(crate) type SessionSystem = RpcSystem<Side>;

/// Creates the client side; the caller spawns the system on its `LocalSet`.
pub(crate) fn client_system<C: FromClientHook>(stream: Box<dyn WireStream>) -> (SessionSystem, C) {
    let network = two_party(stream, Side::Client);
    let mut system = RpcSystem::new(network, None);
    let client = system.bootstrap(Side::Server);
    (system, client)
}

/// Creates the server side with the capability that the client receives first.
pub(crate) fn server_system(
    stream: Box<dyn WireStream>,
    bootstrap: capnp::capability::Client,
) -> SessionSystem {
    RpcSystem::new(two_party(stream, Side::Server), Some(bootstrap))
}

fn two_party(
    stream: Box<dyn WireStream>,
    side: Side,
) -> Box<VatNetwork<BufReader<impl futures::AsyncRead + Unpin>>> {
    let (reader, writer) = stream.compat().split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    Box::new(VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        side,
        options,
    ))
}
