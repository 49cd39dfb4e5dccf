//! Contract of the operators' command line: what it prints and what it exits with.

mod apply;
mod commands;
mod common;
mod http_client;
mod settings;
