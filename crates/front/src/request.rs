//! One request from its arrival to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use jujube_core::name::Customer;
use jujube_core::name::Service;
use jujube_core::pipeline::document::Account;
use jujube_core::pipeline::document::Route;
use jujube_core::pipeline::document::Table;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::answer;
use crate::answer::Reason;
use crate::body::Body;
use crate::dialect::Dialect;
use crate::head;
use crate::state::Lifecycle;
use crate::state::State;
use crate::stream;
use crate::upstream::Outgoing;
use crate::whole;

/// When to come back to an entry that is starting: it reads the store within some milliseconds.
const STARTING: Span = Span(300);
/// After how long a start takes longer because the store is away.
const SLOW_START: Span = Span(500);
/// When to come back then, in milliseconds: outages last some seconds, most callers come back just
/// once, and they wait no longer than a third of the time that they have.
const AWAY_MS: std::ops::Range<u64> = 2_000..5_000;
/// When to come back after an entry turned a request away because it stops: another one answers.
const STOPPING: Span = Span(50);
/// How long a pause inside a body may last; callers send theirs in one go.
const BODY_PAUSE: Duration = Duration::from_secs(3);

/// A request that may be served.
pub struct Admitted {
    /// Its identifier, as the caller sent it.
    pub id: Arc<str>,
    /// The route.
    pub route: Arc<Route>,
    /// The service.
    pub service: Service,
    /// Whose it is; nobody's where no keys are asked for.
    pub customer: Customer,
    /// Its rank; 0 goes first.
    pub priority: u64,
    /// What is sent to a backend server.
    pub outgoing: Outgoing,
    /// When it arrived.
    pub arrived: Instant,
    /// When the answer must be there.
    pub deadline: Instant,
}

/// Counts a request in flight until it is dropped.
pub struct Guard<D>(Rc<State<D>>);

impl<D> Guard<D> {
    /// Counts one more.
    pub fn new(state: &Rc<State<D>>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state.clone())
    }
}

impl<D> Drop for Guard<D> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Serves one request.
pub async fn serve<D: Dialect>(
    state: Rc<State<D>>,
    request: Request<Incoming>,
) -> Response<Body<D>> {
    let arrived = clock::now();
    let guard = Guard::new(&state);
    state.metrics.count("requests");
    let id = head::text(request.headers(), &D::NAMES.request).unwrap_or("-");
    let id: Arc<str> = id.into();
    let admitted = match admit(&state, request, id.clone(), arrived).await {
        Ok(admitted) => admitted,
        Err(reason) => return refuse(&state, &id, reason, arrived),
    };
    state.retries.record_request(&admitted.service);
    let is_model = state
        .table()
        .is_some_and(|table| table.model(&admitted.service).is_some());
    if is_model {
        return stream::serve(state, admitted, guard).await;
    }
    whole::serve(&state, admitted).await
}

fn refuse<D>(state: &State<D>, id: &str, reason: Reason, arrived: Instant) -> Response<Body<D>> {
    let retry_after = match reason {
        Reason::Starting if clock::now().since(state.started) < SLOW_START => Some(STARTING),
        Reason::Starting => Some(Span(rand::random_range(AWAY_MS))),
        Reason::Stopping => Some(STOPPING),
        _ => None,
    };
    done(state, id, "-", reason, arrived, "-");
    answer::own(reason, retry_after)
}

/// Books and logs a request that the entry answered itself.
pub fn done<D>(
    state: &State<D>,
    id: &str,
    route: &str,
    reason: Reason,
    arrived: Instant,
    cause: &str,
) {
    state.metrics.count("requests_refused");
    state.metrics.count(reason.name());
    let took = clock::now().since(arrived);
    let version = state.table().map_or(0, |table| table.document.version.0);
    let status = reason.status().as_u16();
    log::warn!(
        "event=refused request={id} route={route} reason={} status={status} took_ms={took} \
         version={version} cause={cause}",
        reason.name()
    );
}

async fn admit<D: Dialect>(
    state: &State<D>,
    request: Request<Incoming>,
    id: Arc<str>,
    arrived: Instant,
) -> Result<Admitted, Reason> {
    let table = state.table().ok_or(Reason::Starting)?;
    if !state.registrations_read.get() {
        return Err(Reason::Starting);
    }
    if state.lifecycle.get() == Lifecycle::Closing {
        return Err(Reason::Stopping);
    }
    let host = head::text(request.headers(), &HOST).ok_or(Reason::Malformed)?;
    let route = table.route(host, request.uri().path()).cloned();
    let route = route.ok_or(Reason::NoRoute)?;
    let account = account::<D>(&table, &request, &route)?;
    let (parts, body) = request.into_parts();
    let body = read(body, table.document.limits.body_bytes).await?;
    let patience = head::number(&parts.headers, &D::NAMES.deadline).map(Span);
    let patience = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
    let service = route
        .pick_target(rand::random())
        .ok_or(Reason::NoServer)?
        .clone();
    let mut headers = parts.headers;
    head::strip(&mut headers);
    head::remove_reserved::<D>(&mut headers);
    if let Some(account) = &account {
        head::set(&mut headers, D::NAMES.customer, &account.customer.0);
    }
    let customer = account.as_ref().map(|account| account.customer.clone());
    let priority = account.as_ref().and_then(|account| account.priority);
    Ok(Admitted {
        id,
        customer: customer.unwrap_or_else(|| "".into()),
        priority: priority.unwrap_or(route.priority),
        route,
        service,
        outgoing: Outgoing {
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
        },
        arrived,
        deadline: arrived.plus(patience),
    })
}

fn account<D: Dialect>(
    table: &Table,
    request: &Request<Incoming>,
    route: &Route,
) -> Result<Option<Account>, Reason> {
    if !table.has_accounts() || route.public {
        return Ok(None);
    }
    let key = head::text(request.headers(), &D::NAMES.key).ok_or(Reason::NoKey)?;
    let account = table.account(key).ok_or(Reason::NoKey)?;
    Ok(Some(account.clone()))
}

async fn read(mut body: Incoming, most: u64) -> Result<Bytes, Reason> {
    let mut first: Option<Bytes> = None;
    let mut joined = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(BODY_PAUSE, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Reason::SlowBody)? else {
            break;
        };
        let frame = frame.map_err(|_| Reason::BrokenBody)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let so_far = first.as_ref().map_or(0, Bytes::len).max(joined.len());
        if (so_far + data.len()) as u64 > most {
            return Err(Reason::TooLarge);
        }
        match first.take() {
            // Most bodies come in one piece, which needs no copy.
            None if joined.is_empty() => first = Some(data),
            None => joined.extend_from_slice(&data),
            Some(earlier) => {
                joined.extend_from_slice(&earlier);
                joined.extend_from_slice(&data);
            }
        }
    }
    Ok(first.unwrap_or_else(|| joined.freeze()))
}
