//! Sending a request along a path until an engine takes it.

use std::rc::Rc;

use futures::future::Either;
use futures::future::select;
use jujube_core::name::Server as Name;
use jujube_core::pipeline::chooser::Choice;
use jujube_program::clock;

use crate::answer::Reason;
use crate::dialect::Dialect;
use crate::head;
use crate::probe;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;

use super::LAST_EVENT;
use super::booking::choose_with;
use super::booking::take_path;
use super::record::Stream;

/// How many paths may refuse a request before it is given up.
const MOST_REFUSALS: u32 = 3;

pub(super) type GivenUp = (Reason, String);

/// Sends the request along a path until one takes it.
pub(super) async fn open<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    last: Option<u64>,
) -> Result<Incomplete, GivenUp> {
    let mut avoid: Vec<Name> = Vec::new();
    let mut refusals = 0;
    loop {
        if stream.expired.get() || clock::now() >= stream.deadline {
            return Err((Reason::Late, "deadline".into()));
        }
        stream.abandoned.set(false);
        let need = stream.need;
        let choice = choose_with(state, &stream.service, &avoid, |fleet, view| {
            fleet.choose(need, view)
        });
        let Some(choice) = choice.flatten().filter(|choice| !choice.is_forced()) else {
            return Err((Reason::NoServer, "no-path".into()));
        };
        let sent = send(state, stream, choice, last);
        let failure = match sent.await {
            Ok(incomplete) => return Ok(incomplete),
            Err(failure) => failure,
        };
        let cause = failure.to_string().replace(' ', "-");
        log::info!(
            "event=path-failed request={} path={} cause={cause}",
            stream.id,
            stream.path_text()
        );
        match failure {
            Failure::NotSent(_) => {
                if let Some(first) = stream.first() {
                    state.accuse(&first.server, "not-sent");
                }
                continue;
            }
            Failure::NotRun { at_fault, .. } => {
                refusals += 1;
                blame(state, stream, at_fault, &mut avoid);
                if refusals >= MOST_REFUSALS || !state.take_retry(&stream.service) {
                    return Err((Reason::Refused, cause));
                }
            }
            Failure::Unknown(_) => {
                if let Some(first) = stream.first() {
                    avoid.push(first.server);
                }
                if !may_run_again(state, stream) {
                    return Err((Reason::Failed, cause));
                }
            }
        }
        state.metrics.count("retries");
    }
}

/// Tells whether a stream that may have run may be sent to engines once more.
pub(super) fn may_run_again<D>(state: &State<D>, stream: &Stream) -> bool {
    let route = &stream.route;
    route.may_repeat() && stream.runs.get() < route.attempts && state.take_retry(&stream.service)
}

async fn send<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    choice: Choice,
    last: Option<u64>,
) -> Result<Incomplete, Failure> {
    let Some(first) = choice.path.first().cloned() else {
        return Err(Failure::NotSent("an empty path".into()));
    };
    let now = clock::now();
    stream.heard.set(now);
    stream.check_at.set(now);
    let mut outgoing = stream.outgoing.clone();
    let left = stream.deadline.since(now);
    let headers = &mut outgoing.headers;
    head::set(headers, D::NAMES.deadline, &left.to_string());
    head::set(headers, D::NAMES.path, &D::path(&choice.path));
    if let Some(last) = last {
        head::set(headers, LAST_EVENT, &last.to_string());
    }
    let version = state.table().map_or(0, |table| table.document.version.0);
    log::info!(
        "event=path-chosen request={} run={} cost_ms={:.0} peers={} version={version} left_ms={left} \
         after={} path={}",
        stream.id,
        stream.runs.get() + 1,
        choice.cost_ms,
        state.load.borrow().peers(),
        last.unwrap_or(0),
        choice.path
    );
    take_path(state, stream, Some(choice.path));
    stream.runs.set(stream.runs.get() + 1);
    let sending = upstream::send::<D>(&state.pool, &first.server, first.address, &outgoing);
    let sending = std::pin::pin!(sending);
    let lost = std::pin::pin!(stream.lost());
    let result = match select(sending, lost).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Failure::Unknown("abandoned".into())),
    };
    if !matches!(result, Ok(_) | Err(Failure::Unknown(_))) {
        stream.runs.set(stream.runs.get() - 1);
    }
    result
}

/// Keeps the part at fault out of this request's next path, and asks it whether it is alive.
fn blame<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Stream,
    at_fault: Option<std::net::SocketAddr>,
    avoid: &mut Vec<Name>,
) {
    let path = stream.path.borrow();
    let Some(path) = path.as_ref() else {
        return;
    };
    let named = |address| path.parts().iter().find(|part| part.address == address);
    let Some(part) = at_fault.and_then(named).or_else(|| path.first()) else {
        return;
    };
    let (server, address) = (part.server.clone(), part.address);
    avoid.push(server.clone());
    state.load.borrow_mut().refused(clock::now(), &server);
    let state = state.clone();
    tokio::task::spawn_local(async move {
        probe::health(&state, &server, address).await;
    });
}
