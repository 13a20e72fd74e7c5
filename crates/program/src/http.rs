//! Plumbing around the HTTP library: one server loop, one client, JSON in and out.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;
use hyper::service::service_fn;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::framing::Head;
use jujube_core::status;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::allowance::Share;
use crate::shutdown::Signal;

/// A body that is whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a whole body.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Reads a body and keeps nothing of it; returns whether it came to its end.
///
/// # Examples
///
/// ```
/// # use jujube_program::http;
/// let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// assert!(runtime.block_on(http::discard(http::whole("rest"))));
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn discard(mut body: impl hyper::body::Body + Unpin) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

/// Returns a body that keeps a guard until it has been sent or its receiver is gone.
pub fn held<B, G>(body: B, guard: G) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    G: Send + 'static,
{
    let body = body.map_err(move |error| {
        let _kept_by_this_closure = &guard;
        io::Error::other(error)
    });
    body.boxed_unsync()
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a response with a text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    response
}

/// Serves HTTP/1.1 until told to stop; what is in flight then ends first.
///
/// # Errors
///
/// The listener fails for good.
pub async fn serve<H, F>(listener: TcpListener, mut stop: Signal, handler: H) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => break,
        };
        let Ok((stream, _)) = accepted else {
            // Too many open files: without the pause this loop would take a core.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _caller_gone = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
    Ok(())
}

/// Returns the headers that `Connection` names: they concern one connection only.
///
/// # Examples
///
/// ```
/// # use hyper::header::HeaderMap;
/// # use hyper::header::HeaderValue;
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("x-one, close"));
/// assert_eq!(jujube_program::http::named_by_connection(&headers), ["x-one", "close"]);
/// ```
#[must_use]
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Returns how a response to a request with this method tells where its body ends.
///
/// # Examples
///
/// ```
/// # use hyper::Method;
/// # use hyper::StatusCode;
/// # use hyper::header::HeaderMap;
/// # use jujube_core::pipeline::framing::Framing;
/// # use jujube_program::http;
/// let mut headers = HeaderMap::new();
/// let framing = |headers: &HeaderMap| http::framing(&Method::GET, StatusCode::OK, headers);
/// assert_eq!(framing(&headers), Framing::Unstated);
/// headers.insert("content-length", 4.into());
/// assert_eq!(framing(&headers), Framing::Stated);
/// ```
#[must_use]
pub fn framing(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
    let codings: Vec<&str> = headers
        .get_all(TRANSFER_ENCODING)
        .iter()
        .map(|value| value.to_str().unwrap_or_default())
        .collect();
    let codings = codings.join(",");
    Framing::of(Head {
        is_to_head: method == Method::HEAD,
        status: status.as_u16(),
        has_length: headers.contains_key(CONTENT_LENGTH),
        codings: headers.contains_key(TRANSFER_ENCODING).then_some(&codings),
    })
}

/// The errors of a connection that has ended.
const BROKEN: [io::ErrorKind; 4] = [
    io::ErrorKind::ConnectionReset,
    io::ErrorKind::ConnectionAborted,
    io::ErrorKind::BrokenPipe,
    io::ErrorKind::UnexpectedEof,
];

/// Why a call got no answer.
#[derive(Debug)]
pub enum Error {
    /// No connection: the request was not sent.
    NotSent(String),
    /// The request may have been sent, and the connection ended before the whole answer.
    Cut(String),
    /// The request may have been sent.
    Unknown(String),
    /// The request was answered, with more than is taken.
    Unusable(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Cut(why) => write!(f, "connection ended: {why}"),
            Self::Unknown(why) => write!(f, "no answer: {why}"),
            Self::Unusable(why) => write!(f, "unusable answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// How fast an answer must come whose size is not known beforehand.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The time within which the head must come.
    pub head: Duration,
    /// How long each pause may last from then on. With one time for all of it, an answer that the
    /// link carries more slowly than that is never read: each attempt is cut off and repeated.
    pub pause: Duration,
    /// How long an answer at less than the lowest rate may take. One that drips shows no pause, and would be
    /// waited for as if for good.
    pub drip: Duration,
}

/// The least bytes of an answer in a second, from its head on; far less than any link of a machine carries.
const MIN_RATE: f64 = 16_384.0;

impl Pace {
    /// Returns how long the next part of an answer may take that has had some time and brought some
    /// bytes.
    fn next_part(&self, elapsed: Duration, received: usize) -> Duration {
        let paid = Duration::from_secs_f64(received as f64 / MIN_RATE);
        let left = (self.drip + paid).saturating_sub(elapsed);
        left.min(self.pause)
    }
}

/// An HTTP client with a pool of connections.
#[derive(Clone)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Body>,
}

impl Client {
    /// Returns a client that gives up connecting after a while.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        Self::with_idle(connect, true)
    }

    /// Returns a client that opens a connection for every request.
    ///
    /// A pooled connection may have gone silent while it idled; a request that may not be repeated
    /// must not find that out.
    #[must_use]
    pub fn fresh(connect: Duration) -> Self {
        Self::with_idle(connect, false)
    }

