//! Fakes that the tests of claims, leases and adoption share.
#![allow(dead_code)]

pub(crate) mod claim_world;
pub(crate) mod lease_world;
pub(crate) mod relay_world;
pub(crate) mod store;
