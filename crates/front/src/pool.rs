//! Connections to backend servers: one request at a time on each, kept for the next.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::dialect::Dialect;

/// What is sent to a backend server.
pub type Sender = SendRequest<Full<Bytes>>;

/// How long connecting may take. Inside a region the answer takes under 2 ms; a packet that is lost
/// is sent again after a second, which is later than another server answers.
const CONNECT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// How long a connection may be silent before it is probed, and the pause between probes: something
/// between the two ends may have lost track of it.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// How many probes go unanswered before the connection counts as dead.
const PROBES: u32 = 2;
/// How long a connection is kept when the server does not say how long it keeps it.
const KEPT: Span = Span(4_000);
/// How much earlier than the server says a connection is given up, so that a request does not cross
/// the server's close.
const EARLIER: Span = Span(800);
/// The most connections kept to one server.
const MOST_KEPT: usize = 64;

struct Idle {
    sender: Sender,
    until: Instant,
}

/// Idle connections by backend server.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<Incarnation, Vec<Idle>>>>,
    dropped: Rc<Dropped>,
}

/// Servers that closed a connection that rested here.
#[derive(Default)]
struct Dropped {
    servers: RefCell<Vec<Incarnation>>,
    grew: tokio::sync::Notify,
}

/// A connection in use.
pub struct Lease {
    /// Sends a request.
    pub sender: Sender,
    /// Whether it was kept from an earlier request.
    pub reused: bool,
    server: Incarnation,
    pool: Pool,
}

impl Pool {
    /// Returns a connection to a server, a kept one if there is any.
    ///
    /// # Errors
    ///
    /// No connection can be had; nothing was sent.
    pub async fn lease(&self, server: &Incarnation, address: SocketAddr) -> io::Result<Lease> {
        if let Some(sender) = self.kept(server) {
            return Ok(self.leased(server, sender, true));
        }
        self.fresh(server, address).await
    }

    /// Returns a new connection to a server.
    ///
    /// # Errors
    ///
    /// No connection can be had; nothing was sent.
    pub async fn fresh(&self, server: &Incarnation, address: SocketAddr) -> io::Result<Lease> {
        let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
        let stream = connecting.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        watch(&stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let (pool, name) = (self.clone(), server.clone());
        tokio::task::spawn_local(async move {
            // Whoever uses the connection hears of its end through the sender.
            let _ended = connection.await;
            pool.ended(&name);
        });
        Ok(self.leased(server, sender, false))
    }

    fn leased(&self, server: &Incarnation, sender: Sender, reused: bool) -> Lease {
        Lease {
            sender,
            reused,
            server: server.clone(),
            pool: self.clone(),
        }
    }

    fn kept(&self, server: &Incarnation) -> Option<Sender> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(server)?;
        while let Some(connection) = kept.pop() {
            if connection.until > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Books that a connection to a server has ended.
    ///
    /// Kept connections are given up before the server would close them. One that ends while it rests
    /// is most often the first sign that the server has crashed: without it, a part in the middle of
    /// a path is missed only when its streams have been silent for long.
    fn ended(&self, server: &Incarnation) {
        let mut idle = self.idle.borrow_mut();
        let Some(kept) = idle.get_mut(server) else {
            return;
        };
        let before = kept.len();
        kept.retain(|connection| !connection.sender.is_closed());
        if kept.len() < before {
            self.dropped.servers.borrow_mut().push(server.clone());
            self.dropped.grew.notify_one();
        }
    }

    /// Waits until servers have closed connections that rested here; returns them.
    pub async fn dropped(&self) -> Vec<Incarnation> {
        self.dropped.grew.notified().await;
        self.dropped.servers.take()
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, server: &Incarnation) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes the idle connections whose time is over, and those to servers that are gone.
    pub fn expire(&self, is_registered: impl Fn(&Incarnation) -> bool) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|server, kept| {
            kept.retain(|connection| connection.until > now && !connection.sender.is_closed());
            !kept.is_empty() && is_registered(server)
        });
    }
}

impl Lease {
    /// Keeps the connection for the next request, once the answer with these headers was read whole.
    pub fn keep(mut self, headers: &HeaderMap) {
        let Some(kept) = keep_for(headers) else {
            return;
        };
        tokio::task::spawn_local(async move {
            if self.sender.ready().await.is_err() {
                return;
            }
            let mut idle = self.pool.idle.borrow_mut();
            let connections = idle.entry(self.server).or_default();
            if connections.len() < MOST_KEPT {
                connections.push(Idle {
                    sender: self.sender,
                    until: clock::now().plus(kept),
                });
            }
        });
    }
}

/// Makes one call on a connection, and keeps the connection.
///
/// # Errors
///
/// There is no whole answer; the call may have been acted on.
pub async fn call(
    mut lease: Lease,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let response = lease.sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    lease.keep(&parts.headers);
    Ok((parts.status, body))
}

/// Gives an engine an order.
///
/// # Errors
///
/// There is no whole answer; the order may have been taken.
pub async fn order<D: Dialect>(
    pool: &Pool,
    server: &Incarnation,
    address: SocketAddr,
    body: Bytes,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let lease = pool.lease(server, address).await?;
    let request = Request::post(D::ORDER)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    call(lease, request).await
}

/// Returns how long a connection may be kept; `None` when the server closes it.
fn keep_for(headers: &HeaderMap) -> Option<Span> {
    let connection = headers.get("connection").and_then(|v| v.to_str().ok());
    if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = stated.and_then(|value| {
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse::<u64>().ok()
    });
    let kept = seconds.map_or(KEPT, |seconds| Span(seconds * 1000));
    let kept = Span(kept.0.saturating_sub(EARLIER.0));
    (kept.0 > 0).then_some(kept)
}

/// Lets the system notice a connection that has gone silent.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
