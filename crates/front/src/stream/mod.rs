//! Streams of events along a path through backend servers.

mod booking;
mod live;
mod open;
mod record;

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
use jujube_core::pipeline::chooser::Need;
use jujube_core::pipeline::relay::Relay;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::answer;
use crate::answer::Reason;
use crate::body::Body;
use crate::dialect::Dialect;
use crate::head;
use crate::request;
use crate::request::Admitted;
use crate::request::Guard;
use crate::state::State;
use crate::waiting;

use booking::Registration;
use live::Upstream;
use open::open;

pub use booking::Cause;
pub use booking::choose_with;
pub use booking::go_on;
pub use booking::may_reopen;
pub use booking::take_path;
pub use live::Live;
pub use open::settle;
pub use record::Stream;
pub use record::Urge;

/// The header by which a stream is continued after an event.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// When to come back when there is no path: a planner needs about that long to close a gap.
const NO_PATH: Span = Span(1_000);
/// When to come back after engines refused.
const REFUSED: Span = Span(300);

/// Tells whether an answer is a stream of events, rather than a failure or another kind of body.
fn is_events(status: StatusCode, headers: &HeaderMap) -> bool {
    let kind = head::text(headers, &CONTENT_TYPE);
    status.is_success() && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Serves one request.
pub async fn serve<D: Dialect>(
    state: Rc<State<D>>,
    request: Admitted,
    guard: Guard<D>,
) -> Response<Body<D>> {
    let need = D::need(&request.outgoing.headers).unwrap_or(Need {
        prompt: 0.0,
        answer: 0.0,
    });
    let last = head::number(&request.outgoing.headers, &LAST_EVENT);
    let now = clock::now();
    let stream = Rc::new(Stream {
        id: request.id,
        service: request.service,
        route: request.route,
        path: RefCell::default(),
        left: RefCell::default(),
        planned: RefCell::default(),
        distrusted: RefCell::default(),
        heard: Cell::new(now),
        events: Cell::new(0),
        pace_ms: Cell::new(0.0),
        last_event: Cell::new(now),
        first: Cell::default(),
        longest: Cell::default(),
        is_checked: Cell::new(false),
        is_urgent: Cell::new(false),
        repairs: Cell::new(0),
        detours: Cell::new(0),
        leave_at: Cell::new(now),
        check_at: Cell::new(now),
        deadline: request.deadline,
        need,
        outgoing: request.outgoing,
        arrived: request.arrived,
        attempts: RefCell::default(),
        was_sent: Cell::new(false),
        retry: RefCell::default(),
        lost_with: RefCell::default(),
        abandoned: Cell::default(),
        expired: Cell::new(false),
        waker: AtomicWaker::new(),
        opener: AtomicWaker::new(),
    });
    let registration = Registration::new(&state, &stream);
    let admission = waiting::Request {
        id: &stream.id,
        service: &stream.service,
        customer: &request.customer,
        priority: request.priority,
        need,
        target: stream.route.target,
    };
    let permit = match waiting::admit(&state, admission).await {
        Ok(permit) => permit,
        Err(retry_after) => {
            let (route, reason) = (&stream.route.name, Reason::Overloaded);
            request::record_refusal(&state, &stream.id, route, reason, stream.arrived, "no-room");
            return answer::local(reason, Some(retry_after));
        }
    };
    match open(&state, &stream, last, open::Answer::Ahead).await {
        Ok(incomplete) => {
            let (mut parts, body) = incomplete.response.into_parts();
            let upstream = Upstream::Reading {
                body,
                lease: Some(incomplete.lease),
                headers: parts.headers.clone(),
            };
            head::strip(&mut parts.headers);
            let live = Live {
                is_events: is_events(parts.status, &parts.headers),
                registration,
                permit,
                guard,
                relay: Relay::after(last),
                upstream,
                opening: None,
                out: VecDeque::new(),
            };
            Response::from_parts(parts, Body::Live(Box::new(live)))
        }
        Err((reason, cause)) => {
            let retry_after = match reason {
                Reason::NoServer => Some(NO_PATH),
                Reason::Refused => Some(REFUSED),
                _ => None,
            };
            let route = &stream.route.name;
            request::record_refusal(&state, &stream.id, route, reason, stream.arrived, &cause);
            answer::local(reason, retry_after)
        }
    }
}
