//! The runs of a stream: how they were lost, and whether another one is allowed.

use std::rc::Rc;

use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::liveness::Liveness;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::probe;
use crate::quarantine;
use crate::state::State;
use crate::upstream;

use super::record::Loss;
use super::record::Stream;

/// How long an engine counts as suspected after the loss of a run, unless it responds to a probe.
const SUSPECTED_AFTER_LOSS: Span = Span(300);

/// Returns whether a stream may run on another server.
pub(super) fn permission<D>(state: &State<D>, stream: &Stream) -> Permission {
    if !stream.route.may_repeat() {
        return Permission::Denied;
    }
    settle(state, stream);
    let limit = stream.route.attempts as usize;
    let attempts = stream.attempts.borrow();
    attempts.permission(limit, |server| {
        let liveness = state.liveness(server);
        let is_suspect = liveness == Liveness::Alive && is_suspect(state, stream, server);
        if is_suspect {
            Liveness::Suspected
        } else {
            liveness
        }
    })
}

/// Updates which servers of earlier runs are known to have ended.
pub fn settle<D>(state: &State<D>, stream: &Stream) {
    let mut attempts = stream.attempts.borrow_mut();
    if attempts.is_unsettled() {
        attempts.settle(clock::now(), |server| state.liveness(server));
    }
}

/// Returns whether the last run was just lost on a server that has not responded since.
fn is_suspect<D>(state: &State<D>, stream: &Stream, server: &Incarnation) -> bool {
    let last_loss = stream.last_loss.borrow();
    let Some((_, lost_at)) = last_loss.as_ref().filter(|(lost, _)| lost == server) else {
        return false;
    };
    clock::now().since(*lost_at) < SUSPECTED_AFTER_LOSS
        && !state.probes.responded_since(server, *lost_at)
}

/// Records the loss of a run and probes its engine, so that other requests avoid it if it is dead.
/// `began` is when the run's first event arrived.
pub(super) fn record_loss<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Stream,
    first: &Part,
    loss: Loss,
    began: Option<Instant>,
) {
    if loss == Loss::Unread {
        // The server is alive, so the run counts against the route's limit of servers.
        stream.attempts.borrow_mut().left(&first.server);
        let events = stream.events.get();
        upstream::record_cut_unread(&state.metrics, &stream.id, &first.server, events);
        probe::check_after_loss(state, first.server.clone(), first.address, clock::now());
        return;
    }
    let now = clock::now();
    event!(
        Info,
        "run-lost",
        request = stream.id,
        _ = stream.features,
        server = first.server,
        loss,
        began_ms = began.map_or("-".into(), |began| now.since(began).to_string())
    );
    state.failed(&first.server, stream.features.request);
    if loss == Loss::Broken {
        state
            .suspicion
            .borrow_mut()
            .connection_broken(now, &first.server);
    }
    let mut attempts = stream.attempts.borrow_mut();
    match loss {
        Loss::Broken | Loss::Dead | Loss::Silent if began.is_some() => {
            attempts.lost(now, &first.server);
        }
        _ => attempts.left(&first.server),
    }
    drop(attempts);
    if loss != Loss::Abandoned {
        quarantine::lost(state, stream.run_on(&first.server, began));
    }
    stream.last_loss.replace(Some((first.server.clone(), now)));
    probe::check_after_loss(state, first.server.clone(), first.address, now);
}

/// Returns the servers of earlier runs and their states, for logs.
pub(super) fn earlier_servers<D>(state: &State<D>, stream: &Stream) -> String {
    let attempts = stream.attempts.borrow();
    let describe = |server| format!("{server}:{}", state.liveness(server));
    let servers: Vec<String> = attempts.servers().map(describe).collect();
    if servers.is_empty() {
        return "-".into();
    }
    servers.join(",")
}
