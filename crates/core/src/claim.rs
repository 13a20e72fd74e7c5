//! Claims, which let a request with an idempotency key run once across all entries.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Server;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::BootId;
use crate::request::Request;
use crate::time::Span;
use crate::verdict::Verdict;

/// The progress of the claimed call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// It may have been dispatched.
    Held,
    /// It ended.
    Done(Answer),
}

/// The stored part of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The digest of the body.
    pub digest: String,
    /// The body, if it is short enough to be stored.
    pub body: Option<String>,
}

/// A claim as stored in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Random, unique to this claim; lets an entry recognize its own record after a lost answer.
    pub nonce: String,
    /// Identifies the dispatch at the sidecar.
    pub call: Request,
    /// The digest of the method, path and body.
    pub fingerprint: String,
    /// The backend server of the dispatch.
    pub server: Server,
    /// The run of its sidecar.
    pub sidecar: BootId,
    /// When it was claimed, in milliseconds since the Unix epoch; used to delay a takeover.
    pub at: u64,
    /// Its progress.
    pub progress: Progress,
}

/// The result of a write or read of the claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record was written.
    Created,
    /// A record exists.
    Found(Record),
    /// No record exists.
    Absent,
    /// There was no answer; the write may have taken effect.
    Unknown,
    /// The service is unreachable; nothing was sent.
    Down,
}

/// A request to the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record if there is none.
    Create,
    /// Read the record.
    Read,
    /// Dispatch the call; this request holds the claim.
    Dispatch,
    /// Ask the sidecar that the record names for the outcome of its call and report it.
    Settle(Record),
    /// Replace this record, if unchanged, with that of this request.
    Replace(Record),
    /// Return the answer of the first request with this key to the caller.
    Replay(Answer),
    /// Return this refusal to the caller.
    Refuse(Arc<Refusal>),
}

/// The claim of one non-idempotent request.
///
/// # Examples
///
/// ```
/// # use jujube_core::claim::Action;
/// # use jujube_core::claim::Claim;
/// # use jujube_core::claim::Outcome;
/// let mut claim = Claim::new("nonce", "fingerprint");
/// assert_eq!(claim.start(), Action::Create);
/// assert_eq!(claim.handle(0, Outcome::Unknown), Action::Read);
/// assert_eq!(claim.handle(0, Outcome::Absent), Action::Create);
/// assert_eq!(claim.handle(0, Outcome::Created), Action::Dispatch);
/// ```
#[derive(Clone, Debug)]
pub struct Claim {
    nonce: Arc<str>,
    fingerprint: Arc<str>,
    tries: u32,
    replacing: bool,
}

/// How often a write is tried again while its outcome is unknown.
const MAX_TRIES: u32 = 3;

/// How old a held claim must be before another entry settles its call; a live entry settles its own.
const MIN_TAKEOVER_AGE: Span = Span(10_000);

/// Sent to callers while the first request is running or the key-value service is unavailable.
const RETRY_AFTER: Span = Span(2_000);

impl Claim {
    /// Returns a claim with a nonce and the fingerprint of its request.
    pub fn new(nonce: impl Into<Arc<str>>, fingerprint: impl Into<Arc<str>>) -> Self {
        Self {
            nonce: nonce.into(),
            fingerprint: fingerprint.into(),
            tries: 0,
            replacing: false,
        }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&self) -> Action {
        Action::Create
    }

    /// Handles an answer of the service; `now` is in milliseconds since the Unix epoch.
    pub fn handle(&mut self, now: u64, outcome: Outcome) -> Action {
        match outcome {
            Outcome::Created => Action::Dispatch,
            Outcome::Found(record) => self.evaluate(now, record),
            Outcome::Absent | Outcome::Unknown if self.tries >= MAX_TRIES => store_unavailable(),
            Outcome::Absent => {
                self.tries += 1;
                Action::Create
            }
            Outcome::Unknown => {
                self.tries += 1;
                Action::Read
            }
            // An earlier lost replacement may still take effect, but nothing was dispatched under it,
            // so that the verdict `not-run` holds.
            Outcome::Down => store_unavailable(),
        }
    }

    /// Decides by the existing record.
    ///
    /// A record with the nonce of this claim is from a write whose answer was lost. Refusing the
    /// request then would leave the key claimed without a call.
    fn evaluate(&mut self, now: u64, record: Record) -> Action {
        if *record.nonce == *self.nonce {
            return Action::Dispatch;
        }
        if *record.fingerprint != *self.fingerprint {
            let detail = "this idempotency key was used for a different request";
            return refuse(Refusal::not_run(Reason::KeyReused, detail));
        }
        match record.progress {
            Progress::Done(answer) if answer.body.is_some() => Action::Replay(answer),
            Progress::Done(_) => {
                let detail = "the first request with this key ran; its answer is not kept";
                refuse(Refusal::not_run(Reason::Duplicate, detail).verdict(Verdict::Ran))
            }
            Progress::Held if now.saturating_sub(record.at) < MIN_TAKEOVER_AGE.0 => {
                self.in_progress()
            }
            Progress::Held if self.replacing => self.in_progress(),
            Progress::Held => Action::Settle(record),
        }
    }

    fn in_progress(&self) -> Action {
        let detail = "the first request with this key has not ended";
        let refusal = Refusal::not_run(Reason::Duplicate, detail)
            .verdict(Verdict::MayHaveRun)
            .retry_after(RETRY_AFTER);
        refuse(refusal)
    }

    /// Handles the sidecar's verdict on the call under the claim of another request.
    ///
    /// The claim is replaced only if that call has not run and never will; any other verdict goes to
    /// the caller.
    pub fn settled(&mut self, record: Record, verdict: Verdict) -> Action {
        if verdict == Verdict::NotRun {
            self.replacing = true;
            return Action::Replace(record);
        }
        let detail = "the first request with this key has an unknown outcome";
        refuse(Refusal::not_run(Reason::Duplicate, detail).verdict(verdict))
    }
}

fn store_unavailable() -> Action {
    let detail = "the key-value service does not answer, and this request needs a claim";
    refuse(Refusal::not_run(Reason::NoClaim, detail).retry_after(RETRY_AFTER))
}

fn refuse(refusal: Refusal) -> Action {
    Action::Refuse(Arc::new(refusal))
}
