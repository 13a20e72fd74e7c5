//! Event streams along a path of backend servers.

mod body;
mod download;
mod holding;
mod interrupt;
mod open;
mod path;
mod read_ahead;
mod record;
mod retry;
mod runs;
mod send;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures::task::AtomicWaker;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::departure::Work;
use jujube_core::pipeline::relay::Relay;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::body::Body;
use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::gate::Opening;
use crate::head;
use crate::reason::Reason;
use crate::request;
use crate::request::Admitted;
use crate::request::RETRY_AFTER_STOPPING;
use crate::response;
use crate::state::State;
use crate::waiting;

use body::EventBody;
use download::Download;
use download::Upstream;
use open::open;
use path::Registration;
use record::Reading;

pub use interrupt::Cause;
pub use interrupt::Interrupt;

pub use path::choose_with;
pub use path::may_reopen;
pub use path::recover;
pub use path::set_path;
pub use read_ahead::Events;
pub use read_ahead::Reader;
pub use record::Stream;
pub use runs::settle;

/// The header that resumes a stream after an event.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// `Retry-After` if there is no path; about the time that a planner needs to close a gap.
const RETRY_AFTER_NO_PATH: Span = Span(1_000);
/// `Retry-After` once engines rejected the request.
const RETRY_AFTER_REFUSED: Span = Span(300);

/// Returns whether a response is an event stream.
fn is_events(status: StatusCode, headers: &HeaderMap) -> bool {
    let kind = head::text(headers, &CONTENT_TYPE);
    status.is_success() && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Returns whether a stream that resumes after the event `last` can end before the process exits, if
/// its events come as fast as those of the streams under way.
fn can_end<D>(state: &State<D>, stream: &Stream, work: Work, last: Option<u64>) -> bool {
    if !state.exit.is_planned() {
        return true;
    }
    let fleets = state.fleets.borrow();
    let fleet = fleets.get(&stream.service);
    let tokens_per_event = fleet.map_or(1.0, |fleet| fleet.model.tokens_per_event);
    let events = stream.demand.answer_tokens / tokens_per_event - last.unwrap_or(0) as f64;
    let gap_ms = state.streams.mean_gap_ms(&stream.service).unwrap_or(0.0);
    let to_first_event = stream.route.latency_target.0 as f64;
    let expected = Span((to_first_event + events.max(0.0) * gap_ms) as u64);
    state.exit.allows(Work { expected, ..work })
}

/// Returns the refusal of a stream that another entry can serve.
fn stopping() -> (Reason, Span, &'static str) {
    (Reason::Stopping, RETRY_AFTER_STOPPING, "exit")
}

/// Serves one request.
pub async fn serve<D: Dialect>(
    state: Rc<State<D>>,
    request: Admitted,
    mut outbound: Outbound,
) -> Response<Body<D>> {
    let demand = D::demand(&request.outgoing.headers).unwrap_or(Demand {
        prompt_tokens: 0.0,
        answer_tokens: 0.0,
    });
    let last = head::number(&request.outgoing.headers, &LAST_EVENT);
    let now = clock::now();
    let work = request.work();
    let stream = Rc::new(Stream {
        id: request.id,
        features: request.features,
        service: request.service,
        route: request.route,
        path: RefCell::default(),
        previous_path: RefCell::default(),
        planned_path: RefCell::default(),
        excluded: RefCell::default(),
        last_activity: Cell::new(now),
        run_sent: Cell::new(now),
        run_began: Cell::default(),
        has_lived: Cell::default(),
        has_survived: Cell::default(),
        events: Cell::new(0),
        mean_gap_ms: Cell::new(0.0),
        last_event: Cell::new(now),
        reading: Reading::new(now),
        first_event_after: Cell::default(),
        longest_gap: Cell::default(),
        is_being_checked: Cell::new(false),
        needs_check: Cell::new(false),
        repairs: Cell::new(0),
        slow_moves: Cell::new(0),
        has_tried_suspect: Cell::new(false),
        next_drain_move: Cell::new(now),
        next_check: Cell::new(now),
        deadline: request.deadline,
        demand,
        outgoing: request.outgoing,
        arrived: request.arrived,
        attempts: RefCell::default(),
        was_sent: Cell::new(false),
        retry: RefCell::default(),
        last_loss: RefCell::default(),
        pending_interrupt: Cell::default(),
        has_gone_on: Cell::default(),
        is_expired: Cell::new(false),
        body_waker: AtomicWaker::new(),
        open_waker: AtomicWaker::new(),
    });
    let registration = Registration::new(&state, &stream);
    let admission = waiting::Request {
        id: &stream.id,
        service: &stream.service,
        customer: &request.customer,
        priority: request.priority,
        demand,
        target: stream.route.latency_target,
    };
    let admitted = tokio::select! {
        biased;
        () = state.exit.forbids(work) => Err(stopping()),
        admitted = waiting::admit(&state, admission) => admitted.map_err(|rejection| {
            (Reason::Overloaded, rejection.retry_after, rejection.cause)
        }),
    };
    let admitted = admitted.and_then(|permit| match can_end(&state, &stream, work, last) {
        true => Ok(permit),
        false => Err(stopping()),
    });
    let permit = match admitted {
        Ok(permit) => permit,
        Err((reason, retry_after, cause)) => {
            outbound.abort();
            let route = &stream.route.name;
            request::record_refusal(&state, &stream.id, route, reason, stream.arrived, cause);
            return response::local(reason, Some(retry_after));
        }
    };
    match open(&state, &stream, last, open::Progress::NotStarted).await {
        Ok(incomplete) => {
            let (download, mut parts) = Download::begin(incomplete);
            head::forward(&mut parts);
            outbound.begin();
            let event_body = EventBody {
                is_events: is_events(parts.status, &parts.headers),
                registration,
                permit,
                relay: Relay::after(last).limited_to(state.memory.capacity()),
                upstream: Upstream::Reading(download),
                opening: None,
                out: VecDeque::new(),
            };
            Response::from_parts(parts, Body::Events(Events::new(event_body, outbound)))
        }
        Err((reason, cause)) => {
            outbound.abort();
            let retry_after = match reason {
                Reason::NoServer => Some(RETRY_AFTER_NO_PATH),
                Reason::Refused => Some(RETRY_AFTER_REFUSED),
                Reason::Stopping => Some(RETRY_AFTER_STOPPING),
                _ => None,
            };
            let opening = Opening::of_model(&state, &stream.service);
            let retry_after = retry_after.map(|after| Opening::not_before(opening, after));
            let route = &stream.route.name;
            request::record_refusal(&state, &stream.id, route, reason, stream.arrived, &cause);
            response::local(reason, retry_after)
        }
    }
}
