//! Listening sockets, which may be taken when a process starts.

use std::fmt::Display;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;

use crate::event;

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How often a socket that is still taken is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Returns a listener on an address; the port of an ended process can be had at once.
///
/// # Errors
///
/// The address is taken or not there, or the system has no socket.
///
/// # Examples
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
/// # let _guard = runtime.enter();
/// let listener = jujube_program::listen::tcp(([127, 0, 0, 1], 0).into(), 128)?;
/// assert_ne!(listener.local_addr()?.port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn tcp(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Returns a UDP socket on an address.
///
/// # Errors
///
/// As [`tcp`].
pub fn udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Returns whether a socket is usually had soon after this error: another process may free the port,
/// the address may be added, or descriptors may become free. Others last until somebody changes the
/// machine or its settings.
///
/// # Examples
///
/// ```
/// # use std::io::ErrorKind;
/// # use jujube_program::listen::may_pass;
/// assert!(may_pass(ErrorKind::AddrInUse));
/// assert!(!may_pass(ErrorKind::PermissionDenied));
/// ```
#[must_use]
pub fn may_pass(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::PermissionDenied | ErrorKind::InvalidInput | ErrorKind::Unsupported
    )
}

/// Waits until a socket can be had; `what` and `wanted` are for the log.
///
/// A process that exits instead is started again and meets the same obstacle, whatever the system's
/// reason, and serves nothing meanwhile.
pub async fn until_bound<T>(
    what: &str,
    wanted: impl Display,
    bind: impl Fn() -> io::Result<T>,
) -> T {
    let started = Instant::now();
    let mut logged: Option<Instant> = None;
    loop {
        let error = match bind() {
            Ok(socket) => {
                if logged.is_some() {
                    let waited = started.elapsed().as_millis();
                    event!(
                        Info,
                        "listen",
                        what,
                        wanted,
                        outcome = "bound",
                        waited_ms = waited
                    );
                }
                return socket;
            }
            Err(error) => error,
        };
        if logged.is_none_or(|logged| logged.elapsed() >= LOG_INTERVAL) {
            logged = Some(Instant::now());
            log_waiting(what, &wanted, &error);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn log_waiting(what: &str, wanted: &impl Display, cause: &io::Error) {
    let outcome = "waiting";
    if may_pass(cause.kind()) {
        event!(Warn, "listen", what, wanted, outcome, cause);
    } else {
        event!(Error, "listen", what, wanted, outcome, cause);
    }
}

/// Waits for a listener on an address.
pub async fn wait_to_listen(what: &str, address: SocketAddr) -> TcpListener {
    until_bound(what, address, || tcp(address, BACKLOG)).await
}
