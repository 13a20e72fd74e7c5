//! The two services: what a sidecar answers, and what an entry answers.

use jujube_core::head::Generation;
use jujube_core::verdict::Verdict;

use crate::config::Config;
use crate::config::Delta;
use crate::heartbeat::Answer;
use crate::heartbeat::Ask;
use crate::heartbeat::Order;
use crate::heartbeat::OrderError;
use crate::heartbeat::Settle;
use crate::step::Frame;
use crate::step::Lost;
use crate::step::Open;
use crate::step::OpenError;
use crate::step::Opened;
use crate::step::Release;
use crate::step::Resume;
use crate::step::Tokens;
use crate::step::Unknown;

/// Spoken to sidecars, by entries and by other sidecars.
#[tarpc::service]
pub trait Sidecar {
    /// Renews the asking entry's lease and tells how the backend server is.
    async fn heartbeat(ask: Ask) -> Answer;
    /// Puts a request on the stage or moves it to a newer epoch.
    async fn open(open: Open) -> Result<Opened, OpenError>;
    /// Starts sending to the successor; `false` when the request is not known.
    async fn resume(resume: Resume) -> bool;
    /// Takes inputs; names the requests that are not known.
    async fn frames(frames: Vec<Frame>) -> Vec<Unknown>;
    /// Frees requests.
    async fn release(releases: Vec<Release>);
    /// Returns the configuration in force.
    async fn config() -> Option<Config>;
    /// Takes a configuration if it is newer; returns the generation then in force.
    async fn offer(config: Config) -> u64;
    /// Returns what somebody at a generation lacks; none when that is too long ago.
    async fn delta(since: Generation) -> Option<Delta>;
    /// Takes a configuration as a difference; returns the generation then in force.
    async fn offer_delta(delta: Delta) -> u64;
    /// Says what became of a call to a plain service.
    async fn settle(settle: Settle) -> Verdict;
    /// Passes an order to the engine.
    async fn order(order: Order) -> Result<(), OrderError>;
}

/// Spoken to entries, by sidecars and by other entries.
#[tarpc::service]
pub trait Entry {
    /// Takes tokens.
    async fn tokens(tokens: Vec<Tokens>);
    /// Takes word of stages that are gone.
    async fn lost(lost: Vec<Lost>);
    /// Returns the configuration in force.
    async fn config() -> Option<Config>;
}
