//! Elects an entry as deputy planner while the store is unavailable.

use std::net::SocketAddr;

use crate::fence::Token;
use crate::time::Instant;
use crate::time::Span;

/// How long the planner must be silent to count as gone. Entries report several times a second, so
/// several reports in a row were lost.
pub const PLANNER_TIMEOUT: Span = Span(1_200);

/// The planner and its fencing token, as other entries report them.
///
/// If the planner stops or dies while the store is unavailable, no successor can be elected until
/// the store is back and the lease expires. Until then the reachable entry with the lowest address
/// acts as planner, under the last planner's fencing token.
///
/// Entries that do not reach one another may elect two deputies. This costs extra moves, but is
/// safe: the plan is a function of what servers hold, each order names the number of orders that
/// its server must have applied, and no order exceeds a server's memory. The next planner's token
/// supersedes both.
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
/// election.observe(Instant(0), planner, Some(Token(4)));
/// let gone = Instant(0).plus(PLANNER_TIMEOUT);
/// assert_eq!(election.deputy_token(Instant(100), own, [other]), None);
/// assert_eq!(election.deputy_token(gone, own, [other]), Some(Token(4)));
/// assert_eq!(election.deputy_token(gone, other, [own]), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    /// The last entry that reported to be planner, and when.
    planner: Option<(SocketAddr, Instant)>,
    /// The highest fencing token received.
    token: Option<Token>,
    /// The highest token under which an order of this entry was refused because of a newer one.
    refused: Option<Token>,
}

impl Election {
    /// Applies an entry's report on whether it is planner, and under which token.
    pub fn observe(&mut self, now: Instant, entry: SocketAddr, token: Option<Token>) {
        if token.is_some() && token >= self.token {
            self.token = token;
            self.planner = Some((entry, now));
            return;
        }
        if self.planner.is_some_and(|(planner, _)| planner == entry) {
            // The planner has resigned.
            self.planner = None;
        }
    }

    /// Records that an order was refused because of a newer planner.
    ///
    /// That planner may reach the store but no entry here. Prevents a deputy from repeating orders
    /// under a token that servers refuse for as long as the outage lasts.
    pub fn refused(&mut self, token: Token) {
        self.refused = self.refused.max(Some(token));
    }

    /// Returns the planner, if it reported recently.
    #[must_use]
    pub fn planner(&self, now: Instant) -> Option<SocketAddr> {
        let recent = self
            .planner
            .filter(|(_, at)| now.since(*at) < PLANNER_TIMEOUT);
        recent.map(|(planner, _)| planner)
    }

    /// Returns the token under which this entry is to give orders, if it is to act as planner;
    /// `others` are the entries that it reaches.
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
