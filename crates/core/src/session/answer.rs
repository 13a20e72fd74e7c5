//! The answer so far: the prompt, and the tokens that were given out.

use super::message::Spec;
use crate::ledger::Tokens;
use crate::request::Position;

/// What the caller wants, and what it has had.
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

    /// Returns the position whose run gives the next token.
    pub(super) fn next(&self) -> Position {
        Position((self.spec.prompt.len() + self.tokens.len()) as u64 - 1)
    }

    /// Returns the number of positions to run in all: the last token is not an input.
    pub(super) fn limit(&self) -> Position {
        Position((self.spec.prompt.len() + self.spec.max_tokens) as u64 - 1)
    }

    /// Returns the position up to which layers have surely run: some token needed them.
    pub(super) fn proved(&self) -> Position {
        if self.tokens.is_empty() {
            return Position(0);
        }
        self.next()
    }

    pub(super) fn is_whole(&self) -> bool {
        self.tokens.len() == self.spec.max_tokens
    }

    /// Takes what is new of some tokens; the same position never gives a second one.
    pub(super) fn take(&mut self, tokens: &Tokens) -> Vec<u64> {
        let next = self.next();
        if tokens.first > next {
            return Vec::new();
        }
        let room = self.spec.max_tokens - self.tokens.len();
        let known = next.distance(tokens.first);
        let fresh: Vec<u64> = tokens
            .values
            .iter()
            .skip(known)
            .take(room)
            .copied()
            .collect();
        self.tokens.extend_from_slice(&fresh);
        fresh
    }

    /// Returns the inputs from a position on.
    pub(super) fn inputs(&self, from: Position) -> Vec<u64> {
        let known = self.spec.prompt.iter().chain(&self.tokens);
        known.skip(from.0 as usize).copied().collect()
    }
}
