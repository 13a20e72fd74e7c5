//! The HTTP endpoints for readiness checks and metrics.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jujube_core::pipeline::cadence::Cadence;
use jujube_core::pipeline::memory::Cause;
use jujube_program::clock;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::body::Body;
use crate::dialect::Dialect;
use crate::metrics::page;
use crate::state::State;
use crate::vitals;

const METRICS_PATH: &str = "/metrics";
/// The most bytes of a head: the least that the library accepts, far more than a check sends.
const MAX_BUFFER_BYTES: usize = 8_192;
/// How long a connection may take for a head, or stay idle. Checks come every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves one listener until the process ends. If there are too many connections, a new one replaces the
/// oldest, so that those of callers who stay silent keep no check away.
pub async fn serve<D: Dialect>(state: Rc<State<D>>, listener: Rc<TcpListener>) {
    let mut open = VecDeque::new();
    loop {
        // A failed accept affects one connection; the next may succeed.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        open.retain(|task: &AbortHandle| !task.is_finished());
        if open.len() >= state.descriptors.checks()
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        let task = tokio::task::spawn_local(connection(state.clone(), stream));
        open.push_back(task.abort_handle());
    }
}

async fn connection<D: Dialect>(state: Rc<State<D>>, stream: TcpStream) {
    let cadence = Cell::new(Cadence::default());
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let mut next = cadence.get();
        let wait = Duration::from_millis(next.wait(clock::now()).0);
        cadence.set(next);
        let state = state.clone();
        async move {
            tokio::time::sleep(wait).await;
            Ok::<_, Infallible>(respond(&state, request.uri().path()))
        }
    });
    let _disconnected = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_BUFFER_BYTES)
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond<D: Dialect>(state: &State<D>, path: &str) -> Response<Body<D>> {
    if path == METRICS_PATH {
        let held = |cause| state.memory.held_for(cause).0 as f64;
        let crowd = state.crowd.view();
        let gauges = [
            ("in_flight", state.in_flight.get() as f64),
            ("streams", state.streams.len() as f64),
            ("waiting", state.waiting.len() as f64),
            ("held", state.held.len() as f64),
            ("memory_held_request_head", held(Cause::RequestHead)),
            ("memory_held_request_body", held(Cause::RequestBody)),
            ("memory_held_response", held(Cause::Response)),
            ("memory_held_read_ahead", held(Cause::ReadAhead)),
            ("memory_capacity", state.memory.capacity().0 as f64),
            ("callers_connections", crowd.connections() as f64),
            ("crowd_held", crowd.held().0 as f64),
            ("crowd_capacity", crowd.capacity().0 as f64),
            ("slack_pieces", state.retries.pieces() as f64),
            ("served_tokens", state.served_tokens.get()),
            ("ready", f64::from(u8::from(state.is_ready()))),
            (
                "resident_bytes",
                vitals::resident().map_or(0.0, |size| size.0 as f64),
            ),
        ];
        let mut response = Response::new(Body::text(state.metrics.text(&gauges)));
        let format = HeaderValue::from_static(page::CONTENT_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, format);
        return response;
    }
    let mut response = Response::new(Body::text(""));
    *response.status_mut() = match (path == D::READY, state.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
