//! What a session is told to do, and what it asks for.

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

/// What the caller wants.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Spec {
    /// The request's identifier.
    pub request: Request,
    /// The prompt's tokens; at least one.
    pub prompt: Vec<u64>,
    /// How many tokens to generate; at least one.
    pub max_tokens: usize,
}

/// How a session bears with trouble.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Without a token for this long, the stages are asked where they are.
    pub stall: Span,
    /// How long a begun answer looks for a new path before it fails.
    pub patience: Span,
    /// How long to wait before the next look.
    pub retry_interval: Span,
    /// The most epochs that one request may use.
    pub max_epochs: u64,
    /// What a caller is told to wait when there is no path.
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

/// What the entry is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open the request at a stage and report the answer.
    Open {
        /// The stage.
        stage: Stage,
        /// What to send.
        open: Open,
    },
    /// Tell a stage from where to send.
    Resume {
        /// The stage.
        stage: Stage,
        /// What to send.
        resume: Resume,
    },
    /// Send inputs to the first stage.
    Feed {
        /// The stage.
        stage: Stage,
        /// What to send.
        frame: Frame,
    },
    /// Free the request at a stage.
    Release {
        /// The stage.
        stage: Stage,
        /// Which request.
        request: Request,
        /// Up to which epoch.
        epoch: Epoch,
    },
    /// Find another route and report it with `routed`.
    Reroute {
        /// Backend servers that failed this request; an empty list lets all be tried again.
        excluded: Vec<Server>,
    },
    /// Give tokens to the caller; each is given out once, in order.
    Emit {
        /// The index of the first token in the answer.
        first: usize,
        /// The tokens.
        tokens: Vec<u64>,
    },
    /// The answer is whole.
    Finish,
    /// The answer will not become whole.
    Fail(Arc<Refusal>),
}
