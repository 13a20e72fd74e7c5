//! Ranges of a model's layers.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Layers `start` up to and without `end`.
///
/// # Examples
///
/// ```
/// # use jujube_core::layer::Range;
/// let held: Range = "4-12".parse()?;
/// assert!(held.contains("6-8".parse()?));
/// assert_eq!(held.len(), 8);
/// # Ok::<(), jujube_core::layer::BadRange>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Range {
    /// The first layer.
    pub start: u32,
    /// The layer after the last.
    pub end: u32,
}

/// A text that is not a range of layers.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected `start-end` with start below end, such as `0-12`")]
pub struct BadRange;

impl Range {
    /// Returns the range from `start` up to and without `end`.
    #[must_use]
    pub fn new(start: u32, end: u32) -> Self {
        Self { start, end }
    }

    /// Returns the number of layers.
    #[must_use]
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Tells whether there is no layer in the range.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Tells whether every layer of `other` lies in this range.
    #[must_use]
    pub fn contains(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.start, self.end)
    }
}

impl FromStr for Range {
    type Err = BadRange;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (start, end) = text.split_once('-').ok_or(BadRange)?;
        let range = Self {
            start: start.trim().parse().map_err(|_| BadRange)?,
            end: end.trim().parse().map_err(|_| BadRange)?,
        };
        if range.is_empty() {
            return Err(BadRange);
        }
        Ok(range)
    }
}

/// Returns the first layer of a model that no chain of ranges reaches; `None` when all are covered.
///
/// # Examples
///
/// ```
/// # use jujube_core::layer::Range;
/// # use jujube_core::layer::first_gap;
/// assert_eq!(first_gap(8, &[Range::new(0, 5), Range::new(4, 8)]), None);
/// assert_eq!(first_gap(8, &[Range::new(0, 5), Range::new(6, 8)]), Some(5));
/// ```
#[must_use]
pub fn first_gap(layers: u32, held: &[Range]) -> Option<u32> {
    gaps(layers, held.iter().copied())
        .first()
        .map(|gap| gap.start)
}

/// Returns the layers of a model that lie in none of the ranges, in order.
///
/// # Examples
///
/// ```
/// # use jujube_core::layer::Range;
/// # use jujube_core::layer::gaps;
/// let held = [Range::new(6, 7), Range::new(0, 5)];
/// assert_eq!(gaps(8, held), [Range::new(5, 6), Range::new(7, 8)]);
/// ```
#[must_use]
pub fn gaps(layers: u32, held: impl IntoIterator<Item = Range>) -> Vec<Range> {
    let mut held: Vec<Range> = held.into_iter().filter(|range| !range.is_empty()).collect();
    held.sort_unstable();
    held.push(Range::new(layers, layers));
    let mut gaps = Vec::new();
    let mut covered = 0;
    for range in held {
        if range.start.min(layers) > covered {
            gaps.push(Range::new(covered, range.start.min(layers)));
        }
        covered = covered.max(range.end);
    }
    gaps
}
