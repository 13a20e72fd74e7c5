//! A pool of HTTP/1 connections to backend servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use jujube_core::pipeline::carried::Carried;
use jujube_core::pipeline::carried::Exchange;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::idle;
use jujube_core::pipeline::idle::Idle;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::total::Total;
use jujube_core::status;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::http;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::blocks::Blocks;
use crate::delivery;
use crate::dialect::Dialect;

/// The sending half of a connection.
pub type Sender = SendRequest<Blocks>;

/// Connect timeout. A lost SYN is retransmitted only after a second; trying another server is
/// faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long data sent to a server may stay unacknowledged before the system closes the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Keepalive idle time and interval; detects connections whose state a middlebox has dropped.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Size of the system's send buffer of a caller's connection. By default the system takes up to some
/// megabytes for each caller that does not read, which neither the memory budget nor the record of what was
/// delivered includes.
const CALLER_SEND_BUFFER: usize = 32 << 10;
/// Size of the system's receive buffer of a caller's connection, which by default grows to some megabytes
/// while requests that arrive early are not read.
const CALLER_RECEIVE_BUFFER: usize = 16 << 10;
/// Size of the system's receive buffer of a server's connection, for the same reason: responses wait in it
/// while there is no room for them.
const SERVER_RECEIVE_BUFFER: u32 = 16 << 10;
/// Upper bound of the read buffer of a server's connection.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// What a server's connection holds while its response is not read on: the last read, which waits for
/// the response body, and the buffer for the next.
pub const READ_BYTES: u64 = 2 * MAX_BUFFER_BYTES as u64;
/// How many keepalive probes may be lost before the system closes the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// The largest response to an order or a health check. They have some hundred bytes.
const MAX_CALL_BYTES: usize = 256 << 10;

/// An open connection.
struct Connection {
    sender: Sender,
    /// Tells it apart from other connections, in logs.
    number: u64,
    /// What it was checked out for last.
    exchange: Exchange,
    carried: Carried,
}

impl Connection {
    fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Idle connections by backend server.
#[derive(Clone)]
pub struct Pool(Rc<Shared>);

struct Shared {
    idle: RefCell<Idle<Box<Connection>>>,
    /// The most idle connections.
    max_idle: usize,
    /// What is held beside them.
    total: Rc<RefCell<Total>>,
    /// The number of connections opened.
    opened: Cell<u64>,
    closed: Closed,
}

/// Servers that closed an idle connection.
#[derive(Default)]
struct Closed {
    servers: RefCell<Vec<Incarnation>>,
    changed: tokio::sync::Notify,
}

/// A connection checked out of the pool.
pub struct Lease {
    connection: Box<Connection>,
    /// Whether the connection has served an earlier request.
    pub is_reused: bool,
    server: Incarnation,
    pool: Pool,
}

impl Pool {
    /// Creates a pool that keeps at most `max_idle` idle connections, and no more than a total has room
    /// for.
    pub fn new(max_idle: usize, total: Rc<RefCell<Total>>) -> Self {
        Self(Rc::new(Shared {
            idle: RefCell::new(Idle::new(max_idle)),
            max_idle,
            total,
            opened: Cell::default(),
            closed: Closed::default(),
        }))
    }

    /// Returns a connection to a server for an exchange, an idle one if possible.
    ///
    /// # Errors
    ///
    /// Connecting failed; nothing was sent.
    pub async fn lease(
        &self,
        server: &Incarnation,
        address: SocketAddr,
        exchange: Exchange,
    ) -> io::Result<Lease> {
        if let Some(mut connection) = self.take_idle(server, &exchange) {
            connection.exchange = exchange;
            return Ok(self.new_lease(server, connection, true));
        }
        self.connect(server, address, exchange).await
    }

