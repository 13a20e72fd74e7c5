//! Sending a request along a path until an engine takes it.

use std::rc::Rc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use jujube_core::pipeline::attempts::Outlook;
use jujube_core::pipeline::belief::Belief;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::answer::Reason;
use crate::dialect::Dialect;
use crate::head;
use crate::probe;
use crate::retries::Retry;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;

use super::LAST_EVENT;
use super::booking::choose_with;
use super::booking::leave_path;
use super::booking::take_path;
use super::record::Loss;
use super::record::Stream;

/// How many paths may refuse a request before it is given up.
const MOST_REFUSALS: u32 = 3;

/// How long after its last event a stream under way waits for servers to take it; callers leave after
/// two seconds, and reading its tokens takes a part of that.
const PATIENCE: Span = Span(1_400);
/// How long it waits for room before it tries a server that is known to have none.
const HOPEFUL: Span = Span(700);
/// How long after a run was lost its engine must have answered, or is suspected; an answer is waited for
/// for a tenth of a second.
const ANSWERED: Span = Span(300);
/// How often it looks for room.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

pub(super) type GivenUp = (Reason, String);

/// What the caller has of the answer when a run is opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Answer {
    /// Nothing: whatever a server answers may be passed on.
    Ahead,
    /// Its head, and the events so far: only more events can follow. The run that goes on meanwhile is on this
    /// server, which cannot hold the same request twice.
    Begun(Option<Incarnation>),
}

impl Answer {
    /// Returns the server of the run that goes on meanwhile.
    fn beside(&self) -> Option<&Incarnation> {
        match self {
            Self::Ahead => None,
            Self::Begun(beside) => beside.as_ref(),
        }
    }
}

