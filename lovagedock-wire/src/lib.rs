//! Protocol between lovagedock processes.
//!
//! `schema/lovagedock.capnp` defines the protocol. `lovagedock_capnp` is generated from it and
//! committed, so builds need no generator. The other modules convert between generated types and
//! the [typed messages](WorkMessage), so that no other crate uses a generated type.
//!
//! A server implements [`EndpointHandler`] or [`PeerHandler`] and calls [`serve_endpoint`] or
//! [`serve_peer`] for each connection. A client connects an [`EndpointClient`] or a [`PeerClient`].
//! Sessions are not `Send`: each stays on the `LocalSet` of one worker.

mod codec;
mod endpoint_client;
mod endpoint_server;
mod fleet_name;
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
mod part_codec;
mod peer;
mod stream;
mod suspect_codec;

pub use endpoint_client::{AnswerReceiver, EndpointClient};
pub use endpoint_server::{AnswerSender, EndpointHandler, serve_endpoint};
pub use fleet_name::{FleetName, fleet_name_problem, fleets_differ};
pub use messages::{
    AnswerHead, ConfigMessage, HeaderField, LoadMessage, OrderMessage, OrderReply, PeerIdentity,
    ReserveReply, SegmentRange, SegmentReply, SpanHolder, SubmitReply, WireError, WorkMessage,
};
pub use peer::{PeerClient, PeerHandler, serve_peer};
pub use stream::WireStream;

/// Version of the protocol; a welcome of another version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;
