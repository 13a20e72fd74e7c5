//! The state of one request at one stage.

use std::collections::BTreeMap;

use super::message::Action;
use super::message::Frame;
use super::message::Open;
use super::message::Resume;
use super::message::Run;
use super::message::Tokens;
use crate::request::Position;
use crate::time::Instant;

/// The run in progress on the engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) run: Run,
    pub(super) first: Position,
    pub(super) count: usize,
}

/// The state of one request at one stage.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) open: Open,
    /// The outputs of the positions that have run.
    pub(super) outputs: Vec<u64>,
    /// Inputs that have not run.
    pub(super) pending: BTreeMap<Position, u64>,
    pub(super) running: Option<Running>,
    /// The next output to send; `None` until the entry sends it.
    pub(super) sent: Option<Position>,
    /// The position up to which inputs were received.
    pub(super) reached: Position,
    pub(super) last_activity: Instant,
}

impl Slot {
    pub(super) fn new(now: Instant, open: Open) -> Self {
        Self {
            sent: open.downstream,
            open,
            outputs: Vec::new(),
            pending: BTreeMap::new(),
            running: None,
            reached: Position(0),
            last_activity: now,
        }
    }

    /// Returns the number of positions that this stage has run.
    pub(super) fn count(&self) -> Position {
        Position(self.outputs.len() as u64)
    }

    /// Moves to a newer epoch and drops the pending inputs.
    ///
    /// The predecessor, which may be a replacement, sends them again from `count`. A run in progress
    /// stays valid: it is based on tokens that the entry has emitted, which no epoch changes.
    pub(super) fn change_epoch(&mut self, open: Open) {
        self.pending.clear();
        self.sent = open.downstream;
        self.open = open;
    }

    pub(super) fn resume(&mut self, resume: Resume) {
        self.sent = Some(resume.downstream);
        self.open.rebuild_until = resume.rebuild_until;
    }

    /// Adds inputs; ignores positions that have run, are running or are pending.
    ///
    /// Links retransmit frames after a connection was silent. Running a duplicate would extend the
    /// engine's cache twice at the same position.
    pub(super) fn receive(&mut self, frame: &Frame) {
        let busy_until = match self.running {
            Some(running) => running.first.plus(running.count),
            None => self.count(),
        };
        self.reached = self.reached.max(frame.first.plus(frame.values.len()));
        for (offset, value) in frame.values.iter().enumerate() {
            let position = frame.first.plus(offset);
            if position < busy_until || position >= self.open.limit {
                continue;
            }
            self.pending.entry(position).or_insert(*value);
        }
    }

    /// Starts an engine run on the next consecutive inputs.
    ///
    /// Under a new epoch this waits for [`Resume`], which says which positions are rebuilt. Inputs
    /// that arrive before it would otherwise run as if for the first time.
    pub(super) fn start_run(&mut self, run: Run, max_length: usize) -> Option<Action> {
        if self.running.is_some() || self.sent.is_none() {
            return None;
        }
        let first = self.count();
        let rebuild = first < self.open.rebuild_until;
        let mut inputs = Vec::new();
        while inputs.len() < max_length {
            let position = first.plus(inputs.len());
            if (position < self.open.rebuild_until) != rebuild {
                break;
            }
            match self.pending.remove(&position) {
                Some(value) => inputs.push(value),
                None => break,
            }
        }
        if inputs.is_empty() {
            return None;
        }
        self.running = Some(Running {
            run,
            first,
            count: inputs.len(),
        });
        Some(Action::Run {
            run,
            request: self.open.request,
            layers: self.open.route.stages[self.open.index].layers,
            first,
            inputs,
            rebuild,
        })
    }

    /// Records the outputs of the run in progress.
    pub(super) fn finish_run(&mut self, outputs: &[u64]) {
        self.running = None;
        self.outputs.extend_from_slice(outputs);
    }

    /// Sends the outputs that the successor lacks.
    pub(super) fn send_outputs(&mut self) -> Option<Action> {
        let sent = self.sent?;
        if sent >= self.count() {
            return None;
        }
        self.sent = Some(self.count());
        let values = self.outputs[sent.0 as usize..].to_vec();
        let request = self.open.request;
        let epoch = self.open.epoch;
        let Some(next) = self.open.route.stages.get(self.open.index + 1) else {
            let tokens = Tokens {
                request,
                epoch,
                first: sent,
                values,
            };
            let to = self.open.route.entry.clone();
            return Some(Action::Deliver { to, tokens });
        };
        Some(Action::Send {
            server: next.server.clone(),
            to: next.address.clone(),
            frame: Frame {
                request,
                epoch,
                first: sent,
                values,
            },
        })
    }
}
