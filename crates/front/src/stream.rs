//! Streams of events along a path through backend servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::future::Either;
use futures::future::select;
use futures::task::AtomicWaker;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use jujube_core::name::Server as Name;
use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Choice;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::chooser::Need;
use jujube_core::pipeline::chooser::View;
use jujube_core::pipeline::document::Route;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::relay::Relay;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::sync::oneshot;

use crate::answer;
use crate::answer::Reason;
use crate::body::Body;
use crate::dialect::Dialect;
use crate::head;
use crate::probe;
use crate::request;
use crate::request::Admitted;
use crate::request::Guard;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;
use crate::upstream::Outgoing;
use crate::waiting;
use crate::waiting::Place;

/// The header by which a stream is continued after an event.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// How many paths may refuse a request before it is given up.
const MOST_REFUSALS: u32 = 3;
/// When to come back when there is no path: a planner needs about that long to close a gap.
const NO_PATH: Span = Span(1_000);
/// When to come back after engines refused.
const REFUSED: Span = Span(300);

/// One stream in flight, as its tasks share it.
pub struct Stream {
    /// The request's identifier.
    pub id: Arc<str>,
    /// The model's service.
    pub service: Service,
    /// The route.
    pub route: Arc<Route>,
    /// The path that it runs on.
    pub path: RefCell<Option<Path>>,
    /// When the last event came, or the request was sent.
    pub heard: Cell<Instant>,
    /// How many events came.
    pub events: Cell<u64>,
    /// The usual pause between events, in milliseconds.
    pub pace_ms: Cell<f64>,
    /// Whether somebody looks after it.
    pub is_checked: Cell<bool>,
    /// Whether a server on its path has come under suspicion.
    pub is_urgent: Cell<bool>,
    /// How often it was taken off slow servers.
    pub detours: Cell<u64>,
    /// Not looked after before this time.
    pub check_at: Cell<Instant>,
    /// When the answer must be there.
    pub deadline: Instant,
    need: Need,
    outgoing: Outgoing,
    arrived: Instant,
    /// How many times it was sent to engines that may have run it.
    runs: Cell<u64>,
    abandoned: Cell<bool>,
    expired: Cell<bool>,
    waker: AtomicWaker,
}

impl Stream {
    /// Makes the current run count as lost; the request goes on elsewhere if it may.
    pub fn abandon(&self) {
        self.abandoned.set(true);
        self.waker.wake();
    }

    /// Ends the stream because its time is over.
    pub fn expire(&self) {
        self.expired.set(true);
        self.waker.wake();
    }

    /// Returns what the request needs from now on.
    pub fn need(&self) -> Need {
        self.need
    }

    /// Waits until the current run counts as lost or the time is over.
    async fn lost(&self) {
        poll_fn(|context| {
            self.waker.register(context.waker());
            if self.abandoned.get() || self.expired.get() {
                return Poll::Ready(());
            }
            Poll::Pending
        })
        .await;
    }

    fn hear(&self, now: Instant) {
        const SMOOTHING: f64 = 0.2;
        let pause = now.since(self.heard.get()).0 as f64;
        if self.events.get() > 0 {
            let pace = self.pace_ms.get();
            self.pace_ms.set(pace + (pause - pace) * SMOOTHING);
        }
        self.heard.set(now);
        self.events.set(self.events.get() + 1);
    }
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
        heard: Cell::new(now),
        events: Cell::new(0),
        pace_ms: Cell::new(0.0),
        is_checked: Cell::new(false),
        is_urgent: Cell::new(false),
        detours: Cell::new(0),
        check_at: Cell::new(now),
        deadline: request.deadline,
        need,
        outgoing: request.outgoing,
        arrived: request.arrived,
        runs: Cell::new(0),
        abandoned: Cell::new(false),
        expired: Cell::new(false),
        waker: AtomicWaker::new(),
    });
    let registration = Registration::new(&state, &stream);
    let ask = waiting::Ask {
        id: &stream.id,
        service: &stream.service,
        customer: &request.customer,
        priority: request.priority,
        need,
        target: stream.route.target,
    };
    let place = match waiting::admit(&state, ask).await {
        Ok(place) => place,
        Err(come_back) => {
            let (route, reason) = (&stream.route.name, Reason::Overloaded);
            request::done(&state, &stream.id, route, reason, stream.arrived, "no-room");
            return answer::own(reason, Some(come_back));
        }
    };
    match open(&state, &stream, last).await {
        Ok(incomplete) => {
            let (mut parts, body) = incomplete.response.into_parts();
            let upstream = Upstream::Reading {
                body,
                lease: Some(incomplete.lease),
                headers: parts.headers.clone(),
            };
            head::strip(&mut parts.headers);
            let live = Live {
                is_events: parts.status.is_success(),
                registration,
                place,
                guard,
                relay: Relay::after(last),
                upstream,
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
            request::done(&state, &stream.id, route, reason, stream.arrived, &cause);
            answer::own(reason, retry_after)
        }
    }
}

