//! Requests to plain services: one whole answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::Fuse;
use futures::stream::FuturesUnordered;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::response::Parts;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::answer;
use crate::answer::Reason;
use crate::body::Body;
use crate::dialect::Dialect;
use crate::head;
use crate::request;
use crate::request::Admitted;
use crate::retries::Retry;
use crate::state::State;
use crate::upstream;
use crate::upstream::Failure;

/// The share of the target after which an idempotent request is sent to a second server as well: a
/// usual answer has come by then, and a second one can still be in time.
const SECOND_AFTER: f64 = 0.55;
/// From how many servers the one with the least in flight is taken.
const DRAWN: usize = 2;
/// How many servers may say that they have not run a request before it is given up.
const MOST_REFUSALS: u32 = 4;
/// When to come back after every server refused; about one answer's time.
const REFUSED: Span = Span(60);
/// How long a request waits for a retry that the budget may still give.
const RETRY_COMES: Duration = Duration::from_millis(60);
/// When to come back when no server is there.
const NO_SERVER: Span = Span(500);
/// How long before the caller's patience ends a request that may have run is answered, so that the
/// answer still arrives.
const MARGIN: Span = Span(10);

/// A whole answer.
struct Answer {
    parts: Parts,
    body: Bytes,
}

/// Why one more try may be made.
enum Right {
    /// No server got the request yet.
    First,
    /// It is a retry within the budget.
    Retry(Retry),
}

/// How one try ended.
type Outcome = (Server, Result<Answer, Failure>);

/// Serves one request.
pub async fn serve<D: Dialect>(state: &Rc<State<D>>, request: Admitted) -> Response<Body<D>> {
    let arrived = request.arrived;
    let left = request
        .deadline
        .since(clock::now())
        .0
        .saturating_sub(MARGIN.0);
    let tries = Tries {
        state,
        request: &request,
        avoid: Vec::new(),
        may_have_run: false,
        spare: None,
        sent: 0,
        arrivals: 0,
        refusals: 0,
        cause: String::from("-"),
    };
    let outcome = tokio::time::timeout(Duration::from_millis(left), tries.run()).await;
    let (reason, cause, retry_after) = match outcome {
        Ok(Ok(answer)) => return pass(state, &request, answer),
        Ok(Err(given_up)) => given_up,
        // A request that no server was sent would have been refused before.
        Err(_late) => (Reason::Late, String::from("deadline"), None),
    };
    request::record_refusal(
        state,
        &request.id,
        &request.route.name,
        reason,
        arrived,
        &cause,
    );
    answer::local(reason, retry_after)
}

fn pass<D: Dialect>(state: &State<D>, request: &Admitted, answer: Answer) -> Response<Body<D>> {
    let took = clock::now().since(request.arrived);
    state.metrics.observe("answer", took);
    state.metrics.count("requests_answered");
    log::info!(
        "event=answered request={} status={} took_ms={took}",
        request.id,
        answer.parts.status.as_u16()
    );
    let mut parts = answer.parts;
    head::strip(&mut parts.headers);
    Response::from_parts(parts, Body::buffered(answer.body))
}

type GivenUp = (Reason, String, Option<Span>);

/// The tries of one request.
struct Tries<'a, D> {
    state: &'a Rc<State<D>>,
    request: &'a Admitted,
    avoid: Vec<Incarnation>,
    may_have_run: bool,
    /// The answer of a server that failed, for when no other try brings a better one.
    ///
    /// The try after it may be denied, or be turned away by every server. Without this answer the caller would
    /// be told that the request has not run, and would send it again although it has.
    spare: Option<Answer>,
    /// How many servers it was sent to that did not refuse it.
    sent: u64,
    /// How many servers got it, or may have, those that refused it among them.
    arrivals: u64,
    refusals: u32,
    cause: String,
}

