//! Startup, connection handling and graceful shutdown of an entry.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use futures::future::join;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jujube_core::pipeline::departure::Departure;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::logs;
use jujube_program::shutdown;
use jujube_program::shutdown::Signal;
use jujube_program::shutdown::Termination;
use jujube_program::shutdown::Trigger;
use jujube_program::word::Word;
use jujube_store::kv::Feed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::crowd::Place;
use crate::delivery;
use crate::delivery::Delivery;
use crate::delivery::Intake;
use crate::dialect::Dialect;
use crate::feed::Source;
use crate::planner;
use crate::pool;
use crate::probe;
use crate::quarantine;
use crate::reload;
use crate::request;
use crate::request::Guard;
use crate::settings::Settings;
use crate::slack;
use crate::sockets;
use crate::state::Lifecycle;
use crate::state::State;
use crate::store_watch;
use crate::strangers;
use crate::tasks::keep;
use crate::turn_away;
use crate::vitals;
use crate::waiting;
use crate::watchdog;

/// How long new requests are still served after a termination signal. The platform checks readiness
/// every second and stops sending callers after two failures; requests in flight need the rest of
/// the time.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
/// How long before the platform kills the process it exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Upper bound of the read buffer, whatever the configured header limit: an entry serves some
/// thousand connections with as little as 160 MB of memory.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// How often a shutdown checks for requests in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an entry until it receives a termination signal.
///
/// # Errors
///
/// The system has no event queue.
pub fn run<D: Dialect, F: Feed>(
    settings: Settings,
    store: F,
    termination: Termination,
) -> Result<()> {
    if let Err(error) = logs::to_stdout("entry", &settings.telemetry.level) {
        // It serves without a log, or with one of another level.
        logs::tell("jujube-platform", &error);
    }
    vitals::log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve::<D, F>(settings, store, termination));
    // Connections that the stop cuts log what was not delivered when they are dropped.
    drop(local);
    logs::flush();
    Ok(())
}

async fn serve<D: Dialect, F: Feed>(settings: Settings, store: F, mut termination: Termination) {
    log::info!(
        "event=starting name={} zone={} listen={} ready={} metrics={} gossip={} gossip_last_port={}",
        Word(&settings.name),
        Word(&settings.zone),
        settings.listen,
        settings.ready,
        settings.metrics,
        settings.gossip,
        settings.gossip_last_port
    );
    let state = Rc::new(State::<D>::new(settings));
    for replaced in &state.settings.replaced {
        reload::record_replaced(&state, replaced);
    }
    if state.settings.memory.is_none() {
        let capacity = state.memory.capacity();
        log::warn!("event=memory-unknown capacity={capacity}");
    }
    let (trigger, closing) = shutdown::pair();
    let callers = sockets::serve_callers(state.clone(), closing);
    let readiness = sockets::serve_readiness(state.clone());
    spawn_local(sockets::serve_others(state.clone(), store.clone()));
    keep_controllers(&state, &store);
    tokio::select! {
        () = termination.requested() => {}
        ((), ()) = join(callers, readiness) => termination.requested().await,
    }
    log::info!("event=stopping in_flight={}", state.in_flight.get());
    if state.lifecycle.get() == Lifecycle::Starting {
        return;
    }
    state.enter(Lifecycle::Draining);
    drain(&state, &trigger).await;
    log::info!("event=stopped in_flight={}", state.in_flight.get());
}

/// Keeps the tasks that need no socket of their own.
fn keep_controllers<D: Dialect, F: Feed>(state: &Rc<State<D>>, store: &F) {
    keep_for(state, "store", {
        let store = store.clone();
        move |state| {
            let source = Source::new(state.feed.clone(), store.clone(), state.metrics.clone());
            store_watch::run(state, store.clone(), source)
        }
    });
    let with_store = store.clone();
    keep_for(state, "planner", move |state| {
        planner::run(state, with_store.clone())
    });
    let with_store = store.clone();
    keep_for(state, "quarantine", move |state| {
        quarantine::run(state, with_store.clone())
    });
    let with_store = store.clone();
    keep_for(state, "slack", move |state| {
        slack::run(state, with_store.clone())
    });
    keep_for(state, "registrations", store_watch::expire);
    keep_for(state, "retries", run_retries);
    keep_for(state, "probes", probe::probe_suspects);
    keep_for(state, "starts", probe::confirm_starts);
    keep_for(state, "strangers", strangers::run);
    keep_for(state, "closed", probe::check_closed);
    keep_for(state, "watchdog", watchdog::run);
    keep_for(state, "waiting", waiting::run);
    keep_for(state, "reload", reload::run);
    keep_for(state, "vitals", vitals::run);
}

