//! Opening a run: sends a request along paths until an engine accepts it.

use std::rc::Rc;

use hyper::StatusCode;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::chooser::Choice;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::gate;
use crate::gate::Opening;
use crate::probe;
use crate::quarantine;
use crate::reason::Reason;
use crate::state::State;
use crate::strangers;
use crate::upstream::Failure;
use crate::upstream::Incomplete;

use super::path::choose_with;
use super::path::release_path;
use super::record::Stream;
use super::retry::may_run_again;
use super::retry::wait_briefly;
use super::retry::wait_for_retry;
use super::runs::permission;
use super::runs::record_loss;
use super::send::Sent;
use super::send::SilentRun;
use super::send::send;

/// Maximum paths that may reject a request before it fails.
const MAX_REFUSALS: u32 = 3;

/// How long a stream under way waits for capacity before it tries a server that is known to have none.
const CAPACITY_WAIT: Span = Span(700);

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

/// Sends the request along paths until one accepts it; waits for a silent run that none replaced.
pub(super) async fn open<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    last: Option<u64>,
    progress: Progress,
) -> Result<Incomplete, Refusal> {
    let mut silent = None;
    let result = try_paths(state, stream, last, &progress, &mut silent).await;
    match (result, silent) {
        (Err(refusal), Some(silent)) => {
            let response = silent.finish(stream).await;
            let response = response.filter(|response| is_acceptable(stream, response, &progress));
            response.ok_or(refusal)
        }
        (result, _) => result,
    }
}

async fn try_paths<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    last: Option<u64>,
    progress: &Progress,
    silent: &mut Option<SilentRun<D>>,
) -> Result<Incomplete, Refusal> {
    let started = clock::now();
    let mut avoid = initial_exclusions(stream, progress);
    let mut rejections = 0;
    let mut cause = String::from("run-lost");
    loop {
        if has_gone_on(stream, progress, started) {
            return Err(run_goes_on());
        }
        if stream.is_expired.get() || clock::now() >= stream.deadline {
            return Err(over(state, stream));
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
            return Err(final_refusal(stream, Reason::Refused, cause));
        }
        if has_gone_on(stream, progress, started) {
            return Err(run_goes_on());
        }
        let path = match next_fresh_path(state, stream, &avoid) {
            Some(path) => path,
            None if wait_briefly(stream).await => continue,
            None => {
                let opening = Opening::of_model(state, &stream.service);
                let closed = opening.filter(|opening| opening.after > Span(0));
                let cause = closed.map_or("no-path", |opening| opening.cause);
                return Err(final_refusal(stream, Reason::NoServer, cause.into()));
            }
        };
        let mut exchange = None;
        let failure = match send(state, stream, path, last).await {
            Sent::Ended(Ok(incomplete)) if is_acceptable(stream, &incomplete, progress) => {
                return Ok(incomplete);
            }
            Sent::Ended(Ok(incomplete)) => {
                let failure = Failure::Failed(incomplete.response.status());
                let may_forward = may_forward(stream, &incomplete);
                match may_run_again(state, stream) {
                    true => failure,
                    false if *progress == Progress::NotStarted && may_forward => {
                        return Ok(incomplete);
                    }
                    false => return Err((Reason::Failed, failure.to_string())),
                }
            }
            Sent::Ended(Err(failure)) => failure,
            Sent::Silent(silent) => {
                exchange = Some(silent);
                Failure::Unknown("silent".into())
            }
        };
        cause = failure.to_string();
        event!(
            Info,
            "path-failed",
            request = stream.id,
            path = [stream.path_text()],
            cause
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
        match exchange.filter(|_| silent.is_none()) {
            Some(exchange) => *silent = Some(SilentRun::keep(state, stream, exchange)),
            None => release_path(state, stream),
        }
        match failure {
            Failure::NotSent(_) => {
                if let Some(first) = first {
                    state.suspect(&first.server, "not-sent");
                }
                continue;
            }
            Failure::Unwanted => continue,
            Failure::NotRun { status, rest, .. } => {
                rejections += 1;
                if let Some(part) = at_fault {
                    if status == StatusCode::MISDIRECTED_REQUEST {
                        strangers::misdirected(state, &part.server);
                    }
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
                    avoid = initial_exclusions(stream, progress);
                }
            }
            Failure::Failed(status) => {
                if let Some(first) = first {
                    if status == StatusCode::MISDIRECTED_REQUEST {
                        strangers::doubted(state, &first.server);
                    }
                    state.failed(&first.server, stream.features.request);
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

/// Returns whether the current run has recovered since another one was to be opened. A move off a
/// draining server can wait.
fn has_gone_on(stream: &Stream, progress: &Progress, started: Instant) -> bool {
    if progress.current_server().is_some() && stream.last_event.get() > started {
        stream.has_gone_on.set(true);
    }
    stream.has_gone_on.get()
}

/// Returns why a stream ends before its response has begun.
fn over<D>(state: &State<D>, stream: &Stream) -> Refusal {
    if !state.exit.is_due() {
        return (Reason::Late, "deadline".into());
    }
    let reason = match stream.runs() {
        0 => Reason::Stopping,
        _ => Reason::Interrupted,
    };
    (reason, "exit".into())
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
fn is_acceptable(stream: &Stream, incomplete: &Incomplete, progress: &Progress) -> bool {
    let response = &incomplete.response;
    match progress {
        Progress::NotStarted => {
            !response.status().is_server_error() && may_forward(stream, incomplete)
        }
        Progress::Started(_) => super::is_events(response.status(), response.headers()),
    }
}

fn may_forward(stream: &Stream, incomplete: &Incomplete) -> bool {
    let status = incomplete.response.status();
    stream.route.may_forward(status.as_u16())
}

/// Returns the next path to try: one without the servers of earlier runs, if there is one. What ended
/// such a run may last, and another run on its server counts as much as one elsewhere.
fn next_fresh_path<D>(state: &State<D>, stream: &Stream, avoid: &[Incarnation]) -> Option<Path> {
    let earlier: Vec<Incarnation> = stream.attempts.borrow().servers().cloned().collect();
    if !earlier.is_empty() {
        let fresh = next_path(state, stream, &[avoid, &earlier].concat());
        if fresh.is_some() {
            return fresh;
        }
    }
    next_path(state, stream, avoid)
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
    let choice =
        choice.filter(|choice| !choice.is_closed() || try_suspects(state, stream, choice))?;
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

/// Returns whether a request is sent to suspected servers, because no path is complete without them.
///
/// What their checks show may be wrong for good, while nothing but a request would show it.
fn try_suspects<D>(state: &State<D>, stream: &Stream, choice: &Choice) -> bool {
    let is_first_open = choice
        .path
        .first()
        .is_some_and(|first| gate::is_open(state, &first.server));
    if choice.is_barred() || !is_first_open || stream.has_tried_suspect.replace(true) {
        return false;
    }
    let servers = choice.path.parts().iter().map(|part| &part.server);
    state.suspicion.borrow_mut().tried(clock::now(), servers);
    state.metrics.count("suspects_tried");
    event!(
        Info,
        "suspect-tried",
        request = stream.id,
        path = [choice.path]
    );
    true
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
