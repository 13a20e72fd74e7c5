//! The status page, for operators.

use std::sync::atomic::Ordering;

use hyper::Response;
use hyper::StatusCode;
use jujube_program::http;
use jujube_program::http::Body;
use serde_json::Value;
use serde_json::json;

use crate::control;
use crate::state::State;
use crate::state::lock;

/// Returns what this entry knows.
pub(crate) fn response(state: &State) -> Response<Body> {
    let snapshot = state.snapshot();
    let models = snapshot.models.iter().map(|(service, table)| {
        let value = json!({"bound_tokens_per_second": table.rate.round()});
        (service.to_string(), value)
    });
    let queues = state
        .admission
        .depths()
        .into_iter()
        .map(|(service, running, waiting)| {
            (
                service.to_string(),
                json!({"running": running, "waiting": waiting}),
            )
        });
    let status = json!({
        "role": "entry",
        "incarnation": format!("{:016x}", state.incarnation.0),
        "generation": snapshot.generation,
        "draining": state.draining.load(Ordering::Relaxed),
        "in_flight": state.in_flight.load(Ordering::Relaxed),
        "models": models.collect::<serde_json::Map<String, Value>>(),
        "queues": queues.collect::<serde_json::Map<String, Value>>(),
        "unserved": control::unserved(state),
        "servers": *lock(&state.servers),
        "counters": state.counters.snapshot(),
    });
    http::json(StatusCode::OK, &status)
}