fn keep_for<D: Dialect, T: Future<Output = ()> + 'static>(
    state: &Rc<State<D>>,
    name: &'static str,
    run: impl Fn(Rc<State<D>>) -> T + 'static,
) {
    let shared = state.clone();
    keep(&state.metrics, name, move || run(shared.clone()));
}

async fn run_retries<D: Dialect>(state: Rc<State<D>>) {
    state.retries.run().await;
}

/// Serves requests that can end in time until the platform has stopped sending callers, then waits for
/// those in flight. Shortly before the process exits, those that are left are answered as they are.
///
/// Connections stay open at first, and each response carries `Connection: close`. Closing idle
/// connections at once would race with new requests on them, and callers would have to retry.
async fn drain<D: Dialect>(state: &State<D>, closing: &Trigger) {
    let stop = state.settings.stop.saturating_sub(KILL_MARGIN);
    let exit = clock::now().plus(Span(stop.as_millis() as u64));
    state.exit.plan(Departure::at(exit));
    let timeout = tokio::time::sleep(stop);
    let drained = async {
        tokio::time::sleep(DRAIN_TIME).await;
        state.enter(Lifecycle::Closing);
        closing.stop();
        while state.in_flight.get() > 0 {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = timeout => log::warn!("event=stop-cut in_flight={}", state.in_flight.get()),
        () = drained => {}
    }
}

/// Accepts callers' connections. Never returns.
pub async fn accept<D: Dialect>(state: Rc<State<D>>, listener: Rc<TcpListener>, closing: Signal) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: without the pause this loop would spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        state.metrics.count("connections");
        pool::configure_caller(&stream);
        let Some(place) = state.crowd.connect() else {
            spawn_local(without_place(state.clone(), stream, closing.clone()));
            continue;
        };
        spawn_local(connection(state.clone(), stream, place, closing.clone()));
    }
}

/// Serves a connection in the place of one that is at rest, or turns its caller away.
async fn without_place<D: Dialect>(state: Rc<State<D>>, stream: TcpStream, closing: Signal) {
    let Some(place) = state.crowd.displace().await else {
        return turn_away::run(stream, state.metrics.clone()).await;
    };
    state.metrics.count("callers_displaced");
    log::info!("event=displaced what=connection-at-rest");
    connection(state, stream, place, closing).await;
}

async fn connection<D: Dialect>(
    state: Rc<State<D>>,
    stream: TcpStream,
    place: Place,
    mut closing: Signal,
) {
    let intake = Rc::new(Intake::new(place, &state.memory));
    let delivery = Rc::new(Delivery::new(state.metrics.clone()));
    let io = delivery::Io::new(stream, delivery.clone(), intake.clone());
    let limits = state
        .table()
        .map(|table| table.document.limits)
        .unwrap_or_default();
    let buffer = (limits.header_bytes as usize).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES);
    let of_requests = intake.clone();
    let service = service_fn(move |request| {
        let (state, delivery, intake) = (state.clone(), delivery.clone(), of_requests.clone());
        async move {
            let reading = intake.begin();
            let guard = Guard::new(&state.in_flight, &intake);
            let mut response =
                Box::pin(request::serve(state.clone(), request, delivery, guard)).await;
            drop(reading);
            if state.lifecycle.get() != Lifecycle::Serving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(buffer)
        .header_read_timeout(Duration::from_millis(limits.idle.0));
    let connection = builder.serve_connection(TokioIo::new(io), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return drop(ended),
        () = closing.stopped() => {}
        () = intake.displaced() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _disconnected = connection.await;
}
