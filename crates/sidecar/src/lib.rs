//! The process beside each backend server: the only way to it.
//!
//! This crate is for the sidecar's shell: it turns calls into events for the core's ledgers and
//! carries out their actions. It is not for decisions, and it chooses no paths.

mod control;
mod daemon;
mod engine;
mod handler;
mod perform;
mod proof;
mod proxy;
mod settings;
mod state;

pub use daemon::Handle;
pub use daemon::start;
pub use settings::Settings;
