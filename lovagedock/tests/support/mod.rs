//! Simulations and a fake store shared by the tests of claims, leases and adoption.
#![allow(dead_code)]

pub(crate) mod claim_simulation;
pub(crate) mod lease_simulation;
pub(crate) mod relay_simulation;
pub(crate) mod store;
