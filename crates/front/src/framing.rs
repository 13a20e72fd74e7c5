//! Whether responses of backend servers are whole.

use hyper::StatusCode;
use jujube_core::pipeline::framing::Ended;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::framing::Sender;
use jujube_core::pipeline::framing::Unproven;
use jujube_program::event;

use crate::state::State;

/// Records that a part of the body of a response arrived.
pub fn received<D>(state: &State<D>, sender: Sender<'_>, status: StatusCode, framing: Framing) {
    let mut framings = state.framings.borrow_mut();
    framings.received(sender, status.as_u16(), framing);
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
    sender: Sender<'_>,
    ended: Ended,
) -> Result<(), Unproven> {
    let checked = state.framings.borrow_mut().check(sender, ended);
    if let Err(cause) = checked {
        let Sender { service, server } = sender;
        let server = server.map_or("-".into(), ToString::to_string);
        state.metrics.count("responses_unproven");
        event!(Warn, "unproven", request, server, service, cause);
    }
    checked
}
