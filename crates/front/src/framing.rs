//! Whether responses of backend servers are whole.

use std::fmt::Display;

use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use jujube_core::name::Service;
use jujube_core::pipeline::framing::Ended;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::framing::Head;
use jujube_core::pipeline::framing::Unproven;

use crate::state::State;

/// Returns how a response to a request with this method tells where its body ends.
pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
    let codings: Vec<&str> = headers
        .get_all(TRANSFER_ENCODING)
        .iter()
        .map(|value| value.to_str().unwrap_or_default())
        .collect();
    let codings = codings.join(",");
    Framing::of(Head {
        is_to_head: method == Method::HEAD,
        status: status.as_u16(),
        has_length: headers.contains_key(CONTENT_LENGTH),
        codings: headers.contains_key(TRANSFER_ENCODING).then_some(&codings),
    })
}

/// Records that a part of the body of a response arrived.
pub fn received<D>(state: &State<D>, service: &Service, status: StatusCode, framing: Framing) {
    let mut framings = state.framings.borrow_mut();
    framings.received(service, status.as_u16(), framing);
}

/// Checks whether a response is whole whose body ended without an error of its connection; logs why
/// it does not count as whole.
///
/// # Errors
///
/// Nothing proves that it is whole.
pub fn check<D>(
    state: &State<D>,
    request: &str,
    server: impl Display,
    service: &Service,
    ended: Ended,
) -> Result<(), Unproven> {
    let checked = state.framings.borrow().check(service, ended);
    if let Err(cause) = checked {
        state.metrics.count("responses_unproven");
        log::warn!(
            "event=unproven request={request} server={server} service={service} cause={cause}"
        );
    }
    checked
}
