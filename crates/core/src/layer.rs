//! Ranges of a model's layers.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A half-open range of layers, `[start, end)`.
///
/// # Examples
///
/// ```
/// # use jujube_core::layer::Range;
/// let held: Range = "4-12".parse()?;
/// assert!(held.contains("6-8".parse()?));
/// assert_eq!(held.len(), 8);
/// # Ok::<(), jujube_core::layer::ParseRangeError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Range {
    /// The first layer.
    pub start: u32,
    /// One past the last layer.
    pub end: u32,
}

/// The error for a text that is not a range of layers.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected `start-end` with start below end, such as `0-12`")]
pub struct ParseRangeError;

impl Range {
    /// Returns the range `[start, end)`.
    #[must_use]
    pub fn new(start: u32, end: u32) -> Self {
        Self { start, end }
    }

    /// Returns the number of layers.
    #[must_use]
    pub fn len(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains no layers.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns the layers that are in both ranges; an empty range if none is.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        let start = self.start.max(other.start);
        let end = self.end.min(other.end);
        Self::new(start, end.max(start))
    }

    /// Returns whether every layer of `other` is in this range.
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
    type Err = ParseRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (start, end) = text.split_once('-').ok_or(ParseRangeError)?;
        let range = Self {
            start: start.trim().parse().map_err(|_| ParseRangeError)?,
            end: end.trim().parse().map_err(|_| ParseRangeError)?,
        };
        if range.is_empty() {
            return Err(ParseRangeError);
        }
        Ok(range)
    }
}

/// Returns the first layer of a model that none of the ranges contains, or `None`.
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

/// Returns the gaps: the layers of a model that none of the ranges contains, in order.
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
