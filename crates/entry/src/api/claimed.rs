//! Requests with an idempotency key: one run, whichever entry hears of it.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use jujube_core::bundle;
use jujube_core::claim::Action;
use jujube_core::claim::Answer;
use jujube_core::claim::Claim;
use jujube_core::claim::Outcome;
use jujube_core::claim::Progress;
use jujube_core::claim::Record;
use jujube_core::name::Customer;
use jujube_core::name::Server;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::request::Incarnation;
use jujube_core::request::Request;
use jujube_core::verdict::Verdict;
use jujube_platform::claims;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;

use super::completions::Call;
use crate::state::State;

const KEY: &str = "idempotency-key";
const LONGEST_KEY: usize = 255;
/// The longest answer that is kept with a claim, in bytes.
pub(crate) const LONGEST_KEPT: usize = 32 * 1024;
/// The header of an answer that an earlier request with the same key had.
const REPLAYED: &str = "idempotency-replayed";

/// Returns a request's idempotency key, if it has one.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    let invalid = || {
        Refusal::not_run(
            Reason::Invalid,
            "Idempotency-Key: expected 1 to 255 characters",
        )
    };
    let text = value.to_str().map_err(|_| invalid())?.trim();
    if text.is_empty() || text.len() > LONGEST_KEY {
        return Err(invalid());
    }
    Ok(Some(text.to_string()))
}

/// A claim that this entry holds, with where it is kept.
#[derive(Clone)]
pub(crate) struct Held {
    key: String,
    pub(crate) record: Record,
}

/// What a claim came to.
pub(crate) enum Claimed {
    /// Dispatch.
    Ours(Held),
    /// The first request's answer.
    Answer(Response<Body>),
}

/// What is claimed.
pub(crate) struct Wish<'a> {
    pub(crate) customer: &'a Customer,
    pub(crate) key: &'a str,
    pub(crate) fingerprint: String,
    pub(crate) call: Request,
    pub(crate) server: Server,
    pub(crate) sidecar: Incarnation,
    /// Whether a run that was cut may be repeated.
    pub(crate) idempotent: bool,
}

/// Returns the digest of what makes two requests the same.
pub(crate) fn fingerprint(method: &str, path: &str, body: &Bytes) -> String {
    let body = hex(body);
    bundle::digest(&format!("{method} {path} {body}")).to_string()
}

fn hex(bytes: &Bytes) -> String {
    bundle::digest_bytes(bytes).to_string()
}

/// Claims a key, or finds out who did.
pub(crate) async fn claim(state: &State, wish: Wish<'_>) -> Result<Claimed, Refusal> {
    let key = claims::key(wish.customer, wish.key);
    let nonce = clock::nonce();
    let record = Record {
        nonce: nonce.clone(),
        call: wish.call,
        fingerprint: wish.fingerprint.clone(),
        server: wish.server,
        sidecar: wish.sidecar,
        at: clock::unix_millis(),
        progress: Progress::Held,
    };
    let mut claim = Claim::new(nonce, wish.fingerprint);
    let mut action = claim.start();
    loop {
        let outcome = match action {
            Action::Create => state.claims.create(&key, &record).await,
            Action::Read => state.claims.read(&key).await,
            Action::Replace(before) => state.claims.replace(&key, &before, &record).await,
            Action::Settle(found) => {
                let verdict = settle(state, &found, wish.idempotent).await;
                action = claim.settled(found, verdict);
                continue;
            }
            Action::Go => return Ok(Claimed::Ours(Held { key, record })),
            Action::Replay(answer) => return Ok(Claimed::Answer(replay(answer))),
            Action::Refuse(refusal) => return Err((*refusal).clone()),
        };
        if outcome == Outcome::Down || outcome == Outcome::Unknown {
            state.counters.add("claims_unclear", 1);
        }
        action = claim.on(clock::unix_millis(), outcome);
    }
}

