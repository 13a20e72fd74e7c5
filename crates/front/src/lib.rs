//! The entry before engines that forward along a path of their own.
//!
//! This crate is for the shell: callers' HTTP in, the decisions of `jujube_core::pipeline` driven
//! by events, and their outcome out. It follows the configuration and the registrations in a
//! store, and one of the entries at a time places the model's layers. What the wire calls things
//! is said by a [`dialect::Dialect`]; this crate is not for that, nor for decisions.

mod body;
mod daemon;
pub mod dialect;
mod fleet;
mod follow;
mod gossip;
mod head;
mod metrics;
mod planner;
mod pool;
mod probe;
mod ready;
mod reload;
mod request;
mod response;
mod restore;
mod retries;
mod settings;
mod slack;
mod state;
mod stream;
mod unary;
mod upstream;
mod waiting;
mod watchdog;

pub use daemon::run;
pub use settings::Settings;
