//! Handling of one request, from its arrival to its response.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use jujube_core::name::Customer;
use jujube_core::name::Service;
use jujube_core::pipeline::crowd::Visitor;
use jujube_core::pipeline::departure::Work;
use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::document::Account;
use jujube_core::pipeline::document::Route;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::blocks::Blocks;
use crate::body::Body;
use crate::crowd::Place;
use crate::delivery::Delivery;
use crate::delivery::Inbound;
use crate::delivery::Intake;
use crate::delivery::Occupied;
use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::head;
use crate::quarantine;
use crate::reason::Reason;
use crate::response;
use crate::state::Lifecycle;
use crate::state::State;
use crate::stream;
use crate::unary;
use crate::upload;
use crate::upstream::Outgoing;

/// `Retry-After` while the entry starts, which takes some milliseconds while the store is up.
const RETRY_AFTER_STARTING: Span = Span(300);
/// A start that takes longer than this is assumed to be waiting for an unavailable store.
const SLOW_START: Span = Span(500);
/// Range of `Retry-After` during a store outage. Most clients retry only once, and outages last
/// seconds.
const RETRY_AFTER_OUTAGE_MS: std::ops::Range<u64> = 2_000..5_000;
/// `Retry-After` while the entry shuts down; other entries can serve the request.
pub const RETRY_AFTER_STOPPING: Span = Span(50);
/// The time over which requests that waited for longer than this go on. An entry that starts knows
/// no limits of servers: sent at once, all that it held would go to a server beyond the limit that
/// its first response names.
const RELEASE_SPREAD: Span = Span(400);
/// `Retry-After` if there is no room for the request. Room is made as callers take their responses.
const RETRY_AFTER_OUT_OF_MEMORY: Span = Span(1_000);

/// How long a request is expected to take, in latency targets of its route.
const EXPECTED_IN_TARGETS: u64 = 2;

/// A request that passed routing and authentication.
pub struct Admitted {
    /// The request identifier from the client.
    pub id: Arc<str>,
    /// What the request shares with its repetitions, and with others.
    pub features: Features,
    /// The route.
    pub route: Arc<Route>,
    /// The service.
    pub service: Service,
    /// Whether the service runs a model along paths. Of the same version as the route: a request that
    /// was admitted must not be sent to engines without a path if its model goes meanwhile.
    pub is_model: bool,
    /// The customer; empty on public routes and if no accounts are configured.
    pub customer: Customer,
    /// The priority; 0 is the highest.
    pub priority: u64,
    /// The request to the backend server.
    pub outgoing: Outgoing,
    /// The arrival time.
    pub arrived: Instant,
    /// When the response is due.
    pub deadline: Instant,
}

impl Admitted {
    /// Returns how long the request may take.
    pub fn work(&self) -> Work {
        work(&self.route, self.deadline)
    }
}

/// Returns how long a request that is due at some time may take.
fn work(route: &Route, due: Instant) -> Work {
    Work {
        due,
        expected: Span(route.latency_target.0 * EXPECTED_IN_TARGETS),
        may_repeat: route.may_repeat(),
    }
}

/// Counts a request in flight, and takes its place, until it is dropped.
pub struct Guard {
    in_flight: Rc<Cell<u64>>,
    occupied: Occupied,
    place: Option<Place>,
}

