//! Wire types of heartbeats, settlements and orders.

use jujube_core::fence;
use jujube_core::head::Generation;
use jujube_core::membership;
use jujube_core::request::BootId;
use jujube_core::request::Request;
use serde::Deserialize;
use serde::Serialize;

/// What an entry asks.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// The run of the entry; its requests' lease is renewed.
    pub entry: BootId,
    /// The configuration that the entry applies.
    pub generation: Generation,
}

/// What a sidecar answers; see [`membership::Heartbeat`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The run of the sidecar.
    pub incarnation: BootId,
    /// The configuration that it applies.
    pub generation: Generation,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether its backend server answers.
    pub healthy: bool,
    /// Requests held.
    pub held: u64,
    /// Where it takes calls to plain services.
    pub http: String,
    /// How many entries it hears from.
    pub entries: u64,
}

/// Which call is meant, and which run of the sidecar it went to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Settle {
    /// The call.
    pub call: Request,
    /// The run of the sidecar.
    pub sidecar: BootId,
}

/// An order to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// The giver's fencing number.
    pub token: fence::Token,
    /// The layers to load, as `start-end`.
    pub layers: String,
}

/// Why an order was not carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OrderError {
    /// The fencing number is old.
    Old {
        /// The number that is known.
        known: fence::Token,
    },
    /// The sidecar has not read the current number yet.
    NotKnownYet,
    /// The engine did not do it, or did not say.
    Engine(String),
}

impl From<Answer> for membership::Heartbeat {
    fn from(answer: Answer) -> Self {
        Self {
            incarnation: answer.incarnation,
            generation: answer.generation,
            draining: answer.draining,
            healthy: answer.healthy,
            held: answer.held,
            http: answer.http.into(),
            entries: answer.entries,
        }
    }
}

impl From<fence::Refused> for OrderError {
    fn from(refused: fence::Refused) -> Self {
        match refused {
            fence::Refused::Old { known, .. } => Self::Old { known },
            fence::Refused::NotKnownYet => Self::NotKnownYet,
        }
    }
}
