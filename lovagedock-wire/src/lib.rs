//! Protocol between lovagedock's own processes.
//!
//! `schema/lovagedock.capnp` is the protocol; `lovagedock_capnp` is generated from it and
//! committed, so that a build needs no generator.

#[allow(
    missing_docs,
    unreachable_pub,
    unsafe_code,
    clippy::all,
    unused_qualifications
)]
#[rustfmt::skip]
pub mod lovagedock_capnp;
