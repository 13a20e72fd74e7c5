//! Calls to plain services.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use jujube_core::blackboard::Target;
use jujube_core::bundle::Kind;
use jujube_core::call::Action;
use jujube_core::call::Call;
use jujube_core::call::Dispatch;
use jujube_core::call::Key;
use jujube_core::call::Spec;
use jujube_core::claim::Outcome;
use jujube_core::claim::Record;
use jujube_core::layer::Range;
use jujube_core::name::Customer;
use jujube_core::name::Server;
use jujube_core::name::Service;
use jujube_core::path::Stage;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::retry::Budget;
use jujube_core::verdict::Verdict;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_wire::plain::remove_hop_by_hop;

use super::auth;
use super::claimed;
use super::claimed::Place;
use super::completions::LONGEST_BODY;
use super::dispatch::Sent;
use super::dispatch::send;
use super::dispatch::settle;
use crate::state::State;

/// A caller's word that its request must not be repeated, whatever the bundle says of its method.
const IDEMPOTENT: &str = "jujube-idempotent";
/// Bodies up to this length are kept for another try.
const REPLAYABLE: u64 = 64 * 1024;
/// Tells the service who calls; callers cannot set it.
const CUSTOMER: &str = "jujube-customer";

/// Answers `/services/{service}/{path}`.
pub(crate) async fn answer(
    state: &State,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let snapshot = state.snapshot();
    let (parts, body) = request.into_parts();
    let customer = auth::customer(&snapshot, &parts.headers)?;
    let (service, path) = split(&parts)?;
    let offer = auth::offer(&snapshot, &customer, &service, Kind::Plain)?;
    let stricter = parts
        .headers
        .get(IDEMPOTENT)
        .is_some_and(|value| value == "false");
    let idempotent = offer.idempotent.contains(parts.method.as_str()) && !stricter;
    let key = if idempotent {
        None
    } else {
        claimed::key(&parts.headers)?
    };
    let body = read(&parts, body, key.is_some()).await?;
    let place = key.as_ref().map(|key| Place::new(state, &customer, key));
    let caller = Caller {
        state,
        customer,
        service,
        path,
        parts,
        idempotent,
    };
    let (kept, once) = match body {
        Payload::Kept(body) => (Some(body), None),
        Payload::Once(body) => (None, Some(body)),
    };
    let spec = Spec {
        idempotent,
        replayable: kept.is_some(),
        key: key.and(kept.as_ref()).map(|body| caller.key(body)),
    };
    let mut driver = Driver {
        call: Call::new(spec),
        caller,
        place,
        kept,
        once,
        target: None,
        response: None,
    };
    driver.run().await
}

/// Splits the path into service and what follows.
fn split(parts: &Parts) -> Result<(Service, String), Refusal> {
    let rest = parts.uri.path().trim_start_matches("/services/");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Refusal::not_run(
            Reason::Unknown,
            "expected /services/SERVICE/PATH",
        ));
    }
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

/// A body that can be sent again, or only once.
enum Payload {
    Kept(Bytes),
    Once(Incoming),
}

async fn read(parts: &Parts, body: Incoming, keyed: bool) -> Result<Payload, Refusal> {
    let length = parts
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    let length: Option<u64> = length.and_then(|text| text.parse().ok());
    let chunked = parts.headers.contains_key(hyper::header::TRANSFER_ENCODING);
    let short = length.map_or(!chunked, |length| length <= REPLAYABLE);
    if !short && !keyed {
        return Ok(Payload::Once(body));
    }
    let whole = Limited::new(body, LONGEST_BODY).collect().await;
    let invalid = |error| Refusal::not_run(Reason::Invalid, format!("body: {error}"));
    Ok(Payload::Kept(whole.map_err(invalid)?.to_bytes()))
}

/// Who calls what.
struct Caller<'a> {
    state: &'a State,
    customer: Customer,
    service: Service,
    path: String,
    parts: Parts,
    idempotent: bool,
}