    fn with_idle(connect: Duration, keep: bool) -> Self {
        const KEPT: usize = 512;
        // Something between the two ends may lose track of a connection: it then stays silent for
        // good. Probes after a second of silence show that within two more. The system counts whole
        // seconds and refuses all three settings when one of them is shorter.
        const PROBE_AFTER: Duration = Duration::from_secs(1);
        const PROBE_AGAIN: Duration = Duration::from_secs(1);
        const PROBES: u32 = 2;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        connector.set_keepalive(Some(PROBE_AFTER));
        connector.set_keepalive_interval(Some(PROBE_AGAIN));
        connector.set_keepalive_retries(Some(PROBES));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .pool_max_idle_per_host(if keep { KEPT } else { 0 })
            // The library's own retry cannot know what may be repeated.
            .retry_canceled_requests(keep)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response with its body still to come.
    ///
    /// # Errors
    ///
    /// No connection, or no final answer on it.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, Error> {
        let answer = self.inner.request(request).await;
        let response = answer.map_err(|error| {
            if error.is_connect() {
                return Error::NotSent(describe(&error));
            }
            failed(&error)
        })?;
        let status = response.status().as_u16();
        if !status::is_final(status) {
            return Err(Error::Unknown(format!("status {status} is not final")));
        }
        Ok(response)
    }

    /// Posts JSON and reads JSON, all within a time.
    ///
    /// # Errors
    ///
    /// No connection, no answer in time, another status than 200, or an answer of another form.
    pub async fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        within: Duration,
    ) -> Result<T, Error> {
        let bytes = serde_json::to_vec(body).map_err(|e| Error::NotSent(e.to_string()))?;
        let request = Request::post(url)
            .header(CONTENT_TYPE, "application/json")
            .body(whole(bytes))
            .map_err(|e| Error::NotSent(e.to_string()))?;
        self.exchange(request, within).await
    }

    /// Gets JSON within a time.
    ///
    /// # Errors
    ///
    /// As [`Client::post`].
    pub async fn get<T: DeserializeOwned>(&self, url: &str, within: Duration) -> Result<T, Error> {
        let request = Request::get(url).body(whole(""));
        let request = request.map_err(|e| Error::NotSent(e.to_string()))?;
        self.exchange(request, within).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: Request<Body>,
        within: Duration,
    ) -> Result<T, Error> {
        let (status, bytes) = self.fetch(request, within).await?;
        if status != StatusCode::OK {
            let text = String::from_utf8_lossy(&bytes);
            return Err(Error::Unknown(format!("status {status}: {text}")));
        }
        serde_json::from_slice(&bytes).map_err(|e| Error::Unknown(e.to_string()))
    }

    /// Sends a request and returns the status and the whole body, all within a time.
    ///
    /// # Errors
    ///
    /// No connection, or no whole answer in time.
    pub async fn fetch(
        &self,
        request: Request<Body>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let bytes = body.map_err(|error| failed(&error))?.to_bytes();
            Ok((status, bytes))
        };
        let answer = tokio::time::timeout(within, exchange).await;
        answer.unwrap_or_else(|_| Err(Error::Unknown("timeout".into())))
    }

    /// Fetches a whole answer whose size is not known beforehand, with its head.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`], and an answer that is larger than its share.
    pub async fn fetch_large(
        &self,
        request: Request<Body>,
        pace: Pace,
        mut share: Share,
    ) -> Result<(Parts, Bytes), Error> {
        let timeout = |_| Error::Unknown("timeout".into());
        let response = tokio::time::timeout(pace.head, self.send(request)).await;
        let (parts, mut body) = response.map_err(timeout)??.into_parts();
        let mut bytes = BytesMut::new();
        let began = Instant::now();
        loop {
            let left = pace.next_part(began.elapsed(), bytes.len());
            let frame = tokio::time::timeout(left, body.frame()).await;
            let Some(frame) = frame.map_err(timeout)? else {
                return Ok((parts, bytes.freeze()));
            };
            let frame = frame.map_err(|error| failed(&error))?;
            if let Ok(data) = frame.into_data() {
                if !share.grow(data.len()) {
                    return Err(Error::Unusable("answer too large".into()));
                }
                bytes.extend_from_slice(&data);
            }
        }
    }
}

/// Returns why a request that may have been sent has no whole answer.
fn failed(error: &(dyn std::error::Error + 'static)) -> Error {
    match is_cut(error) {
        true => Error::Cut(describe(error)),
        false => Error::Unknown(describe(error)),
    }
}

/// Returns whether an exchange failed because its connection ended.
fn is_cut(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let is_ended = |error: &hyper::Error| error.is_incomplete_message() || error.is_closed();
        let is_broken = |error: &io::Error| BROKEN.contains(&error.kind());
        if error.downcast_ref().is_some_and(is_ended) || error.downcast_ref().is_some_and(is_broken)
        {
            return true;
        }
        cause = error.source();
    }
    false
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
