//! The HTTP endpoints for readiness checks and metrics.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::Response;
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jujube_core::pipeline::memory::Cause;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::body::Body;
use crate::dialect::Dialect;
use crate::state::State;
use crate::vitals;

const METRICS_PATH: &str = "/metrics";

/// Serves one listener until the process ends.
pub async fn serve<D: Dialect>(state: Rc<State<D>>, listener: Rc<TcpListener>) {
    loop {
        // A failed accept affects one connection; the next may succeed.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        tokio::task::spawn_local(connection(state.clone(), stream));
    }
}

async fn connection<D: Dialect>(state: Rc<State<D>>, stream: TcpStream) {
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let response = respond(&state, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let _disconnected = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond<D: Dialect>(state: &State<D>, path: &str) -> Response<Body<D>> {
    if path == METRICS_PATH {
        let held = |cause| state.memory.held_for(cause).0 as f64;
        let gauges = [
            ("in_flight", state.in_flight.get() as f64),
            ("streams", state.streams.len() as f64),
            ("waiting", state.waiting.len() as f64),
            ("held", state.held.len() as f64),
            ("memory_held_request_body", held(Cause::RequestBody)),
            ("memory_held_response", held(Cause::Response)),
            ("memory_held_read_ahead", held(Cause::ReadAhead)),
            ("memory_capacity", state.memory.capacity().0 as f64),
            ("slack_pieces", state.retries.pieces() as f64),
            ("served_tokens", state.served_tokens.get()),
            ("ready", f64::from(u8::from(state.is_ready()))),
            (
                "resident_bytes",
                vitals::resident().map_or(0.0, |size| size.0 as f64),
            ),
        ];
        return Response::new(Body::text(state.metrics.text(&gauges)));
    }
    let mut response = Response::new(Body::text(""));
    *response.status_mut() = match (path == D::READY, state.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
