//! Idempotency keys: reading them, and asking the key-value service about their claims.

use std::sync::Arc;
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
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::request::BootId;
use jujube_core::verdict::Verdict;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_store::claims;

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
    const EXPECTED: &str = "Idempotency-Key: expected 1 to 255 characters";
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    let invalid = || Refusal::not_run(Reason::Invalid, EXPECTED);
    let text = value.to_str().map_err(|_| invalid())?.trim();
    if text.is_empty() || text.len() > LONGEST_KEY {
        return Err(invalid());
    }
    Ok(Some(text.to_string()))
}

/// Returns the digest of what makes two requests the same.
pub(crate) fn fingerprint(method: &str, path: &str, body: &Bytes) -> Arc<str> {
    let body = bundle::digest_bytes(body);
    bundle::digest(&format!("{method} {path} {body}"))
        .to_string()
        .into()
}

/// Where one claim is kept.
#[derive(Clone)]
pub(crate) struct Place {
    state: State,
    key: String,
}

impl Place {
    pub(crate) fn new(state: &State, customer: &Customer, key: &str) -> Self {
        Self {
            state: state.clone(),
            key: claims::key(customer, key),
        }
    }

    pub(crate) async fn create(&self, record: &Record) -> Outcome {
        self.note(self.state.claims.create(&self.key, record).await)
    }

    pub(crate) async fn read(&self) -> Outcome {
        self.note(self.state.claims.read(&self.key).await)
    }

    pub(crate) async fn replace(&self, before: &Record, after: &Record) -> Outcome {
        self.note(self.state.claims.replace(&self.key, before, after).await)
    }

    fn note(&self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Down || outcome == Outcome::Unknown {
            self.state.counters.add("claims_unclear", 1);
        }
        outcome
    }

    /// Frees the key, in the background.
    pub(crate) fn release(self, record: Record) {
        tokio::spawn(async move { self.state.claims.remove(&self.key, &record).await });
    }

    /// Keeps the answer for those who ask again, in the background; goes on through an outage.
    pub(crate) fn finish(self, record: Record, answer: Answer) {
        const TRIES: u32 = 60;
        const PAUSE: Duration = Duration::from_secs(1);
        tokio::spawn(async move {
            let done = Record {
                progress: Progress::Done(answer),
                ..record.clone()
            };
            for _ in 0..TRIES {
                match self.replace(&record, &done).await {
                    Outcome::Created | Outcome::Found(_) | Outcome::Absent => return,
                    Outcome::Unknown | Outcome::Down => tokio::time::sleep(PAUSE).await,
                }
            }
            self.state.counters.add("claims_not_finished", 1);
        });
    }
}

/// Returns the answer that the first request had.
pub(crate) fn replay(answer: Answer) -> Response<Body> {
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

/// Returns what is kept of an answer; a body that is long or no text is not.
pub(crate) fn kept(status: StatusCode, content_type: Option<String>, body: &Bytes) -> Answer {
    let text = std::str::from_utf8(body).ok();
    let short = text.filter(|text| text.len() <= LONGEST_KEPT);
    Answer {
        status: status.as_u16(),
        content_type,
        digest: bundle::digest_bytes(body).to_string(),
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
    let place = Place::new(&call.state, customer, key);
    let fingerprint = fingerprint("POST", "/v1/completions", body);
    let record = Record {
        nonce: clock::nonce(),
        call: call.id(),
        fingerprint: fingerprint.to_string(),
        server: "-".into(),
        sidecar: BootId(0),
        at: clock::unix_millis(),
        progress: Progress::Held,
    };
    if let Some(response) = claim(&place, &record, fingerprint).await? {
        return Ok(response);
    }
    let stream = call.stream;
    match call.collect().await {
        Ok(json) => {
            let (kind, text) = if stream {
                (
                    "text/event-stream",
                    format!("data: {json}\n\ndata: [DONE]\n\n"),
                )
            } else {
                ("application/json", json)
            };
            let body = Bytes::from(text);
            place.finish(record, kept(StatusCode::OK, Some(kind.into()), &body));
            let mut response = http::text(StatusCode::OK, body);
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
            Ok(response)
        }
        Err(refusal) => {
            // A completion may be run again, whatever ran of it.
            place.release(record);
            Err(refusal)
        }
    }
}

/// Claims a completion's key; returns the first request's answer when there is one.
async fn claim(
    place: &Place,
    record: &Record,
    fingerprint: Arc<str>,
) -> Result<Option<Response<Body>>, Refusal> {
    let mut claim = Claim::new(record.nonce.as_str(), fingerprint);
    let mut action = claim.start();
    loop {
        let outcome = match action {
            Action::Create => place.create(record).await,
            Action::Read => place.read().await,
            Action::Replace(before) => place.replace(&before, record).await,
            Action::Settle(found) => {
                // Running it again does no harm, and its entry has not spoken for a while.
                action = claim.settled(found, Verdict::NotRun);
                continue;
            }
            Action::Dispatch => return Ok(None),
            Action::Replay(answer) => return Ok(Some(replay(answer))),
            Action::Refuse(refusal) => return Err((*refusal).clone()),
        };
        action = claim.handle(clock::unix_millis(), outcome);
    }
}