/// Sends the request along a path until one takes it.
pub(super) async fn open<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    last: Option<u64>,
    answer: Answer,
) -> Result<Incomplete, GivenUp> {
    let began = clock::now();
    let mut avoid = unwanted(stream, &answer);
    let mut refusals = 0;
    let mut cause = String::from("run-lost");
    loop {
        if answer.beside().is_some() && stream.last_event.get() > began {
            // What stood still goes on, and what leaves is moved at a better moment.
            return Err((Reason::Failed, "run-goes-on".into()));
        }
        if stream.expired.get() || clock::now() >= stream.deadline {
            return Err((Reason::Late, "deadline".into()));
        }
        match outlook(state, stream) {
            _ if stream.runs() == 0 => {}
            Outlook::Open => {}
            // A broken connection shows within milliseconds that a run is lost, and a server counts as ended half
            // a second later. Given up in between, streams would be cut whose servers leave as planned.
            Outlook::Near if waits_for_room(stream).await => continue,
            Outlook::Near | Outlook::Closed => return Err((Reason::Failed, cause)),
        }
        stream.abandoned.set(None);
        if stream.was_sent.get() && !retry_comes(state, stream).await {
            return Err(given_up(stream, Reason::Refused, cause));
        }
        let path = match next_path(state, stream, &avoid) {
            Some(path) => path,
            None if waits_for_room(stream).await => continue,
            None => return Err(given_up(stream, Reason::NoServer, "no-path".into())),
        };
        let sent = send(state, stream, path, last);
        let failure = match sent.await {
            Ok(incomplete) if is_wanted(&incomplete, &answer) => return Ok(incomplete),
            Ok(incomplete) => {
                let failure = Failure::Failed(incomplete.response.status());
                match may_run_again(state, stream) {
                    true => failure,
                    false if answer == Answer::Ahead => return Ok(incomplete),
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
        let first = stream.first();
        let at_fault = part_at_fault(stream, &failure);
        if matches!(failure, Failure::Unknown(_)) {
            if let Some(first) = &first {
                lose(state, stream, first, stream.loss());
            }
        }
        leave_path(state, stream);
        match failure {
            Failure::NotSent(_) => {
                if let Some(first) = first {
                    state.accuse(&first.server, "not-sent");
                }
                continue;
            }
            Failure::NotRun { .. } => {
                refusals += 1;
                if let Some(part) = at_fault {
                    avoid.push(part.server.clone());
                    state.refused(&part.server);
                    probe::check(state, part.server, part.address);
                }
                if refusals >= MOST_REFUSALS {
                    if !waits_for_room(stream).await {
                        return Err(given_up(stream, Reason::Refused, cause));
                    }
                    refusals = 0;
                    avoid = unwanted(stream, &answer);
                }
            }
            Failure::Failed(_) => {
                if let Some(first) = first {
                    state.failed(&first.server);
                    stream.attempts.borrow_mut().left(&first.server);
                    avoid.push(first.server);
                }
            }
            Failure::Unknown(_) => {
                if let Some(first) = first {
                    avoid.push(first.server);
                }
            }
        }
        state.metrics.count("retries");
    }
}

/// Returns the servers that a stream is not to be sent to before any has refused it.
fn unwanted(stream: &Stream, answer: &Answer) -> Vec<Incarnation> {
    let distrusted = stream.distrusted.borrow();
    distrusted.iter().chain(answer.beside()).cloned().collect()
}

/// Returns why a request is given up, as its caller may be told.
///
/// Some reasons say that a request has not run. After a run that failed or whose end is unknown that
/// would be untrue, whatever the last server said.
fn given_up(stream: &Stream, reason: Reason, cause: String) -> GivenUp {
    if stream.runs() > 0 {
        return (Reason::Failed, cause);
    }
    (reason, cause)
}

/// Tells whether a server's answer is passed on before any other try.
///
/// After the first events of a stream, the body of any other answer would be taken for the rest of it: that of
/// a failure is empty, and a stream cut short would look whole to its caller.
fn is_wanted(incomplete: &Incomplete, answer: &Answer) -> bool {
    let response = &incomplete.response;
    match answer {
        Answer::Ahead => !response.status().is_server_error(),
        Answer::Begun(_) => super::is_events(response.status(), response.headers()),
    }
}

/// Waits a little for room, if this is a stream under way whose caller has not lost patience.
///
/// A request that has run, be it without an event, can only be cut off: its caller may not be told that it
/// has not run. What was written so far is lost then, and the caller waits longer for the next event than a
/// new one would be told to.
async fn waits_for_room(stream: &Stream) -> bool {
    if patience(stream).is_none() {
        return false;
    }
    tokio::time::sleep(ROOM_PAUSE).await;
    true
}

/// Returns how much longer the caller of a stream under way can be expected to wait, if at all.
pub(super) fn patience(stream: &Stream) -> Option<Span> {
    let is_under_way = stream.runs() > 0 || stream.events.get() > 0;
    let silent = clock::now().since(stream.last_event.get());
    let left = Span(PATIENCE.0.saturating_sub(silent.0));
    (is_under_way && left > Span(0)).then_some(left)
}

/// Returns the path to send the request along, with what it gives servers to read booked.
fn next_path<D>(state: &State<D>, stream: &Stream, avoid: &[Incarnation]) -> Option<Path> {
    let planned = stream.planned.take();
    let is_sound = |path: &Path| {
        let suspicion = state.suspicion.borrow();
        let mut servers = path.parts().iter().map(|part| &part.server);
        servers.all(|server| !suspicion.holds(server) && !avoid.contains(server))
    };
    if let Some(path) = planned.filter(is_sound) {
        return Some(path);
    }
    let now = clock::now();
    let left = stream.left.borrow();
    let backlog = |left| state.load.borrow().backlog.crowd(now, left);
    let crowd = left.as_ref().map_or(1.0, backlog);
    let (choice, fleet, need) =
        choose_with(state, &stream.service, avoid, crowd, |fleet, view| {
            let need = stream.need(fleet.engine.tokens_per_event);
            (fleet.choose(need, view), fleet.clone(), need)
        })?;
    let choice = choice.filter(|choice| !choice.is_forced())?;
    let is_under_way = stream.events.get() > 0;
    if is_under_way && choice.lacks_room() && clock::now().since(stream.last_event.get()) < HOPEFUL
    {
        return None;
    }
    let path = choice.path;
    let mut load = state.load.borrow_mut();
    fleet.book_reading(&mut load, now, need, &path, None, crowd);
    Some(path)
}

/// Tells whether a stream may run on one more server.
pub(super) fn outlook<D>(state: &State<D>, stream: &Stream) -> Outlook {
    if !stream.route.may_repeat() {
        return Outlook::Closed;
    }
    settle(state, stream);
    let limit = stream.route.attempts as usize;
    let attempts = stream.attempts.borrow();
    attempts.outlook(limit, |server| {
        let belief = state.belief(server);
        let is_doubted = belief == Belief::Alive && is_doubted(state, stream, server);
        if is_doubted {
            Belief::Suspected
        } else {
            belief
        }
    })
}

/// Settles which of a stream's servers ended with their runs, where that is not known yet.
pub fn settle<D>(state: &State<D>, stream: &Stream) {
    let mut attempts = stream.attempts.borrow_mut();
    if attempts.is_unsettled() {
        attempts.settle(clock::now(), |server| state.belief(server));
    }
}

/// Tells whether the stream's last run was lost with a server that has not answered since.
fn is_doubted<D>(state: &State<D>, stream: &Stream, server: &Incarnation) -> bool {
    let lost_with = stream.lost_with.borrow();
    let Some((_, lost)) = lost_with.as_ref().filter(|(lost, _)| lost == server) else {
        return false;
    };
    clock::now().since(*lost) < ANSWERED && !state.probes.answered_since(server, *lost)
}

/// Books that a run is lost, and has its engine asked whether it is alive: if it is dead, no other request
/// should have to find that out for itself.
pub(super) fn lose<D: Dialect>(state: &Rc<State<D>>, stream: &Stream, first: &Part, loss: Loss) {
    let now = clock::now();
    state.failed(&first.server);
    if loss == Loss::Broken {
        state.suspicion.borrow_mut().broke(now, &first.server);
    }
    let mut attempts = stream.attempts.borrow_mut();
    match loss {
        Loss::Broken | Loss::Dead => attempts.lost(now, &first.server),
        Loss::Left => attempts.left(&first.server),
    }
    drop(attempts);
    stream.lost_with.replace(Some((first.server.clone(), now)));
    probe::check_after_loss(state, first.server.clone(), first.address, now);
}

/// Tells whether a stream that may have run may be sent to engines once more.
pub(super) fn may_run_again<D>(state: &State<D>, stream: &Stream) -> bool {
    outlook(state, stream) == Outlook::Open && holds_retry(state, stream)
}

/// Tells whether a retry is in hand for the next run, after taking one if there was none.
pub(super) fn holds_retry<D>(state: &State<D>, stream: &Stream) -> bool {
    let held = stream.retry.take().filter(Retry::is_fresh);
    let held = held.or_else(|| state.take_retry(&stream.service, &stream.id));
    let holds = held.is_some();
    stream.retry.replace(held);
    holds
}

/// Waits until a retry for the next run is in hand, as long as the caller can be expected to wait; `false` when none
/// came in time.
///
/// Streams wait in line. Were each to ask again every now and then, those that came last would often be served
/// first, and a hundred of them would fill the log with denials.
async fn retry_comes<D>(state: &State<D>, stream: &Stream) -> bool {
    if holds_retry(state, stream) {
        return true;
    }
    let Some(patience) = patience(stream) else {
        return false;
    };
    let began = clock::now();
    let coming = state.retries.wait(&stream.service);
    let expired = std::pin::pin!(stream.lost());
    let coming = tokio::time::timeout(Duration::from_millis(patience.0), coming);
    let retry = match select(std::pin::pin!(coming), expired).await {
        Either::Left((Ok(Ok(retry)), _)) => Some(retry),
        _ => None,
    };
    let outcome = if retry.is_some() { "taken" } else { "given-up" };
    let waited = clock::now().since(began);
    log::info!(
        "event=retry-awaited request={} outcome={outcome} waited_ms={waited}",
        stream.id
    );
    let is_in_hand = retry.is_some();
    stream.retry.replace(retry);
    is_in_hand
}

async fn send<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    path: Path,
    last: Option<u64>,
) -> Result<Incomplete, Failure> {
    let Some(first) = path.first().cloned() else {
        return Err(Failure::NotSent("an empty path".into()));
    };
    let now = clock::now();
    stream.heard.set(now);
    stream.check_at.set(now);
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
        "event=path-chosen request={} run={} peers={} version={version} left_ms={left} after={} earlier={} path={}",
        stream.id,
        stream.runs() + 1,
        state.load.borrow().peers(),
        last.unwrap_or(0),
        earlier(state, stream),
        path
    );
    take_path(state, stream, Some(path));
    stream.attempts.borrow_mut().begin(first.server.clone());
    let mut retry = stream.retry.take();
    if let Some(retry) = &mut retry {
        retry.set_sent(true);
    }
    let sending = upstream::send::<D>(&state.pool, &first.server, first.address, &outgoing);
    let sending = std::pin::pin!(sending);
    let lost = std::pin::pin!(stream.lost());
    let result = match select(sending, lost).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Failure::Unknown("abandoned".into())),
    };
    if !matches!(result, Ok(_) | Err(Failure::Unknown(_))) {
        stream.attempts.borrow_mut().take_back();
    }
    if !matches!(result, Err(Failure::NotSent(_))) {
        stream.was_sent.set(true);
    } else if let Some(mut retry) = retry {
        retry.set_sent(false);
        stream.retry.replace(Some(retry));
    }
    result
}

/// Returns the servers that a stream ran on and what is believed of them, for logs.
fn earlier<D>(state: &State<D>, stream: &Stream) -> String {
    let attempts = stream.attempts.borrow();
    let told = |server| format!("{server}:{}", state.belief(server));
    let told: Vec<String> = attempts.servers().map(told).collect();
    if told.is_empty() {
        return "-".into();
    }
    told.join(",")
}

/// Returns the part of the stream's path that refused it: the one that the refusal names, else the first.
fn part_at_fault(stream: &Stream, failure: &Failure) -> Option<Part> {
    let Failure::NotRun { at_fault, .. } = failure else {
        return None;
    };
    let path = stream.path.borrow();
    let path = path.as_ref()?;
    let named = at_fault.and_then(|address| path.at(address));
    named.or_else(|| path.first()).cloned()
}
