//! Daemon beside each endpoint: the one door for work and orders to it.

pub mod adapter;
