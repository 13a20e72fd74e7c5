//! The sockets of an entry: those that it cannot serve without, and those that only help it.
//!
//! Callers and the platform's readiness checks come to addresses that the entry is given. It waits
//! for these. It works without its internal sockets and its metrics for a while, and takes another
//! internal port if the first one is taken.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use jujube_program::listen;
use jujube_program::shutdown::Signal;
use jujube_program::word::Word;
use jujube_store::kv::Feed;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::daemon;
use crate::dialect::Dialect;
use crate::feed;
use crate::gossip;
use crate::loans;
use crate::pool;
use crate::ready;
use crate::settings::Settings;
use crate::state::Lifecycle;
use crate::state::State;
use crate::tasks::keep;

/// How many connections may wait to be accepted. The library's default of 128 overflows when hundreds
/// of callers connect while the entry is busy; the system then drops their requests for a connection,
/// which are repeated only after a second.
const ACCEPT_BACKLOG: u32 = 4_096;

/// Waits for a listener.
async fn listener(what: &str, address: SocketAddr) -> TcpListener {
    let bind = || listen::tcp(address, ACCEPT_BACKLOG);
    listen::until_bound(what, address, bind).await
}

/// Serves callers until the process ends, as soon as their address can be had.
pub async fn serve_callers<D: Dialect>(state: Rc<State<D>>, closing: Signal) {
    let listener = Rc::new(listener("callers", state.settings.listen).await);
    pool::configure_listener(&listener);
    let settings = &state.settings;
    log::info!(
        "event=started name={} zone={} listen={} store={}",
        Word(&settings.name),
        Word(&settings.zone),
        settings.listen,
        settings.store
    );
    if state.lifecycle.get() == Lifecycle::Starting {
        state.enter(Lifecycle::Serving);
    }
    keep(&state.metrics.clone(), "callers", move || {
        daemon::accept(state.clone(), listener.clone(), closing.clone())
    });
}

/// Answers the platform's readiness checks until the process ends, as soon as their address can be had.
pub async fn serve_readiness<D: Dialect>(state: Rc<State<D>>) {
    let listener = Rc::new(listener("readiness", state.settings.ready).await);
    keep(&state.metrics.clone(), "readiness", move || {
        ready::serve(state.clone(), listener.clone())
    });
}

/// Serves the metrics as soon as their address can be had, and speaks with other entries as soon as
/// an internal port can be had, until the process ends.
pub async fn serve_others<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    tokio::task::spawn_local(serve_metrics(state.clone()));
    if state.settings.gossip.port() == 0 {
        log::warn!("event=listen what=internal outcome=left-out");
        return;
    }
    let ports = internal_ports(&state.settings);
    let wanted = state.settings.gossip;
    let internal = listen::until_bound("internal", wanted, || first_free(&ports)).await;
    serve_entries(&state, store, internal);
}

async fn serve_metrics<D: Dialect>(state: Rc<State<D>>) {
    let settings = &state.settings;
    if [settings.listen, settings.ready].contains(&settings.metrics) {
        // It must not take the port that callers come to; the readiness address has the metrics too.
        log::warn!(
            "event=listen what=metrics wanted={} outcome=left-out",
            settings.metrics
        );
        return;
    }
    let listener = Rc::new(listener("metrics", state.settings.metrics).await);
    keep(&state.metrics.clone(), "metrics", move || {
        ready::serve(state.clone(), listener.clone())
    });
}

/// The sockets on one internal port.
struct Internal {
    address: SocketAddr,
    gossip: UdpSocket,
    feed: TcpListener,
}

fn serve_entries<D: Dialect, F: Feed>(state: &Rc<State<D>>, store: F, internal: Internal) {
    let address = internal.address;
    state.internal.set(Some(address));
    log::info!("event=internal address={address}");
    let (gossip, feed_listener) = (Rc::new(internal.gossip), Rc::new(internal.feed));
    let metrics = &state.metrics;
    keep(metrics, "feed", {
        let state = state.clone();
        move || {
            feed::serve(
                state.feed.clone(),
                state.metrics.clone(),
                feed_listener.clone(),
            )
        }
    });
    keep(metrics, "announcement", {
        let state = state.clone();
        move || gossip::announce(state.clone(), store.clone())
    });
    keep_with(state, &gossip, "gossip", gossip::run);
    keep_with(state, &gossip, "gossip-receive", gossip::receive);
    keep_with(state, &gossip, "gossip-relay", gossip::relay);
    keep_with(state, &gossip, "loans", loans::run);
}

/// Keeps a task that uses the gossip socket.
fn keep_with<D: Dialect, F: Future<Output = ()> + 'static>(
    state: &Rc<State<D>>,
    socket: &Rc<UdpSocket>,
    name: &'static str,
    run: fn(Rc<State<D>>, Rc<UdpSocket>) -> F,
) {
    let (shared, socket) = (state.clone(), socket.clone());
    keep(&state.metrics, name, move || {
        run(shared.clone(), socket.clone())
    });
}

/// Returns the addresses at which other entries may find this one, the preferred one first.
///
/// The entry's other ports may lie among them; these are left for what has no choice.
fn internal_ports(settings: &Settings) -> Vec<SocketAddr> {
    let first = settings.gossip;
    let last = settings.gossip_last_port.max(first.port());
    let others = [settings.listen, settings.ready, settings.metrics];
    let ports = (first.port()..=last).map(|port| SocketAddr::new(first.ip(), port));
    ports.filter(|address| !others.contains(address)).collect()
}

/// Binds the first address whose port is free for both protocols.
fn first_free(addresses: &[SocketAddr]) -> io::Result<Internal> {
    let mut failure = io::ErrorKind::AddrInUse.into();
    for &address in addresses {
        match both(address) {
            Ok(internal) => return Ok(internal),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

fn both(address: SocketAddr) -> io::Result<Internal> {
    Ok(Internal {
        address,
        gossip: listen::udp(address)?,
        feed: listen::tcp(address, ACCEPT_BACKLOG)?,
    })
}
