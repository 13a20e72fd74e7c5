//! What goes into the ledger and what comes out.

use std::sync::Arc;

use crate::layer::Range;
use crate::name::Server;
use crate::number::numbers;
use crate::path::Route;
use crate::request::Epoch;
use crate::request::Position;
use crate::request::Request;

numbers! {
    /// The number of one engine run at one sidecar.
    ///
    /// A run that was started before a request was freed may end after the request is there again;
    /// without the number its outputs would be booked twice.
    Run;
}

/// Puts a request on a stage, or moves a known request to a new epoch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Open {
    /// Which request.
    pub request: Request,
    /// Its epoch; an older one than the stage knows is refused.
    pub epoch: Epoch,
    /// All stages.
    pub route: Arc<Route>,
    /// This stage's place in the route.
    pub index: usize,
    /// The position from which the successor lacks outputs; `None` while the entry still asks.
    pub downstream: Option<Position>,
    /// Positions before this one were run on these layers before: by a stage that is gone.
    pub rebuild_until: Position,
    /// The sequence's length at which the request ends.
    pub limit: Position,
}

/// The answer to [`Open`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Opened {
    /// The position up to which this stage has run.
    pub count: Position,
    /// The position up to which it has had inputs: its predecessors have run these, even where it
    /// has not itself.
    pub reached: Position,
}

/// Why a stage did not take a request. Nothing of it was run under the refused epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// A newer epoch is known, or the request has been released.
    #[error("the epoch is older than {0}")]
    Stale(Epoch),
    /// The backend server is leaving.
    #[error("the backend server is leaving")]
    Draining,
    /// Every slot is taken.
    #[error("no slot is free")]
    Busy,
    /// The route does not fit this stage.
    #[error("the route does not fit this stage")]
    Misrouted,
}

/// Tells a stage from which position its successor lacks outputs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resume {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// Outputs from here on are sent.
    pub downstream: Position,
    /// As in [`Open::rebuild_until`], now that every stage has answered.
    pub rebuild_until: Position,
}

/// Inputs of consecutive positions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Frame {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// The position of the first value.
    pub first: Position,
    /// Tokens for the first stage, activations for the others.
    pub values: Vec<u64>,
}

/// Tokens for the entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tokens {
    /// Which request.
    pub request: Request,
    /// Under which epoch they were run.
    pub epoch: Epoch,
    /// The position whose run gave the first token.
    pub first: Position,
    /// The tokens.
    pub values: Vec<u64>,
}

/// Word to the entry that a stage cannot go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lost {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// The stage that is gone.
    pub server: Server,
}

/// What became of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Received {
    /// Taken, or a repeat of what was taken before.
    Accepted,
    /// Of an older epoch.
    Stale,
    /// Of a request or epoch that this stage does not know: it has lost its memory.
    Unknown,
}

/// What the sidecar is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Have the engine run layers for consecutive positions.
    Run {
        /// The number to report back with.
        run: Run,
        /// Which request.
        request: Request,
        /// Which layers.
        layers: Range,
        /// The position of the first input.
        first: Position,
        /// The inputs.
        inputs: Vec<u64>,
        /// Whether the cache is rebuilt: these positions ran before on a stage that is gone.
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
    /// Tell the entry that a stage is gone.
    Report {
        /// The entry's address.
        to: Arc<str>,
        /// Which.
        lost: Lost,
    },
    /// Have the engine free a request's cache, and report it with `freed`.
    Free {
        /// Which request.
        request: Request,
    },
}
