//! The planner: one entry at a time places the models' layers.

mod order;
mod term;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::fence::Holder;
use jujube_core::fence::Token;
use jujube_core::pipeline::deputy::Election;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Feed;
use jujube_store::orders;

use crate::dialect::Dialect;
use crate::state::State;

use term::Tenure;
use term::Term;

/// How long the planner's lease lasts without renewal: a planner that dies is replaced within that
/// time, while every layer still has its other holders. With half of it no more was served.
const TTL: Span = Span(3_000);

/// Who is the planner, as the store and the other entries tell it.
#[derive(Debug, Default)]
pub struct Leadership {
    is_held: Cell<bool>,
    changed: tokio::sync::Notify,
    /// The number under which this entry gives orders, if it does.
    own: Cell<Option<Token>>,
    /// How often the store has come back from an older copy.
    restores: Cell<u64>,
    election: Cell<Election>,
}

impl Leadership {
    /// Books whether the lease is held.
    pub fn heard(&self, is_held: bool) {
        self.is_held.set(is_held);
        if !is_held {
            self.changed.notify_waiters();
        }
    }

    /// Books that the store has come back from an older copy: it may have forgotten who has the office.
    pub fn restored(&self) {
        self.restores.set(self.restores.get() + 1);
        self.changed.notify_waiters();
    }

    /// Returns the number under which this entry gives orders, if it does.
    pub fn own(&self) -> Option<Token> {
        self.own.get()
    }

    /// Books that an order under a number was refused, since a later one was used.
    pub fn refused(&self, token: Token) {
        let mut election = self.election.get();
        election.refused(token);
        self.election.set(election);
    }

    /// Takes another entry's word on whether it is the planner.
    pub fn heard_entry(&self, now: Instant, entry: SocketAddr, token: Option<Token>) {
        let mut election = self.election.get();
        let before = election.planner(now);
        election.heard(now, entry, token);
        if token.is_some() && before != Some(entry) {
            log::info!("event=planner-heard entry={entry}");
        }
        self.election.set(election);
    }
}

/// Stands for the office whenever nobody holds it, until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        if let Some(term) = begin(&state, &store).await {
            term.serve().await;
            state.leadership.own.set(None);
        }
        let changed = state.leadership.changed.notified();
        let pause = Duration::from_millis(rand::random_range(300..700));
        let _either = tokio::time::timeout(pause, changed).await;
        tokio::time::sleep(turn(&state)).await;
    }
}

/// How long an entry waits for each one before it to stand for the office, and for how many of them.
///
/// The store tells all entries at the same moment that the office is free, and each that stands for it makes four
/// calls; it takes the winner some 20 ms, and half a second or more until the others hear of it.
const TURN: Duration = Duration::from_millis(100);
const MOST_TURNS: usize = 20;

fn turn<D>(state: &State<D>) -> Duration {
    let before = state.peers.directory.borrow().rank();
    TURN * before.min(MOST_TURNS) as u32
}

/// Begins a term, if the office is free or this entry is to stand in.
async fn begin<D: Dialect, F: Feed>(state: &Rc<State<D>>, store: &F) -> Option<Rc<Term<D, F>>> {
    if !state.is_ready() {
        return None;
    }
    let (lead, tenure) = match stand_in(state) {
        Some(lead) => (lead, Tenure::Deputy),
        None => win(state, store).await?,
    };
    log::info!("event=planner-won token={} tenure={tenure:?}", lead.token);
    state.metrics.count("planner_terms");
    state.leadership.own.set(Some(lead.token));
    Some(Rc::new(Term::new(state, store, lead, tenure)))
}

fn stand_in<D>(state: &State<D>) -> Option<Holder> {
    if !state.is_store_away_for_all() {
        return None;
    }
    let (now, own) = (clock::now(), state.settings.gossip);
    let election = state.leadership.election.get();
    let token = election.deputy_token(now, own, state.peers.ready())?;
    Some(Holder {
        token,
        renewed: now,
        ttl: TTL,
    })
}

async fn win<D, F: Feed>(state: &State<D>, store: &F) -> Option<(Holder, Tenure)> {
    if state.leadership.is_held.get() {
        return None;
    }
    let least = store.era().map_or(Token(0), Token::first_of);
    let won = orders::acquire(store, clock::now(), TTL, &state.settings.name, least).await;
    match won {
        Ok(won) => won.map(|(lead, lease)| (lead, Tenure::Lease(lease))),
        Err(error) => {
            let cause = error.to_string().replace(' ', "-");
            log::info!("event=planner-not-won cause={cause}");
            None
        }
    }
}
