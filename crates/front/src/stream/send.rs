//! Sends a request along one path and waits for the response head.

use std::rc::Rc;

use futures::future::Either;
use futures::future::select;
use jujube_core::pipeline::path::Path;
use jujube_program::clock;

use crate::dialect::Dialect;
use crate::gate;
use crate::head;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;

use super::LAST_EVENT;
use super::interrupt::Interrupt;
use super::path::set_path;
use super::record::Stream;
use super::retry::may_run_again;
use super::runs::earlier_servers;

/// Sends a request along a path, under one of its retries if it was sent before.
///
/// # Errors
///
/// No server accepted it, or it is no longer wanted there.
pub(super) async fn send<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    path: Path,
    last: Option<u64>,
) -> Result<Incomplete, Failure> {
    let Some(first) = path.first().cloned() else {
        return Err(Failure::NotSent("path is empty".into()));
    };
    let now = clock::now();
    stream.last_activity.set(now);
    stream.run_sent.set(now);
    stream.next_check.set(now);
    let mut outgoing = stream.outgoing.clone();
    let left = stream.deadline.since(now);
    let headers = &mut outgoing.headers;
    head::set(headers, D::NAMES.deadline, &left.to_string());
    head::set(headers, D::NAMES.path, &D::path(&path));
    if let Some(last) = last {
        head::set(headers, LAST_EVENT, &last.to_string());
    }
    let version = state.table().map_or(0, |table| table.document.version.0);
    log::info!(
        "event=path-chosen request={} {} run={} peers={} version={version} {} left_ms={left} after={} earlier={} path={}",
        stream.id,
        stream.features,
        stream.runs() + 1,
        state.load.borrow().peers(),
        state.feed.view(),
        last.unwrap_or(0),
        earlier_servers(state, stream),
        path
    );
    gate::record_sent_along(state, &stream.id, &path);
    set_path(state, stream, Some(path));
    stream.attempts.borrow_mut().begin(first.server.clone());
    let mut retry = stream.retry.take();
    if let Some(retry) = &mut retry {
        retry.set_sent(true);
    }
    let sending = upstream::send::<D>(
        state,
        &first.server,
        first.address,
        &outgoing,
        &stream.features,
    );
    let mut sending = std::pin::pin!(sending);
    let result = loop {
        let interrupted = std::pin::pin!(stream.interrupted());
        match select(sending.as_mut(), interrupted).await {
            Either::Left((result, _)) => break result,
            Either::Right(_) if should_wait(state, stream) => stream.pending_interrupt.set(None),
            Either::Right(_) => break Err(Failure::Unknown("abandoned".into())),
        }
    };
    if !matches!(result, Ok(_) | Err(Failure::Unknown(_))) {
        stream.attempts.borrow_mut().take_back();
    }
    if !matches!(result, Err(Failure::NotSent(_) | Failure::Unwanted)) {
        stream.was_sent.set(true);
    } else if let Some(mut retry) = retry {
        retry.set_sent(false);
        stream.retry.replace(Some(retry));
    }
    result
}

/// Returns whether an interrupted run that has not begun is still the best choice: its servers are
/// silent and may go on, and the request may not be sent to another one now.
fn should_wait<D>(state: &State<D>, stream: &Stream) -> bool {
    let is_needed = !stream.is_expired.get() && !stream.has_gone_on.get();
    let interrupt = stream.pending_interrupt.get();
    is_needed && interrupt.is_some_and(Interrupt::is_silence) && !may_run_again(state, stream)
}
