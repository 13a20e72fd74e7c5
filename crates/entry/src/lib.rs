//! The process between callers and sidecars.
//!
//! This crate is for the entry's shell: callers' HTTP in, the core's sessions, queues, choosers and
//! claims driven by events, their actions out. It is not for decisions.

mod admit;
mod api;
mod control;
mod daemon;
mod drive;
mod handler;
mod outgoing;
mod settings;
mod state;
pub mod tokenizer;

pub use daemon::Handle;
pub use daemon::start;
pub use settings::Settings;