    /// Opens a new connection to a server for an exchange.
    ///
    /// # Errors
    ///
    /// Connecting failed; nothing was sent.
    pub async fn connect(
        &self,
        server: &Incarnation,
        address: SocketAddr,
        exchange: Exchange,
    ) -> io::Result<Lease> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
        let stream = connecting.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        set_timeouts(&stream, USER_TIMEOUT)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let (pool, name) = (self.clone(), server.clone());
        tokio::task::spawn_local(async move {
            // A request in flight gets the error through the sender.
            let _closed = connection.await;
            pool.connection_closed(&name);
        });
        let opened = &self.0.opened;
        opened.set(opened.get() + 1);
        let connection = Box::new(Connection {
            sender,
            number: opened.get(),
            exchange,
            carried: Carried::default(),
        });
        Ok(self.new_lease(server, connection, false))
    }

    fn new_lease(
        &self,
        server: &Incarnation,
        mut connection: Box<Connection>,
        is_reused: bool,
    ) -> Lease {
        let Connection {
            exchange, carried, ..
        } = &mut *connection;
        carried.sent(exchange);
        Lease {
            connection,
            is_reused,
            server: server.clone(),
            pool: self.clone(),
        }
    }

    /// Returns the connection that was used last, of those that may carry an exchange.
    fn take_idle(&self, server: &Incarnation, exchange: &Exchange) -> Option<Box<Connection>> {
        let mut idle = self.0.idle.borrow_mut();
        idle.take(
            clock::now(),
            server,
            |connection| connection.sender.is_ready(),
            |connection| connection.carried.may_carry(exchange),
        )
    }

    /// Handles the end of a connection to a server.
    ///
    /// The pool closes idle connections before the server's keep-alive timeout, so an idle
    /// connection that the server closes usually indicates a crash. Without this signal, the crash
    /// of a later part of a path is noticed only after its streams have stalled.
    fn connection_closed(&self, server: &Incarnation) {
        let mut idle = self.0.idle.borrow_mut();
        if idle.retain_of(server, |connection| connection.is_open()) {
            self.0.closed.servers.borrow_mut().push(server.clone());
            self.0.closed.changed.notify_one();
        }
    }

    /// Waits until servers close idle connections; returns these servers.
    pub async fn closed(&self) -> Vec<Incarnation> {
        self.0.closed.changed.notified().await;
        self.0.closed.servers.take()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &Incarnation) {
        self.0.idle.borrow_mut().retain_of(server, |_| false);
    }

    /// Closes the idle connections that there is no room for, those idle the longest first.
    fn limit_idle(&self) {
        let room = self.0.total.borrow().idle_connections();
        let max = self.0.max_idle.min(room);
        self.0.idle.borrow_mut().set_max(max);
    }

    /// Closes idle connections that have expired, whose server is no longer registered, or that there is
    /// no room for.
    pub fn close_expired(&self, is_registered: impl Fn(&Incarnation) -> bool) {
        self.limit_idle();
        let mut idle = self.0.idle.borrow_mut();
        idle.expire(
            clock::now(),
            |connection| connection.is_open(),
            is_registered,
        );
    }
}

impl Lease {
    /// Returns the sending half.
    pub fn sender(&mut self) -> &mut Sender {
        &mut self.connection.sender
    }

    /// Returns the number of the connection.
    pub fn number(&self) -> u64 {
        self.connection.number
    }

    /// Records that the server turned the request away: this connection may deliver the same
    /// response again, and does not carry the request a second time.
    pub fn turned_away(&mut self) {
        let Connection {
            exchange, carried, ..
        } = &mut *self.connection;
        carried.turned_away(exchange);
    }

    /// Returns the connection to the pool, once the response with these headers was read to its
    /// end.
    pub fn release(mut self, headers: &HeaderMap) {
        let Some(timeout) = idle_timeout(headers) else {
            return;
        };
        tokio::task::spawn_local(async move {
            if self.connection.sender.ready().await.is_err() {
                return;
            }
            self.pool.limit_idle();
            let mut idle = self.pool.0.idle.borrow_mut();
            idle.keep(&self.server, self.connection, clock::now().plus(timeout));
        });
    }
}

