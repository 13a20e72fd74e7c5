//! Time values, which callers pass to the controllers.

use crate::number::numbers;

numbers! {
    /// A point in time, in milliseconds since an origin that the process chooses.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::time::Instant;
    /// # use jujube_core::time::Span;
    /// let start: Instant = "100".parse()?;
    /// assert_eq!(start.plus(Span(50)).since(start), Span(50));
    /// # Ok::<(), std::num::ParseIntError>(())
    /// ```
    Instant;
    /// A duration in milliseconds.
    Span;
}

impl Instant {
    /// Returns the instant `span` later.
    #[must_use]
    pub fn plus(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the time from `earlier` to this instant; zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// The text is not a number of seconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a number of seconds")]
pub struct NotSeconds;

impl Span {
    /// Parses the value of a `Retry-After` header: seconds, with or without a fraction.
    ///
    /// # Errors
    ///
    /// The value is a date, negative or not a finite number.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::time::Span;
    /// assert_eq!(Span::parse_retry_after("1.5"), Ok(Span(1_500)));
    /// assert!(Span::parse_retry_after("-1").is_err());
    /// ```
    pub fn parse_retry_after(text: &str) -> Result<Self, NotSeconds> {
        let seconds: f64 = text.trim().parse().map_err(|_| NotSeconds)?;
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(NotSeconds);
        }
        Ok(Self((seconds * 1e3).ceil() as u64))
    }

    /// Returns the value of a `Retry-After` header: whole seconds, rounded up, at least 1.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::time::Span;
    /// assert_eq!(Span(1200).retry_after_seconds(), 2);
    /// ```
    #[must_use]
    pub fn retry_after_seconds(self) -> u64 {
        self.0.div_ceil(1000).max(1)
    }
}