impl Guard {
    /// Increments the count.
    pub fn new(in_flight: &Rc<Cell<u64>>, intake: &Rc<Intake>) -> Self {
        in_flight.set(in_flight.get() + 1);
        Self {
            in_flight: in_flight.clone(),
            occupied: intake.occupy(),
            place: None,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

/// Serves one request.
pub async fn serve<D: Dialect>(
    state: Rc<State<D>>,
    request: Request<Incoming>,
    delivery: Rc<Delivery>,
    mut guard: Guard,
) -> Response<Body<D>> {
    let arrived = clock::now();
    state.metrics.count("requests");
    let id = head::text(request.headers(), &D::NAMES.request).unwrap_or("-");
    let id: Arc<str> = id.into();
    if !state.is_initialized() {
        wait_for_start(&state, &request, &id, arrived).await;
    }
    let admitted = match admit(&state, request, id.clone(), arrived, &mut guard).await {
        Ok(admitted) => admitted,
        Err(reason) => return refuse(&state, &id, reason, arrived),
    };
    state.retries.record_request(&admitted.service);
    if let Some(age) = state.feed.view().age {
        state.metrics.observe("request_known_age", age);
    }
    if let Some(digest) = state.quarantine_cause(&admitted.features) {
        let cause = quarantine::cause(digest);
        let route = &admitted.route.name;
        record_refusal(&state, &id, route, Reason::Quarantined, arrived, &cause);
        return response::local(Reason::Quarantined, None);
    }
    let outbound = Outbound::new(delivery, guard, id, arrived);
    if admitted.is_model {
        return stream::serve(state, admitted, outbound).await;
    }
    unary::serve(&state, admitted, outbound).await
}

/// Waits until the configuration and the registrations are known, or the entry is about to end.
async fn wait_for_start<D: Dialect>(
    state: &State<D>,
    request: &Request<Incoming>,
    id: &str,
    arrived: Instant,
) {
    let time = head::number(request.headers(), &D::NAMES.deadline).map(Span);
    let can_go_on = || state.is_initialized() || state.lifecycle.get() == Lifecycle::Closing;
    let is_over = state.held.wait(time, can_go_on).await;
    if clock::now().since(arrived) > RELEASE_SPREAD {
        let pause = rand::random_range(0..RELEASE_SPREAD.0);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    state.metrics.count("requests_held");
    let waited = clock::now().since(arrived);
    event!(Info, "held", request = id, for = "start", waited_ms = waited, is_over);
}

fn refuse<D: Dialect>(
    state: &State<D>,
    id: &str,
    reason: Reason,
    arrived: Instant,
) -> Response<Body<D>> {
    let retry_after = match reason {
        Reason::Starting if clock::now().since(state.started) < SLOW_START => {
            Some(RETRY_AFTER_STARTING)
        }
        Reason::Starting => Some(Span(rand::random_range(RETRY_AFTER_OUTAGE_MS))),
        Reason::Stopping => Some(RETRY_AFTER_STOPPING),
        Reason::OutOfMemory => Some(RETRY_AFTER_OUT_OF_MEMORY),
        _ => None,
    };
    record_refusal(state, id, "-", reason, arrived, "-");
    response::local(reason, retry_after)
}

/// Records a request that the entry responded to itself.
pub fn record_refusal<D>(
    state: &State<D>,
    id: &str,
    route: &str,
    reason: Reason,
    arrived: Instant,
    cause: &str,
) {
    state.metrics.count("requests_refused");
    state.metrics.count(reason);
    if reason == Reason::OutOfMemory {
        state.metrics.count("requests_out_of_memory");
    }
    let elapsed = clock::now().since(arrived);
    let version = state.table().map_or(0, |table| table.document.version.0);
    let status = reason.status().as_u16();
    event!(
        Warn,
        "refused",
        request = id,
        route,
        reason = reason.name(),
        status,
        took_ms = elapsed,
        version,
        _ = state.feed.view(),
        cause
    );
}

async fn admit<D: Dialect>(
    state: &State<D>,
    request: Request<Incoming>,
    id: Arc<str>,
    arrived: Instant,
    guard: &mut Guard,
) -> Result<Admitted, Reason> {
    if state.lifecycle.get() == Lifecycle::Closing {
        return Err(Reason::Stopping);
    }
    if !state.registrations_read.get() {
        return Err(Reason::Starting);
    }
    let table = state.table().ok_or(Reason::Starting)?;
    let host = head::text(request.headers(), &HOST).ok_or(Reason::Malformed)?;
    let route = table.route(host, request.uri().path()).cloned();
    let route = route.ok_or(Reason::NoRoute)?;
    let account = authenticate::<D>(&table, &request, &route)?;
    let named = account
        .as_ref()
        .map(|account| head::value(&account.customer.0));
    let named = named.transpose().map_err(|_| Reason::UnsendableCustomer)?;
    let service = route
        .pick_target(rand::random())
        .ok_or(Reason::NoServer)?
        .clone();
    let is_model = table.model(&service).is_some();
    let (parts, body) = request.into_parts();
    let body = Inbound::new(body, guard.occupied.intake());
    guard.place = state.crowd.admit(Visitor::Request(head::size(&parts)));
    if guard.place.is_none() {
        upload::drop_rest(body);
        return Err(Reason::OutOfMemory);
    }
    let timeout = head::number(&parts.headers, &D::NAMES.deadline).map(Span);
    let timeout = timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let limits = upload::Limits {
        size: Size(table.document.limits.body_bytes),
        deadline: arrived.plus(timeout),
    };
    let overtaken = state.exit.forbids(work(&route, limits.deadline));
    // A body may take long, and a whole configuration is a lot to keep for it.
    drop(table);
    let upload = upload::read(body, limits, &state.memory, overtaken).await?;
    let customer = account.as_ref().map(|account| account.customer.clone());
    let customer = customer.unwrap_or_else(|| "".into());
    let digest = digest(&parts, &customer, &upload.body);
    let features = Features::new(digest, D::shared_parts(&parts.headers));
    let mut headers = parts.headers;
    head::strip(&mut headers);
    head::remove_reserved::<D>(&mut headers);
    if let Some(named) = named {
        headers.insert(D::NAMES.customer, named);
    }
    let priority = account.as_ref().and_then(|account| account.priority);
    Ok(Admitted {
        id,
        features,
        customer,
        priority: priority.unwrap_or(route.priority),
        route,
        is_model,
        service,
        outgoing: Outgoing {
            method: parts.method,
            uri: head::target(parts.uri),
            headers,
            body: upload.body,
            reservation: Rc::new(upload.reservation),
        },
        arrived,
        deadline: limits.deadline,
    })
}

fn authenticate<D: Dialect>(
    table: &Table,
    request: &Request<Incoming>,
    route: &Route,
) -> Result<Option<Account>, Reason> {
    if !table.needs_key() || route.public {
        return Ok(None);
    }
    let key = head::text(request.headers(), &D::NAMES.key).ok_or(Reason::NoKey)?;
    let account = table.account(key).ok_or(Reason::NoKey)?;
    Ok(Some(account.clone()))
}

fn digest(parts: &Parts, customer: &Customer, body: &Blocks) -> Digest {
    let host = parts
        .headers
        .get(HOST)
        .map_or(&[][..], HeaderValue::as_bytes);
    let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let method = parts.method.as_str().as_bytes();
    let head = [method, host, path.as_bytes(), customer.0.as_bytes()];
    Digest::of_request(head, body.iter())
}
