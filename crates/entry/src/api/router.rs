//! Which path is answered by what.

use std::sync::atomic::Ordering;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_program::http;
use jujube_program::http::Body;

use super::completions;
use super::plain;
use super::problem;
use super::status;
use crate::state::State;

/// A request that is being answered; a planned stop waits until it is gone.
struct InFlight(State);

impl InFlight {
    fn new(state: &State) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(state.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one request.
pub(crate) async fn route(state: State, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let post = request.method() == Method::POST;
    match path.as_str() {
        "/livez" => return http::text(StatusCode::OK, "ok"),
        "/readyz" if state.is_ready() => return http::text(StatusCode::OK, "ok"),
        "/readyz" => return http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        "/status" => return status::response(&state),
        _ => {}
    }
    let in_flight = InFlight::new(&state);
    let answer = match path.as_str() {
        "/v1/completions" if post => completions::answer(&state, request).await,
        "/v1/models" => completions::models(&state, request.headers()),
        _ if path.starts_with("/services/") => plain::answer(&state, request).await,
        _ => Err(Refusal::not_run(Reason::Unknown, "nothing is here")),
    };
    let response = answer.unwrap_or_else(|refusal| problem::response(&refusal));
    let (parts, body) = response.into_parts();
    Response::from_parts(parts, http::held(body, in_flight))
}
