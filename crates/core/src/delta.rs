//! Differences between configurations, so that a change costs its own size on the wire.
//!
//! A fleet's bundle is over a megabyte and changes thousands of times a day; sent whole, the changes
//! alone would take twenty times the bytes that control may use. Only the sections that changed
//! travel. What comes out is checked by the same signatures as a whole bundle, so that a wrong base
//! or a damaged difference cannot get into force.

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
    /// Text that the older one does not have.
    Insert(String),
}

/// A configuration as a difference from an earlier one.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The generation that it starts from.
    pub base: Generation,
    /// The head that it leads to.
    pub head: Head,
    /// The signatures of the newer text.
    pub signatures: Vec<Signature>,
    /// The newer text.
    pub pieces: Vec<Hunk>,
}

/// Splits a text before each section's header; what is put together again is the same text.
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
        let places: HashMap<&str, usize> = old.iter().enumerate().map(|(i, s)| (*s, i)).collect();
        let mut pieces = Vec::new();
        for section in sections(&newer.signed.text) {
            let place = places.get(section).copied();
            match (pieces.last_mut(), place) {
                (Some(Hunk::Keep { first, count }), Some(place)) if *first + *count == place => {
                    *count += 1;
                }
                (Some(Hunk::Insert(text)), None) => text.push_str(section),
                (_, Some(first)) => pieces.push(Hunk::Keep { first, count: 1 }),
                (_, None) => pieces.push(Hunk::Insert(section.to_string())),
            }
        }
        Self {
            base: older.head.generation,
            head: newer.head.clone(),
            signatures: newer.signed.signatures.clone(),
            pieces,
        }
    }

    /// Returns the newer configuration; `None` when this does not start from `older`.
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

/// The configuration in force and a few before it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Oldest first.
    configs: VecDeque<Arc<Config>>,
}

/// How many configurations are kept: at eight changes a minute, whoever is a heartbeat or two behind.
const KEPT: usize = 4;

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

    /// Adds a configuration that was accepted.
    pub fn push(&mut self, config: Arc<Config>) {
        self.configs.push_back(config);
        if self.configs.len() > KEPT {
            self.configs.pop_front();
        }
    }

    /// Returns what somebody at an earlier generation lacks; `None` when that is too long ago.
    #[must_use]
    pub fn since(&self, generation: Generation) -> Option<Delta> {
        let base = self
            .configs
            .iter()
            .find(|config| config.head.generation == generation)?;
        Some(Delta::between(base, self.last()?))
    }
}
