//! A reverse proxy for inference engines that forward each request along a path of servers.
//!
//! This crate accepts callers' HTTP requests, feeds events to the decision logic in
//! `jujube_core::pipeline` and carries out its decisions. It follows the configuration and the
//! registrations in a store, and one entry at a time, the planner, assigns the models' layers to
//! servers. A [`dialect::Dialect`] maps the platform's wire format; neither wire formats nor
//! decision logic belong in this crate.

mod blocks;
mod body;
mod crowd;
mod daemon;
mod delivery;
mod departure;
pub mod dialect;
mod feed;
mod fleet;
mod framing;
mod gate;
mod gossip;
mod head;
mod hold;
mod limits;
mod loans;
mod malformed;
#[allow(
    dead_code,
    reason = "responses and read-ahead are to use the rest of it"
)]
mod memory;
mod metrics;
mod notices;
mod planner;
mod pool;
mod probe;
mod quarantine;
mod ready;
mod reason;
mod reload;
mod request;
mod response;
mod restore;
mod retries;
mod settings;
mod slack;
mod sockets;
mod state;
mod store_watch;
mod strangers;
mod stream;
mod tasks;
mod turn_away;
mod unary;
mod upload;
mod upstream;
mod vitals;
mod waiting;
mod watchdog;

pub use daemon::run;
pub use feed::kind::of as kind_of;
pub use feed::kind::parts;
pub use settings::Settings;
