//! The planner: one entry at a time places the models' layers.

mod order;
mod term;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Feed;
use jujube_store::orders;

use crate::dialect::Dialect;
use crate::state::State;

use term::Term;

/// How long the planner's lease lasts without renewal: a planner that dies is replaced within that
/// time, while every layer still has its other holders. With half of it no more was served.
const TTL: Span = Span(3_000);

/// Whether any entry holds the planner's lease, as the store tells it.
#[derive(Debug, Default)]
pub struct Leadership {
    is_held: Cell<bool>,
    changed: tokio::sync::Notify,
}

impl Leadership {
    /// Books whether the lease is held.
    pub fn heard(&self, is_held: bool) {
        self.is_held.set(is_held);
        if !is_held {
            self.changed.notify_waiters();
        }
    }
}

/// Stands for the office whenever nobody holds it, until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        if state.is_ready() && !state.leadership.is_held.get() {
            match orders::acquire(&store, clock::now(), TTL, &state.settings.name).await {
                Ok(Some((lead, lease))) => {
                    log::info!("event=planner-won token={}", lead.token);
                    state.metrics.count("planner_terms");
                    let term = Rc::new(Term::new(&state, &store, lead, lease));
                    term.serve().await;
                    log::info!("event=planner-lost token={}", lead.token);
                }
                Ok(None) => {}
                Err(error) => {
                    let cause = error.to_string().replace(' ', "-");
                    log::info!("event=planner-not-won cause={cause}");
                }
            }
        }
        let changed = state.leadership.changed.notified();
        let pause = Duration::from_millis(rand::random_range(300..700));
        let _either = tokio::time::timeout(pause, changed).await;
    }
}
