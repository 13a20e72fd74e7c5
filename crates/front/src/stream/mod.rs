//! Event streams along a path of backend servers.

mod body;
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
use jujube_core::pipeline::relay::Relay;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::body::Body;
use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::gate::Opening;
use crate::head;
use crate::request;
use crate::request::Admitted;
use crate::response;
use crate::response::Reason;
use crate::state::State;
use crate::waiting;

use body::EventBody;
use body::Upstream;
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
    let stream = Rc::new(Stream {
        id: request.id,
        features: request.features,
        service: request.service,
        route: request.route,
        path: RefCell::default(),
        previous_path: RefCell::default(),
        planned_path: RefCell::default(),
        excluded: RefCell::default(),
        faulty: RefCell::default(),
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
    let permit = match waiting::admit(&state, admission).await {
        Ok(permit) => permit,
        Err(rejection) => {
            outbound.abort();
            let (route, reason) = (&stream.route.name, Reason::Overloaded);
            let cause = rejection.cause;
            request::record_refusal(&state, &stream.id, route, reason, stream.arrived, cause);
            return response::local(reason, Some(rejection.retry_after));
        }
    };
    match open(&state, &stream, last, open::Progress::NotStarted).await {
        Ok(incomplete) => {
            let (mut parts, body) = incomplete.response.into_parts();
            let upstream = Upstream::Reading {
                body,
                lease: Some(incomplete.lease),
                headers: parts.headers.clone(),
            };
            head::strip(&mut parts.headers);
            outbound.begin();
            let event_body = EventBody {
                is_events: is_events(parts.status, &parts.headers),
                registration,
                permit,
                relay: Relay::after(last).limited_to(state.memory.capacity()),
                upstream,
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