/// Carries out a call's actions.
struct Driver<'a> {
    call: Call,
    caller: Caller<'a>,
    place: Option<Place>,
    kept: Option<Bytes>,
    once: Option<Incoming>,
    target: Option<Target>,
    response: Option<(Response<Incoming>, Booked)>,
}

/// Keeps a backend server's share of what is in flight until the answer has been sent.
struct Booked {
    state: State,
    service: Service,
    stage: Stage,
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.state
            .admission
            .end(&self.service, std::slice::from_ref(&self.stage));
    }
}

impl Driver<'_> {
    async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let mut actions = self.call.start();
        loop {
            let mut next = Vec::new();
            let mut last = None;
            let mut finish = None;
            let mut answer = None;
            for action in actions {
                match action {
                    Action::Answer => answer = self.response.take(),
                    Action::Replay(answer) => last = Some(Ok(claimed::replay(answer))),
                    Action::Refuse(refusal) => last = Some(Err((*refusal).clone())),
                    Action::Finish(record) => finish = Some(record),
                    Action::Release(record) => self.release(record),
                    waits => next = self.wait(waits).await,
                }
            }
            if let Some((response, booked)) = answer {
                return self.pass_on(response, booked, finish).await;
            }
            if let Some(last) = last {
                return last;
            }
            actions = next;
        }
    }

    /// Carries out an action that has an answer, and returns what comes next.
    async fn wait(&mut self, action: Action) -> Vec<Action> {
        let now = clock::unix_millis();
        match action {
            Action::Choose(excluded) => {
                self.target = self.caller.choose(&excluded);
                let dispatch = self.target.as_ref().map(|target| Dispatch {
                    call: self.caller.state.next_request(),
                    server: Some(target.server.clone()),
                    sidecar: target.sidecar,
                });
                self.call.chosen(now, dispatch)
            }
            Action::Create(record) => {
                let outcome = self
                    .claim(|place| async move { place.create(&record).await })
                    .await;
                self.call.claimed(now, outcome)
            }
            Action::Read => {
                let outcome = self.claim(|place| async move { place.read().await }).await;
                self.call.claimed(now, outcome)
            }
            Action::Replace(before, after) => {
                let replace = |place: Place| async move { place.replace(&before, &after).await };
                let outcome = self.claim(replace).await;
                self.call.claimed(now, outcome)
            }
            Action::Dispatch(dispatch) => self.dispatch(&dispatch).await,
            Action::Settle(dispatch) => {
                let verdict = self.caller.settle(&dispatch).await;
                let service = self.caller.service.clone();
                let call = &mut self.call;
                self.caller
                    .state
                    .budget(&service, |budget| call.settled(verdict, budget))
            }
            Action::Answer
            | Action::Finish(_)
            | Action::Release(_)
            | Action::Replay(_)
            | Action::Refuse(_) => Vec::new(),
        }
    }

    async fn claim<F: Future<Output = Outcome>>(&self, ask: impl FnOnce(Place) -> F) -> Outcome {
        match self.place.clone() {
            Some(place) => ask(place).await,
            None => Outcome::Down,
        }
    }

    fn release(&self, record: Record) {
        if let Some(place) = self.place.clone() {
            place.release(record);
        }
    }

    async fn dispatch(&mut self, dispatch: &Dispatch) -> Vec<Action> {
        let Some(target) = self.target.clone() else {
            return Vec::new();
        };
        let body = match (&self.kept, self.once.take()) {
            (Some(kept), _) => http::whole(kept.clone()),
            (None, Some(body)) => body.map_err(io::Error::other).boxed_unsync(),
            (None, None) => http::whole(""),
        };
        let caller = &self.caller;
        let state = caller.state;
        let booked = caller.book(&target);
        let request = caller.request(body);
        match send(state, &target, dispatch.call, caller.idempotent, request).await {
            Sent::Answered(response) => {
                state.budget(&caller.service, Budget::succeeded);
                self.response = Some((response, booked));
                self.call.answered()
            }
            Sent::Refused(verdict) => {
                let call = &mut self.call;
                state.budget(&caller.service, |budget| call.refused(verdict, budget))
            }
            Sent::Unclear => self.call.lost(),
        }
    }

    /// Gives the answer to the caller; with a claim it is kept as well, when it is short.
    async fn pass_on(
        &self,
        response: Response<Incoming>,
        booked: Booked,
        finish: Option<Record>,
    ) -> Result<Response<Body>, Refusal> {
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let (Some(record), Some(place)) = (finish, self.place.clone()) else {
            return Ok(Response::from_parts(parts, http::held(body, booked)));
        };
        let text = |name| {
            parts
                .headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok())
        };
        let kind = text(CONTENT_TYPE).map(str::to_string);
        let length: Option<usize> = text(CONTENT_LENGTH).and_then(|text| text.parse().ok());
        if length.is_none_or(|length| length > claimed::LONGEST_KEPT) {
            let mut answer = claimed::kept(parts.status, kind, &Bytes::new());
            answer.body = None;
            place.finish(record, answer);
            return Ok(Response::from_parts(parts, http::held(body, booked)));
        }
        match body.collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                place.finish(record, claimed::kept(parts.status, kind, &body));
                Ok(Response::from_parts(parts, http::whole(body)))
            }
            Err(error) => {
                let mut answer = claimed::kept(parts.status, kind, &Bytes::new());
                answer.body = None;
                place.finish(record, answer);
                let refusal = Refusal::not_run(Reason::BackendFailed, error.to_string());
                Err(refusal.verdict(Verdict::Ran))
            }
        }
    }
}

