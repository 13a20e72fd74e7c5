//! Fencing of orders to engines.

use crate::number::numbers;
use crate::pipeline::era::Era;
use crate::time::Instant;
use crate::time::Span;

numbers! {
    /// A fencing number: a later holder of the lease has a larger one.
    Token;
}

impl Token {
    /// Enough for months: a term lasts for seconds and uses one token.
    const TOKENS_PER_ERA: u64 = 1_000_000;

    /// Returns the least number of an era.
    ///
    /// A store that has forgotten the last numbers would give them out again, and an engine could not tell the
    /// orders of two planners apart.
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

/// Why an order was not passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// A later holder has given an order, or has taken the lease.
    #[error("fencing number {offered} is older than {known}")]
    Old {
        /// What came.
        offered: Token,
        /// What is known.
        known: Token,
    },
    /// This sidecar has started and has not yet read the current number.
    #[error("the current fencing number is not known yet")]
    NotKnownYet,
}

/// The check that a sidecar makes before it passes an order to its engine.
///
/// Some engines ignore the number. A holder that was paused past its lease does not know that it
/// has a successor; its order would undo the successor's. The sidecar is the only way to the
/// engine, and it starts from the number that it reads from the key-value service, so that its own
/// restart opens no gap.
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
    /// Takes a number that was read from the key-value service.
    pub fn learn(&mut self, token: Token) {
        self.known = self.known.max(Some(token));
    }

    /// Checks an order's number.
    ///
    /// # Errors
    ///
    /// The number is old, or the current one is not known yet.
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
    /// The number under which it gives orders.
    pub token: Token,
    /// When the last renewal that succeeded was sent.
    pub renewed: Instant,
    /// How long the service keeps the lease after a renewal.
    pub ttl: Span,
}

impl HeldLease {
    /// Tells whether an order may still be given.
    ///
    /// Counted from when the renewal was sent, not from when its answer came: the service counts
    /// from somewhere in between. A pause between this check and the order is what [`Gate`] covers.
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
