//! Inputs and actions of a session.

use std::sync::Arc;

use crate::ledger::Frame;
use crate::ledger::Open;
use crate::ledger::Resume;
use crate::name::Server;
use crate::path::Stage;
use crate::refusal::Refusal;
use crate::request::Epoch;
use crate::request::Request;
use crate::time::Span;

/// The request of the caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Spec {
    /// The request's identifier.
    pub request: Request,
    /// The prompt's tokens; at least one.
    pub prompt: Vec<u64>,
    /// The number of tokens to generate; at least one.
    pub max_tokens: usize,
}

/// Settings of the recovery of sessions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// How long to wait for a token before a new epoch is opened.
    pub stall: Span,
    /// How long a started answer waits for a new path before it fails.
    pub patience: Span,
    /// How long to wait between attempts to find a new path.
    pub retry_interval: Span,
    /// The maximum number of epochs of a request.
    pub max_epochs: u64,
    /// The retry delay that failures report to the caller.
    pub retry_after: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            stall: Span(3_000),
            patience: Span(5_000),
            retry_interval: Span(100),
            max_epochs: 64,
            retry_after: Span(2_000),
        }
    }
}

/// A request to the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open the request at a stage and report the answer with `opened`.
    Open {
        /// The stage.
        stage: Stage,
        /// The message.
        open: Open,
    },
    /// Tell a stage from which position to send outputs.
    Resume {
        /// The stage.
        stage: Stage,
        /// The message.
        resume: Resume,
    },
    /// Send inputs to the first stage.
    Feed {
        /// The stage.
        stage: Stage,
        /// The message.
        frame: Frame,
    },
    /// Free the request at a stage.
    Release {
        /// The stage.
        stage: Stage,
        /// The request.
        request: Request,
        /// The last epoch to free.
        epoch: Epoch,
    },
    /// Find a new route and report it with `routed`.
    Reroute {
        /// Backend servers that failed this request; if empty, all may be used again.
        excluded: Vec<Server>,
    },
    /// Send tokens to the caller; each is emitted once, in order.
    Emit {
        /// The index of the first token in the answer.
        first: usize,
        /// The tokens.
        tokens: Vec<u64>,
    },
    /// The answer is complete.
    Finish,
    /// The answer cannot be completed.
    Fail(Arc<Refusal>),
}