/// Keeps a stream listed, and its memory booked, until it is dropped.
struct Registration<D> {
    state: Rc<State<D>>,
    stream: Rc<Stream>,
    number: u64,
}

impl<D> Registration<D> {
    fn new(state: &Rc<State<D>>, stream: &Rc<Stream>) -> Self {
        Self {
            state: state.clone(),
            stream: stream.clone(),
            number: state.streams.add(stream),
        }
    }
}

impl<D> Registration<D> {
    /// Books that every part of the path took the request.
    fn took(&self) {
        let path = self.stream.path.borrow();
        let mut load = self.state.load.borrow_mut();
        for part in path.iter().flat_map(Path::parts) {
            load.took(&part.server);
        }
    }
}

impl<D> Drop for Registration<D> {
    fn drop(&mut self) {
        self.state.streams.remove(self.number);
        take_path(&self.state, &self.stream, None);
    }
}

/// Books the memory of a new path and returns that of the old one.
pub fn take_path<D>(state: &State<D>, stream: &Stream, path: Option<Path>) {
    let mut load = state.load.borrow_mut();
    let tokens = stream.need.tokens();
    if let Some(path) = &path {
        load.open_path(path, tokens);
    }
    if let Some(old) = stream.path.replace(path) {
        load.close_path(&old, tokens);
    }
}

