//! One attempt of a request at one server.

use std::rc::Rc;

use hyper::http::response::Parts;
use jujube_core::pipeline::framing::Ended;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::framing::Sender;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::framing;
use crate::gate;
use crate::request::Admitted;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;
use crate::upstream::Incomplete;

use super::received::Received;

/// A buffered response.
pub(super) struct Reply {
    pub(super) parts: Parts,
    pub(super) body: Received,
    pub(super) framing: Framing,
}

/// The server of one attempt, when it was sent, and the result.
pub(super) type Outcome = (Server, Instant, Result<Reply, Failure>);

/// Sends the request to a server and buffers the response.
///
/// Buffering detects a truncated body while the request can still be retried; responses of plain
/// services are a few kilobytes at most.
pub(super) async fn attempt<D: Dialect>(
    state: &Rc<State<D>>,
    request: &Admitted,
    server: Server,
) -> Outcome {
    let in_flight = InFlight::new(state, &server.incarnation);
    gate::record_sent(state, &request.id, &server.incarnation);
    let mut outgoing = request.outgoing.clone();
    let sent_at = clock::now();
    let left = request.deadline.since(sent_at);
    let headers = &mut outgoing.headers;
    headers.insert(D::NAMES.deadline, left.0.into());
    event!(
        Info,
        "sent",
        request = request.id,
        _ = request.features,
        server = server.incarnation,
        in_flight = state.load.borrow().requests(&server.incarnation),
        _ = state.feed.view(),
        left_ms = left
    );
    let sent = upstream::send::<D>(
        state,
        &server.incarnation,
        server.address,
        &outgoing,
        &request.features,
    )
    .await;
    let result = match sent {
        Ok(incomplete) => read(state, request, &server, incomplete).await,
        Err(failure) => Err(failure),
    };
    drop(in_flight);
    (server, sent_at, result)
}

/// Reads a response to its end.
async fn read<D: Dialect>(
    state: &State<D>,
    request: &Admitted,
    server: &Server,
    incomplete: Incomplete,
) -> Result<Reply, Failure> {
    let Incomplete {
        response,
        lease,
        framing,
    } = incomplete;
    let (parts, body) = response.into_parts();
    let body = Received::read(body, request.outgoing.reservation.clone()).await?;
    let ended = Ended {
        status: parts.status.as_u16(),
        framing,
        has_body: !body.is_empty(),
    };
    let sender = Sender {
        service: &request.service,
        server: Some(&server.incarnation),
    };
    if ended.has_body {
        framing::received(state, sender, parts.status, framing);
    }
    framing::check(state, &request.id, sender, ended)
        .map_err(|unproven| Failure::Unknown(unproven.to_string()))?;
    lease.release(&parts.headers);
    Ok(Reply {
        parts,
        body,
        framing,
    })
}

/// Counts a request in flight at a server until dropped.
struct InFlight<'a, D> {
    state: &'a Rc<State<D>>,
    server: Incarnation,
}

impl<'a, D> InFlight<'a, D> {
    fn new(state: &'a Rc<State<D>>, server: &Incarnation) -> Self {
        state.load.borrow_mut().start_request(server, 0.0);
        Self {
            state,
            server: server.clone(),
        }
    }
}

impl<D> Drop for InFlight<'_, D> {
    fn drop(&mut self) {
        self.state.load.borrow_mut().end_request(&self.server, 0.0);
    }
}
