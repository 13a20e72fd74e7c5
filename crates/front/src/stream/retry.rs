//! Retries of streams, and how long a stream waits for one.

use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::retries::Retry;
use crate::state::State;

use super::record::Stream;
use super::runs::permission;

/// How long after its last event a stream may wait for servers to accept it. Clients disconnect
/// after two seconds, and prefill takes part of that.
const ACCEPTANCE_WAIT: Span = Span(1_400);
/// Interval between checks for capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a stream that may have run can be sent to an engine again.
pub(super) fn may_run_again<D>(state: &State<D>, stream: &Stream) -> bool {
    permission(state, stream) == Permission::Allowed && ensure_retry(state, stream)
}

/// Returns whether the stream has a retry for its next run; takes one from the budget if needed.
pub(super) fn ensure_retry<D>(state: &State<D>, stream: &Stream) -> bool {
    let held = stream.retry.take().filter(Retry::is_valid);
    let held = held.or_else(|| state.take_retry(&stream.service, &stream.id));
    let is_granted = held.is_some();
    stream.retry.replace(held);
    is_granted
}

/// Waits for a retry for as long as the client can be expected to wait; returns `false` if none was
/// granted.
///
/// Streams wait in order. With polling, late streams could overtake earlier ones, and denials would
/// flood the log.
pub(super) async fn wait_for_retry<D>(state: &State<D>, stream: &Stream) -> bool {
    if ensure_retry(state, stream) {
        return true;
    }
    let Some(patience) = remaining_patience(stream) else {
        return false;
    };
    let started = clock::now();
    let pending = state.retries.wait(&stream.service);
    let expired = std::pin::pin!(stream.interrupted());
    let pending = tokio::time::timeout(Duration::from_millis(patience.0), pending);
    let retry = match select(std::pin::pin!(pending), expired).await {
        Either::Left((Ok(Ok(retry)), _)) => Some(retry),
        _ => None,
    };
    let outcome = if retry.is_some() { "taken" } else { "given-up" };
    let waited = clock::now().since(started);
    event!(
        Info,
        "retry-awaited",
        request = stream.id,
        outcome,
        waited_ms = waited
    );
    let is_granted = retry.is_some();
    stream.retry.replace(retry);
    is_granted
}

/// Waits briefly before the next attempt if a stream is under way and its client can be expected to
/// wait; returns `false` otherwise.
///
/// A request that has run cannot be rejected, only aborted, and would lose the events so far.
pub(super) async fn wait_briefly(stream: &Stream) -> bool {
    if remaining_patience(stream).is_none() {
        return false;
    }
    tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
    true
}

/// Returns how much longer the client of a stream under way can be expected to wait.
fn remaining_patience(stream: &Stream) -> Option<Span> {
    let is_under_way = stream.runs() > 0 || stream.events.get() > 0;
    let silent = clock::now().since(stream.last_read());
    let left = Span(ACCEPTANCE_WAIT.0.saturating_sub(silent.0));
    (is_under_way && left > Span(0)).then_some(left)
}
