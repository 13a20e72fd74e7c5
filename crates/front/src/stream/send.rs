//! Sends a request along one path and waits for the response head.

use std::rc::Rc;

use futures::FutureExt;
use futures::future::Either;
use futures::future::RemoteHandle;
use futures::future::select;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::gate;
use crate::head;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;
use crate::upstream::Outgoing;

use super::LAST_EVENT;
use super::interrupt::Interrupt;
use super::path::HeldPath;
use super::path::set_path;
use super::record::Stream;
use super::retry::may_run_again;
use super::runs::earlier_servers;

/// The outcome of sending a request along a path.
pub(super) enum Sent {
    /// A server responded, or the request is no longer wanted there.
    Ended(Result<Incomplete, Failure>),
    /// Its servers are silent and may go on, and the request may be sent to another one now.
    Silent(Exchange),
}

/// An exchange with a server; dropping it closes its connection.
pub(super) type Exchange = RemoteHandle<Result<Incomplete, Failure>>;

/// A run whose servers fell silent before it began, kept in case no other server accepts the request.
pub(super) struct SilentRun<D> {
    path: HeldPath<D>,
    exchange: Exchange,
}

impl<D> SilentRun<D> {
    /// Keeps the current run of a stream; its memory stays reserved.
    pub(super) fn keep(state: &Rc<State<D>>, stream: &Rc<Stream>, exchange: Exchange) -> Self {
        Self {
            path: HeldPath::detach(state, stream),
            exchange,
        }
    }

    /// Returns the response if a server goes on; `None` if the run has ended or is no longer wanted.
    pub(super) async fn finish(self, stream: &Stream) -> Option<Incomplete> {
        event!(
            Info,
            "run-kept",
            request = stream.id,
            urge = "FirstSilent",
            cause = "no-other"
        );
        self.path.restore();
        let mut exchange = self.exchange;
        loop {
            stream.pending_interrupt.set(None);
            let interrupted = std::pin::pin!(stream.interrupted());
            match select(&mut exchange, interrupted).await {
                Either::Left((result, _)) => return result.ok(),
                Either::Right(_) if is_over(stream) => return None,
                Either::Right(_) => {}
            }
        }
    }
}

/// Returns whether a run that is waited for has ended or is no longer wanted.
fn is_over(stream: &Stream) -> bool {
    let interrupt = stream.pending_interrupt.get();
    let is_late = stream.has_outlasted_client(clock::now());
    is_late
        || interrupt == Some(Interrupt::FirstDead)
        || stream.is_expired.get()
        || stream.has_gone_on.get()
}

/// Sends a request along a path, under one of its retries if it was sent before.
pub(super) async fn send<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    path: Path,
    last: Option<u64>,
) -> Sent {
    let Some(first) = path.first().cloned() else {
        return Sent::Ended(Err(Failure::NotSent("path is empty".into())));
    };
    let written = match head::value(&D::path(&path)) {
        Ok(written) => written,
        Err(error) => return Sent::Ended(Err(Failure::NotSent(error.to_string()))),
    };
    let now = clock::now();
    stream.last_activity.set(now);
    stream.run_sent.set(now);
    stream.next_check.set(now);
    let mut outgoing = stream.outgoing.clone();
    let left = stream.deadline.since(now);
    let headers = &mut outgoing.headers;
    headers.insert(D::NAMES.deadline, left.0.into());
    headers.insert(D::NAMES.path, written);
    if let Some(last) = last {
        headers.insert(LAST_EVENT, last.into());
    }
    let version = state.table().map_or(0, |table| table.document.version.0);
    event!(
        Info,
        "path-chosen",
        request = stream.id,
        _ = stream.features,
        run = stream.runs() + 1,
        peers = state.load.borrow().peers(),
        version,
        _ = state.feed.view(),
        left_ms = left,
        after = last.unwrap_or(0),
        earlier = [earlier_servers(state, stream)],
        path = [path]
    );
    gate::record_sent_along(state, &stream.id, &path);
    set_path(state, stream, Some(path));
    stream.attempts.borrow_mut().begin(first.server.clone());
    let mut retry = stream.retry.take();
    if let Some(retry) = &mut retry {
        retry.set_sent(true);
    }
    let mut exchange = start(state.clone(), stream.clone(), first, outgoing);
    let result = loop {
        let interrupted = std::pin::pin!(stream.interrupted());
        match select(&mut exchange, interrupted).await {
            Either::Left((result, _)) => break result,
            Either::Right(_) if !is_silent(stream) => {
                break Err(Failure::Unknown("abandoned".into()));
            }
            Either::Right(_) if may_run_again(state, stream) => {
                stream.was_sent.set(true);
                return Sent::Silent(exchange);
            }
            Either::Right(_) => stream.pending_interrupt.set(None),
        }
    };
    if matches!(
        result,
        Err(Failure::NotSent(_) | Failure::Unwanted | Failure::NotRun { .. })
    ) {
        stream.attempts.borrow_mut().take_back();
    }
    if !matches!(result, Err(Failure::NotSent(_) | Failure::Unwanted)) {
        stream.was_sent.set(true);
    } else if let Some(mut retry) = retry {
        retry.set_sent(false);
        stream.retry.replace(Some(retry));
    }
    Sent::Ended(result)
}

/// Starts an exchange with the first server of a path.
fn start<D: Dialect>(
    state: Rc<State<D>>,
    stream: Rc<Stream>,
    first: Part,
    outgoing: Outgoing,
) -> Exchange {
    let exchange = async move {
        let (server, features) = (&first.server, &stream.features);
        upstream::send::<D>(&state, server, first.address, &outgoing, features).await
    };
    let (task, exchange) = exchange.remote_handle();
    tokio::task::spawn_local(task);
    exchange
}

/// Returns whether a run was interrupted only because its servers are silent; they may go on.
fn is_silent(stream: &Stream) -> bool {
    let interrupt = stream.pending_interrupt.get();
    interrupt.is_some_and(Interrupt::may_go_on) && !is_over(stream)
}
