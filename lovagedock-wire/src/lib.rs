//! Protocol between lovagedock's own processes.
//!
//! `schema/lovagedock.capnp` is the protocol; `lovagedock_capnp` is generated from it and
//! committed, so that a build needs no generator. Everything else here turns generated types into
//! the typed messages of [`messages`](WorkMessage) and back, so that no other crate names a
//! generated type.
//!
//! A process that offers something implements [`EndpointHandler`] or [`PeerHandler`] and calls
//! [`serve_endpoint`] or [`serve_peer`] for each connection. A process that asks connects an
//! [`EndpointClient`] or a [`PeerClient`]. Sessions are not `Send`: they live on one worker's
//! `LocalSet`.

mod codec;
mod endpoint_client;
mod endpoint_server;
#[allow(
    missing_docs,
    unreachable_pub,
    unsafe_code,
    clippy::all,
    unused_qualifications
)]
#[rustfmt::skip]
mod lovagedock_capnp;
mod messages;
mod order_codec;
mod peer;
mod stream;
mod suspect_codec;

pub use endpoint_client::{AnswerReceiver, EndpointClient};
pub use endpoint_server::{AnswerSender, EndpointHandler, serve_endpoint};
pub use messages::{
    AnswerHead, ConfigMessage, HeaderField, LoadMessage, OrderMessage, OrderReply, PeerIdentity,
    ReserveReply, SegmentRange, SegmentReply, SpanHolder, SubmitReply, WireError, WorkMessage,
};
pub use peer::{PeerClient, PeerHandler, serve_peer};
pub use stream::WireStream;

/// Version of the protocol; a peer of another version is refused in the welcome.
pub const PROTOCOL_VERSION: u32 = 1;
