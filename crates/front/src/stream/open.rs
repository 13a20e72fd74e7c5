//! Opening a run: sends a request along a path until an engine accepts it.

use std::rc::Rc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::liveness::Liveness;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::dialect::Dialect;
use crate::gate;
use crate::gate::Opening;
use crate::head;
use crate::probe;
use crate::quarantine;
use crate::response::Reason;
use crate::retries::Retry;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;

use super::LAST_EVENT;
use super::interrupt::Interrupt;
use super::path::choose_with;
use super::path::release_path;
use super::path::set_path;
use super::record::Loss;
use super::record::Stream;

/// Maximum paths that may reject a request before it fails.
const MAX_REFUSALS: u32 = 3;

/// How long after its last event a stream may wait for servers to accept it. Clients disconnect
/// after two seconds, and prefill takes part of that.
const CLIENT_PATIENCE: Span = Span(1_400);
/// How long such a stream waits for capacity before it tries a server that is known to have none.
const CAPACITY_WAIT: Span = Span(700);
/// How long an engine counts as suspected after the loss of a run, unless it responds to a probe.
const SUSPECTED_AFTER_LOSS: Span = Span(300);
/// Interval between checks for capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) type Refusal = (Reason, String);

/// How much of the response the client has received when a run is opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// Nothing; any response of a server may be forwarded.
    NotStarted,
    /// The head and possibly events, so only further events may follow. Contains the server of the
    /// current run, if there is one; it cannot run the same request twice.
    Started(Option<Incarnation>),
}

impl Progress {
    /// Returns the server of the current run.
    fn current_server(&self) -> Option<&Incarnation> {
        match self {
            Self::NotStarted => None,
            Self::Started(current_server) => current_server.as_ref(),
        }
    }
}

/// Sends the request along paths until one accepts it.
pub(super) async fn open<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    last: Option<u64>,
    progress: Progress,
) -> Result<Incomplete, Refusal> {
    let started = clock::now();
    let mut avoid = initial_exclusions(stream, &progress);
    let mut rejections = 0;
    let mut cause = String::from("run-lost");
    loop {
        if progress.current_server().is_some() && stream.last_event.get() > started {
            // The stalled run has recovered; a move off a draining server can wait.
            return Err(run_goes_on());
        }
        if stream.is_expired.get() || clock::now() >= stream.deadline {
            return Err((Reason::Late, "deadline".into()));
        }
        match permission(state, stream) {
            _ if stream.runs() == 0 => {}
            Permission::Allowed => {}
            // A lost connection is noticed within milliseconds, while a server counts as ended only
            // after half a second. Waits, so that streams survive a planned exit of their server.
            Permission::Pending if wait_briefly(stream).await => continue,
            Permission::Pending | Permission::Denied => return Err((Reason::Failed, cause)),
        }
        if let Some(digest) = state.quarantine_cause(&stream.features) {
            let cause = quarantine::cause(digest);
            return Err(final_refusal(stream, Reason::Quarantined, cause));
        }
        stream.pending_interrupt.set(None);
        if stream.was_sent.get() && !wait_for_retry(state, stream).await {
            if stream.has_gone_on.get() {
                return Err(run_goes_on());
            }
            return Err(final_refusal(stream, Reason::Refused, cause));
        }
        let path = match next_path(state, stream, &avoid) {
            Some(path) => path,
            None if wait_briefly(stream).await => continue,
            None => {
                let opening = Opening::of_model(state, &stream.service);
                let closed = opening.filter(|opening| opening.after > Span(0));
                let cause = closed.map_or("no-path", |opening| opening.cause);
                return Err(final_refusal(stream, Reason::NoServer, cause.into()));
            }
        };
        let sent = send(state, stream, path, last);
        let failure = match sent.await {
            Ok(incomplete) if is_acceptable(&incomplete, &progress) => return Ok(incomplete),
            Ok(incomplete) => {
                let failure = Failure::Failed(incomplete.response.status());
                match may_run_again(state, stream) {
                    true => failure,
                    false if progress == Progress::NotStarted => return Ok(incomplete),
                    false => return Err((Reason::Failed, failure.to_string())),
                }
            }
            Err(failure) => failure,
        };
        cause = failure.to_string().replace(' ', "-");
        log::info!(
            "event=path-failed request={} path={} cause={cause}",
            stream.id,
            stream.path_text()
        );
        let first = stream.first_part();
        if let Some(first) = first.as_ref().filter(|_| stream.has_gone_on.get()) {
            stream.attempts.borrow_mut().left(&first.server);
            return Err(run_goes_on());
        }
        let at_fault = part_at_fault(stream, &failure);
        if matches!(failure, Failure::Unknown(_)) {
            if let Some(first) = &first {
                record_loss(state, stream, first, stream.loss(), None);
            }
        }
        release_path(state, stream);
        match failure {
            Failure::NotSent(_) => {
                if let Some(first) = first {
                    state.suspect(&first.server, "not-sent");
                }
                continue;
            }
            Failure::Unwanted => continue,
            Failure::NotRun { rest, .. } => {
                rejections += 1;
                if let Some(part) = at_fault {
                    avoid.push(part.server.clone());
                    let is_first = first.is_some_and(|first| first.server == part.server);
                    if let Some(rest) = rest.filter(|_| !is_first) {
                        gate::record_rest_of_part(state, &stream.id, &part, rest);
                    }
                    if !gate::is_resting(state, &part.server) {
                        state.refused(&part.server);
                        probe::check(state, part.server, part.address);
                    }
                }
                if rejections >= MAX_REFUSALS {
                    if !wait_briefly(stream).await {
                        return Err(final_refusal(stream, Reason::Refused, cause));
                    }
                    rejections = 0;
                    avoid = initial_exclusions(stream, &progress);
                }
            }
            Failure::Failed(_) => {
                if let Some(first) = first {
                    state.failed(&first.server);
                    stream.attempts.borrow_mut().left(&first.server);
                    avoid.push(first.server);
                }
            }
            Failure::Unknown(_) | Failure::Unread => {
                if let Some(first) = first {
                    avoid.push(first.server);
                }
            }
        }
        state.metrics.count("retries");
    }
}

