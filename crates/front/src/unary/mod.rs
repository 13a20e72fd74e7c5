//! Requests to plain services, each with a single buffered response.

mod attempt;
mod choice;
mod received;

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::Fuse;
use futures::stream::FuturesUnordered;
use hyper::Response;
use hyper::StatusCode;
use jujube_core::pipeline::quarantine::run::Run;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::body::Answer;
use crate::body::Body;
use crate::delivery::Completion;
use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::gate::Opening;
use crate::head;
use crate::probe;
use crate::quarantine;
use crate::reason::Reason;
use crate::request;
use crate::request::Admitted;
use crate::response;
use crate::retries::Retry;
use crate::state::State;
use crate::strangers;
use crate::upstream;
use crate::upstream::Failure;

use attempt::Outcome;
use attempt::Reply;
use attempt::attempt;

pub use received::Received;

/// Share of the route's target after which a hedged request is sent: later than a typical response,
/// early enough for a second one to be on time.
const HEDGE_SHARE: f64 = 0.55;
/// Maximum servers that may reject a request before it fails.
const MAX_REFUSALS: u32 = 4;
/// `Retry-After` once every server rejected the request; about the duration of one request.
const RETRY_AFTER_REFUSED: Span = Span(60);
/// How long a failed request waits for a retry from the budget.
const RETRY_WAIT: Duration = Duration::from_millis(60);
/// How long before the deadline a request that may have run is answered, so that the response
/// arrives in time.
const DEADLINE_MARGIN: Span = Span(10);

/// Why another attempt is allowed.
enum Permit {
    /// No server has received the request yet.
    First,
    /// A retry from the budget.
    Retry(Retry),
}

/// Serves one request.
pub async fn serve<D: Dialect>(
    state: &Rc<State<D>>,
    request: Admitted,
    mut outbound: Outbound,
) -> Response<Body<D>> {
    let arrived = request.arrived;
    let left = request
        .deadline
        .since(clock::now())
        .0
        .saturating_sub(DEADLINE_MARGIN.0);
    let attempts = Attempts {
        state,
        request: &request,
        excluded: Vec::new(),
        may_have_run: false,
        fallback: None,
        sent: 0,
        arrivals: 0,
        refusals: 0,
        cause: String::from("-"),
    };
    // A request that was never sent would have failed before it is late or interrupted.
    let outcome = tokio::select! {
        outcome = attempts.run() => outcome,
        () = tokio::time::sleep(Duration::from_millis(left)) => {
            Err((Reason::Late, String::from("deadline"), None))
        }
        () = state.exit.due() => Err((Reason::Interrupted, String::from("exit"), None)),
    };
    let (reason, cause, retry_after) = match outcome {
        Ok(reply) => {
            request.outgoing.release_body();
            return respond(reply, outbound);
        }
        Err(refusal) => refusal,
    };
    outbound.abort();
    request::record_refusal(
        state,
        &request.id,
        &request.route.name,
        reason,
        arrived,
        &cause,
    );
    response::local(reason, retry_after)
}

fn respond<D: Dialect>(reply: Reply, mut outbound: Outbound) -> Response<Body<D>> {
    let mut parts = reply.parts;
    outbound.begin();
    outbound.complete(Completion::Answered {
        status: parts.status.as_u16(),
    });
    head::forward(&mut parts);
    Response::from_parts(parts, Body::Answer(Answer::new(reply.body, outbound)))
}

type Refusal = (Reason, String, Option<Span>);

/// The attempts of one request.
struct Attempts<'a, D> {
    state: &'a Rc<State<D>>,
    request: &'a Admitted,
    excluded: Vec<Incarnation>,
    may_have_run: bool,
    /// The error response of a server, returned if no later attempt succeeds.
    ///
    /// Without it, a client whose retry is denied or rejected would get a status that promises that
    /// the request has not run, and would repeat a request that has.
    fallback: Option<Reply>,
    /// Number of servers that the request was sent to, without those that rejected it.
    sent: u64,
    /// Number of servers that may have received the request, including those that rejected it.
    arrivals: u64,
    refusals: u32,
    cause: String,
}

