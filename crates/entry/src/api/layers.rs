//! The layers around the router: refusing when this entry is stopping, and counting.

use std::convert::Infallible;
use std::future::Ready;
use std::future::ready;
use std::task::Context;
use std::task::Poll;

use futures::future::Either;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::time::Span;
use jujube_program::http::Body;
use tower::Layer;
use tower::Service;
use tower::ServiceBuilder;
use tower::service_fn;

use super::problem;
use super::router;
use crate::state::State;

type Answer = Result<Response<Body>, Infallible>;

/// Returns the whole stack that answers callers.
pub(crate) fn stack(
    state: State,
) -> impl Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future = impl Future<Output = Answer> + Send,
> + Clone
+ Send {
    let routed = state.clone();
    let router = service_fn(move |request| {
        let answer = router::route(routed.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let counters = state.counters.clone();
    ServiceBuilder::new()
        .map_response(move |response: Response<Body>| {
            counters.add(class(response.status()), 1);
            response
        })
        .layer(GateLayer(state))
        .service(router)
}

/// Returns the counter of a status.
fn class(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "answers_ok",
        429 => "answers_overloaded",
        400..=499 => "answers_refused",
        _ => "answers_failed",
    }
}

/// Refuses requests for services while this entry is not ready.
#[derive(Clone)]
struct GateLayer(State);

#[derive(Clone)]
struct Gate<S> {
    state: State,
    inner: S,
}

impl<S> Layer<S> for GateLayer {
    type Service = Gate<S>;

    fn layer(&self, inner: S) -> Gate<S> {
        let state = self.0.clone();
        Gate { state, inner }
    }
}

/// What a caller is told to wait when it reached an entry that is stopping: the balancer has others.
const COME_BACK: Span = Span(1_000);

impl<S> Service<Request<Incoming>> for Gate<S>
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
{
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Either<Ready<Answer>, S::Future>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let path = request.uri().path();
        let serves = path.starts_with("/v1/") || path.starts_with("/services/");
        if serves && !self.state.is_ready() {
            let refusal = Refusal::not_run(Reason::NotReady, "this entry is stopping or starting");
            let refusal = refusal.retry_after(COME_BACK);
            return Either::Left(ready(Ok(problem::response(&refusal))));
        }
        Either::Right(self.inner.call(request))
    }
}