/// Returns why no other run is opened for a stream whose run has recovered.
fn run_goes_on() -> Refusal {
    (Reason::Failed, "run-goes-on".into())
}

/// Returns the servers that are excluded before any has rejected the request.
fn initial_exclusions(stream: &Stream, progress: &Progress) -> Vec<Incarnation> {
    let excluded = stream.excluded.borrow();
    excluded
        .iter()
        .chain(progress.current_server())
        .cloned()
        .collect()
}

/// Returns the reason to report to the client.
///
/// Some reasons promise that the request has not run; if a run has started, returns
/// `Reason::Failed` instead.
fn final_refusal(stream: &Stream, reason: Reason, cause: String) -> Refusal {
    if stream.runs() > 0 {
        return (Reason::Failed, cause);
    }
    (reason, cause)
}

/// Returns whether a response can be forwarded without another attempt.
///
/// Once a response has started, only events may follow: the body of an error would be taken for the
/// rest of the stream, and its end for the stream's end.
fn is_acceptable(incomplete: &Incomplete, progress: &Progress) -> bool {
    let response = &incomplete.response;
    match progress {
        Progress::NotStarted => !response.status().is_server_error(),
        Progress::Started(_) => super::is_events(response.status(), response.headers()),
    }
}

/// Waits briefly before the next attempt if a stream is under way and its client can be expected to
/// wait; returns `false` otherwise.
///
/// A request that has run cannot be rejected, only aborted, and would lose the events so far.
async fn wait_briefly(stream: &Stream) -> bool {
    if remaining_patience(stream).is_none() {
        return false;
    }
    tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
    true
}

/// Returns how much longer the client of a stream under way can be expected to wait.
pub(super) fn remaining_patience(stream: &Stream) -> Option<Span> {
    let is_under_way = stream.runs() > 0 || stream.events.get() > 0;
    let silent = clock::now().since(stream.last_read());
    let left = Span(CLIENT_PATIENCE.0.saturating_sub(silent.0));
    (is_under_way && left > Span(0)).then_some(left)
}

/// Returns the next path to try; reserves its prefill work.
fn next_path<D>(state: &State<D>, stream: &Stream, avoid: &[Incarnation]) -> Option<Path> {
    let planned = stream.planned_path.take();
    let is_usable = |path: &Path| {
        let suspicion = state.suspicion.borrow();
        let mut servers = path.parts().iter().map(|part| &part.server);
        let is_first_open = path
            .first()
            .is_some_and(|first| gate::is_open(state, &first.server));
        is_first_open
            && servers.all(|server| !suspicion.is_suspected(server) && !avoid.contains(server))
    };
    if let Some(path) = planned.filter(is_usable) {
        return Some(path);
    }
    let now = clock::now();
    let previous = stream.previous_path.borrow();
    let herd_size_on = |path| state.load.borrow().backlog.herd_size(now, path);
    let herd_size = previous.as_ref().map_or(1.0, herd_size_on);
    let (choice, fleet, demand) = choose_with(
        state,
        &stream.service,
        avoid,
        herd_size,
        |fleet, context| {
            let demand = stream.demand(fleet.model.tokens_per_event);
            (fleet.choose(demand, context), fleet.clone(), demand)
        },
    )?;
    let choice = choice.filter(|choice| !choice.is_closed())?;
    let is_under_way = stream.events.get() > 0;
    if is_under_way
        && choice.lacks_capacity()
        && clock::now().since(stream.last_event.get()) < CAPACITY_WAIT
    {
        return None;
    }
    let path = choice.path;
    let mut load = state.load.borrow_mut();
    fleet.record_prefill(&mut load, now, demand, &path, None, herd_size);
    Some(path)
}

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
    log::info!(
        "event=run-lost request={} {} server={} loss={loss} began_ms={}",
        stream.id,
        stream.features,
        first.server,
        began.map_or("-".into(), |began| now.since(began).to_string())
    );
    state.failed(&first.server);
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
async fn wait_for_retry<D>(state: &State<D>, stream: &Stream) -> bool {
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
    log::info!(
        "event=retry-awaited request={} outcome={outcome} waited_ms={waited}",
        stream.id
    );
    let is_granted = retry.is_some();
    stream.retry.replace(retry);
    is_granted
}

async fn send<D: Dialect>(
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

/// Returns the part of the path that rejected the request: the one named in the rejection, or the
/// first.
fn part_at_fault(stream: &Stream, failure: &Failure) -> Option<Part> {
    let Failure::NotRun { at_fault, .. } = failure else {
        return None;
    };
    let path = stream.path.borrow();
    let path = path.as_ref()?;
    let named = at_fault.and_then(|address| path.part_at(address));
    named.or_else(|| path.first()).cloned()
}