impl<D: Dialect> Attempts<'_, D> {
    async fn run(mut self) -> Result<Reply, Refusal> {
        choice::record_demand(self.state, &self.request.service);
        let mut running = FuturesUnordered::new();
        let first = self
            .pick_server()
            .ok_or_else(|| choice::refusal(self.state, &self.request.service))?;
        self.sent += 1;
        self.arrivals += 1;
        running.push(attempt(self.state, self.request, first));
        let hedge_after = self.request.route.latency_target.0 as f64 * HEDGE_SHARE;
        let hedge_at = tokio::time::sleep(Duration::from_millis(hedge_after as u64)).fuse();
        let mut hedge_at = Box::pin(hedge_at);
        let mut pending_retry = Fuse::terminated();
        loop {
            let ended: Option<Outcome> = futures::select! {
                ended = running.next() => ended,
                () = hedge_at => {
                    let permit = self.retry();
                    if permit.is_none() && self.can_send() {
                        pending_retry = self.state.retries.wait(&self.request.service).fuse();
                    }
                    if let Some(server) = self.next_server(permit) {
                        running.push(attempt(self.state, self.request, server));
                    }
                    continue;
                }
                retry = pending_retry => {
                    if let Some(server) = self.next_server(retry.ok().map(Permit::Retry)) {
                        running.push(attempt(self.state, self.request, server));
                    }
                    continue;
                }
            };
            let Some((server, sent, result)) = ended else {
                return self.finish();
            };
            match self.handle_outcome(&server, sent, result) {
                Some(reply) => return Ok(reply),
                None if running.is_empty() => {
                    let retry = match self.retry() {
                        None if self.can_send() => self.wait_for_retry().await,
                        retry => retry,
                    };
                    let Some(next) = self.next_server(retry) else {
                        return self.finish();
                    };
                    running.push(attempt(self.state, self.request, next));
                }
                None => {}
            }
        }
    }

    /// Returns the response to forward, or records the failure.
    fn handle_outcome(
        &mut self,
        server: &Server,
        sent: Instant,
        result: Result<Reply, Failure>,
    ) -> Option<Reply> {
        let failure = match result.and_then(|reply| self.check_forward(reply)) {
            Ok(reply) => {
                self.record_answer(server, sent, &reply);
                let failed = reply.parts.status.is_server_error();
                self.record_outcome(server, !failed);
                if !failed || !self.request.route.may_repeat() {
                    return Some(reply);
                }
                self.state.metrics.count("answers_failed");
                self.excluded.push(server.incarnation.clone());
                self.may_have_run = true;
                self.fallback = Some(reply);
                return None;
            }
            Err(failure) => failure,
        };
        self.excluded.push(server.incarnation.clone());
        self.cause = failure.to_string();
        event!(
            Info,
            "try-failed",
            request = self.request.id,
            server = server.incarnation,
            cause = self.cause
        );
        match failure {
            Failure::NotSent(_) => {
                self.sent -= 1;
                self.arrivals -= 1;
                self.state.suspect(&server.incarnation, "not-sent");
            }
            Failure::Unwanted => {
                self.sent -= 1;
                self.arrivals -= 1;
            }
            Failure::NotRun { status, .. } => {
                self.sent -= 1;
                self.refusals += 1;
                if status == StatusCode::MISDIRECTED_REQUEST {
                    strangers::misdirected(self.state, &server.incarnation);
                }
            }
            Failure::Unknown(_) => {
                self.may_have_run = true;
                self.record_outcome(server, false);
                self.record_loss(server, sent);
            }
            Failure::Unread => {
                self.may_have_run = true;
                let (metrics, request) = (&self.state.metrics, &self.request.id);
                upstream::record_cut_unread(metrics, request, &server.incarnation, 0);
            }
            Failure::Failed(status) => {
                self.may_have_run = true;
                self.record_outcome(server, false);
                if status == StatusCode::MISDIRECTED_REQUEST {
                    strangers::doubted(self.state, &server.incarnation);
                }
            }
        }
        None
    }

    /// Checks that a response may be passed on.
    fn check_forward(&self, reply: Reply) -> Result<Reply, Failure> {
        let status = reply.parts.status;
        match self.request.route.may_forward(status.as_u16()) {
            true => Ok(reply),
            false => Err(Failure::Failed(status)),
        }
    }

    /// Records that a server answered and lives, unless it may have crashed under the request.
    fn record_answer(&self, server: &Server, sent: Instant, reply: &Reply) {
        probe::responded(self.state, &server.incarnation, "response");
        if !reply.framing.is_stated() {
            let run = self.run_on(server, sent);
            quarantine::lost(self.state, run.perhaps_complete());
            return;
        }
        let request = self.request.features.request;
        match reply.parts.status.is_server_error() {
            true => quarantine::failed(self.state, request),
            false => quarantine::survived(self.state, request),
        }
        if reply.parts.status.is_success() {
            quarantine::lived(self.state, sent, &self.request.features);
        }
    }

    fn run_on(&self, server: &Server, sent: Instant) -> Run {
        Run {
            features: self.request.features.clone(),
            server: server.incarnation.clone(),
            sent,
            began: None,
            may_be_complete: false,
        }
    }

    /// Records that the response of a server broke off, and checks whether it has ended.
    fn record_loss(&self, server: &Server, sent: Instant) {
        let (now, incarnation) = (clock::now(), &server.incarnation);
        let mut suspicion = self.state.suspicion.borrow_mut();
        suspicion.connection_broken(now, incarnation);
        drop(suspicion);
        quarantine::lost(self.state, self.run_on(server, sent));
        probe::check_after_loss(self.state, incarnation.clone(), server.address, now);
    }

    /// Records the outcome of a request at a server.
    fn record_outcome(&self, server: &Server, is_success: bool) {
        let request = self.request.features.request;
        if is_success {
            self.state.served(&server.incarnation, request);
        } else {
            self.state.failed(&server.incarnation, request);
        }
    }

    fn can_send(&self) -> bool {
        let route = &self.request.route;
        let is_repeatable = !self.may_have_run || route.may_repeat();
        // A request that may not be repeated is sent to one server at a time, regardless of the
        // limit.
        let limit = if route.may_repeat() {
            route.attempts
        } else {
            1
        };
        let cause = self.state.quarantine_cause(&self.request.features);
        let can_end = self.state.exit.allows(self.request.work());
        can_end
            && is_repeatable
            && cause.is_none()
            && self.sent < limit
            && self.refusals < MAX_REFUSALS
    }

    /// Returns a permit for another attempt. An attempt needs no retry while no server has received
    /// the request.
    fn retry(&self) -> Option<Permit> {
        if self.arrivals == 0 {
            return Some(Permit::First);
        }
        if !self.can_send() {
            return None;
        }
        let retry = self
            .state
            .take_retry(&self.request.service, &self.request.id);
        retry.map(Permit::Retry)
    }

    /// Waits briefly for a retry, since the store may grant another piece of the slack within
    /// milliseconds.
    async fn wait_for_retry(&self) -> Option<Permit> {
        let pending_retry = self.state.retries.wait(&self.request.service);
        let retry = tokio::time::timeout(RETRY_WAIT, pending_retry).await;
        retry.ok()?.ok().map(Permit::Retry)
    }

    /// Returns the server for another attempt, if one is allowed.
    fn next_server(&mut self, permit: Option<Permit>) -> Option<Server> {
        let permit = permit?;
        if !self.can_send() {
            return None;
        }
        let server = self.pick_server()?;
        if let Permit::Retry(mut retry) = permit {
            retry.set_sent(true);
        }
        self.sent += 1;
        self.arrivals += 1;
        self.state.metrics.count("retries");
        Some(server)
    }

    fn pick_server(&self) -> Option<Server> {
        choice::pick(self.state, &self.request.service, &self.excluded)
    }

    /// Returns the final result once no attempt is left.
    fn finish(self) -> Result<Reply, Refusal> {
        let refusal = self.refusal();
        self.fallback.ok_or(refusal)
    }

    fn refusal(&self) -> Refusal {
        if self.may_have_run {
            return (Reason::Failed, self.cause.clone(), None);
        }
        if let Some(digest) = self.state.quarantine_cause(&self.request.features) {
            let cause = quarantine::cause(digest);
            return (Reason::Quarantined, cause, None);
        }
        let opening = choice::opening(self.state, &self.request.service);
        let retry_after = Opening::not_before(opening, RETRY_AFTER_REFUSED);
        (Reason::Refused, self.cause.clone(), Some(retry_after))
    }
}
