//! Inputs and actions of the ledger.

use std::sync::Arc;

use crate::layer::Range;
use crate::name::Server;
use crate::number::numbers;
use crate::path::Route;
use crate::request::Epoch;
use crate::request::Position;
use crate::request::Request;

numbers! {
    /// Numbers the engine runs at a sidecar.
    ///
    /// A run may end after its request was freed and opened again. The number keeps its outputs from
    /// being recorded for the new run.
    Run;
}

/// Opens a request at a stage, or moves an open request to a new epoch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Open {
    /// The request.
    pub request: Request,
    /// Its epoch; refused if the stage knows a newer one.
    pub epoch: Epoch,
    /// The route through all stages.
    pub route: Arc<Route>,
    /// The index of this stage in the route.
    pub index: usize,
    /// The first position whose output the successor lacks; `None` until all stages have answered.
    pub downstream: Option<Position>,
    /// A lost stage ran these layers at the positions before this one.
    pub rebuild_until: Position,
    /// The number of positions to run.
    pub limit: Position,
}

/// The answer to [`Open`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Opened {
    /// The number of positions that this stage has run.
    pub count: Position,
    /// The position up to which this stage has received inputs, and so its predecessors have run.
    pub reached: Position,
}

/// Why a stage refused a request; it ran nothing under the refused epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// A newer epoch is known, or the request has been released.
    #[error("the epoch is older than {0}")]
    Stale(Epoch),
    /// The backend server is draining.
    #[error("the backend server is leaving")]
    Draining,
    /// All slots are in use.
    #[error("no slot is free")]
    Busy,
    /// The route does not match this stage.
    #[error("the route does not fit this stage")]
    Misrouted,
}

/// Sends a stage the position from which its successor lacks outputs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resume {
    /// The request.
    pub request: Request,
    /// Its epoch.
    pub epoch: Epoch,
    /// The first output to send.
    pub downstream: Position,
    /// See [`Open::rebuild_until`].
    pub rebuild_until: Position,
}

/// Inputs of consecutive positions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Frame {
    /// The request.
    pub request: Request,
    /// Its epoch.
    pub epoch: Epoch,
    /// The position of the first value.
    pub first: Position,
    /// Tokens for the first stage, activations for others.
    pub values: Vec<u64>,
}

/// Tokens for the entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tokens {
    /// The request.
    pub request: Request,
    /// The epoch of their run.
    pub epoch: Epoch,
    /// The position whose run produced the first token.
    pub first: Position,
    /// The tokens.
    pub values: Vec<u64>,
}

/// Reports to the entry that a stage cannot continue a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lost {
    /// The request.
    pub request: Request,
    /// Its epoch.
    pub epoch: Epoch,
    /// The server of the lost stage.
    pub server: Server,
}

/// The result of receiving a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Received {
    /// Accepted, or a duplicate.
    Accepted,
    /// Its epoch is outdated.
    Stale,
    /// The request or epoch is unknown; this stage may have restarted.
    Unknown,
}

/// A request to the sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run layers on the engine at consecutive positions.
    Run {
        /// The number with which to report the end of the run.
        run: Run,
        /// The request.
        request: Request,
        /// The layers.
        layers: Range,
        /// The position of the first input.
        first: Position,
        /// The inputs.
        inputs: Vec<u64>,
        /// Whether this rebuilds the cache of positions that a lost stage has run.
        rebuild: bool,
    },
    /// Send a frame to the successor.
    Send {
        /// The successor.
        server: Server,
        /// Its address.
        to: Arc<str>,
        /// The frame.
        frame: Frame,
    },
    /// Send tokens to the entry.
    Deliver {
        /// The entry's address.
        to: Arc<str>,
        /// The tokens.
        tokens: Tokens,
    },
    /// Report a lost stage to the entry.
    Report {
        /// The entry's address.
        to: Arc<str>,
        /// The report.
        lost: Lost,
    },
    /// Free the cache of a request on the engine and report it with `freed`.
    Free {
        /// The request.
        request: Request,
    },
}
