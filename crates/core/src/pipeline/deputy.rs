//! Which entry gives orders while the store can make no planner.

use std::net::SocketAddr;

use crate::fence::Token;
use crate::time::Instant;
use crate::time::Span;

/// How long the planner must not have been heard to count as gone: entries tell one another several
/// times a second, so several words in a row were lost.
pub const PLANNER_TIMEOUT: Span = Span(1_200);

/// What entries say of the planner.
///
/// A planner that stops or dies while the store is away leaves nobody to mend what dies after it: the
/// store must be back, and the lease run out, before there is another. Until then the entry whose address
/// is the lowest of those heard stands in, under the fencing number of the one before.
///
/// Entries that don't hear one another may choose two deputies. That costs moves and breaks nothing: the
/// plan is a function of what servers hold, each order names the number of orders that its server must
/// have taken, and no order exceeds a server's memory. The next planner's number ends both.
///
/// # Examples
///
/// ```
/// # use jujube_core::fence::Token;
/// # use jujube_core::pipeline::deputy::PLANNER_TIMEOUT;
/// # use jujube_core::pipeline::deputy::Election;
/// # use jujube_core::time::Instant;
/// let [planner, own, other] = [9, 1, 2].map(|host| ([10, 0, 0, host], 7340).into());
/// let mut election = Election::default();
/// election.heard(Instant(0), planner, Some(Token(4)));
/// let gone = Instant(0).plus(PLANNER_TIMEOUT);
/// assert_eq!(election.deputy_token(Instant(100), own, [other]), None);
/// assert_eq!(election.deputy_token(gone, own, [other]), Some(Token(4)));
/// assert_eq!(election.deputy_token(gone, other, [own]), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    /// Who last said that it is the planner, and when.
    planner: Option<(SocketAddr, Instant)>,
    /// The highest fencing number that was heard.
    token: Option<Token>,
    /// The highest number under which an order of this entry was refused, since a later one was used.
    refused: Option<Token>,
}

impl Election {
    /// Takes an entry's word on whether it is the planner, and under which number.
    pub fn heard(&mut self, now: Instant, entry: SocketAddr, token: Option<Token>) {
        if token.is_some() && token >= self.token {
            self.token = token;
            self.planner = Some((entry, now));
            return;
        }
        if self.planner.is_some_and(|(planner, _)| planner == entry) {
            // It has resigned.
            self.planner = None;
        }
    }

    /// Books that an order was refused since a later planner has given orders.
    ///
    /// That planner may be served by the store and heard by nobody here; a deputy that began again under
    /// the same number would be refused for as long as the outage lasts.
    pub fn refused(&mut self, token: Token) {
        self.refused = self.refused.max(Some(token));
    }

    /// Returns who is the planner, as far as it is heard.
    #[must_use]
    pub fn planner(&self, now: Instant) -> Option<SocketAddr> {
        let heard = self
            .planner
            .filter(|(_, at)| now.since(*at) < PLANNER_TIMEOUT);
        heard.map(|(planner, _)| planner)
    }

    /// Returns the number under which this entry is to give orders, if it is to stand in; `others` are
    /// the entries that it hears.
    pub fn deputy_token(
        &self,
        now: Instant,
        own: SocketAddr,
        others: impl IntoIterator<Item = SocketAddr>,
    ) -> Option<Token> {
        let is_first = others.into_iter().all(|other| own < other);
        let token = self.token.filter(|token| Some(*token) > self.refused);
        token.filter(|_| is_first && self.planner(now).is_none())
    }
}