impl<D: Dialect> Tries<'_, D> {
    async fn run(mut self) -> Result<Answer, GivenUp> {
        let mut running = FuturesUnordered::new();
        let first = self.pick().ok_or_else(|| self.no_server())?;
        self.sent += 1;
        self.arrivals += 1;
        running.push(attempt(self.state, self.request, first));
        let second_after = self.request.route.target.0 as f64 * SECOND_AFTER;
        let second_at = tokio::time::sleep(Duration::from_millis(second_after as u64)).fuse();
        let mut second_at = Box::pin(second_at);
        let mut coming = Fuse::terminated();
        loop {
            let ended: Option<Outcome> = futures::select! {
                ended = running.next() => ended,
                () = second_at => {
                    let right = self.retry();
                    if right.is_none() && self.can_send() {
                        coming = self.state.retries.wait(&self.request.service).fuse();
                    }
                    if let Some(server) = self.another(right) {
                        running.push(attempt(self.state, self.request, server));
                    }
                    continue;
                }
                retry = coming => {
                    if let Some(server) = self.another(retry.ok().map(Right::Retry)) {
                        running.push(attempt(self.state, self.request, server));
                    }
                    continue;
                }
            };
            let Some((server, result)) = ended else {
                return self.end();
            };
            match self.judge(&server, result) {
                Some(answer) => return Ok(answer),
                None if running.is_empty() => {
                    let retry = match self.retry() {
                        None if self.can_send() => self.awaited_retry().await,
                        retry => retry,
                    };
                    let Some(next) = self.another(retry) else {
                        return self.end();
                    };
                    running.push(attempt(self.state, self.request, next));
                }
                None => {}
            }
        }
    }

    /// Returns the answer to pass on, or books why there is none.
    fn judge(&mut self, server: &Server, result: Result<Answer, Failure>) -> Option<Answer> {
        let failure = match result {
            Ok(answer) => {
                let failed = answer.parts.status.is_server_error();
                self.book(server, !failed);
                if !failed || !self.request.route.may_repeat() {
                    return Some(answer);
                }
                self.state.metrics.count("answers_failed");
                self.avoid.push(server.incarnation.clone());
                self.may_have_run = true;
                self.spare = Some(answer);
                return None;
            }
            Err(failure) => failure,
        };
        self.avoid.push(server.incarnation.clone());
        self.cause = failure.to_string().replace(' ', "-");
        log::info!(
            "event=try-failed request={} server={} cause={}",
            self.request.id,
            server.incarnation,
            self.cause
        );
        match failure {
            Failure::NotSent(_) => {
                self.sent -= 1;
                self.arrivals -= 1;
                self.state.accuse(&server.incarnation, "not-sent");
            }
            Failure::NotRun { .. } => {
                self.sent -= 1;
                self.refusals += 1;
            }
            Failure::Unknown(_) | Failure::Failed(_) => {
                self.may_have_run = true;
                self.book(server, false);
            }
        }
        None
    }

    /// Books how a request ended at a server.
    fn book(&self, server: &Server, is_good: bool) {
        if is_good {
            self.state.served(&server.incarnation);
        } else {
            self.state.failed(&server.incarnation);
        }
    }

    fn can_send(&self) -> bool {
        let route = &self.request.route;
        let repeats = !self.may_have_run || route.may_repeat();
        // A request that may not be repeated has one server at a time, whatever the limit says.
        let limit = if route.may_repeat() {
            route.attempts
        } else {
            1
        };
        repeats && self.sent < limit && self.refusals < MOST_REFUSALS
    }

    /// Returns the right to one more try, if there is one now. The first that reaches a server needs none.
    fn retry(&self) -> Option<Right> {
        if self.arrivals == 0 {
            return Some(Right::First);
        }
        if !self.can_send() {
            return None;
        }
        let retry = self
            .state
            .take_retry(&self.request.service, &self.request.id);
        retry.map(Right::Retry)
    }

    /// Waits a little for a retry: a piece of the slack is taken from the store within some milliseconds.
    async fn awaited_retry(&self) -> Option<Right> {
        let coming = self.state.retries.wait(&self.request.service);
        let retry = tokio::time::timeout(RETRY_COMES, coming).await;
        retry.ok()?.ok().map(Right::Retry)
    }

    /// Returns the server for one more try, if there may be one.
    fn another(&mut self, right: Option<Right>) -> Option<Server> {
        let right = right?;
        if !self.can_send() {
            return None;
        }
        let server = self.pick()?;
        if let Right::Retry(mut retry) = right {
            retry.set_sent(true);
        }
        self.sent += 1;
        self.arrivals += 1;
        self.state.metrics.count("retries");
        Some(server)
    }

    /// Returns the one with less in flight of two servers, drawn from those with the best record; where equal, that of
    /// the own availability zone.
    ///
    /// What others have in flight is known with a delay in which all entries together send dozens of requests. Were
    /// each to take the server with the least, all would take the same one until they hear of it: it turned nine of
    /// ten away while the others were idle. Of two drawn ones, few entries draw the same two.
    fn pick(&self) -> Option<Server> {
        let roster = self.state.roster.borrow();
        let load = self.state.load.borrow();
        let suspicion = self.state.suspicion.borrow();
        let outliers = self.state.outliers.borrow();
        let home = &self.state.settings.zone;
        let record = |server: &&Server| {
            let name = &server.incarnation;
            let is_avoided = outliers.holds(name) || suspicion.is_doubted(name);
            (suspicion.holds(name), is_avoided)
        };
        let mut usable: Vec<&Server> = roster
            .usable()
            .filter(|server| server.service == self.request.service)
            .filter(|server| !self.avoid.contains(&server.incarnation))
            .collect();
        let best = usable.iter().map(record).min()?;
        usable.retain(|server| record(server) == best);
        usable.sort_by_cached_key(|_| rand::random::<u32>());
        let chosen = usable.into_iter().take(DRAWN).min_by_key(|server| {
            let away = server.zone != *home;
            let name = &server.incarnation;
            (load.requests(name), suspicion.told(name) > 0, away)
        });
        chosen.cloned()
    }

    /// Returns what the caller gets when there is no further try.
    fn end(self) -> Result<Answer, GivenUp> {
        let given_up = self.given_up();
        self.spare.ok_or(given_up)
    }

    fn no_server(&self) -> GivenUp {
        (Reason::NoServer, "no-server".into(), Some(NO_SERVER))
    }

    fn given_up(&self) -> GivenUp {
        if self.may_have_run {
            return (Reason::Failed, self.cause.clone(), None);
        }
        (Reason::Refused, self.cause.clone(), Some(REFUSED))
    }
}

