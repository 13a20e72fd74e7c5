//! A single request-response exchange with a backend server.

mod announcements;

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use jujube_core::pipeline::carried::Exchange;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::status;
use jujube_core::status::Rejection;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_program::http;

use crate::blocks::Blocks;
use crate::dialect::Dialect;
use crate::gate;
use crate::head;
use crate::memory::Reservation;
use crate::metrics::Metrics;
use crate::notices;
use crate::pool::Lease;
use crate::state::State;

use announcements::Announcements;

/// A request to a backend server; retries send the same one.
#[derive(Clone)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The path and query from the client.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Blocks,
    /// The memory of the request and its connection, the body included.
    pub reservation: Rc<Reservation>,
}

impl Outgoing {
    /// Releases the memory of the body, which no server needs any more.
    pub fn release_body(&self) {
        let size = Size(self.body.size());
        self.reservation.release(Cause::RequestBody, size);
    }
}

/// A response whose body has not been read yet.
pub struct Incomplete {
    /// The head and the unread body.
    pub response: Response<Incoming>,
    /// The connection; returned to the pool once the body was read to its end.
    pub lease: Lease,
    /// How the response tells where its body ends.
    pub framing: Framing,
}

/// Why there is no response to forward.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent; the backend server is unreachable.
    NotSent(String),
    /// Nothing was sent: the backend server wants no requests any more, or none may get this one.
    Unwanted,
    /// The backend server reports that it did not run the request.
    NotRun {
        /// The response status.
        status: StatusCode,
        /// The address of the part of the path that caused the rejection, if reported.
        at_fault: Option<SocketAddr>,
        /// The rest that is asked for.
        rest: Option<Span>,
    },
    /// The backend server ran the request, or may have, and returned an error.
    Failed(StatusCode),
    /// The backend server may have run the request.
    Unknown(String),
    /// The backend server ran the request and cut off the response, for which this entry had no
    /// room.
    Unread,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not-sent({cause})"),
            Self::Unwanted => f.write_str("unwanted"),
            Self::NotRun {
                status, at_fault, ..
            } => {
                let status = status.as_u16();
                match at_fault {
                    Some(address) => write!(f, "not-run({status}, at {address})"),
                    None => write!(f, "not-run({status})"),
                }
            }
            Self::Failed(status) => write!(f, "failed({})", status.as_u16()),
            Self::Unread => f.write_str("unread"),
            Self::Unknown(cause) => write!(f, "unknown({cause})"),
        }
    }
}

/// Records that a server cut off a response after some events, because it was unread.
pub fn record_cut_unread(metrics: &Metrics, request: &str, server: &Incarnation, after: u64) {
    metrics.count("responses_cut_unread");
    event!(Info, "cut-unread", request, server, after);
}

/// How long to read the body of a rejection before closing its connection instead.
const REJECTION_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// How much of the body of a rejection to read before closing its connection instead.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// Sends a request to a backend server and waits for the response head.
///
/// # Errors
///
/// There is no usable response, or the server reports that it did not run the request.
pub async fn send<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    address: SocketAddr,
    outgoing: &Outgoing,
    features: &Features,
) -> Result<Incomplete, Failure> {
    let pool = &state.pool;
    let id = head::text(&outgoing.headers, &D::NAMES.request);
    let exchange = || id.map_or(Exchange::Unnamed, |id| Exchange::Request(id.into()));
    let expected = head::value(&server.server.0);
    let expected = expected.map_err(|error| Failure::NotSent(error.to_string()))?;
    let mut lease = leased(pool.lease(server, address, exchange()).await)?;
    loop {
        if gate::is_unwanted(state, server, features) {
            lease.release(&HeaderMap::new());
            return Err(Failure::Unwanted);
        }
        let mut request = build_request::<D>(&expected, outgoing);
        let announced = Announcements::watch(&mut request);
        let is_reused = lease.is_reused;
        let sent_at = clock::now();
        let sent = {
            let response = pin!(lease.sender().try_send_request(request));
            match select(response, pin!(announced.too_many())).await {
                Either::Left((sent, _)) => sent,
                Either::Right(_) => {
                    let cause = "too many announcements of a response";
                    return Err(Failure::Unknown(cause.into()));
                }
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                // hyper returns the message only if no byte of it was written.
                let is_unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                if !is_unsent {
                    return Err(Failure::Unknown(cause));
                }
                if !is_reused {
                    return Err(Failure::NotSent(cause));
                }
                lease = leased(pool.connect(server, address, exchange()).await)?;
                continue;
            }
        };
        let status = response.status().as_u16();
        if !status::is_final(status) {
            return Err(Failure::Unknown(format!("status {status} is not final")));
        }
        if !is_own::<D>(&response, &outgoing.headers) {
            let cause = "response belongs to another request";
            return Err(Failure::Unknown(cause.into()));
        }
        let id = id.unwrap_or("-");
        let rest = notices::observe(state, server, id, sent_at, &response);
        let framing = http::framing(&outgoing.method, response.status(), response.headers());
        let rejection = rejection::<D>(&response, server, &outgoing.headers);
        let (response, lease) = check_response::<D>(lease, response, id, rejection, rest).await?;
        return Ok(Incomplete {
            response,
            lease,
            framing,
        });
    }
}

