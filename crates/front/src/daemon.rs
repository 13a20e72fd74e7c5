//! Starting and stopping an entry.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jujube_program::logs;
use jujube_program::shutdown;
use jujube_program::shutdown::Signal;
use jujube_program::shutdown::Trigger;
use jujube_store::kv::Feed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

use crate::dialect::Dialect;
use crate::follow;
use crate::gossip;
use crate::planner;
use crate::pool;
use crate::probe;
use crate::ready;
use crate::reload;
use crate::request;
use crate::settings::Settings;
use crate::slack;
use crate::state::Phase;
use crate::state::State;
use crate::waiting;
use crate::watchdog;

/// How long after the request to stop new requests are still served. The platform asks every second
/// and sends nobody after two refusals; requests in flight need the rest of the time.
const LEAVING: Duration = Duration::from_millis(3_000);
/// How long before the process is killed it ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// The least that the library reads of a head.
const LEAST_BUFFER: usize = 8_192;
/// The most that is read of a head, whatever is configured: an entry has some thousand connections and
/// 160 MB or more.
const MOST_BUFFER: usize = 64 << 10;
/// How often a stop looks whether requests are still in flight.
const LOOK: Duration = Duration::from_millis(20);

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// It cannot start: a socket or a signal handler cannot be had.
pub fn run<D: Dialect, F: Feed>(settings: Settings, store: F) -> Result<()> {
    logs::to_stdout("entry", &settings.telemetry.level)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve::<D, F>(settings, store))
}

async fn serve<D: Dialect, F: Feed>(settings: Settings, store: F) -> Result<()> {
    let callers = bind(settings.listen).await?;
    let asked = bind(settings.ready).await?;
    let metrics = bind(settings.metrics).await?;
    let gossip = UdpSocket::bind(settings.gossip).await;
    let gossip = gossip.with_context(|| format!("listen on {}", settings.gossip))?;
    log::info!(
        "event=started name={} zone={} listen={} store={}",
        settings.name,
        settings.zone,
        settings.listen,
        settings.store
    );
    let state = Rc::new(State::<D>::new(settings));
    tokio::task::spawn_local(ready::serve(state.clone(), asked));
    tokio::task::spawn_local(ready::serve(state.clone(), metrics));
    tokio::task::spawn_local(follow::run(state.clone(), store.clone()));
    tokio::task::spawn_local(follow::tidy(state.clone()));
    tokio::task::spawn_local(planner::run(state.clone(), store.clone()));
    tokio::task::spawn_local(gossip::announce(state.clone(), store.clone()));
    tokio::task::spawn_local(slack::run(state.clone(), store));
    tokio::task::spawn_local(retries(state.clone()));
    tokio::task::spawn_local(gossip::run(state.clone(), gossip));
    tokio::task::spawn_local(probe::probe_suspects(state.clone()));
    tokio::task::spawn_local(probe::check_closed(state.clone()));
    tokio::task::spawn_local(watchdog::run(state.clone()));
    tokio::task::spawn_local(waiting::run(state.clone()));
    tokio::task::spawn_local(reload::run(state.clone()));
    let (trigger, closing) = shutdown::pair();
    tokio::task::spawn_local(accept(state.clone(), callers, closing));
    shutdown::terminated().await?;
    log::info!("event=stopping in_flight={}", state.in_flight.get());
    state.phase.set(Phase::Leaving);
    drain(&state, &trigger).await;
    log::info!("event=stopped in_flight={}", state.in_flight.get());
    logs::flush();
    Ok(())
}

async fn retries<D: Dialect>(state: Rc<State<D>>) {
    state.retries.run().await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("listen on {address}"))
}

/// Serves on until the platform sends nobody any more, then ends what is in flight.
///
/// Connections stay open at first, and each answer says that it is the last one: were idle ones
/// closed at once, requests would cross the close, and callers would have to try again.
async fn drain<D: Dialect>(state: &State<D>, closing: &Trigger) {
    let stop = state.settings.stop.saturating_sub(BEFORE_KILL);
    let ended = tokio::time::sleep(stop);
    let idle = async {
        tokio::time::sleep(LEAVING).await;
        state.phase.set(Phase::Closing);
        closing.stop();
        while state.in_flight.get() > 0 {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = ended => log::warn!("event=stop-cut in_flight={}", state.in_flight.get()),
        () = idle => {}
    }
}

async fn accept<D: Dialect>(state: Rc<State<D>>, listener: TcpListener, closing: Signal) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Too many open files: without the pause this loop would take the processor.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        state.metrics.count("connections");
        tokio::task::spawn_local(connection(state.clone(), stream, closing.clone()));
    }
}

async fn connection<D: Dialect>(state: Rc<State<D>>, stream: TcpStream, mut closing: Signal) {
    let set_up = stream
        .set_nodelay(true)
        .and_then(|()| pool::set_keepalive(&stream));
    if set_up.is_err() {
        // The caller has left already.
        return;
    }
    let limits = state
        .table()
        .map(|table| table.document.limits)
        .unwrap_or_default();
    let buffer = (limits.header_bytes as usize).clamp(LEAST_BUFFER, MOST_BUFFER);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move {
            let mut answer = request::serve(state.clone(), request).await;
            if state.phase.get() != Phase::Serving {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(buffer)
        .header_read_timeout(Duration::from_millis(limits.idle.0));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let _caller_gone = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.stopped() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}
