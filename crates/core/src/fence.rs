//! Fencing of orders to engines.

use crate::number::numbers;
use crate::pipeline::era::Era;
use crate::time::Instant;
use crate::time::Span;

numbers! {
    /// A fencing token; later holders of the lease get larger ones.
    Token;
}

impl Token {
    /// Enough for months: a term lasts for seconds and uses one token.
    const TOKENS_PER_ERA: u64 = 1_000_000;

    /// Returns the smallest token of an era.
    ///
    /// A store that was restored from an older copy would otherwise issue recent tokens again, and an
    /// engine could not distinguish the orders of two planners.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::fence::Token;
    /// # use jujube_core::pipeline::era::Era;
    /// assert!(Token::first_of(Era(5)) > Token::first_of(Era(4)));
    /// ```
    #[must_use]
    pub fn first_of(era: Era) -> Self {
        Self(era.0.saturating_mul(Self::TOKENS_PER_ERA))
    }
}

/// Why an order was not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// A later holder has sent an order or acquired the lease.
    #[error("fencing number {offered} is older than {known}")]
    Old {
        /// The token of the order.
        offered: Token,
        /// The largest token seen.
        known: Token,
    },
    /// This sidecar has not read the current token since its start.
    #[error("the current fencing number is not known yet")]
    NotKnownYet,
}

/// Rejects outdated orders at a sidecar before they reach its engine.
///
/// Some engines ignore the token. An order of a holder that was paused past its lease would undo the
/// orders of its successor. The sidecar reads the current token from the key-value service on start,
/// so that its own restart admits no outdated order.
///
/// # Examples
///
/// ```
/// # use jujube_core::fence::Gate;
/// # use jujube_core::fence::Token;
/// let mut gate = Gate::default();
/// assert!(gate.admit(Token(3)).is_err(), "nothing was read yet");
/// gate.learn(Token(3));
/// assert!(gate.admit(Token(3)).is_ok());
/// assert!(gate.admit(Token(2)).is_err());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    known: Option<Token>,
}

impl Gate {
    /// Applies a token that was read from the key-value service.
    pub fn learn(&mut self, token: Token) {
        self.known = self.known.max(Some(token));
    }

    /// Checks the token of an order.
    ///
    /// # Errors
    ///
    /// The token is outdated, or the current one is not known yet.
    pub fn admit(&mut self, offered: Token) -> Result<(), Refused> {
        let known = self.known.ok_or(Refused::NotKnownYet)?;
        if offered < known {
            return Err(Refused::Old { offered, known });
        }
        self.known = Some(offered);
        Ok(())
    }
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The token of the holder's orders.
    pub token: Token,
    /// When the last successful renewal was sent.
    pub renewed: Instant,
    /// How long the service keeps the lease after a renewal.
    pub ttl: Span,
}

impl HeldLease {
    /// Returns whether orders may still be sent.
    ///
    /// Measured from the sending of the renewal, since the service may have applied it at any time
    /// before its answer arrived. [`Gate`] covers a pause between this check and the order.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::fence::HeldLease;
    /// # use jujube_core::fence::Token;
    /// # use jujube_core::time::Instant;
    /// # use jujube_core::time::Span;
    /// let held = HeldLease { token: Token(1), renewed: Instant(0), ttl: Span(9_000) };
    /// assert!(held.may_order(Instant(5_000)));
    /// assert!(!held.may_order(Instant(6_000)));
    /// ```
    #[must_use]
    pub fn may_order(&self, now: Instant) -> bool {
        now.since(self.renewed).0 < self.ttl.0 * 2 / 3
    }
}
