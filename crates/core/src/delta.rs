//! Differences between configurations.
//!
//! A bundle is large and changes often; sending it in full for every change would exceed the
//! bandwidth for control traffic, so only the changed sections are sent. The result is verified by
//! the signatures of the full text, so that a wrong base or a corrupted delta is never applied.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::Signature;
use crate::bundle::Signed;
use crate::head::Config;
use crate::head::Generation;
use crate::head::Head;

/// A hunk of the newer text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Hunk {
    /// Consecutive sections copied from the older text.
    Keep {
        /// Index of the first section.
        first: usize,
        /// Number of sections.
        count: usize,
    },
    /// Sections that the older text does not contain.
    Insert(String),
}

/// A configuration, encoded as the difference from an earlier one.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The generation of the configuration that it applies to.
    pub base: Generation,
    /// The head of the newer configuration.
    pub head: Head,
    /// The signatures of the newer text.
    pub signatures: Vec<Signature>,
    /// The hunks that make up the newer text.
    pub pieces: Vec<Hunk>,
}

/// Splits a text before each section header; concatenating the parts restores the text.
fn sections(text: &str) -> Vec<&str> {
    let mut sections = Vec::new();
    let mut start = 0;
    for (at, _) in text.match_indices("\n[") {
        sections.push(&text[start..=at]);
        start = at + 1;
    }
    sections.push(&text[start..]);
    sections
}

impl Delta {
    /// Returns the difference between two configurations.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::bundle::Signed;
    /// # use jujube_core::delta::Delta;
    /// # use jujube_core::head::Config;
    /// let config = |text: &str| Config {
    ///     signed: Signed { text: text.into(), ..Signed::default() },
    ///     ..Config::default()
    /// };
    /// let older = config("[a]\nx = 1\n[b]\nx = 1\n");
    /// let newer = config("[a]\nx = 2\n[b]\nx = 1\n");
    /// let delta = Delta::between(&older, &newer);
    /// assert_eq!(delta.apply(&older), Some(newer));
    /// ```
    #[must_use]
    pub fn between(older: &Config, newer: &Config) -> Self {
        let old = sections(&older.signed.text);
        let positions: HashMap<&str, usize> =
            old.iter().enumerate().map(|(i, s)| (*s, i)).collect();
        let mut hunks = Vec::new();
        for section in sections(&newer.signed.text) {
            let position = positions.get(section).copied();
            match (hunks.last_mut(), position) {
                (Some(Hunk::Keep { first, count }), Some(position))
                    if *first + *count == position =>
                {
                    *count += 1;
                }
                (Some(Hunk::Insert(text)), None) => text.push_str(section),
                (_, Some(first)) => hunks.push(Hunk::Keep { first, count: 1 }),
                (_, None) => hunks.push(Hunk::Insert(section.to_string())),
            }
        }
        Self {
            base: older.head.generation,
            head: newer.head.clone(),
            signatures: newer.signed.signatures.clone(),
            pieces: hunks,
        }
    }

    /// Returns the newer configuration, or `None` when `older` is not the base of this delta or a
    /// hunk is out of range.
    #[must_use]
    pub fn apply(&self, older: &Config) -> Option<Config> {
        if older.head.generation != self.base {
            return None;
        }
        let old = sections(&older.signed.text);
        let mut text = String::new();
        for hunk in &self.pieces {
            match hunk {
                Hunk::Keep { first, count } => {
                    let end = first.checked_add(*count)?;
                    text.extend(old.get(*first..end)?.iter().copied());
                }
                Hunk::Insert(inserted) => text.push_str(inserted),
            }
        }
        Some(Config {
            head: self.head.clone(),
            signed: Signed {
                text: text.into(),
                signatures: self.signatures.clone(),
            },
        })
    }
}

/// The configuration in force and its predecessors, up to a limit.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The configurations, oldest first.
    configs: VecDeque<Arc<Config>>,
}

/// The number of configurations to keep: peers are a few heartbeats behind at most.
const MAX_CONFIGS: usize = 4;

impl History {
    /// Returns the configuration in force.
    #[must_use]
    pub fn last(&self) -> Option<&Arc<Config>> {
        self.configs.back()
    }

    /// Returns the generation in force; 0 before the first.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.last()
            .map_or(Generation(0), |config| config.head.generation)
    }

    /// Adds an accepted configuration.
    pub fn push(&mut self, config: Arc<Config>) {
        self.configs.push_back(config);
        if self.configs.len() > MAX_CONFIGS {
            self.configs.pop_front();
        }
    }

    /// Returns the delta from an earlier generation, or `None` when that is no longer kept.
    #[must_use]
    pub fn since(&self, generation: Generation) -> Option<Delta> {
        let base = self
            .configs
            .iter()
            .find(|config| config.head.generation == generation)?;
        Some(Delta::between(base, self.last()?))
    }
}
