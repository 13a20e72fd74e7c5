//! What every program of jujubeshore shares: settings, arguments, logs, counters, signals and the
//! plumbing around the HTTP library.
//!
//! This crate is for code that no decision depends on. It is not for the protocol between the
//! system's own processes, which is in `jujube-wire`, nor for anything that routes.

pub mod allowance;
pub mod arguments;
pub mod clock;
pub mod counters;
pub mod event;
pub mod http;
pub mod listen;
pub mod logs;
pub mod settings;
pub mod shutdown;
pub mod word;
