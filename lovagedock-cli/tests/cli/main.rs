//! Tests of the operators' command line: its output and its exit codes.

mod apply;
mod commands;
mod common;
mod gateways;
mod http_client;
mod settings;
