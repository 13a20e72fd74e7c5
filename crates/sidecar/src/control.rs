//! The control thread: time, health and the fencing number.

use std::sync::atomic::Ordering;
use std::time::Duration;

use jujube_program::clock;
use jujube_program::event;
use jujube_program::shutdown::Signal;
use jujube_store::kv::Etcd;
use jujube_store::orders;
use tokio::runtime::Handle;

use crate::perform::perform;
use crate::state::State;

const TICK: Duration = Duration::from_millis(500);

/// Runs until told to stop. Actions are carried out on the traffic runtime.
pub(crate) async fn run(state: State, traffic: Handle, mut stop: Signal) {
    // Without a key-value service nobody can hold the lease, and no order will come.
    let mut fencing_known = state.settings.kv.is_empty();
    loop {
        check_health(&state).await;
        if !fencing_known {
            fencing_known = learn(&state).await;
        }
        tick(&state, &traffic);
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = stop.stopped() => return,
        }
    }
}

async fn check_health(state: &State) {
    let healthy = state.engine.healthy().await;
    let was = state.healthy.swap(healthy, Ordering::Relaxed);
    if was != healthy {
        event!(Info, "backend", healthy);
    }
}

/// Reads the current fencing number; until then no order is passed on.
async fn learn(state: &State) -> bool {
    let store = Etcd::new(&state.settings.kv);
    let Ok(token) = orders::current(&store).await else {
        return false;
    };
    state.gate().learn(token);
    true
}

fn tick(state: &State, traffic: &Handle) {
    let now = clock::now();
    let mut actions = Vec::new();
    state.ledger().tick(now, &mut actions);
    state.deduplicator().tick(now);
    let _inside = traffic.enter();
    perform(state, actions);
}