impl Caller<'_> {
    fn key(&self, body: &Bytes) -> Key {
        let path = format!("/services/{}{}", self.service, self.path);
        Key {
            nonce: clock::nonce().into(),
            fingerprint: claimed::fingerprint(self.parts.method.as_str(), &path, body),
        }
    }

    fn choose(&self, excluded: &[Server]) -> Option<Target> {
        let snapshot = self.state.snapshot();
        let targets = snapshot.plain.get(&self.service)?;
        let untried = targets
            .iter()
            .filter(|target| !excluded.contains(&target.server));
        let load = |target: &&Target| {
            let own = self
                .state
                .admission
                .in_flight(&self.service, &target.server);
            (own.max(target.held), own)
        };
        untried.min_by_key(load).cloned()
    }

    async fn settle(&self, dispatch: &Dispatch) -> Verdict {
        let snapshot = self.state.snapshot();
        let server = dispatch.server.as_ref();
        let Some(member) = server.and_then(|server| snapshot.bundle.servers.get(server)) else {
            return Verdict::MayHaveRun;
        };
        settle(self.state, &member.address, dispatch.call, dispatch.sidecar).await
    }

    fn book(&self, target: &Target) -> Booked {
        let stage = Stage {
            server: target.server.clone(),
            address: target.address.clone(),
            layers: Range::default(),
        };
        self.state.admission.begin(&self.service, &stage);
        Booked {
            state: self.state.clone(),
            service: self.service.clone(),
            stage,
        }
    }

    fn request(&self, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        let path = self.path.parse();
        *request.uri_mut() = path.unwrap_or_else(|_| hyper::Uri::from_static("/"));
        let mut headers = self.parts.headers.clone();
        remove_hop_by_hop(&mut headers);
        // The key that a customer calls with is none of the service's business.
        headers.remove(AUTHORIZATION);
        headers.remove(HOST);
        headers.remove(IDEMPOTENT);
        if let Ok(customer) = HeaderValue::from_str(&self.customer.0) {
            headers.insert(CUSTOMER, customer);
        }
        *request.headers_mut() = headers;
        request
    }
}
