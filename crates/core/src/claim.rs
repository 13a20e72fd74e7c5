//! Claims: one idempotency key, one run, whichever entry hears of it.

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

/// How far the claimed call has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Its entry may have dispatched it.
    Held,
    /// It ended.
    Done(Answer),
}

/// What is kept of a finished answer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body's content type, if it had one.
    pub content_type: Option<String>,
    /// The body's digest.
    pub digest: String,
    /// The body, when it is short enough to be kept.
    pub body: Option<String>,
}

/// A claim as it stands in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Drawn for this claim: after a lost answer its entry knows its own record by it.
    pub nonce: String,
    /// The call, under which the sidecar's ledger knows it.
    pub call: Request,
    /// The digest of the method, path and body.
    pub fingerprint: String,
    /// Where the call is dispatched.
    pub server: Server,
    /// The run of that server's sidecar.
    pub sidecar: BootId,
    /// When it was claimed, in milliseconds of the Unix epoch; only used to be patient.
    pub at: u64,
    /// How far it has come.
    pub progress: Progress,
}

/// What a write or read of the claim gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record was written.
    Created,
    /// There is a record.
    Found(Record),
    /// There is none.
    Absent,
    /// No answer: the write may have taken effect.
    Unknown,
    /// The service cannot be reached: the write was not sent.
    Down,
}

/// What the entry is to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record if there is none.
    Create,
    /// Read the record.
    Read,
    /// Dispatch: the claim is ours.
    Go,
    /// Ask the sidecar named in the record what became of its call, and report it.
    Settle(Record),
    /// Replace exactly this record by ours.
    Replace(Record),
    /// Give the caller the answer that the first request had.
    Replay(Answer),
    /// Give the caller this refusal.
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
/// assert_eq!(claim.on(0, Outcome::Unknown), Action::Read);
/// assert_eq!(claim.on(0, Outcome::Absent), Action::Create);
/// assert_eq!(claim.on(0, Outcome::Created), Action::Go);
/// ```
#[derive(Clone, Debug)]
pub struct Claim {
    nonce: Arc<str>,
    fingerprint: Arc<str>,
    tries: u32,
    replacing: bool,
}

/// How often an unclear answer of the service is looked into.
const MOST_TRIES: u32 = 3;

/// How old a held claim must be before its call is settled by somebody else: a live entry ends its
/// calls itself.
const TAKE_OVER_AFTER: Span = Span(10_000);

/// What a caller is told to wait while the first request has not ended, or the service is away.
const RETRY_AFTER: Span = Span(2_000);

impl Claim {
    /// Returns a claim with its entry's nonce and its request's fingerprint.
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

    /// Takes what the service answered, at a time in milliseconds of the Unix epoch.
    pub fn on(&mut self, now: u64, outcome: Outcome) -> Action {
        match outcome {
            Outcome::Created => Action::Go,
            Outcome::Found(record) => self.judge(now, record),
            Outcome::Absent | Outcome::Unknown if self.tries >= MOST_TRIES => away(),
            Outcome::Absent => {
                self.tries += 1;
                Action::Create
            }
            Outcome::Unknown => {
                self.tries += 1;
                Action::Read
            }
            // A replacement that was lost before may still take effect, but nothing was dispatched
            // under it, so that `not-run` stays true of this request.
            Outcome::Down => away(),
        }
    }

    /// Decides by the record that is there.
    ///
    /// Ours is known by the nonce: the first write took effect and its answer was lost. Sending the
    /// caller away would leave the key claimed with nothing behind it.
    fn judge(&mut self, now: u64, record: Record) -> Action {
        if *record.nonce == *self.nonce {
            return Action::Go;
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
            Progress::Held if now.saturating_sub(record.at) < TAKE_OVER_AFTER.0 => {
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

    /// Takes what the sidecar's ledger says of the call under somebody else's claim.
    ///
    /// Only a call that is closed for good may be claimed anew; anything else is passed on as the
    /// verdict that it is.
    pub fn settled(&mut self, record: Record, verdict: Verdict) -> Action {
        if verdict == Verdict::NotRun {
            self.replacing = true;
            return Action::Replace(record);
        }
        let detail = "the first request with this key has an unknown outcome";
        refuse(Refusal::not_run(Reason::Duplicate, detail).verdict(verdict))
    }
}

fn away() -> Action {
    let detail = "the key-value service does not answer, and this request needs a claim";
    refuse(Refusal::not_run(Reason::NoClaim, detail).retry_after(RETRY_AFTER))
}

fn refuse(refusal: Refusal) -> Action {
    Action::Refuse(Arc::new(refusal))
}
