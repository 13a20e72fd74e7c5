//! One exchange with a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use jujube_core::pipeline::server::Incarnation;

use crate::dialect::Dialect;
use crate::head;
use crate::pool::Lease;
use crate::pool::Pool;

/// A request as it is sent, and sent again.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An answer's head, with its body still to come on a leased connection.
pub struct Incomplete {
    /// The head and the body.
    pub response: Response<Incoming>,
    /// The connection; to be kept when the body was read whole.
    pub lease: Lease,
}

/// Why there is no answer to pass on.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent: the backend server cannot be reached.
    NotSent(String),
    /// The backend server says that it has not run the request.
    NotRun {
        /// Its status.
        status: StatusCode,
        /// The part of the path that it names.
        at_fault: Option<SocketAddr>,
    },
    /// The backend server ran the request and answered that it failed.
    Failed(StatusCode),
    /// The backend server may have run the request.
    Unknown(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not-sent({why})"),
            Self::NotRun { status, at_fault } => {
                let status = status.as_u16();
                match at_fault {
                    Some(address) => write!(f, "not-run({status}, at {address})"),
                    None => write!(f, "not-run({status})"),
                }
            }
            Self::Failed(status) => write!(f, "failed({})", status.as_u16()),
            Self::Unknown(why) => write!(f, "unknown({why})"),
        }
    }
}

/// How long reading the rest of a refusal may take before its connection is dropped instead.
const REFUSAL: Duration = Duration::from_millis(50);

/// Sends a request to one backend server and waits for the head of its answer.
///
/// # Errors
///
/// There is none, or it says that the request has not run.
pub async fn send<D: Dialect>(
    pool: &Pool,
    server: &Incarnation,
    address: SocketAddr,
    outgoing: &Outgoing,
) -> Result<Incomplete, Failure> {
    let mut lease = lease(pool, server, address).await?;
    loop {
        let request = request::<D>(server, outgoing);
        let reused = lease.reused;
        let sent = lease.sender.try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                // The message comes back only when not a byte of it was written.
                let unsent = error.take_message().is_some();
                let why = error.into_error().to_string();
                if !unsent {
                    return Err(Failure::Unknown(why));
                }
                if !reused {
                    return Err(Failure::NotSent(why));
                }
                lease = fresh(pool, server, address).await?;
                continue;
            }
        };
        return accept::<D>(lease, response, &outgoing.headers).await;
    }
}

async fn lease(pool: &Pool, server: &Incarnation, address: SocketAddr) -> Result<Lease, Failure> {
    let lease = pool.lease(server, address).await;
    lease.map_err(|error| Failure::NotSent(error.to_string()))
}

async fn fresh(pool: &Pool, server: &Incarnation, address: SocketAddr) -> Result<Lease, Failure> {
    let lease = pool.fresh(server, address).await;
    lease.map_err(|error| Failure::NotSent(error.to_string()))
}

fn request<D: Dialect>(server: &Incarnation, outgoing: &Outgoing) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    head::set(
        request.headers_mut(),
        D::NAMES.expected_server,
        &server.server.0,
    );
    request
}

/// Checks that an answer belongs to the request.
///
/// A faulty server sends a second answer late, at the point where the next one is expected. Taken
/// for that, it would reach another caller; the identifier tells them apart.
async fn accept<D: Dialect>(
    lease: Lease,
    response: Response<Incoming>,
    sent: &HeaderMap,
) -> Result<Incomplete, Failure> {
    let names = D::NAMES;
    let headers = response.headers();
    let status = response.status();
    let own = headers.get(&names.request) == sent.get(&names.request);
    if !own {
        return Err(Failure::Unknown(
            "the answer belongs to another request".into(),
        ));
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        let at_fault = head::text(headers, &names.server_at_fault);
        let at_fault = at_fault.and_then(|text| text.trim().parse().ok());
        drain(lease, response).await;
        return Err(Failure::NotRun { status, at_fault });
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return Err(Failure::Unknown("a success without a signature".into()));
    }
    Ok(Incomplete { response, lease })
}

/// Reads a refusal to its end, so that its connection can be kept.
async fn drain(lease: Lease, response: Response<Incoming>) {
    use http_body_util::BodyExt;

    let (parts, body) = response.into_parts();
    let read = tokio::time::timeout(REFUSAL, body.collect()).await;
    if matches!(read, Ok(Ok(_))) {
        lease.keep(&parts.headers);
    }
}
