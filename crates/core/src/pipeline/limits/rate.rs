//! Rates, and fractions of them.

use std::fmt;
use std::str::FromStr;

/// A rate, in requests per second.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::limits::Rate;
/// let rate: Rate = "2.5".parse()?;
/// assert_eq!(rate, Rate::new(2.5)?);
/// assert!("-1".parse::<Rate>().is_err());
/// assert!("NaN".parse::<Rate>().is_err());
/// # Ok::<(), jujube_core::pipeline::limits::Invalid>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(pub(super) f64);

/// The text or number is not a rate or a fraction.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a rate")]
pub struct Invalid;

impl Rate {
    /// Returns a rate.
    ///
    /// # Errors
    ///
    /// The number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, Invalid> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(Invalid)
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rate {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second = text.trim().parse().map_err(|_| Invalid)?;
        Self::new(per_second)
    }
}

/// A part of a limit, from 0 to 1.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::limits::Fraction;
/// let fraction: Fraction = "0.25".parse()?;
/// assert_eq!(fraction.get(), 0.25);
/// assert!(Fraction::new(1.5).is_err());
/// # Ok::<(), jujube_core::pipeline::limits::Invalid>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Fraction(pub(super) f64);

impl Fraction {
    /// Returns a fraction.
    ///
    /// # Errors
    ///
    /// The number is not between 0 and 1.
    pub fn new(fraction: f64) -> Result<Self, Invalid> {
        let is_valid = (0.0..=1.0).contains(&fraction);
        is_valid.then_some(Self(fraction)).ok_or(Invalid)
    }

    /// Returns the number.
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Fraction {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fraction = text.trim().parse().map_err(|_| Invalid)?;
        Self::new(fraction)
    }
}
