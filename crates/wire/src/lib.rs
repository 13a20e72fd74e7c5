//! The protocol between the system's own processes.
//!
//! This crate is for the `tarpc` services, their wire types with conversions to and from the core's
//! values, and connections that find out when they have gone silent. It is not for decisions (they
//! are in `jujube-core`) and not for callers' or backend servers' protocols.

pub mod config;
pub mod connection;
pub mod heartbeat;
pub mod outbox;
pub mod plain;
pub mod server;
pub mod service;
pub mod step;