/// Returns a connection for a request, or why the request was not sent.
fn leased(lease: io::Result<Lease>) -> Result<Lease, Failure> {
    lease.map_err(|error| Failure::NotSent(error.to_string()))
}

fn build_request<D: Dialect>(expected: &HeaderValue, outgoing: &Outgoing) -> Request<Blocks> {
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let headers = request.headers_mut();
    headers.insert(D::NAMES.expected_server, expected.clone());
    request
}

/// Returns whether a response belongs to the request with the headers `sent`.
///
/// Compares request identifiers, so that a late duplicate response on a reused connection is not
/// forwarded to another client.
fn is_own<D: Dialect>(response: &Response<Incoming>, sent: &HeaderMap) -> bool {
    response.headers().get(&D::NAMES.request) == sent.get(&D::NAMES.request)
}

/// Reads what a response states about the request with the headers `sent` to a server.
fn rejection<D: Dialect>(
    response: &Response<Incoming>,
    server: &Incarnation,
    sent: &HeaderMap,
) -> Rejection {
    let (names, headers) = (D::NAMES, response.headers());
    let is_along_path = sent.contains_key(&names.path);
    Rejection {
        status: response.status().as_u16(),
        is_stated: headers.contains_key(&names.not_run),
        is_other_server: head::names_other(headers, &names.server, &server.server),
        names_part: is_along_path && at_fault::<D>(headers).is_some(),
    }
}

/// Returns the address of the part of a path that a response names as the cause of a rejection.
fn at_fault<D: Dialect>(headers: &HeaderMap) -> Option<SocketAddr> {
    let text = head::text(headers, &D::NAMES.server_at_fault)?;
    text.trim().parse().ok()
}

/// Checks that the response to request `id` is usable; `rest` is what it asks for.
async fn check_response<D: Dialect>(
    mut lease: Lease,
    response: Response<Incoming>,
    id: &str,
    rejection: Rejection,
    rest: Option<Span>,
) -> Result<(Response<Incoming>, Lease), Failure> {
    let names = D::NAMES;
    let headers = response.headers();
    let status = response.status();
    if rejection.has_not_run() {
        let at_fault = at_fault::<D>(headers);
        let (connection, is_reused) = (lease.number(), lease.is_reused);
        event!(
            Info,
            "turned-away",
            request = id,
            connection,
            reused = is_reused
        );
        lease.turned_away();
        discard_body(lease, response).await;
        return Err(Failure::NotRun {
            status,
            at_fault,
            rest,
        });
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        // Nobody else answered, so the server may have run it.
        discard_body(lease, response).await;
        return Err(Failure::Failed(status));
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return Err(Failure::Unknown(
            "successful response has no signature".into(),
        ));
    }
    Ok((response, lease))
}

/// Reads the body of a rejection, so that its connection can be reused.
async fn discard_body(lease: Lease, response: Response<Incoming>) {
    let (parts, body) = response.into_parts();
    // Kept by nobody: each request in flight may be rejected at the same time.
    let whole = http::discard(Limited::new(body, MAX_REJECTION_BYTES));
    let read = tokio::time::timeout(REJECTION_READ_TIMEOUT, whole).await;
    if matches!(read, Ok(true)) {
        lease.release(&parts.headers);
    }
}
