//! Wire types of steps.

use std::sync::Arc;

use jujube_core::layer::Range;
use jujube_core::ledger;
use jujube_core::path;
use jujube_core::request::Epoch;
use jujube_core::request::Position;
use jujube_core::request::Request;
use serde::Deserialize;
use serde::Serialize;

/// A stage of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stage {
    /// The backend server.
    pub server: String,
    /// Its sidecar's address.
    pub address: String,
    /// The first layer.
    pub start: u32,
    /// The layer after the last.
    pub end: u32,
}

/// See [`ledger::Open`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Open {
    /// Which request.
    pub request: Request,
    /// Its epoch.
    pub epoch: Epoch,
    /// The entry's address.
    pub entry: String,
    /// All stages.
    pub stages: Vec<Stage>,
    /// The receiver's place among them.
    pub index: u32,
    /// From where the successor lacks outputs.
    pub downstream: Option<Position>,
    /// Positions before this one ran before.
    pub rebuild_until: Position,
    /// The sequence's length at which the request ends.
    pub limit: Position,
}

/// A route that is none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRoute;

/// See [`ledger::Opened`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Opened {
    /// The position up to which the stage has run.
    pub count: Position,
    /// The position up to which it has had inputs.
    pub reached: Position,
}

/// See [`ledger::Refused`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum OpenError {
    /// A newer epoch is known.
    Stale(Epoch),
    /// The backend server is leaving.
    Draining,
    /// No slot is free.
    Busy,
    /// The route does not fit.
    Misrouted,
}

/// See [`ledger::Resume`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Resume {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// Outputs from here on are sent.
    pub downstream: Position,
    /// Positions before this one ran before.
    pub rebuild_until: Position,
}

/// See [`ledger::Frame`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// The position of the first value.
    pub first: Position,
    /// Tokens or activations.
    pub values: Vec<u64>,
}

/// A frame that was not taken because the stage does not know the request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Unknown {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
}

/// Frees a request up to an epoch.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Release {
    /// Which request.
    pub request: Request,
    /// Up to which epoch.
    pub epoch: Epoch,
}

/// See [`ledger::Tokens`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tokens {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// The position whose run gave the first token.
    pub first: Position,
    /// The tokens.
    pub values: Vec<u64>,
}

/// See [`ledger::Lost`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lost {
    /// Which request.
    pub request: Request,
    /// Under which epoch.
    pub epoch: Epoch,
    /// The stage that is gone.
    pub server: String,
}

impl From<&ledger::Open> for Open {
    fn from(open: &ledger::Open) -> Self {
        let stages = open.route.stages.iter().map(|stage| Stage {
            server: stage.server.to_string(),
            address: stage.address.to_string(),
            start: stage.layers.start,
            end: stage.layers.end,
        });
        Self {
            request: open.request,
            epoch: open.epoch,
            entry: open.route.entry.to_string(),
            stages: stages.collect(),
            index: open.index as u32,
            downstream: open.downstream,
            rebuild_until: open.rebuild_until,
            limit: open.limit,
        }
    }
}

impl TryFrom<Open> for ledger::Open {
    type Error = BadRoute;

    fn try_from(open: Open) -> Result<Self, Self::Error> {
        let stages = open.stages.into_iter().map(|stage| path::Stage {
            server: stage.server.into(),
            address: stage.address.into(),
            layers: Range::new(stage.start, stage.end),
        });
        let route = path::Route {
            entry: open.entry.into(),
            stages: stages.collect(),
        };
        let layers = route.stages.last().map_or(0, |stage| stage.layers.end);
        // A route with a gap or an overlap would skip or repeat layers on every token.
        if !route.is_partition(layers) || open.index as usize >= route.stages.len() {
            return Err(BadRoute);
        }
        Ok(Self {
            request: open.request,
            epoch: open.epoch,
            route: Arc::new(route),
            index: open.index as usize,
            downstream: open.downstream,
            rebuild_until: open.rebuild_until,
            limit: open.limit,
        })
    }
}

impl From<ledger::Opened> for Opened {
    fn from(opened: ledger::Opened) -> Self {
        Self {
            count: opened.count,
            reached: opened.reached,
        }
    }
}

impl From<Opened> for ledger::Opened {
    fn from(opened: Opened) -> Self {
        Self {
            count: opened.count,
            reached: opened.reached,
        }
    }
}

impl From<ledger::Refused> for OpenError {
    fn from(refused: ledger::Refused) -> Self {
        match refused {
            ledger::Refused::Stale(epoch) => Self::Stale(epoch),
            ledger::Refused::Draining => Self::Draining,
            ledger::Refused::Busy => Self::Busy,
            ledger::Refused::Misrouted => Self::Misrouted,
        }
    }
}

impl From<ledger::Resume> for Resume {
    fn from(resume: ledger::Resume) -> Self {
        Self {
            request: resume.request,
            epoch: resume.epoch,
            downstream: resume.downstream,
            rebuild_until: resume.rebuild_until,
        }
    }
}

impl From<Resume> for ledger::Resume {
    fn from(resume: Resume) -> Self {
        Self {
            request: resume.request,
            epoch: resume.epoch,
            downstream: resume.downstream,
            rebuild_until: resume.rebuild_until,
        }
    }
}

impl From<ledger::Frame> for Frame {
    fn from(frame: ledger::Frame) -> Self {
        Self {
            request: frame.request,
            epoch: frame.epoch,
            first: frame.first,
            values: frame.values,
        }
    }
}

impl From<Frame> for ledger::Frame {
    fn from(frame: Frame) -> Self {
        Self {
            request: frame.request,
            epoch: frame.epoch,
            first: frame.first,
            values: frame.values,
        }
    }
}

impl From<ledger::Tokens> for Tokens {
    fn from(tokens: ledger::Tokens) -> Self {
        Self {
            request: tokens.request,
            epoch: tokens.epoch,
            first: tokens.first,
            values: tokens.values,
        }
    }
}

impl From<Tokens> for ledger::Tokens {
    fn from(tokens: Tokens) -> Self {
        Self {
            request: tokens.request,
            epoch: tokens.epoch,
            first: tokens.first,
            values: tokens.values,
        }
    }
}

impl From<ledger::Lost> for Lost {
    fn from(lost: ledger::Lost) -> Self {
        Self {
            request: lost.request,
            epoch: lost.epoch,
            server: lost.server.to_string(),
        }
    }
}

impl From<Lost> for ledger::Lost {
    fn from(lost: Lost) -> Self {
        Self {
            request: lost.request,
            epoch: lost.epoch,
            server: lost.server.into(),
        }
    }
}
