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
use hyper::http::request::Parts;
use jujube_core::blackboard::Snapshot;
use jujube_core::blackboard::Target;
use jujube_core::bundle::Kind;
use jujube_core::name::Customer;
use jujube_core::name::Server;
use jujube_core::name::Service;
use jujube_core::path::Stage;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::time::Span;
use jujube_core::verdict::Verdict;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_wire::plain::remove_hop_by_hop;

use super::auth;
use super::claimed;
use super::claimed::Claimed;
use super::claimed::Held;
use super::claimed::Wish;
use super::completions::LONGEST_BODY;
use super::dispatch::Dispatched;
use super::dispatch::dispatch;
use crate::state::State;

/// A caller's word that its request must not be repeated, whatever the bundle says of its method.
const IDEMPOTENT: &str = "jujube-idempotent";
/// Bodies up to this length are kept for another try.
const REPLAYABLE: u64 = 64 * 1024;
const MOST_DISPATCHES: usize = 3;
const COME_BACK: Span = Span(1_000);

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
    let mut call = Call {
        state,
        customer,
        service,
        path,
        parts,
        idempotent,
        tried: Vec::new(),
    };
    call.answer(key, body).await
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

struct Call<'a> {
    state: &'a State,
    customer: Customer,
    service: Service,
    path: String,
    parts: Parts,
    idempotent: bool,
    tried: Vec<Server>,
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

impl Call<'_> {
    async fn answer(
        &mut self,
        key: Option<String>,
        payload: Payload,
    ) -> Result<Response<Body>, Refusal> {
        let snapshot = self.state.snapshot();
        let Some(target) = self.choose(&snapshot) else {
            return Err(no_path());
        };
        let held = match (&key, &payload) {
            (Some(key), Payload::Kept(body)) => match self.claim(key, body, &target).await? {
                Claimed::Ours(held) => Some(held),
                Claimed::Answer(response) => return Ok(response),
            },
            _ => None,
        };
        self.dispatch_all(target, held, payload).await
    }

    async fn claim(&self, key: &str, body: &Bytes, target: &Target) -> Result<Claimed, Refusal> {
        let path = format!("/services/{}{}", self.service, self.path);
        let wish = Wish {
            customer: &self.customer,
            key,
            fingerprint: claimed::fingerprint(self.parts.method.as_str(), &path, body),
            call: self.state.next_request(),
            server: target.server.clone(),
            sidecar: target.sidecar,
            idempotent: false,
        };
        claimed::claim(self.state, wish).await
    }

    /// Dispatches until there is an answer, or another try would be unsafe or too much.
    async fn dispatch_all(
        &mut self,
        mut target: Target,
        mut held: Option<Held>,
        payload: Payload,
    ) -> Result<Response<Body>, Refusal> {
        let (kept, mut once) = match payload {
            Payload::Kept(body) => (Some(body), None),
            Payload::Once(body) => (None, Some(body)),
        };
        let mut call = match &held {
            Some(held) => held.record.call,
            None => self.state.next_request(),
        };
        loop {
            let body = match (&kept, once.take()) {
                (Some(kept), _) => http::whole(kept.clone()),
                (None, Some(body)) => body.map_err(io::Error::other).boxed_unsync(),
                (None, None) => return Err(self.fail(held, Verdict::NotRun, "no body is left")),
            };
            let booked = self.book(&target);
            let request = self.request(body);
            let came = dispatch(self.state, &target, call, self.idempotent, request).await;
            let (verdict, why) = match came {
                Dispatched::Answered(response) => {
                    self.state
                        .budget(&self.service, jujube_core::retry::Budget::succeeded);
                    return self.pass_on(response, booked, held).await;
                }
                Dispatched::Failed(verdict, why) => (verdict, why),
            };
            self.tried.push(target.server.clone());
            let again = verdict.may_retry(self.idempotent) && kept.is_some();
            if !again || self.tried.len() >= MOST_DISPATCHES || !self.may_try_again() {
                return Err(self.fail(held, verdict, &why));
            }
            let Some(next) = self.choose(&self.state.snapshot()) else {
                return Err(self.fail(held, verdict, &why));
            };
            target = next;
            call = self.state.next_request();
            if let Some(held) = &mut held {
                let (server, sidecar) = (target.server.clone(), target.sidecar);
                if !held.move_to(self.state, call, server, sidecar).await {
                    return Err(self.fail(None, verdict, &why));
                }
            }
        }
    }

    fn may_try_again(&self) -> bool {
        let allowed = self
            .state
            .budget(&self.service, jujube_core::retry::Budget::take);
        let counter = if allowed {
            "retries"
        } else {
            "retries_over_budget"
        };
        self.state.counters.add(counter, 1);
        allowed
    }

    fn choose(&self, snapshot: &Snapshot) -> Option<Target> {
        let targets = snapshot.plain.get(&self.service)?;
        let untried = targets
            .iter()
            .filter(|target| !self.tried.contains(&target.server));
        let load = |target: &&Target| {
            let own = self
                .state
                .admission
                .in_flight(&self.service, &target.server);
            (own.max(target.held), own)
        };
        untried.min_by_key(load).cloned()
    }

    fn book(&self, target: &Target) -> Booked {
        let stage = Stage {
            server: target.server.clone(),
            address: target.address.clone(),
            layers: jujube_core::layer::Range::default(),
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
        if let Ok(customer) = hyper::header::HeaderValue::from_str(&self.customer.0) {
            headers.insert("jujube-customer", customer);
        }
        *request.headers_mut() = headers;
        request
    }

    /// Gives the answer to the caller; with a claim it is kept first, when it is short.
    async fn pass_on(
        &self,
        response: Response<Incoming>,
        booked: Booked,
        held: Option<Held>,
    ) -> Result<Response<Body>, Refusal> {
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let Some(held) = held else {
            return Ok(Response::from_parts(parts, http::held(body, booked)));
        };
        let kind = parts
            .headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let kind = kind.map(str::to_string);
        let length = parts
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok());
        let length: Option<usize> = length.and_then(|text| text.parse().ok());
        if length.is_none_or(|length| length > claimed::LONGEST_KEPT) {
            let mut answer = claimed::kept(parts.status, kind, &Bytes::new());
            answer.body = None;
            held.finish(self.state, answer);
            return Ok(Response::from_parts(parts, http::held(body, booked)));
        }
        match body.collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                held.finish(self.state, claimed::kept(parts.status, kind, &body));
                Ok(Response::from_parts(parts, http::whole(body)))
            }
            Err(error) => Err(self.fail(Some(held), Verdict::Ran, &error.to_string())),
        }
    }

    /// Returns the final word; the key is freed only when nothing ran under it.
    fn fail(&self, held: Option<Held>, verdict: Verdict, why: &str) -> Refusal {
        if let Some(held) = held
            && verdict == Verdict::NotRun
        {
            held.release(self.state);
        }
        let refusal = Refusal::not_run(Reason::BackendFailed, why).verdict(verdict);
        match verdict {
            Verdict::NotRun => refusal.retry_after(COME_BACK),
            Verdict::MayHaveRun | Verdict::Ran if self.idempotent => refusal.retry_after(COME_BACK),
            Verdict::MayHaveRun | Verdict::Ran => refusal,
        }
    }
}

fn no_path() -> Refusal {
    Refusal::not_run(Reason::NoPath, "no live backend server").retry_after(COME_BACK)
}
