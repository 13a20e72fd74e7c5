//! The planner: the one entry at a time that assigns the models' layers to servers.

mod checks;
mod order;
mod plan;
mod term;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::fence::HeldLease;
use jujube_core::fence::Token;
use jujube_core::pipeline::deputy::Election;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Feed;
use jujube_store::orders;

use crate::dialect::Dialect;
use crate::state::State;

use term::Authority;
use term::Term;

/// The TTL of the planner's lease. A dead planner is replaced within this time; meanwhile layers
/// have other holders.
const LEASE_TTL: Span = Span(3_000);

/// Who is the planner, according to the store and to gossip.
#[derive(Debug, Default)]
pub struct Leadership {
    is_held: Cell<bool>,
    changed: tokio::sync::Notify,
    /// The fencing token of this entry while it is the planner.
    own: Cell<Option<Token>>,
    /// How often the store has been restored from an older backup.
    restores: Cell<u64>,
    election: Cell<Election>,
}

impl Leadership {
    /// Records whether the planner's lease is held.
    pub fn set_held(&self, is_held: bool) {
        self.is_held.set(is_held);
        if !is_held {
            self.changed.notify_waiters();
        }
    }

    /// Records that the store was restored from an older backup and may have lost the planner's
    /// lease.
    pub fn restored(&self) {
        self.restores.set(self.restores.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns the fencing token of this entry while it is the planner.
    pub fn own(&self) -> Option<Token> {
        self.own.get()
    }

    /// Records that an order was refused because a later token has been used.
    pub fn refused(&self, token: Token) {
        let mut election = self.election.get();
        election.refused(token);
        self.election.set(election);
    }

    /// Records another entry's report on whether it is the planner.
    pub fn record_report(&self, now: Instant, entry: SocketAddr, token: Option<Token>) {
        let mut election = self.election.get();
        let previous = election.planner(now);
        election.observe(now, entry, token);
        if token.is_some() && previous != Some(entry) {
            event!(Info, "planner-heard", entry);
        }
        self.election.set(election);
    }
}

/// Campaigns for the planner's lease whenever it is free, until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    // An earlier run of this task may have ended within a term.
    state.leadership.own.set(None);
    loop {
        if let Some(term) = begin_term(&state, &store).await {
            term.serve().await;
            state.leadership.own.set(None);
        }
        let changed = state.leadership.changed.notified();
        let pause = Duration::from_millis(rand::random_range(300..700));
        let _changed_or_timeout = tokio::time::timeout(pause, changed).await;
        tokio::time::sleep(campaign_delay(&state)).await;
    }
}

/// The delay per entry of lower rank before this entry campaigns, and the maximum rank that counts.
///
/// All entries learn at the same moment that the lease is free, and each campaign makes four calls
/// to the store. The winner needs some 20 ms; the others learn of it half a second later or more.
const CAMPAIGN_DELAY: Duration = Duration::from_millis(100);
const MAX_CAMPAIGN_RANK: usize = 20;

fn campaign_delay<D>(state: &State<D>) -> Duration {
    let rank = state.peers.directory.borrow().rank();
    CAMPAIGN_DELAY * rank.min(MAX_CAMPAIGN_RANK) as u32
}

/// Begins a term if the lease is free or this entry is to act as deputy.
async fn begin_term<D: Dialect, F: Feed>(
    state: &Rc<State<D>>,
    store: &F,
) -> Option<Rc<Term<D, F>>> {
    if !state.is_ready() {
        return None;
    }
    let (held, authority) = match become_deputy(state) {
        Some(held) => (held, Authority::Deputy),
        None => acquire_lease(state, store).await?,
    };
    event!(Info, "planner-won", token = held.token, tenure = authority);
    state.metrics.count("planner_terms");
    state.leadership.own.set(Some(held.token));
    Some(Rc::new(Term::new(state, store, held, authority)))
}

fn become_deputy<D>(state: &State<D>) -> Option<HeldLease> {
    if !state.is_store_unavailable_to_all() {
        return None;
    }
    let (now, own) = (clock::now(), state.internal.get()?);
    let election = state.leadership.election.get();
    let token = election.deputy_token(now, own, state.peers.ready())?;
    Some(HeldLease {
        token,
        renewed: now,
        ttl: LEASE_TTL,
    })
}

async fn acquire_lease<D, F: Feed>(state: &State<D>, store: &F) -> Option<(HeldLease, Authority)> {
    if state.leadership.is_held.get() {
        return None;
    }
    let min_token = store.era().map_or(Token(0), Token::first_of);
    let acquired = orders::acquire(
        store,
        clock::now(),
        LEASE_TTL,
        &state.settings.name,
        min_token,
    )
    .await;
    match acquired {
        Ok(acquired) => acquired.map(|(held, lease)| (held, Authority::Lease(lease))),
        Err(error) => {
            event!(Info, "planner-not-won", cause = error);
            None
        }
    }
}
