//! The prompt and the tokens emitted so far.

use super::message::Spec;
use crate::ledger::Tokens;
use crate::request::Position;

/// A request and the tokens emitted so far.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) spec: Spec,
    pub(super) tokens: Vec<u64>,
}

impl Answer {
    pub(super) fn new(spec: Spec) -> Self {
        Self {
            spec,
            tokens: Vec::new(),
        }
    }

    /// Returns the position whose run produces the next token.
    pub(super) fn next(&self) -> Position {
        Position((self.spec.prompt.len() + self.tokens.len()) as u64 - 1)
    }

    /// Returns the total number of positions to run; the last token is not an input.
    pub(super) fn limit(&self) -> Position {
        Position((self.spec.prompt.len() + self.spec.max_tokens) as u64 - 1)
    }

    /// Returns the position up to which all layers are known to have run, since a token depends on it.
    pub(super) fn min_run(&self) -> Position {
        if self.tokens.is_empty() {
            return Position(0);
        }
        self.next()
    }

    pub(super) fn is_complete(&self) -> bool {
        self.tokens.len() == self.spec.max_tokens
    }

    /// Adds and returns the new ones of some tokens; ignores positions that have a token.
    pub(super) fn add(&mut self, tokens: &Tokens) -> Vec<u64> {
        let next = self.next();
        if tokens.first > next {
            return Vec::new();
        }
        let missing = self.spec.max_tokens - self.tokens.len();
        let known = next.distance(tokens.first);
        let new: Vec<u64> = tokens
            .values
            .iter()
            .skip(known)
            .take(missing)
            .copied()
            .collect();
        self.tokens.extend_from_slice(&new);
        new
    }

    /// Returns the inputs from a position onwards.
    pub(super) fn inputs(&self, from: Position) -> Vec<u64> {
        let known = self.spec.prompt.iter().chain(&self.tokens);
        known.skip(from.0 as usize).copied().collect()
    }
}