/// Finds out what became of a call under somebody else's claim.
async fn settle(state: &State, record: &Record, idempotent: bool) -> Verdict {
    if idempotent {
        // Running it again does no harm, and its entry has not spoken for a while.
        return Verdict::NotRun;
    }
    let snapshot = state.snapshot();
    let Some(member) = snapshot.bundle.servers.get(&record.server) else {
        return Verdict::MayHaveRun;
    };
    super::dispatch::settle(state, &member.address, record.call, record.sidecar).await
}

fn replay(answer: Answer) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = http::text(status, answer.body.unwrap_or_default());
    let headers = response.headers_mut();
    if let Some(value) = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok())
    {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}

impl Held {
    /// Names another dispatch in the claim, before it is made.
    pub(crate) async fn move_to(
        &mut self,
        state: &State,
        call: Request,
        server: Server,
        sidecar: Incarnation,
    ) -> bool {
        let moved = Record {
            call,
            server,
            sidecar,
            ..self.record.clone()
        };
        let outcome = state.claims.replace(&self.key, &self.record, &moved).await;
        let done = match outcome {
            Outcome::Created => true,
            Outcome::Found(there) => there == moved,
            _ => false,
        };
        if done {
            self.record = moved;
        }
        done
    }

    /// Frees the key: the request was not run, and its caller may come back with it.
    pub(crate) fn release(self, state: &State) {
        let state = state.clone();
        tokio::spawn(async move { state.claims.remove(&self.key, &self.record).await });
    }

    /// Keeps the answer for those who ask again; goes on trying through an outage.
    pub(crate) fn finish(self, state: &State, answer: Answer) {
        const TRIES: u32 = 60;
        const PAUSE: Duration = Duration::from_secs(1);
        let state = state.clone();
        tokio::spawn(async move {
            let done = Record {
                progress: Progress::Done(answer),
                ..self.record.clone()
            };
            for _ in 0..TRIES {
                match state.claims.replace(&self.key, &self.record, &done).await {
                    Outcome::Created | Outcome::Found(_) | Outcome::Absent => return,
                    Outcome::Unknown | Outcome::Down => tokio::time::sleep(PAUSE).await,
                }
            }
            state.counters.add("claims_not_finished", 1);
        });
    }
}

/// Returns what is kept of an answer.
pub(crate) fn kept(status: StatusCode, content_type: Option<String>, body: &Bytes) -> Answer {
    let text = std::str::from_utf8(body).ok();
    let short = text.filter(|text| text.len() <= LONGEST_KEPT);
    Answer {
        status: status.as_u16(),
        content_type,
        digest: hex(body),
        body: short.map(str::to_string),
    }
}

/// Runs a completion once for its key. The answer is kept whole, so that it comes in one piece.
pub(crate) async fn completion(
    call: Call,
    customer: &Customer,
    key: &str,
    body: &Bytes,
) -> Result<Response<Body>, Refusal> {
    let state = call.state.clone();
    let wish = Wish {
        customer,
        key,
        fingerprint: fingerprint("POST", "/v1/completions", body),
        call: call.id(),
        server: "-".into(),
        sidecar: Incarnation(0),
        idempotent: true,
    };
    let held = match claim(&state, wish).await? {
        Claimed::Ours(held) => held,
        Claimed::Answer(response) => return Ok(response),
    };
    let stream = call.stream;
    match call.collect().await {
        Ok(value) => {
            let (kind, text) = if stream {
                let text = format!("data: {value}\n\ndata: [DONE]\n\n");
                ("text/event-stream", text)
            } else {
                ("application/json", value.to_string())
            };
            let body = Bytes::from(text);
            let answer = kept(StatusCode::OK, Some(kind.into()), &body);
            held.finish(&state, answer);
            let mut response = http::text(StatusCode::OK, body);
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
            Ok(response)
        }
        Err(refusal) => {
            // A completion may be run again, whatever ran of it.
            held.release(&state);
            Err(refusal)
        }
    }
}