/// Sends a request, reads the whole response, and returns the connection to the pool.
///
/// # Errors
///
/// There is no complete response, or it belongs to another exchange; the server may have handled the
/// request.
pub async fn call<D: Dialect>(
    lease: Lease,
    request: Request<Blocks>,
) -> anyhow::Result<Response<Bytes>> {
    let is_own = |headers: &HeaderMap| !headers.contains_key(&D::NAMES.request);
    exchange(lease, request, is_own).await
}

/// Sends a request, such as the first one on a connection, and returns the response if its headers
/// show that it is the one to the request. Otherwise the connection is closed.
///
/// # Errors
///
/// There is no complete response, or it belongs to another exchange.
pub async fn exchange(
    mut lease: Lease,
    request: Request<Blocks>,
    is_own: impl Fn(&HeaderMap) -> bool,
) -> anyhow::Result<Response<Bytes>> {
    let method = request.method().clone();
    let response = lease.sender().send_request(request).await?;
    let (parts, body) = response.into_parts();
    let status = parts.status.as_u16();
    if !status::is_final(status) {
        anyhow::bail!("status {status} is not final");
    }
    if !is_own(&parts.headers) {
        anyhow::bail!("response belongs to a request");
    }
    if http::framing(&method, parts.status, &parts.headers) == Framing::Coded {
        anyhow::bail!("body has codings that are not decoded");
    }
    let body = Limited::new(body, MAX_CALL_BYTES).collect().await;
    let body = body.map_err(|error| anyhow::anyhow!(error))?.to_bytes();
    lease.release(&parts.headers);
    Ok(Response::from_parts(parts, body))
}

/// Sends an order to an engine.
///
/// # Errors
///
/// There is no complete response; the engine may have applied the order.
pub async fn send_order<D: Dialect>(
    pool: &Pool,
    server: &Incarnation,
    address: SocketAddr,
    body: Bytes,
) -> anyhow::Result<Response<Bytes>> {
    let lease = pool.lease(server, address, Exchange::Unnamed).await?;
    let request = Request::post(D::ORDER)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(D::NAMES.expected_server, &*server.server.0)
        .body(Blocks::from(body))?;
    call::<D>(lease, request).await
}

/// Connects to a server.
///
/// The buffer has its size before the server is told how much may be sent. If it shrinks afterwards, the
/// server waits 0.2 s in the first response that is larger, until its system asks whether there is room.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let _unsupported = socket.set_recv_buffer_size(SERVER_RECEIVE_BUFFER);
    socket.connect(address).await
}

/// Returns how long to keep an idle connection; `None` if the server will close it.
fn idle_timeout(headers: &HeaderMap) -> Option<Span> {
    let connection = headers.get("connection").and_then(|v| v.to_str().ok());
    if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = stated.and_then(|value| {
        let parameter = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        parameter?.trim().parse::<u64>().ok()
    });
    idle::keep_time(seconds)
}

/// Sets the options that callers' connections take from their listener.
///
/// What callers send before their connection is accepted is received as well, so that it is too late then.
pub fn configure_listener(listener: &TcpListener) {
    let _unsupported = SockRef::from(listener).set_recv_buffer_size(CALLER_RECEIVE_BUFFER);
}

/// Sets the options of a caller's connection.
///
/// A closed receive window counts as unacknowledged data, so the user timeout must allow for a
/// caller that pauses. Not every system has every option, and the entry has a timeout of its own.
pub fn configure_caller(stream: &TcpStream) {
    let _unsupported = stream.set_nodelay(true);
    let _unsupported = set_timeouts(stream, delivery::IDLE_TIMEOUT);
    let _unsupported = SockRef::from(stream).set_send_buffer_size(CALLER_SEND_BUFFER);
}

/// Enables TCP keepalive and the user timeout, so that the system detects dead connections.
fn set_timeouts(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