/// Sends the request to one server and reads its whole answer.
///
/// A body that breaks off is found out here, while another try is possible; callers of plain
/// services get at most some kilobytes.
async fn attempt<D: Dialect>(state: &Rc<State<D>>, request: &Admitted, server: Server) -> Outcome {
    let booked = Booked::new(state, &server.incarnation);
    let mut outgoing = request.outgoing.clone();
    let left = request.deadline.since(clock::now());
    head::set(&mut outgoing.headers, D::NAMES.deadline, &left.to_string());
    log::info!(
        "event=sent request={} server={} in_flight={} left_ms={left}",
        request.id,
        server.incarnation,
        state.load.borrow().requests(&server.incarnation)
    );
    let sent =
        upstream::send::<D>(&state.pool, &server.incarnation, server.address, &outgoing).await;
    let result = match sent {
        Ok(incomplete) => {
            let (parts, body) = incomplete.response.into_parts();
            match body.collect().await {
                Ok(body) => {
                    incomplete.lease.release(&parts.headers);
                    let body = body.to_bytes();
                    Ok(Answer { parts, body })
                }
                Err(error) => Err(Failure::Unknown(error.to_string())),
            }
        }
        Err(failure) => Err(failure),
    };
    drop(booked);
    (server, result)
}

/// Books a request at a server until it is dropped.
struct Booked<'a, D> {
    state: &'a Rc<State<D>>,
    server: Incarnation,
}

impl<'a, D> Booked<'a, D> {
    fn new(state: &'a Rc<State<D>>, server: &Incarnation) -> Self {
        state.load.borrow_mut().open(server, 0.0);
        Self {
            state,
            server: server.clone(),
        }
    }
}

impl<D> Drop for Booked<'_, D> {
    fn drop(&mut self) {
        self.state.load.borrow_mut().close(&self.server, 0.0);
    }
}
