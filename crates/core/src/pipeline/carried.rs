//! What a connection to a server has carried, and what may be sent over it next.

use std::collections::VecDeque;
use std::sync::Arc;

/// The number of requests turned away over a connection that are remembered. A second copy of a
/// response arrives where the next one is expected, so that of an earlier rejection arrived long ago.
const MAX_TURNED_AWAY: usize = 8;

/// An exchange with a server, by what distinguishes its response from those of other exchanges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// A request whose response repeats its identifier.
    Request(Arc<str>),
    /// An order, or a request without an identifier: nothing in the response names it.
    Unnamed,
    /// A health check. Its response names it as little, but an earlier one says nearly the same.
    Check,
}

/// What a connection has carried, and could deliver a second response to.
///
/// A faulty server may send a response twice, the second time where that to the next exchange is
/// expected. If both exchanges look the same, the copy is taken for the response of the second one: a
/// request that was turned away and then sent to the same server again would count as turned away
/// while it runs. Exchanges that look the same are therefore sent over separate connections.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::carried::Carried;
/// # use jujube_core::pipeline::carried::Exchange;
/// let (first, other) = (Exchange::Request("7".into()), Exchange::Request("8".into()));
/// let mut carried = Carried::default();
/// carried.sent(&first);
/// assert!(carried.may_carry(&first), "it has not been answered");
/// carried.turned_away(&first);
/// assert!(!carried.may_carry(&first));
/// assert!(carried.may_carry(&other));
///
/// carried.sent(&Exchange::Check);
/// assert!(carried.may_carry(&Exchange::Check));
/// assert!(!carried.may_carry(&Exchange::Unnamed));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Carried {
    turned_away: VecDeque<Arc<str>>,
    has_unnamed: bool,
    has_check: bool,
}

impl Carried {
    /// Returns whether a response to this exchange could not be one to an earlier exchange.
    #[must_use]
    pub fn may_carry(&self, exchange: &Exchange) -> bool {
        match exchange {
            Exchange::Request(id) => !self.turned_away.contains(id),
            Exchange::Unnamed => !self.has_unnamed && !self.has_check,
            Exchange::Check => !self.has_unnamed,
        }
    }

    /// Records that an exchange was sent.
    pub fn sent(&mut self, exchange: &Exchange) {
        match exchange {
            // Only a request that was turned away is sent to the same server again.
            Exchange::Request(_) => {}
            Exchange::Unnamed => self.has_unnamed = true,
            Exchange::Check => self.has_check = true,
        }
    }

    /// Records that the server turned an exchange away.
    pub fn turned_away(&mut self, exchange: &Exchange) {
        let Exchange::Request(id) = exchange else {
            return;
        };
        if self.turned_away.len() == MAX_TURNED_AWAY {
            self.turned_away.pop_front();
        }
        self.turned_away.push_back(id.clone());
    }
}