/// Chooses with what this entry knows; `avoid` are servers that refused this request.
pub fn choose_with<D, T>(
    state: &State<D>,
    service: &Service,
    avoid: &[Name],
    choose: impl FnOnce(&Fleet, &View<'_>) -> T,
) -> Option<T> {
    let fleet = state.fleets.borrow().get(service)?.clone();
    let suspicion = state.suspicion.borrow();
    let load = state.load.borrow();
    let view = View {
        now: clock::now(),
        load: &load,
        suspicion: &suspicion,
        avoid,
        home: &state.settings.zone,
    };
    Some(choose(&fleet, &view))
}

type GivenUp = (Reason, String);

/// Sends the request along a path until one takes it.
async fn open<D: Dialect>(
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
            path_text(stream)
        );
        match failure {
            Failure::NotSent(_) => {
                if let Some(first) = first(stream) {
                    state.accuse(&first, "not-sent");
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
                if let Some(first) = first(stream) {
                    avoid.push(first);
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
fn may_run_again<D>(state: &State<D>, stream: &Stream) -> bool {
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

fn first(stream: &Stream) -> Option<Name> {
    let path = stream.path.borrow();
    path.as_ref()?.first().map(|part| part.server.clone())
}

fn path_text(stream: &Stream) -> String {
    let path = stream.path.borrow();
    path.as_ref().map_or("-".into(), Path::to_string)
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

enum Upstream {
    Reading {
        body: Incoming,
        lease: Option<crate::pool::Lease>,
        headers: HeaderMap,
    },
    Resuming(oneshot::Receiver<Result<Incomplete, GivenUp>>),
    Done,
}

/// The body of a stream's answer.
pub struct Live<D> {
    /// Whether the body is events, rather than a backend server's own failure.
    is_events: bool,
    registration: Registration<D>,
    #[expect(dead_code, reason = "makes room for others when it is dropped")]
    place: Place<D>,
    #[expect(dead_code, reason = "counts the request in flight until it is dropped")]
    guard: Guard<D>,
    relay: Relay,
    upstream: Upstream,
    out: VecDeque<Bytes>,
}

type Next = Option<io::Result<Bytes>>;

impl<D: Dialect> Live<D> {
    /// Returns the next whole events.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Next> {
        let stream = self.registration.stream.clone();
        stream.waker.register(context.waker());
        loop {
            if let Some(bytes) = self.out.pop_front() {
                return Poll::Ready(Some(Ok(bytes)));
            }
            if stream.expired.get() {
                return Poll::Ready(self.cut("deadline"));
            }
            if stream.abandoned.replace(false) && matches!(self.upstream, Upstream::Reading { .. })
            {
                if let Some(end) = self.resume("abandoned") {
                    return Poll::Ready(end);
                }
            }
            let polled = match &mut self.upstream {
                Upstream::Done => return Poll::Ready(None),
                Upstream::Resuming(receiver) => {
                    let resumed = match Pin::new(receiver).poll(context) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(Ok(resumed)) => resumed,
                        Poll::Ready(Err(_)) => Err((Reason::Failed, "stopped".into())),
                    };
                    match resumed {
                        Ok(incomplete) => self.go_on(incomplete),
                        Err((_, cause)) => return Poll::Ready(self.cut(&cause)),
                    }
                    continue;
                }
                Upstream::Reading { body, .. } => Pin::new(body).poll_frame(context),
            };
            let end = match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => self.take(data),
                    Err(_trailers) => None,
                },
                Poll::Ready(Some(Err(error))) => self.resume(&error.to_string()),
                Poll::Ready(None) => self.end(),
            };
            if let Some(end) = end {
                return Poll::Ready(end);
            }
        }
    }

    fn take(&mut self, data: Bytes) -> Option<Next> {
        if !self.is_events {
            self.out.push_back(data);
            return None;
        }
        let mut whole = Vec::new();
        let outcome = self.relay.feed(data, &mut whole);
        if !whole.is_empty() {
            let now = clock::now();
            let stream = &self.registration.stream;
            if stream.events.get() == 0 {
                self.registration.took();
                let took = now.since(stream.arrived);
                self.registration.state.metrics.observe("first_event", took);
            }
            stream.hear(now);
        }
        self.out.extend(whole);
        match outcome {
            Ok(()) => None,
            Err(fault) => self.resume(&fault.to_string()),
        }
    }

    fn end(&mut self) -> Option<Next> {
        if let Err(fault) = self.relay.end() {
            return self.resume(&fault.to_string());
        }
        let stream = &self.registration.stream;
        let state = &self.registration.state;
        let took = clock::now().since(stream.arrived);
        state.metrics.count("streams_completed");
        state.metrics.observe("stream", took);
        log::info!(
            "event=streamed request={} events={} took_ms={took} runs={}",
            stream.id,
            self.relay.events(),
            stream.runs.get()
        );
        if let Upstream::Reading { lease, headers, .. } = &mut self.upstream {
            if let Some(lease) = lease.take() {
                lease.keep(headers);
            }
        }
        self.upstream = Upstream::Done;
        Some(None)
    }

    /// Goes on at another path after the last whole event, if the route allows it.
    fn resume(&mut self, cause: &str) -> Option<Next> {
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        let cause = cause.replace(' ', "-");
        if !self.is_events || !stream.route.resumable || !may_run_again(state, stream) {
            return Some(self.cut(&cause));
        }
        log::info!(
            "event=resuming request={} after={} path={} cause={cause}",
            stream.id,
            self.relay.last().unwrap_or(0),
            path_text(stream)
        );
        state.metrics.count("streams_resumed");
        if let Some(first) = first(stream) {
            let address = stream
                .path
                .borrow()
                .as_ref()
                .and_then(|p| p.first().cloned());
            if let Some(part) = address {
                let state = state.clone();
                tokio::task::spawn_local(async move {
                    probe::health(&state, &first, part.address).await;
                });
            }
        }
        let (sender, receiver) = oneshot::channel();
        let last = self.relay.last();
        let (state, stream) = (state.clone(), stream.clone());
        // Dropping the old body closes its connection, and the engine stops.
        self.upstream = Upstream::Resuming(receiver);
        tokio::task::spawn_local(async move {
            let opened = open(&state, &stream, last).await;
            // A caller that has left meanwhile drops the receiver, and with it the new run.
            let _caller_gone = sender.send(opened);
        });
        None
    }

    fn go_on(&mut self, incomplete: Incomplete) {
        let (parts, body) = incomplete.response.into_parts();
        self.relay.restart();
        self.upstream = Upstream::Reading {
            body,
            lease: Some(incomplete.lease),
            headers: parts.headers,
        };
    }

    /// Breaks the answer off; the caller sees a connection that ends early.
    fn cut(&mut self, cause: &str) -> Next {
        let stream = &self.registration.stream;
        let state = &self.registration.state;
        state.metrics.count("streams_cut");
        log::warn!(
            "event=cut request={} events={} took_ms={} path={} cause={cause}",
            stream.id,
            self.relay.events(),
            clock::now().since(stream.arrived),
            path_text(stream)
        );
        self.upstream = Upstream::Done;
        Some(Err(io::Error::other("the stream cannot be continued")))
    }
}
